"""Which keys go to which target, so that none is busier than it must be.

The load it answers: a few neighbouring keys that get a third of all requests, for a
few seconds, before targets with two or three slots. An even division of the keys puts
half of the requests on one target of twelve; one sees a queue there and idle slots
elsewhere. Narrow stretches of busy keys are moved, since a move interrupts just their
requests.
"""

from __future__ import annotations

from math import log
from typing import TYPE_CHECKING

from berylstage_entry.assignment import LAST_KEY

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Seconds after which half of a key's counted requests are forgotten: long enough to
# tell a busy key by a handful of requests, short enough for keys that are busy for 4 s.
# With 1.5 s the worst seconds of 13 targets earn 0.85, with 0.7 s 0.88 of the credit
# (`make bench-owned`).
HALF_LIFE = 0.7
# Seconds for which requests are taken to have come, at least. Counts of a shorter time
# tell little: one request of 0.2 s would count as five a second.
LEAST_AGE = 0.7
# Counts below which a key is forgotten.
LEAST_WEIGHT = 0.05
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
# rounds all the time: 3 times the writes for the same credit (`make bench-owned`).
URGENT_ABOVE = 0.8
URGENT_GAIN = 0.25
CALM_PERIOD = 1.0
# Moves in one round. Each interrupts its keys for the time of the work under way there,
# a tenth of a second; with three, targets stood idle beside full ones for seconds after
# a data centre had been closed.
MOVES = 6
# Takers that are weighed for one move: the idlest, and the fastest for a single key
# that asks for more than its owner can do.
IDLEST = 3
FASTEST = 2
# Share of a target's capacity that keys may ask for which go back to the owner of their
# neighbours on both sides: less than chance.
MENDED_BELOW = 0.05
# Keys of such a range at most: keys that change hands are paid for, and what was busy
# for a moment is seldom wider.
MENDED_KEYS = 1024
# Times the evening-out rate that a stretch of keys may bring.
TOLERANCE = 1.05


class KeyLoads:
    """Requests for each key, fading."""

    __slots__ = ("_at", "_since", "weights")

    def __init__(self, now: float):
        self.weights: dict[int, float] = {}
        self._at = now
        # Since when requests have been counted.
        self._since = now

    def add(self, key: int, count: float) -> None:
        """Count requests for a key."""
        self.weights[key] = self.weights.get(key, 0.0) + count

    def fade(self, now: float) -> None:
        """Forget what is old."""
        if not self.weights:
            self._since = now
        factor = 0.5 ** ((now - self._at) / HALF_LIFE)
        self._at = now
        faded = {key: weight * factor for key, weight in self.weights.items()}
        self.weights = {k: w for k, w in faded.items() if w >= LEAST_WEIGHT}

    def rates(self) -> list[tuple[int, float]]:
        """Return all keys with their requests a second, in the order of the keys."""
        # Counts have not yet grown to their full weight when they began a moment ago.
        # Taken as if they had, targets with long queues seemed idle for a second after
        # the first request, and after each change of the VM that deals out keys.
        age = max(LEAST_AGE, self._at - self._since)
        counted = 1 - 0.5 ** (age / HALF_LIFE)
        scale = log(2) / HALF_LIFE / counted
        return sorted((key, weight * scale) for key, weight in self.weights.items())


class KeyMove:
    """Keys that go to another owner.

    Parameters
    ----------
    first, last : int
    owner : str
    """

    __slots__ = ("first", "last", "owner")

    def __init__(self, first: int, last: int, owner: str):
        self.first = first
        self.last = last
        self.owner = owner


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
        if now - self._moved_at < CALM_PERIOD:
            held = _rates_by_range(assignment, rates)
            found = _next_move(_sides(held, capacities), held, [])
            if found is None or not found.is_urgent:
                return []
        moves = rebalance(assignment, rates, capacities)
        if moves:
            self._moved_at = now
        return moves


def rebalance(
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
) -> list[KeyMove]:
    """Return the moves of one round.

    Parameters
    ----------
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests a second.
    capacities : dict of str to float
        Requests a second that each target can serve; only these give or take.

    Returns
    -------
    list of KeyMove
        At most ``MOVES``.
    """
    held = _rates_by_range(assignment, rates)
    sides = _sides(held, capacities)
    moves: list[KeyMove] = []
    while len(moves) < MOVES and len(sides) > 1:
        found = _next_move(sides, held, moves)
        if found is None:
            break
        moves.append(found.move)
        found.giver.rate -= found.rate
        found.taker.rate += found.rate
    return moves


def _sides(
    held: list[tuple[KeyRange, list[tuple[int, float]]]],
    capacities: dict[str, float],
) -> dict[str, _Side]:
    """Return the targets that give or take, with what they are asked for."""
    sides = {name: _Side(name, max(c, 0.1)) for name, c in capacities.items()}
    for r, keys in held:
        if r.owner in sides:
            sides[r.owner].rate += sum(rate for _, rate in keys)
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
    held: list[tuple[KeyRange, list[tuple[int, float]]]],
    moves: list[KeyMove],
) -> _Found | None:
    """Return the best move from the busiest target that has one."""
    by_level = sorted(sides.values(), key=lambda side: side.level)
    fastest = sorted(by_level, key=lambda side: -side.capacity)[:FASTEST]
    takers = list({id(s): s for s in by_level[:IDLEST] + fastest}.values())
    for giver in reversed(by_level):
        if giver.level < RELIEVED_ABOVE:
            return None
        found = _best_move(giver, takers, held, moves)
        if found is not None:
            return found
    return None


