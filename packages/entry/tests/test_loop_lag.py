"""Tests of measuring the lag of the event loop."""

from __future__ import annotations

import asyncio
import time

import logbook
import pytest
from berylstage_entry.loop_lag import (
    LoopLag,
    LoopLagMonitor,
    ResourceUsage,
    SchedulerStats,
)
from berylstage_entry.metrics import Metrics

BLOCKED_SECONDS = 0.3


class TestLoopLag:
    def test_lag_is_broken_down_by_cause(self):
        lag = LoopLag(
            ResourceUsage(10.0, 1.0, 0.2, 0.0),
            ResourceUsage(11.25, 1.1, 0.25, 0.9),
            0.25,
        )
        assert lag.lag_seconds == pytest.approx(1.0)
        assert lag.cpu_seconds == pytest.approx(0.1)
        assert lag.run_queue_seconds == pytest.approx(0.05)
        assert lag.log_write_seconds == pytest.approx(0.9)

    def test_unknown_run_queue_time_stays_unknown(self):
        lag = LoopLag(
            ResourceUsage(10.0, 1.0, None, 0.0),
            ResourceUsage(11.25, 1.1, None, 0.0),
            0.25,
        )
        assert lag.run_queue_seconds is None


class TestSchedulerStats:
    def test_missing_file_is_no_error(self, tmp_path):
        assert SchedulerStats(str(tmp_path / "none")).run_queue_seconds() is None

    def test_file_in_another_format_is_no_error(self, tmp_path):
        path = tmp_path / "schedstat"
        path.write_text("what?\n")
        stats = SchedulerStats(str(path))
        assert stats.run_queue_seconds() is None
        assert stats.run_queue_seconds() is None

    def test_second_field_is_the_run_queue_time(self, tmp_path):
        path = tmp_path / "schedstat"
        path.write_text("7000000000 1500000000 9\n")
        assert SchedulerStats(str(path)).run_queue_seconds() == pytest.approx(1.5)


class TestLoopWatch:
    def watch(self, block):
        """Return the log lines and metrics of a loop that is blocked once."""
        metrics = Metrics()

        async def scenario():
            watch = LoopLagMonitor(metrics, lambda: 0.0)
            watch.start()
            await asyncio.sleep(0.05)
            block()
            await asyncio.sleep(0.6)
            watch.stop()

        with logbook.TestHandler() as lines:
            asyncio.run(scenario())
        lags = [r for r in lines.records if r.message == "event loop was late"]
        return lags, metrics.text()

    def compute(self):
        end = time.process_time() + BLOCKED_SECONDS
        while time.process_time() < end:
            pass

    def test_sleep_and_computation_are_distinguished(self):
        # Guards against a gap in the logs whose cause cannot be determined.
        (waited, _), (worked, _) = (
            self.watch(lambda: time.sleep(BLOCKED_SECONDS)),
            self.watch(self.compute),
        )
        assert waited[0].extra["late"] > 0.05
        assert waited[0].extra["processor"] < BLOCKED_SECONDS / 2
        assert worked[0].extra["processor"] >= BLOCKED_SECONDS / 2

    def test_lag_is_counted_in_the_metrics(self):
        _, text = self.watch(lambda: time.sleep(BLOCKED_SECONDS))
        assert "berylstage_loop_late_seconds_count 1\n" in text
