"""Recognizes rates that have just risen, by the undecayed counts of the last moments.

The load that it answers: 200 neighbouring keys get 0.3 to 0.45 of all requests from one
moment to the next. Their owner gets ten times its usual requests, which a few tenths of
a second prove, although each of its keys has had no or one request.
"""

from __future__ import annotations

from math import sqrt
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping, Sequence

# Width in keys of the blocks whose requests are compared: about a range of 76 owners
# with three ranges each. Blocks do not follow the assignment, because the keys of a
# step have many owners soon after it, and none of these owners proves it alone.
BLOCK_KEYS = 256
# Standard deviations by which a block's requests exceed the expected ones, and the
# least number of requests in excess: a step. With hundreds of blocks checked ten times
# a second, smaller differences occur all the time. Six requests in 0.3 s are what one
# target can serve.
MIN_DEVIATIONS = 4.0
MIN_EXCESS_REQUESTS = 6.0
# For how long the rates of a block with a step follow the recent counts, and by which
# share of the difference at each check. The first counts after a step are a part of its
# requests, and later ones tell which keys have most of them.
CONTINUATION_SECONDS = 1.2
CONTINUATION_SHARE = 0.25
# Requests on either side of a request whose keys tell how dense the requests are
# there, and the widest such span of keys. One request in 0.3 s is no rate of a key, but
# sixteen for neighbouring keys are one of the neighbourhood.
NEIGHBOURS = 8
MAX_SPAN_KEYS = 64


def find_missing_rates(
    rates: Mapping[int, float],
    periods: Sequence[tuple[float, Mapping[int, float]]],
    continued: Collection[int] = (),
) -> tuple[dict[int, float], set[int]]:
    """Return the requests per second by key that decayed counts do not show yet.

    They are negative for keys of a continued step that have fewer requests than shown.

    Parameters
    ----------
    rates : mapping of int to float
        Requests per second by key that the decayed counts show.
    periods : sequence of tuple
        Seconds up to now, and the counts by key, the shortest period first.
    continued : collection of int
        Blocks whose step was found a moment ago.

    Returns
    -------
    missing : dict of int to float
    blocks : set of int
        Blocks with a step.
    """
    missing: dict[int, float] = {}
    blocks: set[int] = set()
    shown = {block: sum(own.values()) for block, own in _by_block(rates).items()}
    total = sum(shown.values())
    for seconds, counts in periods:
        if total <= 0:
            break
        # Counts that arrive late, all at once, are those of a longer period. A step is
        # a rise of a block's share, not one of the whole service.
        seconds = max(seconds, sum(counts.values()) / total)
        for block, own in _by_block(counts).items():
            count = sum(own.values())
            expected = shown.get(block, 0.0) * seconds
            excess = count - expected
            deviation = sqrt(max(1.0, expected))
            is_step = (
                excess >= MIN_EXCESS_REQUESTS and excess >= MIN_DEVIATIONS * deviation
            )
            if not is_step or block in blocks:
                continue
            blocks.add(block)
            scale = excess / seconds / count
            for key, density in _spread_over_neighbours(own).items():
                missing[key] = missing.get(key, 0.0) + density * scale
    if periods and total > 0:
        seconds, counts = periods[-1]
        seconds = max(seconds, sum(counts.values()) / total)
        recent, past = _by_block(counts), _by_block(rates)
        for block in set(continued) - blocks:
            densities = _spread_over_neighbours(recent.get(block, {}))
            before = past.get(block, {})
            for key in densities.keys() | before.keys():
                gap = densities.get(key, 0.0) / seconds - before.get(key, 0.0)
                missing[key] = missing.get(key, 0.0) + CONTINUATION_SHARE * gap
    return missing, blocks


def _by_block(values: Mapping[int, float]) -> dict[int, dict[int, float]]:
    """Return values by key, separately for each block."""
    result: dict[int, dict[int, float]] = {}
    for key, value in values.items():
        result.setdefault(key // BLOCK_KEYS, {})[key] = value
    return result


def _spread_over_neighbours(counts: Mapping[int, float]) -> dict[int, float]:
    """Spread each request evenly over the keys that its neighbours span.

    A key with many requests keeps them, because its neighbouring requests are its own.
    """
    requests = [key for key in sorted(counts) for _ in range(round(counts[key]))]
    end = len(requests) - 1
    spread: dict[int, float] = {}
    for i, key in enumerate(requests):
        first = max(requests[max(0, i - NEIGHBOURS)], key - MAX_SPAN_KEYS // 2)
        last = min(requests[min(end, i + NEIGHBOURS)], key + MAX_SPAN_KEYS // 2)
        share = 1.0 / (last - first + 1)
        for each in range(first, last + 1):
            spread[each] = spread.get(each, 0.0) + share
    return spread
