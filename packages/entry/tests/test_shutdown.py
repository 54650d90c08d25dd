"""Tests of the phases of a shutdown."""

from __future__ import annotations

import pytest
from berylstage_entry.shutdown import (
    BALANCER_LAG_SECONDS,
    EXIT_SECONDS,
    LATE_ANSWER_SECONDS,
    STOP_MARGIN_SECONDS,
    PendingWork,
    Phase,
    ShutdownPlan,
)
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

STOP_TIMEOUT = 6.0
NO_WORK = PendingWork(0, 0, 0)


class TestPhases:
    def test_leaving_lasts_until_the_balancer_has_noticed(self):
        plan = ShutdownPlan(100.0, STOP_TIMEOUT)
        assert plan.phase(100.0, NO_WORK) is Phase.LEAVING
        assert plan.phase(99.99 + BALANCER_LAG_SECONDS, NO_WORK) is Phase.LEAVING
        assert plan.phase(100.0 + BALANCER_LAG_SECONDS, NO_WORK) is Phase.ENDED

    def test_draining_and_flushing_follow(self):
        plan = ShutdownPlan(0.0, STOP_TIMEOUT)
        assert plan.phase(3.0, PendingWork(1, 2, 90_000)) is Phase.DRAINING
        assert plan.phase(3.0, PendingWork(0, 2, 90_000)) is Phase.FLUSHING
        assert plan.phase(3.0, NO_WORK) is Phase.ENDED

    def test_stop_timeout_limits_every_phase(self):
        plan = ShutdownPlan(0.0, STOP_TIMEOUT)
        end = STOP_TIMEOUT - STOP_MARGIN_SECONDS
        assert plan.phase(end - 0.01, PendingWork(1, 1, 1)) is Phase.DRAINING
        assert plan.phase(end, PendingWork(1, 1, 1)) is Phase.ENDED

    def test_stop_timeout_shorter_than_the_balancer_lag(self):
        plan = ShutdownPlan(0.0, 1.0)
        assert plan.phase(0.3, NO_WORK) is Phase.LEAVING
        assert plan.phase(0.4, PendingWork(1, 0, 0)) is Phase.ENDED


class TestLateLoop:
    """An event loop that was held up or suspended beyond the cut-off."""

    def test_it_has_time_to_answer_what_has_arrived(self):
        # Guards against resetting requests that arrived while a VM was suspended.
        plan = ShutdownPlan(0.0, STOP_TIMEOUT)
        plan.record_late_loop(5.45)
        assert plan.phase(5.45, PendingWork(0, 1, 0)) is Phase.FLUSHING
        assert plan.phase(5.45, NO_WORK) is Phase.ENDED
        assert plan.phase(5.45 + LATE_ANSWER_SECONDS, PendingWork(1, 0, 0)) is (
            Phase.ENDED
        )
        assert plan.time_left(5.45) < 0

    @pytest.mark.parametrize("moment", [0.0, 2.7, 5.2, 5.58, 5.9, 60.0])
    def test_stop_timeout_is_kept(self, moment):
        # Guards against a process that is killed in the middle of its last steps, and
        # against requests that get more time than there is.
        plan, on_time = (ShutdownPlan(0.0, STOP_TIMEOUT) for _ in range(2))
        plan.record_late_loop(moment)
        assert plan.cut_off_at <= STOP_TIMEOUT - EXIT_SECONDS
        assert plan.cut_off_at >= on_time.cut_off_at
        assert plan.time_left(3.0) == on_time.time_left(3.0)


class TestTimeLeft:
    def test_response_can_be_sent_before_the_cut_off(self):
        # Guards against answers that arrive in time but cannot be sent to the caller
        # over a slow link before the cut-off.
        plan = ShutdownPlan(0.0, STOP_TIMEOUT)
        # In bytes and Mbit/s.
        answer, link = 300_000, 10
        assert plan.time_left(plan.cut_off_at - answer * 8 / (link * 1e6)) <= 0
        assert plan.time_left(3.0) == pytest.approx(plan.cut_off_at - 3.0, abs=0.5)


class ShutdownMachine(RuleBasedStateMachine):
    """A shutdown while callers send requests and read their responses slowly."""

    def __init__(self):
        super().__init__()
        self.plan = ShutdownPlan(0.0, STOP_TIMEOUT)
        self.moment = 0.0
        self.serving = self.flushing = 0
        self.seen = [Phase.LEAVING]

    @rule(seconds=st.floats(0.0, 1.0))
    def time_passes(self, seconds):
        self.moment += seconds

    @rule()
    def request_comes(self):
        # New requests arrive while the VM listens, and pipelined ones at any time.
        if self.moment < self.plan.drain_at or self.serving:
            self.serving += 1

    @rule()
    def request_is_answered(self):
        if self.serving:
            self.serving -= 1
            self.flushing += 1

    @rule()
    def answer_has_left(self):
        self.flushing = max(0, self.flushing - 1)

    @invariant()
    def follow(self):
        pending_work = PendingWork(self.serving, self.flushing, 1000 * self.flushing)
        phase = self.plan.phase(self.moment, pending_work)
        if phase is not self.seen[-1]:
            self.seen.append(phase)
        left = self.serving + self.flushing
        # The shutdown ends neither early with pending work, nor after the cut-off.
        assert (
            phase is not Phase.ENDED or not left or self.moment >= self.plan.cut_off_at
        )
        assert phase is Phase.ENDED or self.moment < self.plan.cut_off_at
        # New callers are accepted as long as the load balancer sends them here.
        assert phase is Phase.LEAVING or self.moment >= self.plan.drain_at
        assert phase is not Phase.LEAVING or self.seen == [Phase.LEAVING]


TestShutdownMachine = ShutdownMachine.TestCase
