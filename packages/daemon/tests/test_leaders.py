"""Requests of owned keys at the VM that leads, or is about to lead, their target."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace

import pytest
from berylstage_daemon.answers import not_run
from berylstage_daemon.events import EventManager
from berylstage_daemon.leaders import Leaders
from berylstage_ownership.actions import ShardActivated

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
