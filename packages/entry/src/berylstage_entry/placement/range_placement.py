"""Assigns keys that need another owner, and merges ranges.

If a target fails or is evacuated, its keys are spread over all others, whose load
should be no less even afterwards. Moves of hot keys leave many narrow ranges, each of
which costs a grant every 0.8 s for as long as it exists.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.assignment import KEY_COUNT, LAST_KEY
from berylstage_entry.placement.key_loads import KeyMove, rates_by_range

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Share of a target's capacity below which keys return to the owner of the ranges next
# to them: less than the noise.
MAX_MERGE_UTILIZATION = 0.05
# Ranges merged per round: as many as urgent moves create per second.
MAX_MERGES_PER_ROUND = 24
# Keys that may change owner per round in order to merge ranges: a hundredth of all,
# since each change has a cost.
MAX_MERGED_KEYS_PER_ROUND = KEY_COUNT // 100
# Widest range that may change owner in order to be merged: changes have a cost, and
# keys that were hot for a moment are seldom wider.
MAX_MERGED_WIDTH = 1024


def place_ranges(
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
    utilizations = dict.fromkeys(capacities, 0.0)
    widths = dict.fromkeys(capacities, 0)
    for r, keys in rates_by_range(assignment, rates):
        if r.owner in utilizations:
            utilizations[r.owner] += sum(rate for _, rate in keys) / capacities[r.owner]
            widths[r.owner] += r.last - r.first + 1
    moves = []
    for r in displaced:
        for first, last, rate in _split_range(r, rates, max_parts):
            # Without requests, faster targets get more keys.
            owner = min(
                utilizations,
                key=lambda name: (utilizations[name], widths[name] / capacities[name]),
            )
            utilizations[owner] += rate / capacities[owner]
            widths[owner] += last - first + 1
            moves.append(KeyMove(first, last, owner))
    return moves


def _split_range(
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
        return _split_by_rate(r, keys, total / max(2, min(4, len(keys), count + 1)))
    bounds = [r.first + width * i // count for i in range(count + 1)]
    return [(bounds[i], bounds[i + 1] - 1, 0.0) for i in range(count)]


def _split_by_rate(
    r: KeyRange, keys: list[tuple[int, float]], rate_per_part: float
) -> list[tuple[int, int, float]]:
    parts, first, total = [], r.first, 0.0
    for i, (key, rate) in enumerate(keys[:-1]):
        total += rate
        if total >= rate_per_part:
            last = max(key, (key + keys[i + 1][0] - 1) // 2)
            parts.append((first, last, total))
            first, total = last + 1, 0.0
    parts.append((first, r.last, total + keys[-1][1]))
    return parts


def merge_ranges(
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
        At most ``MAX_MERGES_PER_ROUND``, with ``MAX_MERGED_KEYS_PER_ROUND`` keys,
        the narrowest first.
    """
    ranges = rates_by_range(assignment, rates)
    candidates = []
    for i, (r, keys) in enumerate(ranges):
        if r.previous_owner or r.last - r.first >= MAX_MERGED_WIDTH:
            continue
        neighbours = [ranges[n][0] for n in (i - 1, i + 1) if 0 <= n < len(ranges)]
        owner = _choose_merge_owner(r, neighbours, capacities)
        if not owner:
            continue
        if sum(rate for _, rate in keys) <= MAX_MERGE_UTILIZATION * capacities[owner]:
            candidates.append(KeyMove(r.first, r.last, owner))
    moves: list[KeyMove] = []
    moved = 0
    for move in sorted(candidates, key=lambda m: (m.last - m.first, m.first)):
        adjoins = any(
            move.first <= m.last + 1 and m.first <= move.last + 1 for m in moves
        )
        width = move.last - move.first + 1
        if (
            not adjoins
            and len(moves) < MAX_MERGES_PER_ROUND
            and moved + width <= MAX_MERGED_KEYS_PER_ROUND
        ):
            moves.append(move)
            moved += width
    return moves


def _choose_merge_owner(
    r: KeyRange, neighbours: Sequence[KeyRange], capacities: dict[str, float]
) -> str:
    """Return the neighbouring owner that a range should move to, or ""."""
    if any(other.owner == r.owner for other in neighbours):
        # No key needs to change owner; it suffices to give both ranges one fence.
        return ""
    eligible = [b for b in neighbours if not b.previous_owner and b.owner in capacities]
    # Neighbours with the same owner turn three ranges into one, others two.
    eligible.sort(key=lambda b: b.last - b.first)
    return eligible[-1].owner if eligible else ""
