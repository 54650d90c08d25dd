"""Datagrams with which VMs confirm the age of each other's configuration."""

from __future__ import annotations

import struct
from math import ceil

from berylstage_entry.errors import InvalidRecord

# First byte of each kind of datagram.
CONFIRMATION_REQUEST_TYPE = 24
CONFIRMATION_REPLY_TYPE = 25
_MILLISECONDS = 1000
_REQUEST = struct.Struct("<BI")
# Number, version, age in milliseconds.
_REPLY = struct.Struct("<BIQI")


class ConfirmationRequest:
    """Question for the age of another VM's configuration.

    Parameters
    ----------
    number : int
        Identifies the question among those of its VM.
    """

    __slots__ = ("number",)

    def __init__(self, number: int):
        self.number = number

    def encode(self) -> bytes:
        """Return the datagram."""
        return _REQUEST.pack(CONFIRMATION_REQUEST_TYPE, self.number)

    @classmethod
    def decode(cls, data: bytes) -> ConfirmationRequest:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        try:
            _, number = _REQUEST.unpack(data)
        except struct.error as exc:
            raise InvalidRecord(f"invalid confirmation request: {exc}") from exc
        return cls(number)


class ConfirmationReply:
    """Version and age of a VM's configuration.

    Parameters
    ----------
    number : int
        Number of the question.
    version : int
    age : float
        Seconds since the configuration was the store's, at the time of the answer.
    """

    __slots__ = ("age", "number", "version")

    def __init__(self, number: int, version: int, age: float):
        self.number = number
        self.version = version
        self.age = age

    def encode(self) -> bytes:
        """Return the datagram; the age is rounded up."""
        age_ms = ceil(self.age * _MILLISECONDS)
        return _REPLY.pack(CONFIRMATION_REPLY_TYPE, self.number, self.version, age_ms)

    @classmethod
    def decode(cls, data: bytes) -> ConfirmationReply:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        try:
            _, number, version, age_ms = _REPLY.unpack(data)
        except struct.error as exc:
            raise InvalidRecord(f"invalid confirmation reply: {exc}") from exc
        return cls(number, version, age_ms / _MILLISECONDS)
