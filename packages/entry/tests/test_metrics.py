"""Tests of the metrics."""

from __future__ import annotations

import re

from berylstage_entry.metrics import Metrics, format_shutdown_metrics
from berylstage_entry.shutdown import Phase, PhaseTimer
from berylstage_entry.shutdown_counts import ShutdownCounts

# A line of the Prometheus text format: a name, labels and a number.
SAMPLE = re.compile(r'[a-z_]+(\{[a-z]+="[^"]+"(,[a-z]+="[^"]+")*\})? [0-9.]+')
NO_SHUTDOWN = {"leaving": 0.0, "draining": 0.0, "flushing": 0.0}


class TestShutdownMetrics:
    def test_counts_and_phases(self):
        counts = ShutdownCounts()
        counts.requests_received, counts.idle_closed = 7, 5
        counts.connections_cut, counts.bytes_cut = 2, 90_000
        counts.closed_unread = 3
        lines = format_shutdown_metrics(
            counts, NO_SHUTDOWN | {"leaving": 2.6}
        ).splitlines()
        assert lines == [
            'berylstage_stop_events_total{event="begun"} 7',
            'berylstage_stop_events_total{event="closed_idle"} 5',
            'berylstage_stop_events_total{event="cut"} 2',
            'berylstage_stop_events_total{event="closed_unread"} 3',
            "berylstage_stop_bytes_cut_total 90000",
            'berylstage_stop_phase_seconds{phase="leaving"} 2.600',
            'berylstage_stop_phase_seconds{phase="draining"} 0.000',
            'berylstage_stop_phase_seconds{phase="flushing"} 0.000',
        ]

    def test_all_metrics_exist_before_a_shutdown(self):
        # Guards against a counter whose first value is above zero: a scraper would see
        # no increase.
        lines = format_shutdown_metrics(ShutdownCounts(), NO_SHUTDOWN).splitlines()
        assert {line.rpartition(" ")[2] for line in lines} == {"0", "0.000"}

    def test_output_is_in_prometheus_text_format(self):
        metrics = Metrics()
        metrics.increment("malformed")
        metrics.record_request("h", "answered", 0.03)
        page = metrics.text() + format_shutdown_metrics(ShutdownCounts(), NO_SHUTDOWN)
        assert page.endswith("\n")
        assert all(SAMPLE.fullmatch(line) for line in page.splitlines())


class TestPhaseTimer:
    def test_before_a_shutdown(self):
        assert PhaseTimer().seconds(100.0) == NO_SHUTDOWN

    def test_current_phase_is_included(self):
        # Guards against a phase that is reported only once it has ended: the last ones
        # would never be seen, because the process has exited by then.
        times = PhaseTimer()
        times.enter(Phase.LEAVING, 100.0)
        assert times.seconds(101.5) == NO_SHUTDOWN | {"leaving": 1.5}
        times.enter(Phase.FLUSHING, 102.5)
        times.enter(Phase.ENDED, 103.0)
        assert times.seconds(109.0) == NO_SHUTDOWN | {"leaving": 2.5, "flushing": 0.5}

    def test_delays_count_for_one_phase(self):
        times = PhaseTimer()
        times.enter(Phase.LEAVING, 100.0)
        times.record_delay(101.0, 101.25)
        times.record_delay(102.0, 102.125)
        assert times.longest_delay == 0.25
        times.enter(Phase.DRAINING, 103.0)
        assert times.longest_delay == 0.0
