"""Requests that may not be repeated: each runs at most once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_ownership.idempotency import CALLER_LEAD_MS, IdempotencyTable, Verdict

from berylstage_daemon.answers import (
    DEFAULT_RETRY_AFTER,
    Answer,
    Outcome,
    in_progress,
    not_run,
    unknown,
)
from berylstage_daemon.clock import wall

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_ownership.actions import ShardActivated, ShardReleased
    from berylstage_ownership.idempotency import Decision

    from berylstage_daemon.events import EventManager
    from berylstage_daemon.requests import CallerRequest

MILLISECONDS = 1000
STATUS_CONFLICT = 409
STATUS_BAD_REQUEST = 400


class Once:
    """Lets each request that may not be repeated run at most once.

    Parameters
    ----------
    events : EventManager
        Tells which shards this VM gains and lets go of.
    """

    def __init__(self, events: EventManager):
        self.table = IdempotencyTable()
        self._running: set[asyncio.Task] = set()
        events.connect("shard-activated", self._gain)
        events.connect("shard-released", self._lose)

    async def run(
        self,
        req: CallerRequest,
        shard: str,
        work: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Run a request, or return what is known of its first run.

        Parameters
        ----------
        req : CallerRequest
        shard : str
        work : callable
            Sends the request and returns its end.

        Returns
        -------
        Answer
        """
        if req.kind.repeatable:
            return await work()
        decision = await self._decide(req, shard)
        if not self.table.serves(shard):
            # The shard moved while an early request waited. It did not run here, and
            # the shard's new VM has the records to tell whether it is fresh.
            return not_run("moved")
        if decision.verdict is not Verdict.RUN:
            return _known(decision)
        # The work goes on when its caller goes away. Cancelled half-way it would end
        # as unknown; this way the caller's repeat gets the first answer.
        task = asyncio.ensure_future(self._work(req, shard, work))
        self._running.add(task)
        task.add_done_callback(self._running.discard)
        return await asyncio.shield(task)

    async def _decide(self, req: CallerRequest, shard: str) -> Decision:
        """Return the decision on a request, once its issue time has come."""
        while True:
            wall_ms = int(wall() * MILLISECONDS)
            key, issued_ms = req.idempotency_key, req.issued_at_ms
            decision = self.table.admit(shard, key, issued_ms, wall_ms)
            if decision.verdict is not Verdict.EARLY:
                return decision
            ahead_ms = issued_ms - wall_ms - CALLER_LEAD_MS
            await asyncio.sleep(ahead_ms / MILLISECONDS)

    async def _work(
        self,
        req: CallerRequest,
        shard: str,
        work: Callable[[], Awaitable[Answer]],
    ) -> Answer:
        """Run a request and keep its end."""
        key = req.idempotency_key
        try:
            answer = await work()
        except BaseException:
            # Whatever went wrong, nobody can tell any more whether it was sent.
            self.table.unknown(shard, key)
            raise
        if answer.outcome is Outcome.ANSWERED:
            self.table.answered(
                shard, key, answer.status, answer.body, answer.content_type
            )
        elif answer.outcome is Outcome.NOT_RUN:
            self.table.not_run(shard, key)
        else:
            self.table.unknown(shard, key)
        return answer

    def _gain(self, notice: ShardActivated) -> None:
        """Start a shard with the records of its earlier holders, or with a floor."""
        if notice.records is None:
            self.table.gain(notice.shard, int(wall() * MILLISECONDS))
        else:
            self.table.take_over(notice.shard, notice.records)

    def _lose(self, notice: ShardReleased) -> None:
        """Stop a shard."""
        self.table.lose(notice.shard)


def _known(decision: Decision) -> Answer:
    """Return the answer to a request that does not run now."""
    match decision.verdict:
        case Verdict.ANSWERED:
            record = decision.record
            assert record is not None
            return Answer(
                Outcome.ANSWERED,
                record.status,
                body=record.body,
                content_type=record.content_type,
            )
        case Verdict.IN_PROGRESS:
            answer = in_progress()
        case Verdict.UNKNOWN:
            answer = unknown("unknown-before")
        case Verdict.NOT_FRESH:
            answer = unknown("not-fresh", STATUS_CONFLICT)
        case Verdict.FROM_THE_FUTURE:
            answer = Answer(Outcome.NOT_RUN, STATUS_BAD_REQUEST, "clock-ahead")
        case _:
            answer = not_run("table-full", DEFAULT_RETRY_AFTER)
    answer.message = decision.message
    return answer
