"""Which service of a split gets the next request.

The load it answers: a route whose requests are divided among services by weight. Drawn
at random, the share of a service strays by several in a hundred over a few hundred
requests; here each VM keeps its own counts within one request of the weights.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

# Turns after which a round of whole weights in hundredths begins anew.
ROUND = 100


class WeightedRoundRobin:
    """Turns among several parts in proportion to their weights.

    Parameters
    ----------
    weights : sequence of float
        At least one above 0.
    start : float
        From 0 to 1: where in the round this VM begins, so that VMs with few requests
        each do not all begin with the same part.
    """

    __slots__ = ("_credits", "_total", "_weights")

    def __init__(self, weights: Sequence[float], start: float = 0.0):
        self._weights = list(weights)
        self._total = sum(weights)
        self._credits = [0.0 for _ in weights]
        for _ in range(int(start * ROUND)):
            self.take()

    def take(self) -> int:
        """Return the index of the part whose turn it is."""
        for i, weight in enumerate(self._weights):
            self._credits[i] += weight
        best = max(range(len(self._credits)), key=self._credits.__getitem__)
        self._credits[best] -= self._total
        return best
