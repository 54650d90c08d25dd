"""Tests of one connection of a caller."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.connection import MOST_AT_ONCE, UNREAD, CallerConnection
from berylstage_entry.errors import Refused
from berylstage_entry.metrics import Metrics
from berylstage_entry.protocols import CallerProtocol, CallerRequest, TargetAnswer
from berylstage_entry.request_context import RoutedAnswer
from berylstage_entry.request_log import RequestLog
from berylstage_entry.server import CallerServer
from fakes import LIMITS
from hypothesis import given, settings
from hypothesis import strategies as st
from virtual_time import virtual_loop


class PlainCallers(CallerProtocol):
    def request(self, method, uri, headers):
        return CallerRequest(uri, method, "h", uri, {}, 5.0, None)

    def refusal_headers(self, retry_after):
        return [("Retry-After", str(retry_after))]


class HeldRouter:
    """Answers a request when it is told to, with the request's path as the body."""

    def __init__(self):
        self.begun = []
        self.cancelled = []
        self.size = 0
        self._ends = {}

    async def serve(self, req):
        self.begun.append(req.path)
        end = self._ends[req.path] = asyncio.get_running_loop().create_future()
        try:
            await end
        except asyncio.CancelledError:
            self.cancelled.append(req.path)
            raise
        body = req.path.encode() + req.body + b"x" * self.size
        answer = TargetAnswer(200, [], body, False, False, True, None, False)
        return RoutedAnswer(answer, "a", 1)

    def end(self, path, exc=None):
        if exc is not None:
            self._ends[path].set_exception(exc)
        else:
            self._ends[path].set_result(None)


class Transport(asyncio.Transport):
    """Keeps what is written, and whether the connection is read."""

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
        """Bodies of the answers that are out."""
        parts = self.written.split(b"HTTP/1.1 ")[1:]
        return [part.split(b"\r\n\r\n", 1)[1].decode() for part in parts]


class Played:
    """A connection with what stands on both of its sides."""

    def __init__(self, idle_time=60.0):
        self.router = HeldRouter()
        journal = RequestLog(Metrics())
        callers = PlainCallers()
        self.server = CallerServer(callers, self.router, journal, lambda: LIMITS)
        self.server.idle_time = idle_time
        self.transport = Transport()
        self.conn = CallerConnection(self.server)
        self.conn.connection_made(self.transport)

    def send(self, data):
        self.conn.data_received(data)

    async def turn(self):
        for _ in range(4):
            await asyncio.sleep(0)

    async def end(self, path, exc=None):
        self.router.end(path, exc)
        await self.turn()


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: h\r\n\r\n".encode()


