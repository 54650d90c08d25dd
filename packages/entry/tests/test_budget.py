"""Tests of the repeats that all VMs spend together."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_entry.router import BUDGET_USE
from berylstage_policy.retries import RetryBudget

RATIO = 0.2
ALLOWANCE = 60.0
WINDOW = 10.0


def play(vms, rate, restarts, seed=1):
    """Let every request want to be repeated; return requests and repeats by time."""
    rng = Random(seed)

    def fresh():
        return RetryBudget(RATIO * BUDGET_USE, max(1.0, ALLOWANCE / (2 * (vms + 2))))

    budgets = [fresh() for _ in range(vms)]
    requests, repeats = [], []
    now, due = 0.0, list(restarts)
    while now < 40.0:
        now += rng.expovariate(rate)
        while due and due[0] <= now:
            due.pop(0)
            budgets = [fresh() for _ in budgets]
        budget = rng.choice(budgets)
        budget.earn()
        requests.append(now)
        while budget.spend():
            repeats.append(now)
    return requests, repeats


def worst_excess(requests, repeats):
    """Return by how much the repeats in any window exceed what is allowed there."""

    def inside(times, start):
        return sum(1 for t in times if start <= t < start + WINDOW)

    return max(
        inside(repeats, start) - RATIO * inside(requests, start) - ALLOWANCE
        for start in (0.5 * i for i in range(60))
    )


class TestBudget:
    @pytest.mark.parametrize("vms", [1, 2, 11, 40])
    @pytest.mark.parametrize("rate", [5.0, 100.0])
    def test_all_vms_together_stay_within_it(self, vms, rate):
        # A service fails every request, and each VM would send each one again. Without
        # a bound over all of them the repeats alone keep the service down.
        assert worst_excess(*play(vms, rate, [])) <= 0

    @pytest.mark.parametrize("vms", [1, 11, 28])
    def test_vms_that_start_again_do_not_go_beyond_it(self, vms):
        # All VMs are killed and start again within one window, each with what a new
        # one may spend before it has earned anything.
        assert worst_excess(*play(vms, 100.0, [12.0])) <= 0
