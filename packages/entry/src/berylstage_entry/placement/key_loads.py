"""Request rates of keys, with exponential decay, and moves of keys."""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Seconds after which a key's request count is halved: long enough to recognize a hot
# key by a handful of requests, short enough for keys that are hot for 4 s. With 1.5 s
# the worst seconds of 44 targets earn 0.87 of the credit, with 0.7 s 0.90 (`make
# bench-owned`).
HALF_LIFE_SECONDS = 0.7
# Lower bound of the seconds over which a rate is computed. Shorter periods say little:
# one request within 0.2 s would count as five per second.
MIN_AGE_SECONDS = 0.7
# Counts below which a key is dropped.
MIN_WEIGHT = 0.05


class KeyLoads:
    """Request counts of keys with exponential decay."""

    __slots__ = ("_decayed_at", "_counting_since", "weights")

    def __init__(self, now: float):
        self.weights: dict[int, float] = {}
        self._decayed_at = now
        # Start of the counting.
        self._counting_since = now

    def add(self, key: int, count: float) -> None:
        """Add requests for a key."""
        self.weights[key] = self.weights.get(key, 0.0) + count

    def decay(self, now: float) -> None:
        """Apply the decay up to a time."""
        if not self.weights:
            self._counting_since = now
        factor = 0.5 ** ((now - self._decayed_at) / HALF_LIFE_SECONDS)
        self._decayed_at = now
        decayed = {key: weight * factor for key, weight in self.weights.items()}
        self.weights = {k: w for k, w in decayed.items() if w >= MIN_WEIGHT}

    def rates(self) -> list[tuple[int, float]]:
        """Return all keys in order, each with its requests per second."""
        # Shortly after counting has started, the decayed counts are still far below
        # their steady state. Without this correction, targets with long queues seemed
        # idle for a second after the first request and after each change of the
        # coordinator.
        age = max(MIN_AGE_SECONDS, self._decayed_at - self._counting_since)
        steady_state_share = 1 - 0.5 ** (age / HALF_LIFE_SECONDS)
        scale = log(2) / HALF_LIFE_SECONDS / steady_state_share
        return sorted((key, weight * scale) for key, weight in self.weights.items())


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
