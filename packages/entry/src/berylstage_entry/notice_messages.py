"""Datagrams by which VMs tell each other what targets say of themselves."""

from __future__ import annotations

import struct
from math import inf, isfinite

from berylstage_entry.errors import InvalidRecord

# First byte of each kind of datagram.
LIMIT_NOTICE_TYPE = 30
REST_NOTICE_TYPE = 32
DEPARTURE_NOTICE_TYPE = 33
# Stands for the end of a limit.
_NO_LIMIT = inf
# Type, checksum and incarnation of the target, requests per second or seconds.
_NOTICE = struct.Struct("<BIQd")
# Type, checksum and incarnation of the target.
_DEPARTURE = struct.Struct("<BIQ")


def _unpack(data: bytes) -> tuple[int, int, float]:
    try:
        _, target, incarnation, number = _NOTICE.unpack(data)
    except struct.error as exc:
        raise InvalidRecord(f"invalid notice datagram: {exc}") from exc
    return target, incarnation, number


def _check_number(number: float) -> float:
    if not isfinite(number) or number < 0:
        raise InvalidRecord(f"invalid notice datagram: number {number}")
    return number


class LimitNotice:
    """Limit that a target has named to another VM, or the end of its limit.

    Parameters
    ----------
    target : int
        Checksum of the target's name.
    incarnation : int
    rate : float or None
        Requests per second from all VMs together; None if it names no limit any more.
    """

    __slots__ = ("incarnation", "rate", "target")

    def __init__(self, target: int, incarnation: int, rate: float | None):
        self.target = target
        self.incarnation = incarnation
        self.rate = rate

    def encode(self) -> bytes:
        """Return the datagram."""
        rate = _NO_LIMIT if self.rate is None else self.rate
        return _NOTICE.pack(LIMIT_NOTICE_TYPE, self.target, self.incarnation, rate)

    @classmethod
    def decode(cls, data: bytes) -> LimitNotice:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        target, incarnation, rate = _unpack(data)
        is_end = rate == _NO_LIMIT
        return cls(target, incarnation, None if is_end else _check_number(rate))


class RestNotice:
    """Rest that a target has asked of the VM that sends this.

    Parameters
    ----------
    target : int
        Checksum of the target's name.
    incarnation : int
    seconds : float
        Seconds of it that are left.
    """

    __slots__ = ("incarnation", "seconds", "target")

    def __init__(self, target: int, incarnation: int, seconds: float):
        self.target = target
        self.incarnation = incarnation
        self.seconds = seconds

    def encode(self) -> bytes:
        """Return the datagram."""
        return _NOTICE.pack(
            REST_NOTICE_TYPE, self.target, self.incarnation, self.seconds
        )

    @classmethod
    def decode(cls, data: bytes) -> RestNotice:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        target, incarnation, seconds = _unpack(data)
        return cls(target, incarnation, _check_number(seconds))


class DepartureNotice:
    """A target has said in an answer that it is leaving.

    Parameters
    ----------
    target : int
        Checksum of the target's name.
    incarnation : int
    """

    __slots__ = ("incarnation", "target")

    def __init__(self, target: int, incarnation: int):
        self.target = target
        self.incarnation = incarnation

    def encode(self) -> bytes:
        """Return the datagram."""
        return _DEPARTURE.pack(DEPARTURE_NOTICE_TYPE, self.target, self.incarnation)

    @classmethod
    def decode(cls, data: bytes) -> DepartureNotice:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        try:
            _, target, incarnation = _DEPARTURE.unpack(data)
        except struct.error as exc:
            raise InvalidRecord(f"invalid notice datagram: {exc}") from exc
        return cls(target, incarnation)
