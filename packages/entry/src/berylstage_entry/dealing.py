"""Assigns keys that need another owner, and merges ranges.

If a target fails or is evacuated, its keys are spread over all others, whose load
should be no less even afterwards. Moves of hot keys leave many narrow ranges, each of
which costs a grant every 0.8 s for as long as it exists.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.assignment import KEYS, LAST_KEY
from berylstage_entry.key_loads import KeyMove, rates_by_range

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Share of a target's capacity below which keys return to the owner of the ranges next
# to them: less than the noise.
MENDED_BELOW = 0.05
# Ranges merged per round: as many as urgent moves create per second.
MENDED = 24
# Keys that may change owner per round in order to merge ranges: a hundredth of all,
# since each change has a cost.
MOST_MENDED = KEYS // 100
# Widest range that may change owner in order to be merged: changes have a cost, and
# keys that were hot for a moment are seldom wider.
MENDED_KEYS = 1024


def deal(
    displaced: Sequence[KeyRange],
    assignment: Assignment,
    rates: Sequence[tuple[int, float]],
    capacities: dict[str, float],
    max_parts: int,
) -> list[KeyMove]:
    """Return owners for keys that need another one.

    Parameters
    ----------
    displaced : sequence of KeyRange
        Ranges that need another owner.
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests per second.
    capacities : dict of str to float
        Requests per second that each possible owner can serve.
    max_parts : int
        Maximum number of parts into which the range of all keys is split.

    Returns
    -------
    list of KeyMove
    """
    if not capacities:
        return []
    levels = dict.fromkeys(capacities, 0.0)
    widths = dict.fromkeys(capacities, 0)
    for r, keys in rates_by_range(assignment, rates):
        if r.owner in levels:
            levels[r.owner] += sum(rate for _, rate in keys) / capacities[r.owner]
            widths[r.owner] += r.last - r.first + 1
    moves = []
    for r in displaced:
        for first, last, rate in _pieces(r, rates, max_parts):
            # Without requests, faster targets get more keys.
            owner = min(
                levels, key=lambda name: (levels[name], widths[name] / capacities[name])
            )
            levels[owner] += rate / capacities[owner]
            widths[owner] += last - first + 1
            moves.append(KeyMove(first, last, owner))
    return moves


def _pieces(
    r: KeyRange, rates: Sequence[tuple[int, float]], max_parts: int
) -> list[tuple[int, int, float]]:
    """Split a range into parts of equal rate, or of equal width without requests."""
    keys = [(key, rate) for key, rate in rates if r.first <= key <= r.last]
    total = sum(rate for _, rate in keys)
    width = r.last - r.first + 1
    count = max(
        1, min(max_parts, width, round(max_parts * width / (LAST_KEY + 1) + 0.49))
    )
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
    """Return moves that merge a range with one or both of its neighbours.

    Moves of hot keys split ranges, and each range costs a grant every 0.8 s for as long
    as it exists.

    Parameters
    ----------
    assignment : Assignment
    rates : sequence of tuple
        Keys in order, each with its requests per second.
    capacities : dict of str to float
        Requests per second that each possible owner can serve.

    Returns
    -------
    list of KeyMove
        At most ``MENDED``, with ``MOST_MENDED`` keys, the narrowest first.
    """
    held = rates_by_range(assignment, rates)
    found = []
    for i, (r, keys) in enumerate(held):
        if r.former or r.last - r.first >= MENDED_KEYS:
            continue
        beside = [held[n][0] for n in (i - 1, i + 1) if 0 <= n < len(held)]
        owner = _joined_by(r, beside, capacities)
        if not owner:
            continue
        if sum(rate for _, rate in keys) <= MENDED_BELOW * capacities[owner]:
            found.append(KeyMove(r.first, r.last, owner))
    moves: list[KeyMove] = []
    moved = 0
    for move in sorted(found, key=lambda m: (m.last - m.first, m.first)):
        touches = any(
            move.first <= m.last + 1 and m.first <= move.last + 1 for m in moves
        )
        width = move.last - move.first + 1
        if not touches and len(moves) < MENDED and moved + width <= MOST_MENDED:
            moves.append(move)
            moved += width
    return moves


def _joined_by(
    r: KeyRange, beside: Sequence[KeyRange], capacities: dict[str, float]
) -> str:
    """Return the neighbouring owner that a range should move to, or ""."""
    if any(other.owner == r.owner for other in beside):
        # No key needs to change owner; it suffices to give both ranges one fence.
        return ""
    fit = [b for b in beside if not b.former and b.owner in capacities]
    # Neighbours with the same owner turn three ranges into one, others two.
    fit.sort(key=lambda b: b.last - b.first)
    return fit[-1].owner if fit else ""
