"""Tests of the graceful close of a connection."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry import graceful_close
from berylstage_entry.graceful_close import PEER_CLOSED_TIMEOUT_SECONDS, GracefulClose
from virtual_time import virtual_loop


class Transport(asyncio.Transport):
    """A transport whose unacknowledged bytes are set by the test."""

    def __init__(self, unacknowledged):
        super().__init__()
        self.unacknowledged = unacknowledged
        self.result = ""
        self.eof_written = False
        self.reading = True

    def get_write_buffer_size(self):
        return self.unacknowledged

    def pause_reading(self):
        self.reading = False

    def write_eof(self):
        self.eof_written = True

    def close(self):
        self.result = "closed"

    def abort(self):
        self.result = "aborted"


class ResetTransport(Transport):
    """A transport whose peer has reset the connection."""

    def write_eof(self):
        raise OSError(107, "Transport endpoint is not connected")


@pytest.fixture
def loop():
    with virtual_loop() as loop:
        yield loop


class TestGracefulClose:
    def test_closes_immediately_when_all_is_acknowledged(self, loop):
        async def scenario():
            transport = Transport(0)
            GracefulClose(transport, lambda: 2.0).begin()
            assert transport.result == "closed"
            assert transport.eof_written

        loop.run_until_complete(scenario())

    def test_waits_for_a_slow_peer_that_makes_progress(self, loop):
        # Guards against cutting off a large response on a slow link.
        async def scenario():
            transport = Transport(100)
            GracefulClose(transport, lambda: 2.0).begin()
            assert transport.eof_written
            assert not transport.reading
            while transport.unacknowledged:
                assert transport.result == ""
                transport.unacknowledged -= 1
                await asyncio.sleep(1.0)
            assert transport.result == "closed"

        loop.run_until_complete(scenario())

    def test_aborts_when_the_peer_makes_no_progress(self, loop):
        # Guards against connections that stay open forever and use up descriptors.
        async def scenario():
            transport = Transport(100)
            GracefulClose(transport, lambda: 2.0).begin()
            await asyncio.sleep(1.9)
            assert transport.result == ""
            await asyncio.sleep(0.3)
            assert transport.result == "aborted"

        loop.run_until_complete(scenario())

    def test_aborts_soon_after_the_peer_has_closed(self, loop, monkeypatch):
        # Guards against waiting for acknowledgements that never arrive after a reset.
        monkeypatch.setattr(graceful_close, "peer_has_closed", lambda transport: True)

        async def scenario():
            transport = Transport(100)
            GracefulClose(transport, lambda: 60.0).begin()
            await asyncio.sleep(2 * PEER_CLOSED_TIMEOUT_SECONDS)
            assert transport.result == "aborted"

        loop.run_until_complete(scenario())

    def test_aborts_when_the_peer_has_reset_the_connection(self, loop):
        async def scenario():
            transport = ResetTransport(100)
            GracefulClose(transport, lambda: 2.0).begin()
            assert transport.result == "aborted"

        loop.run_until_complete(scenario())

    def test_cancel_stops_the_checks(self, loop):
        async def scenario():
            transport = Transport(100)
            result = GracefulClose(transport, lambda: 2.0)
            result.begin()
            result.cancel()
            await asyncio.sleep(5.0)
            assert transport.result == ""

        loop.run_until_complete(scenario())
