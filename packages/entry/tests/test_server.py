"""Tests of the HTTP server for callers."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
import struct
import time
from contextlib import contextmanager
from itertools import cycle
from unittest import mock

import pytest
from berylstage_entry.connection import IN_TRANSIT_SECONDS, CallerConnection
from berylstage_entry.errors import OverQuota, Refused, UnknownApiKey
from berylstage_entry.metrics import Metrics
from berylstage_entry.protocols import CallerProtocol, CallerRequest, TargetAnswer
from berylstage_entry.request_log import RequestLog
from berylstage_entry.routed_answer import RoutedAnswer
from berylstage_entry.server import CallerServer
from fakes import LIMITS

# Ports below those that the kernel gives to connections, from one that depends on the
# process on.
FIRST_PORT, LAST_PORT = 12000, 32000
START_PORT = FIRST_PORT + os.getpid() * 97 % (LAST_PORT - FIRST_PORT)
PORTS = cycle([*range(START_PORT, LAST_PORT), *range(FIRST_PORT, START_PORT)])


class PlainCallerProtocol(CallerProtocol):
    def parse_request(self, method, uri, headers):
        return CallerRequest("id", method, "h", uri, {}, 5.0, None)

    def retry_after_headers(self, retry_after):
        return []


class SlowRouter:
    """Answers after a delay."""

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
    """Return a port that no connection of another process takes meanwhile."""
    for port in PORTS:
        with socket.socket() as sock:
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        return port


def start_server(router):
    request_log = RequestLog(Metrics())
    server = CallerServer(PlainCallerProtocol(), router, request_log, lambda: LIMITS)
    port = free_port()
    server.listen(f"127.0.0.1:{port}")
    return server, port


REQUEST = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"
# Value of SO_LINGER that resets the connection when the socket is closed.
LINGER_RESET = struct.pack("ii", 1, 0)


class TestCallerServer:
    def test_keep_alive_connection_serves_several_requests(self):
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(3):
                writer.write(REQUEST)
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 200")
                assert await reader.readexactly(5) == b"whole"
            writer.close()
            await server.close()

        asyncio.run(scenario())

    @pytest.mark.parametrize(
        ("exc", "status"),
        [(OverQuota(0.2, "w"), 429), (Refused("r", 0.2), 503), (UnknownApiKey(), 401)],
    )
    def test_status_tells_why_a_request_has_not_run(self, exc, status):
        class Router:
            async def serve(self, req):
                raise exc

        async def scenario():
            server, port = start_server(Router())
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            head = await reader.readuntil(b"\r\n\r\n")
            assert head.startswith(f"HTTP/1.1 {status}".encode())
            writer.close()
            await server.close()

        asyncio.run(scenario())

    def test_refused_head_leaves_the_connection_in_step(self):
        # Guards against a body after the answer to HEAD, which the caller reads as the
        # answer to its next request.
        class Router:
            async def serve(self, req):
                raise UnknownApiKey

        async def scenario():
            server, port = start_server(Router())
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            for _ in range(2):
                writer.write(REQUEST.replace(b"GET", b"HEAD"))
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.startswith(b"HTTP/1.1 401")
            writer.close()
            await server.close()

        asyncio.run(scenario())

    def test_no_request_is_cut_during_shutdown(self):
        # The VM stops while callers keep using their open connections. If a request
        # were read at the last moment and not answered, its caller would not know
        # whether its order was placed.
        async def scenario():
            server, port = start_server(SlowRouter(0.1))
            failures = []

            async def call_repeatedly():
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                while True:
                    try:
                        writer.write(REQUEST)
                        await writer.drain()
                        head = await reader.readuntil(b"\r\n\r\n")
                        body = await reader.readexactly(5)
                    except (OSError, asyncio.IncompleteReadError) as exc:
                        partial = getattr(exc, "partial", b"")
                        failures.append(partial)
                        return
                    assert body == b"whole"
                    if b"Connection: close" in head:
                        writer.close()
                        return
                    await asyncio.sleep(0.03)

            callers = [asyncio.create_task(call_repeatedly()) for _ in range(20)]
            await asyncio.sleep(0.3)
            # On a loaded machine, the callers may take longer to connect.
            while not server.pending_work().serving:
                await asyncio.sleep(0.01)
            server.is_stopping = True
            server.start_draining()
            # Connections with an unacknowledged last response are in flight as well.
            serving_at_stop = server.pending_work().serving
            while server.in_flight:
                await asyncio.sleep(0.01)
            await server.close()
            await asyncio.gather(*callers)
            assert serving_at_stop
            # Callers without a pending request find their connection closed; the others
            # received their responses.
            assert len(failures) <= 20 - serving_at_stop

        asyncio.run(scenario())

    def test_request_received_after_close_is_not_executed(self):
        # The VM stops and closes an idle connection just as a request on it has been
        # read and not yet started. Its caller retries at another VM when it sees the
        # close; if the request ran here as well, an order would be placed twice.
        class DeliveringTransport(asyncio.Transport):
            """A transport that delivers earlier data even after its close."""

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

        async def scenario():
            router = SlowRouter(0.0)
            server, _ = start_server(router)
            conn, transport = CallerConnection(server), DeliveringTransport()
            conn.connection_made(transport)
            conn.data_received(REQUEST)
            await asyncio.sleep(0.01)
            assert transport.written
            transport.written = b""
            server.start_draining()
            assert transport.closed
            conn.data_received(REQUEST)
            assert server.in_flight == 0
            await asyncio.sleep(0.01)
            assert transport.written == b""
            conn.connection_lost(None)
            assert router.served == 1
            await server.close()

        asyncio.run(scenario())

    def test_connection_registered_after_close_is_closed_unread(self):
        # Guards against an order that is read, sent and cut by a VM that has stopped:
        # its connection was accepted before the close and registered after it.
        async def scenario():
            router = SlowRouter(0.0)
            server, _ = start_server(router)
            await asyncio.sleep(0.01)
            await server.close()
            ours, theirs = socket.socketpair()
            loop = asyncio.get_running_loop()
            ours.setblocking(False)
            theirs.sendall(REQUEST)
            await loop.connect_accepted_socket(lambda: CallerConnection(server), ours)
            await asyncio.sleep(0.05)
            theirs.setblocking(False)
            try:
                answer = theirs.recv(1)
            except ConnectionResetError:
                answer = b""
            theirs.close()
            return router.served, answer

        assert asyncio.run(scenario()) == (0, b"")

    def test_partly_read_request_is_answered_during_shutdown(self):
        # Guards against closing a connection as idle while a request is partly read.
        async def scenario():
            router = SlowRouter(0.0)
            server, port = start_server(router)
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST[:9])
            await asyncio.sleep(0.05)
            server.is_stopping = True
            server.start_draining()
            assert server.in_flight == 1
            writer.write(REQUEST[9:])
            answer = await reader.read()
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer
            writer.close()
            await server.close()

        asyncio.run(scenario())

    def test_incomplete_request_does_not_delay_shutdown(self):
        # Guards against a caller that never completes its request.
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST[:9])
            await asyncio.sleep(0.05)
            server.start_draining()
            await asyncio.sleep(IN_TRANSIT_SECONDS)
            server.close_idle_connections()
            assert await reader.read() == b""
            assert server.in_flight == 0
            writer.close()
            await server.close()

        asyncio.run(scenario())

    def test_closed_connection_cancels_the_request(self):
        # A caller closes its connection. If its request went on, it would occupy a slot
        # that waiting callers need.
        async def scenario():
            router = SlowRouter(5.0)
            server, port = start_server(router)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.close()
            await asyncio.sleep(0.1)
            assert router.cancelled == 1
            assert server.in_flight == 0
            await server.close()

        asyncio.run(scenario())


class LargeRouter:
    """Answers immediately with a large body."""

    def __init__(self, size):
        self.body = b"x" * size

    async def serve(self, req):
        answer = TargetAnswer(200, [], self.body, False, False, True, None, False)
        return RoutedAnswer(answer, "a", 1)


async def connect_with_small_buffer(port):
    """Return a connection whose caller buffers little data before it reads."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, ("127.0.0.1", port))
    return await asyncio.open_connection(sock=sock, limit=2048)


