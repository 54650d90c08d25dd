"""Retry delays for refused callers.

Callers that are given the same delay return together and are refused together again, so
that load arrives in pulses with idle slots in between. Each refused caller is instead
given the next free time of a schedule that fills no faster than the target can serve.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from berylstage_policy.thresholds import Thresholds


class RetryAfter:
    """Schedules the retries of refused callers within the available capacity."""

    __slots__ = ("_rng", "_floor_seconds", "_ceiling_seconds", "_next_free")

    def __init__(self, rng: Random, thresholds: Thresholds):
        self._rng = rng
        # Earliest time that has not been given to a caller yet.
        self._next_free = 0.0
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds; the schedule is kept.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._floor_seconds = thresholds["retry_after_floor"]
        self._ceiling_seconds = thresholds["retry_after_ceiling"]

    def next_delay(
        self, now: float, excess: float, seconds_per_request: float
    ) -> float:
        """Return the seconds after which a refused caller may retry.

        Parameters
        ----------
        now : float
        excess : float
            Seconds by which the expected wait exceeds what this request allows.
        seconds_per_request : float
            Service time of one request divided by the number of slots.

        Returns
        -------
        float
        """
        jitter = self._rng.uniform(0.5, 1.5)
        earliest = now + (self._floor_seconds + max(0.0, excess)) * jitter
        self._next_free = (
            max(self._next_free, now + self._floor_seconds) + seconds_per_request
        )
        return_at = max(earliest, self._next_free)
        if return_at > now + self._ceiling_seconds:
            # The schedule is full. The load will have changed by then, so the remaining
            # callers are only spread to keep them from returning together.
            self._next_free = min(self._next_free, now + self._ceiling_seconds)
            return self._ceiling_seconds * self._rng.uniform(0.5, 1.0)
        return return_at - now
