"""Where shards go: the moves that must be made and the few that pay.

The load it answers: targets that come, go and are unevenly loaded. Without the
hysteresis every fluctuation of load would move keys, and each move makes keys
unavailable; without the budget a reopened data centre would take all its keys back at
once, cold.
"""

from __future__ import annotations

from sortedcontainers import SortedKeyList

from berylstage_policy.thresholds import DEFAULTS, Thresholds

# Weight of a shard without load, as a share of the mean: idle shards are spread by
# number, so that no target ends up with all of those that wake up later.
IDLE_WEIGHT = 0.01

# Moves of a shard within minutes after which it is left alone: away and back.
MOST_RECENT_MOVES = 2

# Places of the lowest levels that are tried as partners of a repack.
REPACK_PARTNERS = 4

# Difference in level up to which a shard stays where it is in a repack.
STAY_MARGIN = 0.02


class ShardPlacement:
    """One shard and where it is.

    Parameters
    ----------
    shard : str
        Unique name of the shard.
    owner : str or None
        Place that owns it; None before the first assignment.
    load : float
        Slot-seconds a second that it takes; any unit will do if it is the same.
    pinned : str or None
        Place that operators want it on. Ignored while that place isn't eligible.
    recent_moves : int
        Moves within the last minutes. From `MOST_RECENT_MOVES` on it is not moved for
        balance.
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
    """One target that may own shards.

    Parameters
    ----------
    name : str
    data_centre : str
    capacity : float
        Share of the work that it should get, relative to the others: its slots, or
        less while it is slow.
    eligible : bool
        False when it is down, leaving, or its data centre is closed.
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
    """One change of owner that the plan asks for."""

    __slots__ = ("shard", "source", "destination")

    def __init__(self, shard: str, source: str | None, destination: str):
        self.shard = shard
        self.source = source
        self.destination = destination

    def __repr__(self) -> str:
        return f"Move({self.shard!r}, {self.source!r}, {self.destination!r})"


class _Bin:
    """One eligible place with the weight on it while a plan is made."""

    __slots__ = ("name", "capacity", "weight", "movable")

    def __init__(self, name: str, capacity: float):
        self.name = name
        self.capacity = capacity
        self.weight = 0.0
        # Unpinned shards on it, as (weight, shard).
        self.movable: list[tuple[float, str]] = []

    @property
    def level(self) -> float:
        """Weight for each unit of capacity."""
        return self.weight / self.capacity


def plan(
    holdings: list[ShardPlacement],
    places: list[PlacementTarget],
    budget: int,
    thresholds: Thresholds = DEFAULTS,
) -> list[ShardMove]:
    """Decide which shards change their owner.

    A shard without an owner, on a place that isn't eligible, or pinned to another
    eligible place is always moved. Other shards move only from a place well above the
    mean level, or to one well below it, and only as many as the budget has left after
    the mandatory moves. The result depends only on the arguments, so that two VMs with
    the same view plan the same moves.

    Parameters
    ----------
    holdings : list of Holding
        The shards of one service.
    places : list of Place
        The targets of that service.
    budget : int
        Most moves for balance in this plan; mandatory moves are not limited but use
        it up, because loads are unsettled while keys move.
    thresholds : Thresholds

    Returns
    -------
    list of Move
        Mandatory moves first. Empty when no place is eligible.
    """
    bins = {
        place.name: _Bin(place.name, place.capacity)
        for place in sorted(places, key=lambda place: place.name)
        if place.eligible and place.capacity > 0
    }
    if not bins:
        return []
    weights = _weights(holdings)
    moves = _place_mandatory(holdings, weights, bins)
    left = budget - len(moves)
    if left > 0:
        moves.extend(_balance(bins, left, thresholds))
    return moves


def _weights(holdings: list[ShardPlacement]) -> dict[str, float]:
    """Return the weight of each shard: its load, but never quite nothing."""
    total = sum(holding.load for holding in holdings)
    floor = IDLE_WEIGHT * total / len(holdings) if total > 0 else 1.0
    return {holding.shard: holding.load + floor for holding in holdings}


def _place_mandatory(
    holdings: list[ShardPlacement],
    weights: dict[str, float],
    bins: dict[str, _Bin],
) -> list[ShardMove]:
    """Put every shard in its bin and return the moves that this takes."""
    moves = []
    homeless = []
    for holding in holdings:
        weight = weights[holding.shard]
        if holding.pinned in bins:
            pinned_bin = bins[holding.pinned]
            pinned_bin.weight += weight
            if holding.owner != holding.pinned:
                moves.append(ShardMove(holding.shard, holding.owner, holding.pinned))
        elif holding.owner in bins:
            owner_bin = bins[holding.owner]
            owner_bin.weight += weight
            # A data centre that closes and reopens takes a key away and back. Moved
            # by chance fluctuations of load as well, the same key would be
            # unavailable a third time within minutes while others never were.
            if holding.recent_moves < MOST_RECENT_MOVES:
                owner_bin.movable.append((weight, holding.shard))
        else:
            homeless.append(holding)
    moves.extend(_place_homeless(homeless, weights, bins))
    return moves


