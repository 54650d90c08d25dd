"""Requests that may not be repeated: each runs at most once, with bounded memory.

The load it answers: callers that repeat a request whose answer they never got, through
any VM, while shards move and VMs are lost. Without it a repeated parts dispatch runs a
second time. Nothing here forgets a request and then takes it for new: where the record
is gone, a floor in time is left, and what was issued at or before it is refused.
"""

from __future__ import annotations

from enum import Enum

from berylstage_messages.control_pb2 import RequestRecord, ShardRecords
from sortedcontainers import SortedDict

from berylstage_ownership.records import RecordSource

VM_SKEW_MS = 250
"""Bound on the difference of two VMs' wall clocks; NTP keeps it to a few ms."""

CALLER_LEAD_MS = 100
"""How far ahead a caller's clock may be for its requests to be let in at once.

After the loss of a VM nothing is fresh until the floor has passed, which lies this far
ahead: a second here would be a second more without orders."""

CALLER_SKEW_MS = 1000
"""How far ahead a caller's clock may be for its requests to wait until its lead is
small enough; beyond it they are refused."""

CAPACITY = 50_000
"""Records kept by one VM: at 100 such requests a second, those of eight minutes."""

BODY_BYTES = 16_000_000
"""Bytes of answers kept by one VM, an eighth of what a VM may spend on control."""

HANDOVER_BYTES = 64_000
"""Bytes of one shard's records that a planned move takes along."""

NEVER = 1 << 62
"""Floor of a shard that was never gained: nothing can be proved fresh."""


class Verdict(Enum):
    """What to do with a request that may not be repeated."""

    RUN = "run"
    ANSWERED = "answered"
    IN_PROGRESS = "in-progress"
    UNKNOWN = "unknown"
    NOT_FRESH = "not-fresh"
    EARLY = "early"
    FROM_THE_FUTURE = "from-the-future"
    FULL = "full"


class State(Enum):
    """How far a request came."""

    IN_PROGRESS = "in-progress"
    ANSWERED = "answered"
    UNKNOWN = "unknown"


class Record:
    """What is known of one request.

    Parameters
    ----------
    shard, key : str
        The idempotency key, unique within the shard.
    issued_ms : int
        When the caller issued it first, in Unix milliseconds.
    """

    __slots__ = (
        "shard",
        "key",
        "issued_ms",
        "state",
        "status",
        "body",
        "content_type",
    )

    def __init__(self, shard: str, key: str, issued_ms: int):
        self.shard = shard
        self.key = key
        self.issued_ms = issued_ms
        self.state = State.IN_PROGRESS
        self.status = 0
        self.body = b""
        self.content_type = ""

    @property
    def age_order(self) -> tuple[int, str, str]:
        """Order in which finished records are given up."""
        return self.issued_ms, self.shard, self.key


class Decision:
    """The verdict on one request, and the record behind it.

    Parameters
    ----------
    verdict : Verdict
    message : str
        What it means and what the caller should do.
    record : Record or None
        With the first answer, when the verdict is ``ANSWERED``.
    """

    __slots__ = ("verdict", "message", "record")

    def __init__(self, verdict: Verdict, message: str, record: Record | None = None):
        self.verdict = verdict
        self.message = message
        self.record = record


MESSAGES = {
    Verdict.RUN: "",
    Verdict.ANSWERED: "the request ran before; this is its first answer",
    Verdict.IN_PROGRESS: (
        "the request is in work; come back after Retry-After with the same key"
    ),
    Verdict.UNKNOWN: (
        "the request was sent and no answer came, so it may have run; look up its "
        "effect before you issue it as new"
    ),
    Verdict.NOT_FRESH: (
        "the request cannot be proved fresh, because records as old as its issue time "
        "are gone; look up its effect, and issue it as new under a new key if it has "
        "none"
    ),
    Verdict.EARLY: (
        "the request's issue time lies ahead of this VM's clock; it waits until it "
        "has come"
    ),
    Verdict.FROM_THE_FUTURE: (
        "the request did not run, as its issue time lies ahead of this VM's clock; set "
        "the caller's clock and issue it again"
    ),
    Verdict.FULL: (
        "the request did not run, as too many such requests are in work; come back "
        "after Retry-After with the same key"
    ),
}


