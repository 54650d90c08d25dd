"""Tests of what feeds the protocol core and does its actions."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_daemon.application import Application
from berylstage_daemon.config import read_settings
from berylstage_ownership.actions import LeaseLost, TargetUp, WriteStore
from berylstage_ownership.events import StoreLost


@pytest.fixture
def make_control():
    """Return how to make the control of an application that was never started."""

    def make():
        flags = {"vm": "almaty-a-1", "data-centre": "almaty-a"}
        flags |= {"platform": "127.0.0.1:1"}
        app = Application(read_settings(flags, {}))
        return app, app.control

    return make


async def until(condition):
    """Wait until something has happened."""
    async with asyncio.timeout(10.0):
        while not condition():
            await asyncio.sleep(0.01)


class TestTick:
    def test_failed_tick_does_not_stop_the_clock(self, make_control):
        # One tick of the core fails. With its clock stopped, the VM would let its
        # lease lapse for good and go on to answer the balancer.
        async def play():
            _, control = make_control()
            ticks = []

            def tick(now):
                ticks.append(now)
                if len(ticks) == 1:
                    raise RuntimeError("a fault of the core")
                return []

            control.node.tick = tick
            await control.start()
            await until(lambda: len(ticks) > 2)
            await control.stop()
            return control.live()

        assert asyncio.run(play())

    def test_core_that_fails_at_each_tick_is_not_live(self, make_control):
        async def play():
            _, control = make_control()
            ticks = []

            def tick(now):
                ticks.append(now)
                raise RuntimeError("a fault of the core")

            control.node.tick = tick
            control._ticked = 0.0
            await control.start()
            await until(lambda: len(ticks) > 2)
            await control.stop()
            return control.live()

        assert not asyncio.run(play())


class TestNotices:
    def test_listener_that_fails_keeps_the_news_from_nobody(self, make_control):
        # One part of the daemon fails at a notice. The other parts, and the actions
        # that come after it, must not be missed: a sheet would be in force by halves.
        async def play():
            app, control = make_control()
            heard = []

            def fail(notice):
                raise RuntimeError("a fault of a part")

            app.events.connect("lease-lost", fail)
            app.events.connect("lease-lost", lambda notice: heard.append("lost"))
            app.events.connect("target-up", lambda notice: heard.append("up"))
            control.execute([LeaseLost(), TargetUp("field-log-01", "run-1", False)])
            return heard

        assert asyncio.run(play()) == ["lost", "up"]


class TestStore:
    def test_write_that_fails_in_an_unforeseen_way_is_settled(self, make_control):
        # The HTTP library raises an error that nobody foresaw, perhaps after the write
        # took effect. Without a result the core would wait for one for good, and no
        # change of the assignment would be made any more.
        async def play():
            _, control = make_control()
            results = []

            async def write(key, value, version):
                raise RuntimeError("a fault of the library")

            def store_reply(now, tag, result):
                results.append(result)
                return []

            control._store.write = write
            control.node.store_reply = store_reply
            control.execute([WriteStore("berylstage/x", b"", 0, 7, 1.0)])
            await until(lambda: results)
            return results

        (result,) = asyncio.run(play())
        assert isinstance(result, StoreLost)
