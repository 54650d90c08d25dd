"""The next step of the electorate: one elector more or one less."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import ELECTORS

if TYPE_CHECKING:
    from collections.abc import Callable


FEW_ELECTORS = 3
"""Electors of a cell too small for the full number."""

LOST_FOR = 2.0
"""An elector not heard for so many seconds is replaced."""


class Candidate:
    """One VM that is or could be an elector.

    Parameters
    ----------
    name, data_centre : str
    lost : bool
        Whether it has been silent for long enough to be replaced.
    unwanted : bool
        Whether it leaves, or stands in a closed data centre.
    ready : bool
        Whether it could confirm leases at once.
    """

    __slots__ = ("name", "data_centre", "lost", "unwanted", "ready")

    def __init__(
        self, name: str, data_centre: str, lost: bool, unwanted: bool, ready: bool
    ):
        self.name = name
        self.data_centre = data_centre
        self.lost = lost
        self.unwanted = unwanted
        self.ready = ready


def wanted_size(usable: int) -> int:
    """Return how many electors a cell with so many usable VMs has.

    Always odd: a fourth elector would raise the majority and bear no further loss.
    """
    if usable >= ELECTORS:
        return ELECTORS
    return FEW_ELECTORS if usable >= FEW_ELECTORS else 1


def next_electorate(
    electorate: list[str], candidates: dict[str, Candidate]
) -> list[str] | None:
    """Return the electorate after the next step, or None to keep it.

    Parameters
    ----------
    electorate : list of str
    candidates : dict of str to Candidate
        All VMs of the cell; electors that are not listed count as lost.

    Returns
    -------
    list of str or None
        With one member more or one less, so that any two majorities of the two
        electorates share a member.
    """
    usable = [c for c in candidates.values() if not c.lost and not c.unwanted]
    size = wanted_size(len(usable))
    lost = [e for e in electorate if e not in candidates or candidates[e].lost]
    unwanted = [e for e in electorate if e not in lost and candidates[e].unwanted]
    spare = _spare(electorate, usable)
    if lost and len(electorate) > 1:
        return _without(electorate, lost[0])
    if len(electorate) < size and spare:
        return [*electorate, spare]
    if len(electorate) > size:
        return _without(electorate, _dispensable(electorate, unwanted, candidates))
    if spare and (unwanted or _spreads_better(electorate, spare, candidates)):
        return [*electorate, spare]
    return None


def initial_electorate(candidates: dict[str, Candidate]) -> list[str]:
    """Return the electorate of a cell that has none, spread over data centres."""
    usable = [c for c in candidates.values() if not c.lost]
    chosen: list[str] = []
    while len(chosen) < wanted_size(len(usable)):
        spare = _spare(chosen, usable)
        if spare is None:
            break
        chosen.append(spare)
    return chosen


def _without(electorate: list[str], name: str) -> list[str]:
    """Return the electorate without one member."""
    return [elector for elector in electorate if elector != name]


def _centres(
    electorate: list[str], lookup: Callable[[str], str | None]
) -> dict[str, int]:
    """Return the number of electors by data centre."""
    counts: dict[str, int] = {}
    for elector in electorate:
        centre = lookup(elector)
        if centre is not None:
            counts[centre] = counts.get(centre, 0) + 1
    return counts


def _spare(electorate: list[str], usable: list[Candidate]) -> str | None:
    """Return the best VM to add: ready, in the data centre with fewest electors."""
    centres = {c.name: c.data_centre for c in usable}
    counts = _centres(electorate, centres.get)
    ready = [c for c in usable if c.ready and c.name not in electorate]
    if not ready:
        return None
    return min(ready, key=lambda c: (counts.get(c.data_centre, 0), c.name)).name


def _dispensable(
    electorate: list[str], unwanted: list[str], candidates: dict[str, Candidate]
) -> str:
    """Return the elector to take off: an unwanted one, else the most redundant."""
    if unwanted:
        return unwanted[0]
    counts = _centres(electorate, lambda e: candidates[e].data_centre)
    last_first = list(reversed(electorate))
    return max(last_first, key=lambda e: counts[candidates[e].data_centre])


def _spreads_better(
    electorate: list[str], spare: str, candidates: dict[str, Candidate]
) -> bool:
    """Tell whether swapping the most redundant elector for a spare spreads better."""
    counts = _centres(electorate, lambda e: candidates[e].data_centre)
    fullest = max(counts.values(), default=0)
    return fullest - counts.get(candidates[spare].data_centre, 0) >= 2
