"""One target that this VM leads: its queue, its slots and the sending."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING
from uuid import uuid4

from berylstage_policy.target_queue import TargetQueue
from berylstage_policy.tickets import (
    AttemptOutcome,
    Decline,
    Refuse,
    RefuseReason,
    Start,
    Ticket,
)
from berylstage_targets.errors import NotRun, OutcomeUnknown
from logbook import Logger

from berylstage_daemon.answers import (
    BUSY,
    DEFAULT_RETRY_AFTER,
    Answer,
    not_run,
)
from berylstage_daemon.clock import now
from berylstage_daemon.work import answered, for_target, unanswered, work_request

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylstage_ownership.routing import Permit
    from berylstage_policy.thresholds import Thresholds
    from berylstage_targets.target import TargetClient, WorkRequest

    from berylstage_daemon.control import Control
    from berylstage_daemon.load import LoadMeter
    from berylstage_daemon.requests import CallerRequest

log = Logger("leader")

# Sixteen million lives of a leader apart; two leads of one target never share one.
TOKEN_LENGTH = 6
# Refusals that say that the target takes nothing at all, so that its shards must move.
UNWILLING = frozenset({"draining", "unwilling"})
# Outcome of a target's refusal, for the queue and the ramp.
REFUSALS = {
    "cold": AttemptOutcome.COLD,
    "shed": AttemptOutcome.SHED,
    "slots": AttemptOutcome.SHED,
}
# Refusals that may be over before a waiting request has its slot.
PASSING = frozenset({"moving", "no-lease", "target-down"})


class Waiter:
    """A request that waits for a slot.

    Parameters
    ----------
    permit : callable
        Returns leave to send it now, or the refusal.
    """

    __slots__ = ("permit", "fut")

    def __init__(self, permit: Callable[[], Permit | Answer]):
        self.permit = permit
        self.fut: asyncio.Future[Answer | None] = asyncio.Future()


class Leader:
    """The only sender to one target.

    Parameters
    ----------
    name : str
        Name of the target.
    slots : int
    client : TargetClient
    control : Control
    load : LoadMeter
        Counts the slot time of owned keys.
    thresholds : Thresholds
    rng : Random
    """

    def __init__(
        self,
        name: str,
        slots: int,
        client: TargetClient,
        control: Control,
        load: LoadMeter,
        thresholds: Thresholds,
        rng: Random,
    ):
        self.name = name
        self.client = client
        self.queue = TargetQueue(slots, thresholds, rng, now())
        self._control = control
        self._load = load
        self._waiting: dict[str, Waiter] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._settling: set[asyncio.Task] = set()
        # Callers choose their request ids, and a target is led by one VM after the
        # other. Without this a late cancellation by an earlier leader could hit
        # another caller's request of the same id and number.
        self._token = uuid4().hex[:TOKEN_LENGTH]
        self._numbers = itertools.count()

    async def run(
        self,
        req: CallerRequest,
        shard: str,
        permit: Callable[[], Permit | Answer],
        may_decline: bool = False,
    ) -> Answer:
        """Let a request wait for a slot, send it, and return its end.

        Parameters
        ----------
        req : CallerRequest
        shard : str
            Empty where keys are not owned.
        permit : callable
            Asked right before sending whether this VM may still send.
        may_decline : bool
            Whether it is handed back with reason ``busy`` when no slot is free.

        Returns
        -------
        Answer
        """
        ticket = self._ticket(req)
        refusal = await self._slot(ticket, permit, may_decline)
        if refusal is not None:
            return refusal
        # Waiting takes time, in which a lease may lapse or a shard move; a request
        # sent then could run beside its key's new owner. So the permit is asked for
        # at the last moment, with no pause of this task between it and the sending.
        try:
            allowed = permit()
        except BaseException:
            self._finish(ticket, 0.0, AttemptOutcome.NOT_RUN)
            raise
        if not isinstance(allowed, Answer) and allowed.target != self.name:
            # Its shard went to another target that this VM leads, too. Sent here it
            # would run at a target that owns the key no more.
            allowed = not_run("moved")
        if isinstance(allowed, Answer):
            self._finish(ticket, 0.0, AttemptOutcome.NOT_RUN)
            return allowed
        return await self._send(ticket, req, shard, allowed)

    def seen(self, incarnation: str, is_cold: bool) -> None:
        """Take in an answer of the target to a grant order."""
        # The word first: the sign of life ends a doubt and may start what waits.
        self.queue.set_reported_cold(is_cold, now())
        self._begin(self.queue.observe_incarnation(incarnation, now()))
        self._arm()

    def set_slots(self, slots: int) -> None:
        """Take in another number of slots."""
        self._begin(self.queue.set_slots(slots, now()))
        self._arm()

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Take in the thresholds of another sheet."""
        self.queue.set_thresholds(thresholds)
        self._arm()

    def hand_back(self) -> None:
        """Turn away what waits because another VM leads the target from now on.

        Left alone it would wait for slots that unsettled work may keep until its
        deadline, though the new leader could start it at once.
        """
        for ticket in self.queue.remove_waiting():
            refusal = Refuse(ticket.id, RefuseReason.DRAINING, DEFAULT_RETRY_AFTER)
            self._turn_away(refusal)
        self._arm()

    def look_again(self) -> None:
        """Turn away what waits for a shard that went elsewhere.

        Left in the queue, a request that may not be repeated would be handed to the
        shard's new VM as one that may have run, though it was never sent: its caller
        would be told *not run* here and *unknown* there.
        """
        for ticket_id, waiter in list(self._waiting.items()):
            leave = waiter.permit()
            if isinstance(leave, Answer):
                if leave.reason in PASSING:
                    continue
            elif leave.target == self.name:
                continue
            else:
                leave = not_run("moved")
            if not waiter.fut.done():
                self.queue.cancel(ticket_id, now())
                waiter.fut.set_result(leave)
        self._arm()

    async def close(self) -> None:
        """Turn away what waits and let go of the connections."""
        self.retire()
        for task in self._settling:
            task.cancel()
        await self.client.close()

    def retire(self) -> None:
        """Turn away what waits, at once; what was sent may still end."""
        for ticket in self.queue.drain():
            refusal = Refuse(ticket.id, RefuseReason.DRAINING, DEFAULT_RETRY_AFTER)
            self._turn_away(refusal)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _ticket(self, req: CallerRequest) -> Ticket:
        """Return what the decisions see of a request."""
        return Ticket(
            id=f"{req.request_id}#{self._token}-{next(self._numbers)}",
            tenant=req.service.tenant,
            request_class=req.kind.request_class.value,
            caller=req.caller,
            service=req.service.name,
            kind=req.kind.name,
            key=req.key,
            arrived=req.arrived,
            deadline=req.deadline,
        )

    async def _slot(
        self,
        ticket: Ticket,
        permit: Callable[[], Permit | Answer],
        may_decline: bool,
    ) -> Answer | None:
        """Wait for a slot; return a refusal when there will be none in time."""
        decision = self.queue.offer(ticket, now(), may_decline)
        self._arm()
        if isinstance(decision, Start):
            return None
        if isinstance(decision, Decline):
            return not_run(BUSY)
        if isinstance(decision, Refuse):
            return _refused(decision)
        waiter = Waiter(permit)
        self._waiting[ticket.id] = waiter
        try:
            return await waiter.fut
        except asyncio.CancelledError:
            if self.queue.cancel(ticket.id, now()):
                self._finish(ticket, 0.0, AttemptOutcome.CANCELLED)
            raise
        finally:
            self._waiting.pop(ticket.id, None)

    async def _send(
        self,
        ticket: Ticket,
        req: CallerRequest,
        shard: str,
        permit: Permit,
    ) -> Answer:
        """Send a request that has its slot and its permit."""
        started = now()
        # Who takes the shard over waits for no longer than the permit says; a caller's
        # own later deadline must not keep the target at work beyond that.
        deadline = min(req.deadline, started + permit.longest)
        usual = self.queue.costs.mean(req.kind.name)
        work = work_request(ticket.id, req, shard, permit, deadline - started, usual)
        self._control.work_started(self.name, shard, deadline)
        try:
            reply = await self.client.send(work)
        except NotRun as exc:
            self._control.work_ended(self.name, shard)
            if exc.reason in UNWILLING:
                self._control.target_unwilling(self.name, exc.reason)
            ended = REFUSALS.get(exc.reason, AttemptOutcome.NOT_RUN)
            self._finish(ticket, now() - started, ended)
            return for_target(not_run(exc.reason), permit)
        except OutcomeUnknown as exc:
            self._settle_later(ticket, work, started, deadline)
            extra = {"request_id": req.request_id, "target": self.name}
            log.info(str(exc), extra=extra)
            return for_target(unanswered(deadline), permit)
        except BaseException:
            # The caller went away, or the client failed in a way that nobody foresaw.
            # Without the settling the slot would stay taken and the shard could never
            # be released: a target that serves one request fewer after each.
            self._settle_later(ticket, work, started, deadline)
            raise
        self._control.work_ended(self.name, shard)
        seconds = now() - started
        self._finish(ticket, seconds, AttemptOutcome.ANSWERED, reply.incarnation)
        if shard:
            self._load.observe(req.service.name, shard, req.key, seconds)
        return answered(reply, permit)

    def _settle_later(
        self, ticket: Ticket, work: WorkRequest, started: float, deadline: float
    ) -> None:
        """Keep the slot until the target certainly works on the request no more.

        A slot that is given on at once would put more on the target than it bears,
        and a shard that is released at once could be worked on by two targets.
        """
        task = asyncio.ensure_future(self._settle(ticket, work, started, deadline))
        self._settling.add(task)
        task.add_done_callback(self._settling.discard)

    async def _settle(
        self, ticket: Ticket, work: WorkRequest, started: float, deadline: float
    ) -> None:
        """Cancel at the target; without its word wait for the deadline it was told."""
        try:
            confirmed = await self.client.cancel(work.request_id)
        except Exception:
            log.exception("a cancellation failed", extra={"target": self.name})
            confirmed = False
        if not confirmed:
            # By the monotonic clock: a wall clock that is set while this waits would
            # free the slot too early, or keep it for as long as the clock was wrong.
            await asyncio.sleep(max(deadline - now(), 0.0))
        self._control.work_ended(self.name, work.shard)
        self._finish(ticket, now() - started, AttemptOutcome.UNKNOWN)

    def _finish(
        self,
        ticket: Ticket,
        seconds: float,
        ended: AttemptOutcome,
        incarnation: str = "",
    ) -> None:
        """Free a slot and start what waits for it."""
        self._begin(self.queue.finish(ticket.id, now(), seconds, ended, incarnation))
        self._arm()

    def _begin(self, tickets: list[Ticket]) -> None:
        """Wake the requests whose turn it is.

        A VM that is lost takes all its callers along, hundreds at once, so that those
        who are gone are passed over in a loop: a call for each would exceed the depth
        of the stack, and the answer that freed the slot would be lost with it.
        """
        started = list(tickets)
        while started:
            ticket = started.pop(0)
            waiter = self._waiting.get(ticket.id)
            if waiter is not None and not waiter.fut.done():
                waiter.fut.set_result(None)
                continue
            # Its caller has just gone: the slot would stay taken for good.
            started += self.queue.finish(
                ticket.id, now(), 0.0, AttemptOutcome.CANCELLED
            )

    def _turn_away(self, refusal: Refuse) -> None:
        """Give a waiting request its final answer at once."""
        waiter = self._waiting.get(refusal.ticket_id)
        if waiter is not None and not waiter.fut.done():
            waiter.fut.set_result(_refused(refusal))

    def _arm(self) -> None:
        """Set the timer to the moment at which the queue has refusals."""
        moment = self.queue.next_expiry()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if moment is not None:
            delay = max(moment - now(), 0.0)
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(delay, self._expire)

    def _expire(self) -> None:
        """Turn away what can no longer make its deadline."""
        self._timer = None
        for refusal in self.queue.pop_expired(now()):
            self._turn_away(refusal)
        self._arm()


def _refused(refusal: Refuse) -> Answer:
    """Return the answer that a refusal of the queue means."""
    return not_run(refusal.reason.value, refusal.retry_after)
