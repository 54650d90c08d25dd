"""Tests of the application of an entry VM."""

from __future__ import annotations

import asyncio
import socket

import pytest
from berylstage_entry import stopping
from berylstage_entry.application import EntryApplication
from berylstage_entry.permit_client import Permit
from berylstage_entry.permit_messages import PermitRelease
from berylstage_entry.settings import Bounds
from fakes import (
    BOUNDS,
    FencedTargets,
    JsonRecords,
    MemoryStore,
    configuration,
    settings,
)
from test_server import PlainCallers, free_port

QUESTION = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
TURN = 7


class ClosableStore(MemoryStore):
    def close(self):
        pass


def application():
    """Return the application of a VM alone, on ports of its own."""
    store = ClosableStore()
    store.put("cfg", b"1")
    cfg = settings()
    cfg.callers, cfg.ready, cfg.control = [f"127.0.0.1:{free_port()}" for _ in range(3)]
    cfg.metrics_port = free_port()
    records = JsonRecords({1: configuration()})
    return EntryApplication(cfg, store, PlainCallers(), FencedTargets(), records)


async def hold_turn(app):
    """Serve a request that has a turn at another VM's queue and never ends."""
    try:
        await asyncio.sleep(60)
    finally:
        app.turns.done(Permit(TURN, "s", "127.0.0.2"))


class TestStop:
    @pytest.mark.parametrize("page", ["ready", "control", "metrics"])
    def test_question_that_comes_last_is_answered(self, page, monkeypatch):
        # Guards against the end of the program with a question in a page's socket.
        monkeypatch.setattr(stopping, "BALANCER_LAG", 0.0)

        async def play():
            app = application()
            app.start()
            await asyncio.sleep(0.1)
            ports = {
                "ready": int(app.cfg.ready.rpartition(":")[2]),
                "control": int(app.cfg.control.rpartition(":")[2]),
                "metrics": app.cfg.metrics_port,
            }
            with socket.create_connection(("127.0.0.1", ports[page])) as asker:
                await asyncio.sleep(0.1)
                asker.settimeout(1.0)
                tell = app._tell_stop
                app._tell_stop = lambda: (tell(), asker.sendall(QUESTION))
                await app.stop()
                # The loop turns no more: what is not out by now never leaves.
                assert asker.recv(65536).startswith(b"HTTP/1.1 ")

        asyncio.run(play())

    def test_turn_of_a_request_that_is_cut_is_given_back(self, monkeypatch):
        # Guards against slots that stay out of use at the keeper of a queue until the
        # deadlines of requests that ended with their VM.
        monkeypatch.setattr(stopping, "BALANCER_LAG", 0.0)

        async def play():
            app = application()
            app.cfg.bounds = Bounds(0.2, 60.0, 1.5, 5.0, 1.5, 10.0)
            app.start()
            await asyncio.sleep(0.1)
            app.router.serve = lambda req: hold_turn(app)
            with socket.socket(type=socket.SOCK_DGRAM) as keeper:
                keeper.bind(("127.0.0.2", app.cfg.metrics_port))
                keeper.setblocking(False)
                port = int(app.cfg.callers.rpartition(":")[2])
                with socket.create_connection(("127.0.0.1", port)) as caller:
                    caller.sendall(b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n")
                    await asyncio.sleep(0.1)
                    await app.stop()
                assert PermitRelease.decode(keeper.recv(64)).number == TURN

        asyncio.run(play())

    def test_idle_pages_hold_no_stop_up(self, monkeypatch):
        # Guards against a VM that is killed because it waited for the balancer.
        monkeypatch.setattr(stopping, "BALANCER_LAG", 0.0)

        async def play():
            app = application()
            app.start()
            await asyncio.sleep(0.1)
            port = int(app.cfg.ready.rpartition(":")[2])
            with socket.create_connection(("127.0.0.1", port)):
                await asyncio.sleep(0.1)
                async with asyncio.timeout(BOUNDS.stop_time / 2):
                    await app.stop()

        asyncio.run(play())
