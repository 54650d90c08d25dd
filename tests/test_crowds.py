"""Tests of a VM process beside small crowds of callers that ignore its limits.

They check what does not depend on the speed of the machine: the process lives, its
memory and descriptors stay under a bound, and one ordinary request is served
afterwards.
"""

from __future__ import annotations

import asyncio

import pytest
from crowd_load import (
    HEAD,
    LINE,
    MAX_FDS,
    MEMORY_MB,
    OK,
    CrowdEnvironment,
    FewDescriptorsVm,
    FewSocketsVm,
    with_limits,
)

ORDER = b"POST /o/2/0"
# A lookup that its target works on for 1.5 s, and one that it answers at once.
LOOKUP = b"GET /a/2/1500"
LOOKUP_NOW = b"GET /a/2/0"
END = b"\r\n"
LENGTH = b"Content-Length: 10\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
# Lines of a head of 12 kB, which is inside the limit of 16,384 bytes.
LEGAL_LINES = 3000 * LINE
LEGAL_NAMES = b"".join(b"%x:\r\n" % number for number in range(0x100, 0x100 + 2300))
OVER_LIMIT_BYTES = 250_000
MANY_LINES = LINE * (OVER_LIMIT_BYTES // len(LINE))
PIPELINED = LOOKUP + b" HTTP/1.1\r\n" + HEAD % 0 + LEGAL_LINES + END
PIPELINED_SMALL = LOOKUP + b" HTTP/1.1\r\n" + HEAD % 0 + END
UNKNOWN = b"GET /none HTTP/1.1\r\n" + HEAD % 0 + END
# Largest log of a VM, in bytes, beside a crowd that it cannot accept.
MAX_LOG_BYTES = 1_000_000
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
# Statuses that promise that the request has not run.
PROMISES = {408, 503}
MAX_HEADER_BYTES = 16384


class MemoryCrowd:
    """A crowd whose requests cost memory.

    Parameters
    ----------
    callers : int
    request_line : bytes
    lines : bytes
        Header lines after those that each request has.
    rest : bytes
        What is sent behind them.
    """

    def __init__(self, callers, request_line, lines=b"", rest=b""):
        self.callers = callers
        self.request_line = request_line
        self.lines = lines
        self.rest = rest


MEMORY_CROWDS = {
    "trailer-lines": MemoryCrowd(5, ORDER, CHUNKED, b"0\r\n" + LINE * 250_000),
    "trailer-line": MemoryCrowd(40, ORDER, CHUNKED, b"0\r\na: " + b"x" * 2_000_000),
    "trailers-of-a-refused-request": MemoryCrowd(
        5, ORDER, b"Berylstage-Deadline-Ms: x\r\n" + CHUNKED, b"0\r\n" + LINE * 250_000
    ),
    "trailers-behind-an-upgrade-offer": MemoryCrowd(
        5,
        ORDER,
        b"Connection: Upgrade\r\nUpgrade: h2c\r\n" + CHUNKED,
        b"0\r\n" + LINE * 250_000,
    ),
    "head-over-the-limit": MemoryCrowd(40, ORDER, MANY_LINES),
    "whole-head-over-the-limit": MemoryCrowd(40, ORDER, MANY_LINES, END),
    "head-over-the-limit-with-a-body": MemoryCrowd(
        40, ORDER, MANY_LINES + LENGTH + END, b"12345"
    ),
    "line-over-the-limit": MemoryCrowd(300, ORDER, b"a: " + b"x" * OVER_LIMIT_BYTES),
    "target-over-the-limit": MemoryCrowd(300, b"GET /a/" + b"x" * OVER_LIMIT_BYTES),
    "unfinished-heads": MemoryCrowd(400, ORDER, LEGAL_LINES),
    "unfinished-heads-of-different-names": MemoryCrowd(400, ORDER, LEGAL_NAMES),
    "unfinished-bodies": MemoryCrowd(400, ORDER, LEGAL_LINES + LENGTH + END, b"12345"),
    "whole-requests": MemoryCrowd(400, LOOKUP, LEGAL_LINES + END),
    "whole-requests-of-different-names": MemoryCrowd(400, LOOKUP, LEGAL_NAMES + END),
    "pipelined-requests": MemoryCrowd(100, LOOKUP, LEGAL_LINES + END, PIPELINED * 15),
    "pipelined-small-requests": MemoryCrowd(250, LOOKUP, END, PIPELINED_SMALL * 15),
    "idle-connections": MemoryCrowd(400, b"GET /none", LEGAL_LINES + END),
    "unread-answers": MemoryCrowd(100, b"GET /none", END, UNKNOWN * 5000),
    "one-byte-chunks": MemoryCrowd(20, ORDER, CHUNKED, b"1\r\nx\r\n" * 100_000),
}


async def play(folder, crowd):
    """Let a crowd send its bytes; check the VM and one ordinary request."""
    async with CrowdEnvironment(folder) as environment:
        callers = await environment.connect_crowd(crowd.callers)
        await asyncio.gather(
            *(
                caller.send(
                    environment.request(crowd.request_line, crowd.lines) + crowd.rest
                )
                for caller in callers
            )
        )
        status = await environment.send_ordinary_request()
        assert environment.is_alive
        peak = environment.memory_mb()
        print(f"peak {peak:.0f} MB, ordinary request {status}")
        assert peak < MEMORY_MB
        assert status == OK


class TestMemory:
    @pytest.mark.parametrize("kind", MEMORY_CROWDS)
    def test_crowd_stays_within_the_memory(self, tmp_path, kind):
        # Guards against a VM that is killed for its memory by what its callers send.
        asyncio.run(play(tmp_path, MEMORY_CROWDS[kind]))


ENDLESS_BYTES = 2_000_000
ENDLESS_CALLERS = 20
# What a caller sends behind the head of a chunked order, and then again and again.
ENDLESS_BODIES = {
    "chunk-extension": (b"1;", b"x"),
    "chunk-size-of-zeros": (b"", b"0"),
    "trailers": (b"0\r\n", LINE),
    "trailer-line": (b"0\r\na:", b"x"),
}


async def play_endless(folder, start, repeated):
    """Let callers send bytes without end; check that their connections are closed."""
    async with CrowdEnvironment(folder) as environment:
        crowd = await environment.connect_crowd(ENDLESS_CALLERS)
        for caller in crowd:
            data = repeated * (ENDLESS_BYTES // len(repeated))
            await caller.send(start(environment) + data)
            await caller.read_to_end()
        assert [caller.is_ended for caller in crowd] == [True] * len(crowd)
        assert OK not in {caller.status for caller in crowd}
        assert await environment.send_ordinary_request() == OK
        assert environment.is_alive


class TestEndlessInput:
    @pytest.mark.parametrize("kind", ENDLESS_BODIES)
    def test_endless_body_is_refused(self, tmp_path, kind):
        # Guards against connections that are held open for as long as a caller sends.
        start, repeated = ENDLESS_BODIES[kind]

        def begin(environment):
            return environment.request(ORDER, CHUNKED) + start

        asyncio.run(play_endless(tmp_path, begin, repeated))

    @pytest.mark.parametrize("line_end", [b"\r\n", b"\n"], ids=["crlf", "lf"])
    def test_empty_lines_before_a_request_are_refused(self, tmp_path, line_end):
        # Guards against connections that are held open for as long as a caller sends.
        asyncio.run(play_endless(tmp_path, lambda environment: b"", line_end))

    def test_empty_lines_behind_a_request_are_refused(self, tmp_path):
        # Guards against connections that are held open for as long as a caller sends.
        def begin(environment):
            return environment.request(b"GET /none", END)

        asyncio.run(play_endless(tmp_path, begin, b"\r\n"))


class TestUnfinishedRequests:
    def test_order_whose_body_stops_is_answered(self, tmp_path):
        # Guards against requests that are held for ever, because their bodies stop.
        async def scenario():
            async with CrowdEnvironment(tmp_path) as environment:
                crowd = await environment.connect_crowd(20)
                lines = b"Berylstage-Deadline-Ms: 1000\r\n" + LENGTH + END
                for caller in crowd:
                    await caller.send(environment.request(ORDER, lines) + b"12345")
                await asyncio.gather(*(caller.read_to_end() for caller in crowd))
                assert {caller.status for caller in crowd} <= PROMISES
                assert [caller.is_ended for caller in crowd] == [True] * len(crowd)
                assert await environment.send_ordinary_request() == OK
                assert environment.is_alive

        asyncio.run(scenario())

    def test_head_that_arrives_byte_by_byte_is_ended(self, tmp_path):
        # Guards against connections that callers hold open by a byte now and then. The
        # idle timeout is longer than the test, the header timeout is short.
        async def scenario():
            cfg = with_limits(header_timeout_ms=500, idle_timeout_ms=600_000)
            async with CrowdEnvironment(tmp_path, configuration=cfg) as environment:
                crowd = await environment.connect_crowd(20)
                head = environment.request(ORDER, b"a: " + b"x" * 1000)
                trickles = [asyncio.create_task(c.trickle(head)) for c in crowd]
                await asyncio.gather(*(caller.read_to_end() for caller in crowd))
                for trickle in trickles:
                    trickle.cancel()
                assert [caller.is_ended for caller in crowd] == [True] * len(crowd)
                assert await environment.send_ordinary_request() == OK
                assert environment.is_alive

        asyncio.run(scenario())

    @pytest.mark.parametrize("size", [10**18, 2**63])
    def test_body_beyond_the_limit_is_refused_at_its_head(self, tmp_path, size):
        # Guards against a VM that takes in bodies of which it knows that they are
        # too large.
        async def scenario():
            async with CrowdEnvironment(tmp_path) as environment:
                (caller,) = await environment.connect_crowd(1)
                lines = b"Content-Length: %d\r\n\r\n" % size
                await caller.send(environment.request(ORDER, lines))
                await caller.read_answer()
                assert caller.status == CONTENT_TOO_LARGE
                assert await environment.send_ordinary_request() == OK

        asyncio.run(scenario())


class TestDescriptors:
    def test_silent_connections_stay_below_the_configured_limit(self, tmp_path):
        # Guards against a VM that has no descriptors left for targets and the store.
        async def scenario():
            async with CrowdEnvironment(tmp_path, FewSocketsVm) as environment:
                await environment.connect_crowd(MAX_FDS + 100)
                assert await environment.send_ordinary_request() == OK
                assert environment.count_descriptors() < MAX_FDS
                assert environment.is_alive

        asyncio.run(scenario())

    def test_silent_connections_beyond_the_limit_of_the_kernel(self, tmp_path):
        # Guards against a VM that logs each connection which it cannot accept.
        async def scenario():
            async with CrowdEnvironment(tmp_path, FewDescriptorsVm) as environment:
                await environment.connect_crowd(MAX_FDS + 100)
                statuses = [await environment.send_ordinary_request() for _ in range(3)]
                assert environment.is_alive
                assert environment.log_bytes() < MAX_LOG_BYTES
                assert statuses == [OK] * 3

        asyncio.run(scenario())


class TestRequestsInsideTheLimits:
    @pytest.mark.parametrize(("filler", "status"), [(0, OK), (1, HEADERS_TOO_LARGE)])
    def test_limit_counts_the_bytes_of_the_header_lines(self, tmp_path, filler, status):
        # Guards against refusals of heads that are inside the configured limit.
        async def scenario():
            async with CrowdEnvironment(tmp_path) as environment:
                (caller,) = await environment.connect_crowd(1)
                head = environment.request(LOOKUP_NOW)
                lines = head.partition(b"\r\n")[2]
                left = MAX_HEADER_BYTES - len(lines)
                many = LINE * (left // len(LINE) - 2)
                rest = left - len(many) - len(b"b:\r\n")
                last = b"b:" + b"x" * (rest + filler) + b"\r\n"
                await caller.send(head + many + last + END)
                await caller.read_answer()
                assert caller.status == status

        asyncio.run(scenario())
