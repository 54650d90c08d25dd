"""Counters and latency histograms of an entry VM, in Prometheus text format."""

from __future__ import annotations

from bisect import bisect_left
from itertools import accumulate
from typing import TYPE_CHECKING

from berylstage_entry.store_access.call_counts import StoreCallCounts

if TYPE_CHECKING:
    from collections.abc import Mapping

    from berylstage_entry.shutdown_counts import ShutdownCounts

# Upper bounds of the histogram buckets. Neighbouring bounds differ by less than a
# factor of 1.6 between 0.15 and 0.8 s, where latency objectives lie.
LATENCY_BUCKETS_SECONDS = (
    0.01,
    0.02,
    0.04,
    0.07,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.0,
    5.0,
)


class Metrics:
    """Counters and latency histograms since the start of the process."""

    __slots__ = (
        "_counts",
        "_histograms",
        "_loop_delay_count",
        "_loop_delay_seconds",
        "_sums",
        "store_calls",
    )

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._histograms: dict[tuple[str, str], list[int]] = {}
        self._sums: dict[tuple[str, str], float] = {}
        # Number of event loop delays, and their total in seconds.
        self._loop_delay_count = 0
        self._loop_delay_seconds = 0.0
        self.store_calls = StoreCallCounts()

    def increment(self, name: str, amount: int = 1) -> None:
        """Increase a counter."""
        self._counts[name] = self._counts.get(name, 0) + amount

    def record_loop_lag(self, seconds: float) -> None:
        """Record a delay of the event loop.

        Parameters
        ----------
        seconds : float
            Length of the delay.
        """
        self._loop_delay_count += 1
        self._loop_delay_seconds += seconds

    def record_request(self, tenant: str, outcome: str, seconds: float) -> None:
        """Record a finished request.

        Parameters
        ----------
        tenant : str
        outcome : str
        seconds : float
            Seconds since the request arrived.
        """
        pair = (tenant, outcome)
        histogram = self._histograms.get(pair)
        if histogram is None:
            histogram = self._histograms[pair] = [0] * (
                len(LATENCY_BUCKETS_SECONDS) + 1
            )
            self._sums[pair] = 0.0
        histogram[bisect_left(LATENCY_BUCKETS_SECONDS, seconds)] += 1
        self._sums[pair] += seconds

    def text(self) -> str:
        """Return all metrics in Prometheus text format."""
        lines = [
            f'berylstage_events_total{{event="{name}"}} {count}'
            for name, count in sorted(self._counts.items())
        ]
        for (tenant, outcome), histogram in sorted(self._histograms.items()):
            labels = f'tenant="{tenant}",outcome="{outcome}"'
            totals = list(accumulate(histogram))
            for bound, total in zip(
                (*LATENCY_BUCKETS_SECONDS, "+Inf"), totals, strict=True
            ):
                name = "berylstage_request_seconds_bucket"
                lines.append(f'{name}{{{labels},le="{bound}"}} {total}')
            total_time = self._sums[tenant, outcome]
            lines.append(f"berylstage_request_seconds_sum{{{labels}}} {total_time:.6f}")
            lines.append(f"berylstage_request_seconds_count{{{labels}}} {totals[-1]}")
        lines.append(f"berylstage_loop_late_seconds_sum {self._loop_delay_seconds:.3f}")
        lines.append(f"berylstage_loop_late_seconds_count {self._loop_delay_count}")
        return "\n".join(lines) + "\n" + self.store_calls.text()


def format_shutdown_metrics(
    counts: ShutdownCounts, seconds: Mapping[str, float]
) -> str:
    """Return the shutdown metrics in Prometheus text format.

    Parameters
    ----------
    counts : ShutdownCounts
    seconds : mapping of str to float
        Seconds by phase. All phases are present from the start, so that a scraper sees
        them increase from zero.

    Returns
    -------
    str
    """
    lines = [
        f'berylstage_stop_events_total{{event="begun"}} {counts.requests_received}',
        f'berylstage_stop_events_total{{event="closed_idle"}} {counts.idle_closed}',
        f'berylstage_stop_events_total{{event="cut"}} {counts.connections_cut}',
        f'berylstage_stop_events_total{{event="closed_unread"}} {counts.closed_unread}',
        f"berylstage_stop_bytes_cut_total {counts.bytes_cut}",
    ]
    lines += [
        f'berylstage_stop_phase_seconds{{phase="{phase}"}} {spent:.3f}'
        for phase, spent in seconds.items()
    ]
    return "\n".join(lines) + "\n"
