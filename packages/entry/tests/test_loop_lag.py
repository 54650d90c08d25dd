"""Tests of noticing that the event loop stands still."""

from __future__ import annotations

import asyncio
import time

import logbook
import pytest
from berylstage_entry.loop_lag import Delay, LoopLagMonitor, SchedulerPage, Usage
from berylstage_entry.metrics import Metrics

HELD_UP = 0.3


class TestDelay:
    def test_tells_where_the_time_went(self):
        delay = Delay(Usage(10.0, 1.0, 0.2, 0.0), Usage(11.25, 1.1, 0.25, 0.9), 0.25)
        assert delay.late == pytest.approx(1.0)
        assert delay.processor == pytest.approx(0.1)
        assert delay.queued == pytest.approx(0.05)
        assert delay.writing == pytest.approx(0.9)

    def test_nothing_is_made_up_where_the_system_does_not_tell(self):
        delay = Delay(Usage(10.0, 1.0, None, 0.0), Usage(11.25, 1.1, None, 0.0), 0.25)
        assert delay.queued is None


class TestSchedulerPage:
    def test_missing_page_is_no_failure(self, tmp_path):
        assert SchedulerPage(str(tmp_path / "none")).queued() is None

    def test_page_of_another_form_is_no_failure(self, tmp_path):
        path = tmp_path / "schedstat"
        path.write_text("what?\n")
        page = SchedulerPage(str(path))
        assert page.queued() is None
        assert page.queued() is None

    def test_second_figure_is_the_wait(self, tmp_path):
        path = tmp_path / "schedstat"
        path.write_text("7000000000 1500000000 9\n")
        assert SchedulerPage(str(path)).queued() == pytest.approx(1.5)


class TestLoopWatch:
    def watch(self, hold_up):
        """Return the lines and metrics of a loop in which something happens."""
        metrics = Metrics()

        async def scenario():
            watch = LoopLagMonitor(metrics, lambda: 0.0)
            watch.start()
            await asyncio.sleep(0.05)
            hold_up()
            await asyncio.sleep(0.6)
            watch.stop()

        with logbook.TestHandler() as lines:
            asyncio.run(scenario())
        late = [r for r in lines.records if r.message == "event loop was late"]
        return late, metrics.text()

    def compute(self):
        end = time.process_time() + HELD_UP
        while time.process_time() < end:
            pass

    def test_wait_and_work_look_different(self):
        # Guards against a gap in the logs of which nobody can tell what made it.
        (waited, _), (worked, _) = (
            self.watch(lambda: time.sleep(HELD_UP)),
            self.watch(self.compute),
        )
        assert waited[0].extra["late"] > 0.05
        assert waited[0].extra["processor"] < HELD_UP / 2
        assert worked[0].extra["processor"] >= HELD_UP / 2

    def test_metrics_count_it(self):
        _, text = self.watch(lambda: time.sleep(HELD_UP))
        assert "berylstage_loop_late_seconds_count 1\n" in text
