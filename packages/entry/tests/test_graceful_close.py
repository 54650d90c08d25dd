"""Tests of the end of a connection."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry import graceful_close
from berylstage_entry.graceful_close import PEER_CLOSED_TIMEOUT_SECONDS, GracefulClose
from virtual_time import virtual_loop


class Transport(asyncio.Transport):
    """One whose other side takes what it is told to take."""

    def __init__(self, left):
        super().__init__()
        self.left = left
        self.end = ""
        self.shut = False
        self.reading = True

    def get_write_buffer_size(self):
        return self.left

    def pause_reading(self):
        self.reading = False

    def write_eof(self):
        self.shut = True

    def close(self):
        self.end = "closed"

    def abort(self):
        self.end = "aborted"


class GoneTransport(Transport):
    """One whose other side has reset the connection."""

    def write_eof(self):
        raise OSError(107, "Transport endpoint is not connected")


@pytest.fixture
def loop():
    with virtual_loop() as loop:
        yield loop


class TestEnding:
    def test_closes_at_once_when_nothing_is_left(self, loop):
        async def play():
            transport = Transport(0)
            GracefulClose(transport, lambda: 2.0).begin()
            assert transport.end == "closed"
            assert transport.shut

        loop.run_until_complete(play())

    def test_waits_for_a_slow_side_that_goes_on_taking(self, loop):
        # Guards against cutting a large answer on a slow link.
        async def play():
            transport = Transport(100)
            GracefulClose(transport, lambda: 2.0).begin()
            assert transport.shut
            assert not transport.reading
            while transport.left:
                assert transport.end == ""
                transport.left -= 1
                await asyncio.sleep(1.0)
            assert transport.end == "closed"

        loop.run_until_complete(play())

    def test_gives_up_a_side_that_takes_nothing(self, loop):
        # Guards against connections that stay for ever and take descriptors.
        async def play():
            transport = Transport(100)
            GracefulClose(transport, lambda: 2.0).begin()
            await asyncio.sleep(1.9)
            assert transport.end == ""
            await asyncio.sleep(0.3)
            assert transport.end == "aborted"

        loop.run_until_complete(play())

    def test_other_side_that_has_ended_is_not_waited_for_long(self, loop, monkeypatch):
        # Guards against waiting for acknowledgements that a reset has ended.
        monkeypatch.setattr(graceful_close, "peer_has_closed", lambda transport: True)

        async def play():
            transport = Transport(100)
            GracefulClose(transport, lambda: 60.0).begin()
            await asyncio.sleep(2 * PEER_CLOSED_TIMEOUT_SECONDS)
            assert transport.end == "aborted"

        loop.run_until_complete(play())

    def test_connection_that_is_gone_already(self, loop):
        async def play():
            transport = GoneTransport(100)
            GracefulClose(transport, lambda: 2.0).begin()
            assert transport.end == "aborted"

        loop.run_until_complete(play())

    def test_lost_connection_is_looked_at_no_more(self, loop):
        async def play():
            transport = Transport(100)
            end = GracefulClose(transport, lambda: 2.0)
            end.begin()
            end.cancel()
            await asyncio.sleep(5.0)
            assert transport.end == ""

        loop.run_until_complete(play())
