"""Metrics: statsd counters and timers, and histograms per tenant and class."""

from __future__ import annotations

from hdrh.histogram import HdrHistogram
from statsd import StatsClient

# Histograms reach from 1 microsecond to 2 minutes with two significant digits: about
# 20 kB each, and there are a few dozen pairs of tenant and class.
LOWEST_US = 1
HIGHEST_US = 120_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 90.0, 99.0, 99.9)

# Every metric that the daemon sends, for the operators' pages.
METRICS = {
    "request.<tenant>.<class>.<outcome>": "count of finished requests",
    "request.<tenant>.<class>.time": "milliseconds from arrival to answer",
    "forwarded": "count of requests passed to another VM",
    "retried": "count of further attempts",
    "refused.<reason>": "count of requests that no target answered, by reason",
    "lease.held": "1 while this VM holds its lease, else 0",
    "revision.configuration": "revision of the configuration in force here",
    "revision.assignment": "revision of the assignment known here",
    "queue.<target>": "requests waiting for a target that this VM leads",
}


class Summary:
    """Percentiles of one histogram, in milliseconds."""

    __slots__ = ("tenant", "request_class", "count", "percentiles")

    def __init__(
        self,
        tenant: str,
        request_class: str,
        count: int,
        percentiles: dict[float, float],
    ):
        self.tenant = tenant
        self.request_class = request_class
        self.count = count
        self.percentiles = percentiles


class Metrics:
    """Counts and times of one daemon.

    Parameters
    ----------
    prefix : str
        Name of the VM, first part of each statsd name.
    address : str or None
        ``ip:port`` of the statsd server; None sends nothing.
    """

    def __init__(self, prefix: str, address: str | None):
        self._client = None
        if address is not None:
            host, _, port = address.rpartition(":")
            name = f"berylstage.{prefix}"
            self._client = StatsClient(host.strip("[]"), int(port), prefix=name)
        self._histograms: dict[tuple[str, str], HdrHistogram] = {}

    def count(self, name: str) -> None:
        """Count one occurrence."""
        if self._client is not None:
            self._client.incr(name)

    def gauge(self, name: str, value: float) -> None:
        """Set the present value of something."""
        if self._client is not None:
            self._client.gauge(name, value)

    def request(
        self,
        tenant: str,
        request_class: str,
        outcome: str,
        seconds: float,
    ) -> None:
        """Record one finished request.

        Parameters
        ----------
        tenant, request_class : str
        outcome : str
        seconds : float
            From arrival to answer.
        """
        pair = (tenant, request_class)
        if pair not in self._histograms:
            self._histograms[pair] = HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
        value = min(max(int(seconds * 1e6), LOWEST_US), HIGHEST_US)
        self._histograms[pair].record_value(value)
        if self._client is not None:
            name = f"request.{tenant}.{request_class}"
            self._client.incr(f"{name}.{outcome}")
            self._client.timing(f"{name}.time", seconds * 1000)

    def summaries(self) -> list[Summary]:
        """Return the percentiles of each tenant and class."""
        return [
            Summary(
                tenant,
                request_class,
                hist.get_total_count(),
                {p: hist.get_value_at_percentile(p) / 1000 for p in PERCENTILES},
            )
            for (tenant, request_class), hist in sorted(self._histograms.items())
        ]
