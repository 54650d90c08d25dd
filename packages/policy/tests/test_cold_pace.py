"""Tests of the rate limits of many VMs for one cold target."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.cold_pace import ColdRateLimiter, is_cold_sender

BOUND = 5.3 * 1.5 + 5


def simulate(vms, known_vms, seconds=20.0, restart_rate=0.0, seed=1):
    """Let VMs offer more than the target handles; return the arrival times."""
    rng = Random(seed)
    names = [f"vm-{i}" for i in range(known_vms)]
    is_sender = [is_cold_sender("t", f"vm-{i}", names, BOUND) for i in range(vms)]
    limiters = [ColdRateLimiter(BOUND, known_vms, 0.0) for _ in range(vms)]
    arrivals = []
    now = 0.0
    while now < seconds:
        now += 0.01
        for i, limiter in enumerate(limiters):
            if rng.random() < restart_rate * 0.01:
                limiters[i] = ColdRateLimiter(BOUND, known_vms, now)
            elif is_sender[i] and limiter.may_send(now):
                limiter.record_request(now)
                arrivals.append(now + rng.uniform(0, 0.1))
    return sorted(arrivals)


def max_per_second(arrivals):
    return max(
        sum(1 for a in arrivals[i:] if a <= first + 1.0)
        for i, first in enumerate(arrivals)
    )


class TestColdPace:
    @pytest.mark.parametrize("vms", [1, 2, 3, 6, 11, 12, 13, 30, 76])
    def test_all_vms_together_stay_within_the_bound(self, vms):
        # A target returns cold and all VMs want to send to it. Above its bound it
        # fails, restarts, and fails again.
        arrivals = simulate(vms, vms)
        assert arrivals
        assert max_per_second(arrivals) <= BOUND

    def test_restarted_vms_do_not_exceed_the_bound(self):
        # VMs are killed and restarted all the time. Each forgets what it sent; if it
        # started with a request, ten of them would send twenty in a second.
        assert max_per_second(simulate(11, 12, restart_rate=0.5)) <= BOUND

    def test_few_vms_use_most_of_the_bound(self):
        arrivals = simulate(3, 3)
        assert len(arrivals) / 20 > 0.7 * 5.3 * 1.5

    def test_vms_that_do_not_know_all_others_stay_within_the_bound(self):
        # Four of thirty VMs have just started, and no other VM knows of them yet.
        assert max_per_second(simulate(30, 26)) <= BOUND

    def test_senders_differ_by_target(self):
        names = [f"vm-{i}" for i in range(40)]
        senders = {
            target: {vm for vm in names if is_cold_sender(target, vm, names, BOUND)}
            for target in ("a", "b")
        }
        assert senders["a"] != senders["b"]
        assert all(1 <= len(is_sender) <= BOUND for is_sender in senders.values())

    def test_target_with_a_bound_below_one_receives_no_request(self):
        limiter = ColdRateLimiter(0.5, 1, 0.0)
        assert not limiter.may_send(1e9)