def _place_homeless(
    homeless: list[ShardPlacement],
    weights: dict[str, float],
    bins: dict[str, _Bin],
) -> list[ShardMove]:
    """Place shards without an eligible owner, heaviest first, on the lowest level."""
    moves = []
    by_level = SortedKeyList(bins.values(), key=lambda place: (place.level, place.name))
    homeless.sort(key=lambda holding: (-weights[holding.shard], holding.shard))
    for holding in homeless:
        lowest = by_level.pop(0)
        weight = weights[holding.shard]
        lowest.weight += weight
        lowest.movable.append((weight, holding.shard))
        by_level.add(lowest)
        moves.append(ShardMove(holding.shard, holding.owner, lowest.name))
    return moves


def _balance(
    bins: dict[str, _Bin],
    budget: int,
    thresholds: Thresholds,
) -> list[ShardMove]:
    """Return moves that bring the outlying places back near the mean level."""
    mean = sum(b.weight for b in bins.values()) / sum(b.capacity for b in bins.values())
    high = mean * thresholds["balance_high"]
    low = mean * thresholds["balance_low"]
    settled_high = mean * thresholds["balance_settled_high"]
    settled_low = mean * thresholds["balance_settled_low"]
    by_level = SortedKeyList(bins.values(), key=lambda place: (place.level, place.name))
    outlying = [b for b in bins.values() if b.level > high or b.level < low]
    if not outlying:
        return []
    moves: list[ShardMove] = []
    over = sorted((b for b in outlying if b.level > high), key=lambda b: -b.level)
    for source in over:
        while len(moves) < budget and source.level > settled_high:
            move = _shift(source, by_level[0], by_level, mean)
            if move is None:
                gain = mean * thresholds["balance_repack_gain"]
                moves.extend(_repack(source, by_level, budget - len(moves), gain))
                break
            moves.append(move)
    under = sorted((b for b in outlying if b.level < low), key=lambda b: b.level)
    for destination in under:
        while len(moves) < budget and destination.level < settled_low:
            move = _shift(by_level[-1], destination, by_level, mean)
            if move is None:
                break
            moves.append(move)
    return moves


def _repack(
    source: _Bin, by_level: SortedKeyList, budget: int, gain: float
) -> list[ShardMove]:
    """Divide the shards of two places anew where no single move helps.

    Two hot keys on one place are such a case: each is too heavy for any other place,
    unless that place gives some of its light shards in return.
    """
    best: list[tuple[float, str, str]] = []
    lowest = source.level - gain
    partner = None
    for candidate in by_level[:REPACK_PARTNERS]:
        if candidate is source:
            continue
        level, changes = _divide(source, candidate)
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


def _divide(one: _Bin, other: _Bin) -> tuple[float, list[tuple[float, str, str]]]:
    """Divide the shards of two places evenly, the heaviest first.

    Returns
    -------
    level : float
        The higher level of the two places then.
    changes : list of (weight, shard, owner)
        Shards that would change their place, with the owner they have now.
    """
    places = (one, other)
    weights = [p.weight - sum(w for w, _ in p.movable) for p in places]
    entries = [(w, s, i) for i, p in enumerate(places) for w, s in p.movable]
    changes = []
    for weight, shard, owner in sorted(entries, key=lambda e: (-e[0], e[1])):
        levels = [(weights[i] + weight) / places[i].capacity for i in (0, 1)]
        # Where it makes no difference a shard stays.
        stays = levels[owner] <= levels[1 - owner] * (1 + STAY_MARGIN)
        end = owner if stays else 1 - owner
        weights[end] += weight
        if end != owner:
            changes.append((weight, shard, places[owner].name))
    return max(weights[i] / places[i].capacity for i in (0, 1)), changes


def _shift(
    source: _Bin,
    destination: _Bin,
    by_level: SortedKeyList,
    mean: float,
) -> ShardMove | None:
    """Move the shard that evens out two places most, or None when none helps."""
    # The weight that would bring both places to the same level.
    even = (source.level - destination.level) / (
        1 / source.capacity + 1 / destination.capacity
    )
    # One heavy key can't be split: moving it would only swap the places' parts, and
    # again at the next plan, which shows as a key that moves to and fro. A shard of
    # twice the even weight swaps them exactly, so only clearly lighter ones count.
    wanted = min(even, (source.level - mean) * source.capacity)
    fitting = [entry for entry in source.movable if entry[0] <= 1.5 * even]
    if not fitting or even <= 0:
        return None
    wanted = wanted if wanted > 0 else even
    entry = min(fitting, key=lambda entry: (abs(entry[0] - wanted), entry[1]))
    by_level.remove(source)
    by_level.remove(destination)
    source.movable.remove(entry)
    source.weight -= entry[0]
    destination.movable.append(entry)
    destination.weight += entry[0]
    by_level.add(source)
    by_level.add(destination)
    return ShardMove(entry[1], source.name, destination.name)
