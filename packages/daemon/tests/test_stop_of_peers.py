"""Tests of what other VMs see that pass requests to a daemon while it stops."""

from __future__ import annotations

import asyncio
import socket
import time
from threading import Thread
from types import SimpleNamespace

import pytest
from berylstage_daemon import servers
from berylstage_daemon.answers import Answer, Outcome
from berylstage_daemon.application import EXIT_OK, Application
from berylstage_daemon.config import read_settings
from berylstage_daemon.peers import PeerLink, PeerLost, PeerNotReached
from berylstage_messages.peer_pb2 import ANSWERED, ForwardRequest
from berylstage_sheet.configuration import (
    Configuration,
    Kind,
    Ownership,
    RequestClass,
    Service,
)

LONG_ENOUGH_S = 20.0
WORK_S = 0.1
# Time for another VM to connect and send while the loop of this one is held up.
HELD_UP_S = 0.5
# Less than the window of HTTP/2, so that all of it is handed to the connection.
LARGE_BYTES = 3_500_000
OTHER_VMS = 4
REQUEST = ForwardRequest(
    request_id="r", service="field-log", kind="lookup", remaining_ms=5000
)


class OtherVm(Thread):
    """Another VM, with a loop of its own, that passes a request.

    Its loop may be held up after some seconds, so that it takes nothing meanwhile.
    """

    def __init__(self, address, held_up_after=None):
        super().__init__()
        self._address = address
        self._held_up_after = held_up_after
        self.reply = None

    def run(self):
        """Pass the request."""
        asyncio.run(self._pass())

    async def _pass(self):
        link = PeerLink(self._address)
        if self._held_up_after is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(self._held_up_after, time.sleep, 2 * HELD_UP_S)
        try:
            self.reply = await link.forward(REQUEST, LONG_ENOUGH_S)
        except (PeerLost, PeerNotReached) as exc:
            self.reply = exc
        link.close()

    def is_answered(self, body):
        """Tell whether the request was answered with a body."""
        outcome = getattr(self.reply, "outcome", None)
        return outcome == ANSWERED and self.reply.body == body


class Daemon:
    """A real application of which only the other VMs' server has started."""

    def __init__(self):
        self.address = _free_address()
        flags = {"vm": "almaty-a-1", "data-centre": "almaty-a", "peer": self.address}
        flags |= {"platform": "127.0.0.1:1", "shutdown-limit": "30"}
        self.app = Application(read_settings(flags, {}))
        self.body = b"done"
        self.served = 0
        self.app.control.node = SimpleNamespace(
            leave=lambda: None, leads_anything=lambda: False
        )
        self.app.control.configuration = _configuration
        self.app.leaders.serve = self._serve

    async def stop(self, deed):
        """Stop, and do something with the loop held up as the drain ends."""

        async def drain():
            deed()
            time.sleep(HELD_UP_S)

        self.app.load.drain = drain
        async with asyncio.timeout(LONG_ENOUGH_S):
            return await self.app.stop()

    async def _serve(self, req, target, may_decline):
        """Work as a target does."""
        self.served += 1
        await asyncio.sleep(WORK_S)
        return Answer(Outcome.ANSWERED, 200, body=self.body)


def _configuration():
    """Return one service with one kind."""
    kinds = {"lookup": Kind("lookup", RequestClass.INTERACTIVE, True, 5000)}
    service = Service("field-log", "saryarka", Ownership.OWNED, 8, kinds)
    return Configuration(1, {"field-log": service}, {}, {}, {}, [])


def _free_address():
    """Return an address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:{}".format(sock.getsockname()[1])


@pytest.fixture
def play(monkeypatch):
    """Return how to play a scenario with a daemon that serves other VMs."""
    monkeypatch.setattr(servers, "BALANCER_LAG", 0.0)

    def run(scenario):
        async def whole():
            daemon = Daemon()
            await daemon.app.parts()[0].start()
            return await scenario(daemon)

        return asyncio.run(whole())

    return run


class TestForwardedRequests:
    def test_request_of_an_unaccepted_connection_is_answered(self, play):
        # Guards against a stop that ends with requests which it has not read, and
        # whose callers are told that they may have run.
        async def scenario(daemon):
            others = [OtherVm(daemon.address) for _ in range(OTHER_VMS)]
            status = await daemon.stop(lambda: [other.start() for other in others])
            for other in others:
                await asyncio.to_thread(other.join)
            return status, [other.is_answered(b"done") for other in others]

        assert play(scenario) == (EXIT_OK, OTHER_VMS * [True])

    def test_answer_that_is_taken_slowly_is_sent_to_its_end(self, play):
        # Guards against the end of the program with an answer in its buffers.
        async def scenario(daemon):
            daemon.body = bytes(LARGE_BYTES)
            other = OtherVm(daemon.address, WORK_S / 2)
            other.start()
            while not daemon.served:
                await asyncio.sleep(0.005)
            status = await daemon.stop(lambda: None)
            return status, other

        status, other = play(scenario)
        other.join()
        assert (status, other.is_answered(bytes(LARGE_BYTES))) == (EXIT_OK, True)

    def test_idle_connection_does_not_hold_up_the_stop(self, play):
        # Other VMs keep their connections. The stop must not wait for them.
        async def scenario(daemon):
            link = PeerLink(daemon.address)
            await link.forward(REQUEST, LONG_ENOUGH_S)
            began = time.monotonic()
            status = await daemon.stop(lambda: None)
            seconds = time.monotonic() - began
            link.close()
            return status, seconds < HELD_UP_S + 2.0

        assert play(scenario) == (EXIT_OK, True)
