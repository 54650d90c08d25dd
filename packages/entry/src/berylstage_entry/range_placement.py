"""Which targets get keys that need another owner, or that lie between those of one.

The load it answers: a target that is lost or closed leaves its keys to all others,
which are to be no less even for it; and busy keys that were spread leave the ranges cut
up, each of which costs a grant every 0.8 s for as long as it lasts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.assignment import KEYS, LAST_KEY
from berylstage_entry.key_loads import KeyMove, rates_by_range

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_entry.assignment import Assignment, KeyRange

# Share of a target's capacity that keys may ask for which go back to the owner of their
# neighbours on both sides: less than chance.
MENDED_BELOW = 0.05
# Ranges that are mended in one round: as many as urgent moves cut up in a second.
MENDED = 24
# Keys that change hands for it in one round at most: a hundredth of all, since each one
# that does is paid for.
MOST_MENDED = KEYS // 100
# Keys of such a range at most: keys that change hands are paid for, and what was busy
# for a moment is seldom wider.
MENDED_KEYS = 1024


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
    for r, keys in rates_by_range(assignment, rates):
        if r.owner in levels:
            levels[r.owner] += sum(rate for _, rate in keys) / capacities[r.owner]
            widths[r.owner] += r.last - r.first + 1
    moves = []
    for r in homeless:
        for first, last, rate in _pieces(r, rates, pieces):
            # Where nobody asks for keys yet, faster targets get more of them.
            owner = min(
                levels, key=lambda name: (levels[name], widths[name] / capacities[name])
            )
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
    """Return moves that make one range of two or three.

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
    """Return the owner beside a range that it is to go to; empty for none."""
    if any(other.owner == r.owner for other in beside):
        # Nothing has to change hands here; one fence for both will do.
        return ""
    fit = [b for b in beside if not b.former and b.owner in capacities]
    # Where both neighbours have one owner, three ranges become one; else two do.
    fit.sort(key=lambda b: b.last - b.first)
    return fit[-1].owner if fit else ""
