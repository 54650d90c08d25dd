"""Results of a load: outcomes, latency and unavailability of keys."""

from __future__ import annotations

from collections import Counter, defaultdict

from hdrh.histogram import HdrHistogram

from berylstage_standins.call_record import CallOutcome, CallRecord

# Range and precision of the latency histograms.
_MIN_LATENCY_MICROS = 1
_MAX_LATENCY_MICROS = 120_000_000
_SIGNIFICANT_DIGITS = 3
_MICROS_PER_SECOND = 1_000_000

# Outcomes which show that the key is served, including work still in progress.
SERVED = frozenset({CallOutcome.ANSWERED, CallOutcome.IN_PROGRESS})


class Availability:
    """Longest unavailability of a key, derived from the attempts on it.

    A key counts as unavailable from the start of the first attempt that failed after
    a success to the end of the next attempt that succeeded. The precision depends on
    the frequency of attempts, so the load probes a key from its first failure on.

    A success during a long attempt that finally fails shows that the key was served at
    that time: a single call was lost, so the key counts as available until then.
    """

    __slots__ = ("failed_since", "longest", "served_at")

    def __init__(self) -> None:
        self.failed_since: float | None = None
        self.served_at = float("-inf")
        self.longest = 0.0

    def add(self, record: CallRecord) -> None:
        """Add one attempt."""
        if record.outcome not in SERVED:
            if self.failed_since is None:
                self.failed_since = max(record.start, self.served_at)
            return
        self.served_at = record.end
        if self.failed_since is not None:
            self.longest = max(self.longest, record.end - self.failed_since)
            self.failed_since = None

    def until(self, now: float) -> float:
        """Return the longest unavailability in seconds, including an ongoing one."""
        if self.failed_since is None:
            return self.longest
        return max(self.longest, now - self.failed_since)


class LoadResult:
    """Results of a load.

    Attributes
    ----------
    records : list of CallRecord
        All attempts.
    probes : int
        Number of attempts that only test whether a failed key is served again. They
        are in ``records`` but otherwise count only for the unavailability.
    latency : dict of str to HdrHistogram
        Latency of the answered attempts in microseconds, by ``service/kind`` and for
        ``all``.
    """

    def __init__(self) -> None:
        self.records: list[CallRecord] = []
        self.probes = 0
        self.outcomes: Counter[CallOutcome] = Counter()
        self.reasons: Counter[str] = Counter()
        self.latency: dict[str, HdrHistogram] = defaultdict(_histogram)
        self._keys: dict[tuple[str, str], Availability] = defaultdict(Availability)

    def add_probe(self, record: CallRecord) -> None:
        """Add an attempt that tests whether a failed key is served again."""
        self.records.append(record)
        self.probes += 1
        self._keys[record.service, record.key].add(record)

    def add(self, record: CallRecord) -> None:
        """Add one attempt."""
        self.records.append(record)
        self.outcomes[record.outcome] += 1
        if record.outcome is not CallOutcome.ANSWERED:
            self.reasons[f"{record.outcome.value}: {record.reason}"] += 1
        else:
            micros = int((record.end - record.start) * _MICROS_PER_SECOND)
            for name in ("all", f"{record.service}/{record.kind}"):
                self.latency[name].record_value(micros)
        self._keys[record.service, record.key].add(record)

    def longest_unavailable(self, now: float) -> float:
        """Return the longest unavailability of any key in seconds."""
        times = [key.until(now) for key in self._keys.values()]
        return max(times, default=0.0)

    def wrong_answers(self) -> int:
        """Return the number of answers that belong to another request."""
        answered = CallOutcome.ANSWERED
        return sum(r.outcome is answered and not r.own for r in self.records)

    def as_dict(self, now: float) -> dict:
        """Return the results as a JSON-serializable dict."""
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
    return HdrHistogram(_MIN_LATENCY_MICROS, _MAX_LATENCY_MICROS, _SIGNIFICANT_DIGITS)


def _percentiles(hist: HdrHistogram) -> dict[str, float]:
    """Return the percentiles of a histogram of microseconds, in milliseconds."""
    named = {"p50": 50.0, "p99": 99.0, "p99.9": 99.9, "max": 100.0}
    values = {n: hist.get_value_at_percentile(p) / 1000 for n, p in named.items()}
    return {"count": hist.get_total_count(), **values}
