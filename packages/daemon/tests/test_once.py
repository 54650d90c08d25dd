"""Tests of requests that may not be repeated."""

from __future__ import annotations

import asyncio
import time

import pytest
from berylstage_daemon.answers import Answer, Outcome, not_run, unknown
from berylstage_daemon.events import EventManager
from berylstage_daemon.once import Once
from berylstage_ownership.actions import ShardActivated, ShardReleased

SHARD = "parts-desk/3"
# Beyond any floor: the shard was gained long before the request was issued.
LATER = 3.0


class Work:
    """Work whose end the test gives by hand."""

    def __init__(self):
        self.runs = 0
        self.end = asyncio.Future()

    async def __call__(self):
        self.runs += 1
        return await asyncio.shield(self.end)


def gained():
    """Return a table that gained its shard three seconds ago."""
    events = EventManager()
    once = Once(events)
    once.table.gain(SHARD, int((time.time() - LATER) * 1000))
    return once, events


@pytest.fixture
def order(make_rig):
    """Return how to make an order with a given key, issued now."""

    def make(key="order-1", age=0.0):
        issued = int((time.time() - age) * 1000)
        return make_rig().request(
            repeatable=False, idempotency_key=key, issued_at_ms=issued
        )

    return make


def answered(body=b"shipped"):
    return Answer(Outcome.ANSWERED, 201, body=body, content_type="text/plain")


class TestRepeats:
    def test_repeat_gets_the_first_answer(self, order, let_run):
        # The answer to an order is lost between the VM and the caller, who sends it
        # again. Run again, it would ship a second motor.
        async def play():
            once, _ = gained()
            work = Work()
            work.end.set_result(answered())
            first = await once.run(order(), SHARD, work)
            second = await once.run(order(), SHARD, work)
            return work, first, second

        work, first, second = asyncio.run(play())
        assert work.runs == 1
        assert (second.status, second.body) == (first.status, first.body)

    def test_repeat_of_work_in_progress_is_told_so(self, order, let_run):
        # A caller loses patience and sends its order again while the first one runs.
        async def play():
            once, _ = gained()
            work = Work()
            first = asyncio.ensure_future(once.run(order(), SHARD, work))
            await let_run()
            second = await once.run(order(), SHARD, work)
            work.end.set_result(answered())
            await first
            return work, second

        work, second = asyncio.run(play())
        assert work.runs == 1
        assert second.outcome is Outcome.IN_PROGRESS
        assert second.retry_after > 0

    def test_caller_that_went_away_finds_its_answer(self, order, let_run):
        # A caller's connection breaks in the middle of an order. Cancelled with the
        # caller, the order would end as unknown, and somebody would have to look up by
        # hand whether the motor was shipped.
        async def play():
            once, _ = gained()
            work = Work()
            first = asyncio.ensure_future(once.run(order(), SHARD, work))
            await let_run()
            first.cancel()
            await let_run()
            work.end.set_result(answered())
            await let_run()
            return work, await once.run(order(), SHARD, work)

        work, second = asyncio.run(play())
        assert work.runs == 1
        assert second.outcome is Outcome.ANSWERED

    def test_unknown_stays_unknown(self, order):
        # An order was sent and its answer never came. Sent again it could run twice.
        async def play():
            once, _ = gained()
            work = Work()
            work.end.set_result(unknown("no-answer"))
            await once.run(order(), SHARD, work)
            return work, await once.run(order(), SHARD, work)

        work, second = asyncio.run(play())
        assert work.runs == 1
        assert second.outcome is Outcome.UNKNOWN
        assert second.message

    def test_work_that_did_not_run_may_be_sent_again(self, order):
        async def play():
            once, _ = gained()
            refused, done = Work(), Work()
            refused.end.set_result(not_run("shed"))
            done.end.set_result(answered())
            await once.run(order(), SHARD, refused)
            return await once.run(order(), SHARD, done)

        assert asyncio.run(play()).outcome is Outcome.ANSWERED

    def test_failure_of_our_own_counts_as_unknown(self, order):
        # The daemon itself fails in the middle of an order. Forgotten, the order
        # would run again with the caller's repeat.
        async def play():
            once, _ = gained()
            work = Work()
            work.end.set_exception(RuntimeError("a defect"))
            with pytest.raises(RuntimeError):
                await once.run(order(), SHARD, work)
            return await once.run(order(), SHARD, work)

        assert asyncio.run(play()).reason == "unknown-before"


class TestFreshness:
    def test_what_an_earlier_vm_may_have_run_is_refused(self, order):
        # The VM that knew of an order is lost, and the caller sends it again through
        # another one, which cannot know whether it ran.
        async def play():
            events = EventManager()
            once = Once(events)
            events.emit("shard-activated", ShardActivated(SHARD, "t", 5, None))
            work = Work()
            return work, await once.run(order(age=1.0), SHARD, work)

        work, answer = asyncio.run(play())
        assert work.runs == 0
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.reason == "not-fresh"
        assert "under a new key" in answer.message

    def test_planned_move_takes_the_records_along(self, order):
        # A data centre is closed while orders run. Without their records the VM that
        # takes over would have to refuse each order that was issued before.
        async def play():
            once, events = gained()
            work = Work()
            work.end.set_result(answered())
            await once.run(order("before", age=1.0), SHARD, work)
            events.emit("shard-released", ShardReleased(SHARD, "t"))
            handed = once.table.export(SHARD)
            events = EventManager()
            other = Once(events)
            events.emit("shard-activated", ShardActivated(SHARD, "t", 6, [handed]))
            repeat = await other.run(order("before", age=1.0), SHARD, work)
            fresh = await other.run(order("after", age=0.5), SHARD, work)
            return work, repeat, fresh

        work, repeat, fresh = asyncio.run(play())
        assert work.runs == 2
        assert repeat.body == b"shipped"
        assert fresh.outcome is Outcome.ANSWERED

    def test_early_request_waits_for_its_issue_time(self, order):
        # A caller's clock is a little ahead. Refused, each of its orders would fail;
        # let in at once, one could run again through the VM that takes over next.
        async def play():
            once, _ = gained()
            work = Work()
            work.end.set_result(answered())
            return await once.run(order(age=-0.3), SHARD, work)

        assert asyncio.run(play()).outcome is Outcome.ANSWERED

    def test_early_request_goes_along_with_its_shard(self, order, let_run):
        # The shard moves while the request waits. It has not run, and must not be
        # called unknown.
        async def play():
            once, events = gained()
            early = asyncio.ensure_future(once.run(order(age=-0.3), SHARD, Work()))
            await let_run()
            events.emit("shard-released", ShardReleased(SHARD, "t"))
            return await early

        answer = asyncio.run(play())
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason == "moved"

    def test_clock_ahead_is_refused_as_not_run(self, order):
        # A caller's clock runs a minute ahead. Let in, its orders would look fresh to
        # the next VM even after they ran here.
        async def play():
            once, _ = gained()
            return await once.run(order(age=-60.0), SHARD, Work())

        answer = asyncio.run(play())
        assert answer.status == 400
        assert answer.outcome is Outcome.NOT_RUN
        assert "clock" in answer.message
