"""When a caller that was turned away may come back.

The load it answers: the second wave. Callers that are told the same moment return
together and are turned away together again; one sees it as load that comes in pulses,
between which the slots are idle. Here each refused caller is given the next free moment
of a calendar that fills no faster than the target can serve.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from berylstage_policy.thresholds import Thresholds


class RetryAfter:
    """Spreads the return of refused callers over the capacity that there is."""

    __slots__ = ("_rng", "_floor", "_ceiling", "_next")

    def __init__(self, rng: Random, thresholds: Thresholds):
        self._rng = rng
        # First moment that is not yet promised to another caller.
        self._next = 0.0
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Take in other thresholds; what was learned stays.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._floor = thresholds["retry_after_floor"]
        self._ceiling = thresholds["retry_after_ceiling"]

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
        jitter = self._rng.uniform(0.5, 1.5)
        earliest = now + (self._floor + max(0.0, excess)) * jitter
        self._next = max(self._next, now + self._floor) + seconds_each
        moment = max(earliest, self._next)
        if moment > now + self._ceiling:
            # The calendar is full: by then the load is another, and the rest only must
            # not return together.
            self._next = min(self._next, now + self._ceiling)
            return self._ceiling * self._rng.uniform(0.5, 1.0)
        return moment - now
