"""Tests of the memory of bodies and answers under load, without a network."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.connection import CallerConnection
from berylstage_entry.errors import Refused
from berylstage_entry.memory import connection_memory
from berylstage_entry.memory.budget import HEAD_SHARE, MAX_WAIT_SHARE
from berylstage_entry.memory.buffer_memory import BufferMemory
from berylstage_entry.memory.connection_memory import MAX_DROPPING_SECONDS
from berylstage_entry.memory.untaken_answers import LATE_SECONDS, STALLED_SECONDS
from berylstage_entry.metrics import Metrics
from berylstage_entry.request_log import RequestLog
from berylstage_entry.server import CallerServer
from fakes import LIMITS
from test_connection import ManualRouter, PlainCallerProtocol, Transport, get, post
from virtual_time import virtual_loop

MB = 1_000_000
UPLOAD_BYTES = 360_000
# Remaining time of each request, as `PlainCallerProtocol` states it.
TIME_LEFT = 5.0


class SlowTransport(Transport):
    """A transport whose caller takes only what the test tells it to take."""

    def __init__(self, is_stopped):
        super().__init__()
        self.is_stopped = is_stopped
        self.untaken = 0
        self.is_aborted = False

    def write(self, data):
        super().write(data)
        if self.is_stopped:
            self.untaken += len(data)

    def get_write_buffer_size(self):
        return self.untaken

    def take(self, size):
        self.untaken -= min(size, self.untaken)

    def abort(self):
        self.is_aborted = self.closed = True

    @property
    def statuses(self):
        return [int(part[:3]) for part in self.written.split(b"HTTP/1.1 ")[1:]]


class MemoryHarness:
    """A server of a VM of 160 MB with any number of connections."""

    def __init__(self, memory_bytes=160 * MB, size=0):
        self.router = ManualRouter()
        self.router.size = size
        self.metrics = Metrics()
        self.memory = BufferMemory(memory_bytes, 10.0, self.metrics)
        self.server = CallerServer(
            PlainCallerProtocol(),
            self.router,
            RequestLog(self.metrics),
            lambda: LIMITS,
            self.memory,
        )
        self.server.is_upload = lambda req: req.path.startswith("/u")

    def connect(self, is_stopped=False):
        conn = CallerConnection(self.server)
        transport = SlowTransport(is_stopped)
        transport.conn = conn
        conn.connection_made(transport)
        return transport

    def send(self, data, is_stopped=False):
        transport = self.connect(is_stopped)
        transport.conn.data_received(data)
        return transport

    @property
    def budget(self):
        return self.memory.budget

    def count(self, event):
        return f'event="{event}"' in self.metrics.text()


def upload_head(path, size=UPLOAD_BYTES):
    return f"POST {path} HTTP/1.1\r\nHost: h\r\nContent-Length: {size}\r\n\r\n".encode()


@pytest.fixture
def run():
    """Return a function that runs a scenario on a new harness in virtual time."""

    def run(scenario, **options):
        with virtual_loop() as loop:

            async def run_scenario():
                await scenario(MemoryHarness(**options), sleep)

            async def sleep(seconds=0.0):
                for _ in range(4):
                    await asyncio.sleep(0)
                if seconds:
                    await asyncio.sleep(seconds)

            loop.run_until_complete(run_scenario())

    return run


class TestUploads:
    def test_400_uploads_at_once_leave_room_for_small_requests(self, run):
        # 400 uploads of 360 kB brought a VM of 160 MB to 191 MB, and it was killed.
        async def scenario(harness, sleep):
            uploads = [harness.send(upload_head(f"/u{n}")) for n in range(400)]
            assert harness.budget.used < 50 * MB
            refused = [t for t in uploads if t.statuses == [503]]
            assert 300 < len(refused) < 400
            for transport in uploads:
                if transport not in refused:
                    transport.conn.data_received(b"u" * UPLOAD_BYTES)
            await sleep()
            small = [harness.send(post(f"/s{n}", b"x" * 1000)) for n in range(200)]
            await sleep()
            started = [path for path in harness.router.started if path[1] == "s"]
            assert len(started) == 200
            for path in list(harness.router.started):
                harness.router.finish(path)
            await sleep()
            assert all(transport.statuses == [200] for transport in small)
            assert sum(transport.statuses == [200] for transport in uploads) == (
                400 - len(refused)
            )
            assert harness.budget.used == harness.budget.upload_used == 0

        run(scenario)

    def test_refused_upload_is_answered_before_its_body(self, run):
        async def scenario(harness, sleep):
            harness.budget.add(harness.budget.capacity, True)
            transport = harness.send(upload_head("/u") + b"u" * 1000)
            assert transport.statuses == [503]
            assert b"Connection: close" in transport.written
            retry_after = float(
                transport.written.split(b"Retry-After: ")[1].split(b"\r\n")[0]
            )
            assert 0 < retry_after <= TIME_LEFT * MAX_WAIT_SHARE
            assert harness.router.started == []
            assert harness.count("upload refused for memory")
            # The rest of the body is dropped. A reset while the caller sends would
            # destroy the response.
            transport.conn.data_received(b"u" * (UPLOAD_BYTES - 2000))
            await sleep(0.2)
            assert not transport.closed
            transport.conn.data_received(b"u" * 1000)
            await sleep(0.2)
            assert transport.closed
            assert harness.budget.used == harness.budget.capacity

        run(scenario)

    def test_refused_caller_that_sends_without_end_is_closed(self, run, monkeypatch):
        async def scenario(harness, sleep):
            monkeypatch.setattr(connection_memory, "MAX_DROPPING_IDLE_SECONDS", 99.0)
            harness.budget.add(harness.budget.capacity, True)
            transport = harness.send(upload_head("/u"))
            await sleep(MAX_DROPPING_SECONDS - 0.2)
            assert not transport.closed
            await sleep(0.4)
            assert transport.closed

        run(scenario)

    def test_upload_above_the_size_limit_reserves_nothing(self, run):
        async def scenario(harness, sleep):
            transport = harness.send(upload_head("/u", LIMITS.body_bytes + 1))
            assert transport.statuses == [413]
            assert harness.budget.used == 0

        run(scenario)

    @pytest.mark.parametrize("path", ["/u", "/o"])
    def test_chunked_body_above_the_size_limit_is_answered_early(self, run, path):
        # Guards against bodies that are read and dropped for as long as they last.
        async def scenario(harness, sleep):
            head = (
                f"POST {path} HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            )
            size = LIMITS.body_bytes + 1
            transport = harness.send(head.encode() + b"%x\r\n" % size + b"x" * size)
            await sleep()
            assert transport.statuses == [413]
            assert harness.budget.used == 0

        run(scenario)

    @pytest.mark.parametrize("timeout", [TIME_LEFT / 2, TIME_LEFT * 2])
    def test_order_whose_body_stops_is_refused_in_time(self, run, timeout):
        # Guards against requests that are held for ever, because their bodies stop.
        async def scenario(harness, sleep):
            harness.server.body_timeout = lambda req: timeout
            transport = harness.send(upload_head("/o") + b"u" * 1000)
            end = min(timeout, TIME_LEFT)
            await sleep(end - 0.1)
            assert transport.statuses == []
            await sleep(0.2)
            assert transport.statuses == [503]
            assert harness.router.started == []
            assert harness.budget.used == 0

        run(scenario)

    def test_upload_without_a_length_counts_as_it_arrives(self, run):
        async def scenario(harness, sleep):
            head = b"POST /u HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
            transport = harness.send(head + b"a\r\n0123456789\r\n")
            assert harness.budget.upload_used == 10
            harness.budget.add(harness.budget.capacity, True)
            transport.conn.data_received(b"1\r\nx\r\n0\r\n\r\n")
            await sleep()
            assert transport.statuses == [503]
            assert harness.budget.used == harness.budget.capacity

        run(scenario)

    def test_caller_that_stops_within_a_body_frees_its_memory_at_its_deadline(
        self, run
    ):
        # Such callers would otherwise hold the memory until their connection is lost.
        async def scenario(harness, sleep):
            transport = harness.send(upload_head("/u") + b"u" * 1000)
            await sleep(TIME_LEFT - 0.1)
            assert harness.budget.upload_used == UPLOAD_BYTES
            await sleep(0.2)
            assert harness.budget.used == 0
            assert transport.statuses == [503]
            assert harness.router.started == []
            await sleep(2.0)
            assert transport.closed

        run(scenario)

    def test_lost_connection_frees_the_memory_of_a_partial_body(self, run):
        async def scenario(harness, sleep):
            transport = harness.send(upload_head("/u") + b"u" * 1000)
            transport.conn.connection_lost(None)
            assert harness.budget.used == 0
            await sleep(TIME_LEFT + 1)
            assert harness.budget.used == 0

        run(scenario)

    def test_memory_is_held_while_a_target_reads_slowly_and_then_freed(self, run):
        async def scenario(harness, sleep):
            harness.send(upload_head("/u") + b"u" * UPLOAD_BYTES)
            await sleep(3.0)
            assert harness.budget.upload_used == UPLOAD_BYTES
            harness.router.finish("/u", Refused("no-time", 0.1))
            await sleep()
            assert harness.budget.used == 0

        run(scenario)


class TestReading:
    def test_idle_connections_pause_while_the_memory_is_full(self, run):
        async def scenario(harness, sleep):
            idle, busy = harness.connect(), harness.send(get("/a"))
            await sleep()
            harness.memory.reserve_answer(harness.budget.capacity)
            await sleep()
            late = harness.connect()
            assert [t.reading for t in (idle, busy, late)] == [False, True, False]
            assert harness.count("reading paused for memory")
            # A response that is delivered lets its connection pause as well.
            harness.router.finish("/a")
            await sleep()
            assert busy.statuses == [200]
            assert not busy.reading
            harness.memory.release(harness.budget.capacity)
            await sleep()
            assert all(t.reading for t in (idle, busy, late))
            idle.conn.data_received(get("/b"))
            await sleep()
            assert harness.router.started == ["/a", "/b"]

        run(scenario)

    def test_requests_after_a_pause_start_as_far_as_their_answers_fit(self, run):
        # All connections were read at once after a pause, and answers of 8 MB to 27
        # requests brought a VM of 160 MB to 273 MB.
        async def scenario(harness, sleep):
            harness.server.expected_answer_bytes = lambda req: 8 * MB
            harness.memory.reserve_answer(harness.budget.capacity)
            conns = [harness.connect() for _ in range(27)]
            assert not any(conn.reading for conn in conns)
            harness.memory.release(harness.budget.capacity)
            await sleep()
            for n, conn in enumerate(conns):
                # The event loop reads only connections that are not paused.
                if conn.reading:
                    conn.conn.data_received(get(f"/{n}"))
            await sleep()
            assert len(harness.router.started) == 1 + harness.budget.capacity // (
                8 * MB
            )
            for path in list(harness.router.started):
                harness.router.finish(path)
            await sleep()
            assert all(conn.reading for conn in conns)
            assert harness.budget.used == 0

        run(scenario)

    def test_body_that_has_begun_is_read_to_its_end(self, run):
        # A request whose body stayed unread would keep its memory for ever.
        async def scenario(harness, sleep):
            transport = harness.send(upload_head("/u") + b"u" * 1000)
            harness.memory.reserve_answer(harness.budget.capacity)
            await sleep()
            assert transport.reading

        run(scenario)

    def test_vms_without_a_memory_limit_do_not_pause(self, run):
        async def scenario(harness, sleep):
            idle = harness.connect()
            harness.memory.reserve_answer(harness.budget.capacity)
            await sleep()
            assert idle.reading

        run(scenario, memory_bytes=None)


class TestUntakenAnswers:
    async def answer_stopped_callers(self, harness, sleep, count):
        """Answer callers that take nothing, half a second apart."""
        transports = []
        for n in range(count):
            transports.append(harness.send(get(f"/{n}"), is_stopped=True))
            await sleep()
            harness.router.finish(f"/{n}")
            await sleep(0.5)
        return transports

    def test_answer_is_counted_until_its_caller_takes_it(self, run):
        async def scenario(harness, sleep):
            (transport,) = await self.answer_stopped_callers(harness, sleep, 1)
            assert harness.budget.used == transport.untaken > MB
            transport.take(MB // 2)
            await sleep(0.2)
            assert harness.budget.used == transport.untaken > 0
            transport.take(MB)
            await sleep(0.2)
            assert harness.budget.used == 0

        run(scenario, size=MB)

    def test_stalled_callers_are_disconnected_only_for_memory(self, run):
        # Half of the readers have stopped. As long as there is memory, their answers
        # wait, also when they are late.
        async def scenario(harness, sleep):
            transports = await self.answer_stopped_callers(harness, sleep, 4)
            await sleep(TIME_LEFT + LATE_SECONDS + STALLED_SECONDS)
            assert not any(transport.is_aborted for transport in transports)
            free = harness.budget.capacity - harness.budget.used
            harness.memory.reserve_answer(free + 3 * MB // 2)
            await sleep(0.3)
            assert [t.is_aborted for t in transports] == [True, True, False, False]
            assert harness.count("caller disconnected for memory")

        run(scenario, size=MB)

    def test_caller_that_takes_a_byte_is_kept(self, run):
        async def scenario(harness, sleep):
            slow, stalled = await self.answer_stopped_callers(harness, sleep, 2)
            await sleep(TIME_LEFT + LATE_SECONDS)
            slow.take(1)
            harness.memory.reserve_answer(harness.budget.capacity)
            await sleep(0.3)
            assert [slow.is_aborted, stalled.is_aborted] == [False, True]

        run(scenario, size=MB)

    def test_lost_connection_frees_its_answers(self, run):
        async def scenario(harness, sleep):
            (transport,) = await self.answer_stopped_callers(harness, sleep, 1)
            transport.conn.connection_lost(None)
            assert harness.budget.used == 0
            await sleep(1.0)
            assert harness.budget.used == 0

        run(scenario, size=MB)


def large_head(path, end="\r\n\r\n"):
    """Return a head whose headers take most of what LIMITS allows."""
    lines = "\r\n".join(f"{n:x}:" for n in range(LIMITS.header_bytes // 8))
    return f"GET {path} HTTP/1.1\r\n{lines}{end}".encode()


class TestHeads:
    def test_large_heads_leave_room_for_small_requests(self, run):
        # Guards against a VM that is killed for the headers of requests that wait.
        async def scenario(harness, sleep):
            large = [harness.send(large_head(f"/{n}")) for n in range(4000)]
            await sleep()
            served = len(harness.router.started)
            assert 0 < served < 4000
            assert sum(t.statuses == [503] for t in large) == 4000 - served
            assert harness.budget.used <= harness.budget.capacity * HEAD_SHARE
            harness.send(get("/small"))
            await sleep()
            assert harness.router.started[-1] == "/small"
            for path in list(harness.router.started):
                harness.router.finish(path)
            await sleep()
            assert harness.budget.used == harness.budget.head_used == 0

        run(scenario)

    def test_large_head_is_served_alone(self, run):
        # Guards against a small VM that serves no large head inside the limits.
        async def scenario(harness, sleep):
            harness.send(large_head("/a"))
            await sleep()
            assert harness.router.started == ["/a"]

        run(scenario, memory_bytes=MB)

    def test_oldest_unfinished_heads_are_refused(self, run):
        # Guards against callers that keep the memory by heads which they do not finish.
        async def scenario(harness, sleep):
            harness.budget.capacity = 100 * LIMITS.header_bytes
            head = large_head("/a", "")
            conns = []
            for _ in range(300):
                conns.append(harness.send(head))
                await sleep(0.01)
            refused = [t.statuses == [503] for t in conns]
            assert refused == sorted(refused, reverse=True)
            assert 0 < refused.count(False) < 300
            assert harness.budget.head_used <= harness.budget.capacity * HEAD_SHARE
            conns[-1].conn.data_received(b"\r\n\r\n")
            await sleep()
            assert harness.router.started == ["/a"]
            for transport in conns:
                transport.conn.connection_lost(None)
            await sleep()
            assert harness.budget.used == harness.budget.head_used == 0

        run(scenario)


class TestManyRequests:
    def test_pipelined_requests_wait_while_many_are_served(self, run):
        # Guards against a VM that is killed for the number of small requests it serves.
        async def scenario(harness, sleep):
            pipelined = get("/a") + get("/b") + get("/c")
            most = harness.budget.max_pipelining_requests
            for _ in range(most):
                harness.send(pipelined)
            await sleep()
            # The first request of each connection starts all the same.
            assert harness.router.started.count("/a") == most
            assert harness.router.started.count("/b") <= most // 3 + 1
            last = harness.send(get("/lasta") + get("/lastb") + get("/lastc"))
            await sleep()
            assert harness.router.started[-1] == "/lasta"
            for path in ("/lasta", "/lastb", "/lastc"):
                harness.router.finish(path)
                await sleep()
            assert last.statuses == [200, 200, 200]

        run(scenario)
