"""Datagrams of the permit protocol between VMs."""

from __future__ import annotations

import struct
from zlib import crc32

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.targets import LoadReport

# First byte of each kind of datagram.
PERMIT_REQUEST_TYPE = 20
PERMIT_REPLY_TYPE = 21
PERMIT_RELEASE_TYPE = 22
_MILLISECONDS = 1000
_SLOWDOWN_UNITS = 20
_MAX_BYTE = 255
_MAX_SHORT = 65535
# Number, queue, kind, milliseconds to the soft deadline, of the objective and to the
# deadline, priority.
_REQUEST = struct.Struct("<BIIIhHHB")
# Number, status, milliseconds until a retry, target.
_REPLY = struct.Struct("<BIBHI")
# Number, queue, target, active requests, machine slowdown in twentieths, failed.
_RELEASE = struct.Struct("<BIIIBBB")
# Size of the number space in which concurrent requests have unique numbers.
REQUEST_NUMBERS = 1 << 32


def checksum(name: str) -> int:
    """Return the checksum that represents a name in a datagram."""
    return crc32(name.encode())


def _unpack(layout: struct.Struct, data: bytes) -> tuple:
    try:
        return layout.unpack(data)
    except struct.error as exc:
        raise InvalidRecord(f"invalid permit datagram: {exc}") from exc


class PermitRequest:
    """Request for a permit.

    Parameters
    ----------
    number : int
        Number of the request, counted by the requesting VM.
    queue, kind : int
        Checksums of the names of the queue and the route.
    soft_deadline : float
        Seconds until the soft deadline; negative if it has passed.
    objective : float
        Seconds from the request's arrival to the soft deadline.
    deadline : float
        Seconds until the deadline.
    priority : int
    """

    __slots__ = (
        "kind",
        "deadline",
        "number",
        "objective",
        "priority",
        "queue",
        "soft_deadline",
    )

    def __init__(
        self,
        number: int,
        queue: int,
        kind: int,
        soft_deadline: float,
        objective: float,
        deadline: float,
        priority: int,
    ):
        self.number = number
        self.queue = queue
        self.kind = kind
        self.soft_deadline = soft_deadline
        self.objective = objective
        self.deadline = deadline
        self.priority = priority

    def encode(self) -> bytes:
        """Return the request as a datagram."""
        soft_deadline = max(
            -_MAX_SHORT // 2,
            min(_MAX_SHORT // 2, round(self.soft_deadline * _MILLISECONDS)),
        )
        return _REQUEST.pack(
            PERMIT_REQUEST_TYPE,
            self.number,
            self.queue,
            self.kind,
            soft_deadline,
            min(_MAX_SHORT, round(self.objective * _MILLISECONDS)),
            max(0, min(_MAX_SHORT, round(self.deadline * _MILLISECONDS))),
            min(_MAX_BYTE, max(0, self.priority)),
        )

    @classmethod
    def decode(cls, data: bytes) -> PermitRequest:
        """Parse a datagram.

        Raises
        ------
        InvalidRecord
            The datagram is malformed.
        """
        _, number, queue, kind, soft_deadline, objective, deadline, priority = _unpack(
            _REQUEST, data
        )
        times = (
            soft_deadline / _MILLISECONDS,
            objective / _MILLISECONDS,
            deadline / _MILLISECONDS,
        )
        return cls(number, queue, kind, *times, priority)


class PermitReply:
    """Reply of the permit server.

    Parameters
    ----------
    number : int
    status : int
        Value of :class:`berylstage_policy.slot_requests.PermitStatus`.
    retry_after : float
        Seconds after which a refused request may be retried.
    target : int
        Checksum of the target to send the request to.
    """

    __slots__ = ("number", "status", "retry_after", "target")

    def __init__(self, number: int, status: int, retry_after: float, target: int):
        self.number = number
        self.status = status
        self.retry_after = retry_after
        self.target = target

    def encode(self) -> bytes:
        """Return the reply as a datagram."""
        ms = min(_MAX_SHORT, round(self.retry_after * _MILLISECONDS))
        return _REPLY.pack(PERMIT_REPLY_TYPE, self.number, self.status, ms, self.target)

    @classmethod
    def decode(cls, data: bytes) -> PermitReply:
        """Parse a datagram.

        Raises
        ------
        InvalidRecord
            The datagram is malformed.
        """
        _, number, status, ms, target = _unpack(_REPLY, data)
        return cls(number, status, ms / _MILLISECONDS, target)


class PermitRelease:
    """Release of a permit, or of a queued request.

    Parameters
    ----------
    number : int
    queue : int
        Checksum of the queue's name.
    target : int
        Checksum of the target that received the request; 0 if none did.
    failed : bool
        Whether the target failed the request or did not answer.
    load : LoadReport, optional
        Load reported by the target; ``running`` has all requests but the answered one.
    """

    __slots__ = ("failed", "load", "number", "queue", "target")

    def __init__(
        self,
        number: int,
        queue: int,
        target: int = 0,
        failed: bool = False,
        load: LoadReport | None = None,
    ):
        self.number = number
        self.queue = queue
        self.target = target
        self.failed = failed
        self.load = load

    def encode(self) -> bytes:
        """Return the release as a datagram."""
        active, machine_slowdown = 0, 0
        if self.load is not None:
            active = min(_MAX_BYTE, self.load.running)
            machine_slowdown = max(
                1, min(_MAX_BYTE, round(self.load.machine_slowdown * _SLOWDOWN_UNITS))
            )
        return _RELEASE.pack(
            PERMIT_RELEASE_TYPE,
            self.number,
            self.queue,
            self.target,
            active,
            machine_slowdown,
            self.failed,
        )

    @classmethod
    def decode(cls, data: bytes) -> PermitRelease:
        """Parse a datagram.

        Raises
        ------
        InvalidRecord
            The datagram is malformed.
        """
        _, number, queue, target, active, machine_slowdown, failed = _unpack(
            _RELEASE, data
        )
        # A slowdown of 0 means that the target reported no load.
        load = (
            LoadReport(active, 0, 0, machine_slowdown / _SLOWDOWN_UNITS)
            if machine_slowdown
            else None
        )
        return cls(number, queue, target, bool(failed), load)
