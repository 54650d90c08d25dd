"""Shard placement: mandatory moves and a limited number of balancing moves.

Targets join, leave and carry uneven load, and every move makes keys unavailable for a
moment. Hysteresis prevents load fluctuations from moving keys. The budget prevents a
reopened data centre from taking all of its keys back at once, while its targets are
cold.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from berylstage_policy.thresholds import DEFAULTS, Thresholds

# Weight of a shard without load, as a share of the mean load. Idle shards are spread by
# number, so that no target holds all of those that become active later.
IDLE_WEIGHT_SHARE = 0.01

# Moves of a shard within minutes, one away and one back, after which it is no longer
# rebalanced.
MAX_RECENT_MOVES = 2

# Targets with the lowest levels that are tried as partners of a repack.
MAX_REPACK_PARTNERS = 4

# Relative difference in level up to which a shard stays in place during a repack.
STAY_MARGIN = 0.02


class ShardPlacement:
    """One shard with its owner and load.

    Parameters
    ----------
    shard : str
        Unique name of the shard.
    owner : str or None
        Target that owns the shard; None before the first assignment.
    load : float
        Slot-seconds per second that the shard uses. Any other unit works if all shards
        use the same one.
    pinned : str or None
        Target to which operators pinned the shard. Ignored while that target is not
        eligible.
    recent_moves : int
        Moves within the last minutes. From `MAX_RECENT_MOVES` on, the shard is not
        moved for balance.
    """

    __slots__ = ("shard", "owner", "load", "pinned", "recent_moves")

    def __init__(
        self,
        shard: str,
        owner: str | None,
        load: float = 0.0,
        pinned: str | None = None,
        recent_moves: int = 0,
    ):
        self.shard = shard
        self.owner = owner
        self.load = load
        self.pinned = pinned
        self.recent_moves = recent_moves


class PlacementTarget:
    """Target that may own shards.

    Parameters
    ----------
    name : str
    data_centre : str
    capacity : float
        Relative share of the load that the target should receive: its number of slots,
        or less while it is slow.
    eligible : bool
        False if the target is down or leaving, or its data centre is closed.
    """

    __slots__ = ("name", "data_centre", "capacity", "eligible")

    def __init__(
        self,
        name: str,
        data_centre: str,
        capacity: float = 1.0,
        eligible: bool = True,
    ):
        self.name = name
        self.data_centre = data_centre
        self.capacity = capacity
        self.eligible = eligible


class ShardMove:
    """Change of one shard's owner."""

    __slots__ = ("shard", "source", "destination")

    def __init__(self, shard: str, source: str | None, destination: str):
        self.shard = shard
        self.source = source
        self.destination = destination

    def __repr__(self) -> str:
        return f"ShardMove({self.shard!r}, {self.source!r}, {self.destination!r})"


class _Bin:
    """Eligible target and the weight assigned to it while a plan is computed."""

    __slots__ = ("name", "capacity", "weight", "movable")

    def __init__(self, name: str, capacity: float):
        self.name = name
        self.capacity = capacity
        self.weight = 0.0
        # Unpinned shards in the bin, as (weight, shard).
        self.movable: list[tuple[float, str]] = []

    @property
    def level(self) -> float:
        """Weight per unit of capacity."""
        return self.weight / self.capacity


def plan(
    placements: list[ShardPlacement],
    targets: list[PlacementTarget],
    budget: int,
    thresholds: Thresholds = DEFAULTS,
) -> list[ShardMove]:
    """Return the shard moves that restore eligibility, pinning and balance.

    A shard without an owner, on an ineligible target, or pinned to another eligible
    target is always moved. Other shards move only from a target well above the mean
    level or to one well below it, and only within the budget that the mandatory moves
    leave. The result depends only on the arguments, so two VMs with the same view
    compute the same plan.

    Parameters
    ----------
    placements : list of ShardPlacement
        All shards of one service.
    targets : list of PlacementTarget
        All targets of that service.
    budget : int
        Maximum number of balancing moves in this plan. Mandatory moves are not limited
        but count against it, because loads are unreliable while keys move.
    thresholds : Thresholds

    Returns
    -------
    list of ShardMove
        Mandatory moves first. Empty if no target is eligible.
    """
    bins = {
        target.name: _Bin(target.name, target.capacity)
        for target in sorted(targets, key=lambda target: target.name)
        if target.eligible and target.capacity > 0
    }
    if not bins:
        return []
    weights = _weights(placements)
    moves = _place_mandatory(placements, weights, bins)
    left = budget - len(moves)
    if left > 0:
        moves.extend(_balance(bins, left, thresholds))
    return moves


