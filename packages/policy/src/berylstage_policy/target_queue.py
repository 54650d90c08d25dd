"""The one queue in front of a target: what starts, waits or is turned away.

The load it answers: bursts, saturation, callers that flood, and long work among short.
Without a bounded queue that knows deadlines, overload makes every answer late: the
slots stay busy with requests whose callers have gone. Without the reserve for short
work, two long requests close a target with two slots to everybody else.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.backoff import RetryAfter
from berylstage_policy.coldstart import ColdStart
from berylstage_policy.costs import CostModel
from berylstage_policy.entries import Entry, Slots
from berylstage_policy.expiry import ExpiryHeap
from berylstage_policy.fairness import FairQueue
from berylstage_policy.lanes import SHORT, Lanes
from berylstage_policy.slots import time_to_serve
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
    """Admission, queue and slots of one led target.

    Parameters
    ----------
    slots : int
        Requests that the warm target works on at the same time.
    thresholds : Thresholds
    rng : Random
        Spreads the moments at which refused callers come back.
    now : float
        Monotonic seconds.
    costs : CostModel, optional
        What was learned before, so that a ramp can tell cold from warm answers: of
        this target under an earlier lead, or of another target of the service.

    Attributes
    ----------
    ramp : ColdStart
        Tell it of incarnations and load reports.
    costs : CostModel
        What kinds of work take on this target.
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
        self._fair: FairQueue[Entry] = FairQueue(thresholds["returning_work"])
        self._waiting: dict[str, Entry] = {}
        self._slots = Slots()
        self._expiry = ExpiryHeap(self._waiting)
        self._displaced: list[Refuse] = []
        self._draining = False
        self._paused_until: float | None = None
        self._planned_limit = 1
        self._lanes = Lanes(thresholds)
        self._set_limits(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Take in other thresholds, for what is offered and started from now on.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self.ramp.set_thresholds(thresholds)
        self.costs.set_thresholds(thresholds)
        self._retry_after.set_thresholds(thresholds)
        self._lanes.set_thresholds(thresholds)
        self._fair.set_returning(thresholds["returning_work"])
        self._set_limits(thresholds)

    def _set_limits(self, thresholds: Thresholds) -> None:
        """Take in the thresholds that the queue itself goes by."""
        self._queue_limit = int(thresholds["queue_limit"])
        self._wait_share = thresholds["wait_share"]

    @property
    def waiting(self) -> int:
        """Number of tickets that wait."""
        return len(self._waiting)

    @property
    def running(self) -> int:
        """Number of tickets in a slot."""
        return len(self._slots)

    def has_free_slot(self, now: float) -> bool:
        """Tell whether a newcomer would start at once."""
        is_idle = not self._waiting and self._paused_until is None
        return is_idle and len(self._slots) < self.ramp.limit(now)

    def set_slots(self, slots: int, now: float) -> list[Ticket]:
        """Take in another number of slots and return what starts now."""
        self.ramp.set_slots(slots)
        return self._fill(now)

    def seen(self, incarnation: str, now: float) -> list[Ticket]:
        """Take in an answer to a grant or probe and return what starts now.

        Parameters
        ----------
        incarnation : str
            Run of the target's process that the answer named.
        now : float

        Returns
        -------
        list of Ticket
            To be sent now, when the answer ends a doubt. Look at `next_expiry` too:
            another incarnation is a cold target, for which much may be turned away.
        """
        self.ramp.seen(now, incarnation)
        return self._fill(now)

    def reported(self, is_cold: bool, now: float, age: float = 0.0) -> None:
        """Take in the target's own word, some seconds old, on being in cold start."""
        self.ramp.reported(now, is_cold, age)

    def pause(self, until: float) -> None:
        """Start nothing until `resume`: connections to the target are refused.

        Without it a target that is gone would take and lose the whole queue in the
        second before its keys move. Paused tickets go to the new owner by `drain`.

        Parameters
        ----------
        until : float
            When the target or a new owner is expected to take work, for admission.
        """
        self._paused_until = until

    def resume(self, now: float) -> list[Ticket]:
        """End a pause and return what starts now."""
        self._paused_until = None
        return self._fill(now)

    def offer(self, ticket: Ticket, now: float, may_decline: bool = False) -> Decision:
        """Decide about a new ticket.

        Parameters
        ----------
        ticket : Ticket
        now : float
        may_decline : bool
            Whether the ticket could go to another target: then it is handed back
            rather than made to wait.

        Returns
        -------
        Decision
            `Start`, `Wait`, `Decline` or `Refuse`. A refusal is final and says when
            to come back.
        """
        if self._draining:
            return Refuse(ticket.id, RefuseReason.DRAINING, self._comeback(now, 0.0))
        if ticket.deadline <= now:
            return Refuse(ticket.id, RefuseReason.DEADLINE, self._comeback(now, 0.0))
        entry = self._entry(ticket, now)
        limit = self.ramp.limit(now)
        if self._may_start(entry, limit, now):
            self._begin(entry, now)
            return Start(ticket.id)
        if may_decline:
            return Decline(ticket.id)
        wait = self._expected_wait(entry, limit, now)
        slack = (ticket.deadline - now) * self._wait_share - entry.cost
        if wait > slack:
            excess = wait - max(0.0, slack)
            retry_after = self._comeback(now, excess)
            return Refuse(ticket.id, RefuseReason.DEADLINE, retry_after)
        if len(self._waiting) >= self._queue_limit and not self._displace(entry, now):
            retry_after = self._comeback(now, wait)
            return Refuse(ticket.id, RefuseReason.QUEUE_FULL, retry_after)
        self._enqueue(entry)
        return Wait(ticket.id)

    def finished(
        self,
        ticket_id: str,
        now: float,
        seconds: float,
        outcome: AttemptOutcome,
        incarnation: str = "",
    ) -> list[Ticket]:
        """Free a slot and say what starts now.

        Call it when the target certainly works on the request no more: it answered,
        refused, confirmed a cancellation, or the deadline that it was told has passed.
        An earlier call would put more on the target than its slots.

        Parameters
        ----------
        ticket_id : str
        now : float
        seconds : float
            Time since it was started.
        outcome : Outcome
        incarnation : str, default=""
            Run of the target's process that the answer named, if one came.

        Returns
        -------
        list of Ticket
            To be sent to the target now.
        """
        entry = self._slots.end(ticket_id)
        if entry is None:
            return []
        # Charged by expectation at the start; a flow whose work takes longer than
        # expected would otherwise get more than its share for as long as it is new.
        if entry.is_charged and outcome is AttemptOutcome.ANSWERED:
            self._fair.charge(entry.leaf, seconds - entry.cost)
        self._learn(entry, now, seconds, outcome, incarnation)
        return self._fill(now)

    def cancelled(self, ticket_id: str, now: float) -> bool:
        """Forget a ticket whose caller has gone.

        Returns
        -------
        bool
            True when it is in a slot: cancel it at the target, and call `finished`
            once the target has confirmed.
        """
        entry = self._waiting.pop(ticket_id, None)
        if entry is not None:
            self._fair.remove(entry.leaf, entry)
        return ticket_id in self._slots

    def expired(self, now: float) -> list[Refuse]:
        """Return refusals for tickets that can no longer make their deadlines."""
        refusals, self._displaced = self._displaced, []
        if self.ramp.level < self._planned_limit:
            refusals.extend(self._replan(self.ramp.limit(now), now))
        self._planned_limit = self.ramp.level
        while (ticket_id := self._expiry.due(now)) is not None:
            refusals.append(self._turn_away(self._waiting.pop(ticket_id), now))
        return refusals

    def next_expiry(self) -> float | None:
        """Return when `expired` has something to say, or None while nothing waits."""
        if self._displaced or self.ramp.level < self._planned_limit:
            return float("-inf")
        return self._expiry.next()

    def expected_wait(self, now: float) -> float:
        """Return the seconds that a typical newcomer would wait, for load digests."""
        return self._time_to_serve(self._fair.root.backlog, self.ramp.limit(now), now)

    def drain(self) -> list[Ticket]:
        """Stop taking work and hand out what waits, to be sent elsewhere or refused."""
        self._draining = True
        return self.hand_back()

    def hand_back(self) -> list[Ticket]:
        """Hand out what waits, none of which ran, but go on taking work.

        For a free service whose target has stalled: what waits can go to another
        target, also work that may not be repeated, and long before its deadline.
        """
        tickets = []
        for entry in self._waiting.values():
            tickets.append(entry.ticket)
            self._fair.remove(entry.leaf, entry)
        self._waiting.clear()
        self._expiry.clear()
        return tickets

    def _entry(self, ticket: Ticket, now: float) -> Entry:
        """Look up what is known about a ticket and where it queues."""
        is_short = self._lanes.is_short(ticket, self.costs)
        cost = ticket.expected_cost or self.costs.mean(ticket.kind)
        if is_short:
            self._lanes.offered(cost, now)
        # Slow answers raise the cost. If the cost alone could turn all tickets away,
        # none would run, and nobody would learn that the target is fast again.
        slack = (ticket.deadline - now) * (1.0 - self._wait_share)
        latest = max(ticket.deadline - cost, now + min(slack, cost))
        leaf = self._fair.leaf(self._lanes.path(ticket, is_short))
        return Entry(ticket, leaf, cost, is_short, latest)

    def _may_start(self, entry: Entry, limit: int, now: float) -> bool:
        """Tell whether a newcomer starts at once, ahead of nobody that could start."""
        if len(self._slots) >= limit or self._paused_until is not None:
            return False
        if entry.is_short:
            lane = self._fair.root.children.get(SHORT)
            return lane is None or not lane.size
        return not len(self._fair) and self._slots.long < self._lanes.long_cap(
            limit, now
        )

    def _begin(self, entry: Entry, now: float) -> None:
        """Put an entry in a slot and charge its flow."""
        self._slots.begin(entry, now)
        # What starts while nobody waits is taken from nobody.
        if self._waiting:
            self._fair.charge(entry.leaf, entry.cost)
            entry.is_charged = True

    def _enqueue(self, entry: Entry) -> None:
        """Let an entry wait."""
        ticket_id = entry.ticket.id
        self._waiting[ticket_id] = entry
        self._fair.push(entry.leaf, entry, entry.cost)
        self._expiry.add(entry.latest_start, ticket_id, len(self._waiting))

    def _fill(self, now: float) -> list[Ticket]:
        """Start what waits while there are slots for it."""
        limit = self.ramp.limit(now)
        self._planned_limit = max(self._planned_limit, self.ramp.level)
        started = []
        if self._paused_until is not None:
            return []
        while self._waiting and len(self._slots) < limit:
            entry = self._next(limit, now)
            if entry is None:
                break
            del self._waiting[entry.ticket.id]
            if entry.latest_start < now:
                self._displaced.append(self._refusal(entry, now))
                continue
            self._begin(entry, now)
            started.append(entry.ticket)
        return started

    def _next(self, limit: int, now: float) -> Entry | None:
        """Take out of the fair queue who starts next, or None when nobody may."""
        is_capped = self._slots.long >= self._lanes.long_cap(limit, now)
        if not is_capped:
            return self._fair.pop()
        short = self._fair.root.children.get(SHORT)
        if short is None or not short.size:
            return None
        return self._fair.pop(SHORT)

    def _learn(
        self,
        entry: Entry,
        now: float,
        seconds: float,
        outcome: AttemptOutcome,
        incarnation: str,
    ) -> None:
        """Take in what an ending says about costs and the ramp."""
        ramp = self.ramp
        if incarnation:
            ramp.seen(now, incarnation)
        if outcome is AttemptOutcome.COLD:
            ramp.new_start(now)
        elif outcome is AttemptOutcome.UNKNOWN:
            ramp.doubted(now)
        elif outcome is AttemptOutcome.ANSWERED:
            kind = entry.ticket.kind
            ramp.completed(now, self.costs.warm_ratio(kind, seconds))
            self.costs.observe(kind, seconds, entry.is_short, ramp.warm)

    def _time_to_serve(self, work: float, limit: int, now: float) -> float:
        """Return the seconds until the slots have done so much work and one is free."""
        return time_to_serve(work, limit, self._slots.residuals(now))

    def _expected_wait(self, entry: Entry, limit: int, now: float) -> float:
        """Return the seconds until a newcomer starts, by its flow's fair share."""
        work = self._fair.ahead(entry.leaf, entry.cost)
        if not entry.is_short:
            limit = self._lanes.long_cap(limit, now)
        wait = self._time_to_serve(work, limit, now)
        if self._paused_until is not None:
            wait += max(0.0, self._paused_until - now)
        return wait

    def _displace(self, newcomer: Entry, now: float) -> bool:
        """Make room by turning away the last of the heaviest flow, if it is heavier."""
        heaviest = self._fair.heaviest()
        if heaviest.size <= newcomer.leaf.size + 1:
            return False
        victim = heaviest.items[-1][0]
        del self._waiting[victim.ticket.id]
        self._fair.remove(heaviest, victim)
        self._displaced.append(self._refusal(victim, now, RefuseReason.QUEUE_FULL))
        return True

    def _replan(self, limit: int, now: float) -> list[Refuse]:
        """Turn away what the lower limit can't serve in time, the newest first.

        When a target turns cold with a full queue, most of it is lost. Callers that
        are told so at once can try elsewhere; held to their deadlines they can't.
        """
        refusals = []
        for entry in reversed(list(self._waiting.values())):
            work = self._fair.ahead(entry.leaf, 0.0) - entry.cost
            wait = self._time_to_serve(max(0.0, work), limit, now)
            if now + wait <= entry.latest_start:
                continue
            del self._waiting[entry.ticket.id]
            refusals.append(self._turn_away(entry, now))
        return refusals

    def _turn_away(self, entry: Entry, now: float) -> Refuse:
        """Take a waiting entry out of the fair queue and refuse it."""
        self._fair.remove(entry.leaf, entry)
        return self._refusal(entry, now)

    def _refusal(
        self,
        entry: Entry,
        now: float,
        reason: RefuseReason = RefuseReason.DEADLINE,
    ) -> Refuse:
        """Return a refusal that says when to come back."""
        wait = self.expected_wait(now)
        return Refuse(entry.ticket.id, reason, self._comeback(now, wait))

    def _comeback(self, now: float, excess: float) -> float:
        """Return when a caller that is turned away may come back, in seconds."""
        each = self.costs.mean("") / max(1, self.ramp.limit(now))
        return self._retry_after.after(now, excess, each)
