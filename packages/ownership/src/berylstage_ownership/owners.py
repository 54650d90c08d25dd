"""The owners of shards in the next assignment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.configuration import Ownership

from berylstage_ownership.assignment import Prior, ShardOwner
from berylstage_ownership.planner import PlacementTarget, ShardPlacement
from berylstage_ownership.shards import (
    ANY,
    hash_shard,
    key_shard,
    own_key,
    service_of,
)

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Service

    from berylstage_ownership.assignment import Assignment
    from berylstage_ownership.outlook import Outlook
    from berylstage_ownership.planner import Planner


def merged(priors: list[Prior]) -> list[Prior]:
    """Return priors with only the latest of each holder and target."""
    latest: dict[tuple[str, int, str, str], Prior] = {}
    for prior in priors:
        holder = (prior.vm, prior.incarnation, prior.target, prior.shard)
        known = latest.get(holder)
        if known is None or known.until < prior.until:
            latest[holder] = prior
    return sorted(latest.values(), key=lambda prior: prior.fields())


def target_priors(
    old: Assignment, target: str, until: int, shard: str = ""
) -> list[Prior]:
    """Return who may act at a target under the old assignment.

    Parameters
    ----------
    old : Assignment
    target : str
    until : int
        Revision that takes something of the target away.
    shard : str
        What is taken away; empty for the lead.

    Returns
    -------
    list of Prior
    """
    lead = old.leaders.get(target)
    if lead is None:
        return []
    earlier = [Prior(p.vm, p.incarnation, p.until, target, shard) for p in lead.priors]
    return [*earlier, Prior(lead.vm, lead.incarnation, until, target, shard)]


def shard_priors(old: Assignment, shard: str, until: int) -> list[Prior]:
    """Return who may act on a shard under the old assignment."""
    owner = old.owners.get(shard)
    if owner is None:
        return []
    return [*owner.priors, *target_priors(old, owner.target, until, shard)]


class OwnerChanges:
    """Works out the owners of one service's shards in the next assignment.

    Parameters
    ----------
    service : Service
    outlook : Outlook
    draft : Assignment
        The next assignment, changed in place.
    """

    def __init__(self, service: Service, outlook: Outlook, draft: Assignment):
        self._service = service
        self._outlook = outlook
        self._old = outlook.assignment
        self._draft = draft
        # Shards whose set of keys changes: they get a new fence token, so that work
        # admitted under the old division ends before the new one is served.
        self._redivided: dict[str, list[Prior]] = {}

    def apply(self, planner: Planner, budget: int) -> None:
        """Change the draft.

        Parameters
        ----------
        planner : Planner
        budget : int
            Moves that only improve the balance.
        """
        self._divide(planner)
        self._place(planner, budget)

    def _divide(self, planner: Planner) -> None:
        """Bring the set of shards in line with the configuration."""
        name = self._service.name
        if self._draft.hash_shards.get(name) != self._service.shards:
            self._divide_all()
            return
        wanted = self._wished_keys() | self._hot_keys(planner)
        present = {
            shard: key
            for shard, key in ((s, own_key(name, s)) for s in self._shards())
            if key is not None
        }
        for shard, key in wanted.items():
            if shard not in present:
                self._set_apart(shard, key)
        for shard, key in present.items():
            if shard not in wanted:
                self._join_again(shard, key)

    def _wished_keys(self) -> dict[str, str]:
        """Return the key by shard of each key that operators set apart."""
        name = self._service.name
        keys = self._outlook.configuration.special_keys
        return {key_shard(name, k.key): k.key for k in keys if k.service == name}

    def _hot_keys(self, planner: Planner) -> dict[str, str]:
        """Return the key by shard of each key set apart because of its load."""
        name = self._service.name
        own = (own_key(name, shard) for shard in self._shards())
        present = {key for key in own if key is not None}
        keys = planner.keys_apart(name, present, self._outlook.load_digests())
        return {key_shard(name, key): key for key in keys}

    def _shards(self) -> list[str]:
        """Return the shards of the service in the old assignment."""
        name = self._service.name
        return [shard for shard in self._old.owners if service_of(shard) == name]

    def _divide_all(self) -> None:
        """Divide the keys anew: everyone who served the service is a prior."""
        name, count = self._service.name, self._service.shards
        priors = []
        for shard in self._shards():
            priors += shard_priors(self._old, shard, self._draft.revision)
            del self._draft.owners[shard]
        for target in self._outlook.configuration.targets_of(name):
            priors += target_priors(
                self._old, target.name, self._draft.revision, f"{name}/{ANY}"
            )
        ranges = [f"{name}/{number}" for number in range(count)]
        for shard in [*ranges, *self._wished_keys()]:
            self._redivided[shard] = priors
        self._draft.hash_shards[name] = count

    def _set_apart(self, shard: str, key: str) -> None:
        """Take a key out of its hash range."""
        name = self._service.name
        whole = hash_shard(name, key, self._service.shards)
        priors = shard_priors(self._old, whole, self._draft.revision)
        for changed in (whole, shard):
            self._redivided[changed] = self._redivided.get(changed, []) + priors

    def _join_again(self, shard: str, key: str) -> None:
        """Give a key that was set apart back to its hash range."""
        whole = hash_shard(self._service.name, key, self._service.shards)
        priors = shard_priors(self._old, shard, self._draft.revision)
        priors += shard_priors(self._old, whole, self._draft.revision)
        self._redivided[whole] = self._redivided.get(whole, []) + priors
        del self._draft.owners[shard]

    def _place(self, planner: Planner, budget: int) -> None:
        """Choose the targets and write the owners."""
        holdings = self._holdings()
        moves = planner.plan(
            self._service.name,
            holdings,
            self._places(),
            budget,
            self._outlook.load_digests(),
        )
        destinations = {move.shard: move.destination for move in moves}
        for holding in holdings:
            target = destinations.get(holding.shard, holding.owner)
            if target is not None:
                self._give(holding.shard, target)

    def _holdings(self) -> list[ShardPlacement]:
        """Return the shards that need an owner."""
        name = self._service.name
        pins = {
            key_shard(name, k.key): k.target
            for k in self._outlook.configuration.special_keys
            if k.service == name
        }
        kept = [s for s in self._draft.owners if service_of(s) == name]
        shards = sorted({*kept, *self._redivided})
        return [
            ShardPlacement(shard, self._owner(shard), 0.0, pins.get(shard))
            for shard in shards
        ]

    def _owner(self, shard: str) -> str | None:
        """Return the target that owns a shard now."""
        owner = self._draft.owners.get(shard)
        return owner.target if owner else None

    def _places(self) -> list[PlacementTarget]:
        """Return the targets of the service."""
        return [
            PlacementTarget(
                target.name,
                target.data_centre,
                float(target.slots),
                self._outlook.takes_shards(target),
            )
            for target in self._outlook.configuration.targets_of(self._service.name)
        ]

    def _give(self, shard: str, target: str) -> None:
        """Write the owner of a shard, if it changes."""
        owner = self._draft.owners.get(shard)
        redivided = shard in self._redivided
        if owner is not None and owner.target == target and not redivided:
            return
        revision = self._draft.revision
        priors = shard_priors(self._old, shard, revision)
        priors += self._redivided.get(shard, [])
        self._draft.owners[shard] = ShardOwner(target, revision, merged(priors))


def drop_services(outlook: Outlook, draft: Assignment) -> None:
    """Take out services that are gone or whose keys are not owned any more."""
    services = outlook.configuration.services
    for name in list(draft.hash_shards):
        service = services.get(name)
        if service is not None and service.ownership is Ownership.OWNED:
            continue
        del draft.hash_shards[name]
        for shard in [s for s in draft.owners if service_of(s) == name]:
            del draft.owners[shard]