def _weights(placements: list[ShardPlacement]) -> dict[str, float]:
    """Return the weight of each shard: its load plus a small minimum."""
    total = sum(placement.load for placement in placements)
    floor = IDLE_WEIGHT_SHARE * total / len(placements) if total > 0 else 1.0
    return {placement.shard: placement.load + floor for placement in placements}


def _place_mandatory(
    placements: list[ShardPlacement],
    weights: dict[str, float],
    bins: dict[str, _Bin],
) -> list[ShardMove]:
    """Assign every shard to a bin and return the moves that this requires."""
    moves = []
    unassigned = []
    for placement in placements:
        weight = weights[placement.shard]
        if placement.pinned in bins:
            pinned_bin = bins[placement.pinned]
            pinned_bin.weight += weight
            if placement.owner != placement.pinned:
                moves.append(
                    ShardMove(placement.shard, placement.owner, placement.pinned)
                )
        elif placement.owner in bins:
            owner_bin = bins[placement.owner]
            owner_bin.weight += weight
            # A data centre that closes and reopens moves a key away and back. If load
            # fluctuations moved the same key as well, it would be unavailable a third
            # time within minutes, while other keys never were.
            if placement.recent_moves < MAX_RECENT_MOVES:
                owner_bin.movable.append((weight, placement.shard))
        else:
            unassigned.append(placement)
    moves.extend(_place_unassigned(unassigned, weights, bins))
    return moves


def _place_unassigned(
    unassigned: list[ShardPlacement],
    weights: dict[str, float],
    bins: dict[str, _Bin],
) -> list[ShardMove]:
    """Assign shards without an eligible owner, heaviest first, to the lowest level."""
    moves = []
    by_level = SortedKeyList(
        bins.values(), key=lambda target: (target.level, target.name)
    )
    unassigned.sort(key=lambda placement: (-weights[placement.shard], placement.shard))
    for placement in unassigned:
        lowest = by_level.pop(0)
        weight = weights[placement.shard]
        lowest.weight += weight
        lowest.movable.append((weight, placement.shard))
        by_level.add(lowest)
        moves.append(ShardMove(placement.shard, placement.owner, lowest.name))
    return moves


def _balance(
    bins: dict[str, _Bin],
    budget: int,
    thresholds: Thresholds,
) -> list[ShardMove]:
    """Return moves that bring outlying targets back near the mean level."""
    mean = sum(b.weight for b in bins.values()) / sum(b.capacity for b in bins.values())
    high = mean * thresholds["balance_high"]
    low = mean * thresholds["balance_low"]
    settled_high = mean * thresholds["balance_settled_high"]
    settled_low = mean * thresholds["balance_settled_low"]
    by_level = SortedKeyList(
        bins.values(), key=lambda target: (target.level, target.name)
    )
    outliers = [b for b in bins.values() if b.level > high or b.level < low]
    if not outliers:
        return []
    moves: list[ShardMove] = []
    overloaded = sorted((b for b in outliers if b.level > high), key=lambda b: -b.level)
    for source in overloaded:
        while len(moves) < budget and source.level > settled_high:
            move = _move_best_shard(source, by_level[0], by_level, mean)
            if move is None:
                gain = mean * thresholds["balance_repack_gain"]
                moves.extend(_repack(source, by_level, budget - len(moves), gain))
                break
            moves.append(move)
    underloaded = sorted((b for b in outliers if b.level < low), key=lambda b: b.level)
    for destination in underloaded:
        while len(moves) < budget and destination.level < settled_low:
            move = _move_best_shard(by_level[-1], destination, by_level, mean)
            if move is None:
                break
            moves.append(move)
    return moves


