"""Tests of the limit on the idle time of reused connections."""

from __future__ import annotations

from math import inf

from berylstage_transfers.idle_limit import HALF_LIFE_SECONDS, SAFETY_FACTOR, IdleLimit


class TestIdleLimit:
    def test_no_limit_without_resets(self):
        assert IdleLimit().max_idle_seconds(0.0) == inf

    def test_first_reset_limits_the_idle_time(self):
        # Targets start to drop connections idle for 0.3 s. Each request sent on one is
        # lost with its outcome unknown.
        limit = IdleLimit()
        limit.record_reset(0.9, 10.0)
        assert limit.max_idle_seconds(10.0) == 0.9 * SAFETY_FACTOR
        limit.record_reset(0.4, 10.1)
        assert limit.max_idle_seconds(10.1) == 0.4 * SAFETY_FACTOR

    def test_limit_ends_seconds_after_the_last_reset(self):
        limit = IdleLimit()
        limit.record_reset(0.4, 10.0)
        assert limit.max_idle_seconds(10.0 + 2 * HALF_LIFE_SECONDS) == inf

    def test_limit_stays_when_half_of_the_targets_reset(self):
        limit, now = IdleLimit(), 10.0
        for _ in range(20):
            now += 0.1
            limit.record_reset(0.5, now)
            limit.record_answer(0.5, now)
        assert limit.max_idle_seconds(now) < 0.5

    def test_resets_of_overloaded_targets_set_no_limit(self):
        # An overloaded target resets one connection in ten regardless of its idle time.
        # A new connection for each call would only increase its load.
        limit, now = IdleLimit(), 10.0
        for _ in range(20):
            now += 0.1
            limit.record_reset(0.5, now)
            for _ in range(9):
                limit.record_answer(0.6, now)
        assert limit.max_idle_seconds(now) == inf

    def test_reset_of_a_busy_connection_is_ignored(self):
        limit = IdleLimit()
        limit.record_reset(0.05, 10.0)
        assert limit.max_idle_seconds(10.0) == inf
