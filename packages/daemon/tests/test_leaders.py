"""Requests of owned keys at the VM that leads, or is about to lead, their target."""

from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

import pytest
from berylstage_daemon.answers import Outcome, not_run
from berylstage_daemon.events import EventManager
from berylstage_daemon.leaders import Leaders
from berylstage_ownership.actions import ShardActivated
from berylstage_ownership.routing import Permit, Route
from berylstage_sheet.configuration import Configuration, MemberState, Target

VM = "almaty-a-1"
NAME = "field-log-01"
LIMIT = 1.0


class FakeRoutes:
    """Answers for one shard as the protocol core would."""

    def __init__(self):
        self.reason = "moving"

    def shard(self, service, key):
        return f"{service}/7"

    def permit(self, service, shard):
        return not_run(self.reason)


class FakeApp:
    """What the leaders see of the daemon."""

    def __init__(self):
        self.events = EventManager()
        node = SimpleNamespace(set_records=lambda records: None)
        self.control = SimpleNamespace(routes=FakeRoutes(), node=node)


@pytest.fixture
def app():
    return FakeApp()


class TestHeldRequests:
    def test_a_shard_that_goes_on_to_another_vm_holds_nothing(
        self, app, make_rig, let_run
    ):
        # A VM is about to lead a target and holds a technician's request until it
        # may serve the key. Then the lead goes to a third VM. The request would wait
        # two seconds and more for nothing, though the third VM serves its key.
        async def scenario():
            leaders = Leaders(app)
            req = make_rig().request()
            task = asyncio.ensure_future(leaders.serve(req, ""))
            await let_run()
            assert not task.done()
            app.control.routes.reason = "not-leader"
            app.events.emit("assignment-adopted", 9)
            answer = await asyncio.wait_for(task, LIMIT)
            assert answer.reason == "not-leader"

        asyncio.run(scenario())

    def test_a_shard_that_still_moves_goes_on_holding(self, app, make_rig, let_run):
        # The assignment changes elsewhere while a shard is on its way here. A refusal
        # now would send the caller away for a quarter of a second.
        async def scenario():
            leaders = Leaders(app)
            req = make_rig().request()
            task = asyncio.ensure_future(leaders.serve(req, ""))
            await let_run()
            app.events.emit("assignment-adopted", 9)
            await let_run()
            assert not task.done()
            task.cancel()

        asyncio.run(scenario())

    def test_a_shard_whose_grant_comes_late_is_looked_at_again(
        self, app, make_rig, let_run
    ):
        # A VM takes a target over and may serve a key a moment before the target has
        # accepted the grant. The request is woken, finds the grant missing and waits
        # again. Nothing woke it a second time: technicians waited 2.5 s after each
        # loss of a VM, though their keys were served again after one.
        async def scenario():
            leaders = Leaders(app)
            req = make_rig().request()
            task = asyncio.ensure_future(leaders.serve(req, ""))
            await let_run()
            notice = ShardActivated("field-log/7", "field-log-01", 5, None)
            app.events.emit("shard-activated", notice)
            await let_run()
            assert not task.done()
            app.control.routes.reason = "target-down"
            app.events.emit("grant-answered", "field-log-01")
            answer = await asyncio.wait_for(task, LIMIT)
            assert answer.reason == "target-down"

        asyncio.run(scenario())


class LedRoutes:
    """Answers as the test sets it."""

    def __init__(self):
        self.leader = VM
        self.permitted = Permit(NAME, 7, 3)

    def shard(self, service, key):
        return "field-log/7"

    def permit(self, service, shard):
        return self.permitted

    def lead_route(self, target):
        return Route(target, self.leader, "127.0.0.1:1")


