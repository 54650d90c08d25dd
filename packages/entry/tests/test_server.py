"""Tests of the callers' server."""

from __future__ import annotations

import asyncio
import socket

from berylstage_entry.journal import RequestJournal
from berylstage_entry.journey import Answered
from berylstage_entry.metrics import Metrics
from berylstage_entry.server import CallerServer
from berylstage_entry.wire import CallerRequest, CallerWire, TargetAnswer
from fakes import LIMITS
from tornado.httputil import HTTPHeaders, RequestStartLine


class PlainCallers(CallerWire):
    def request(self, method, uri, headers):
        return CallerRequest("id", method, "h", uri, {}, 5.0, None)

    def refusal_headers(self, retry_after):
        return []


class SlowRouter:
    """Answers after a while."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.cancelled = 0

    async def serve(self, req):
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        answer = TargetAnswer(200, [], b"whole", False, False, True, None, False)
        return Answered(answer, "a", 1)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def serve(router):
    journal = RequestJournal(Metrics())
    server = CallerServer(PlainCallers(), router, journal, lambda: LIMITS)
    port = free_port()
    server.listen(f"127.0.0.1:{port}")
    return server, port


REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"


class TestCallerServer:
    def test_answers_on_a_kept_connection(self):
        async def play():
            server, port = serve(SlowRouter(0.0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(3):
                writer.write(REQUEST)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(5) == b"whole"
            writer.close()
            await server.close()

        asyncio.run(play())

    def test_no_request_is_cut_when_it_stops(self):
        # The VM stops while callers go on using connections that they have kept open. A
        # request read in the last moment would end without an answer, and its caller
        # would not know whether its order was placed.
        async def play():
            server, port = serve(SlowRouter(0.1))
            cut = []

            async def call_on():
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                while True:
                    try:
                        writer.write(REQUEST)
                        await writer.drain()
                        head = await reader.readuntil(b"\r\n\r\n")
                        body = await reader.readexactly(5)
                    except (OSError, asyncio.IncompleteReadError) as exc:
                        partial = getattr(exc, "partial", b"")
                        cut.append(partial)
                        return
                    assert body == b"whole"
                    if b"Connection: close" in head:
                        writer.close()
                        return
                    await asyncio.sleep(0.03)

            callers = [asyncio.create_task(call_on()) for _ in range(20)]
            await asyncio.sleep(0.3)
            server.closing = True
            server.refuse_more()
            begun = server.in_flight
            while server.in_flight:
                await asyncio.sleep(0.01)
            await server.close()
            await asyncio.gather(*callers)
            assert begun
            # Those that had no request under way find their connection closed; the
            # others got their answers.
            assert len(cut) <= 20 - begun

        asyncio.run(play())

    def test_request_that_crosses_the_close_does_not_run(self):
        # The VM stops and closes a connection as idle in the moment in which a request
        # on it has been read and not yet begun. Its caller sees the close and sends
        # it elsewhere; run here as well it would be an order placed twice.
        class ClosedStream:
            def closed(self):
                return True

        class Link:
            stream = ClosedStream()

        async def play():
            router = SlowRouter(0.0)
            server, _ = serve(router)
            link = Link()
            exchange = server.start_request(link, None)
            start = RequestStartLine("GET", "/a/", "HTTP/1.1")
            exchange.headers_received(start, HTTPHeaders())
            exchange.finish()
            assert server.in_flight == 0
            assert exchange._task is None
            await server.close()

        asyncio.run(play())

    def test_caller_that_leaves_ends_the_work(self):
        # A caller gives up and closes its connection. Work that goes on for it keeps a
        # slot from callers who still wait.
        async def play():
            router = SlowRouter(5.0)
            server, port = serve(router)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            assert router.cancelled == 1
            assert server.in_flight == 0
            await server.close()

        asyncio.run(play())
