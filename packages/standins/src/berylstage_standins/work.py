"""Job execution on a target: slots, backlog, cold start, deadlines, cancellation."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from berylstage_standins.ledger_writer import COLD_BOUND_BROKEN, RAN, LedgerWriter

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from berylstage_standins.grants import GrantTable
    from berylstage_standins.job import Job

# Factor by which work slows down once the cold start bound is exceeded.
COLD_BREAK_FACTOR = 10.0
# Median duration of work in milliseconds for a kind without a setting.
DEFAULT_WORK_MS = 5.0
# Standard deviation of the logarithm of the duration of work.
WORK_LOG_STDDEV = 0.3


class ColdBreak(Enum):
    """Reaction of a cold target to more jobs than its cold bound."""

    SLOW = "slow"
    CRASH = "fall"
    SHED = "shed"


class Refused(Exception):
    """Work was refused without effect, for the reason in the ``Not-Run`` header."""

    def __init__(self, reason: str):
        super().__init__(
            f"work was not run ({reason}); retry later or on another target"
        )
        self.reason = reason


class Outcome(Enum):
    """Result of work that was given a slot."""

    DONE = "done"
    DROPPED = "dropped"
    FENCED = "fenced"


class WorkSettings:
    """Settings of a target's job execution.

    Parameters
    ----------
    slots : int
        Number of jobs that run concurrently.
    backlog : int
        Number of jobs that may wait for a slot; further jobs are refused.
    cold_bound : int
        Number of jobs that the target can handle while cold; 0 for no bound.
    cold_break : ColdBreak
        Reaction to more jobs than the cold bound.
    warm_after : int
        Number of completed jobs after which the target is warm.
    work_ms : dict of str to float
        Median duration of work in milliseconds by kind.
    seed : int
        Seed of the random durations.
    checks_fences : bool
        Whether the target refuses work without a valid grant.
    """

    __slots__ = (
        "backlog",
        "checks_fences",
        "cold_bound",
        "cold_break",
        "seed",
        "slots",
        "warm_after",
        "work_ms",
    )

    def __init__(
        self,
        slots: int = 2,
        backlog: int = 4,
        cold_bound: int = 0,
        cold_break: ColdBreak = ColdBreak.SLOW,
        warm_after: int = 50,
        work_ms: dict[str, float] | None = None,
        seed: int = 1,
        checks_fences: bool = True,
    ):
        self.slots = slots
        self.backlog = backlog
        self.cold_bound = cold_bound
        self.cold_break = cold_break
        self.warm_after = warm_after
        self.work_ms = work_ms or {}
        self.seed = seed
        self.checks_fences = checks_fences


class Work:
    """Runs jobs in slots and records them in the ledger.

    Parameters
    ----------
    settings : WorkSettings
    grants : GrantTable
    ledger : LedgerWriter
    on_change : callable
        Called after each change of the number of running jobs.
    on_crash : callable
        Called when the target crashes because its cold bound is exceeded.
    """

    def __init__(
        self,
        settings: WorkSettings,
        grants: GrantTable,
        ledger: LedgerWriter,
        on_change: Callable[[], None] = lambda: None,
        on_crash: Callable[[], None] = lambda: None,
    ):
        self.settings = settings
        self.grants = grants
        self.ledger = ledger
        self.jobs: dict[str, Job] = {}
        self.running = 0
        self.draining = False
        self.slow_factor = 1.0
        self.shed_all = False
        self.thawed = asyncio.Event()
        self.thawed.set()
        self._on_change = on_change
        self._on_crash = on_crash
        self._cold_left = 0
        self._cold_bound_exceeded = False
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._random = random.Random(settings.seed)
        self.begin_cold_start()

    @property
    def cold(self) -> bool:
        """Whether the target is in a cold start."""
        return self._cold_left > 0

    def begin_cold_start(self) -> None:
        """Begin a cold start if the target has a cold bound."""
        self._cold_left = self.settings.warm_after if self.settings.cold_bound else 0
        self._cold_bound_exceeded = False

    def drop(self, request_id: str) -> Job | None:
        """Cancel a job and return it; return None if the job is unknown."""
        job = self.jobs.get(request_id)
        if job is not None:
            job.dropped.set()
        return job

    def drop_all(self) -> None:
        """Cancel all jobs."""
        for job in self.jobs.values():
            job.dropped.set()

    async def run(self, job: Job) -> None:
        """Run a job until it completes.

        Raises
        ------
        Refused
            The job had no effect.
        """
        self._admit(job)
        arrived = time.time()
        self.jobs[job.request_id] = job
        try:
            self._check_cold_bound(job)
            await self._acquire_slot(job)
            try:
                await self._execute(job, arrived)
            finally:
                self._release_slot()
        finally:
            self.jobs.pop(job.request_id, None)
            job.ended.set()

    def _admit(self, job: Job) -> None:
        if self.draining:
            raise Refused("draining")
        if self.shed_all:
            raise Refused("shed")
        self._check_deadline(job)
        self._check_fence(job)
        full = self.running >= self.settings.slots
        if full and len(self._waiting) >= self.settings.backlog:
            raise Refused("slots")

    def _check_deadline(self, job: Job) -> None:
        if job.deadline and time.time() >= job.deadline:
            raise Refused("deadline")

    def _check_fence(self, job: Job) -> None:
        if not self.settings.checks_fences:
            return
        if job.shard and not job.shard.startswith(f"{job.service}/"):
            raise Refused("fence")
        if not self.grants.covers(job.shard, job.fence, job.epoch):
            raise Refused("fence")

    def _check_cold_bound(self, job: Job) -> None:
        bound = self.settings.cold_bound
        if not self.cold or len(self.jobs) <= bound:
            return
        self.ledger.append(
            {
                "event": COLD_BOUND_BROKEN,
                "wall": time.time(),
                "received": len(self.jobs),
                "bound": bound,
                "request_id": job.request_id,
            }
        )
        if self.settings.cold_break is ColdBreak.SHED:
            raise Refused("cold")
        if self.settings.cold_break is ColdBreak.CRASH:
            self._on_crash()
            return
        self._cold_bound_exceeded = True

    async def _acquire_slot(self, job: Job) -> None:
        if self.running < self.settings.slots:
            self.running += 1
            self._on_change()
            return
        slot: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(slot)
        dropped = asyncio.ensure_future(job.dropped.wait())
        remaining = job.deadline - time.time() if job.deadline else None
        either: set[asyncio.Future[Any]] = {slot, dropped}
        try:
            await asyncio.wait(
                either, timeout=remaining, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            dropped.cancel()
            if not slot.done():
                self._waiting.remove(slot)
        if not slot.done():
            raise Refused("cancelled" if job.dropped.is_set() else "deadline")

    def _release_slot(self) -> None:
        if self._waiting:
            # The next job takes over the slot: the number of running jobs stays.
            self._waiting.popleft().set_result(None)
            return
        self.running -= 1
        self._on_change()

    async def _execute(self, job: Job, arrived: float) -> None:
        self._check_deadline(job)
        self._check_fence(job)
        start_wall = time.time()
        start = time.monotonic()
        outcome = Outcome.DROPPED
        try:
            await self._wait_for_duration(job)
            # Work takes effect on completion. The fence token is checked again there,
            # since the grant may have expired while the work ran.
            outcome = Outcome.FENCED
            self._check_fence(job)
            outcome = Outcome.DONE
            self._cold_left = max(0, self._cold_left - 1)
        finally:
            self.ledger.append(
                {
                    "event": RAN,
                    "outcome": outcome.value,
                    **job.record(),
                    "arrived_wall": arrived,
                    "start_wall": start_wall,
                    "end_wall": time.time(),
                    "start": start,
                    "end": time.monotonic(),
                }
            )

    async def _wait_for_duration(self, job: Job) -> None:
        """Wait for the duration of the work unless the job is cancelled."""
        duration = self._duration(job.kind)
        start = time.monotonic()
        try:
            await asyncio.wait_for(job.dropped.wait(), duration)
        except TimeoutError:
            await self.thawed.wait()
            return
        await self.thawed.wait()
        # A frozen process completes work that was due before it notices that the
        # caller has disconnected, so such work takes effect in spite of it.
        if time.monotonic() - start < duration:
            raise Refused("cancelled")

    def _duration(self, kind: str) -> float:
        """Return a random duration in seconds for a job of this kind."""
        median = self.settings.work_ms.get(kind, DEFAULT_WORK_MS) / 1000
        duration = median * self._random.lognormvariate(0.0, WORK_LOG_STDDEV)
        if self._cold_bound_exceeded and self.cold:
            duration *= COLD_BREAK_FACTOR
        return duration * self.slow_factor
