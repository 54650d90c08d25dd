"""Tests of requests that any target of a service may answer."""

from __future__ import annotations

import asyncio
from random import Random
from types import SimpleNamespace

import pytest
from berylstage_daemon.answers import BUSY, Answer, Outcome, not_run, unknown
from berylstage_daemon.free import FreeServices
from berylstage_ownership.routing import Route
from berylstage_sheet.configuration import (
    Configuration,
    Kind,
    MemberState,
    Ownership,
    RequestClass,
    Service,
    Target,
)

TARGETS = ("t-1", "t-2", "t-3", "t-4")


class Fleet:
    """Free targets whose answers the test gives by hand."""

    def __init__(self, make_rig, targets=TARGETS):
        self.sent = []
        self.declinable = []
        self.cancelled = []
        self.idle = []
        self.counted = []
        self._ends = []
        self._make_rig = make_rig
        routes = SimpleNamespace(
            willing=lambda service: list(targets),
            lead_route=lambda target: Route(target, "almaty-a-1", "127.0.0.1:1"),
        )
        app = SimpleNamespace(
            control=SimpleNamespace(routes=routes),
            leaders=SimpleNamespace(idle=lambda names: self.idle),
            metrics=SimpleNamespace(count=self.counted.append),
        )
        self.free = FreeServices(app, self._send, Random(1))
        self.free.configured(sheet(targets), False)
        self.hedge = self.free._services["field-log"].hedge

    async def _send(self, req, route, may_decline):
        number = len(self.sent)
        self.sent.append(route.target)
        self.declinable.append(may_decline)
        fut = asyncio.Future()
        self._ends.append(fut)
        try:
            return await fut
        except asyncio.CancelledError:
            self.cancelled.append(number)
            raise

    def late(self):
        """Let the next request count as late almost at once."""
        self.hedge._delay = self.hedge._least = 0.001

    def start(self, repeatable=True):
        """Start a request and return its task."""
        req = self._make_rig().request(repeatable=repeatable)
        kinds = {"visit": req.kind}
        req.service = Service("field-log", "saryarka", Ownership.FREE, 0, kinds)
        return asyncio.ensure_future(self.free.attempt(req))

    def end(self, number, answer):
        """End the attempt of a number."""
        self._ends[number].set_result(answer)

    async def until_sent(self, count):
        """Wait until so many attempts were made."""
        async with asyncio.timeout(10.0):
            while len(self.sent) < count:
                await asyncio.sleep(0.001)


def sheet(names):
    """Return a sheet with one free service."""
    kinds = {"visit": Kind("visit", RequestClass.INTERACTIVE, True, 2000)}
    service = Service("field-log", "saryarka", Ownership.FREE, 0, kinds)
    targets = {
        name: Target(
            name, "field-log", "127.0.0.1:9", "a", 2, 9, True, MemberState.ACTIVE
        )
        for name in names
    }
    return Configuration(1, {"field-log": service}, {}, {}, targets, [])


def answered(body=b"first"):
    return Answer(Outcome.ANSWERED, 200, body=body)


@pytest.fixture
def make_fleet(make_rig):
    return lambda *args: Fleet(make_rig, *args)


class TestDeclines:
    def test_busy_target_costs_a_hop_and_no_wait(self, make_fleet, let_run):
        # One target is taken by long work while others idle. Waiting at it, a lookup
        # would take as long as the long work.
        async def play():
            fleet = make_fleet()
            task = fleet.start()
            await let_run()
            fleet.end(0, not_run(BUSY))
            await let_run()
            fleet.end(1, answered())
            return await task, fleet

        answer, fleet = asyncio.run(play())
        assert answer.outcome is Outcome.ANSWERED
        assert fleet.sent[0] != fleet.sent[1]

    def test_request_waits_when_all_are_busy(self, make_fleet, let_run):
        # All targets are busy. Handed on without end, a request would load the VMs
        # and never get into any queue.
        async def play():
            fleet = make_fleet()
            task = fleet.start()
            for number in range(2):
                await let_run()
                fleet.end(number, not_run(BUSY))
            await let_run()
            fleet.end(2, answered())
            await task
            return fleet

        fleet = asyncio.run(play())
        assert fleet.declinable == [True, True, False]
        assert len(set(fleet.sent)) == 3

    def test_only_target_is_waited_for(self, make_fleet, let_run):
        async def play():
            fleet = make_fleet(("t-1",))
            task = fleet.start()
            await let_run()
            fleet.end(0, answered())
            await task
            return fleet.declinable

        assert asyncio.run(play()) == [False]

    def test_idle_target_led_here_goes_first(self, make_fleet, let_run):
        async def play():
            fleet = make_fleet()
            fleet.idle = ["t-3"]
            task = fleet.start()
            await let_run()
            fleet.end(0, answered())
            await task
            return fleet.sent

        assert asyncio.run(play()) == ["t-3"]