async def read_slowly(reader):
    """Return all data until the connection closes, reading in small parts."""
    parts = []
    while part := await reader.read(65536):
        parts.append(part)
        await asyncio.sleep(0.001)
    return b"".join(parts)


def connect_without_loop(port, count, request=REQUEST):
    """Return connections with a whole request each, while the event loop is held up."""
    callers = [socket.create_connection(("127.0.0.1", port)) for _ in range(count)]
    for caller in callers:
        caller.sendall(request)
    return callers


async def keep_connections(port, count):
    """Return idle connections on which one request has been answered."""
    loop = asyncio.get_running_loop()
    callers = connect_without_loop(port, count)
    for caller in callers:
        caller.setblocking(False)
        answer = b""
        while not answer.endswith(b"whole"):
            answer += await loop.sock_recv(caller, 65536)
        caller.setblocking(True)
    return callers


@contextmanager
def no_free_descriptor():
    """Let no further descriptor be opened by this process."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    with socket.socket() as highest:
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest.fileno(), hard))
        highest.close()
        try:
            yield
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def read_until_closed(caller):
    """Return all data of a blocking socket, and close it; empty after a reset."""
    with caller:
        caller.settimeout(1.0)
        data = b""
        try:
            while part := caller.recv(65536):
                data += part
        except ConnectionResetError:
            return b""
        return data


async def shut_down(server, seconds=5.0):
    """Shut a server down as the application does."""
    end = asyncio.get_running_loop().time() + seconds
    server.is_stopping = True
    server.start_draining()
    while server.in_flight and asyncio.get_running_loop().time() < end:
        server.close_idle_connections()
        await asyncio.sleep(0.02)
    await server.close()


class TestShutdown:
    """Requests and responses in transit when a VM stops."""

    SIZE = 8 * 1024 * 1024

    def test_slow_caller_receives_the_complete_response(self):
        # Guards against exiting while a response is partly sent.
        async def scenario():
            server, port = start_server(LargeRouter(self.SIZE))
            reader, writer = await connect_with_small_buffer(port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            stopped = asyncio.create_task(shut_down(server))
            await asyncio.sleep(0.2)
            # If the process exited now, the rest of the response would be lost.
            assert not stopped.done()
            answer = await read_slowly(reader)
            writer.close()
            await stopped
            assert len(answer.partition(b"\r\n\r\n")[2]) == self.SIZE

        asyncio.run(scenario())

    def test_request_unread_when_idle_connections_close_is_answered(self):
        # Guards against closing a connection as idle while its socket has an unread
        # request.
        async def scenario():
            server, port = start_server(SlowRouter(0.05))
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            assert await reader.readuntil(b"whole")
            # The event loop has not read the request yet when the VM stops.
            writer.write(REQUEST)
            stopped = asyncio.create_task(shut_down(server))
            answer = await reader.read()
            await stopped
            assert answer.startswith(b"HTTP/1.1 200")
            assert b"Connection: close" in answer

        asyncio.run(scenario())

    def test_request_unread_when_the_idle_time_ends_is_answered(self):
        # Guards against an idle timeout that closes a connection with an unread
        # request.
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            server.idle_timeout = 0.2
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            # The loop is blocked, so that both timers are due in one iteration.
            asyncio.get_running_loop().call_later(0.19, writer.write, REQUEST)
            await asyncio.sleep(0.1)
            time.sleep(0.2)
            assert (await reader.read()).startswith(b"HTTP/1.1 200")
            await server.close()

        asyncio.run(scenario())

    def test_later_request_does_not_reset_the_last_response(self):
        # Guards against a reset, caused by unread bytes, that destroys a response in
        # transit.
        async def scenario():
            server, port = start_server(LargeRouter(self.SIZE))
            reader, writer = await connect_with_small_buffer(port)
            server.is_stopping = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.write(REQUEST)
            stopped = asyncio.create_task(shut_down(server))
            answer = await read_slowly(reader)
            writer.close()
            await stopped
            assert answer.count(b"HTTP/1.1 200") == 1
            assert len(answer.partition(b"\r\n\r\n")[2]) == self.SIZE

        asyncio.run(scenario())

    def test_connection_that_closes_with_unread_bytes_is_counted(self):
        # Guards against a request that is reset with its connection and leaves no
        # trace in the logs of the VM.
        async def scenario():
            server, port = start_server(LargeRouter(self.SIZE))
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            await asyncio.sleep(0.05)
            (conn,) = server._connections
            server.is_stopping = True
            conn.stop_taking_requests()
            conn._transport.pause_reading()
            writer.write(REQUEST)
            await asyncio.sleep(0.05)
            conn.close_now()
            await asyncio.sleep(0.05)
            assert server.counts.closed_unread == 1
            writer.close()

        asyncio.run(scenario())

    def test_counts_of_a_shutdown(self):
        # Guards against cut responses and late requests that are not counted.
        async def scenario():
            server, port = start_server(LargeRouter(self.SIZE))
            idle, kept = await asyncio.open_connection("127.0.0.1", port)
            _, writer = await connect_with_small_buffer(port)
            await asyncio.sleep(IN_TRANSIT_SECONDS + 0.1)
            server.is_stopping = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            await shut_down(server, 0.1)
            assert await idle.read() == b""
            counts = server.counts
            assert (
                counts.requests_received,
                counts.idle_closed,
                counts.connections_cut,
            ) == (1, 1, 1)
            assert 0 < counts.bytes_cut < self.SIZE
            kept.close()
            writer.close()

        asyncio.run(scenario())


class TestAcceptQueue:
    """Established connections that the event loop has not accepted when a VM stops."""

    CONNECTIONS = 30

    def test_requests_of_unaccepted_connections_are_answered(self):
        # Guards against closing the listening socket of a loop that is late, which
        # resets the connections in its accept queue with their requests.
        async def scenario():
            server, port = start_server(SlowRouter(0.05))
            await asyncio.sleep(0.05)
            callers = connect_without_loop(port, self.CONNECTIONS)
            await shut_down(server)
            return [read_until_closed(caller) for caller in callers]

        answers = asyncio.run(scenario())
        assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * len(answers)

    def test_requests_are_answered_once_descriptors_are_free(self):
        # Guards against closing the listening socket, or failing the stop, while no
        # descriptor is free for the connections that wait.
        async def scenario():
            server, port = start_server(SlowRouter(0.05))
            await asyncio.sleep(0.05)
            callers = connect_without_loop(port, 3)
            with no_free_descriptor():
                stopped = asyncio.create_task(shut_down(server))
                await asyncio.sleep(0.05)
                assert server.in_flight
            await stopped
            return [read_until_closed(caller) for caller in callers]

        for answer in asyncio.run(scenario()):
            assert answer.startswith(b"HTTP/1.1 200")

    def test_empty_queue_does_not_delay_the_shutdown(self):
        # Guards against a stop that takes longer although no connection waits.
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            await asyncio.sleep(0.05)
            server.is_stopping = True
            server.start_draining()
            assert server.in_flight == 0
            with pytest.raises(ConnectionRefusedError):
                socket.create_connection(("127.0.0.1", port))
            await server.close()

        asyncio.run(scenario())


class TestBytesWhileClosing:
    """Bytes that arrive between the decision to close a connection and its close."""

    def test_request_is_answered(self):
        # Guards against resetting requests that arrive while a stopping VM closes
        # hundreds of idle connections in one turn of the event loop.
        async def scenario():
            server, port = start_server(SlowRouter(0.05))
            callers = await keep_connections(port, 20)
            server.is_stopping = True
            server.start_draining()
            for caller in callers[::2]:
                caller.sendall(REQUEST)
            await asyncio.sleep(0)
            await shut_down(server)
            assert server.counts.closed_unread == 0
            assert server.counts.idle_closed == len(callers) // 2
            return [read_until_closed(caller) for caller in callers]

        answers = asyncio.run(scenario())
        assert [answer[:12] for answer in answers[::2]] == [b"HTTP/1.1 200"] * 10
        assert answers[1::2] == [b""] * 10

    def test_request_at_the_end_of_the_idle_time_is_answered(self):
        # Guards against resetting a request that arrives in the turn of the event loop
        # in which the idle timeout of its connection ends.
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            (caller,) = await keep_connections(port, 1)
            (conn,) = server._connections
            conn._close_idle()
            caller.sendall(REQUEST)
            await asyncio.sleep(0.1)
            assert len(server._connections) == 1
            await server.close()
            return read_until_closed(caller)

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")

    def test_connection_that_cannot_be_kept_is_forgotten(self, monkeypatch):
        # Guards against connections that count for good although nobody reads them.
        async def refuse(factory, sock):
            raise OSError("no memory")

        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            (caller,) = await keep_connections(port, 1)
            (conn,) = server._connections
            loop = asyncio.get_running_loop()
            monkeypatch.setattr(loop, "connect_accepted_socket", refuse)
            conn._close_idle()
            caller.sendall(REQUEST)
            await asyncio.sleep(0.1)
            assert not server._connections
            await server.close()
            caller.close()

        asyncio.run(scenario())

    def test_request_behind_an_unacknowledged_answer_is_answered(self):
        # Guards against closing a connection whose caller has not got its last answer,
        # and resetting the request that it sends next.
        async def scenario():
            server, port = start_server(SlowRouter(0.0))
            (caller,) = await keep_connections(port, 1)
            (conn,) = server._connections
            unacknowledged = mock.PropertyMock(return_value=10)
            with mock.patch.object(type(conn), "unacknowledged_bytes", unacknowledged):
                server.is_stopping = True
                server.start_draining()
                await asyncio.sleep(0.02)
                caller.sendall(REQUEST)
                await asyncio.sleep(0.1)
            await shut_down(server)
            return read_until_closed(caller)

        assert asyncio.run(scenario()).startswith(b"HTTP/1.1 200")

    def test_request_is_continued_where_it_was(self):
        # Guards against reading the rest of a request as a request of its own.
        async def scenario():
            router = SlowRouter(0.0)
            server, port = start_server(router)
            (caller,) = await keep_connections(port, 1)
            caller.sendall(head("Content-Length: 58")[:20])
            await asyncio.sleep(IN_TRANSIT_SECONDS + 0.1)
            server.is_stopping = True
            server.start_draining()
            caller.sendall(head("Content-Length: 58")[20:] + REQUEST * 2)
            await asyncio.sleep(0)
            await shut_down(server)
            assert router.served == 2
            return read_until_closed(caller)

        assert len(REQUEST * 2) == 58
        assert asyncio.run(scenario()).count(b"HTTP/1.1 200") == 1


class TestLoggedCuts:
    """What the end of a stop counts as a connection that was cut."""

    async def close_while_unacknowledged(self):
        """Close a server right after an answer; return it and what its caller read."""
        server, port = start_server(SlowRouter(0.02))
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        # After some exchanges the kernel of the caller delays acknowledgements.
        for _ in range(30):
            writer.write(REQUEST)
            await reader.readuntil(b"whole")
        (conn,) = server._connections
        server.is_stopping = True
        writer.write(REQUEST)
        async with asyncio.timeout(2.0):
            while not conn.is_serving:
                await asyncio.sleep(0)
            while conn.is_serving:
                await asyncio.sleep(0)
        assert conn.unacknowledged_bytes
        await server.close()
        answer = await reader.read()
        writer.close()
        return server, answer

    def test_answer_that_is_only_unacknowledged_is_not_cut(self):
        # Guards against warnings about answers that their callers receive whole, which
        # hide the warnings about lost ones.
        server, answer = asyncio.run(self.close_while_unacknowledged())
        assert answer.startswith(b"HTTP/1.1 200")
        assert answer.endswith(b"whole")
        assert server.counts.connections_cut == 0

    def test_request_behind_an_answer_that_is_not_received_is_cut(self):
        # Guards against a reset that destroys an answer in transit, caused by an unread
        # request behind it, and leaves no warning.
        async def scenario():
            server, port = start_server(LargeRouter(300_000))
            _, writer = await connect_with_small_buffer(port)
            server.is_stopping = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.write(REQUEST)
            await shut_down(server, 0.1)
            assert server.counts.connections_cut == 1
            assert server.counts.bytes_cut > 0
            writer.close()

        asyncio.run(scenario())

    def test_request_that_is_served_is_cut(self):
        # Guards against a request that may have run and ends without a warning.
        async def scenario():
            server, port = start_server(SlowRouter(5.0))
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            server.is_stopping = True
            writer.write(REQUEST)
            await asyncio.sleep(0.05)
            began = time.monotonic()
            await server.close()
            assert time.monotonic() - began < 0.04
            assert server.counts.connections_cut == 1
            writer.close()

        asyncio.run(scenario())

    def test_caller_that_never_reads_delays_the_close_for_a_moment_at_most(self):
        # Guards against an exit after the grace time, when the process is killed.
        async def scenario():
            server, port = start_server(LargeRouter(100_000))
            _, writer = await connect_with_small_buffer(port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            began = time.monotonic()
            await server.close()
            assert time.monotonic() - began < 0.2
            assert server.counts.connections_cut == 1
            writer.close()

        asyncio.run(scenario())


class TestCallerLeavesDuringShutdown:
    """Callers that close their connections during a shutdown."""

    def test_its_request_is_cancelled(self):
        # Guards against a request that runs on and delays the shutdown, although its
        # caller has left; reading of the connection is paused, so nothing reports this.
        async def scenario():
            router = SlowRouter(5.0)
            server, port = start_server(router)
            _, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            stopped = asyncio.create_task(shut_down(server))
            await asyncio.sleep(0.1)
            writer.write(REQUEST)
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.3)
            assert router.cancelled == 1
            assert server.in_flight == 0
            await stopped

        asyncio.run(scenario())

    @pytest.mark.parametrize("sent", [b"", REQUEST])
    def test_its_response_does_not_delay_shutdown(self, sent):
        # Guards against a shutdown that waits for a caller which has left to read its
        # response.
        async def scenario():
            server, port = start_server(LargeRouter(TestShutdown.SIZE))
            _reader, writer = await connect_with_small_buffer(port)
            server.is_stopping = True
            writer.write(REQUEST)
            await asyncio.sleep(0.1)
            writer.write(sent)
            await asyncio.sleep(0.1)
            stopped = asyncio.create_task(shut_down(server))
            await asyncio.sleep(0.1)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            writer.transport.abort()
            await asyncio.wait_for(stopped, 2.0)
            assert server.counts.connections_cut == 0

        asyncio.run(scenario())


class TestShutdownTimeLeft:
    """Requests that arrive when little time is left before the process exits."""

    def test_time_left_is_capped_by_the_shutdown(self):
        # Guards against a request that is sent to a target and cut by the process exit.
        async def scenario():
            router = SlowRouter(0.0)
            server, port = start_server(router)
            server.shutdown_time_left = lambda: 0.7
            answer = await exchange(port, REQUEST)
            assert answer.startswith(b"HTTP/1.1 200")
            assert router.time_left == pytest.approx(0.7, abs=0.1)
            await server.close()

        asyncio.run(scenario())

    def test_request_without_time_left_is_rejected(self):
        async def scenario():
            router = SlowRouter(0.0)
            server, port = start_server(router)
            server.shutdown_time_left = lambda: 0.0
            answer = await exchange(port, REQUEST)
            assert answer.startswith(b"HTTP/1.1 503")
            assert router.served == 0
            await server.close()

        asyncio.run(scenario())


async def exchange(port, *pieces, pause=0.0):
    """Send data on a new connection and return the response."""
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


class TestInvalidInput:
    """Requests that are too large, incomplete, slow or invalid."""

    def test_head_over_the_limit(self):
        async def scenario():
            server, port = start_server(EchoRouter())
            large = "X-Large: " + "x" * (LIMITS.header_bytes + 1)
            answer = await exchange(port, head(large, "Content-Length: 0"))
            assert answer.startswith(b"HTTP/1.1 431")
            assert b"Connection: close" in answer
            await server.close()

        asyncio.run(scenario())

    def test_body_over_the_limit(self):
        async def scenario():
            server, port = start_server(EchoRouter())
            size = LIMITS.body_bytes + 1
            answer = await exchange(port, head(f"Content-Length: {size}"), b"x" * size)
            assert answer.startswith(b"HTTP/1.1 413")
            await server.close()

        asyncio.run(scenario())

    def test_body_memory_is_limited(self):
        # Several callers send large bodies at once. If a VM buffered them all, it would
        # be killed for its memory use and lose all its requests. Instead, the last
        # caller is told when to retry.
        async def scenario():
            server, port = start_server(SlowRouter(0.3))
            server.memory.budget.capacity = 1500
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
            assert server.memory.reserve_body(1500)
            await server.close()

        asyncio.run(scenario())

    def test_chunked_body(self):
        async def scenario():
            server, port = start_server(EchoRouter())
            chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
            answer = await exchange(port, head("Transfer-Encoding: chunked"), chunks)
            assert answer.startswith(b"HTTP/1.1 200")
            assert answer.endswith(b"abcde")
            await server.close()

        asyncio.run(scenario())

    def test_invalid_requests_are_not_served(self):
        # Guards against request smuggling: with two lengths in a request, or an invalid
        # one, a part of one caller's body could be served as another's request.
        async def scenario():
            server, port = start_server(EchoRouter())
            for text in (
                b"\x16\x03\x01 not a request\r\n\r\n",
                head("Content-Length: 3", "Content-Length: 5") + b"abcde",
                head("Content-Length: 3", "Transfer-Encoding: chunked") + b"abc",
                head("Content-Length: -1"),
            ):
                answer = await exchange(port, text)
                assert not answer.startswith(b"HTTP/1.1 200"), text
            await server.close()

        asyncio.run(scenario())

    def test_slow_caller_does_not_delay_others(self):
        # A caller sends its request a few bytes at a time. Other callers of the VM must
        # not wait for it, and it finally receives its response.
        async def scenario():
            server, port = start_server(EchoRouter())
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

        asyncio.run(scenario())

    def test_pipelined_requests_are_answered_in_order(self):
        async def scenario():
            server, port = start_server(EchoRouter())
            both = b"".join(head("Content-Length: 1") + body.encode() for body in "ab")
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(both)
            for body in (b"a", b"b"):
                await reader.readuntil(b"\r\n\r\n")
                assert await reader.readexactly(1) == body
            writer.close()
            await server.close()

        asyncio.run(scenario())
