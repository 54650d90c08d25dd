"""Which target a shard goes to: the interface, and the policy behind it."""

from __future__ import annotations

from abc import ABC, abstractmethod

from berylstage_policy.placement import PlacementTarget, ShardMove, ShardPlacement, plan

__all__ = [
    "BalancedPlanner",
    "ShardPlacement",
    "ShardMove",
    "PlacementTarget",
    "Planner",
]


class Planner(ABC):
    """Decides which target a shard goes to."""

    @abstractmethod
    def plan(
        self,
        service: str,
        holdings: list[ShardPlacement],
        places: list[PlacementTarget],
        budget: int,
        loads: dict[str, bytes],
    ) -> list[ShardMove]:
        """Return the moves to make now.

        Parameters
        ----------
        service : str
        holdings : list of ShardPlacement
        places : list of PlacementTarget
        budget : int
            Moves that only improve the balance; shards whose owner is not eligible
            move in any case.
        loads : dict of str to bytes
            Load digests by VM, as the daemon made them.

        Returns
        -------
        list of ShardMove
        """

    def keys_apart(
        self, service: str, present: set[str], loads: dict[str, bytes]
    ) -> set[str]:
        """Return the keys that get shards of their own besides those of the sheet.

        Parameters
        ----------
        service : str
        present : set of str
            Keys that have a shard of their own now.
        loads : dict of str to bytes
            Load digests by VM, as the daemon made them.

        Returns
        -------
        set of str
        """
        return set()


class BalancedPlanner(Planner):
    """Places shards by the policy of ``berylstage_policy.placement``, all alike."""

    def plan(
        self,
        service: str,
        holdings: list[ShardPlacement],
        places: list[PlacementTarget],
        budget: int,
        loads: dict[str, bytes],
    ) -> list[ShardMove]:
        """Return the moves to make now; see :meth:`Planner.plan`."""
        return plan(holdings, places, budget)