def post(path, body=b"", *lines):
    head = [f"POST {path} HTTP/1.1", "Host: h", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join([*head, "", ""]).encode() + body


@pytest.fixture
def play():
    """Return what plays a coroutine over a connection in virtual time."""

    def run(step):
        with virtual_loop() as loop:

            async def all_of_it():
                return await step(Played())

            return loop.run_until_complete(all_of_it())

    return run


class TestSeveralAtOnce:
    def test_safe_requests_are_begun_as_they_are_read(self, play):
        # A caller sends three lookups in one write. Begun one after the other, the last
        # one waits for twice the work of a lookup, and nothing shows that it did.
        async def step(it):
            it.send(get("/a") + get("/b") + get("/c"))
            await it.turn()
            assert it.router.begun == ["/a", "/b", "/c"]

        play(step)

    def test_answers_go_out_in_the_order_of_requests(self, play):
        async def step(it):
            it.send(get("/a") + get("/b") + get("/c"))
            await it.turn()
            await it.end("/c")
            await it.end("/b")
            assert it.transport.bodies == []
            await it.end("/a")
            assert it.transport.bodies == ["/a", "/b", "/c"]
            assert it.server.in_flight == 0

        play(step)

    def test_unsafe_request_waits_and_holds_up_those_behind_it(self, play):
        # An order behind a lookup: begun beside it, and cut off when the connection
        # ends with the lookup, nobody could say whether the order was placed.
        async def step(it):
            it.send(get("/a") + post("/order", b"1") + get("/b"))
            await it.turn()
            assert it.router.begun == ["/a"]
            await it.end("/a")
            assert it.router.begun == ["/a", "/order"]
            await it.end("/order")
            assert it.router.begun == ["/a", "/order", "/b"]
            await it.end("/b")
            assert it.transport.bodies == ["/a", "/order1", "/b"]

        play(step)

    def test_waiting_counts_against_the_time_of_the_caller(self, play):
        seen = []

        async def step(it):
            real = it.router.serve
            it.router.serve = lambda req: seen.append(req.waited) or real(req)
            it.send(post("/a") + post("/b"))
            await it.turn()
            await asyncio.sleep(0.5)
            await it.end("/a")
            assert seen == [0.0, pytest.approx(0.5)]

        play(step)

    def test_one_caller_has_no_more_than_its_share_under_way(self, play):
        # A caller sends a thousand lookups at once. They must not take the VM's memory
        # and all slots of its targets.
        async def step(it):
            paths = [f"/{n}" for n in range(1000)]
            it.send(b"".join(get(path) for path in paths))
            await it.turn()
            assert len(it.router.begun) == MOST_AT_ONCE
            assert len(it.conn._exchanges) < 200
            for path in paths:
                await it.end(path)
            assert it.transport.bodies == paths

        play(step)

    def test_connection_is_not_read_without_end(self, play):
        # A caller goes on sending while its first order is under way.
        async def step(it):
            it.send(post("/a"))
            it.send(b"".join(post("/b", b"y" * 900) for _ in range(100)))
            assert not it.transport.reading
            assert len(it.conn._unread) < UNREAD + 100_000
            await it.turn()
            await it.end("/a")
            while it.server.in_flight:
                await it.end("/b")
            assert it.transport.reading
            assert len(it.transport.bodies) == 101

        play(step)

    def test_caller_that_takes_no_answers_gets_nothing_more_begun(self, play):
        async def step(it):
            it.send(get("/a"))
            await it.turn()
            it.conn.pause_writing()
            it.send(get("/b") + get("/c"))
            await it.turn()
            assert it.router.begun == ["/a"]
            await it.end("/a")
            it.conn.resume_writing()
            await it.turn()
            assert it.router.begun == ["/a", "/b", "/c"]

        play(step)

    def test_early_answers_count_against_the_memory_for_bodies(self, play):
        # Large answers wait for a slow first one. Nothing more is begun when they take
        # what a VM has for bodies, and all of it is given back.
        async def step(it):
            it.server.body_memory = 1000
            it.router.size = 1000
            it.send(get("/a") + get("/b"))
            await it.turn()
            await it.end("/b")
            it.send(get("/c"))
            await it.turn()
            assert it.router.begun == ["/a", "/b"]
            await it.end("/a")
            assert it.router.begun == ["/a", "/b", "/c"]
            await it.end("/c")
            assert it.server.hold(1000)

        play(step)


class TestEnds:
    def test_caller_that_leaves_ends_all_of_its_requests(self, play):
        async def step(it):
            it.send(get("/a") + get("/b") + post("/c"))
            await it.turn()
            it.conn.connection_lost(None)
            await it.turn()
            assert it.router.cancelled == ["/a", "/b"]
            assert it.server.in_flight == 0
            assert it.server.hold(it.server.body_memory)

        play(step)

    def test_nothing_behind_the_last_request_of_a_connection_runs(self, play):
        # The caller says that it sends nothing more. What follows is another's, or a
        # part of the body that was taken for a request.
        async def step(it):
            last = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
            it.send(last + get("/b"))
            it.send(get("/c"))
            await it.turn()
            assert it.router.begun == ["/a"]
            await it.end("/a")
            assert it.transport.bodies == ["/a"]
            assert b"Connection: close" in it.transport.written
            assert it.transport.closed

        play(step)

    def test_what_was_read_is_answered_before_a_stop(self, play):
        # The VM stops while three lookups of a caller are under way. An answer that
        # closes the connection would cut off those behind it.
        async def step(it):
            it.send(get("/a") + get("/b"))
            await it.turn()
            it.server.closing = True
            it.server.refuse_more()
            await it.end("/a")
            assert not it.transport.closed
            await it.end("/b")
            assert it.transport.bodies == ["/a", "/b"]
            assert it.transport.written.count(b"Connection: close") == 1
            assert it.transport.closed

        play(step)

    def test_caller_that_is_never_without_a_request_is_read_no_further(self, play):
        # Guards against a stop that one caller holds up until it is cut.
        async def step(it):
            it.send(get("/a") + get("/b")[:9])
            await it.turn()
            it.server.closing = True
            it.server.refuse_more()
            assert it.transport.reading
            it.send(get("/b")[9:])
            await it.turn()
            assert not it.transport.reading
            await it.end("/a")
            assert not it.transport.closed
            await it.end("/b")
            assert it.transport.bodies == ["/a", "/b"]
            assert it.transport.closed
            assert it.transport.written.count(b"Connection: close") == 1

        play(step)

    def test_nothing_is_read_while_the_last_answer_leaves(self, play):
        # Guards against reading a request that nobody will answer.
        async def step(it):
            it.send(get("/a"))
            await it.turn()
            it.server.closing = True
            it.server.refuse_more()
            it.transport.get_write_buffer_size = lambda: 10
            await it.end("/a")
            assert not it.transport.closed
            assert not it.transport.reading
            it.conn.connection_lost(None)

        play(step)

    def test_request_half_read_behind_the_last_answer_is_served(self, play):
        # Guards against an answer that closes the connection on half a request.
        async def step(it):
            it.send(get("/a") + get("/b")[:9])
            await it.turn()
            it.server.closing = True
            it.server.refuse_more()
            await it.end("/a")
            assert not it.transport.closed
            it.send(get("/b")[9:])
            await it.turn()
            await it.end("/b")
            assert it.transport.bodies == ["/a", "/b"]
            assert it.transport.closed

        play(step)

    def test_half_a_head_is_named_after_no_other_request(self, play):
        # Guards against a log line that names a request which was answered as cut.
        async def step(it):
            it.send(get("/a"))
            await it.turn()
            assert it.conn.last_id == "/a"
            await it.end("/a")
            assert it.conn.last_id == "/a"
            it.send(get("/b")[:9])
            assert it.conn.last_id == ""

        play(step)

    def test_refusal_amid_others_leaves_them_alone(self, play):
        async def step(it):
            it.send(get("/a") + get("/b") + get("/c"))
            await it.turn()
            await it.end("/b", Refused("owner-busy", 0.1))
            await it.end("/a")
            await it.end("/c")
            codes = [p[:3] for p in it.transport.written.split(b"HTTP/1.1 ")[1:]]
            assert codes == [b"200", b"503", b"200"]
            assert not it.transport.closed

        play(step)

    def test_idle_connection_closes_and_a_busy_one_does_not(self, play):
        async def step(_):
            it = Played(idle_time=2.0)
            await asyncio.sleep(1.0)
            it.send(get("/a"))
            await asyncio.sleep(9.0)
            assert not it.transport.closed
            await it.end("/a")
            await asyncio.sleep(1.5)
            assert not it.transport.closed
            await asyncio.sleep(3.0)
            assert it.transport.closed

        play(step)

    def test_head_that_never_ends_is_given_up(self, play):
        # A caller sends its head a byte at a time, for hours, on all connections that
        # the VM has descriptors for.
        async def step(_):
            it = Played(idle_time=2.0)
            for byte in b"GET /a HTTP/1.1\r\nHost: hhhhhhhh":
                it.send(bytes([byte]))
                await asyncio.sleep(0.2)
            assert it.transport.closed

        play(step)


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
    """Bytes that are no request, or that two readers could take in two ways."""

    @pytest.mark.parametrize("data", MALFORMED)
    def test_is_refused_and_nothing_behind_it_runs(self, play, data):
        # Taken in another way than a proxy before this VM takes it, a part of one
        # caller's body would run as another's request.
        async def step(it):
            it.send(data + get("/smuggled"))
            it.send(get("/smuggled"))
            await it.turn()
            assert "/smuggled" not in it.router.begun
            for path in list(it.router.begun):
                await it.end(path)
            assert it.transport.closed or it.transport.written == b""
            assert "/smuggled" not in it.router.begun

        play(step)

    def test_fault_behind_a_good_request_waits_for_its_answer(self, play):
        async def step(it):
            it.send(get("/a") + b"no request\r\n\r\n")
            await it.turn()
            await it.end("/a")
            assert it.transport.written.startswith(b"HTTP/1.1 200")
            assert b"HTTP/1.1 400" in it.transport.written
            assert it.transport.closed

        play(step)

    @settings(max_examples=60, deadline=None)
    @given(st.binary(max_size=300))
    def test_any_bytes_are_survived(self, data):
        with virtual_loop() as loop:

            async def step():
                it = Played()
                it.send(data)
                it.send(get("/a") + get("/b"))
                await it.turn()
                it.conn.connection_lost(None)
                await it.turn()
                assert it.server.in_flight == 0
                assert it.server.hold(it.server.body_memory)

            loop.run_until_complete(step())


# A request: whether it is a lookup, the length of an order's body, and the place of its
# end among all ends.
REQUESTS = st.lists(
    st.tuples(st.booleans(), st.integers(0, 30), st.integers(0, 99)),
    min_size=1,
    max_size=12,
)


class TestAnyOrder:
    @settings(max_examples=150, deadline=None)
    @given(REQUESTS, st.lists(st.integers(1, 60), min_size=1, max_size=40))
    def test_each_answer_is_that_of_its_request(self, requests, pieces):
        # Requests come in pieces of any length and end in any order. An answer that
        # went to another request would show one caller what another asked for.
        with virtual_loop() as loop:
            loop.run_until_complete(self.play_all(requests, pieces))

    async def play_all(self, requests, pieces):
        it = Played()
        data, wanted = b"", []
        for n, (safe, size, _) in enumerate(requests):
            body = b"b" * size
            data += get(f"/{n}") if safe else post(f"/{n}", body)
            wanted.append(f"/{n}" + ("" if safe else "b" * size))
        ends = {f"/{n}": order for n, (_, _, order) in enumerate(requests)}
        at = 0
        for length in [*pieces, len(data)]:
            it.send(data[at : at + length])
            at += length
            await it.turn()
        while it.server.in_flight:
            running = [path for path in it.router.begun if path in ends]
            first = min(running, key=ends.get)
            unsafe = [p for p in running if not requests[int(p[1:])][0]]
            # An order runs alone.
            assert not unsafe or len(running) == 1
            del ends[first]
            await it.end(first)
        assert it.transport.bodies == wanted
        assert it.server.hold(it.server.body_memory)
