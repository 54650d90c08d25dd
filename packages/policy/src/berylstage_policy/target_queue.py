"""Admission control and the request queue in front of one target.

The queue handles bursts, saturation, callers that flood the target, and long requests
mixed with short ones. It is bounded and aware of deadlines: without that, overload
makes every answer late, because the slots stay busy with requests whose callers have
timed out. Some slots are reserved for short requests; without the reserve, two long
requests would block a target that has two slots.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.backoff import RetryAfter
from berylstage_policy.coldstart import ColdStart
from berylstage_policy.costs import CostModel
from berylstage_policy.entries import Entry, RunningEntries
from berylstage_policy.expiry import ExpiryHeap
from berylstage_policy.fairness import FairQueue
from berylstage_policy.lanes import SHORT, Lanes
from berylstage_policy.slots import seconds_to_serve
from berylstage_policy.tickets import (
    AttemptOutcome,
    Decision,
    Decline,
    Refuse,
    RefuseReason,
    Start,
    Ticket,
    Wait,
)

if TYPE_CHECKING:
    from random import Random

    from berylstage_policy.thresholds import Thresholds


class TargetQueue:
    """Admission control, fair queue and slot accounting of one target.

    Parameters
    ----------
    slots : int
        Concurrent requests that the warm target accepts.
    thresholds : Thresholds
    rng : Random
        Source of the jitter in the retry delays of refused callers.
    now : float
        Monotonic seconds.
    costs : CostModel, optional
        Service times learned earlier, from this target under a previous leader or from
        another target of the service. They let the ramp distinguish cold from warm
        answers.

    Attributes
    ----------
    ramp : ColdStart
        Concurrency limit after a start of the target. Callers report incarnations and
        load reports to it.
    costs : CostModel
        Service time of each kind of request on this target.
    """

    def __init__(
        self,
        slots: int,
        thresholds: Thresholds,
        rng: Random,
        now: float,
        costs: CostModel | None = None,
    ):
        self.ramp = ColdStart(slots, thresholds, now)
        self.costs = costs or CostModel(thresholds)
        self._retry_after = RetryAfter(rng, thresholds)
        self._fair_queue: FairQueue[Entry] = FairQueue(thresholds["returning_work"])
        self._waiting: dict[str, Entry] = {}
        self._running = RunningEntries()
        self._expiry = ExpiryHeap(self._waiting)
        self._pending_refusals: list[Refuse] = []
        self._draining = False
        self._paused_until: float | None = None
        self._checked_level = 1
        self._lanes = Lanes(thresholds)
        self._set_limits(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds for requests that are offered or started from now on.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self.ramp.set_thresholds(thresholds)
        self.costs.set_thresholds(thresholds)
        self._retry_after.set_thresholds(thresholds)
        self._lanes.set_thresholds(thresholds)
        self._fair_queue.set_overtaking_factor(thresholds["returning_work"])
        self._set_limits(thresholds)

    def _set_limits(self, thresholds: Thresholds) -> None:
        """Copy the thresholds that the queue itself uses."""
        self._queue_limit = int(thresholds["queue_limit"])
        self._wait_share = thresholds["wait_share"]

    @property
    def waiting(self) -> int:
        """Number of requests that wait in the queue."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of requests that occupy a slot."""
        return len(self._running)

    def has_free_slot(self, now: float) -> bool:
        """Return whether a new request would start immediately."""
        is_idle = not self._waiting and self._paused_until is None
        return is_idle and len(self._running) < self.ramp.limit(now)

    def set_slots(self, slots: int, now: float) -> list[Ticket]:
        """Change the number of slots and return the requests to start now."""
        self.ramp.set_slots(slots)
        return self._start_waiting(now)

    def observe_incarnation(self, incarnation: str, now: float) -> list[Ticket]:
        """Record the incarnation in a grant or probe reply; return what starts now.

        Parameters
        ----------
        incarnation : str
            Identifier of the target's process, taken from the reply.
        now : float

        Returns
        -------
        list of Ticket
            Requests to send now, if the reply rules out a suspected restart. Check
            `next_expiry` afterwards as well: a new incarnation is a cold target, for
            which many waiting requests may be refused.
        """
        self.ramp.observe_incarnation(now, incarnation)
        return self._start_waiting(now)

    def set_reported_cold(self, is_cold: bool, now: float, age: float = 0.0) -> None:
        """Record the cold-start flag of a report that is `age` seconds old."""
        self.ramp.set_reported_cold(now, is_cold, age)

    def pause(self, until: float) -> None:
        """Start no requests until `resume`, because the target refuses connections.

        Without the pause, a target that is gone would accept and lose the whole queue
        in the second before its keys move. `drain` returns the waiting requests for the
        new owner.

        Parameters
        ----------
        until : float
            Time at which the target or a new owner is expected to accept requests.
            Admission uses it to estimate the wait.
        """
        self._paused_until = until

    def resume(self, now: float) -> list[Ticket]:
        """End the pause and return the requests to start now."""
        self._paused_until = None
        return self._start_waiting(now)

    def offer(self, ticket: Ticket, now: float, may_decline: bool = False) -> Decision:
        """Decide whether to start, queue, decline or refuse a new request.

        Parameters
        ----------
        ticket : Ticket
        now : float
        may_decline : bool
            Whether another target could serve the request. If so, it is declined
            instead of queued.

        Returns
        -------
        Decision
            `Start`, `Wait`, `Decline` or `Refuse`. A refusal is final and carries a
            retry delay.
        """
        if self._draining:
            return Refuse(
                ticket.id, RefuseReason.DRAINING, self._compute_retry_after(now, 0.0)
            )
        if ticket.deadline <= now:
            return Refuse(
                ticket.id, RefuseReason.DEADLINE, self._compute_retry_after(now, 0.0)
            )
        entry = self._make_entry(ticket, now)
        limit = self.ramp.limit(now)
        if self._may_start(entry, limit, now):
            self._start_entry(entry, now)
            return Start(ticket.id)
        if may_decline:
            return Decline(ticket.id)
        wait = self._expected_wait(entry, limit, now)
        slack = (ticket.deadline - now) * self._wait_share - entry.cost
        if wait > slack:
            excess = wait - max(0.0, slack)
            retry_after = self._compute_retry_after(now, excess)
            return Refuse(ticket.id, RefuseReason.DEADLINE, retry_after)
        if len(self._waiting) >= self._queue_limit and not self._evict_heaviest(
            entry, now
        ):
            retry_after = self._compute_retry_after(now, wait)
            return Refuse(ticket.id, RefuseReason.QUEUE_FULL, retry_after)
        self._enqueue(entry)
        return Wait(ticket.id)

    def finish(
        self,
        ticket_id: str,
        now: float,
        seconds: float,
        outcome: AttemptOutcome,
        incarnation: str = "",
    ) -> list[Ticket]:
        """Free the slot of a request and return the requests to start now.

        Call it only once the target has certainly stopped working on the request: it
        has answered, refused, or confirmed a cancellation, or the deadline that it was
        given has passed. An earlier call would exceed the target's concurrency limit.

        Parameters
        ----------
        ticket_id : str
        now : float
        seconds : float
            Seconds since the request was started.
        outcome : AttemptOutcome
        incarnation : str, default=""
            Identifier of the target's process named in the reply; empty without a
            reply.

        Returns
        -------
        list of Ticket
            Requests to send to the target now.
        """
        entry = self._running.remove(ticket_id)
        if entry is None:
            return []
        # The flow was charged the expected cost at the start. Without this correction,
        # a flow whose requests take longer than expected would get more than its share
        # until the cost model has learned their service time.
        if entry.is_charged and outcome is AttemptOutcome.ANSWERED:
            self._fair_queue.charge(entry.leaf, seconds - entry.cost)
        self._record_outcome(entry, now, seconds, outcome, incarnation)
        return self._start_waiting(now)

    def cancel(self, ticket_id: str, now: float) -> bool:
        """Cancel a request whose caller has disconnected.

        Returns
        -------
        bool
            True if the request occupies a slot. Cancel it at the target then, and call
            `finished` once the target has confirmed.
        """
        entry = self._waiting.pop(ticket_id, None)
        if entry is not None:
            self._fair_queue.remove(entry.leaf, entry)
        return ticket_id in self._running

    def pop_expired(self, now: float) -> list[Refuse]:
        """Remove and return the requests that can no longer meet their deadlines."""
        refusals, self._pending_refusals = self._pending_refusals, []
        if self.ramp.level < self._checked_level:
            refusals.extend(self._refuse_excess(self.ramp.limit(now), now))
        self._checked_level = self.ramp.level
        while (ticket_id := self._expiry.pop_due(now)) is not None:
            refusals.append(self._refuse_waiting(self._waiting.pop(ticket_id), now))
        return refusals

    def next_expiry(self) -> float | None:
        """Return when `expired` will return refusals, or None if nothing waits."""
        if self._pending_refusals or self.ramp.level < self._checked_level:
            return float("-inf")
        return self._expiry.next_expiry()

    def expected_wait(self, now: float) -> float:
        """Return the seconds that a typical new request waits, for load digests."""
        return self._seconds_to_serve(
            self._fair_queue.root.backlog, self.ramp.limit(now), now
        )

    def drain(self) -> list[Ticket]:
        """Refuse new requests from now on; remove and return the waiting ones."""
        self._draining = True
        return self.remove_waiting()

    def remove_waiting(self) -> list[Ticket]:
        """Remove and return all waiting requests, but keep admitting new ones.

        Used for a service without key ownership when its target stalls: the waiting
        requests have not run, so even non-idempotent ones can go to another target long
        before their deadlines.
        """
        tickets = []
        for entry in self._waiting.values():
            tickets.append(entry.ticket)
            self._fair_queue.remove(entry.leaf, entry)
        self._waiting.clear()
        self._expiry.clear()
        return tickets

    def _make_entry(self, ticket: Ticket, now: float) -> Entry:
        """Create the queue entry of a request from its flow and expected cost."""
        is_short = self._lanes.is_short(ticket, self.costs)
        cost = ticket.expected_cost or self.costs.mean(ticket.kind)
        if is_short:
            self._lanes.record_offered(cost, now)
        # Slow answers raise the expected cost. If the cost alone could refuse every
        # request, none would run and a recovered target would never be detected.
        slack = (ticket.deadline - now) * (1.0 - self._wait_share)
        latest = max(ticket.deadline - cost, now + min(slack, cost))
        leaf = self._fair_queue.leaf(self._lanes.flow_path(ticket, is_short))
        return Entry(ticket, leaf, cost, is_short, latest)

    def _may_start(self, entry: Entry, limit: int, now: float) -> bool:
        """Return whether a new request may start now instead of being queued."""
        if len(self._running) >= limit or self._paused_until is not None:
            return False
        if entry.is_short:
            lane = self._fair_queue.root.children.get(SHORT)
            return lane is None or not lane.size
        return not len(
            self._fair_queue
        ) and self._running.long_count < self._lanes.max_long_slots(limit, now)

    def _start_entry(self, entry: Entry, now: float) -> None:
        """Assign a slot to the entry and charge its flow."""
        self._running.add(entry, now)
        # While nobody waits, the slot is taken from no other flow, so nothing is
        # charged.
        if self._waiting:
            self._fair_queue.charge(entry.leaf, entry.cost)
            entry.is_charged = True

    def _enqueue(self, entry: Entry) -> None:
        """Add the entry to the fair queue and to the expiry heap."""
        ticket_id = entry.ticket.id
        self._waiting[ticket_id] = entry
        self._fair_queue.push(entry.leaf, entry, entry.cost)
        self._expiry.add(entry.latest_start, ticket_id, len(self._waiting))

    def _start_waiting(self, now: float) -> list[Ticket]:
        """Start waiting requests while slots are available to them."""
        limit = self.ramp.limit(now)
        self._checked_level = max(self._checked_level, self.ramp.level)
        started = []
        if self._paused_until is not None:
            return []
        while self._waiting and len(self._running) < limit:
            entry = self._pop_next(limit, now)
            if entry is None:
                break
            del self._waiting[entry.ticket.id]
            if entry.latest_start < now:
                self._pending_refusals.append(self._make_refusal(entry, now))
                continue
            self._start_entry(entry, now)
            started.append(entry.ticket)
        return started

    def _pop_next(self, limit: int, now: float) -> Entry | None:
        """Remove and return the entry to start next, or None if none may start."""
        is_long_limited = self._running.long_count >= self._lanes.max_long_slots(
            limit, now
        )
        if not is_long_limited:
            return self._fair_queue.pop()
        short = self._fair_queue.root.children.get(SHORT)
        if short is None or not short.size:
            return None
        return self._fair_queue.pop(SHORT)

    def _record_outcome(
        self,
        entry: Entry,
        now: float,
        seconds: float,
        outcome: AttemptOutcome,
        incarnation: str,
    ) -> None:
        """Update the cost model and the ramp with the outcome of a request."""
        ramp = self.ramp
        if incarnation:
            ramp.observe_incarnation(now, incarnation)
        if outcome is AttemptOutcome.COLD:
            ramp.reset(now)
        elif outcome is AttemptOutcome.UNKNOWN:
            ramp.suspect_restart(now)
        elif outcome is AttemptOutcome.ANSWERED:
            kind = entry.ticket.kind
            ramp.record_completion(now, self.costs.warm_ratio(kind, seconds))
            self.costs.observe(kind, seconds, entry.is_short, ramp.warm)

    def _seconds_to_serve(self, work: float, limit: int, now: float) -> float:
        """Return the seconds until the slots have done `work` and one is free."""
        return seconds_to_serve(
            work, limit, self._running.remaining_seconds_sorted(now)
        )

    def _expected_wait(self, entry: Entry, limit: int, now: float) -> float:
        """Return the seconds until a new request starts at its flow's fair share."""
        work = self._fair_queue.work_ahead(entry.leaf, entry.cost)
        if not entry.is_short:
            limit = self._lanes.max_long_slots(limit, now)
        wait = self._seconds_to_serve(work, limit, now)
        if self._paused_until is not None:
            wait += max(0.0, self._paused_until - now)
        return wait

    def _evict_heaviest(self, new_entry: Entry, now: float) -> bool:
        """Evict the newest request of the heaviest flow if that flow is longer."""
        heaviest_leaf = self._fair_queue.heaviest_leaf()
        if heaviest_leaf.size <= new_entry.leaf.size + 1:
            return False
        victim = heaviest_leaf.items[-1][0]
        del self._waiting[victim.ticket.id]
        self._fair_queue.remove(heaviest_leaf, victim)
        self._pending_refusals.append(
            self._make_refusal(victim, now, RefuseReason.QUEUE_FULL)
        )
        return True

    def _refuse_excess(self, limit: int, now: float) -> list[Refuse]:
        """Refuse what cannot be served in time under a lower limit, newest first.

        When a target restarts cold with a full queue, most of the queue is lost.
        Callers that are refused immediately can retry elsewhere; callers held until
        their deadlines cannot.
        """
        refusals = []
        for entry in reversed(list(self._waiting.values())):
            work = self._fair_queue.work_ahead(entry.leaf, 0.0) - entry.cost
            wait = self._seconds_to_serve(max(0.0, work), limit, now)
            if now + wait <= entry.latest_start:
                continue
            del self._waiting[entry.ticket.id]
            refusals.append(self._refuse_waiting(entry, now))
        return refusals

    def _refuse_waiting(self, entry: Entry, now: float) -> Refuse:
        """Remove a waiting entry from the fair queue and return its refusal."""
        self._fair_queue.remove(entry.leaf, entry)
        return self._make_refusal(entry, now)

    def _make_refusal(
        self,
        entry: Entry,
        now: float,
        reason: RefuseReason = RefuseReason.DEADLINE,
    ) -> Refuse:
        """Return a refusal that carries a retry delay."""
        wait = self.expected_wait(now)
        return Refuse(entry.ticket.id, reason, self._compute_retry_after(now, wait))

    def _compute_retry_after(self, now: float, excess: float) -> float:
        """Return the seconds after which a refused caller may retry."""
        seconds_per_request = self.costs.mean("") / max(1, self.ramp.limit(now))
        return self._retry_after.next_delay(now, excess, seconds_per_request)
