"""What callers got: ends, latency and the time that keys were unavailable."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from berylstage_standins.call_record import CallOutcome
from hdrh.histogram import HdrHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_standins.call_record import CallRecord

    from berylstage_bench.attempts import Request

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


def ends(requests: Iterable[Request]) -> Counter[CallOutcome]:
    """Count requests by their end, all attempts taken together."""
    return Counter(req.outcome for req in requests)


def longest_gap(records: Iterable[CallRecord]) -> Gap:
    """Return the longest time from a sending to an answer for the same key.

    A key counts as unavailable from the sending of an attempt until the first end of
    an answered attempt that was sent then or later. The pauses of the callers between
    two attempts are part of it.

    Parameters
    ----------
    records : iterable of CallRecord

    Returns
    -------
    Gap
    """
    by_key: dict[tuple[str, str], list[CallRecord]] = defaultdict(list)
    for record in records:
        by_key[record.service, record.key].append(record)
    gaps = [_longest(f"{s}/{k}", found) for (s, k), found in by_key.items()]
    return max(gaps, key=lambda gap: gap.seconds, default=Gap("", 0.0, 0.0))


def _longest(key: str, records: list[CallRecord]) -> Gap:
    """Return the longest gap of one key."""
    served = max(record.end for record in records)
    worst = Gap(key, 0.0, 0.0)
    for record in sorted(records, key=lambda r: r.start, reverse=True):
        if record.outcome is CallOutcome.ANSWERED:
            served = min(served, record.end)
        if served - record.start > worst.seconds:
            worst = Gap(key, record.start, served - record.start)
    return worst
