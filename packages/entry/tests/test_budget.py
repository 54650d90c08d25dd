"""Tests of the retry budget that all VMs share."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_entry.retry_budgets import RETRY_BUDGET_SHARE
from berylstage_policy.retries import RetryBudget

RATIO = 0.2
ALLOWANCE = 60.0
WINDOW = 10.0


def simulate(vms, rate, restarts, seed=1):
    """Retry every request as often as allowed; return times of requests and retries."""
    rng = Random(seed)

    def new_budget():
        return RetryBudget(
            RATIO * RETRY_BUDGET_SHARE, max(1.0, ALLOWANCE / (2 * (vms + 2)))
        )

    budgets = [new_budget() for _ in range(vms)]
    requests, retries = [], []
    now, pending_restarts = 0.0, list(restarts)
    while now < 40.0:
        now += rng.expovariate(rate)
        while pending_restarts and pending_restarts[0] <= now:
            pending_restarts.pop(0)
            budgets = [new_budget() for _ in budgets]
        budget = rng.choice(budgets)
        budget.deposit()
        requests.append(now)
        while budget.try_withdraw():
            retries.append(now)
    return requests, retries


def worst_excess(requests, retries):
    """Return the largest excess of retries over the budget in any window."""

    def count_in_window(times, start):
        return sum(1 for t in times if start <= t < start + WINDOW)

    return max(
        count_in_window(retries, start)
        - RATIO * count_in_window(requests, start)
        - ALLOWANCE
        for start in (0.5 * i for i in range(60))
    )


class TestRetryBudget:
    @pytest.mark.parametrize("vms", [1, 2, 11, 40])
    @pytest.mark.parametrize("rate", [5.0, 100.0])
    def test_all_vms_together_stay_within_the_budget(self, vms, rate):
        # A service fails every request, and each VM retries each one. Without a limit
        # over all VMs, the retries alone would keep the service overloaded.
        assert worst_excess(*simulate(vms, rate, [])) <= 0

    @pytest.mark.parametrize("vms", [1, 11, 28])
    def test_restarted_vms_stay_within_the_budget(self, vms):
        # All VMs are killed and restart within one window, each with the initial
        # allowance of a new budget.
        assert worst_excess(*simulate(vms, 100.0, [12.0])) <= 0
