"""Tests of the decision which targets a VM does not reach itself."""

from __future__ import annotations

import pytest
from berylstage_policy.link_health import (
    CUT_OFF_SECONDS,
    DOWN_SECONDS,
    MAX_CHECK_INTERVAL_SECONDS,
    MIN_FAILED_TARGETS,
    UNCONFIRMED_SECONDS,
    LinkHealth,
    Way,
)

TARGETS = [f"i-{n}" for n in range(8)]


@pytest.fixture
def health():
    health = LinkHealth()
    health.retain(set(TARGETS))
    return health


def cut_off(health, moment=10.0):
    for name in TARGETS[:MIN_FAILED_TARGETS]:
        health.record_failure(name, moment)
    return health


class TestOneLink:
    def test_target_that_has_never_failed(self, health):
        assert health.choose_way("i-0", 0.0) is Way.DIRECT

    def test_failed_target_is_asked_for_through_others(self, health):
        health.record_failure("i-0", 10.0)
        assert health.choose_way("i-0", 10.0) is Way.RELAY
        assert health.choose_way("i-1", 10.0) is Way.DIRECT

    def test_target_that_others_do_not_reach_either_is_down(self, health):
        # Guards against asking other VMs for a crashed target again and again.
        health.record_failure("i-0", 10.0)
        health.record_down("i-0", 10.1)
        assert health.choose_way("i-0", 10.1) is Way.DIRECT
        assert health.choose_way("i-0", 10.1 + DOWN_SECONDS) is Way.RELAY

    def test_failure_that_nobody_confirms_is_forgotten(self, health):
        health.record_failure("i-0", 10.0)
        later = 10.0 + UNCONFIRMED_SECONDS
        assert health.choose_way("i-0", later) is Way.DIRECT

    def test_target_that_others_reach_stays_with_them(self, health):
        health.record_failure("i-0", 10.0)
        health.record_reached_by_other("i-0")
        assert health.choose_way("i-0", 60.0) is Way.RELAY

    def test_sign_of_life_brings_the_direct_way_back(self, health):
        health.record_failure("i-0", 10.0)
        health.record_reached_by_other("i-0")
        health.record_alive("i-0", 10.2)
        assert health.choose_way("i-0", 10.2) is Way.DIRECT


class TestCutOff:
    def test_failures_without_a_sign_of_life(self, health):
        cut_off(health)
        assert health.is_cut_off
        assert health.choose_way("i-7", 10.0) is Way.RELAY

    def test_answers_of_other_targets_between_the_failures(self, health):
        # Guards against taking the loss of a data centre's targets for a cut.
        for n, name in enumerate(TARGETS[:6]):
            health.record_failure(name, 10.0 + n)
            health.record_alive("i-7", 10.5 + n)
        assert not health.is_cut_off

    def test_several_targets_that_crash_at_once(self, health):
        # Guards against taking a crash of many targets for a cut, between two answers.
        health.record_alive("i-7", 9.95)
        cut_off(health)
        assert not health.is_cut_off
        health.record_alive("i-7", 10.05)
        assert not health.is_cut_off

    def test_targets_that_stay_silent_after_the_last_answer(self, health):
        health.record_alive("i-7", 9.95)
        cut_off(health)
        health.take_due_check(9.95 + CUT_OFF_SECONDS)
        assert health.is_cut_off

    def test_same_target_again_is_no_further_evidence(self, health):
        for moment in range(10):
            health.record_failure("i-0", float(moment))
        assert not health.is_cut_off

    def test_fewer_targets_than_usually_needed(self):
        health = LinkHealth()
        health.retain({"i-0"})
        health.record_failure("i-0", 1.0)
        assert health.is_cut_off

    def test_no_targets_are_known(self):
        health = LinkHealth()
        health.retain(set())
        assert not health.is_cut_off

    def test_target_that_nobody_reaches_is_refused_at_once(self, health):
        cut_off(health)
        health.record_down("i-0", 10.1)
        assert health.choose_way("i-0", 10.2) is Way.NONE
        assert health.choose_way("i-1", 10.2) is Way.RELAY

    def test_one_sign_of_life_ends_it(self, health):
        cut_off(health)
        health.record_reached_by_other("i-0")
        health.record_alive("i-2", 20.0)
        assert not health.is_cut_off
        assert health.choose_way("i-7", 20.0) is Way.DIRECT
        # Its own failure is confirmed, so it waits for its own check.
        assert health.choose_way("i-0", 20.0) is Way.RELAY

    def test_removed_targets_are_no_evidence(self, health):
        cut_off(health)
        health.retain(set(TARGETS[2:]))
        assert not health.is_cut_off


class TestLostLinks:
    def test_failures_that_others_do_not_confirm(self, health):
        health.record_failure("i-0", 10.0)
        assert health.lost_links == 0

    def test_targets_that_others_reach(self, health):
        for name in ("i-0", "i-1"):
            health.record_failure(name, 10.0)
            health.record_reached_by_other(name)
        assert health.lost_links == 2
        health.record_alive("i-1", 11.0)
        assert health.lost_links == 1

    def test_vm_that_is_cut_off(self, health):
        assert cut_off(health).lost_links == len(TARGETS)


class TestSuspicion:
    def test_failure_with_nothing_else_to_go_by(self, health):
        health.record_failure("i-0", 10.0)
        assert health.is_suspect(10.0)

    def test_failure_soon_after_a_sign_of_life(self, health):
        health.record_alive("i-1", 9.95)
        health.record_failure("i-0", 10.0)
        assert not health.is_suspect(10.0)


class TestChecks:
    def collect(self, health, start, end):
        """Return the targets that are due in a period, looked at every 10 ms."""
        steps = range(int((end - start) * 100))
        names = [health.take_due_check(start + step / 100) for step in steps]
        return [name for name in names if name]

    def test_nothing_has_failed(self, health):
        assert self.collect(health, 0.0, 5.0) == []

    def test_failed_target_is_checked_ever_less_often(self, health):
        health.record_failure("i-0", 10.0)
        health.record_reached_by_other("i-0")
        assert 4 <= len(self.collect(health, 10.0, 12.0)) <= 6
        assert len(self.collect(health, 60.0, 70.0)) <= 10 / MAX_CHECK_INTERVAL_SECONDS

    def test_checks_do_not_come_at_once(self):
        # Guards against opening hundreds of connections at the end of a cut.
        names = [f"i-{n}" for n in range(360)]
        health = LinkHealth()
        health.retain(set(names))
        for name in names:
            health.record_failure(name, 10.0)
            health.record_reached_by_other(name)
        assert len(self.collect(health, 11.0, 12.0)) <= 5
        health.record_alive("i-0", 12.0)
        assert len(self.collect(health, 12.0, 13.0)) <= 21

    def test_all_links_are_checked_soon_after_one_works(self, health):
        for name in TARGETS:
            health.record_failure(name, 10.0)
            health.record_reached_by_other(name)
        self.collect(health, 10.0, 40.0)
        health.record_alive("i-0", 40.0)
        assert set(self.collect(health, 40.0, 41.0)) == set(TARGETS[1:])

    def test_unconfirmed_failure_needs_no_more_checks(self, health):
        health.record_failure("i-0", 10.0)
        self.collect(health, 10.0, 13.0)
        assert not health.has_failed_links
