"""Smooth weighted round robin among the services of a traffic split.

A weighted random choice deviates from the configured share by several percent over a
few hundred requests. Each VM instead keeps its own counts within one request of the
weights.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Picks in one round of integer weights that are given in percent.
PICKS_PER_ROUND = 100


class WeightedRoundRobin:
    """Smooth weighted round robin over several alternatives.

    Parameters
    ----------
    weights : sequence of float
        Weight of each alternative; at least one is above 0.
    start : float
        Position in the round, from 0 to 1, at which this VM begins, so that VMs with
        few requests each do not all begin with the same alternative.
    """

    __slots__ = ("_credits", "_total", "_weights")

    def __init__(self, weights: Sequence[float], start: float = 0.0):
        self._weights = list(weights)
        self._total = sum(weights)
        self._credits = [0.0 for _ in weights]
        for _ in range(int(start * PICKS_PER_ROUND)):
            self.pick()

    def pick(self) -> int:
        """Return the index of the next alternative."""
        for i, weight in enumerate(self._weights):
            self._credits[i] += weight
        best = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return best
