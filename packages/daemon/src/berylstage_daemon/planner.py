"""Places shards by the loads that VMs report."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_messages.load_pb2 import LoadDigest
from berylstage_ownership.planner import Planner
from berylstage_policy.placement import plan
from berylstage_policy.thresholds import Thresholds

from berylstage_daemon.thresholds import thresholds_of

if TYPE_CHECKING:
    from berylstage_policy.placement import PlacementTarget, ShardMove, ShardPlacement
    from berylstage_sheet.configuration import Configuration


class LoadPlanner(Planner):
    """Plans moves with the placement policy and the reported loads."""

    def __init__(self):
        self._thresholds = Thresholds()

    def configured(self, cfg: Configuration) -> None:
        """Take in the thresholds of a configuration.

        Parameters
        ----------
        cfg : Configuration
        """
        self._thresholds = thresholds_of(cfg)

    def plan(
        self,
        service: str,
        holdings: list[ShardPlacement],
        places: list[PlacementTarget],
        budget: int,
        loads: dict[str, bytes],
    ) -> list[ShardMove]:
        """Return the moves to make now; see the base class."""
        by_shard = _shard_loads(loads)
        for holding in holdings:
            holding.load = by_shard.get(holding.shard, 0.0)
        return plan(holdings, places, budget, self._thresholds)

    def keys_apart(
        self, service: str, present: set[str], loads: dict[str, bytes]
    ) -> set[str]:
        """Return the keys that have shards of their own; see the base class."""
        wanted = set(present)
        for digest in _digests(loads):
            for change in digest.hot_keys:
                if change.service == service:
                    wanted |= set(change.set_apart)
                    wanted -= set(change.give_back)
        return wanted


def _digests(loads: dict[str, bytes]) -> list[LoadDigest]:
    """Return the digests of all VMs, in the order of their names."""
    return [LoadDigest.FromString(raw) for _, raw in sorted(loads.items())]


def _shard_loads(loads: dict[str, bytes]) -> dict[str, float]:
    """Return the load by shard.

    A shard that has just moved is reported by its old VM and its new one; the higher
    report is the better guess, since the new VM has counted for a short time only.
    """
    by_shard: dict[str, float] = {}
    for digest in _digests(loads):
        for row in digest.shards:
            by_shard[row.shard] = max(row.load, by_shard.get(row.shard, 0.0))
    return by_shard
