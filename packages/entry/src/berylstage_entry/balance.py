"""Moves keys between targets so that none is busier than necessary.

The typical load is a few adjacent keys that get a third of all requests for a few
seconds, at targets with two or three slots. With keys divided evenly, one target of
twelve gets half of the requests: it has a queue while other targets have free slots.
Narrow runs of hot keys are moved, because a move interrupts only the requests for its
own keys.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.key_loads import KeyMove, rates_by_range

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Utilization from which a target may give keys away, and by how much a move must lower
# the utilization of the busier of its two targets. Smaller differences are noise, given
# the few dozen requests that a target gets within the half-life.
RELIEVED_ABOVE = 0.4
LEAST_GAIN = 0.12
# Utilization from which keys are moved at once, and by how much such a move must lower
# the utilization of the busier target: it has a growing queue while others have free
# capacity. Otherwise a round waits until this many seconds after the last one that
# moved keys, because each round costs two writes to the store and interrupts requests.
# A single key with more requests than any target can serve, or targets that are all
# overloaded, would otherwise cause rounds all the time: without these bounds, 3 to 5
# times the writes earn the same credit (`make bench-owned`).
URGENT_ABOVE = 0.8
URGENT_GAIN = 0.25
CALM_PERIOD = 1.0
# Lower bound of the moves allowed per round, and the number of targets per move if
# there are many targets. Each move interrupts its keys until the requests in progress
# there are complete, a tenth of a second.
LEAST_MOVES = 6
TARGETS_A_MOVE = 10
# Recipients considered for each move: the least utilized, and the fastest for a single
# key with more requests than its owner can serve.
IDLEST = 3
FASTEST = 2
# Factor by which a run of keys may exceed the rate that evens out two targets.
TOLERANCE = 1.05


class _Keys:
    """The hot keys of a range, with their rates and total rate."""

    __slots__ = ("keys", "range", "rate")

    def __init__(self, of: KeyRange, keys: list[tuple[int, float]]):
        self.range = of
        self.keys = keys
        self.rate = sum(rate for _, rate in keys)


class _Side:
    """A target as donor or recipient in a round of moves."""

    __slots__ = ("capacity", "name", "rate")

    def __init__(self, name: str, capacity: float):
        self.name = name
        self.capacity = capacity
        self.rate = 0.0

    @property
    def level(self) -> float:
        return self.rate / self.capacity


class Rounds:
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
        Keys in order, each with its requests per second.
    capacities : dict of str to float
        Requests per second that each target can serve. Other targets are left out.
    urgent : bool
        Whether to return only moves that stop a queue from growing.

    Returns
    -------
    list of KeyMove
        At most :func:`most_moves` of them.
    """
    held = _by_owner(assignment, rates)
    sides = _sides(held, capacities)
    moves: list[KeyMove] = []
    # Donors without a useful move, which later moves of the round do not change.
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
    """Return the maximum number of moves in one round.

    Hot keys need a share of the targets that equals their share of all requests, hence
    more moves if there are more targets.

    Parameters
    ----------
    targets : int
        Number of targets that may own keys.

    Returns
    -------
    int
    """
    return max(LEAST_MOVES, targets // TARGETS_A_MOVE)


def _by_owner(
    assignment: Assignment, rates: Sequence[tuple[int, float]]
) -> dict[str, list[_Keys]]:
    """Return the ranges with hot keys, by owner."""
    held: dict[str, list[_Keys]] = {}
    for r, keys in rates_by_range(assignment, rates):
        if keys:
            held.setdefault(r.owner, []).append(_Keys(r, keys))
    return held


def _sides(
    held: dict[str, list[_Keys]], capacities: dict[str, float]
) -> dict[str, _Side]:
    """Return the targets that may give or receive keys, with their request rates."""
    sides = {name: _Side(name, max(c, 0.1)) for name, c in capacities.items()}
    for name, side in sides.items():
        side.rate = sum(each.rate for each in held.get(name, ()))
    return sides


class _Found:
    """A useful move and its effect."""

    __slots__ = ("giver", "level", "move", "rate", "taker")

    def __init__(
        self, move: KeyMove, giver: _Side, taker: _Side, rate: float, level: float
    ):
        self.move = move
        self.giver = giver
        self.taker = taker
        self.rate = rate
        # Utilization of the busier target after the move.
        self.level = level

    @property
    def is_urgent(self) -> bool:
        """Whether it stops a queue from growing."""
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

    The busiest target may have a key with more requests than any target can serve, and
    no useful move. The next busiest must be relieved nevertheless: with hundreds of
    targets there is such a key nearly all the time, and queues would grow at all other
    targets.
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
    """Return candidate runs of keys: first key, last key and rate."""
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
    """Return cost, first key, last key and rate of the best run within bounds.

    The cost is the width divided by the rate, so a run with twice the rate may be twice
    as wide.
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
