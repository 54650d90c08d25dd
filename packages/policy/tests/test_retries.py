"""Tests of retries and hedges."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.retries import HedgePolicy, RetryPolicy, RetryVerdict
from berylstage_policy.thresholds import DEFAULTS
from berylstage_policy.tickets import AttemptOutcome


@pytest.fixture
def policy():
    return RetryPolicy(DEFAULTS, Random(1))


class TestRetryPolicy:
    @pytest.mark.parametrize(
        ("is_repeatable", "outcome", "verdict"),
        [
            (True, AttemptOutcome.UNKNOWN, RetryVerdict.RETRY),
            (True, AttemptOutcome.NOT_RUN, RetryVerdict.RETRY),
            (True, AttemptOutcome.ANSWERED, RetryVerdict.FINAL),
            (True, AttemptOutcome.CANCELLED, RetryVerdict.FINAL),
            (False, AttemptOutcome.NOT_RUN, RetryVerdict.RETRY),
            (False, AttemptOutcome.SHED, RetryVerdict.RETRY),
            (False, AttemptOutcome.COLD, RetryVerdict.RETRY),
            (False, AttemptOutcome.UNKNOWN, RetryVerdict.NOT_REPEATABLE),
            (False, AttemptOutcome.FAILED, RetryVerdict.NOT_REPEATABLE),
        ],
    )
    def test_request_that_may_have_run_is_retried_only_if_idempotent(
        self, policy, is_repeatable, outcome, verdict
    ):
        # An order got no answer. If it were sent again, it could be executed twice.
        found = policy.decide(is_repeatable, outcome, 1.0, 1, 0.02)
        assert found.verdict is verdict

    def test_no_time_is_final_at_once(self, policy):
        found = policy.decide(True, AttemptOutcome.UNKNOWN, 0.01, 1, 0.02)
        assert found.verdict is RetryVerdict.NO_TIME

    def test_attempts_are_bounded(self, policy):
        found = policy.decide(True, AttemptOutcome.UNKNOWN, 9.0, 3, 0.02)
        assert found.verdict is RetryVerdict.ATTEMPTS

    def test_failing_service_gets_a_bounded_load_of_retries(self, policy):
        # All requests fail for a while. Two retries of each would triple the load of a
        # service that fails under load.
        for _ in range(1000):
            policy.record_success()
        verdicts = [
            policy.decide(True, AttemptOutcome.UNKNOWN, 1.0, 1, 0.02).verdict
            for _ in range(1000)
        ]
        retries = verdicts.count(RetryVerdict.RETRY)
        assert retries == DEFAULTS["retry_reserve"]
        assert verdicts[-1] is RetryVerdict.BUDGET

    def test_retries_are_a_share_of_successes(self, policy):
        retries = 0
        for _ in range(5000):
            policy.record_success()
            found = policy.decide(True, AttemptOutcome.UNKNOWN, 1.0, 1, 0.02)
            retries += found.verdict is RetryVerdict.RETRY
        assert retries <= 5000 * DEFAULTS["retry_share"] + DEFAULTS["retry_reserve"]
        assert retries > 5000 * DEFAULTS["retry_share"] * 0.9


class TestHedgePolicy:
    def make_policy(self):
        policy = HedgePolicy(DEFAULTS)
        rng = Random(2)
        for _ in range(3000):
            policy.record_answer(rng.expovariate(50))
        return policy

    def test_delay_follows_the_quantile(self):
        # The 95th percentile of these answer times is 60 ms.
        assert 0.045 < self.make_policy().delay(True, 12) < 0.08

    def test_only_repeatable_work_with_another_target(self):
        policy = self.make_policy()
        assert policy.delay(False, 12) is None
        assert policy.delay(True, 1) is None
        assert HedgePolicy(DEFAULTS).delay(True, 12) is None

    def test_budget_bounds_the_extra_load(self):
        # All targets slow down at once, so every request is late. Hedging all of them
        # would double the load that causes the slowdown.
        policy = self.make_policy()
        assert (
            sum(policy.acquire_hedge() for _ in range(1000))
            <= DEFAULTS["hedge_reserve"]
        )
