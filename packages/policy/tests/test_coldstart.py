"""Tests of the concurrency ramp after a start."""

from __future__ import annotations

import pytest
from berylstage_policy.coldstart import ColdStart
from berylstage_policy.thresholds import DEFAULTS

STEP = int(DEFAULTS["ramp_completions"])


@pytest.fixture
def ramp():
    found = ColdStart(3, DEFAULTS, 0.0)
    found.set_reported_cold(0.0, False)
    return found


def record_completions(ramp, count, ratio=1.0, now=0.0):
    for _ in range(count):
        ramp.record_completion(now, ratio)


@pytest.fixture
def warm(ramp):
    ramp.observe_incarnation(0.0, "a")
    record_completions(ramp, 2 * STEP)
    assert ramp.warm
    return ramp


class TestRamp:
    def test_rises_one_by_one_by_completions(self, ramp):
        limits = []
        for _ in range(2 * STEP):
            limits.append(ramp.limit(0.0))
            record_completions(ramp, 1)
        assert limits == [1] * STEP + [2] * STEP
        assert ramp.limit(0.0) == 3

    def test_slow_answers_do_not_raise_the_limit(self, ramp):
        # A cold target answers three times slower than a warm one. If these answers
        # counted, it would get a second request too early.
        record_completions(ramp, 3 * STEP, ratio=3.0)
        assert ramp.limit(0.0) == 1

    def test_permanently_slow_target_is_not_held_forever(self, ramp):
        record_completions(ramp, STEP * int(DEFAULTS["ramp_patience"]), ratio=3.0)
        assert ramp.limit(0.0) == 2

    def test_completions_before_the_report_is_warm_do_not_count(self, ramp):
        ramp.set_reported_cold(0.0, True)
        record_completions(ramp, 8 * STEP)
        assert ramp.limit(0.0) == 1
        ramp.set_reported_cold(1.0, False)
        record_completions(ramp, STEP, now=1.0)
        assert ramp.limit(1.0) == 2

    def test_report_without_learned_times_does_not_shorten_the_ramp(self, ramp):
        # A VM starts to lead a target without learned service times, and the target's
        # report of being warm is wrong. Slow answers look normal to the VM, so their
        # number alone must not raise the limit.
        record_completions(ramp, 3 * STEP, ratio=None)
        assert ramp.limit(0.0) == 1
        record_completions(ramp, 3 * STEP, ratio=None)
        assert ramp.limit(0.0) == 2

    def test_fast_answers_without_a_report_do_not_shorten_the_ramp(self):
        # Some cold targets answer as fast as warm ones until a second request makes
        # them crash. This target has restarted, and its last report is from before the
        # restart.
        ramp = ColdStart(3, DEFAULTS, 0.0)
        ramp.observe_incarnation(0.0, "a")
        ramp.observe_incarnation(5.0, "b")
        ramp.set_reported_cold(5.2, False, age=1.0)
        record_completions(ramp, 3 * STEP, now=5.2)
        assert ramp.limit(5.2) == 1
        ramp.set_reported_cold(6.5, False, age=1.0)
        record_completions(ramp, STEP, now=6.5)
        assert ramp.limit(6.5) == 2

    def test_cold_report_from_before_the_ramp_ended_is_ignored(self, ramp):
        # Reports lag by seconds, so one may say cold after the answers have shown that
        # the target is warm. If it were believed, the ramp would restart again and
        # again.
        record_completions(ramp, 2 * STEP, now=5.0)
        ramp.set_reported_cold(5.5, True, age=1.0)
        assert ramp.limit(5.5) == 3
        ramp.set_reported_cold(7.0, True, age=1.0)
        assert ramp.limit(7.0) == 1


class TestSignsOfANewStart:
    @pytest.mark.parametrize(
        "sign",
        [
            lambda ramp: ramp.observe_incarnation(1.0, "b"),
            lambda ramp: ramp.set_reported_cold(1.0, True),
            lambda ramp: ramp.reset(1.0),
        ],
        ids=["incarnation", "report", "refusal"],
    )
    def test_resets_the_limit_to_one(self, warm, sign):
        # The target restarts without notice under full load. Whatever reveals it first,
        # the next request must be sent alone.
        sign(warm)
        assert warm.limit(0.0) == 1
        assert not warm.warm

    def test_lost_answer_limits_until_the_incarnation_is_confirmed(self, warm):
        # A connection is lost. If the target restarted, two requests are too many; if
        # it did not, a complete ramp would waste its slots.
        warm.suspect_restart(0.1)
        assert warm.limit(0.1) == 1
        warm.observe_incarnation(0.2, "a")
        assert warm.limit(0.2) == 3

    def test_lost_answer_and_another_incarnation_is_a_restart(self, warm):
        warm.suspect_restart(0.1)
        warm.observe_incarnation(0.2, "b")
        assert warm.limit(0.2) == 1

    def test_one_request_is_sent_after_a_silence(self, warm):
        # The target restarted while it was idle, so no request failed. Unless the first
        # request after a silence is sent alone, the full load hits a cold target.
        assert warm.limit(0.5) == 3
        assert warm.limit(2.0) == 1
        warm.observe_incarnation(2.0, "a")
        assert warm.limit(2.0) == 3


class TestSlots:
    def test_fewer_slots_bind_at_once_and_more_are_reached_by_ramp(self, warm):
        warm.set_slots(2)
        assert warm.limit(0.0) == 2
        warm.set_slots(4)
        assert warm.limit(0.0) == 2
        record_completions(warm, STEP)
        assert warm.limit(0.0) == 3
