"""Retry and hedging policies with budgets.

Retries without a budget multiply the load of a target or service that is failing, and a
short fault becomes permanent because the retries alone saturate the target. The budget
is a share of the successful requests, so it runs out when they stop.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from berylstage_policy.tickets import AttemptOutcome

if TYPE_CHECKING:
    from random import Random

    from berylstage_policy.thresholds import Thresholds

# Outcomes after which the request is known not to have run.
NOT_RUN_OUTCOMES = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.COLD, AttemptOutcome.NOT_RUN}
)


class RetryVerdict(Enum):
    """Decision to retry, or the reason not to."""

    RETRY = "retry"
    NOT_REPEATABLE = "not-repeatable"
    FINAL = "final"
    NO_TIME = "no-time"
    ATTEMPTS = "attempts"
    BUDGET = "budget"


class RetryDecision:
    """Verdict and, for a retry, the seconds to wait before it."""

    __slots__ = ("verdict", "delay")

    def __init__(self, verdict: RetryVerdict, delay: float = 0.0):
        self.verdict = verdict
        self.delay = delay


class RetryBudget:
    """Token bucket that successes fill and extra attempts drain.

    Parameters
    ----------
    share : float
        Tokens added per success.
    reserve : float
        Capacity of the bucket. It allows a service with little traffic to retry.
    tokens : float, optional
        Tokens at the start; a full bucket by default.
    """

    __slots__ = ("share", "reserve", "tokens")

    def __init__(self, share: float, reserve: float, tokens: float | None = None):
        self.share = share
        self.reserve = reserve
        self.tokens = reserve if tokens is None else min(tokens, reserve)

    def resize(self, reserve: float) -> None:
        """Change the capacity; only :meth:`deposit` fills a larger bucket."""
        self.reserve = reserve
        self.tokens = min(self.tokens, reserve)

    def deposit(self) -> None:
        """Add the tokens of one success."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def try_withdraw(self) -> bool:
        """Take a token; return False if the budget is exhausted."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Return a token that was taken."""
        self.tokens = min(self.reserve, self.tokens + 1.0)


class RetryPolicy:
    """Decides about retries of the requests of one service.

    Parameters
    ----------
    thresholds : Thresholds
    rng : Random
    """

    __slots__ = ("budget", "_rng", "_max_attempts", "_delay")

    def __init__(self, thresholds: Thresholds, rng: Random):
        self.budget = RetryBudget(
            thresholds["retry_share"], thresholds["retry_reserve"]
        )
        self._rng = rng
        self._max_attempts = int(thresholds["retry_attempts"])
        self._delay = thresholds["retry_delay"]

    def record_success(self) -> None:
        """Record an answered request."""
        self.budget.deposit()

    def decide(
        self,
        is_repeatable: bool,
        outcome: AttemptOutcome,
        time_left: float,
        attempt: int,
        expected_cost: float,
    ) -> RetryDecision:
        """Decide whether to retry an attempt that brought no answer.

        Parameters
        ----------
        is_repeatable : bool
            Whether the request is idempotent. Any other request is retried only if it
            certainly did not run.
        outcome : AttemptOutcome
        time_left : float
            Seconds until the caller's deadline.
        attempt : int
            Number of attempts made so far, starting at 1.
        expected_cost : float
            Expected duration of another attempt in seconds.

        Returns
        -------
        RetryDecision
        """
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.CANCELLED):
            return RetryDecision(RetryVerdict.FINAL)
        if not is_repeatable and outcome not in NOT_RUN_OUTCOMES:
            return RetryDecision(RetryVerdict.NOT_REPEATABLE)
        if attempt >= self._max_attempts:
            return RetryDecision(RetryVerdict.ATTEMPTS)
        delay = self._rng.uniform(0.0, self._delay * 2 ** (attempt - 1))
        if delay + expected_cost > time_left:
            return RetryDecision(RetryVerdict.NO_TIME)
        if not self.budget.try_withdraw():
            return RetryDecision(RetryVerdict.BUDGET)
        return RetryDecision(RetryVerdict.RETRY, delay)


class HedgePolicy:
    """Decides when to hedge the requests of one service without key ownership.

    A target that stalls for a moment delays its requests while other targets are idle.
    Only idempotent requests of services without key ownership are hedged: an owned key
    has no second target, and a request that is not idempotent could run twice.

    Parameters
    ----------
    thresholds : Thresholds
    """

    __slots__ = ("budget", "_quantile", "_step", "_delay", "_least")

    def __init__(self, thresholds: Thresholds):
        self.budget = RetryBudget(
            thresholds["hedge_share"], thresholds["hedge_reserve"]
        )
        self._quantile = thresholds["hedge_quantile"]
        self._step = thresholds["hedge_step"]
        self._least = thresholds["hedge_least_delay"]
        self._delay = 0.0

    def record_answer(self, seconds: float) -> None:
        """Record an answer; the delay follows a high quantile of the answer times."""
        self.budget.deposit()
        if not self._delay:
            self._delay = seconds * 3
            return
        # Stochastic approximation of the quantile: the steps up and down cancel out
        # when the wanted share of answers is faster than the delay.
        if seconds > self._delay:
            self._delay *= 1.0 + self._step * self._quantile
        else:
            self._delay *= 1.0 - self._step * (1.0 - self._quantile)

    def delay(self, is_repeatable: bool, targets: int) -> float | None:
        """Return the seconds after which to hedge, or None for no hedge.

        Parameters
        ----------
        is_repeatable : bool
        targets : int
            Number of available targets, including the one that has the request.
        """
        if not is_repeatable or targets < 2 or not self._delay:
            return None
        return max(self._delay, self._least)

    def acquire_hedge(self) -> bool:
        """Take a token for a hedge that is about to be sent.

        Send the hedge with `may_decline`, so that a busy target can decline it, and
        drop it then. A hedge that waits in a queue helps nobody and delays others, and
        under overload every hedge would wait.
        """
        return self.budget.try_withdraw()

    def refund(self) -> None:
        """Return the token of a hedge that was declined."""
        self.budget.refund()
