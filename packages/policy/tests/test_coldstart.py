"""Tests of the concurrency ramp after a start."""

from __future__ import annotations

import pytest
from berylstage_policy.coldstart import ColdStart
from berylstage_policy.thresholds import DEFAULTS

STEP = int(DEFAULTS["ramp_completions"])


@pytest.fixture
def ramp():
    found = ColdStart(3, DEFAULTS, 0.0)
    found.reported(0.0, False)
    return found


def complete(ramp, count, ratio=1.0, now=0.0):
    for _ in range(count):
        ramp.completed(now, ratio)


@pytest.fixture
def warm(ramp):
    ramp.seen(0.0, "a")
    complete(ramp, 2 * STEP)
    assert ramp.warm
    return ramp


class TestRamp:
    def test_rises_one_by_one_by_completions(self, ramp):
        limits = []
        for _ in range(2 * STEP):
            limits.append(ramp.limit(0.0))
            complete(ramp, 1)
        assert limits == [1] * STEP + [2] * STEP
        assert ramp.limit(0.0) == 3

    def test_slow_answers_do_not_count_as_warmth(self, ramp):
        # A cold target answers three times slower than a warm one. If these answers
        # counted, it would get a second request too early.
        complete(ramp, 3 * STEP, ratio=3.0)
        assert ramp.limit(0.0) == 1

    def test_target_that_stays_slow_is_not_held_for_ever(self, ramp):
        complete(ramp, STEP * int(DEFAULTS["ramp_patience"]), ratio=3.0)
        assert ramp.limit(0.0) == 2

    def test_completions_before_the_report_is_warm_do_not_count(self, ramp):
        ramp.reported(0.0, True)
        complete(ramp, 8 * STEP)
        assert ramp.limit(0.0) == 1
        ramp.reported(1.0, False)
        complete(ramp, STEP, now=1.0)
        assert ramp.limit(1.0) == 2

    def test_word_of_an_unknown_target_does_not_shorten_its_ramp(self, ramp):
        # A VM starts to lead a target without learned service times, and the target's
        # report of being warm is wrong. Slow answers look normal to the VM, so their
        # number alone must not raise the limit.
        complete(ramp, 3 * STEP, ratio=None)
        assert ramp.limit(0.0) == 1
        complete(ramp, 3 * STEP, ratio=None)
        assert ramp.limit(0.0) == 2

    def test_fast_answers_without_the_targets_word_do_not_shorten_it(self):
        # Some cold targets answer as fast as warm ones until a second request makes
        # them crash. This target has restarted, and its last report is from before the
        # restart.
        ramp = ColdStart(3, DEFAULTS, 0.0)
        ramp.seen(0.0, "a")
        ramp.seen(5.0, "b")
        ramp.reported(5.2, False, age=1.0)
        complete(ramp, 3 * STEP, now=5.2)
        assert ramp.limit(5.2) == 1
        ramp.reported(6.5, False, age=1.0)
        complete(ramp, STEP, now=6.5)
        assert ramp.limit(6.5) == 2

    def test_report_from_before_the_ramp_ended_is_history(self, ramp):
        # Reports lag by seconds, so one may say cold after the answers have shown that
        # the target is warm. If it were believed, the ramp would restart again and
        # again.
        complete(ramp, 2 * STEP, now=5.0)
        ramp.reported(5.5, True, age=1.0)
        assert ramp.limit(5.5) == 3
        ramp.reported(7.0, True, age=1.0)
        assert ramp.limit(7.0) == 1


class TestSignsOfANewStart:
    @pytest.mark.parametrize(
        "sign",
        [
            lambda ramp: ramp.seen(1.0, "b"),
            lambda ramp: ramp.reported(1.0, True),
            lambda ramp: ramp.new_start(1.0),
        ],
        ids=["incarnation", "report", "refusal"],
    )
    def test_goes_back_to_one(self, warm, sign):
        # The target restarts without notice under full load. Whatever reveals it first,
        # the next request must be sent alone.
        sign(warm)
        assert warm.limit(0.0) == 1
        assert not warm.warm

    def test_lost_answer_holds_until_the_same_run_shows(self, warm):
        # A connection is lost. If the target restarted, two requests are too many; if
        # it did not, a complete ramp would waste its slots.
        warm.doubted(0.1)
        assert warm.limit(0.1) == 1
        warm.seen(0.2, "a")
        assert warm.limit(0.2) == 3

    def test_lost_answer_and_another_run_is_a_new_start(self, warm):
        warm.doubted(0.1)
        warm.seen(0.2, "b")
        assert warm.limit(0.2) == 1

    def test_silence_sends_one_request_ahead(self, warm):
        # The target restarted while it was idle, so no request failed. Unless the first
        # request after a silence is sent alone, the full load hits a cold target.
        assert warm.limit(0.5) == 3
        assert warm.limit(2.0) == 1
        warm.seen(2.0, "a")
        assert warm.limit(2.0) == 3


class TestSlots:
    def test_fewer_slots_bind_at_once_and_more_are_reached_by_ramp(self, warm):
        warm.set_slots(2)
        assert warm.limit(0.0) == 2
        warm.set_slots(4)
        assert warm.limit(0.0) == 2
        complete(warm, STEP)
        assert warm.limit(0.0) == 3
