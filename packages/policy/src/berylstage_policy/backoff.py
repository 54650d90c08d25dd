"""When a caller that was turned away may come back.

The load it answers: the second wave. Callers that are told the same moment return
together and are turned away together again; one sees it as load that comes in pulses,
between which the slots are idle. Here the moments are spread over as long as it takes
to serve those that were lately turned away.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from berylstage_policy.thresholds import Thresholds


class RetryAfter:
    """Spreads the return of refused callers over the capacity that there is."""

    __slots__ = ("_rng", "_floor", "_ceiling", "_window", "_refused", "_updated")

    def __init__(self, rng: Random, thresholds: Thresholds):
        self._rng = rng
        self._floor = thresholds["retry_after_floor"]
        self._ceiling = thresholds["retry_after_ceiling"]
        self._window = thresholds["retry_after_window"]
        self._refused = 0.0
        self._updated = 0.0

    def after(self, now: float, excess: float, seconds_each: float) -> float:
        """Return the seconds after which a refused caller may come back.

        Parameters
        ----------
        now : float
        excess : float
            Seconds by which the queue is too long for this request.
        seconds_each : float
            Seconds that the target needs for one request, over all its slots.

        Returns
        -------
        float
        """
        elapsed = max(0.0, now - self._updated)
        self._refused = 1.0 + self._refused * exp(-elapsed / self._window)
        self._updated = now
        spread = max(self._floor, self._refused * seconds_each)
        delay = self._floor + max(0.0, excess) + self._rng.uniform(0.0, spread)
        return min(delay, self._ceiling * self._rng.uniform(0.75, 1.0))
