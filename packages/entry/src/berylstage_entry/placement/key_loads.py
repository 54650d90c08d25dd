"""Request rates of keys, with exponential decay, and moves of keys."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from berylstage_entry.placement.load_steps import (
    CONTINUATION_SECONDS,
    find_missing_rates,
)

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Seconds after which a key's request count is halved: long enough to recognize a hot
# key by a handful of requests, short enough for keys that are hot for 4 s. With 1.5 s
# the worst seconds of 44 targets earn 0.87 of the credit, with 0.7 s 0.90 (`make
# bench-owned`).
HALF_LIFE_SECONDS = 0.7
# The same where risen rates count at once (`KeyLoads.raise_steps`): twice the requests
# tell the rate of an owner. With 0.7 s, 76 targets need 60% more moves for the same
# credit (`make bench-owned`).
STEPPED_HALF_LIFE_SECONDS = 1.4
# Lower bound of the seconds over which a rate is computed. Shorter periods say little:
# one request within 0.2 s would count as five per second.
MIN_AGE_SECONDS = 0.7
# Counts below which a key is dropped.
MIN_WEIGHT = 0.05
# Seconds for which counts are also kept undecayed, to recognize a rate that has just
# risen, and the shortest part of them that is looked at. The counts of one report
# interval may be those of half the VMs.
RECENT_SECONDS = 0.3
RECENT_PART_SECONDS = 0.1


class KeyLoads:
    """Request counts of keys with exponential decay."""

    __slots__ = (
        "_counting_since",
        "_decayed_at",
        "_finds_steps",
        "_recent",
        "_steps",
        "weights",
    )

    def __init__(self, now: float):
        self.weights: dict[int, float] = {}
        self._decayed_at = now
        # Start of the counting.
        self._counting_since = now
        # Start and undecayed counts of each part of the last seconds, in order.
        self._recent: list[tuple[float, dict[int, float]]] = [(now, {})]
        # Blocks of keys whose step was found a moment ago, and until when that counts.
        self._steps: dict[int, float] = {}
        self._finds_steps = False

    def add(self, key: int, count: float) -> None:
        """Add requests for a key."""
        self.weights[key] = self.weights.get(key, 0.0) + count
        recent = self._recent[-1][1]
        recent[key] = recent.get(key, 0.0) + count

    def decay(self, now: float) -> None:
        """Apply the decay up to a time."""
        if not self.weights:
            self._counting_since = now
        factor = 0.5 ** ((now - self._decayed_at) / self._half_life())
        self._decayed_at = now
        decayed = {key: weight * factor for key, weight in self.weights.items()}
        self.weights = {k: w for k, w in decayed.items() if w >= MIN_WEIGHT}
        # A part is a little shorter than the time between two checks, which jitters.
        if now - self._recent[-1][0] >= 0.9 * RECENT_PART_SECONDS:
            oldest = now - RECENT_SECONDS - 0.1 * RECENT_PART_SECONDS
            self._recent = [part for part in self._recent if part[0] >= oldest]
            self._recent.append((now, {}))

    def recent_counts(self) -> list[tuple[float, dict[int, float]]]:
        """Return the counts of the last seconds, the shortest period first.

        Returns
        -------
        list of tuple
            Seconds, and the counts by key.
        """
        periods = []
        counts: dict[int, float] = {}
        for start, part in reversed(self._recent):
            seconds = self._decayed_at - start
            counts = dict(counts)
            for key, count in part.items():
                counts[key] = counts.get(key, 0.0) + count
            if seconds >= 0.9 * RECENT_PART_SECONDS:
                periods.append((seconds, counts))
        return periods

    def raise_steps(self) -> int:
        """Count rates at once that have risen in the last tenths of a second.

        The decayed counts show a third of a new rate after 0.35 s. Where the recent
        requests of a block of keys prove a step, its keys' counts are raised by what is
        missing, see :func:`berylstage_entry.placement.load_steps.find_missing_rates`.

        Returns
        -------
        int
            Number of blocks with a step; 0 if the detection is off.
        """
        if not self._finds_steps:
            return 0
        now = self._decayed_at
        self._steps = {block: end for block, end in self._steps.items() if end > now}
        missing, blocks = find_missing_rates(
            dict(self.rates()), self.recent_counts(), self._steps
        )
        scale = self._rate_scale()
        for key, rate in missing.items():
            self.weights[key] = self.weights.get(key, 0.0) + rate / scale
        for block in blocks:
            self._steps.setdefault(block, now + CONTINUATION_SECONDS)
        return len(blocks)

    def rates(self) -> list[tuple[int, float]]:
        """Return all keys in order, each with its requests per second."""
        scale = self._rate_scale()
        return sorted((key, weight * scale) for key, weight in self.weights.items())

    def _half_life(self) -> float:
        return STEPPED_HALF_LIFE_SECONDS if self._finds_steps else HALF_LIFE_SECONDS

    def set_step_detection(self, is_on: bool) -> None:
        """Set whether rates that have just risen count at once, see `raise_steps`.

        Parameters
        ----------
        is_on : bool
        """
        if is_on == self._finds_steps:
            return
        scale = self._rate_scale()
        self._finds_steps = is_on
        # The rates stay as they are.
        scale /= self._rate_scale()
        self.weights = {key: weight * scale for key, weight in self.weights.items()}

    def _rate_scale(self) -> float:
        """Return the requests per second of a count of one."""
        # Shortly after counting has started, the decayed counts are still far below
        # their steady state. Without this correction, targets with long queues seemed
        # idle for a second after the first request and after each change of the
        # coordinator.
        age = max(MIN_AGE_SECONDS, self._decayed_at - self._counting_since)
        half_life = self._half_life()
        return log(2) / half_life / (1 - 0.5 ** (age / half_life))


class KeyMove:
    """Keys that move to another owner.

    Parameters
    ----------
    first, last : int
    owner : str
    """

    __slots__ = ("first", "last", "owner")

    def __init__(self, first: int, last: int, owner: str):
        self.first = first
        self.last = last
        self.owner = owner


def rates_by_range(
    assignment: Assignment, rates: Sequence[tuple[int, float]]
) -> list[tuple[KeyRange, list[tuple[int, float]]]]:
    """Return each range with its keys and their rates."""
    result: list[tuple[KeyRange, list[tuple[int, float]]]] = []
    i = 0
    for r in assignment.ranges:
        keys = []
        while i < len(rates) and rates[i][0] <= r.last:
            keys.append(rates[i])
            i += 1
        result.append((r, keys))
    return result