class Lead:
    """The leaders of a VM with a fake target."""

    def __init__(self, make_rig):
        self.rig = make_rig()
        self.events = EventManager()
        self.routes = LedRoutes()
        self.cfg = self.sheet([NAME])
        control = SimpleNamespace(
            routes=self.routes,
            node=SimpleNamespace(set_records=lambda table: None),
            work_started=self.rig.control.work_started,
            work_ended=self.rig.control.work_ended,
        )
        app = SimpleNamespace(
            cfg=SimpleNamespace(vm=VM),
            control=control,
            events=self.events,
            load=SimpleNamespace(observe=lambda *args: None),
            configuration=lambda: self.cfg,
        )
        self.leaders = Leaders(app)

    def sheet(self, names, address="127.0.0.1:9"):
        """Return a sheet with the named targets."""
        targets = {
            name: Target(
                name, "field-log", address, "a", 1, 9, True, MemberState.ACTIVE
            )
            for name in names
        }
        return Configuration(1, {}, {}, {}, targets, [])

    def adopt(self, cfg):
        """Put a sheet in force."""
        self.cfg = cfg
        self.events.emit("configuration-adopted", cfg)

    def assign(self):
        """Tell of a new assignment."""
        self.events.emit("assignment-adopted", 2)

    def use(self):
        """Send to the fake target from now on and return its leader."""
        self.leaders.heard(NAME, "run-1", False)
        leader = self.leaders._leader(NAME)
        leader.client = self.rig.target
        return leader

    def serve(self, req):
        """Start a request and return its task."""
        return asyncio.ensure_future(self.leaders.serve(req, ""))


@pytest.fixture
def make_lead(make_rig):
    return lambda: Lead(make_rig)


class TestHeldShards:
    def test_nothing_is_kept_of_shards_that_were_waited_for(self, make_lead):
        # Hot keys get shards of their own and lose them again, all day. An entry kept
        # for each would fill the memory.
        async def play():
            lead = make_lead()
            lead.routes.permitted = not_run("moving")
            answer = await lead.leaders.serve(lead.rig.request(seconds=0.02), "")
            return answer, lead

        answer, lead = asyncio.run(play())
        assert answer.reason == "moving"
        assert not lead.leaders._held


class TestLettingGo:
    def test_replaced_targets_are_let_go_of(self, make_lead, let_run):
        # Targets are replaced all day under new names. Each one kept holds its
        # connections, until the VM has no file descriptors left.
        async def play():
            lead = make_lead()
            for number in range(20):
                lead.routes.leader = VM
                lead.adopt(lead.sheet([f"t-{number}"]))
                lead.leaders.heard(f"t-{number}", "run-1", False)
                lead.routes.leader = "almaty-b-1"
            lead.assign()
            await let_run()
            return lead.leaders

        leaders = asyncio.run(play())
        assert set(leaders._clients) == set(leaders._leaders) == {"t-19"}
        assert not leaders._parting

    def test_replaced_address_closes_the_old_connections(self, make_lead, let_run):
        # A target comes back at another address. The connections to the old one must
        # not stay open for good.
        async def play():
            lead = make_lead()
            lead.use()
            closed = []
            old = lead.leaders._clients[NAME]

            async def close():
                closed.append(old)

            old.close = close
            lead.adopt(lead.sheet([NAME], "127.0.0.1:10"))
            lead.leaders.client(NAME, "127.0.0.1:10")
            await let_run()
            return closed

        assert len(asyncio.run(play())) == 1

    def test_who_waits_goes_on_when_the_lead_moves(self, make_lead, let_run):
        # The lead of a target moves while a request waits here for its only slot. Kept
        # waiting, it would be told only once the slot is free.
        async def play():
            lead = make_lead()
            lead.use()
            first = lead.serve(lead.rig.request("first"))
            await let_run()
            second = lead.serve(lead.rig.request("second"))
            await let_run()
            lead.routes.leader = "almaty-b-1"
            lead.assign()
            await let_run()
            lead.rig.target.answer()
            return second.done() and second.result().reason, await first

        reason, first = asyncio.run(play())
        assert reason == "draining"
        assert first.outcome is Outcome.ANSWERED


class TestDrain:
    def test_waits_for_work_whose_caller_went_away(self, make_lead, let_run):
        # A VM shuts down while an order runs whose caller has gone. Cut, it would end
        # as unknown; the caller's repeat through another VM must find its answer.
        async def play():
            lead = make_lead()
            lead.use()
            wall_ms = int(time.time() * 1000)
            lead.leaders._once.table.gain("field-log/7", wall_ms - 3000)
            req = lead.rig.request(repeatable=False, issued_at_ms=wall_ms)
            task = lead.serve(req)
            await let_run()
            task.cancel()
            drain = asyncio.ensure_future(lead.leaders.drain())
            await let_run()
            before = drain.done()
            lead.rig.target.answer()
            await drain
            return before, len(lead.rig.target.sent)

        before, sent = asyncio.run(play())
        assert sent == 1
        assert not before
