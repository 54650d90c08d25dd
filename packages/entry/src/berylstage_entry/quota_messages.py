"""Datagrams of the quota protocol between VMs."""

from __future__ import annotations

import struct
from math import ceil, isfinite

from berylstage_entry.errors import InvalidRecord

# First byte of each kind of datagram.
LOAN_TYPE = 26
LOAN_REPLY_TYPE = 27
TOKEN_REQUEST_TYPE = 28
TOKEN_REPLY_TYPE = 29
TARGET_TOKEN_REQUEST_TYPE = 31
_MILLISECONDS = 1000
_MAX_SHORT = 65535
# Incarnation and time of the stamp in milliseconds, mask of the lent groups,
# incarnation of the lender.
_LOAN = struct.Struct("<BIQHI")
# Incarnation and time of the stamp in milliseconds, incarnation of the lender, whether
# the loan is in force, whether the server closes.
_LOAN_REPLY = struct.Struct("<BIQIBB")
# Number, checksum of the workspace, tokens.
_TOKEN_REQUEST = struct.Struct("<BIIH")
# Number, checksum of the target's quota, tokens, requests per second.
_TARGET_TOKEN_REQUEST = struct.Struct("<BIIHd")
# Number, tokens, milliseconds until a retry, whether the quota is known, whether its
# tokens are new.
_TOKEN_REPLY = struct.Struct("<BIHHBB")


def _unpack(layout: struct.Struct, data: bytes) -> tuple:
    try:
        return layout.unpack(data)
    except struct.error as exc:
        raise InvalidRecord(f"invalid quota datagram: {exc}") from exc


class Stamp:
    """Moment on the clock of one process.

    Parameters
    ----------
    incarnation : int
        Random number of the process.
    milliseconds : int
        Monotonic milliseconds, rounded down.
    """

    __slots__ = ("incarnation", "milliseconds")

    def __init__(self, incarnation: int = 0, milliseconds: int = 0):
        self.incarnation = incarnation
        self.milliseconds = milliseconds

    @classmethod
    def at(cls, incarnation: int, seconds: float) -> Stamp:
        """Return the stamp of a moment."""
        return cls(incarnation, int(seconds * _MILLISECONDS))

    @property
    def seconds(self) -> float:
        """Monotonic seconds of the process that wrote the stamp."""
        return self.milliseconds / _MILLISECONDS


class Loan:
    """Renewal of the shares that a VM lends to a quota server.

    Parameters
    ----------
    stamp : Stamp
        The newest stamp of the quota server that the VM has received.
    groups : int
        Bit mask of all groups that the VM lends to this server.
    lender : int
        Incarnation of the process that lends.
    """

    __slots__ = ("groups", "lender", "stamp")

    def __init__(self, stamp: Stamp, groups: int, lender: int):
        self.stamp = stamp
        self.groups = groups
        self.lender = lender

    def encode(self) -> bytes:
        """Return the datagram."""
        stamp = self.stamp
        return _LOAN.pack(
            LOAN_TYPE, stamp.incarnation, stamp.milliseconds, self.groups, self.lender
        )

    @classmethod
    def decode(cls, data: bytes) -> Loan:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, incarnation, milliseconds, groups, lender = _unpack(_LOAN, data)
        return cls(Stamp(incarnation, milliseconds), groups, lender)


class LoanReply:
    """Answer of a quota server to a renewal.

    Parameters
    ----------
    stamp : Stamp
        To be repeated in the next renewal.
    lender : int
        Incarnation of the process that sent the renewal.
    is_accepted : bool
        Whether the renewal is in force.
    is_closed : bool
        Whether the server uses no share any more.
    """

    __slots__ = ("is_accepted", "is_closed", "lender", "stamp")

    def __init__(
        self, stamp: Stamp, lender: int, is_accepted: bool, is_closed: bool = False
    ):
        self.stamp = stamp
        self.lender = lender
        self.is_accepted = is_accepted
        self.is_closed = is_closed

    def encode(self) -> bytes:
        """Return the datagram."""
        stamp = self.stamp
        return _LOAN_REPLY.pack(
            LOAN_REPLY_TYPE,
            stamp.incarnation,
            stamp.milliseconds,
            self.lender,
            self.is_accepted,
            self.is_closed,
        )

    @classmethod
    def decode(cls, data: bytes) -> LoanReply:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, incarnation, milliseconds, lender, *flags = _unpack(_LOAN_REPLY, data)
        return cls(Stamp(incarnation, milliseconds), lender, *map(bool, flags))


