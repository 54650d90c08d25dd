"""What VMs tell each other about requests that wait for a target's slots."""

from __future__ import annotations

import struct
from zlib import crc32

from berylstage_entry.errors import UnreadableRecord
from berylstage_entry.targets import LoadReport

# First bytes of the datagrams.
ASK_FORMAT = 20
REPLY_FORMAT = 21
RETURN_FORMAT = 22
_MS = 1000
_SLOWDOWN_UNITS = 20
_MAX_BYTE = 255
_MAX_SHORT = 65535
# Number, queue, kind, milliseconds until its answer is of less use, of its objective
# and until it is of none, priority.
_ASK = struct.Struct("<BIIIhHHB")
# Number, what is said, milliseconds, target.
_REPLY = struct.Struct("<BIBHI")
# Number, queue, target, requests there, its pace in twentieths, and how it went.
_RETURN = struct.Struct("<BIIIBBB")


def checksum(name: str) -> int:
    """Return what stands for a name in a datagram."""
    return crc32(name.encode())


def _unpack(layout: struct.Struct, data: bytes) -> tuple:
    try:
        return layout.unpack(data)
    except struct.error as exc:
        raise UnreadableRecord(f"no word about a queue: {exc}") from exc


class Ask:
    """A request asks for its turn.

    Parameters
    ----------
    number : int
        Of the request, counted by the VM that asks.
    queue, kind : int
        Checksums of the queue's name and the route's.
    wanted : float
        Seconds until its answer is of less use; below 0 when it is already.
    objective : float
        Seconds from its arrival until then.
    deadline : float
        Seconds until its answer is of no use.
    priority : int
    """

    __slots__ = (
        "kind",
        "deadline",
        "number",
        "objective",
        "priority",
        "queue",
        "wanted",
    )

    def __init__(
        self,
        number: int,
        queue: int,
        kind: int,
        wanted: float,
        objective: float,
        deadline: float,
        priority: int,
    ):
        self.number = number
        self.queue = queue
        self.kind = kind
        self.wanted = wanted
        self.objective = objective
        self.deadline = deadline
        self.priority = priority

    def encode(self) -> bytes:
        """Return the datagram."""
        wanted = max(-_MAX_SHORT // 2, min(_MAX_SHORT // 2, round(self.wanted * _MS)))
        return _ASK.pack(
            ASK_FORMAT,
            self.number,
            self.queue,
            self.kind,
            wanted,
            min(_MAX_SHORT, round(self.objective * _MS)),
            max(0, min(_MAX_SHORT, round(self.deadline * _MS))),
            min(_MAX_BYTE, max(0, self.priority)),
        )

    @classmethod
    def decode(cls, data: bytes) -> Ask:
        """Read a datagram.

        Raises
        ------
        UnreadableRecord
            It is none.
        """
        _, number, queue, kind, wanted, objective, deadline, priority = _unpack(
            _ASK, data
        )
        times = wanted / _MS, objective / _MS, deadline / _MS
        return cls(number, queue, kind, *times, priority)


class Reply:
    """What the keeper of a queue says to a request.

    Parameters
    ----------
    number : int
    status : int
        Value of :class:`berylstage_policy.slot_queue.Say`.
    retry_after : float
        After which a refused one may come back.
    target : int
        Checksum of the target to which it is to go.
    """

    __slots__ = ("number", "status", "retry_after", "target")

    def __init__(self, number: int, status: int, retry_after: float, target: int):
        self.number = number
        self.status = status
        self.retry_after = retry_after
        self.target = target

    def encode(self) -> bytes:
        """Return the datagram."""
        ms = min(_MAX_SHORT, round(self.retry_after * _MS))
        return _REPLY.pack(REPLY_FORMAT, self.number, self.status, ms, self.target)

    @classmethod
    def decode(cls, data: bytes) -> Reply:
        """Read a datagram.

        Raises
        ------
        UnreadableRecord
            It is none.
        """
        _, number, status, ms, target = _unpack(_REPLY, data)
        return cls(number, status, ms / _MS, target)


class Return:
    """A request is done, or was given up.

    Parameters
    ----------
    number : int
    queue : int
        Checksum of the queue's name.
    target : int
        Checksum of the target to which it was sent; 0 when it was not.
    failed : bool
        Whether the target failed it, or gave no answer.
    load : LoadReport, optional
        What the target told; ``running`` has all requests beside the answered one.
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
        """Return the datagram."""
        active, pace = 0, 0
        if self.load is not None:
            active = min(_MAX_BYTE, self.load.running)
            pace = max(1, min(_MAX_BYTE, round(self.load.pace * _SLOWDOWN_UNITS)))
        return _RETURN.pack(
            RETURN_FORMAT,
            self.number,
            self.queue,
            self.target,
            active,
            pace,
            self.failed,
        )

    @classmethod
    def decode(cls, data: bytes) -> Return:
        """Read a datagram.

        Raises
        ------
        UnreadableRecord
            It is none.
        """
        _, number, queue, target, active, pace, failed = _unpack(_RETURN, data)
        # A pace of 0 stands for a target that told nothing.
        load = LoadReport(active, 0, 0, pace / _SLOWDOWN_UNITS) if pace else None
        return cls(number, queue, target, bool(failed), load)
