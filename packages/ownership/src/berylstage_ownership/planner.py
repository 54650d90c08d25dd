"""Which target a shard goes to: the interface, and the policy behind it."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from berylstage_policy.placement import Holding, Move, Place, plan

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["BalancedPlanner", "Holding", "Move", "Place", "Planner"]


class Planner(ABC):
    """Decides which target a shard goes to."""

    @abstractmethod
    def plan(
        self,
        service: str,
        holdings: list[Holding],
        places: list[Place],
        budget: int,
        loads: dict[str, bytes],
    ) -> list[Move]:
        """Return the moves to make now.

        Parameters
        ----------
        service : str
        holdings : list of Holding
        places : list of Place
        budget : int
            Moves that only improve the balance; shards whose owner is not eligible
            move in any case.
        loads : dict of str to bytes
            Load digests by VM, as the daemon made them.

        Returns
        -------
        list of Move
        """


class BalancedPlanner(Planner):
    """Places shards by the policy of ``berylstage_policy.placement``.

    Parameters
    ----------
    load_of : callable, optional
        Reads a VM's load digest into load by shard; without it all shards weigh the
        same.
    """

    def __init__(self, load_of: Callable[[bytes], dict[str, float]] | None = None):
        self._load_of = load_of

    def plan(
        self,
        service: str,
        holdings: list[Holding],
        places: list[Place],
        budget: int,
        loads: dict[str, bytes],
    ) -> list[Move]:
        """Return the moves to make now; see :meth:`Planner.plan`."""
        if self._load_of is not None:
            weights: dict[str, float] = {}
            for digest in loads.values():
                weights.update(self._load_of(digest))
            for holding in holdings:
                holding.load = weights.get(holding.shard, 0.0)
        return plan(holdings, places, budget)
