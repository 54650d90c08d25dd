"""Which keys go to which target, so that none is busier than it must be.

The load it answers: a few neighbouring keys that get a third of all requests, for a
few seconds, before targets with two or three slots. An even division of the keys puts
half of the requests on one target of twelve; one sees a queue there and idle slots
elsewhere. Narrow stretches of busy keys are moved, since a move interrupts just their
requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.key_loads import KeyMove, rates_by_range

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Share of its capacity above which a target is worth relieving, and by how much a move
# must lower the busier of its two ends: less is chance among the few dozen requests
# that a target gets in the time of the half-life.
RELIEVED_ABOVE = 0.4
LEAST_GAIN = 0.12
# Share of its capacity above which a target is relieved at once, and by how much that
# must lower the busier end: a queue grows before it, and others have room. Otherwise a
# round waits until this many seconds after the last one that moved something: each
# costs two writes into the store and interrupts the requests of its keys. A single key
# that asks for more than any target can do, or targets that are all full, would have
# rounds all the time: with no such bounds 3 to 5 times the writes bring the same credit
# (`make bench-owned`).
URGENT_ABOVE = 0.8
URGENT_GAIN = 0.25
CALM_PERIOD = 1.0
# Moves in one round at least, and targets for each of them where there are many. Each
# interrupts its keys for the time of the work under way there, a tenth of a second.
LEAST_MOVES = 6
TARGETS_A_MOVE = 10
# Takers that are weighed for one move: the idlest, and the fastest for a single key
# that asks for more than its owner can do.
IDLEST = 3
FASTEST = 2
# Times the evening-out rate that a stretch of keys may bring.
TOLERANCE = 1.05


class _Keys:
    """The busy keys of a range, with the rate of each and of all."""

    __slots__ = ("keys", "range", "rate")

    def __init__(self, of: KeyRange, keys: list[tuple[int, float]]):
        self.range = of
        self.keys = keys
        self.rate = sum(rate for _, rate in keys)


class _Side:
    """A target in a round of moves."""

    __slots__ = ("capacity", "name", "rate")

    def __init__(self, name: str, capacity: float):
        self.name = name
        self.capacity = capacity
        self.rate = 0.0

    @property
    def level(self) -> float:
        return self.rate / self.capacity


class Rebalancer:
    """Decides when keys are moved for balance.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_moved_at",)

    def __init__(self, now: float):
        self._moved_at = now - CALM_PERIOD

    def moves(
        self,
        now: float,
        assignment: Assignment,
        rates: Sequence[tuple[int, float]],
        capacities: dict[str, float],
    ) -> list[KeyMove]:
        """Return the moves that are due, as :func:`rebalance` does.

        Parameters
        ----------
        now : float
        assignment, rates, capacities
            As for :func:`rebalance`.

        Returns
        -------
        list of KeyMove
        """
        urgent = now - self._moved_at < CALM_PERIOD
        moves = rebalance(assignment, rates, capacities, urgent)
        if moves:
            self._moved_at = now
        return moves


def rebalance(
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
    urgent: bool = False,
) -> list[KeyMove]:
    """Return the moves of one round.

    Parameters
    ----------
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests a second.
    capacities : dict of str to float
        Requests a second that each target can serve; only these give or take.
    urgent : bool
        Whether only moves count that end a queue which grows.

    Returns
    -------
    list of KeyMove
        At most as many as :func:`most_moves` says.
    """
    held = _by_owner(assignment, rates)
    sides = _sides(held, capacities)
    moves: list[KeyMove] = []
    # Targets for which there is no move; a later move of a round finds none either.
    passed: set[str] = set()
    while len(moves) < most_moves(len(sides)) and len(sides) > 1:
        found = _next_move(sides, held, moves, passed, urgent)
        if found is None:
            break
        moves.append(found.move)
        found.giver.rate -= found.rate
        found.taker.rate += found.rate
    return moves


