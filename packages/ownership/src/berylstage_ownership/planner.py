"""Which target a shard goes to: the interface, and the simplest stable choice."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Holding:
    """One shard that needs an owner.

    Parameters
    ----------
    shard : str
    owner : str or None
        Target that owns it now.
    pinned : str or None
        Target that operators wish for it.
    """

    __slots__ = ("shard", "owner", "pinned")

    def __init__(self, shard: str, owner: str | None, pinned: str | None):
        self.shard = shard
        self.owner = owner
        self.pinned = pinned


class Place:
    """One target that may own shards.

    Parameters
    ----------
    name, data_centre : str
    capacity : float
        Slots of the target.
    eligible : bool
        Whether it takes shards now.
    """

    __slots__ = ("name", "data_centre", "capacity", "eligible")

    def __init__(self, name: str, data_centre: str, capacity: float, eligible: bool):
        self.name = name
        self.data_centre = data_centre
        self.capacity = capacity
        self.eligible = eligible


class Move:
    """One shard and the target that it goes to."""

    __slots__ = ("shard", "destination")

    def __init__(self, shard: str, destination: str):
        self.shard = shard
        self.destination = destination


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


class LeastLoaded(Planner):
    """Moves what must move to the target with the fewest shards per slot."""

    def plan(
        self,
        service: str,
        holdings: list[Holding],
        places: list[Place],
        budget: int,
        loads: dict[str, bytes],
    ) -> list[Move]:
        """Return the moves to make now; see :meth:`Planner.plan`."""
        eligible = {place.name: place for place in places if place.eligible}
        if not eligible:
            return []
        counts = dict.fromkeys(sorted(eligible), 0)
        for holding in holdings:
            if holding.owner in counts:
                counts[holding.owner] += 1
        moves = _forced_moves(holdings, eligible, counts)
        moved = {move.shard for move in moves}
        kept = [h for h in holdings if h.shard not in moved and not h.pinned]
        return moves + _levelling_moves(kept, eligible, counts, budget)


def _forced_moves(
    holdings: list[Holding], eligible: dict[str, Place], counts: dict[str, int]
) -> list[Move]:
    """Return the moves of shards whose owner is not eligible or not the wished one."""
    moves = []
    for holding in holdings:
        wished = holding.pinned if holding.pinned in eligible else None
        if holding.owner in eligible and wished in (None, holding.owner):
            continue
        destination = wished or _emptiest(eligible, counts)
        if holding.owner in counts:
            counts[holding.owner] -= 1
        counts[destination] += 1
        moves.append(Move(holding.shard, destination))
    return moves


def _emptiest(eligible: dict[str, Place], counts: dict[str, int]) -> str:
    """Return the target with the fewest shards per slot."""
    return min(counts, key=lambda name: (counts[name] / eligible[name].capacity, name))


def _levelling_moves(
    holdings: list[Holding],
    eligible: dict[str, Place],
    counts: dict[str, int],
    budget: int,
) -> list[Move]:
    """Return moves from the fullest to the emptiest targets, within the budget."""
    moves: list[Move] = []
    by_owner: dict[str, list[str]] = {}
    for holding in holdings:
        if holding.owner in counts:
            by_owner.setdefault(holding.owner, []).append(holding.shard)
    while len(moves) < budget:
        low = _emptiest(eligible, counts)
        high = max(
            (name for name in counts if by_owner.get(name)),
            key=lambda name: (counts[name] / eligible[name].capacity, name),
            default=low,
        )
        # A move that only swaps the roles of two targets would repeat for ever.
        gain = counts[high] / eligible[high].capacity
        if gain <= (counts[low] + 1) / eligible[low].capacity:
            break
        counts[high] -= 1
        counts[low] += 1
        moves.append(Move(by_owner[high].pop(), low))
    return moves
