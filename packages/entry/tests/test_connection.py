"""Tests of a caller's connection."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry import request_intake
from berylstage_entry.connection import CallerConnection
from berylstage_entry.errors import Refused
from berylstage_entry.memory.connection_memory import MAX_UNPARSED_BYTES
from berylstage_entry.metrics import Metrics
from berylstage_entry.protocols import CallerProtocol, CallerRequest, TargetAnswer
from berylstage_entry.request_intake import MAX_PIPELINED_REQUESTS
from berylstage_entry.request_log import RequestLog
from berylstage_entry.routed_answer import RoutedAnswer
from berylstage_entry.server import CallerServer
from fakes import LIMITS
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_time import virtual_loop


class PlainCallerProtocol(CallerProtocol):
    def parse_request(self, method, uri, headers):
        return CallerRequest(uri, method, "h", uri, {}, 5.0, None)

    def retry_after_headers(self, retry_after):
        return [("Retry-After", str(retry_after))]


class ManualRouter:
    """Answers a request with its path as the body, when `finish` is called."""

    def __init__(self):
        self.started = []
        self.cancelled = []
        self.size = 0
        self._futures = {}

    async def serve(self, req):
        self.started.append(req.path)
        future = self._futures[req.path] = asyncio.get_running_loop().create_future()
        try:
            await future
        except asyncio.CancelledError:
            self.cancelled.append(req.path)
            raise
        body = req.path.encode() + req.body + b"x" * self.size
        answer = TargetAnswer(200, [], body, False, False, True, None, False)
        return RoutedAnswer(answer, "a", 1)

    def finish(self, path, exc=None):
        if exc is not None:
            self._futures[path].set_exception(exc)
        else:
            self._futures[path].set_result(None)


class Transport(asyncio.Transport):
    """Records written data and whether reading is paused."""

    def __init__(self):
        super().__init__()
        self.written = b""
        self.closed = False
        self.reading = True

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def write_eof(self):
        pass

    def close(self):
        self.closed = True

    def is_closing(self):
        return self.closed

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    @property
    def bodies(self):
        """Bodies of the responses written so far."""
        parts = self.written.split(b"HTTP/1.1 ")[1:]
        return [part.split(b"\r\n\r\n", 1)[1].decode() for part in parts]


class ConnectionHarness:
    """A connection with a fake transport and a manual router."""

    def __init__(self, idle_timeout=60.0):
        self.router = ManualRouter()
        request_log = RequestLog(Metrics())
        callers = PlainCallerProtocol()
        self.server = CallerServer(callers, self.router, request_log, lambda: LIMITS)
        self.server.idle_timeout = idle_timeout
        self.transport = Transport()
        self.conn = CallerConnection(self.server)
        self.conn.connection_made(self.transport)

    def send(self, data):
        self.conn.data_received(data)

    async def run_loop(self):
        for _ in range(4):
            await asyncio.sleep(0)

    async def finish(self, path, exc=None):
        self.router.finish(path, exc)
        await self.run_loop()


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


def post(path, body=b"", *lines):
    head = [f"POST {path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join([*head, "", ""]).encode() + body


@pytest.fixture
def run_in_virtual_time():
    """Return a function that runs a step on a new connection in virtual time."""

    def run(step):
        with virtual_loop() as loop:

            async def run_step():
                return await step(ConnectionHarness())

            return loop.run_until_complete(run_step())

    return run


class TestPipelining:
    def test_safe_requests_start_as_they_are_read(self, run_in_virtual_time):
        # A caller pipelines three lookups. If they were served one after the other, the
        # last would wait for two others, and no queue would account for that time.
        async def step(harness):
            harness.send(get("/a") + get("/b") + get("/c"))
            await harness.run_loop()
            assert harness.router.started == ["/a", "/b", "/c"]

        run_in_virtual_time(step)

    def test_responses_are_written_in_request_order(self, run_in_virtual_time):
        async def step(harness):
            harness.send(get("/a") + get("/b") + get("/c"))
            await harness.run_loop()
            await harness.finish("/c")
            await harness.finish("/b")
            assert harness.transport.bodies == []
            await harness.finish("/a")
            assert harness.transport.bodies == ["/a", "/b", "/c"]
            assert harness.server.in_flight == 0

        run_in_virtual_time(step)

    def test_unsafe_request_waits_and_blocks_later_requests(self, run_in_virtual_time):
        # An order follows a lookup. If both ran concurrently and the connection closed
        # with the lookup's response, the outcome of the order would be unknown.
        async def step(harness):
            harness.send(get("/a") + post("/order", b"1") + get("/b"))
            await harness.run_loop()
            assert harness.router.started == ["/a"]
            await harness.finish("/a")
            assert harness.router.started == ["/a", "/order"]
            await harness.finish("/order")
            assert harness.router.started == ["/a", "/order", "/b"]
            await harness.finish("/b")
            assert harness.transport.bodies == ["/a", "/order1", "/b"]

        run_in_virtual_time(step)

    def test_time_waited_on_the_connection_is_counted(self, run_in_virtual_time):
        seen = []

        async def step(harness):
            real = harness.router.serve
            harness.router.serve = lambda req: seen.append(req.waited) or real(req)
            harness.send(post("/a") + post("/b"))
            await harness.run_loop()
            await asyncio.sleep(0.5)
            await harness.finish("/a")
            assert seen == [0.0, pytest.approx(0.5)]

        run_in_virtual_time(step)

    def test_pipelined_requests_per_connection_are_limited(self, run_in_virtual_time):
        # A caller pipelines a thousand lookups. They must not use up the VM's memory
        # or all slots of its targets.
        async def step(harness):
            paths = [f"/{n}" for n in range(1000)]
            harness.send(b"".join(get(path) for path in paths))
            await harness.run_loop()
            assert len(harness.router.started) == MAX_PIPELINED_REQUESTS
            assert len(harness.conn._exchanges) < 200
            for path in paths:
                await harness.finish(path)
            assert harness.transport.bodies == paths

        run_in_virtual_time(step)

    def test_reading_pauses_when_the_input_buffer_is_full(self, run_in_virtual_time):
        # A caller keeps sending while its first order is being served.
        async def step(harness):
            harness.send(post("/a"))
            harness.send(b"".join(post("/b", b"y" * 900) for _ in range(100)))
            assert not harness.transport.reading
            assert len(harness.conn.intake.unparsed) < MAX_UNPARSED_BYTES + 100_000
            await harness.run_loop()
            await harness.finish("/a")
            while harness.server.in_flight:
                await harness.finish("/b")
            assert harness.transport.reading
            assert len(harness.transport.bodies) == 101

        run_in_virtual_time(step)

    def test_no_request_starts_while_writing_is_paused(self, run_in_virtual_time):
        async def step(harness):
            harness.send(get("/a"))
            await harness.run_loop()
            harness.conn.pause_writing()
            harness.send(get("/b") + get("/c"))
            await harness.run_loop()
            assert harness.router.started == ["/a"]
            await harness.finish("/a")
            harness.conn.resume_writing()
            await harness.run_loop()
            assert harness.router.started == ["/a", "/b", "/c"]

        run_in_virtual_time(step)

    def test_buffered_responses_count_against_the_body_memory(
        self, run_in_virtual_time
    ):
        # Large responses wait for a slow first one. No further request starts while
        # they fill the body memory, and all of that memory is released afterwards.
        async def step(harness):
            harness.server.memory.budget.capacity = 1000
            harness.router.size = 1000
            harness.send(get("/a") + get("/b"))
            await harness.run_loop()
            await harness.finish("/b")
            harness.send(get("/c"))
            await harness.run_loop()
            assert harness.router.started == ["/a", "/b"]
            await harness.finish("/a")
            assert harness.router.started == ["/a", "/b", "/c"]
            await harness.finish("/c")
            assert harness.server.memory.reserve_body(1000)

        run_in_virtual_time(step)


class TestClose:
    def test_closed_connection_cancels_all_its_requests(self, run_in_virtual_time):
        async def step(harness):
            harness.send(get("/a") + get("/b") + post("/c"))
            await harness.run_loop()
            harness.conn.connection_lost(None)
            await harness.run_loop()
            assert harness.router.cancelled == ["/a", "/b"]
            assert harness.server.in_flight == 0
            assert harness.server.memory.reserve_body(
                harness.server.memory.budget.capacity
            )

        run_in_virtual_time(step)

    def test_data_after_connection_close_is_not_executed(self, run_in_virtual_time):
        # The caller announced its last request. Data after it may come from someone
        # else, or be a part of the body that was parsed as a request.
        async def step(harness):
            last = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            harness.send(last + get("/b"))
            harness.send(get("/c"))
            await harness.run_loop()
            assert harness.router.started == ["/a"]
            await harness.finish("/a")
            assert harness.transport.bodies == ["/a"]
            assert b"Connection: close" in harness.transport.written
            assert harness.transport.closed

        run_in_virtual_time(step)

    def test_requests_already_read_are_answered_at_shutdown(self, run_in_virtual_time):
        # The VM stops while two lookups of a caller are served. If the first response
        # closed the connection, the second one would be lost.
        async def step(harness):
            harness.send(get("/a") + get("/b"))
            await harness.run_loop()
            harness.server.is_stopping = True
            harness.server.start_draining()
            await harness.finish("/a")
            assert not harness.transport.closed
            await harness.finish("/b")
            assert harness.transport.bodies == ["/a", "/b"]
            assert harness.transport.written.count(b"Connection: close") == 1
            assert harness.transport.closed

        run_in_virtual_time(step)

    def test_continuous_pipelining_does_not_delay_shutdown(self, run_in_virtual_time):
        # Guards against one caller that delays the shutdown until it is cut off.
        async def step(harness):
            harness.send(get("/a") + get("/b")[:9])
            await harness.run_loop()
            harness.server.is_stopping = True
            harness.server.start_draining()
            assert harness.transport.reading
            harness.send(get("/b")[9:])
            await harness.run_loop()
            assert not harness.transport.reading
            await harness.finish("/a")
            assert not harness.transport.closed
            await harness.finish("/b")
            assert harness.transport.bodies == ["/a", "/b"]
            assert harness.transport.closed
            assert harness.transport.written.count(b"Connection: close") == 1

        run_in_virtual_time(step)

    def test_reading_stops_while_the_last_response_is_sent(self, run_in_virtual_time):
        # Guards against reading a request that will not be answered.
        async def step(harness):
            harness.send(get("/a"))
            await harness.run_loop()
            harness.server.is_stopping = True
            harness.server.start_draining()
            harness.transport.get_write_buffer_size = lambda: 10
            await harness.finish("/a")
            assert not harness.transport.closed
            assert not harness.transport.reading
            harness.conn.connection_lost(None)

        run_in_virtual_time(step)

    def test_partly_read_request_is_served_at_shutdown(self, run_in_virtual_time):
        # Guards against a response that closes the connection during a partly read
        # request.
        async def step(harness):
            harness.send(get("/a") + get("/b")[:9])
            await harness.run_loop()
            harness.server.is_stopping = True
            harness.server.start_draining()
            await harness.finish("/a")
            assert not harness.transport.closed
            harness.send(get("/b")[9:])
            await harness.run_loop()
            await harness.finish("/b")
            assert harness.transport.bodies == ["/a", "/b"]
            assert harness.transport.closed

        run_in_virtual_time(step)

    def test_partial_head_has_no_request_id(self, run_in_virtual_time):
        # Guards against logging an answered request as cut.
        async def step(harness):
            harness.send(get("/a"))
            await harness.run_loop()
            assert harness.conn.last_request_id == "/a"
            await harness.finish("/a")
            assert harness.conn.last_request_id == "/a"
            harness.send(get("/b")[:9])
            assert harness.conn.last_request_id == ""

        run_in_virtual_time(step)

    def test_rejected_request_does_not_affect_others(self, run_in_virtual_time):
        async def step(harness):
            harness.send(get("/a") + get("/b") + get("/c"))
            await harness.run_loop()
            await harness.finish("/b", Refused("owner-busy", 0.1))
            await harness.finish("/a")
            await harness.finish("/c")
            codes = [p[:3] for p in harness.transport.written.split(b"HTTP/1.1 ")[1:]]
            assert codes == [b"200", b"503", b"200"]
            assert not harness.transport.closed

        run_in_virtual_time(step)

    def test_only_idle_connections_time_out(self, run_in_virtual_time):
        async def step(_):
            harness = ConnectionHarness(idle_timeout=2.0)
            await asyncio.sleep(1.0)
            harness.send(get("/a"))
            await asyncio.sleep(9.0)
            assert not harness.transport.closed
            await harness.finish("/a")
            await asyncio.sleep(1.5)
            assert not harness.transport.closed
            await asyncio.sleep(3.0)
            assert harness.transport.closed

        run_in_virtual_time(step)

    def test_incomplete_head_times_out(self, run_in_virtual_time):
        # Guards against callers that send a head one byte at a time for hours, and use
        # up the file descriptors of the VM.
        async def step(_):
            harness = ConnectionHarness(idle_timeout=2.0)
            for byte in b"GET /a HTTP/1.1\r\nHost: hhhhhhhh":
                harness.send(bytes([byte]))
                await asyncio.sleep(0.2)
            assert harness.transport.closed

        run_in_virtual_time(step)


MALFORMED = [
    b"GET /a HTTP/1.1\nHost: h\n\nGET /b",
    b"GET /a HTTP/1.1\r\nHost: h\r\n folded: x\r\n\r\n",
    b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    b"POST /a HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    b"POST /a HTTP/1.1\r\nTransfer-Encoding: xchunked\r\n\r\nabc",
    b"POST /a HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
    b"POST /a HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
    b"POST /a HTTP/1.1\r\nContent-Length: 1 2\r\n\r\nab",
    b"GET /a\x00b HTTP/1.1\r\nHost: h\r\n\r\n",
    b"GET /a HTTP/1.1\r\nHost: h\x00\r\n\r\n",
    b"GET /a HTTP/1.1\r\nHost : h\r\n\r\n",
    b"GET /a HTTP/9.9\r\nHost: h\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
]


class TestMalformed:
    """Invalid requests, and requests that two parsers could interpret differently."""

    @pytest.mark.parametrize("data", MALFORMED)
    def test_is_rejected_and_later_data_is_not_executed(
        self, run_in_virtual_time, data
    ):
        # Guards against request smuggling: if a proxy in front of this VM parses the
        # data differently, a part of one caller's body would be executed as a request
        # of another caller.
        async def step(harness):
            harness.send(data + get("/smuggled"))
            harness.send(get("/smuggled"))
            await harness.run_loop()
            assert "/smuggled" not in harness.router.started
            for path in list(harness.router.started):
                await harness.finish(path)
            assert harness.transport.closed or harness.transport.written == b""
            assert "/smuggled" not in harness.router.started

        run_in_virtual_time(step)

    def test_error_response_follows_earlier_responses(self, run_in_virtual_time):
        async def step(harness):
            harness.send(get("/a") + b"no request\r\n\r\n")
            await harness.run_loop()
            await harness.finish("/a")
            assert harness.transport.written.startswith(b"HTTP/1.1 200")
            assert b"HTTP/1.1 400" in harness.transport.written
            assert harness.transport.closed

        run_in_virtual_time(step)

    @settings(max_examples=60, deadline=None)
    @given(st.binary(max_size=300))
    def test_arbitrary_bytes_leave_no_state(self, data):
        with virtual_loop() as loop:

            async def step():
                harness = ConnectionHarness()
                harness.send(data)
                harness.send(get("/a") + get("/b"))
                await harness.run_loop()
                harness.conn.connection_lost(None)
                await harness.run_loop()
                assert harness.server.in_flight == 0
                assert harness.server.memory.reserve_body(
                    harness.server.memory.budget.capacity
                )

            loop.run_until_complete(step())


OFFER = ("Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c", "HTTP2-Settings: AAMA")
CHUNKED_OFFER = (
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
    + "\r\n".join(OFFER)
    + "\r\n\r\n4\r\nGET \r\n3\r\n /b\r\n0\r\n\r\n"
).encode()


class TestUpgradeOffers:
    """Requests that offer an upgrade of the protocol, which is declined."""

    @pytest.mark.parametrize("size", [1, 7, 10_000])
    @pytest.mark.parametrize("order", [post("/a", b"GET  /b", *OFFER), CHUNKED_OFFER])
    def test_body_belongs_to_the_request(self, run_in_virtual_time, order, size):
        # Guards against an order that a target runs with an empty body.
        async def step(harness):
            for first in range(0, len(order), size):
                harness.send(order[first : first + size])
                await harness.run_loop()
            assert harness.router.started == ["/a"]
            await harness.finish("/a")
            assert harness.transport.bodies == ["/aGET  /b"]

        run_in_virtual_time(step)

    def test_request_waits_for_its_body(self, run_in_virtual_time):
        # Guards against an order that is run before its body has arrived.
        async def step(harness):
            order = post("/a", b"body", *OFFER)
            harness.send(order[:-1])
            await harness.run_loop()
            assert harness.router.started == []
            harness.send(order[-1:])
            await harness.run_loop()
            assert harness.router.started == ["/a"]

        run_in_virtual_time(step)

    def test_next_requests_are_served(self, run_in_virtual_time):
        # Guards against a connection on which every later request is lost.
        async def step(harness):
            offer = get("/a").replace(
                b"Host: h", "\r\n".join(["Host: h", *OFFER]).encode()
            )
            harness.send(offer + post("/b", b"body", *OFFER) + get("/c"))
            for path in ("/a", "/b", "/c"):
                await harness.run_loop()
                await harness.finish(path)
            assert harness.transport.bodies == ["/a", "/bbody", "/c"]

        run_in_virtual_time(step)

    def test_nothing_after_a_last_request_is_run(self, run_in_virtual_time):
        # Guards against a request that a proxy doesn't see, as the one before it closes
        # the connection.
        async def step(harness):
            order = post("/a", b"body", "Connection: close", *OFFER)
            harness.send(order + get("/b"))
            await harness.run_loop()
            assert harness.router.started == ["/a"]
            await harness.finish("/a")
            assert harness.router.started == ["/a"]

        run_in_virtual_time(step)

    def test_body_beyond_the_limit_is_refused(self, run_in_virtual_time):
        # Guards against a body that fills the memory since it comes after an offer.
        async def step(harness):
            harness.send(post("/a", b"x" * (LIMITS.body_bytes + 1), *OFFER))
            await harness.run_loop()
            assert harness.router.started == []
            assert b"HTTP/1.1 413" in harness.transport.written

        run_in_virtual_time(step)

    def test_bytes_after_connect_are_no_request(self, run_in_virtual_time):
        # Guards against running what a caller has sent for another destination.
        async def step(harness):
            harness.send(b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" + get("/b"))
            await harness.run_loop()
            assert "/b" not in harness.router.started

        run_in_virtual_time(step)


# For each request: whether it is a lookup, the length of an order's body, and its rank
# in the order in which requests finish.
REQUESTS = st.lists(
    st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 99)),
    min_size=1,
    max_size=12,
)


class TestArbitraryOrder:
    @settings(max_examples=150, deadline=None)
    @given(REQUESTS, st.lists(st.integers(1, 60), min_size=1, max_size=40))
    def test_each_response_belongs_to_its_request(self, requests, chunk_sizes):
        # Requests arrive in chunks of any length and finish in any order. A response to
        # the wrong request would disclose data to another caller.
        with virtual_loop() as loop:
            loop.run_until_complete(self.run_all(requests, chunk_sizes))

    async def run_all(self, requests, chunk_sizes):
        harness = ConnectionHarness()
        data, expected = b"", []
        for n, (is_safe, size, _) in enumerate(requests):
            body = b"b" * size
            data += get(f"/{n}") if is_safe else post(f"/{n}", body)
            expected.append(f"/{n}" + ("" if is_safe else "b" * size))
        finish_order = {f"/{n}": order for n, (_, _, order) in enumerate(requests)}
        at = 0
        for length in [*chunk_sizes, len(data)]:
            harness.send(data[at : at + length])
            at += length
            await harness.run_loop()
        while harness.server.in_flight:
            running = [path for path in harness.router.started if path in finish_order]
            first = min(running, key=finish_order.get)
            unsafe = [p for p in running if not requests[int(p[1:])][0]]
            # An order never runs concurrently with another request.
            assert not unsafe or len(running) == 1
            del finish_order[first]
            await harness.finish(first)
        assert harness.transport.bodies == expected
        assert harness.server.memory.reserve_body(harness.server.memory.budget.capacity)


class TestSlowHeads:
    """Heads that arrive slowly, or stop."""

    TIMEOUT = 5.0

    @pytest.fixture
    def run(self, run_in_virtual_time):
        def run(step):
            async def run_step(harness):
                harness.server.header_timeout = self.TIMEOUT
                await step(harness)

            run_in_virtual_time(run_step)

        return run

    def test_head_that_takes_too_long_is_refused(self, run):
        # Guards against connections that callers hold open by a byte now and then.
        async def step(harness):
            harness.send(get("/a"))
            await harness.run_loop()
            await harness.finish("/a")
            head = post("/b", b"", "a: " + "x" * 1000)
            for byte in head[: int(self.TIMEOUT) - 1]:
                harness.send(bytes([byte]))
                await asyncio.sleep(1.0)
            assert b"408" not in harness.transport.written
            await asyncio.sleep(1.1)
            assert b"HTTP/1.1 408" in harness.transport.written
            harness.send(head[int(self.TIMEOUT) :])
            await harness.run_loop()
            assert harness.router.started == ["/a"]

        run(step)

    def test_head_that_arrives_in_time_is_served(self, run):
        # Guards against a time that counts from an earlier request.
        async def step(harness):
            for path in ("/a", "/b", "/c"):
                request = get(path)
                harness.send(request[:20])
                await asyncio.sleep(self.TIMEOUT - 1.0)
                harness.send(request[20:])
                await harness.run_loop()
                await harness.finish(path)
            assert harness.transport.bodies == ["/a", "/b", "/c"]

        run(step)

    def test_head_behind_a_request_that_is_served_waits(self, run):
        # Guards against refusals of heads that the VM itself has no time to parse.
        async def step(harness):
            requests = b"".join(get(f"/{n}") for n in range(MAX_PIPELINED_REQUESTS))
            harness.send(requests + get("/last")[:-2])
            await asyncio.sleep(self.TIMEOUT - 1.0)
            harness.send(b"\r\n")
            await asyncio.sleep(2.0)
            for n in range(MAX_PIPELINED_REQUESTS):
                await harness.finish(f"/{n}")
            assert "/last" in harness.router.started

        run(step)


class TestTurns:
    """Shares of the event loop that the parsing of one connection gets."""

    CHUNKS = 5000

    def test_short_chunks_do_not_hold_up_other_connections(
        self, run_in_virtual_time, monkeypatch
    ):
        # Guards against bodies that take long to parse and hold up all other callers.
        monkeypatch.setattr(request_intake, "PARSE_TURN_SECONDS", 0.0)

        async def step(harness):
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            harness.send(head + b"1\r\nx\r\n" * self.CHUNKS + b"0\r\n\r\n" + get("/c"))
            other = CallerConnection(harness.server)
            other.connection_made(Transport())
            other.data_received(get("/b"))
            await harness.run_loop()
            assert harness.router.started == ["/b"]
            assert not harness.conn.close_if_idle()
            for _ in range(self.CHUNKS):
                await harness.run_loop()
            assert harness.router.started == ["/b", "/a"]
            await harness.finish("/a")
            await harness.run_loop()
            await harness.finish("/c")
            assert harness.transport.bodies == ["/a" + "x" * self.CHUNKS, "/c"]

        run_in_virtual_time(step)

    def test_requests_that_were_read_are_answered_in_a_stop(
        self, run_in_virtual_time, monkeypatch
    ):
        # Guards against a stop that loses requests which wait to be parsed.
        monkeypatch.setattr(request_intake, "PARSE_TURN_SECONDS", 0.0)

        async def step(harness):
            filler = b"\r\n" * 3000
            harness.send(filler + get("/a"))
            assert harness.conn.has_pending_work
            harness.server.is_stopping = True
            harness.server.start_draining()
            for _ in range(4):
                await harness.run_loop()
            await harness.finish("/a")
            assert harness.transport.bodies == ["/a"]

        run_in_virtual_time(step)
