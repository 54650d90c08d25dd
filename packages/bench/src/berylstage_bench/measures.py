"""What callers got: ends, latency and the time that keys were unavailable."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from hdrh.histogram import HdrHistogram

from berylstage_bench.attempts import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_bench.attempts import Attempt, Request

MICROSECONDS = 1_000_000
LONGEST_US = 600 * MICROSECONDS
DIGITS = 3


class Latencies:
    """A histogram of times.

    Parameters
    ----------
    seconds : iterable of float
    """

    def __init__(self, seconds: Iterable[float]):
        self._histogram = HdrHistogram(1, LONGEST_US, DIGITS)
        for value in seconds:
            self._histogram.record_value(max(1, int(value * MICROSECONDS)))

    def ms(self, percentile: float) -> float:
        """Return a percentile in milliseconds."""
        return self._histogram.get_value_at_percentile(percentile) / 1000


class Gap:
    """The longest time for which a key was not served."""

    __slots__ = ("key", "begin", "seconds")

    def __init__(self, key: str, begin: float, seconds: float):
        self.key = key
        self.begin = begin
        self.seconds = seconds


def ends(requests: Iterable[Request]) -> Counter[Outcome]:
    """Count requests by their end, all attempts taken together."""
    return Counter(req.outcome for req in requests)


def longest_gap(attempts: Iterable[Attempt]) -> Gap:
    """Return the longest time from a sending to an answer for the same key.

    A key counts as unavailable from the sending of an attempt until the first end of
    an answered attempt that was sent then or later. The pauses of the callers between
    two attempts are part of it.

    Parameters
    ----------
    attempts : iterable of Attempt

    Returns
    -------
    Gap
    """
    by_key: dict[tuple[str, str], list[Attempt]] = defaultdict(list)
    for attempt in attempts:
        by_key[attempt.service, attempt.key].append(attempt)
    gaps = [_longest(f"{s}/{k}", found) for (s, k), found in by_key.items()]
    return max(gaps, key=lambda gap: gap.seconds, default=Gap("", 0.0, 0.0))


def _longest(key: str, attempts: list[Attempt]) -> Gap:
    """Return the longest gap of one key."""
    last_end = max(attempt.ended for attempt in attempts)
    served = last_end
    worst = Gap(key, 0.0, 0.0)
    for attempt in sorted(attempts, key=lambda a: a.sent, reverse=True):
        if attempt.outcome is Outcome.ANSWERED:
            served = min(served, attempt.ended)
        if served - attempt.sent > worst.seconds:
            worst = Gap(key, attempt.sent, served - attempt.sent)
    return worst
