"""Tests of the daemon's life cycle."""

from __future__ import annotations

import asyncio
import json
from types import SimpleNamespace

import pytest
from berylstage_daemon import servers
from berylstage_daemon.answers import Answer, Outcome
from berylstage_daemon.application import EXIT_CUT, EXIT_OK, Application
from berylstage_daemon.config import read_settings
from berylstage_daemon.logs import make_handler
from berylstage_daemon.part import Part


class Lines:
    """A stream that keeps the JSON lines written to it."""

    def __init__(self):
        self.lines = []

    def write(self, text):
        self.lines += [json.loads(line) for line in text.splitlines() if line]

    def flush(self):
        pass

    def messages(self):
        """Return the messages of all lines."""
        return " ".join(line["message"] for line in self.lines)


class FaultyPart(Part):
    """A part whose shutdown fails."""

    async def start(self):
        pass

    async def drain(self):
        raise RuntimeError("drain")

    async def stop(self):
        raise RuntimeError("stop")


@pytest.fixture
def make_app(monkeypatch):
    """Return how to make an application that was never started."""
    monkeypatch.setattr(servers, "BALANCER_LAG", 0.0)

    def make(limit="0.2", leads=False):
        flags = {"vm": "almaty-a-1", "data-centre": "almaty-a"}
        flags |= {"platform": "127.0.0.1:1", "shutdown-limit": limit}
        app = Application(read_settings(flags, {}))
        app.control.node = SimpleNamespace(
            leave=lambda: None,
            leads_anything=lambda: leads,
        )
        return app

    return make


def stop(make, begin=lambda app: None):
    """Shut an application down; return its exit status and its log."""
    stream = Lines()

    async def play():
        app = make()
        work = begin(app)
        status = await app.stop()
        if work is not None:
            work.cancel()
        return status

    with make_handler("almaty-a-1", stream).applicationbound():
        return asyncio.run(play()), stream


class TestStop:
    def test_idle_vm_exits_with_success(self, make_app):
        status, _ = stop(make_app)
        assert status == EXIT_OK

    def test_vm_alone_in_its_cell_stops_and_says_so(self, make_app):
        # The last VM of a cell is told to stop, and there is nobody to hand its leads
        # to. It must not hang, nor claim that it cut requests that were none.
        status, stream = stop(lambda: make_app(leads=True))
        assert status == EXIT_OK
        assert "not handed over" in stream.messages()
        assert "were cut" not in stream.messages()

    def test_request_in_flight_ends_first(self, make_app):
        # A VM is replaced while a caller waits for its answer.
        ended = []

        def begin(app):
            async def work():
                with app.working():
                    await asyncio.sleep(0.05)
                    ended.append(not app.ready())

            return asyncio.ensure_future(work())

        def make():
            return make_app(limit="30")

        async def play():
            app = make()
            begin(app)
            await asyncio.sleep(0)
            return await app.stop()

        assert asyncio.run(play()) == EXIT_OK
        assert ended == [True]

    def test_request_that_outlasts_the_limit_is_told(self, make_app):
        # Long work runs beyond the limit. Operators must learn that it was cut.
        async def play():
            app = make_app()
            with app.working():
                return await app.stop()

        stream = Lines()
        with make_handler("almaty-a-1", stream).applicationbound():
            status = asyncio.run(play())
        assert status == EXIT_CUT
        assert "were cut" in stream.messages()

    def test_part_that_fails_keeps_out_no_other(self, make_app):
        # One part cannot be shut down. The others must still drain, or requests that
        # have nothing to do with it are cut.
        def make():
            app = make_app()
            app.add_part(FaultyPart())
            return app

        status, stream = stop(make)
        assert status == EXIT_OK
        assert "could not be shut down" in stream.messages()


class TestLive:
    def test_dead_core_is_not_live_nor_ready(self, make_app, monkeypatch):
        # The protocol core fails at every tick. The VM leads its targets in vain, and
        # only its answer to the balancer can get it replaced.
        async def play():
            app = make_app()
            app.control._ticked -= 60.0
            return app.live(), app.ready()

        assert asyncio.run(play()) == (False, False)


class TestServe:
    def test_answer_passes_through(self, make_app, make_rig):
        async def play():
            app = make_app()

            async def serve(req):
                return Answer(Outcome.ANSWERED, 200)

            app.router.serve = serve
            return await app.serve(make_rig().request())

        assert asyncio.run(play()).status == 200
