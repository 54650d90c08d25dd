"""Work on a target: slots, backlog, cold start, deadlines and cancellation."""

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

# Factor by which work slows down once the bound of a cold start is broken.
COLD_BREAK_FACTOR = 10.0
# Milliseconds of work for a kind without a setting of its own.
DEFAULT_WORK_MS = 5.0
# Spread of the time of work: the standard deviation of its logarithm.
WORK_SPREAD = 0.3


class ColdBreak(Enum):
    """What a cold target does when it is sent more than it bears."""

    SLOW = "slow"
    FALL = "fall"
    SHED = "shed"


class Refused(Exception):
    """Work that had no effect, with the reason for the ``Not-Run`` header."""

    def __init__(self, reason: str):
        super().__init__(f"not run: {reason}; send it again later or elsewhere")
        self.reason = reason


class Outcome(Enum):
    """How work that had a slot ended."""

    DONE = "done"
    DROPPED = "dropped"
    FENCED = "fenced"


class WorkSettings:
    """How a target works.

    Parameters
    ----------
    slots : int
        Jobs worked on at once.
    backlog : int
        Jobs that wait for a slot; more are shed.
    cold_bound : int
        Jobs that the target bears while it is cold; 0 for no bound.
    cold_break : ColdBreak
        What happens over the bound.
    warm_after : int
        Completions after which the target is warm.
    work_ms : dict of str to float
        Median time of work by kind.
    seed : int
    checks_fences : bool
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
        Called whenever the number of running jobs changed.
    on_fall : callable
        Called when the target falls over.
    """

    def __init__(
        self,
        settings: WorkSettings,
        grants: GrantTable,
        ledger: LedgerWriter,
        on_change: Callable[[], None] = lambda: None,
        on_fall: Callable[[], None] = lambda: None,
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
        self._on_fall = on_fall
        self._cold_left = 0
        self._broken = False
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._random = random.Random(settings.seed)
        self.turn_cold()

    @property
    def cold(self) -> bool:
        """Whether the target is in cold start."""
        return self._cold_left > 0

    def turn_cold(self) -> None:
        """Begin a cold start, if the target has a bound for one."""
        self._cold_left = self.settings.warm_after if self.settings.cold_bound else 0
        self._broken = False

    def drop(self, request_id: str) -> Job | None:
        """Drop a job and return it; None when it is not here."""
        job = self.jobs.get(request_id)
        if job is not None:
            job.dropped.set()
        return job

    def drop_all(self) -> None:
        """Drop every job."""
        for job in self.jobs.values():
            job.dropped.set()

    async def run(self, job: Job) -> None:
        """Run a job to its end.

        Raises
        ------
        Refused
            It had no effect.
        """
        self._admit(job)
        arrived = time.time()
        self.jobs[job.request_id] = job
        try:
            self._check_cold_bound(job)
            await self._take_slot(job)
            try:
                await self._work(job, arrived)
            finally:
                self._free_slot()
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
        if self.settings.cold_break is ColdBreak.FALL:
            self._on_fall()
            return
        self._broken = True

    async def _take_slot(self, job: Job) -> None:
        if self.running < self.settings.slots:
            self.running += 1
            self._on_change()
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        dropped = asyncio.ensure_future(job.dropped.wait())
        left = job.deadline - time.time() if job.deadline else None
        either: set[asyncio.Future[Any]] = {turn, dropped}
        try:
            await asyncio.wait(
                either, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            dropped.cancel()
            if not turn.done():
                self._waiting.remove(turn)
        if not turn.done():
            raise Refused("cancelled" if job.dropped.is_set() else "deadline")

    def _free_slot(self) -> None:
        if self._waiting:
            # The slot passes on, so the number of running jobs stays.
            self._waiting.popleft().set_result(None)
            return
        self.running -= 1
        self._on_change()

    async def _work(self, job: Job, arrived: float) -> None:
        self._check_deadline(job)
        self._check_fence(job)
        start_wall = time.time()
        start = time.monotonic()
        outcome = Outcome.DROPPED
        try:
            await self._pass_time(job)
            # Work takes effect at its end, where a server that checks fence tokens
            # checks them once more: its grant may have lapsed meanwhile.
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

    async def _pass_time(self, job: Job) -> None:
        """Spend the time of the work, unless the job is dropped meanwhile."""
        duration = self._duration(job.kind)
        start = time.monotonic()
        try:
            await asyncio.wait_for(job.dropped.wait(), duration)
        except TimeoutError:
            await self.thawed.wait()
            return
        await self.thawed.wait()
        # A frozen process sees that its caller went away only after its own work,
        # which was due first, has taken effect.
        if time.monotonic() - start < duration:
            raise Refused("cancelled")

    def _duration(self, kind: str) -> float:
        """Return the seconds that the next job of a kind takes."""
        median = self.settings.work_ms.get(kind, DEFAULT_WORK_MS) / 1000
        duration = median * self._random.lognormvariate(0.0, WORK_SPREAD)
        if self._broken and self.cold:
            duration *= COLD_BREAK_FACTOR
        return duration * self.slow_factor
