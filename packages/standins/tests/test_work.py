"""Tests of job execution on a target."""

from __future__ import annotations

import asyncio
import time

import pytest
from berylstage_standins.job import Job
from berylstage_standins.ledger_writer import COLD_BOUND_BROKEN, LedgerWriter
from berylstage_standins.target import Target
from berylstage_standins.work import ColdBreak, Refused, WorkSettings

LONG_WORK_MS = 60_000.0


def run(scenario):
    """Run a test's coroutine with a timeout of 30 seconds."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


def make_target(**settings):
    """Return a target that by default checks no fence tokens."""
    settings.setdefault("work_ms", {"lookup": 0.1, "long": LONG_WORK_MS})
    settings.setdefault("checks_fences", False)
    return Target("target-1", WorkSettings(**settings), LedgerWriter(None))


def start(target, request_id, kind="lookup", **fields):
    """Start a job and return its task."""
    job = Job(request_id, "field-log", kind, "dryer-1", **fields)
    return asyncio.ensure_future(target.work.run(job))


def count_exceeded_cold_bounds(target):
    """Return how often the cold bound was exceeded."""
    lines = target.ledger.lines
    return sum(line["event"] == COLD_BOUND_BROKEN for line in lines)


async def settle():
    """Let tasks run until they block."""
    for _ in range(5):
        await asyncio.sleep(0)


class TestSlots:
    def test_waiting_jobs_get_the_slot_in_order(self):
        async def scenario():
            target = make_target(slots=1, backlog=2)
            tasks = [start(target, f"r{n}") for n in range(3)]
            await asyncio.gather(*tasks)
            ran = [line["request_id"] for line in target.ledger.lines[1:]]
            assert ran == ["r0", "r1", "r2"]
            assert target.work.running == 0

        run(scenario)

    def test_work_whose_deadline_passes_in_the_backlog_is_refused(self):
        # Long work occupies the only slot past the deadline of the next request, whose
        # caller must learn that its work has not run.
        async def scenario():
            target = make_target(slots=1)
            long = start(target, "r0", "long")
            await settle()
            expired = start(target, "r1", deadline=time.time() + 0.05)
            with pytest.raises(Refused) as caught:
                await expired
            assert caught.value.reason == "deadline"
            target.work.drop("r0")
            with pytest.raises(Refused):
                await long
            assert target.work.running == 0

        run(scenario)


class TestColdStart:
    def test_completed_jobs_end_the_cold_start(self):
        async def scenario():
            target = make_target(cold_bound=1, warm_after=2)
            for n in range(2):
                assert target.work.cold
                await start(target, f"r{n}")
            assert not target.work.cold
            assert count_exceeded_cold_bounds(target) == 0

        run(scenario)

    @pytest.mark.parametrize("cold_break", list(ColdBreak))
    def test_exceeding_the_cold_bound_is_recorded(self, cold_break):
        # A VM sends full load to a target that has just started. However the target
        # reacts, the ledger must show that the cold bound was exceeded.
        async def scenario():
            target = make_target(cold_bound=2, cold_break=cold_break)
            first_incarnation = target.incarnation
            tasks = [start(target, f"r{n}", "long") for n in range(3)]
            await settle()
            assert count_exceeded_cold_bounds(target) == 1
            assert (target.incarnation != first_incarnation) == (
                cold_break is ColdBreak.CRASH
            )
            target.work.drop_all()
            ends = await asyncio.gather(*tasks, return_exceptions=True)
            assert all(isinstance(end, Refused) for end in ends)
            assert target.work.running == 0

        run(scenario)

    def test_a_warm_target_can_become_cold_again(self):
        async def scenario():
            target = make_target(cold_bound=1, warm_after=1)
            await start(target, "r0")
            target.work.begin_cold_start()
            tasks = [start(target, f"r{n}") for n in (1, 2)]
            await asyncio.gather(*tasks)
            assert count_exceeded_cold_bounds(target) == 1

        run(scenario)


class TestFreeze:
    def test_work_due_during_a_freeze_takes_effect_afterwards(self):
        # A virtual machine is suspended and resumed. Work that was due meanwhile takes
        # effect even though its caller has already cancelled it.
        async def scenario():
            target = make_target()
            target.faults.set({"freeze": True})
            target.apply_faults()
            task = start(target, "r0")
            await asyncio.sleep(0.02)
            target.work.drop("r0")
            await settle()
            assert not task.done()
            target.faults.set({"freeze": False})
            target.apply_faults()
            await task
            assert target.ledger.lines[-1]["outcome"] == "done"

        run(scenario)


class TestLoadReport:
    def test_the_load_report_lags_behind(self):
        # A load report is as old as its lag: it shows no load while the target is
        # already full.
        async def scenario():
            target = make_target()
            target.report_lag = 3600.0
            target.load_report()
            task = start(target, "r0", "long")
            await settle()
            assert target.load_report()["running"] == 0
            target.report_lag = 0.0
            assert target.load_report()["running"] == 1
            target.work.drop_all()
            await asyncio.gather(task, return_exceptions=True)

        run(scenario)
