"""Tests of the targets that a VM leads."""

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


class FakeRoutes:
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
        self.routes = FakeRoutes()
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


class TestHold:
    def test_request_goes_on_once_the_grant_is_in_force(self, make_lead, let_run):
        # A shard has just become active here, and its target has not yet taken the
        # grant. A request that arrives in these milliseconds gets no notice any more;
        # waiting for one it would be refused two seconds later.
        async def play():
            lead = make_lead()
            lead.use()
            lead.routes.permitted = not_run("moving")
            task = lead.serve(lead.rig.request())
            lead.events.emit(
                "shard-activated", ShardActivated("field-log/7", NAME, 7, None)
            )
            await let_run()
            lead.routes.permitted = Permit(NAME, 7, 3)
            async with asyncio.timeout(2.0):
                while not lead.rig.target.sent:
                    await asyncio.sleep(0.01)
            lead.rig.target.answer()
            return await task, lead

        answer, lead = asyncio.run(play())
        assert answer.outcome is Outcome.ANSWERED
        assert not lead.leaders._held

    def test_lead_that_went_to_another_vm_ends_the_wait(self, make_lead, let_run):
        # While requests wait for a move to end, another VM gets the shard. They must
        # go there now, and not wait here for an activation that never comes.
        async def play():
            lead = make_lead()
            lead.use()
            lead.routes.permitted = not_run("moving")
            task = lead.serve(lead.rig.request())
            await let_run()
            lead.routes.permitted = not_run("not-leader")
            lead.assign()
            await let_run()
            return task.done() and task.result().reason, lead

        reason, lead = asyncio.run(play())
        assert reason == "not-leader"
        assert not lead.leaders._held

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
