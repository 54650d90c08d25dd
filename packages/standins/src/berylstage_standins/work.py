"""Work on a target: slots, backlog, cold start, deadlines and cancellation."""

from __future__ import annotations

import asyncio
import random
import time
from collections import deque
from typing import TYPE_CHECKING

from berylstage_standins.grants import GrantTable
from berylstage_standins.ledger import COLD_BOUND_BROKEN, RAN, LedgerWriter

if TYPE_CHECKING:
    from typing import Any

# Factor by which work slows down once the bound of a cold start is broken.
COLD_BREAK_FACTOR = 10.0
# Milliseconds of work for a kind without a setting of its own.
DEFAULT_WORK_MS = 5.0
# Spread of the time of work: the standard deviation of its logarithm.
WORK_SPREAD = 0.3
# Seconds between two readings of a clock that work in progress takes.
PAUSE_TICK = 0.01


class Refused(Exception):
    """Work that certainly did not run, with the reason for the ``Not-Run`` header."""

    def __init__(self, reason: str):
        super().__init__(f"not run: {reason}; send it again later or elsewhere")
        self.reason = reason


class Job:
    """One request for work as it arrived.

    Parameters
    ----------
    request_id, service, kind, key : str
    shard, fence, epoch : int
    vm : str
    idempotency_key : str
    digest : str
        Digest of the body, which tells a caller that an answer is its own.
    deadline : float
        Seconds since 1970; 0 for none.
    """

    __slots__ = (
        "cancelled",
        "deadline",
        "digest",
        "epoch",
        "fence",
        "idempotency_key",
        "key",
        "kind",
        "request_id",
        "service",
        "shard",
        "vm",
    )

    def __init__(
        self,
        request_id: str,
        service: str,
        kind: str,
        key: str,
        shard: int,
        fence: int,
        epoch: int,
        vm: str,
        idempotency_key: str,
        digest: str,
        deadline: float,
    ):
        self.request_id = request_id
        self.service = service
        self.kind = kind
        self.key = key
        self.shard = shard
        self.fence = fence
        self.epoch = epoch
        self.vm = vm
        self.idempotency_key = idempotency_key
        self.digest = digest
        self.deadline = deadline
        self.cancelled = asyncio.Event()

    def record(self) -> dict:
        """Return the fields that the ledger shows."""
        hidden = ("cancelled", "deadline")
        return {n: getattr(self, n) for n in self.__slots__ if n not in hidden}


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
        warm_after: int = 50,
        work_ms: dict[str, float] | None = None,
        seed: int = 1,
        checks_fences: bool = True,
    ):
        self.slots = slots
        self.backlog = backlog
        self.cold_bound = cold_bound
        self.warm_after = warm_after
        self.work_ms = work_ms or {}
        self.seed = seed
        self.checks_fences = checks_fences


class Workshop:
    """Runs jobs in slots and records them in the ledger.

    Parameters
    ----------
    settings : WorkSettings
    grants : GrantTable
    ledger : LedgerWriter
    """

    def __init__(
        self, settings: WorkSettings, grants: GrantTable, ledger: LedgerWriter
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
        self._cold_left = settings.warm_after if settings.cold_bound else 0
        self._broken = False
        self._waiting: deque[asyncio.Future[None]] = deque()
        self._random = random.Random(settings.seed)

    @property
    def cold(self) -> bool:
        """Whether the target is in cold start."""
        return self._cold_left > 0

    def turn_cold(self) -> None:
        """Begin a cold start, without warning."""
        self._cold_left = self.settings.warm_after
        self._broken = False

    def cancel(self, request_id: str) -> bool:
        """Drop a job; False when it is not here."""
        job = self.jobs.get(request_id)
        if job is None:
            return False
        job.cancelled.set()
        return True

    async def run(self, job: Job) -> None:
        """Run a job to its end.

        Raises
        ------
        Refused
            It had no effect.
        """
        self._admit(job)
        self.jobs[job.request_id] = job
        self._check_cold_bound(job)
        try:
            await self._take_slot(job)
            try:
                await self._work(job)
            finally:
                self._free_slot()
        finally:
            self.jobs.pop(job.request_id, None)

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
        shard = f"{job.service}/{job.shard}"
        if not self.grants.covers(shard, job.fence, job.epoch):
            raise Refused("fence")

    def _check_cold_bound(self, job: Job) -> None:
        bound = self.settings.cold_bound
        if not self.cold or not bound or len(self.jobs) <= bound:
            return
        self._broken = True
        self.ledger.append(
            {
                "event": COLD_BOUND_BROKEN,
                "wall": time.time(),
                "received": len(self.jobs),
                "bound": bound,
                "request_id": job.request_id,
            }
        )

    async def _take_slot(self, job: Job) -> None:
        if self.running < self.settings.slots:
            self.running += 1
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append(turn)
        cancelled = asyncio.ensure_future(job.cancelled.wait())
        left = job.deadline - time.time() if job.deadline else None
        try:
            either: set[asyncio.Future[Any]] = {turn, cancelled}
            await asyncio.wait(
                either, timeout=left, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            cancelled.cancel()
            if not turn.done():
                self._waiting.remove(turn)
        if not turn.done():
            raise Refused("cancelled" if job.cancelled.is_set() else "deadline")

    def _free_slot(self) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def _work(self, job: Job) -> None:
        self._check_deadline(job)
        self._check_fence(job)
        start_wall = time.time()
        start = time.monotonic()
        outcome = "cancelled"
        try:
            if await self._pass_time(job):
                raise Refused("cancelled")
            # Work takes effect at its end, where a server that checks fence tokens
            # checks them once more: its grant may have lapsed meanwhile.
            outcome = "fenced"
            self._check_fence(job)
            outcome = "done"
            self._cold_left = max(0, self._cold_left - 1)
        finally:
            self.ledger.append(
                {
                    "event": RAN,
                    "outcome": outcome,
                    **job.record(),
                    "start_wall": start_wall,
                    "end_wall": time.time(),
                    "start": start,
                    "end": time.monotonic(),
                }
            )

    async def _pass_time(self, job: Job) -> bool:
        """Spend the time of the work; True when it was cancelled meanwhile."""
        median = self.settings.work_ms.get(job.kind, DEFAULT_WORK_MS) / 1000
        duration = median * self._random.lognormvariate(0.0, WORK_SPREAD)
        duration *= self.slow_factor
        if self._broken and self.cold:
            duration *= COLD_BREAK_FACTOR
        try:
            await asyncio.wait_for(job.cancelled.wait(), duration)
        except TimeoutError:
            await self.thawed.wait()
        return job.cancelled.is_set()
