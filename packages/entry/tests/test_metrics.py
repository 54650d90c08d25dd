"""Tests of the metrics page."""

from __future__ import annotations

import re

from berylstage_entry.metrics import Metrics, format_shutdown_metrics
from berylstage_entry.server import ShutdownCounts
from berylstage_entry.shutdown import Phase, PhaseTimer

# A line of the text format: a name, labels, a number.
SAMPLE = re.compile(r'[a-z_]+(\{[a-z]+="[^"]+"(,[a-z]+="[^"]+")*\})? [0-9.]+')
NOT_STOPPED = {"leaving": 0.0, "draining": 0.0, "flushing": 0.0}


class TestStopText:
    def test_counts_and_phases(self):
        counts = ShutdownCounts()
        counts.requests_received, counts.idle_closed = 7, 5
        counts.connections_cut, counts.bytes_cut = 2, 90_000
        lines = format_shutdown_metrics(
            counts, NOT_STOPPED | {"leaving": 2.6}
        ).splitlines()
        assert lines == [
            'berylstage_stop_events_total{event="begun"} 7',
            'berylstage_stop_events_total{event="closed_idle"} 5',
            'berylstage_stop_events_total{event="cut"} 2',
            "berylstage_stop_bytes_cut_total 90000",
            'berylstage_stop_phase_seconds{phase="leaving"} 2.600',
            'berylstage_stop_phase_seconds{phase="draining"} 0.000',
            'berylstage_stop_phase_seconds{phase="flushing"} 0.000',
        ]

    def test_counts_stand_there_before_a_stop(self):
        # Guards against a counter that shows up above zero: a scraper sees no rise.
        lines = format_shutdown_metrics(ShutdownCounts(), NOT_STOPPED).splitlines()
        assert {line.rpartition(" ")[2] for line in lines} == {"0", "0.000"}

    def test_page_is_in_the_text_format(self):
        metrics = Metrics()
        metrics.count("malformed")
        metrics.request("h", "answered", 0.03)
        page = metrics.text() + format_shutdown_metrics(ShutdownCounts(), NOT_STOPPED)
        assert page.endswith("\n")
        assert all(SAMPLE.fullmatch(line) for line in page.splitlines())


class TestPhaseTimes:
    def test_before_a_stop(self):
        assert PhaseTimer().seconds(100.0) == NOT_STOPPED

    def test_phase_that_has_not_ended_is_told(self):
        # Guards against times that stand there only when the process is gone.
        times = PhaseTimer()
        times.enter(Phase.LEAVING, 100.0)
        assert times.seconds(101.5) == NOT_STOPPED | {"leaving": 1.5}
        times.enter(Phase.FLUSHING, 102.5)
        times.enter(Phase.ENDED, 103.0)
        assert times.seconds(109.0) == NOT_STOPPED | {"leaving": 2.5, "flushing": 0.5}
