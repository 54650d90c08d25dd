"""Datagrams by which the coordinator asks other VMs for requests at a target."""

from __future__ import annotations

import struct
from math import ceil

from berylstage_entry.errors import InvalidRecord

# First byte of each kind of datagram.
WORK_QUESTION_TYPE = 34
WORK_REPLY_TYPE = 35
_MILLISECONDS = 1000
# Type, number, incarnation, milliseconds; the target's name follows.
_QUESTION = struct.Struct("<BIQI")
# Type, number, whether there may be requests.
_REPLY = struct.Struct("<BI?")


class WorkQuestion:
    """Question whether a target may run requests of a VM.

    Parameters
    ----------
    number : int
        Identifies the question among those of its VM.
    name : str
    incarnation : int
    withhold_seconds : float
        Seconds for which a VM without such requests sends the target nothing.
    """

    __slots__ = ("incarnation", "name", "number", "withhold_seconds")

    def __init__(
        self, number: int, name: str, incarnation: int, withhold_seconds: float
    ):
        self.number = number
        self.name = name
        self.incarnation = incarnation
        self.withhold_seconds = withhold_seconds

    @property
    def identity(self) -> tuple[str, int]:
        """Name and incarnation of the target."""
        return self.name, self.incarnation

    def encode(self) -> bytes:
        """Return the datagram; the seconds are rounded up."""
        milliseconds = ceil(self.withhold_seconds * _MILLISECONDS)
        head = _QUESTION.pack(
            WORK_QUESTION_TYPE, self.number, self.incarnation, milliseconds
        )
        return head + self.name.encode()

    @classmethod
    def decode(cls, data: bytes) -> WorkQuestion:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        try:
            _, number, incarnation, milliseconds = _QUESTION.unpack_from(data)
            name = data[_QUESTION.size :].decode()
        except (struct.error, UnicodeDecodeError) as exc:
            raise InvalidRecord(f"invalid work question: {exc}") from exc
        return cls(number, name, incarnation, milliseconds / _MILLISECONDS)


class WorkReply:
    """Answer of a VM.

    Parameters
    ----------
    number : int
        Number of the question.
    may_run : bool
        Whether the target may run requests of the VM.
    """

    __slots__ = ("may_run", "number")

    def __init__(self, number: int, may_run: bool):
        self.number = number
        self.may_run = may_run

    def encode(self) -> bytes:
        """Return the datagram."""
        return _REPLY.pack(WORK_REPLY_TYPE, self.number, self.may_run)

    @classmethod
    def decode(cls, data: bytes) -> WorkReply:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        try:
            _, number, may_run = _REPLY.unpack(data)
        except struct.error as exc:
            raise InvalidRecord(f"invalid work reply: {exc}") from exc
        return cls(number, may_run)
