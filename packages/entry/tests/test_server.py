"""Tests of the callers' server."""

from __future__ import annotations

import asyncio
import socket
import struct
import time

import pytest
from berylstage_entry.connection import ON_ITS_WAY, CallerConnection
from berylstage_entry.metrics import Metrics
from berylstage_entry.protocols import CallerProtocol, CallerRequest, TargetAnswer
from berylstage_entry.request_context import RoutedAnswer
from berylstage_entry.request_log import RequestLog
from berylstage_entry.server import CallerServer
from fakes import LIMITS


class PlainCallers(CallerProtocol):
    def request(self, method, uri, headers):
        return CallerRequest("id", method, "h", uri, {}, 5.0, None)

    def refusal_headers(self, retry_after):
        return []


class SlowRouter:
    """Answers after a while."""

    def __init__(self, seconds):
        self.seconds = seconds
        self.cancelled = 0
        self.served = 0
        self.time_left = 0.0

    async def serve(self, req):
        self.served += 1
        self.time_left = req.time_left
        try:
            await asyncio.sleep(self.seconds)
        except asyncio.CancelledError:
            self.cancelled += 1
            raise
        answer = TargetAnswer(200, [], b"whole", False, False, True, None, False)
        return RoutedAnswer(answer, "a", 1)


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def serve(router):
    journal = RequestLog(Metrics())
    server = CallerServer(PlainCallers(), router, journal, lambda: LIMITS)
    port = free_port()
    server.listen(f"127.0.0.1:{port}")
    return server, port


REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"
# Has a socket reset its connection when it closes.
LINGER_NONE = struct.pack("ii", 1, 0)


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
            # Beside other load the callers may take longer to come.
            while not server.standing().serving:
                await asyncio.sleep(0.01)
            server.closing = True
            server.refuse_more()
            # Connections whose last answer is not acknowledged are in flight as well.
            begun = server.standing().serving
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
        class Closing(asyncio.Transport):
            """A transport that goes on to deliver what had come before its close."""

            def __init__(self):
                super().__init__()
                self.closed = False
                self.written = b""

            def is_closing(self):
                return self.closed

            def close(self):
                self.closed = True

            def write(self, data):
                self.written += data

            def get_write_buffer_size(self):
                return 0

            def write_eof(self):
                pass

        async def play():
            router = SlowRouter(0.0)
            server, _ = serve(router)
            conn, transport = CallerConnection(server), Closing()
            conn.connection_made(transport)
            conn.data_received(REQUEST)
            await asyncio.sleep(0.01)
            assert transport.written
            transport.written = b""
            server.refuse_more()
            assert transport.closed
            conn.data_received(REQUEST)
            assert server.in_flight == 0
            await asyncio.sleep(0.01)
            assert transport.written == b""
            conn.connection_lost(None)
            assert router.served == 1
            await server.close()

        asyncio.run(play())

    def test_request_half_read_at_a_stop_is_answered(self):
        # Guards against closing a connection as idle between two parts of a request.
        async def play():
            router = SlowRouter(0.0)
            server, port = serve(router)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST[:9])
            await asyncio.sleep(0.05)
            server.closing = True
            server.refuse_more()
            assert server.in_flight == 1
            writer.write(REQUEST[9:])
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer
            writer.close()
            await server.close()

        asyncio.run(play())

    def test_request_that_stays_half_read_holds_up_no_stop(self):
        # Guards against a caller that begins a request and never ends it.
        async def play():
            server, port = serve(SlowRouter(0.0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST[:9])
            await asyncio.sleep(0.05)
            server.refuse_more()
            await asyncio.sleep(ON_ITS_WAY)
            server.close_idle()
            assert await reader.read() == b""
            assert server.in_flight == 0
            writer.close()
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


class LargeRouter:
    """Answers at once with a large body."""

    def __init__(self, size):
        self.body = b"x" * size

    async def serve(self, req):
        answer = TargetAnswer(200, [], self.body, False, False, True, None, False)
        return RoutedAnswer(answer, "a", 1)


async def connect_slowly(port):
    """Return a connection whose caller takes in little before it reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=sock, limit=2048)


async def read_slowly(reader):
    """Return all that comes until the connection ends, read a little at a time."""
    parts = []
    while part := await reader.read(65536):
        parts.append(part)
        await asyncio.sleep(0.001)
    return b"".join(parts)


async def stop(server, seconds=5.0):
    """Stop a server as the application does."""
    end = asyncio.get_running_loop().time() + seconds
    server.closing = True
    server.refuse_more()
    while server.in_flight and asyncio.get_running_loop().time() < end:
        server.close_idle()
        await asyncio.sleep(0.02)
    await server.close()


class TestStop:
    """Requests and answers that are on their way when a VM stops."""

    SIZE = 8 * 1024 * 1024

    def test_answer_that_a_slow_caller_takes_arrives_whole(self):
        # Guards against the end of the program with an answer half out.
        async def play():
            server, port = serve(LargeRouter(self.SIZE))
            reader, writer = await connect_slowly(port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            stopped = asyncio.create_task(stop(server))
            await asyncio.sleep(0.2)
            # The program would end now, and with it what has not left it.
            assert not stopped.done()
            answer = await read_slowly(reader)
            writer.close()
            await stopped
            assert len(answer.partition(b"\r\n\r\n")[2]) == self.SIZE

        asyncio.run(play())

    def test_request_unread_when_idle_connections_close_is_answered(self):
        # Guards against closing a connection as idle with a request in its socket.
        async def play():
            server, port = serve(SlowRouter(0.05))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            assert await reader.readuntil(b"whole")
            # The loop is held up: it has not read the request when the VM stops.
            writer.write(REQUEST)
            stopped = asyncio.create_task(stop(server))
            answer = await reader.read()
            await stopped
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer

        asyncio.run(play())

    def test_request_unread_when_the_idle_time_ends_is_answered(self):
        # Guards against the idle timer cutting off a request in the socket.
        async def play():
            server, port = serve(SlowRouter(0.0))
            server.idle_time = 0.2
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            # Both timers are due in one turn of the loop, which is held up.
            asyncio.get_running_loop().call_later(0.19, writer.write, REQUEST)
            await asyncio.sleep(0.1)
            time.sleep(0.2)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            await server.close()

        asyncio.run(play())

    def test_request_behind_the_last_answer_does_not_cut_it(self):
        # Guards against a reset by unread bytes that destroys an answer on its way.
        async def play():
            server, port = serve(LargeRouter(self.SIZE))
            reader, writer = await connect_slowly(port)
            server.closing = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.write(REQUEST)
            stopped = asyncio.create_task(stop(server))
            answer = await read_slowly(reader)
            writer.close()
            await stopped
            assert answer.count(b"HTTP/1.1 200") == 1
            assert len(answer.partition(b"\r\n\r\n")[2]) == self.SIZE

        asyncio.run(play())

    def test_counts_tell_what_it_has_cost(self):
        # Guards against a stop whose cut answers and late requests nobody has counted.
        async def play():
            server, port = serve(LargeRouter(self.SIZE))
            idle, kept = await asyncio.open_connection("127.0.0.1", port)
            _, writer = await connect_slowly(port)
            await asyncio.sleep(ON_ITS_WAY + 0.1)
            server.closing = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            await stop(server, 0.1)
            assert await idle.read() == b""
            counts = server.counts
            assert (counts.begun, counts.closed_idle, counts.cut) == (1, 1, 1)
            assert 0 < counts.bytes_cut < self.SIZE
            kept.close()
            writer.close()

        asyncio.run(play())


class TestCallerThatLeavesAStop:
    """Callers that close their connections while a VM stops."""

    def test_its_request_is_ended(self):
        # Guards against work that goes on, and holds a stop up, for a caller that is
        # gone and whose connection is read no further.
        async def play():
            router = SlowRouter(5.0)
            server, port = serve(router)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            stopped = asyncio.create_task(stop(server))
            await asyncio.sleep(0.1)
            writer.write(REQUEST)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.3)
            assert router.cancelled == 1
            assert server.in_flight == 0
            await stopped

        asyncio.run(play())

    @pytest.mark.parametrize("sent", [b"", REQUEST])
    def test_its_answer_is_not_waited_for(self, sent):
        # Guards against a stop that waits for a caller that is gone to take its answer.
        async def play():
            server, port = serve(LargeRouter(TestStop.SIZE))
            _reader, writer = await connect_slowly(port)
            server.closing = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.write(sent)
            await asyncio.sleep(0.1)
            stopped = asyncio.create_task(stop(server))
            await asyncio.sleep(0.1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
            writer.transport.abort()
            await asyncio.wait_for(stopped, 2.0)
            assert server.counts.cut == 0

        asyncio.run(play())


class TestTimeLimit:
    """Requests that come while the program has little time left."""

    def test_request_has_no_more_time_than_the_program(self):
        # Guards against work that is begun at a target and cut by the program's end.
        async def play():
            router = SlowRouter(0.0)
            server, port = serve(router)
            server.time_limit = lambda: 0.7
            answer = await exchange(port, REQUEST)
            assert answer.startswith(b"HTTP/1.1 200")
            assert router.time_left == pytest.approx(0.7, abs=0.1)
            await server.close()

        asyncio.run(play())

    def test_request_without_time_is_refused_at_once(self):
        async def play():
            router = SlowRouter(0.0)
            server, port = serve(router)
            server.time_limit = lambda: 0.0
            answer = await exchange(port, REQUEST)
            assert answer.startswith(b"HTTP/1.1 503")
            assert router.served == 0
            await server.close()

        asyncio.run(play())


async def exchange(port, *pieces, pause=0.0):
    """Send some bytes on a new connection and return all that comes back."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        for piece in pieces:
            writer.write(piece)
            await writer.drain()
            await asyncio.sleep(pause)
        return await asyncio.wait_for(reader.read(65536), 2.0)
    except (TimeoutError, ConnectionResetError):
        return b""
    finally:
        writer.close()


class EchoRouter:
    """Answers with the body of the request."""

    async def serve(self, req):
        answer = TargetAnswer(200, [], req.body, False, False, True, None, False)
        return RoutedAnswer(answer, "a", 1)


def head(*lines):
    return "\r\n".join(("POST /a/ HTTP/1.1", "Host: h", *lines, "", "")).encode()


class TestBadInput:
    """What callers send that is too large, cut short, slow or no request at all."""

    def test_head_over_the_limit(self):
        async def play():
            server, port = serve(EchoRouter())
            large = "X-Large: " + "x" * (LIMITS.header_bytes + 1)
            answer = await exchange(port, head(large, "Content-Length: 0"))
            assert answer.startswith(b"HTTP/1.1 431")
            assert b"Connection: close" in answer
            await server.close()

        asyncio.run(play())

    def test_body_over_the_limit(self):
        async def play():
            server, port = serve(EchoRouter())
            size = LIMITS.body_bytes + 1
            answer = await exchange(port, head(f"Content-Length: {size}"), b"x" * size)
            assert answer.startswith(b"HTTP/1.1 413")
            await server.close()

        asyncio.run(play())

    def test_bodies_that_would_fill_the_memory(self):
        # Several callers send large bodies at once. A VM that buffers them all is
        # killed for its memory, and every request on it is lost; the last caller is
        # told when to come back instead.
        async def play():
            server, port = serve(SlowRouter(0.3))
            server.body_memory = 1500
            text = head("Content-Length: 1000") + b"x" * 1000
            first = asyncio.create_task(exchange(port, text))
            await asyncio.sleep(0.1)
            assert (await exchange(port, text)).startswith(b"HTTP/1.1 503")
            assert (await first).startswith(b"HTTP/1.1 200")
            assert (await exchange(port, text)).startswith(b"HTTP/1.1 200")
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(text[:-100])
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            assert server.hold(1500)
            await server.close()

        asyncio.run(play())

    def test_body_in_chunks(self):
        async def play():
            server, port = serve(EchoRouter())
            chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            answer = await exchange(port, head("Transfer-Encoding: chunked"), chunks)
            assert answer.startswith(b"HTTP/1.1 200")
            assert answer.endswith(b"abcde")
            await server.close()

        asyncio.run(play())

    def test_what_is_no_request_is_never_served(self):
        # Two lengths in one request, or bytes that are none: taken in two ways, a part
        # of one caller's body would be served as another's request.
        async def play():
            server, port = serve(EchoRouter())
            for text in (
                b"\x16\x03\x01 not a request\r\n\r\n",
                head("Content-Length: 3", "Content-Length: 5") + b"abcde",
                head("Content-Length: 3", "Transfer-Encoding: chunked") + b"abc",
                head("Content-Length: -1"),
            ):
                answer = await exchange(port, text)
                assert not answer.startswith(b"HTTP/1.1 200"), text
            await server.close()

        asyncio.run(play())

    def test_slow_caller_holds_up_nobody(self):
        # A caller sends its request a few bytes at a time. Others on the same VM must
        # not wait for it, and it gets its answer in the end.
        async def play():
            server, port = serve(EchoRouter())
            text = head("Content-Length: 3") + b"abc"
            pieces = [text[i : i + 8] for i in range(0, len(text), 8)]
            slow = asyncio.create_task(exchange(port, *pieces, pause=0.05))
            for _ in range(5):
                began = asyncio.get_running_loop().time()
                answer = await exchange(port, head("Content-Length: 1") + b"z", b"")
                assert answer.endswith(b"z")
                assert asyncio.get_running_loop().time() - began < 0.3
            assert (await slow).endswith(b"abc")
            await server.close()

        asyncio.run(play())

    def test_two_requests_sent_at_once_are_answered_in_order(self):
        async def play():
            server, port = serve(EchoRouter())
            both = b"".join(head("Content-Length: 1") + body.encode() for body in "ab")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(both)
            for body in (b"a", b"b"):
                await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(1) == body
            writer.close()
            await server.close()

        asyncio.run(play())
