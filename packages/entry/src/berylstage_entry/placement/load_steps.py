"""Recognizes rates that have just risen, by the undecayed counts of the last moments.

The load that it answers: 200 neighbouring keys get 0.3 to 0.45 of all requests from one
moment to the next. Their owner gets ten times its usual requests, which a few tenths of
a second prove, although each of its keys has had no or one request.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

    from berylstage_entry.assignment import Assignment

# Standard deviations by which an owner's requests exceed the expected ones, and the
# least number of requests in excess: a step. With hundreds of owners checked ten times
# a second, smaller differences occur all the time.
MIN_DEVIATIONS = 4.0
MIN_EXCESS_REQUESTS = 6.0
# Requests on either side of a request whose keys tell how dense the requests are
# there, and the widest such span of keys. One request in 0.3 s is no rate of a key, but
# sixteen for neighbouring keys are one of the neighbourhood.
NEIGHBOURS = 8
MAX_SPAN_KEYS = 64


def find_missing_rates(
    assignment: Assignment,
    rates: Mapping[int, float],
    periods: Sequence[tuple[float, Mapping[int, float]]],
) -> tuple[dict[int, float], set[str]]:
    """Return the requests per second by key that decayed counts do not show yet.

    Parameters
    ----------
    assignment : Assignment
    rates : mapping of int to float
        Requests per second by key that the decayed counts show.
    periods : sequence of tuple
        Seconds up to now, and the counts by key, the shortest period first.

    Returns
    -------
    missing : dict of int to float
    owners : set of str
        Owners with a step.
    """
    missing: dict[int, float] = {}
    owners: set[str] = set()
    shown = {
        owner: sum(own.values()) for owner, own in _by_owner(assignment, rates).items()
    }
    total = sum(shown.values())
    for seconds, counts in periods:
        if total <= 0:
            break
        # Counts that arrive late, all at once, are those of a longer period. A step is
        # a rise of an owner's share, not one of the whole service.
        seconds = max(seconds, sum(counts.values()) / total)
        for owner, own in _by_owner(assignment, counts).items():
            count = sum(own.values())
            expected = shown.get(owner, 0.0) * seconds
            excess = count - expected
            if (
                owner
                and owner not in owners
                and excess >= MIN_EXCESS_REQUESTS
                and excess >= MIN_DEVIATIONS * sqrt(max(1.0, expected))
            ):
                owners.add(owner)
                scale = excess / seconds / count
                for key, density in _spread_over_neighbours(own).items():
                    missing[key] = missing.get(key, 0.0) + density * scale
    return missing, owners


def _by_owner(
    assignment: Assignment, values: Mapping[int, float]
) -> dict[str, dict[int, float]]:
    """Return values by key, separately for each owner."""
    result: dict[str, dict[int, float]] = {}
    for key, value in values.items():
        result.setdefault(assignment.find(key).owner, {})[key] = value
    return result


def _spread_over_neighbours(counts: Mapping[int, float]) -> dict[int, float]:
    """Spread each request evenly over the keys that its neighbours span.

    A key with many requests keeps them, because its neighbouring requests are its own.
    """
    requests = [key for key in sorted(counts) for _ in range(round(counts[key]))]
    spread: dict[int, float] = {}
    for i, key in enumerate(requests):
        first = max(requests[max(0, i - NEIGHBOURS)], key - MAX_SPAN_KEYS // 2)
        last = min(
            requests[min(len(requests) - 1, i + NEIGHBOURS)], key + MAX_SPAN_KEYS // 2
        )
        share = 1.0 / (last - first + 1)
        for each in range(first, last + 1):
            spread[each] = spread.get(each, 0.0) + share
    return spread
