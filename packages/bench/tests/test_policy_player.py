"""Tests of the played targets, which every figure of the bench rests on."""

from __future__ import annotations

import pytest
from berylstage_bench.policy_jobs import Job, play
from berylstage_bench.policy_player import (
    ANSWERED,
    LOST,
    ColdTruth,
    Phase,
    PlayedTarget,
    Player,
    Request,
)


@pytest.fixture
def player():
    return Player()


@pytest.fixture
def target(player):
    return PlayedTarget(player, "contract-book-00", "almaty-a", 2)


def submit(player, target, demand, at=0.0):
    """Submit a request and return the list that its end is put in."""
    req = Request(f"r-{at}-{demand}", "standard", "c", "k", "key", 0, at, 99.0, demand)
    ends = []

    def done(status, seconds):
        ends.append((status, player.now))

    player.at(at, target.submit, req, done)
    return ends


class TestSlots:
    def test_third_request_waits_for_a_slot(self, player, target):
        ends = [submit(player, target, 1.0 + i / 10) for i in range(3)]
        player.run(10.0)
        assert [end[0] for end in ends[:2]] == [(ANSWERED, 1.0), (ANSWERED, 1.1)]
        assert ends[2][0][1] == pytest.approx(2.2)


class TestPhases:
    def test_stall_adds_its_length(self, player, target):
        target.phases.append(Phase(0.5, 2.5, 0.0))
        ends = submit(player, target, 1.0)
        player.run(10.0)
        assert ends == [(ANSWERED, 3.0)]

    def test_slow_phase_stretches_work(self, player, target):
        target.phases.append(Phase(0.0, 100.0, 0.25))
        ends = submit(player, target, 1.0)
        player.run(10.0)
        assert ends == [(ANSWERED, 4.0)]


class TestColdStart:
    def test_more_than_it_bears_makes_it_fall_over(self, player, target):
        # Two requests reach a target that bears one. It loses both and starts again,
        # which is what a ramp is there to prevent.
        target.cold = ColdTruth(2, 1.0)
        target.is_cold = True
        ends = submit(player, target, 1.0) + submit(player, target, 1.0, at=0.5)
        player.run(0.6)
        assert target.broken_bounds == 1
        assert target.incarnation == 2
        assert ends == []
        player.run(5.0)

    def test_warm_after_its_completions(self, player, target):
        target.cold = ColdTruth(2, 3.0)
        target.is_cold = True
        first = submit(player, target, 1.0)
        second = submit(player, target, 1.0, at=4.0)
        player.run(20.0)
        assert (first[0][1], second[0][1]) == (3.0, 7.0)
        assert not target.is_cold


class TestLoss:
    def test_lost_target_refuses_until_it_is_back(self, player, target):
        running = submit(player, target, 2.0)
        refused = submit(player, target, 1.0, at=1.5)
        player.at(1.0, target.fail)
        player.at(3.0, target.recover)
        after = submit(player, target, 1.0, at=3.5)
        player.run(10.0)
        assert running == [(LOST, 1.0)]
        assert refused == [(LOST, 1.5)]
        assert after == [(ANSWERED, 4.5)]


class TestRepeatability:
    def test_same_play_gives_the_same_figures(self):
        job = Job("burst contract-book")
        assert play(job) == play(job)
