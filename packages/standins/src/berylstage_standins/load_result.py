"""What a load brought: outcomes, latency, and how long keys were unavailable."""

from __future__ import annotations

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from berylstage_standins.call_record import CallOutcome, CallRecord

# Range of the histograms in microseconds, and their significant digits.
_LOWEST = 1
_HIGHEST = 120_000_000
_DIGITS = 3
_MICROSECONDS = 1_000_000

# Outcomes that mean that the key is served: work in progress is.
SERVED = frozenset({CallOutcome.ANSWERED, CallOutcome.IN_PROGRESS})


class Availability:
    """How long a key was unavailable, from the attempts on it.

    A key counts as unavailable from the start of the first attempt that failed after
    a success to the end of the next attempt that succeeded. That is only as good as
    the attempts are frequent, so the load probes a key from its first failure on.

    A success in the middle of a long attempt that fails in the end shows that the key
    was served by then: one call was lost, and the key is not to blame.
    """

    __slots__ = ("failed_since", "longest", "served_at")

    def __init__(self) -> None:
        self.failed_since: float | None = None
        self.served_at = float("-inf")
        self.longest = 0.0

    def add(self, record: CallRecord) -> None:
        """Take one attempt into account."""
        if record.outcome not in SERVED:
            if self.failed_since is None:
                self.failed_since = max(record.start, self.served_at)
            return
        self.served_at = record.end
        if self.failed_since is not None:
            self.longest = max(self.longest, record.end - self.failed_since)
            self.failed_since = None

    def until(self, now: float) -> float:
        """Return the longest time in seconds, counting one that still lasts."""
        if self.failed_since is None:
            return self.longest
        return max(self.longest, now - self.failed_since)


class LoadResult:
    """What a load brought.

    Attributes
    ----------
    records : list of CallRecord
        Every attempt.
    probes : int
        Attempts that only watched for a key to come back; they stand in ``records``,
        and count in no figure but the time of unavailability.
    latency : dict of str to HdrHistogram
        Microseconds of the answered attempts, by ``service/kind`` and in ``all``.
    """

    def __init__(self) -> None:
        self.records: list[CallRecord] = []
        self.probes = 0
        self.outcomes: Counter[CallOutcome] = Counter()
        self.reasons: Counter[str] = Counter()
        self.latency: dict[str, HdrHistogram] = defaultdict(_histogram)
        self._keys: dict[tuple[str, str], Availability] = defaultdict(Availability)

    def add_probe(self, record: CallRecord) -> None:
        """Take into account an attempt that watched for a key to come back."""
        self.records.append(record)
        self.probes += 1
        self._keys[record.service, record.key].add(record)

    def add(self, record: CallRecord) -> None:
        """Take one attempt into account."""
        self.records.append(record)
        self.outcomes[record.outcome] += 1
        if record.outcome is not CallOutcome.ANSWERED:
            self.reasons[f"{record.outcome.value}: {record.reason}"] += 1
        else:
            micros = int((record.end - record.start) * _MICROSECONDS)
            for name in ("all", f"{record.service}/{record.kind}"):
                self.latency[name].record_value(micros)
        self._keys[record.service, record.key].add(record)

    def longest_unavailable(self, now: float) -> float:
        """Return the longest time in seconds that any key was unavailable."""
        times = [key.until(now) for key in self._keys.values()]
        return max(times, default=0.0)

    def wrong_answers(self) -> int:
        """Return how many answers were those of another request."""
        answered = CallOutcome.ANSWERED
        return sum(r.outcome is answered and not r.own for r in self.records)

    def as_dict(self, now: float) -> dict:
        """Return the result as JSON can hold it."""
        return {
            "outcomes": {o.value: self.outcomes[o] for o in CallOutcome},
            "reasons": dict(self.reasons.most_common()),
            "probes": self.probes,
            "wrong_answers": self.wrong_answers(),
            "longest_unavailable_s": round(self.longest_unavailable(now), 3),
            "latency_ms": {
                name: _percentiles(hist) for name, hist in sorted(self.latency.items())
            },
        }


def _histogram() -> HdrHistogram:
    return HdrHistogram(_LOWEST, _HIGHEST, _DIGITS)


def _percentiles(hist: HdrHistogram) -> dict[str, float]:
    """Return the percentiles of a histogram of microseconds, in milliseconds."""
    named = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}
    values = {n: hist.get_value_at_percentile(p) / 1000 for n, p in named.items()}
    return {"count": hist.get_total_count(), **values}
