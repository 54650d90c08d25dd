"""Tests of the work on a target."""

from __future__ import annotations

import asyncio
import time

import pytest
from berylstage_standins.job import Job
from berylstage_standins.ledger_writer import COLD_BOUND_BROKEN, LedgerWriter
from berylstage_standins.target import Target
from berylstage_standins.work import ColdBreak, Refused, WorkSettings

LONG = 60_000.0


def run(scenario):
    """Run a test's coroutine to its end."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


def make_target(**settings):
    """Return a target that checks no fences unless told so."""
    settings.setdefault("work_ms", {"lookup": 0.1, "long": LONG})
    settings.setdefault("checks_fences", False)
    return Target("target-1", WorkSettings(**settings), LedgerWriter(None))


def start(target, request_id, kind="lookup", **fields):
    """Start a job and return its task."""
    job = Job(request_id, "field-log", kind, "dryer-1", **fields)
    return asyncio.ensure_future(target.work.run(job))


def broken(target):
    """Return how often the cold bound was broken."""
    lines = target.ledger.lines
    return sum(line["event"] == COLD_BOUND_BROKEN for line in lines)


async def settle():
    """Let tasks run until they wait."""
    for _ in range(5):
        await asyncio.sleep(0)


class TestSlots:
    def test_waiting_work_gets_the_slot_in_turn(self):
        async def scenario():
            target = make_target(slots=1, backlog=2)
            tasks = [start(target, f"r{n}") for n in range(3)]
            await asyncio.gather(*tasks)
            ran = [line["request_id"] for line in target.ledger.lines[1:]]
            assert ran == ["r0", "r1", "r2"]
            assert target.work.running == 0

        run(scenario)

    def test_work_whose_time_ends_in_the_queue_is_refused(self):
        # Long work holds the only slot past the deadline of the next request, whose
        # caller is due a certain refusal.
        async def scenario():
            target = make_target(slots=1)
            long = start(target, "r0", "long")
            await settle()
            late = start(target, "r1", deadline=time.time() + 0.05)
            with pytest.raises(Refused) as caught:
                await late
            assert caught.value.reason == "deadline"
            target.work.drop("r0")
            with pytest.raises(Refused):
                await long
            assert target.work.running == 0

        run(scenario)


class TestColdStart:
    def test_a_target_warms_by_completions(self):
        async def scenario():
            target = make_target(cold_bound=1, warm_after=2)
            for n in range(2):
                assert target.work.cold
                await start(target, f"r{n}")
            assert not target.work.cold
            assert broken(target) == 0

        run(scenario)

    @pytest.mark.parametrize("cold_break", list(ColdBreak))
    def test_more_than_it_bears_is_recorded(self, cold_break):
        # A VM sends full load to a target that has just started. Whatever comes of it,
        # the ledger must show that the bound was broken.
        async def scenario():
            target = make_target(cold_bound=2, cold_break=cold_break)
            born = target.incarnation
            tasks = [start(target, f"r{n}", "long") for n in range(3)]
            await settle()
            assert broken(target) == 1
            assert (target.incarnation != born) == (cold_break is ColdBreak.FALL)
            target.work.drop_all()
            ends = await asyncio.gather(*tasks, return_exceptions=True)
            assert all(isinstance(end, Refused) for end in ends)
            assert target.work.running == 0

        run(scenario)

    def test_a_target_turns_cold_without_warning(self):
        async def scenario():
            target = make_target(cold_bound=1, warm_after=1)
            await start(target, "r0")
            target.work.turn_cold()
            tasks = [start(target, f"r{n}") for n in (1, 2)]
            await asyncio.gather(*tasks)
            assert broken(target) == 1

        run(scenario)


class TestFreeze:
    def test_work_goes_on_after_the_thaw_as_if_nothing_had_happened(self):
        # A virtual machine is stopped and resumed. Work that was due meanwhile takes
        # effect after all, even though its caller has long given up.
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
    def test_the_report_is_late(self):
        # The report of a target is as old as its lag: it tells of no load while
        # the target is already full.
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