class TokenRequest:
    """Request for tokens of a workspace's quota.

    Parameters
    ----------
    number : int
        Number of the request, counted by the requesting VM.
    workspace : int
        Checksum of the name.
    count : int
        Number of requests that wait for a token.
    """

    __slots__ = ("count", "number", "workspace")

    def __init__(self, number: int, workspace: int, count: int):
        self.number = number
        self.workspace = workspace
        self.count = count

    def encode(self) -> bytes:
        """Return the datagram."""
        count = min(self.count, _MAX_SHORT)
        return _TOKEN_REQUEST.pack(
            TOKEN_REQUEST_TYPE, self.number, self.workspace, count
        )

    @classmethod
    def decode(cls, data: bytes) -> TokenRequest:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, number, workspace, count = _unpack(_TOKEN_REQUEST, data)
        return cls(number, workspace, count)


class TargetTokenRequest:
    """Request for tokens of a target's limit.

    It names the limit, so that the quota server need not know it: a server that has not
    heard of the limit, or has heard of its end too early, would let requests through.

    Parameters
    ----------
    number : int
        Number of the request, counted by the requesting VM.
    quota : int
        Checksum of the quota's name.
    count : int
        Number of requests that wait for a token.
    rate : float
        Requests per second from all VMs together.
    """

    __slots__ = ("count", "number", "quota", "rate")

    def __init__(self, number: int, quota: int, count: int, rate: float):
        self.number = number
        self.quota = quota
        self.count = count
        self.rate = rate

    def encode(self) -> bytes:
        """Return the datagram."""
        count = min(self.count, _MAX_SHORT)
        return _TARGET_TOKEN_REQUEST.pack(
            TARGET_TOKEN_REQUEST_TYPE, self.number, self.quota, count, self.rate
        )

    @classmethod
    def decode(cls, data: bytes) -> TargetTokenRequest:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, number, quota, count, rate = _unpack(_TARGET_TOKEN_REQUEST, data)
        return cls(number, quota, count, _check_rate(rate))


def _check_rate(rate: float) -> float:
    if not isfinite(rate) or rate < 0:
        raise InvalidRecord(f"invalid quota datagram: rate {rate}")
    return rate


class TokenReply:
    """Tokens that a quota server grants.

    Parameters
    ----------
    number : int
        Number of the request.
    count : int
        Tokens; less than requested if the quota is used up.
    retry_after : float
        Seconds until there is room for the requests that get no token.
    is_served : bool
        Whether the server has been lent shares of the workspace.
    is_filling : bool
        Whether the server has served the workspace for a short time only, so that it
        has fewer tokens than the workspace may be owed.
    """

    __slots__ = ("count", "is_filling", "is_served", "number", "retry_after")

    def __init__(
        self,
        number: int,
        count: int,
        retry_after: float,
        is_served: bool = True,
        is_filling: bool = False,
    ):
        self.number = number
        self.count = count
        self.retry_after = retry_after
        self.is_served = is_served
        self.is_filling = is_filling

    def encode(self) -> bytes:
        """Return the datagram."""
        retry_ms = min(_MAX_SHORT, ceil(self.retry_after * _MILLISECONDS))
        return _TOKEN_REPLY.pack(
            TOKEN_REPLY_TYPE,
            self.number,
            self.count,
            retry_ms,
            self.is_served,
            self.is_filling,
        )

    @classmethod
    def decode(cls, data: bytes) -> TokenReply:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
        """
        _, number, count, retry_ms, *flags = _unpack(_TOKEN_REPLY, data)
        return cls(number, count, retry_ms / _MILLISECONDS, *map(bool, flags))