def _repack(
    source: _Bin, by_level: SortedKeyList, budget: int, gain: float
) -> list[ShardMove]:
    """Redistribute the shards of two targets if no single move helps.

    For example, two hot keys on one target are each too heavy for any other target,
    unless that target gives up some of its light shards in return.
    """
    best: list[tuple[float, str, str]] = []
    lowest = source.level - gain
    partner = None
    for candidate in by_level[:MAX_REPACK_PARTNERS]:
        if candidate is source:
            continue
        level, changes = _distribute_evenly(source, candidate)
        if level < lowest and len(changes) <= budget:
            best, lowest, partner = changes, level, candidate
    if partner is None:
        return []
    by_level.remove(source)
    by_level.remove(partner)
    moves = []
    for weight, shard, owner in best:
        start, end = (source, partner) if owner == source.name else (partner, source)
        start.movable.remove((weight, shard))
        start.weight -= weight
        end.movable.append((weight, shard))
        end.weight += weight
        moves.append(ShardMove(shard, start.name, end.name))
    by_level.add(source)
    by_level.add(partner)
    return moves


def _distribute_evenly(
    first_bin: _Bin, second_bin: _Bin
) -> tuple[float, list[tuple[float, str, str]]]:
    """Distribute the shards of two targets evenly, the heaviest first.

    Returns
    -------
    level : float
        Higher of the two resulting levels.
    changes : list of (weight, shard, owner)
        Shards that would move, with their present owner.
    """
    bins = (first_bin, second_bin)
    weights = [b.weight - sum(w for w, _ in b.movable) for b in bins]
    entries = [(w, s, i) for i, b in enumerate(bins) for w, s in b.movable]
    changes = []
    for weight, shard, owner in sorted(entries, key=lambda e: (-e[0], e[1])):
        levels = [(weights[i] + weight) / bins[i].capacity for i in (0, 1)]
        # A shard stays if moving it makes no difference.
        stays = levels[owner] <= levels[1 - owner] * (1 + STAY_MARGIN)
        end = owner if stays else 1 - owner
        weights[end] += weight
        if end != owner:
            changes.append((weight, shard, bins[owner].name))
    return max(weights[i] / bins[i].capacity for i in (0, 1)), changes


def _move_best_shard(
    source: _Bin,
    destination: _Bin,
    by_level: SortedKeyList,
    mean: float,
) -> ShardMove | None:
    """Move the shard that best evens out two targets, or return None if none does."""
    # Weight whose move would bring both targets to the same level.
    equalizing_weight = (source.level - destination.level) / (
        1 / source.capacity + 1 / destination.capacity
    )
    # A heavy key cannot be split. Moving it would only swap the roles of the two
    # targets, and the next plan would move it back. A shard of twice the equalizing
    # weight swaps the levels exactly, so only clearly lighter shards are considered.
    ideal_weight = min(equalizing_weight, (source.level - mean) * source.capacity)
    light_enough = [
        entry for entry in source.movable if entry[0] <= 1.5 * equalizing_weight
    ]
    if not light_enough or equalizing_weight <= 0:
        return None
    ideal_weight = ideal_weight if ideal_weight > 0 else equalizing_weight
    entry = min(
        light_enough, key=lambda entry: (abs(entry[0] - ideal_weight), entry[1])
    )
    by_level.remove(source)
    by_level.remove(destination)
    source.movable.remove(entry)
    source.weight -= entry[0]
    destination.movable.append(entry)
    destination.weight += entry[0]
    by_level.add(source)
    by_level.add(destination)
    return ShardMove(entry[1], source.name, destination.name)