def most_moves(targets: int) -> int:
    """Return the moves that one round may have.

    A stretch of busy keys wants as many new owners as it has of all requests, and so
    more of them the more targets there are.

    Parameters
    ----------
    targets : int
        That may take keys.

    Returns
    -------
    int
    """
    return max(LEAST_MOVES, targets // TARGETS_A_MOVE)


def _by_owner(
    assignment: Assignment, rates: Sequence[tuple[int, float]]
) -> dict[str, list[_Keys]]:
    """Return the ranges of each owner that have busy keys."""
    held: dict[str, list[_Keys]] = {}
    for r, keys in rates_by_range(assignment, rates):
        if keys:
            held.setdefault(r.owner, []).append(_Keys(r, keys))
    return held


def _sides(
    held: dict[str, list[_Keys]], capacities: dict[str, float]
) -> dict[str, _Side]:
    """Return the targets that give or take, with what they are asked for."""
    sides = {name: _Side(name, max(c, 0.1)) for name, c in capacities.items()}
    for name, side in sides.items():
        side.rate = sum(each.rate for each in held.get(name, ()))
    return sides


class _Found:
    """A move that would help, and by how much."""

    __slots__ = ("giver", "level", "move", "rate", "taker")

    def __init__(
        self, move: KeyMove, giver: _Side, taker: _Side, rate: float, level: float
    ):
        self.move = move
        self.giver = giver
        self.taker = taker
        self.rate = rate
        # Of the busier end after the move.
        self.level = level

    @property
    def is_urgent(self) -> bool:
        """Whether it ends a queue that grows."""
        before = self.giver.level
        return before >= URGENT_ABOVE and before - self.level >= URGENT_GAIN


def _next_move(
    sides: dict[str, _Side],
    held: dict[str, list[_Keys]],
    moves: list[KeyMove],
    passed: set[str],
    urgent: bool,
) -> _Found | None:
    """Return the best move from the busiest target that has one.

    The busiest one of all may have a key that asks for more than any target can do, and
    no move that helps it much. Those behind it must be relieved all the same: with
    hundreds of targets there is one such at nearly any time, and queues would grow
    before all others.
    """
    least = URGENT_ABOVE if urgent else RELIEVED_ABOVE
    by_level = sorted(sides.values(), key=lambda side: side.level)
    fastest = sorted(by_level, key=lambda side: -side.capacity)[:FASTEST]
    takers = list({id(s): s for s in by_level[:IDLEST] + fastest}.values())
    for giver in reversed(by_level):
        if giver.level < least:
            return None
        if giver.name in passed:
            continue
        found = _best_move(giver, takers, held.get(giver.name, ()), moves)
        if found is not None and (found.is_urgent or not urgent):
            return found
        passed.add(giver.name)
    return None


def _best_move(
    giver: _Side,
    takers: list[_Side],
    held: Sequence[_Keys],
    moves: list[KeyMove],
) -> _Found | None:
    best: _Found | None = None
    for each in held:
        if each.range.former or _touches(each.range, moves):
            continue
        for taker in takers:
            if taker is giver:
                continue
            for first, last, rate in _stretches(each.keys, giver, taker):
                level = max(
                    (giver.rate - rate) / giver.capacity,
                    (taker.rate + rate) / taker.capacity,
                )
                if best is None or level < best.level:
                    move = KeyMove(first, last, taker.name)
                    best = _Found(move, giver, taker, rate, level)
    if best is None or best.level > giver.level - LEAST_GAIN:
        return None
    return best


def _stretches(
    keys: list[tuple[int, float]], giver: _Side, taker: _Side
) -> list[tuple[int, int, float]]:
    """Return stretches of keys worth weighing: first key, last key and rate."""
    both = giver.capacity + taker.capacity
    wanted = (giver.rate * taker.capacity - taker.rate * giver.capacity) / both
    found = []
    if wanted > 0:
        narrow = _narrowest(keys, 0.6 * wanted, TOLERANCE * wanted)
        small = narrow or _narrowest(keys, 0.2 * wanted, 0.6 * wanted)
        if small is not None:
            found.append(small[1:])
    busiest, rate = max(keys, key=lambda pair: pair[1])
    found.append((busiest, busiest, rate))
    return found


def _touches(r: KeyRange, moves: list[KeyMove]) -> bool:
    return any(m.first <= r.last and m.last >= r.first for m in moves)


def _narrowest(
    keys: list[tuple[int, float]], low: float, high: float
) -> tuple[float, int, int, float] | None:
    """Return cost, first key, last key and rate of the best stretch within bounds.

    The cost is the width for the rate that it brings, so that a stretch that brings
    twice as much may be twice as wide.
    """
    best: tuple[float, int, int, float] | None = None
    start, total = 0, 0.0
    for end, (last, rate) in enumerate(keys):
        total += rate
        while total > high and start <= end:
            total -= keys[start][1]
            start += 1
        if start <= end and total >= low:
            first = keys[start][0]
            candidate = ((last - first + 1) / total, first, last, total)
            if best is None or candidate < best:
                best = candidate
    return best
