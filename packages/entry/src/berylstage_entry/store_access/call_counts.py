"""Counts the calls to the store by kind, cause and outcome.

Calls are billed, and their number is known only by VM and second. Without the cause,
the behaviour that makes them has to be inferred from their times.
"""

from __future__ import annotations

import asyncio
from enum import StrEnum
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.errors import (
    Conflict,
    LeaseExpired,
    RevisionCompacted,
    StoreRefused,
    StoreUnavailable,
)
from berylstage_entry.store import Store
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Awaitable, Mapping, Sequence
    from typing import TypeVar

    from berylstage_entry.store import Changes, Condition, Write

    Result = TypeVar("Result")

# Seconds between two log lines about calls.
LOG_INTERVAL_SECONDS = 10.0

log = Logger(__name__)


class CallCause(StrEnum):
    """Why the store is called."""

    # Reads of all records, or of all changes.
    FIRST_READ = "first"
    COMPACTED = "compacted"
    OLD_VIEW = "old_view"
    TAKEOVER = "takeover"
    PUBLISHER = "publisher"
    NO_UPDATE = "no_update"
    MISSED_CHANGES = "missed_changes"
    MISSED_ASSIGNMENT = "missed_assignment"
    MISSED_CONFIGURATION = "missed_configuration"
    WAIT_FOR_OWNER = "wait_for_owner"
    CONFLICT = "conflict"
    PUBLISHER_ASKED = "publisher_asked"
    RETRY = "retry"
    # Calls about single keys.
    LARGE_VALUE = "large_value"
    CONFIRMATION = "confirmation"
    PROBE = "probe"
    COORDINATOR = "coordinator"
    # Calls of one component.
    MEMBERSHIP = "membership"
    ELECTION = "election"
    ASSIGNMENT = "assignment"
    OTHER = "other"


class CallOutcome(StrEnum):
    """How a call to the store ended."""

    OK = "ok"
    REFUSED = "refused"
    UNANSWERED = "unanswered"
    CONFLICT = "conflict"
    LEASE_EXPIRED = "lease_expired"
    COMPACTED = "compacted"
    CANCELLED = "cancelled"
    FAILED = "failed"


def classify_outcome(exc: BaseException) -> CallOutcome:
    """Return the outcome of a call that raised an exception."""
    # Subclasses of StoreError do not inherit from each other.
    outcomes: Sequence[tuple[type[BaseException], CallOutcome]] = (
        (StoreRefused, CallOutcome.REFUSED),
        (StoreUnavailable, CallOutcome.UNANSWERED),
        (Conflict, CallOutcome.CONFLICT),
        (LeaseExpired, CallOutcome.LEASE_EXPIRED),
        (RevisionCompacted, CallOutcome.COMPACTED),
        (asyncio.CancelledError, CallOutcome.CANCELLED),
    )
    for kind, outcome in outcomes:
        if isinstance(exc, kind):
            return outcome
    return CallOutcome.FAILED


class StoreCallCounts:
    """Number of calls since the start, and since the last log line."""

    __slots__ = ("_logged", "_totals")

    def __init__(self) -> None:
        self._totals: dict[tuple[str, str, str], int] = {}
        self._logged: dict[tuple[str, str, str], int] = {}

    def record(self, kind: str, cause: str, outcome: str) -> None:
        """Count a call that has ended."""
        key = (kind, cause, outcome)
        self._totals[key] = self._totals.get(key, 0) + 1

    def total(self, kind: str = "", cause: str = "", outcome: str = "") -> int:
        """Return the number of calls; an empty argument stands for any value."""
        wanted = (kind, cause, outcome)
        return sum(
            count
            for key, count in self._totals.items()
            if all(not w or w == k for w, k in zip(wanted, key, strict=True))
        )

    def take_recent(self) -> Mapping[str, int]:
        """Return the calls since the last time by kind, cause and outcome."""
        recent = {
            " ".join(key): count - self._logged.get(key, 0)
            for key, count in sorted(self._totals.items())
            if count > self._logged.get(key, 0)
        }
        self._logged = dict(self._totals)
        return recent

    def text(self) -> str:
        """Return the counts in Prometheus text format."""
        return "".join(
            f'berylstage_store_calls_total{{kind="{kind}",cause="{cause}",'
            f'outcome="{outcome}"}} {count}\n'
            for (kind, cause, outcome), count in sorted(self._totals.items())
        )


class CountedStore(Store):
    """Store that counts the calls made through it.

    Parameters
    ----------
    store : Store
    counts : StoreCallCounts
    cause : CallCause
        Why these calls are made.
    """

    def __init__(
        self,
        store: Store,
        counts: StoreCallCounts,
        cause: CallCause = CallCause.OTHER,
    ):
        self._store = store
        self._counts = counts
        self._cause = cause

    def for_cause(self, cause: str) -> Store:  # noqa: D102
        return CountedStore(self._store, self._counts, CallCause(cause))

    async def read(self, prefix: str) -> Changes:  # noqa: D102
        return await self._count("read", self._store.read(prefix))

    async def watch(  # noqa: D102
        self, prefix: str, after: int, wait: float
    ) -> Changes:
        return await self._count("watch", self._store.watch(prefix, after, wait))

    async def write(  # noqa: D102
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
    ) -> int:
        call = self._store.write(conditions, writes, removals)
        return await self._count("write", call)

    async def create_lease(self, seconds: float) -> int:  # noqa: D102
        return await self._count("create_lease", self._store.create_lease(seconds))

    async def renew_lease(self, lease: int) -> None:  # noqa: D102
        await self._count("renew_lease", self._store.renew_lease(lease))

    async def revoke_lease(self, lease: int) -> None:  # noqa: D102
        await self._count("revoke_lease", self._store.revoke_lease(lease))

    def close(self) -> None:  # noqa: D102
        self._store.close()

    async def _count(self, kind: str, call: Awaitable[Result]) -> Result:
        try:
            result = await call
        except BaseException as exc:
            self._counts.record(kind, self._cause, classify_outcome(exc))
            raise
        self._counts.record(kind, self._cause, CallOutcome.OK)
        return result


class StoreCallLog:
    """Logs the calls of the last interval, if there were any.

    Parameters
    ----------
    counts : StoreCallCounts
    """

    def __init__(self, counts: StoreCallCounts):
        self._counts = counts
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Start to log."""
        self._task = supervise("counts of store calls", self._run)

    def stop(self) -> None:
        """Log the calls since the last line, and stop."""
        if self._task is not None:
            self._task.cancel()
        self.write()

    def write(self) -> None:
        """Log the calls since the last line."""
        recent = self._counts.take_recent()
        if recent:
            log.info(
                "store calls",
                extra={"calls": sum(recent.values()), "by_cause": dict(recent)},
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(LOG_INTERVAL_SECONDS)
            self.write()
