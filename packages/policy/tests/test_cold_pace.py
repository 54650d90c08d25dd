"""Tests of the pace of many VMs towards one cold target."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.cold_pace import ColdPace, may_warm_up

BOUND = 5.3 * 1.5 + 5


def play(vms, known, seconds=20.0, restarts=0.0, seed=1):
    """Let VMs offer far more than the target bears; return when requests arrive."""
    rng = Random(seed)
    names = [f"vm-{i}" for i in range(known)]
    chosen = [may_warm_up("t", f"vm-{i}", names, BOUND) for i in range(vms)]
    paces = [ColdPace(BOUND, known, 0.0) for _ in range(vms)]
    arrivals = []
    now = 0.0
    while now < seconds:
        now += 0.01
        for i, pace in enumerate(paces):
            if rng.random() < restarts * 0.01:
                paces[i] = ColdPace(BOUND, known, now)
            elif chosen[i] and pace.may_send(now):
                pace.sent(now)
                arrivals.append(now + rng.uniform(0, 0.1))
    return sorted(arrivals)


def most_in_a_second(arrivals):
    return max(
        sum(1 for a in arrivals[i:] if a <= first + 1.0)
        for i, first in enumerate(arrivals)
    )


class TestColdPace:
    @pytest.mark.parametrize("vms", [1, 2, 3, 6, 11, 12, 13, 30, 76])
    def test_all_vms_together_stay_within_the_bound(self, vms):
        # A target comes back cold and all VMs want to send to it. Above its bound it
        # falls over, comes back, and falls over again.
        arrivals = play(vms, vms)
        assert arrivals
        assert most_in_a_second(arrivals) <= BOUND

    def test_vms_that_start_again_do_not_add_to_it(self):
        # VMs are killed and start again all the time. Each forgets what it sent; if it
        # began with a request at once, ten of them would send twenty in a second.
        assert most_in_a_second(play(11, 12, restarts=0.5)) <= BOUND

    def test_few_vms_use_most_of_it(self):
        arrivals = play(3, 3)
        assert len(arrivals) / 20 > 0.7 * 5.3 * 1.5

    def test_vms_that_know_too_few_of_each_other_stay_within_it(self):
        # Four of thirty VMs have just come, and nobody knows of them yet.
        assert most_in_a_second(play(30, 26)) <= BOUND

    def test_each_target_has_other_vms(self):
        names = [f"vm-{i}" for i in range(40)]
        senders = {
            target: {vm for vm in names if may_warm_up(target, vm, names, BOUND)}
            for target in ("a", "b")
        }
        assert senders["a"] != senders["b"]
        assert all(1 <= len(chosen) <= BOUND for chosen in senders.values())

    def test_target_that_bears_nothing_gets_nothing(self):
        pace = ColdPace(0.5, 1, 0.0)
        assert not pace.may_send(1e9)