def _best_move(
    giver: _Side,
    takers: list[_Side],
    held: list[tuple[KeyRange, list[tuple[int, float]]]],
    moves: list[KeyMove],
) -> _Found | None:
    best: _Found | None = None
    for r, keys in held:
        if r.owner != giver.name or r.former or not keys or _touches(r, moves):
            continue
        for taker in takers:
            if taker is giver:
                continue
            for first, last, rate in _stretches(keys, giver, taker):
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


def _rates_by_range(
    assignment: Assignment, rates: Sequence[tuple[int, float]]
) -> list[tuple[KeyRange, list[tuple[int, float]]]]:
    """Return each range with its keys and their rates."""
    held: list[tuple[KeyRange, list[tuple[int, float]]]] = []
    i = 0
    for r in assignment.ranges:
        keys = []
        while i < len(rates) and rates[i][0] <= r.last:
            keys.append(rates[i])
            i += 1
        held.append((r, keys))
    return held


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


def deal(
    homeless: Sequence[KeyRange],
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
    pieces: int,
) -> list[KeyMove]:
    """Return owners for keys that need another one.

    Parameters
    ----------
    homeless : sequence of KeyRange
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests a second.
    capacities : dict of str to float
        Requests a second that each target can serve; only these take.
    pieces : int
        Into which a range of all keys is cut at most.

    Returns
    -------
    list of KeyMove
    """
    if not capacities:
        return []
    levels = dict.fromkeys(capacities, 0.0)
    widths = dict.fromkeys(capacities, 0)
    for r, keys in _rates_by_range(assignment, rates):
        if r.owner in levels:
            levels[r.owner] += sum(rate for _, rate in keys) / capacities[r.owner]
            widths[r.owner] += r.last - r.first + 1
    moves = []
    for r in homeless:
        for first, last, rate in _pieces(r, rates, pieces):
            owner = min(levels, key=lambda name: (levels[name], widths[name]))
            levels[owner] += rate / capacities[owner]
            widths[owner] += last - first + 1
            moves.append(KeyMove(first, last, owner))
    return moves


def _pieces(
    r: KeyRange, rates: Sequence[tuple[int, float]], pieces: int
) -> list[tuple[int, int, float]]:
    """Cut a range into parts of like rate, or of like width where nobody asks."""
    keys = [(key, rate) for key, rate in rates if r.first <= key <= r.last]
    total = sum(rate for _, rate in keys)
    width = r.last - r.first + 1
    count = max(1, min(pieces, width, round(pieces * width / (LAST_KEY + 1) + 0.49)))
    if total and len(keys) > 1:
        return _cut_by_rate(r, keys, total / max(2, min(4, len(keys), count + 1)))
    cuts = [r.first + width * i // count for i in range(count + 1)]
    return [(cuts[i], cuts[i + 1] - 1, 0.0) for i in range(count)]


def _cut_by_rate(
    r: KeyRange, keys: list[tuple[int, float]], each: float
) -> list[tuple[int, int, float]]:
    parts, first, total = [], r.first, 0.0
    for i, (key, rate) in enumerate(keys[:-1]):
        total += rate
        if total >= each:
            last = max(key, (key + keys[i + 1][0] - 1) // 2)
            parts.append((first, last, total))
            first, total = last + 1, 0.0
    parts.append((first, r.last, total + keys[-1][1]))
    return parts


def mend(
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
) -> list[KeyMove]:
    """Return moves that make one range of three.

    Keys that were busy for a moment have cut the ranges up, and each range costs a
    grant every 0.8 s for as long as it lasts.

    Parameters
    ----------
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests a second.
    capacities : dict of str to float
        Requests a second that each target can serve; only these take.

    Returns
    -------
    list of KeyMove
        At most ``MOVES``, the narrowest first.
    """
    held = _rates_by_range(assignment, rates)
    found = []
    for (one, _), (middle, keys), (other, _) in zip(
        held, held[1:], held[2:], strict=False
    ):
        settled = not (one.former or middle.former or other.former)
        owner = one.owner
        if not settled or owner != other.owner or owner not in capacities:
            continue
        if middle.owner == owner:
            # Nothing has to change hands here; one fence for all three will do.
            continue
        if middle.last - middle.first >= MENDED_KEYS:
            continue
        if sum(rate for _, rate in keys) <= MENDED_BELOW * capacities[owner]:
            found.append(KeyMove(middle.first, middle.last, owner))
    moves: list[KeyMove] = []
    for move in sorted(found, key=lambda m: (m.last - m.first, m.first)):
        beside = any(
            move.first <= m.last + 1 and m.first <= move.last + 1 for m in moves
        )
        if not beside and len(moves) < MOVES:
            moves.append(move)
    return moves