class IdempotencyTable(RecordSource):
    """The records of one VM.

    Parameters
    ----------
    capacity : int
        Records kept at most.
    body_bytes : int
        Bytes of answers kept at most.
    """

    def __init__(self, capacity: int = CAPACITY, body_bytes: int = BODY_BYTES):
        self._capacity = capacity
        self._body_bytes = body_bytes
        self._bytes = 0
        self._shards: dict[str, dict[str, Record]] = {}
        self._floors: dict[str, int] = {}
        # Floors of shards that went to other VMs, for the handover.
        self._parted: dict[str, int] = {}
        self._finished: SortedDict = SortedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def gain(self, shard: str, wall_ms: int) -> None:
        """Start a shard whose earlier records are not known here.

        An earlier VM may have let in what callers issued up to its own clock and their
        lead on it, and its clock may have been ahead of this one. All of that is
        refused here unless a record of it is known.

        Parameters
        ----------
        shard : str
        wall_ms : int
            Unix milliseconds at which this VM began to serve the shard.
        """
        floor = wall_ms + VM_SKEW_MS + CALLER_LEAD_MS
        self._floors[shard] = max(floor, self._parted.pop(shard, 0))

    def take_over(self, shard: str, handed: list[ShardRecords]) -> None:
        """Start a shard with the records of all its earlier holders.

        Parameters
        ----------
        shard : str
        handed : list of ShardRecords
            One of each earlier holder but this VM itself.
        """
        floors = [records.floor_ms for records in handed]
        if shard in self._parted:
            floors.append(self._parted.pop(shard))
        self._floors[shard] = max(floors, default=NEVER)
        for records in handed:
            for row in records.records:
                self._take_record(shard, row)

    def lose(self, shard: str) -> None:
        """Stop a shard: nothing of it is let in here any more."""
        if shard in self._floors:
            self._parted[shard] = self._floors.pop(shard)

    def _take_record(self, shard: str, row: RequestRecord) -> None:
        """Keep one record of an earlier holder."""
        if row.key in self._shards.get(shard, {}):
            return
        if not self._make_room(0):
            self._raise_floor(shard, row.issued_ms)
            return
        self._add(Record(shard, row.key, row.issued_ms))
        if row.answered:
            self.answered(shard, row.key, row.status, row.body, row.content_type)
        else:
            self.unknown(shard, row.key)

    def admit(self, shard: str, key: str, issued_ms: int, wall_ms: int) -> Decision:
        """Decide on a request; ``RUN`` marks it as in progress.

        Parameters
        ----------
        shard, key : str
        issued_ms : int
            When the caller issued it first, in Unix milliseconds.
        wall_ms : int
            Unix milliseconds now, by this VM's clock.

        Returns
        -------
        Decision
        """
        record = self._shards.get(shard, {}).get(key)
        verdict = self._verdict(shard, record, issued_ms, wall_ms)
        if verdict is Verdict.RUN:
            record = Record(shard, key, issued_ms)
            self._add(record)
        return Decision(verdict, MESSAGES[verdict], record)

    def _verdict(
        self, shard: str, record: Record | None, issued_ms: int, wall_ms: int
    ) -> Verdict:
        """Return the verdict on a request."""
        if record is not None:
            return Verdict(record.state.value)
        if issued_ms > wall_ms + CALLER_SKEW_MS:
            return Verdict.FROM_THE_FUTURE
        if issued_ms > wall_ms + CALLER_LEAD_MS:
            # Let in, it would lie above the floor of the next VM as well, and could
            # run there a second time.
            return Verdict.EARLY
        if issued_ms <= self.floor(shard):
            return Verdict.NOT_FRESH
        if not self._make_room(0):
            return Verdict.FULL
        # Making room may have raised the floor of this very shard.
        fresh = issued_ms > self.floor(shard)
        return Verdict.RUN if fresh else Verdict.NOT_FRESH

    def serves(self, shard: str) -> bool:
        """Tell whether this VM has gained a shard and not lost it."""
        return shard in self._floors

    def floor(self, shard: str) -> int:
        """Return the issue time up to which unseen requests are refused."""
        return self._floors.get(shard, NEVER)

    def answered(
        self, shard: str, key: str, status: int, body: bytes, content_type: str
    ) -> None:
        """Note the answer to a request in progress.

        Parameters
        ----------
        shard, key : str
        status : int
        body : bytes
        content_type : str
        """
        record = self._in_progress(shard, key)
        if record is None:
            return
        if len(body) > self._body_bytes // 8:
            # It would push out the answers of hundreds of others. The request is still
            # known to have run, only its answer can't be given again.
            self.unknown(shard, key)
            return
        self._make_room(len(body))
        record.status = status
        record.body = body
        record.content_type = content_type
        self._finish(record, State.ANSWERED)

    def unknown(self, shard: str, key: str) -> None:
        """Note that a request was sent and no answer will come."""
        record = self._in_progress(shard, key)
        if record is not None:
            self._finish(record, State.UNKNOWN)

    def not_run(self, shard: str, key: str) -> None:
        """Forget a request that certainly did not run: it may be issued again."""
        record = self._in_progress(shard, key)
        if record is not None:
            self._drop(record)

    def export(self, shard: str) -> ShardRecords | None:
        """Return the records of a shard for its next VM; see the base class.

        Parameters
        ----------
        shard : str

        Returns
        -------
        ShardRecords or None
            None when they are too large: the next VM then starts with a floor.
        """
        floor = self._floors.get(shard, self._parted.get(shard))
        if floor is None:
            return None
        handed = ShardRecords(shard=shard, floor_ms=floor)
        size = 0
        for record in self._shards.get(shard, {}).values():
            row = _row(record)
            size += row.ByteSize()
            if size > HANDOVER_BYTES:
                return None
            handed.records.append(row)
        return handed

    def _in_progress(self, shard: str, key: str) -> Record | None:
        """Return a record if its request is in progress."""
        record = self._shards.get(shard, {}).get(key)
        if record is None or record.state is not State.IN_PROGRESS:
            return None
        return record

    def _add(self, record: Record) -> None:
        """Keep a record."""
        self._shards.setdefault(record.shard, {})[record.key] = record
        self._count += 1

    def _finish(self, record: Record, state: State) -> None:
        """Mark a record as finished, from when on it may be given up."""
        record.state = state
        self._bytes += len(record.body)
        self._finished[record.age_order] = record

    def _drop(self, record: Record) -> None:
        """Forget a record."""
        records = self._shards[record.shard]
        del records[record.key]
        if not records:
            del self._shards[record.shard]
        self._count -= 1
        if self._finished.pop(record.age_order, None) is not None:
            self._bytes -= len(record.body)

    def _make_room(self, body: int) -> bool:
        """Give up the oldest finished records; tell whether one more fits."""
        while self._count >= self._capacity or self._bytes + body > self._body_bytes:
            if not self._finished:
                return self._count < self._capacity
            _, oldest = self._finished.peekitem(0)
            self._drop(oldest)
            # Without the record a repeated request would look like a new one.
            self._raise_floor(oldest.shard, oldest.issued_ms)
        return True

    def _raise_floor(self, shard: str, issued_ms: int) -> None:
        """Refuse unseen requests issued up to a time."""
        for floors in (self._floors, self._parted):
            if shard in floors:
                floors[shard] = max(issued_ms, floors[shard])


def _row(record: Record) -> RequestRecord:
    """Return a record as the next VM reads it."""
    # A request still in progress here has passed its deadline when a shard is handed
    # over: whether it ran is not known.
    return RequestRecord(
        key=record.key,
        issued_ms=record.issued_ms,
        answered=record.state is State.ANSWERED,
        status=record.status,
        body=record.body,
        content_type=record.content_type,
    )