class TestHedges:
    def test_second_answer_wins_and_the_first_is_cancelled(self, make_fleet, let_run):
        # A target stalls for a moment with a lookup in its hands, while a salesman
        # waits on the telephone. Another target answers; the first must not go on
        # working for nobody.
        async def play():
            fleet = make_fleet()
            fleet.late()
            task = fleet.start()
            await fleet.until_sent(2)
            fleet.end(1, answered(b"second"))
            answer = await task
            await let_run()
            # The end of the event loop would cancel what was left running.
            return answer, fleet, list(fleet.cancelled)

        answer, fleet, cancelled = asyncio.run(play())
        assert answer.body == b"second"
        assert cancelled == [0]
        assert fleet.sent[0] != fleet.sent[1]
        assert fleet.counted == ["hedged"]
        assert not fleet.free._losers

    def test_hedge_is_cancelled_when_the_first_answers(self, make_fleet, let_run):
        async def play():
            fleet = make_fleet()
            fleet.late()
            task = fleet.start()
            await fleet.until_sent(2)
            fleet.end(0, answered())
            answer = await task
            await let_run()
            return answer, list(fleet.cancelled)

        answer, cancelled = asyncio.run(play())
        assert answer.body == b"first"
        assert cancelled == [1]

    def test_work_that_may_not_be_repeated_is_never_hedged(self, make_fleet):
        # A parts order is late. Sent a second time, it would ship a second motor.
        async def play():
            fleet = make_fleet()
            fleet.late()
            task = fleet.start(repeatable=False)
            await asyncio.sleep(0.05)
            fleet.end(0, answered())
            await task
            return fleet.sent

        assert len(asyncio.run(play())) == 1

    def test_hedge_never_waits_and_costs_nothing_then(self, make_fleet, let_run):
        # All targets are busy and all answers late. Hedges that wait would double the
        # load just when there is least room.
        async def play():
            fleet = make_fleet()
            fleet.late()
            tokens = fleet.hedge.budget.tokens
            task = fleet.start()
            await fleet.until_sent(2)
            for number in (1, 2, 3):
                fleet.end(number, not_run(BUSY))
                await let_run()
            spent = tokens - fleet.hedge.budget.tokens
            fleet.end(0, answered())
            return await task, fleet, spent

        answer, fleet, spent = asyncio.run(play())
        assert answer.body == b"first"
        assert fleet.declinable[1:] == [True, True, True]
        assert spent == 0

    @pytest.mark.parametrize("lost", [0, 1])
    def test_one_that_may_have_run_is_not_called_not_run(
        self, make_fleet, let_run, lost
    ):
        # Of a lookup and its hedge one is turned away and the other's answer is lost.
        async def play():
            fleet = make_fleet()
            fleet.late()
            task = fleet.start()
            await fleet.until_sent(2)
            fleet.end(lost, unknown("no-answer"))
            await let_run()
            fleet.end(1 - lost, not_run("shed"))
            return await task

        assert asyncio.run(play()).outcome is Outcome.UNKNOWN

    def test_caller_that_goes_away_cancels_both(self, make_fleet, let_run):
        async def play():
            fleet = make_fleet()
            fleet.late()
            task = fleet.start()
            await fleet.until_sent(2)
            task.cancel()
            await let_run()
            return sorted(fleet.cancelled), set(fleet.free._losers)

        cancelled, losers = asyncio.run(play())
        assert cancelled == [0, 1]
        assert not losers
