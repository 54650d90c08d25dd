"""Tests of the internal HTTP servers."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from berylstage_entry.internal_http import CLOSE_TIMEOUT_SECONDS, InternalServer
from berylstage_entry.responses import Response
from test_server import connect_without_loop, read_until_closed

LARGE_BODY_BYTES = 4 * 1024 * 1024
SLOW_REQUEST = b"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
LARGE_REQUEST = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"


async def respond_slowly(body):
    await asyncio.sleep(0.1)
    return Response(200, body=b"whole")


async def never_respond(body):
    await asyncio.sleep(60)
    return Response(200)


def start_server():
    """Return a server with three handlers, and its port."""
    server = InternalServer(
        {
            "/slow": respond_slowly,
            "/endless": never_respond,
            "/large": lambda body: Response(200, body=b"x" * LARGE_BODY_BYTES),
        }
    )
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    server.listen(f"127.0.0.1:{port}")
    return server, port


class TestCancellation:
    """Handlers whose caller closes the connection."""

    @pytest.mark.parametrize("is_cancellable", [True, False])
    def test_handler_ends_with_its_connection(self, is_cancellable):
        # Guards against work for a caller that has left.
        ends = []

        async def handle(body):
            try:
                await asyncio.sleep(0.3)
                ends.append("finished")
            except asyncio.CancelledError:
                ends.append("cancelled")
                raise
            return Response(200)

        async def scenario():
            cancellable = frozenset({"/slow"} if is_cancellable else ())
            server = InternalServer({"/slow": handle}, cancellable)
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                port = sock.getsockname()[1]
            server.listen(f"127.0.0.1:{port}")
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(SLOW_REQUEST)
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.4)
            await server.close()

        asyncio.run(scenario())
        assert ends == ["cancelled" if is_cancellable else "finished"]


class TestClose:
    """Requests and responses in transit when the process exits."""

    def test_pending_request_is_answered(self):
        # Guards against cutting off a response about the coordinator role.
        async def scenario():
            server, port = start_server()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(SLOW_REQUEST)
            await asyncio.sleep(0.05)
            closed = asyncio.create_task(server.close())
            assert (await reader.read()).endswith(b"whole")
            writer.close()
            await closed

        asyncio.run(scenario())

    def test_unread_request_is_answered(self):
        # Guards against closing a connection while its socket has an unread request.
        async def scenario():
            server, port = start_server()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(SLOW_REQUEST)
            assert await reader.readuntil(b"whole")
            # The event loop has not read the request yet when the server closes.
            writer.write(SLOW_REQUEST)
            closed = asyncio.create_task(server.close())
            assert (await reader.read()).endswith(b"whole")
            writer.close()
            await closed

        asyncio.run(scenario())

    def test_request_of_an_unaccepted_connection_is_answered(self):
        # Guards against resetting a relayed request whose connection the event loop has
        # not accepted when the server closes.
        async def scenario():
            server, port = start_server()
            await asyncio.sleep(0.05)
            clients = connect_without_loop(port, 8, SLOW_REQUEST)
            await server.close()
            return [read_until_closed(client) for client in clients]

        for answer in asyncio.run(scenario()):
            assert answer.endswith(b"whole")

    def test_reply_counts_as_pending_until_it_has_left(self):
        # Guards against a stop that cuts the reply to a relayed request, because the
        # request counts as done when its handler returns.
        async def scenario():
            server, port = start_server()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=2048
            )
            writer.write(LARGE_REQUEST)
            await asyncio.sleep(0.1)
            assert server.count_pending("/large") == 1
            assert server.count_pending("/slow") == 0
            head = await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(LARGE_BODY_BYTES)
            await asyncio.sleep(0.1)
            assert head.startswith(b"HTTP/1.1 200")
            assert server.count_pending("/large") == 0
            writer.close()
            await server.close()

        asyncio.run(scenario())

    def test_partly_sent_response_arrives_complete(self):
        # Guards against exiting while a response is partly sent.
        async def scenario():
            server, port = start_server()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=2048
            )
            writer.write(LARGE_REQUEST)
            await asyncio.sleep(0.1)
            closed = asyncio.create_task(server.close())
            await asyncio.sleep(0.1)
            assert not closed.done()
            answer = await reader.read()
            writer.close()
            await closed
            assert len(answer.partition(b"\r\n\r\n")[2]) == LARGE_BODY_BYTES

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        "sent", [b"GET /endless HTTP/1.1\r\nHost: h\r\n\r\n", LARGE_REQUEST, b"GET /sl"]
    )
    def test_close_has_a_timeout(self, sent):
        # Guards against a shutdown that waits for a handler or a client that never
        # finishes.
        async def scenario():
            server, port = start_server()
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=2048)
            writer.write(sent)
            await asyncio.sleep(0.1)
            began = time.monotonic()
            await server.close()
            assert time.monotonic() - began < CLOSE_TIMEOUT_SECONDS + 0.5
            writer.close()

        asyncio.run(scenario())

    def test_idle_connections_do_not_delay_the_close(self):
        # Guards against a shutdown that takes longer because of keep-alive connections.
        async def scenario():
            server, port = start_server()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(SLOW_REQUEST)
            assert await reader.readuntil(b"whole")
            await asyncio.sleep(0.05)
            began = time.monotonic()
            await server.close()
            assert time.monotonic() - began < CLOSE_TIMEOUT_SECONDS / 2
            assert await reader.read() == b""
            writer.close()

        asyncio.run(scenario())
