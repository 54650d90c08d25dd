"""Whether to send a request again, and whether to send it twice.

The load it answers: a target or service that fails. Retries without a budget multiply
its load just when it can bear least; one sees a short fault that never ends, because
the retries alone saturate the target. The budget is a share of successes, so it dries
up when successes do.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from berylstage_policy.tickets import AttemptOutcome

if TYPE_CHECKING:
    from random import Random

    from berylstage_policy.thresholds import Thresholds

# Ends after which the request certainly did not run.
CERTAINLY_NOT_RUN = frozenset(
    {AttemptOutcome.SHED, AttemptOutcome.COLD, AttemptOutcome.NOT_RUN}
)


class RetryVerdict(Enum):
    """Whether to retry, or why not."""

    RETRY = "retry"
    NOT_REPEATABLE = "not-repeatable"
    FINAL = "final"
    NO_TIME = "no-time"
    ATTEMPTS = "attempts"
    BUDGET = "budget"


class RetryDecision:
    """A verdict and, for a retry, the seconds to wait before it."""

    __slots__ = ("verdict", "delay")

    def __init__(self, verdict: RetryVerdict, delay: float = 0.0):
        self.verdict = verdict
        self.delay = delay


class RetryBudget:
    """Tokens earned by successes and spent on extra attempts.

    Parameters
    ----------
    share : float
        Extra attempts for each success.
    reserve : float
        Most tokens kept, which is also the stock at the start: what a quiet service
        may retry before any success.
    """

    __slots__ = ("share", "reserve", "tokens")

    def __init__(self, share: float, reserve: float):
        self.share = share
        self.reserve = reserve
        self.tokens = reserve

    def earn(self) -> None:
        """Count a success."""
        self.tokens = min(self.reserve, self.tokens + self.share)

    def spend(self) -> bool:
        """Take a token and return True, or return False when there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def refund(self) -> None:
        """Put a token back."""
        self.tokens = min(self.reserve, self.tokens + 1.0)


class RetryPolicy:
    """Decides about retries for one service.

    Parameters
    ----------
    thresholds : Thresholds
    rng : Random
    """

    __slots__ = ("budget", "_rng", "_attempts", "_delay")

    def __init__(self, thresholds: Thresholds, rng: Random):
        self.budget = RetryBudget(
            thresholds["retry_share"], thresholds["retry_reserve"]
        )
        self._rng = rng
        self._attempts = int(thresholds["retry_attempts"])
        self._delay = thresholds["retry_delay"]

    def succeeded(self) -> None:
        """Count an answered request."""
        self.budget.earn()

    def decide(
        self,
        is_repeatable: bool,
        outcome: AttemptOutcome,
        time_left: float,
        attempt: int,
        expected_cost: float,
    ) -> RetryDecision:
        """Decide what follows an attempt that brought no answer.

        Parameters
        ----------
        is_repeatable : bool
            False for work that runs at most once. Such work is sent again only when
            it certainly did not run.
        outcome : Outcome
        time_left : float
            Seconds to the caller's deadline.
        attempt : int
            Number of attempts made, from 1.
        expected_cost : float
            Seconds that another attempt is expected to take.

        Returns
        -------
        RetryDecision
        """
        if outcome in (AttemptOutcome.ANSWERED, AttemptOutcome.CANCELLED):
            return RetryDecision(RetryVerdict.FINAL)
        if not is_repeatable and outcome not in CERTAINLY_NOT_RUN:
            return RetryDecision(RetryVerdict.NOT_REPEATABLE)
        if attempt >= self._attempts:
            return RetryDecision(RetryVerdict.ATTEMPTS)
        delay = self._rng.uniform(0.0, self._delay * 2 ** (attempt - 1))
        if delay + expected_cost > time_left:
            return RetryDecision(RetryVerdict.NO_TIME)
        if not self.budget.spend():
            return RetryDecision(RetryVerdict.BUDGET)
        return RetryDecision(RetryVerdict.RETRY, delay)


class HedgePolicy:
    """Decides when a second attempt is sent beside the first, for one free service.

    A target that stalls for a moment holds its requests while others idle. Only
    repeatable work of free services is hedged: an owned key has no other target, and
    work that may not be repeated would run twice.

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

    def answered(self, seconds: float) -> None:
        """Learn from an answer: the delay follows a high quantile of answer times."""
        self.budget.earn()
        if not self._delay:
            self._delay = seconds * 3
            return
        # Stochastic approximation of the quantile: steps up and down balance when the
        # wanted share of answers is faster.
        if seconds > self._delay:
            self._delay *= 1.0 + self._step * self._quantile
        else:
            self._delay *= 1.0 - self._step * (1.0 - self._quantile)

    def delay(self, is_repeatable: bool, targets: int) -> float | None:
        """Return the seconds after which to hedge, or None when never.

        Parameters
        ----------
        is_repeatable : bool
        targets : int
            Willing targets, the one that was sent to included.
        """
        if not is_repeatable or targets < 2 or not self._delay:
            return None
        return max(self._delay, self._least)

    def may_hedge(self) -> bool:
        """Take from the budget, at the moment of hedging.

        Offer a hedge so that a busy target may decline it, and drop it then: a hedge
        that queues helps nobody and delays others, and under overload all would.
        """
        return self.budget.spend()

    def declined(self) -> None:
        """Give back what a hedge took that did not run."""
        self.budget.refund()
