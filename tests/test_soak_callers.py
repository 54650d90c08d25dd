"""Tests of the soak's callers."""

from __future__ import annotations

import asyncio
import time

import pytest
from berylstage_transfers.answer_head import InvalidAnswer
from soak.callers import Caller, Request
from soak.links import BYTES_PER_MBIT, MAX_PENDING_SECONDS, Link


class TestCaller:
    """Which outcomes callers behind a slow link record."""

    SMALL = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
    LAST = SMALL.replace(b"\r\n", b"\r\nConnection: close\r\n", 1)

    def send_lookups(self, ledger, sent, lookups=1, link=None, ends=True):
        """Return the outcomes of lookups at a server that sends ``sent``."""

        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(sent)
                await writer.drain()
                if not ends:
                    await asyncio.sleep(1.0)
            finally:
                writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            caller = Caller(address, link or Link(10.0), ledger)
            requests = [Request(f"lookup-{n}", n) for n in range(lookups)]
            try:
                await asyncio.wait_for(caller.send_requests(requests, 0.0), 5.0)
            finally:
                caller.close()
                server.close()
            return [ledger.answers[r.request_id][1:3] for r in requests]

        return asyncio.run(scenario())

    def test_answers_of_several_requests(self, ledger):
        assert self.send_lookups(ledger, 2 * self.SMALL, 2, ends=False) == 2 * [
            (200, b"ok")
        ]

    def test_partial_answer_is_recorded(self, ledger):
        # Guards against recording a truncated answer as no answer at all.
        assert self.send_lookups(ledger, self.SMALL[:-1], 2) == [
            (0, self.SMALL[:-1]),
            (0, b""),
        ]

    def test_connection_that_ends_without_an_answer(self, ledger):
        assert self.send_lookups(ledger, b"") == [(0, b"")]

    def test_answer_that_is_not_valid_http_ends_the_soak(self, ledger):
        # Guards against a soak that is less strict than the callers it stands for.
        malformed = self.SMALL.replace(b"Content-Length:", b"Content-Length :")
        with pytest.raises(InvalidAnswer):
            self.send_lookups(ledger, malformed)

    def test_nothing_is_expected_after_the_last_answer(self, ledger):
        # A VM accepts no request on a connection after it has announced the close.
        outcomes = self.send_lookups(ledger, self.LAST, 2, ends=False)
        assert outcomes == [(200, b"ok"), (0, b"")]

    def test_whole_requests_that_are_never_answered(self, ledger):
        # Guards against a soak that takes requests reset unread for never sent.
        self.send_lookups(ledger, b"", 2)
        assert len(self.find_dropped(ledger)) == 2

    def test_whole_requests_behind_the_last_answer(self, ledger):
        self.send_lookups(ledger, self.LAST, 2, ends=False)
        assert self.find_dropped(ledger) == []

    def find_dropped(self, ledger):
        """Return the violations if the server was a VM told to stop just before."""
        for number in range(2):
            ledger.record_request(f"lookup-{number}", 0, "vm-1")
        ledger.record_stop("vm-1", time.monotonic() - 1.0, 0)
        return [line for line in ledger.find_violations() if "dropped" in line]

    def test_answer_takes_the_time_of_its_link(self, ledger):
        # Without this delay no answer would be in flight when a VM stops.
        size = BYTES_PER_MBIT // 2
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
        began = time.monotonic()
        ((status, body),) = self.send_lookups(
            ledger, head + bytes(size), link=Link(1.0)
        )
        assert (status, len(body)) == (200, size)
        assert time.monotonic() - began >= 0.5

    def test_upload_refused_before_its_end_closes_the_connection(self, ledger):
        # The next request on the connection would be read as the rest of the body.
        body_bytes = 50_000_000

        async def serve(reader, writer):
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
                await asyncio.sleep(1.0)
            finally:
                writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            caller = Caller(address, Link(10.0), ledger)
            request = Request("upload-1", None, 0, body_bytes)
            await asyncio.wait_for(caller.send_requests([request], 0.0), 5.0)
            server.close()
            return ledger.answers["upload-1"][1], caller.is_open()

        assert asyncio.run(scenario()) == (503, False)

    def test_slow_reader_spreads_its_reads(self, ledger):
        # Without slow readers no answer would wait in the memory of a VM.
        size = 100_000
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + bytes(size))
            await writer.drain()
            writer.close()

        async def scenario():
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            address = server.sockets[0].getsockname()
            caller = Caller(address, Link(1000.0), ledger)
            request = Request("lookup-1", 1, size)
            request.read_seconds = 0.5
            began = time.monotonic()
            await asyncio.wait_for(caller.send_requests([request], 0.0), 5.0)
            caller.close()
            server.close()
            return ledger.answers["lookup-1"][1], time.monotonic() - began

        status, seconds = asyncio.run(scenario())
        assert status == 200
        assert seconds >= 0.5

    def test_link_accepts_no_more_than_a_stop_can_transfer(self):
        # Answers that the link can't transfer in time would be reported as lost.
        link = Link(10.0)
        most = int(MAX_PENDING_SECONDS * 10.0 * BYTES_PER_MBIT)
        assert link.has_room(most)
        link.add_pending_bytes(1)
        assert not link.has_room(most)
        link.add_pending_bytes(-1)
        assert link.has_room(most)
