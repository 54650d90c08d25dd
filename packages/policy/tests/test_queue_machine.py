"""State machine test of one queue under any order of events."""

from __future__ import annotations

from random import Random

from berylstage_policy.target_queue import TargetQueue
from berylstage_policy.thresholds import DEFAULTS
from berylstage_policy.tickets import AttemptOutcome, Refuse, Start, Ticket, Wait
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

SLOTS = 3


class QueueMachine(RuleBasedStateMachine):
    """Offers, completions and faults in any order; each request ends exactly once."""

    def __init__(self):
        super().__init__()
        thresholds = DEFAULTS.with_values(queue_limit=12.0, ramp_completions=2.0)
        self.queue = TargetQueue(SLOTS, thresholds, Random(1), 0.0)
        self.now = 0.0
        self.count = 0
        self.waiting = {}
        self.running = {}
        self.incarnation = 1

    def record_started(self, tickets):
        """Record what the queue starts, which must respect the current limit."""
        for ticket in tickets:
            assert ticket.id in self.waiting
            del self.waiting[ticket.id]
            self.running[ticket.id] = self.now
        if tickets:
            assert len(self.running) <= self.queue.ramp.limit(self.now)

    def collect_refusals(self):
        """Collect the refusals that `next_expiry` announces."""
        due = self.queue.next_expiry()
        if due is None or due > self.now:
            return
        for refusal in self.queue.pop_expired(self.now):
            assert refusal.retry_after > 0
            del self.waiting[refusal.ticket_id]

    @rule(
        caller=st.integers(0, 3),
        kind=st.sampled_from(["lookup", "order", "reconcile"]),
        deadline=st.floats(0.0, 3.0),
        may_decline=st.booleans(),
    )
    def offer(self, caller, kind, deadline, may_decline):
        self.count += 1
        ticket = Ticket(
            str(self.count),
            "saryarka",
            "batch" if kind == "reconcile" else "interactive",
            f"caller-{caller}",
            "field-log",
            kind,
            "key",
            self.now,
            self.now + deadline,
        )
        decision = self.queue.offer(ticket, self.now, may_decline)
        if isinstance(decision, Start):
            self.running[ticket.id] = self.now
            assert len(self.running) <= self.queue.ramp.limit(self.now)
        elif isinstance(decision, Wait):
            self.waiting[ticket.id] = ticket
        elif isinstance(decision, Refuse):
            assert decision.retry_after > 0
        self.collect_refusals()

    @rule(
        index=st.integers(0, 10),
        outcome=st.sampled_from(AttemptOutcome),
        named=st.booleans(),
    )
    def finish(self, index, outcome, named):
        if not self.running:
            return
        name = sorted(self.running)[index % len(self.running)]
        seconds = self.now - self.running.pop(name)
        incarnation = str(self.incarnation) if named else ""
        self.record_started(
            self.queue.finish(name, self.now, seconds, outcome, incarnation)
        )
        self.collect_refusals()

    @rule(index=st.integers(0, 10))
    def cancel(self, index):
        names = sorted([*self.waiting, *self.running])
        if not names:
            return
        name = names[index % len(names)]
        assert self.queue.cancel(name, self.now) == (name in self.running)
        self.waiting.pop(name, None)
        self.collect_refusals()

    @rule(seconds=st.floats(0.001, 1.0))
    def pass_time(self, seconds):
        self.now += seconds
        self.collect_refusals()

    @rule(is_restart=st.booleans())
    def heartbeat(self, is_restart):
        self.incarnation += is_restart
        self.record_started(
            self.queue.observe_incarnation(str(self.incarnation), self.now)
        )
        if is_restart:
            assert self.queue.ramp.limit(self.now) == 1
        self.collect_refusals()

    @rule(is_cold=st.booleans(), age=st.floats(0.0, 2.0))
    def report(self, is_cold, age):
        self.queue.set_reported_cold(is_cold, self.now, age)
        self.collect_refusals()

    @rule()
    def pause_and_resume(self):
        self.queue.pause(self.now + 0.4)
        assert self.queue.finish("nobody", self.now, 0.0, AttemptOutcome.ANSWERED) == []
        self.record_started(self.queue.resume(self.now))
        self.collect_refusals()

    @rule()
    def hand_back(self):
        handed = {ticket.id for ticket in self.queue.remove_waiting()}
        assert handed == set(self.waiting)
        self.waiting.clear()

    @rule(slots=st.integers(1, 4))
    def change_slots(self, slots):
        self.record_started(self.queue.set_slots(slots, self.now))
        self.collect_refusals()

    @invariant()
    def queue_and_we_agree(self):
        assert self.queue.waiting == len(self.waiting) <= 12
        assert self.queue.running == len(self.running)

    @invariant()
    def nobody_waits_past_the_deadline(self):
        due = self.queue.next_expiry()
        assert due is None or due > self.now
        assert all(ticket.deadline > self.now for ticket in self.waiting.values())

    @invariant()
    def slots_are_not_left_idle(self):
        # Only the end of a request starts a waiting one, so a request that waits at an
        # idle target would wait forever.
        assert not self.waiting or self.running


QueueMachine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=150, stateful_step_count=40
)
TestQueueMachine = QueueMachine.TestCase
