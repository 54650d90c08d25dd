"""Tests of a request's way over its attempts."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from berylstage_daemon.answers import Answer, Outcome, not_run, unknown
from berylstage_daemon.events import EventManager
from berylstage_daemon.router import Router
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

VM = "almaty-a-1"


class FakeRoutes:
    """All targets are led by this VM."""

    def __init__(self, willing):
        self.targets = willing

    def shard(self, service, key):
        return ""

    def route(self, service, shard):
        return Route("field-log-01", VM, "127.0.0.1:1")

    def lead_route(self, target):
        return Route(target, VM, "127.0.0.1:1")

    def willing(self, service):
        return self.targets


class FakeMetrics:
    """Keeps the names that were counted."""

    def __init__(self):
        self.counted = []

    def count(self, name):
        self.counted.append(name)

    def request(self, tenant, request_class, outcome, seconds):
        pass


class FakeLeaders:
    """Ends each attempt as the test says, the last way for all further ones."""

    def __init__(self):
        self.ends = []
        self.chosen = []

    async def serve(self, req, target):
        self.chosen.append(target)
        end = self.ends.pop(0) if len(self.ends) > 1 else self.ends[0]
        return await end if asyncio.isfuture(end) else end


def configuration(names, revision=1, thresholds=None):
    """Return a sheet with one free service and the named targets."""
    kinds = {"visit": Kind("visit", RequestClass.INTERACTIVE, True, 2000)}
    service = Service("field-log", "saryarka", Ownership.FREE, 0, kinds)
    targets = {
        name: Target(
            name, "field-log", "127.0.0.1:9", "a", 2, 9, True, MemberState.ACTIVE
        )
        for name in names
    }
    services = {"field-log": service}
    return Configuration(revision, services, {}, {}, targets, [], thresholds)


class Ways:
    """A router whose attempts end as the test says."""

    def __init__(self, make_rig, ends, names=("t-1",)):
        self.leaders = FakeLeaders()
        self.leaders.ends = list(ends)
        self.metrics = FakeMetrics()
        self.events = EventManager()
        self.routes = FakeRoutes(list(names))
        self._make_rig = make_rig
        app = SimpleNamespace(
            cfg=SimpleNamespace(vm=VM, request_log="none"),
            control=SimpleNamespace(routes=self.routes),
            leaders=self.leaders,
            metrics=self.metrics,
            events=self.events,
        )
        self.router = Router(app)
        self.adopt(configuration(names))

    def adopt(self, cfg):
        """Put a sheet in force."""
        self.events.emit("configuration-adopted", cfg)

    def request(self, ownership=Ownership.OWNED, **fields):
        """Return a request for the service."""
        req = self._make_rig().request(**fields)
        req.service = Service(
            "field-log", "saryarka", ownership, 8, {"visit": req.kind}
        )
        return req


@pytest.fixture
def make_ways(make_rig):
    return lambda *args, **fields: Ways(make_rig, *args, **fields)


def answered(body=b""):
    return Answer(Outcome.ANSWERED, 200, body=body)


class TestDoubt:
    @pytest.mark.parametrize("reason", ["cold", "queue-full", "no-lease", "closed"])
    def test_sent_once_is_never_called_not_run(self, make_ways, reason):
        # A lookup is sent, and its answer is lost. The second attempt is turned away.
        # Told "not run", the caller would rely on it that the first did not run.
        async def play():
            ways = make_ways([unknown("no-answer"), not_run(reason)])
            return await ways.router.serve(ways.request(seconds=0.4))

        answer = asyncio.run(play())
        assert answer.outcome is Outcome.UNKNOWN
        assert answer.reason == "no-answer"

    def test_later_answer_settles_the_doubt(self, make_ways):
        async def play():
            ways = make_ways([unknown("no-answer"), not_run("no-lease"), answered()])
            return await ways.router.serve(ways.request())

        assert asyncio.run(play()).outcome is Outcome.ANSWERED

    def test_work_that_may_not_be_repeated_is_not_sent_again(self, make_ways):
        # The answer to a parts order is lost. A second attempt could ship a second
        # motor.
        async def play():
            ways = make_ways([unknown("no-answer"), answered()])
            answer = await ways.router.serve(ways.request(repeatable=False))
            return ways, answer

        ways, answer = asyncio.run(play())
        assert answer.outcome is Outcome.UNKNOWN
        assert len(ways.leaders.chosen) == 1

    def test_work_that_did_not_run_stays_not_run(self, make_ways):
        # An order meets a target in cold start, twice. It never ran, and its caller
        # may rely on that.
        async def play():
            ways = make_ways([not_run("no-lease"), not_run("queue-full")])
            return await ways.router.serve(ways.request(repeatable=False))

        assert asyncio.run(play()).outcome is Outcome.NOT_RUN


class TestRouteLoop:
    def test_lost_target_is_asked_a_bounded_number_of_times(self, make_ways):
        # A target is lost, and its callers wait for the take-over. Each of them asking
        # thirty times a second would keep the VM from serving everybody else.
        async def play():
            ways = make_ways([not_run("target-down")])
            answer = await ways.router.serve(ways.request(seconds=1.0))
            return ways, answer

        ways, answer = asyncio.run(play())
        assert answer.outcome is Outcome.NOT_RUN
        assert len(ways.leaders.chosen) <= 20

    def test_deadline_bounds_the_loop(self, make_ways):
        # A caller gives its request a few milliseconds while its shard moves.
        async def play():
            ways = make_ways([not_run("moving")])
            answer = await ways.router.serve(ways.request(seconds=0.01))
            return ways, answer

        ways, answer = asyncio.run(play())
        assert answer.reason == "moving"
        assert len(ways.leaders.chosen) == 1


class TestFreeServices:
    def test_closed_target_costs_another_attempt_only(self, make_ways):
        # Operators close a data centre, and the VM that leads a target there knows it
        # first. Other targets are open, so the caller must not be turned away.
        async def play():
            ways = make_ways([not_run("closed"), answered()], names=("t-1", "t-2"))
            return await ways.router.serve(ways.request(Ownership.FREE))

        assert asyncio.run(play()).outcome is Outcome.ANSWERED

    def test_caller_that_goes_away_does_not_condemn_the_target(self, make_ways):
        # Impatient callers close their connections. Counted as faults of the target,
        # they would send everybody else away from a healthy one.
        async def play():
            fut = asyncio.Future()
            ways = make_ways([fut])
            task = asyncio.ensure_future(
                ways.router.serve(ways.request(Ownership.FREE))
            )
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.wait([task])
            choice = ways.router._choices["field-log"]
            return choice._views["t-1"]

        view = asyncio.run(play())
        assert not view.penalty
        assert not view.outstanding

    def test_kinds_are_told_apart(self, make_ways):
        # Long work and short work go to the same service. Measured by one time for
        # both, each target with long work would look slow.
        async def play():
            ways = make_ways([answered()])
            await ways.router.serve(ways.request(Ownership.FREE))
            return ways.router._choices["field-log"]._typical

        assert set(asyncio.run(play())) == {"visit"}

    def test_replaced_targets_are_forgotten(self, make_ways):
        # Targets are replaced all day under new names. Kept, the old ones would fill
        # the memory of a VM that runs for weeks.
        ways = make_ways([answered()])
        for day in range(50):
            ways.adopt(configuration([f"t-{day}"], day + 2))
        assert set(ways.router._choices["field-log"]._views) == {"t-49"}


class TestThresholds:
    def test_override_is_in_force_without_a_restart(self, make_ways):
        # Operators lower the retry budget while a fault goes on. Kept until the next
        # restart, the old one would go on loading the target.
        ways = make_ways([answered()])
        ways.adopt(configuration(["t-1"], 2, {"retry_reserve": 1.0}))
        assert ways.router._retries["field-log"].budget.reserve == 1.0
