"""Errors that end a request without a target's answer, with when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.retry_promises import MAX_WAIT_SHARE

from berylstage_entry.clock import now
from berylstage_entry.errors import Refused, Unanswered

if TYPE_CHECKING:
    from random import Random

    from berylstage_entry.request_context import RequestContext

# Range of the retry delay suggested to callers when a service has no free slots. It
# uses up to a third of a caller's time; the spread avoids simultaneous retries.
MIN_RETRY_AFTER_SECONDS = 0.05
MAX_RETRY_AFTER_SECONDS = 0.25
# Retry delay in seconds when the target rejected a request although it had free slots.
IMMEDIATE_RETRY_SECONDS = 0.01
# Refused callers are spread from the expected wait to this multiple of it.
RETRY_AFTER_SPREAD = 1.25


class RequestErrors:
    """Builds the error that tells a caller what became of its request.

    Parameters
    ----------
    rng : Random
        Spreads the callers that are told to come back.
    """

    def __init__(self, rng: Random):
        self._rng = rng

    def draw_retry_after(self) -> float:
        """Return a retry delay in seconds for a request that has not been sent."""
        return self._rng.uniform(MIN_RETRY_AFTER_SECONDS, MAX_RETRY_AFTER_SECONDS)

    def build_error(
        self,
        ctx: RequestContext,
        reason: str,
        detail: str = "",
        expected_wait: float = 0.0,
        is_own_slot: bool = False,
    ) -> Refused | Unanswered:
        """Return the error of a request that is given up.

        Parameters
        ----------
        ctx : RequestContext
        reason : str
            Reason, for log and metrics.
        detail : str
            Facts that led to it.
        expected_wait : float
            Seconds until the request could be served; 0 if unknown.
        is_own_slot : bool
            Whether each refused request is told the time of another slot, so that the
            callers need not be spread.

        Returns
        -------
        Refused or Unanswered
            Refused if no target can have run the request.
        """
        detail = f"{detail} attempts {ctx.attempts} {ctx.describe()}".strip()
        if ctx.lost_reason:
            detail = f"not sent again ({reason}): {detail}"
            return Unanswered(ctx.lost_reason, False, detail)
        retry_after = self.draw_retry_after()
        if ctx.rejections:
            # Slots are free, so a delay would not improve the next attempt.
            retry_after = IMMEDIATE_RETRY_SECONDS
        if expected_wait:
            spread = 1.0 if is_own_slot else RETRY_AFTER_SPREAD
            retry_after = max(
                MIN_RETRY_AFTER_SECONDS, expected_wait
            ) * self._rng.uniform(1, spread)
        if ctx.caller_may_return:
            longest = MAX_WAIT_SHARE * max(0.0, ctx.seconds_left(now()))
            retry_after = min(retry_after, longest)
        return Refused(reason, retry_after, detail)
