"""Tests of the retry budget that all VMs share."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_entry.membership import ASSUMED_STARTING_VMS
from berylstage_entry.retry_budgets import RetryBudgets
from berylstage_entry.settings import Bounds

RATIO = 0.2
WINDOW = 10.0
# Seconds after its start until a VM knows all others.
LEARNING_SECONDS = 1.5
SERVICE = "s"


def play(vms, rate, restarts=(), known_at_start=None, allowance=60.0, seed=1):
    """Retry every request as often as allowed; return times of requests and retries."""
    rng = Random(seed)
    bounds = Bounds(RATIO, allowance, 1.5, 5.0, 6.0, 10.0)

    def start_vm():
        budgets = RetryBudgets(bounds)
        count = vms if known_at_start is None else known_at_start
        if count:
            budgets.vm_count = count + ASSUMED_STARTING_VMS
        return budgets

    budgets = [start_vm() for _ in range(vms)]
    requests, retries = [], []
    now, pending_restarts, started_at = 0.0, list(restarts), 0.0
    while now < 40.0:
        now += rng.expovariate(rate)
        while pending_restarts and pending_restarts[0] <= now:
            started_at = pending_restarts.pop(0)
            budgets = [start_vm() for _ in budgets]
        if now >= started_at + LEARNING_SECONDS:
            for vm_budgets in budgets:
                vm_budgets.vm_count = vms + ASSUMED_STARTING_VMS
        chosen = rng.choice(budgets)
        chosen.record_request(SERVICE)
        requests.append(now)
        while chosen.try_withdraw(SERVICE):
            retries.append(now)
    return requests, retries


def worst_excess(requests, retries, allowance=60.0):
    """Return the largest excess of retries over the budget in any window."""

    def count_in_window(times, start):
        return sum(1 for t in times if start <= t < start + WINDOW)

    return max(
        count_in_window(retries, start)
        - RATIO * count_in_window(requests, start)
        - allowance
        for start in (0.5 * i for i in range(60))
    )


class TestRetryBudget:
    @pytest.mark.parametrize("vms", [1, 2, 11, 40])
    @pytest.mark.parametrize("rate", [5.0, 100.0])
    def test_all_vms_together_stay_within_the_budget(self, vms, rate):
        # A service fails every request, and each VM retries each one. Without a limit
        # over all VMs, the retries alone would keep the service overloaded.
        assert worst_excess(*play(vms, rate)) <= 0

    @pytest.mark.parametrize("vms", [1, 11, 28])
    def test_restarted_vms_stay_within_the_budget(self, vms):
        # All VMs are killed and restart within one window, each with the initial
        # allowance of a new budget.
        assert worst_excess(*play(vms, 100.0, [12.0])) <= 0

    @pytest.mark.parametrize("vms", [11, 28])
    def test_vms_restarted_twice_stay_within_the_budget(self, vms):
        # Guards against a full reserve with each start.
        assert worst_excess(*play(vms, 100.0, [12.0, 14.0, 16.0])) <= 0

    @pytest.mark.parametrize(("vms", "allowance"), [(10, 60), (63, 166), (195, 430)])
    @pytest.mark.parametrize("known_at_start", [0, 1, 5])
    def test_vms_that_know_few_others_stay_within_the_budget(
        self, vms, allowance, known_at_start
    ):
        # Guards against shares of the budget that are sized by the few VMs known at the
        # first request, as after a loss of all VMs.
        times = play(vms, 10.0 * vms, [12.0], known_at_start, allowance)
        assert worst_excess(*times, allowance) <= 0
