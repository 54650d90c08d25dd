"""Tests of the health state of a target."""

from __future__ import annotations

import pytest
from berylstage_policy.health import HealthState, TargetHealth
from berylstage_policy.thresholds import DEFAULTS


@pytest.fixture
def health():
    return TargetHealth(DEFAULTS, 0.0)


class TestSilence:
    def test_stall_shorter_than_a_move_moves_nothing(self, health):
        # Another workload takes the target's CPU for most of a second. Moving the keys
        # would make them unavailable for longer than the stall does.
        for now in (0.3, 0.5, 0.9, 1.2):
            assert health.verdict(now) is HealthState.STALLED
        health.record_answer(1.24)
        assert health.verdict(1.25) is HealthState.HEALTHY

    def test_lost_target_is_down_in_time_for_its_keys(self, health):
        # The target is gone and its keys must be served again after 2 s. Part of that
        # goes into the move, so the down state must leave half a second and a heartbeat
        # for it.
        health.record_answer(5.0)
        assert health.verdict(6.25) is HealthState.DOWN

    def test_refused_connections_are_detected_sooner(self, health):
        health.record_connection_refused(0.1)
        assert health.verdict(0.2) is HealthState.STALLED
        assert health.verdict(0.6) is HealthState.DOWN

    def test_quick_restart_is_not_down(self, health):
        health.record_connection_refused(0.1)
        health.record_answer(0.3)
        assert health.verdict(0.55) is HealthState.HEALTHY

    def test_next_change_names_each_step(self, health):
        assert health.next_change(0.0) == DEFAULTS["stall_after"]
        assert health.next_change(0.5) == DEFAULTS["down_after"]
        assert health.next_change(2.0) == float("inf")


class TestSlow:
    def test_slow_for_moments_keeps_its_keys(self, health):
        for now in range(10):
            health.record_answer(float(now))
            health.record_latency(float(now), 10.0)
        health.record_latency(10.0, 1.0)
        health.record_latency(20.0, 10.0)
        assert health.capacity(2) == 2.0

    def test_slow_for_long_gets_fewer_keys_and_gets_them_back(self, health):
        # One target out of ten runs at a third of its speed for minutes. Its callers
        # get late answers for as long as it keeps its full share of keys.
        for now in range(20):
            health.record_answer(float(now))
            health.record_latency(float(now), 4.0)
        assert health.verdict(19.0) is HealthState.SLOW
        assert health.capacity(2) == 0.5
        for now in range(20, 40):
            health.record_answer(float(now))
            health.record_latency(float(now), 1.0)
        assert health.verdict(39.0) is HealthState.HEALTHY
        assert health.capacity(2) == 2.0

    def test_ratio_about_the_bound_does_not_flap(self, health):
        changes = 0
        before = health.capacity(2)
        for now in range(600):
            health.record_latency(float(now), 3.1 if now % 40 < 30 else 2.5)
            changes += (health.capacity(2) < 2) != (before < 2)
            before = health.capacity(2)
        assert changes == 1
