"""Tests of the HTTP client against a server with scripted answers."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from contextlib import asynccontextmanager

import pytest
from berylstage_transfers import answer_memory
from berylstage_transfers import client as client_module
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.connections import Connections
from berylstage_transfers.errors import (
    AnswerLost,
    AnswerMismatched,
    CallFailed,
    ConnectionRefused,
    EndedBy,
    NeverSent,
)
from berylstage_transfers.sent_ids import MIN_MEMORY_SECONDS, SentIds
from scripted_calls import CLOSE, OK, answer_to, make_call, run

# Complete answers to request 1, with the expected status and body.
COMPLETE_ANSWERS = {
    "length": (OK, 200, b"body"),
    "chunks": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n",
        200,
        b"body",
    ),
    "chunks and trailer": (
        b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nTransfer-Encoding: chunked\r\n"
        b"Trailer: Sum\r\n\r\n4\r\nbody\r\n0\r\nSum: 1\r\n\r\n",
        200,
        b"body",
    ),
    "interim first": (
        b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + OK,
        200,
        b"body",
    ),
    "no body": (b"HTTP/1.1 204 No Content\r\nRequest-Id: 1\r\n\r\n", 204, b""),
    "server error": (
        b"HTTP/1.1 500 Oops\r\nRequest-Id: 1\r\nContent-Length: 0\r\n\r\n",
        500,
        b"",
    ),
    "id in other case": (OK.replace(b"Request-Id", b"REQUEST-ID"), 200, b"body"),
}

# Answers to request 1 that are incomplete or belong to another request.
BROKEN_ANSWERS = {
    "none": CLOSE,
    "no HTTP": b"body" + CLOSE,
    "half of the headers": OK[:25] + CLOSE,
    "half of the body": OK[:-2] + CLOSE,
    "half of the chunks": COMPLETE_ANSWERS["chunks"][0][:-12] + CLOSE,
    "no end told": b"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n\r\nbody" + CLOSE,
    "other id": OK.replace(b"Id: 1", b"Id: 2"),
    "no id": OK.replace(b"Request-Id: 1\r\n", b""),
}


class TestAnswers:
    @pytest.mark.parametrize("name", COMPLETE_ANSWERS)
    def test_a_complete_answer_is_returned(self, open_server, name):
        raw, status, body = COMPLETE_ANSWERS[name]

        async def scenario():
            async with open_server(raw, raw) as script:
                client = CallClient(1)
                for _ in range(2):
                    answer = await client.call(make_call(script))
                    assert (answer.status, answer.body) == (status, body)
                assert script.connections == 1
                client.close()

        run(scenario)

    @pytest.mark.parametrize("name", BROKEN_ANSWERS)
    @pytest.mark.parametrize("warm", [True, False], ids=["kept", "new"])
    def test_an_incomplete_answer_raises_answer_lost(self, open_server, name, warm):
        # The server crashes while sending its answer, or answers another request. The
        # caller must not accept a partial answer, and the call must not be sent again
        # because the server may have processed it.
        async def scenario():
            first = [OK] if warm else []
            async with open_server(*first, BROKEN_ANSWERS[name], OK, OK) as script:
                client = CallClient(1)
                if warm:
                    await client.call(make_call(script))
                with pytest.raises(AnswerLost):
                    await client.call(make_call(script))
                assert len(script.requests) == 1 + warm
                answer = await client.call(make_call(script))
                assert answer.body == b"body"
                assert len(script.requests) == 2 + warm
                client.close()

        run(scenario)

    def test_error_names_the_call_that_was_answered(self, open_server):
        async def scenario():
            async with open_server(BROKEN_ANSWERS["other id"]) as script:
                client = CallClient(1)
                with pytest.raises(AnswerMismatched) as caught:
                    await client.call(make_call(script))
                assert caught.value.answered_id == "2"
                client.close()

        run(scenario)

    @pytest.mark.parametrize("late", [True, False], ids=["late", "at once"])
    def test_bytes_after_the_answer_are_discarded(self, open_server, late):
        # The server sends an unrequested answer after the right one. The next call on
        # the same connection would read it as its own.
        async def scenario():
            stray = OK.replace(b"Id: 1", b"Id: 2").replace(b"body", b"mine")
            first = OK if late else OK + stray
            async with open_server(first, OK) as script:
                client = CallClient(1)
                await client.call(make_call(script))
                if late:
                    await script.write(stray)
                answer = await client.call(make_call(script, echo="2"))
                assert answer.body == b"body"
                client.close()

        run(scenario)

    def test_a_body_over_the_limit_raises_answer_lost(self, open_server, monkeypatch):
        # A server streams an endless body. The client must not use memory without
        # bound.
        monkeypatch.setattr(answer_memory, "MAX_BODY_BYTES", 3)

        async def scenario():
            async with open_server(OK) as script:
                client = CallClient(1)
                with pytest.raises(AnswerLost):
                    await client.call(make_call(script))
                client.close()

        run(scenario)


class TestAbort:
    @pytest.mark.parametrize("is_sent", [True, False], ids=["sent", "queued"])
    def test_an_aborted_call_says_whether_it_was_sent(self, open_server, is_sent):
        async def scenario():
            async with open_server(b"", b"") as script:
                client = CallClient(1)
                first = make_call(script)
                first_task = asyncio.create_task(client.call(first))
                call = first if is_sent else make_call(script)
                task = first_task if is_sent else asyncio.create_task(client.call(call))
                await asyncio.sleep(0.1)
                client.abort(call, "link lost")
                with pytest.raises(AnswerLost if is_sent else NeverSent) as caught:
                    await task
                if is_sent:
                    assert caught.value.ended_by is EndedBy.CLIENT
                    assert caught.value.cause == "link lost"
                client.close()
                await asyncio.gather(first_task, return_exceptions=True)

        run(scenario)

    def test_bytes_that_the_machine_has_acknowledged(self, open_server):
        # The machine of a server that is slow or suspended acknowledges a call.
        async def scenario():
            async with open_server(b"") as script:
                client = CallClient(1)
                call = make_call(script)
                task = asyncio.create_task(client.call(call))
                await asyncio.sleep(0.1)
                assert not client.has_unacknowledged_bytes(call)
                client.close()
                await asyncio.gather(task, return_exceptions=True)

        run(scenario)

    @pytest.mark.parametrize(("unsent", "is_evidence"), [(300, False), (0, True)])
    def test_bytes_that_wait_in_this_machine(
        self, open_server, monkeypatch, unsent, is_evidence
    ):
        # Guards against a call given up although this machine has sent nothing of it.
        monkeypatch.setattr(Connections, "unacknowledged_bytes", lambda *_: 300)
        monkeypatch.setattr(Connections, "unsent_bytes", lambda *_: unsent)

        async def scenario():
            async with open_server(b"") as script:
                client = CallClient(1)
                call = make_call(script)
                task = asyncio.create_task(client.call(call))
                await asyncio.sleep(0.1)
                assert client.has_unacknowledged_bytes(call) is is_evidence
                client.close()
                await asyncio.gather(task, return_exceptions=True)

        run(scenario)

    def test_bytes_that_the_machine_has_not_acknowledged(self, open_server):
        # More is sent than the server's receive buffer holds, and it reads nothing.
        async def scenario():
            with socket.create_server(("127.0.0.1", 0)) as listener:
                client = CallClient(1)
                url = f"http://127.0.0.1:{listener.getsockname()[1]}/"
                call = Call("POST", url, {}, b"x" * 16_000_000, 5.0)
                task = asyncio.create_task(client.call(call))
                await asyncio.sleep(0.3)
                assert client.has_unacknowledged_bytes(call)
                queue = client.find_send_queue(call)
                # The server's window is full, so most bytes cannot be sent.
                assert 0 < queue.unsent <= queue.unacknowledged
                client.close()
                await asyncio.gather(task, return_exceptions=True)

        run(scenario)


class TestRequests:
    def test_a_large_body_is_sent_without_expect_continue(self, open_server):
        # Before a large body curl sends ``Expect: 100-continue`` and waits up to a
        # second for the interim answer, which many servers never send.
        async def scenario():
            async with open_server(OK) as script:
                client = CallClient(1)
                call = make_call(script, body=b"x" * 2_000_000)
                await client.call(call)
                assert b"Expect" not in script.requests[0]
                client.close()

        run(scenario)

    def test_no_header_is_added(self, open_server):
        async def scenario():
            async with open_server(OK) as script:
                client = CallClient(1)
                call = make_call(script)
                call.headers.append(b"Content-Type: a/b")
                await client.call(call)
                names = [
                    line.split(b":")[0] for line in script.requests[0].split(b"\r\n")
                ]
                assert names[1:-2] == [
                    b"Host",
                    b"Request-Id",
                    b"Content-Type",
                    b"Content-Length",
                ]
                client.close()

        run(scenario)

    @pytest.mark.parametrize("value", ["a\r\nFence: 9", "a\nb", "a\rb", "a\0b"])
    def test_a_line_break_in_a_header_is_rejected(self, value):
        # A line break in a caller's header would inject another header.
        with pytest.raises(NeverSent):
            Call("GET", "http://127.0.0.1:1/", {"Caller": value}, None, 1.0)


class TestRefusals:
    def test_refused_connection_has_its_own_error(self):
        # No process listens at a target's address, so its keys can be reassigned at
        # once. They cannot if the target is only unreachable or overloaded.
        async def scenario():
            with socket.socket() as sock:
                sock.bind(("127.0.0.1", 0))
                address = "127.0.0.1:%d" % sock.getsockname()[1]
            client = CallClient(1)
            with pytest.raises(ConnectionRefused):
                await client.call(Call("GET", f"http://{address}/", {}, None, 1.0))
            client.close()

        run(scenario)

    def test_connection_closed_after_accept_is_not_a_refusal(self):
        # An overloaded target accepts connections and resets them.
        async def scenario():
            async def full(reader, writer):
                writer.close()

            server = await asyncio.start_server(full, "127.0.0.1", 0)
            address = "127.0.0.1:%d" % server.sockets[0].getsockname()[1]
            client = CallClient(1)
            with pytest.raises(CallFailed) as caught:
                await client.call(Call("GET", f"http://{address}/", {}, None, 1.0))
            assert not isinstance(caught.value, ConnectionRefused)
            client.close()
            server.close()

        run(scenario)


class TestFailures:
    def test_a_refused_connection_was_never_sent(self, open_server):
        # The server's process has ended.
        async def scenario():
            async with open_server() as script:
                script.base = "http://127.0.0.1:1"
                client = CallClient(1)
                call = make_call(script)
                with pytest.raises(NeverSent):
                    await client.call(call)
                assert not call.sent
                client.close()

        run(scenario)

    @pytest.mark.parametrize("seconds", [0.1, 0.5])
    def test_connecting_takes_at_most_the_connect_timeout(self, seconds):
        # Guards against a server that is unreachable over a link whose queueing delay
        # exceeds the usual time to connect.
        async def scenario():
            with socket.create_server(("127.0.0.1", 0), backlog=0) as listener:
                address = listener.getsockname()
                with socket.create_connection(address):
                    # The backlog is full, so further SYNs are dropped.
                    url = "http://{}:{}/work".format(*address)
                    client = CallClient(1, connect_timeout=seconds)
                    started_at = time.monotonic()
                    with pytest.raises(NeverSent, match="timed out"):
                        await client.call(Call("GET", url, {}, None, 5.0))
                    assert seconds <= time.monotonic() - started_at < seconds + 0.3
                    client.close()

        run(scenario)

    def test_a_timeout_after_sending_raises_answer_lost(self, open_server):
        # The server is frozen. The call times out with its effect unknown.
        async def scenario():
            async with open_server(None) as script:
                client = CallClient(1)
                call = make_call(script, timeout=0.05)
                with pytest.raises(AnswerLost):
                    await client.call(call)
                assert call.sent
                client.close()

        run(scenario)

    @pytest.mark.parametrize(
        ("method", "remedy"), [("GET", "; send it again"), ("PUT", "took effect")]
    )
    def test_the_remedy_depends_on_the_method(self, open_server, method, remedy):
        # A lost read has no effect. Advice to check whether it took effect would
        # mislead an operator who reads the status during an outage.
        async def scenario():
            async with open_server(None) as script:
                client = CallClient(1)
                body = None if method == "GET" else b""
                call = Call(method, script.base + "/work", {}, body, 0.05)
                with pytest.raises(AnswerLost, match=remedy):
                    await client.call(call)
                client.close()

        run(scenario)

    def test_a_timeout_in_the_queue_raises_never_sent(self, open_server):
        # Another call uses the only connection for longer than this call's timeout.
        async def scenario():
            async with open_server(None) as script:
                client = CallClient(1)
                first = asyncio.ensure_future(client.call(make_call(script)))
                while not script.requests:
                    await asyncio.sleep(0.001)
                call = make_call(script, timeout=0.05)
                with pytest.raises(NeverSent):
                    await client.call(call)
                assert not call.sent
                first.cancel()
                await asyncio.gather(first, return_exceptions=True)
                client.close()

        run(scenario)

    def test_a_cancelled_call_closes_its_connection_at_once(self, open_server):
        # The caller disconnects. A transfer that ran until its timeout would occupy
        # the connection, and the server would continue useless work.
        async def scenario():
            async with open_server(None, OK) as script:
                client = CallClient(1)
                call = make_call(script, timeout=3600.0)
                task = asyncio.ensure_future(client.call(call))
                while not script.requests:
                    await asyncio.sleep(0.001)
                task.cancel()
                with pytest.raises(asyncio.CancelledError):
                    await task
                assert call.sent
                await client.call(make_call(script))
                assert (script.connections, script.ended) == (2, 1)
                client.close()

        run(scenario)

    def test_a_call_cancelled_in_the_queue_is_never_sent(self, open_server):
        # The caller disconnects while its call still waits for a connection.
        async def scenario():
            async with open_server(None, OK) as script:
                client = CallClient(1)
                first = asyncio.ensure_future(client.call(make_call(script)))
                call = make_call(script)
                second = asyncio.ensure_future(client.call(call))
                while not script.requests:
                    await asyncio.sleep(0.001)
                second.cancel()
                first.cancel()
                await asyncio.gather(first, second, return_exceptions=True)
                await client.call(make_call(script))
                assert not call.sent
                assert len(script.requests) == 2
                client.close()

        run(scenario)

    def test_closing_fails_active_and_queued_calls(self, open_server):
        # The VM shuts down with calls active and queued. Each of them must fail.
        async def scenario():
            async with open_server(None) as script:
                client = CallClient(1)
                calls = [make_call(script), make_call(script)]
                tasks = [asyncio.ensure_future(client.call(call)) for call in calls]
                while not script.requests:
                    await asyncio.sleep(0.001)
                client.close()
                client.close()
                results = await asyncio.gather(*tasks, return_exceptions=True)
                assert [type(end) for end in results] == [AnswerLost, NeverSent]
                with pytest.raises(NeverSent):
                    await client.call(make_call(script))

        run(scenario)


class _ThreadServer:
    """A server in a thread, which runs while the event loop is blocked."""

    def __init__(self, answer):
        self._answer = answer
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.base = "http://127.0.0.1:{}".format(self._listener.getsockname()[1])
        self._ended = threading.Event()
        self._start(self._accept)

    def _start(self, target, *args):
        threading.Thread(target=target, args=args, daemon=True).start()

    def _accept(self):
        while not self._ended.is_set():
            conn, _ = self._listener.accept()
            self._start(self._serve, conn)

    def _serve(self, conn):
        with conn:
            conn.sendall(answer_to(conn.recv(4096), self._answer))
            self._ended.wait()

    def close(self):
        self._ended.set()
        self._listener.close()


@pytest.fixture
def thread_server():
    """Return a function that runs a server in a thread."""
    servers = []

    def start(answer):
        servers.append(_ThreadServer(answer))
        return servers[-1]

    yield start
    for server in servers:
        server.close()


def _complete_answer(size):
    head = f"HTTP/1.1 200 OK\r\nRequest-Id: 1\r\nContent-Length: {size}\r\n\r\n"
    return head.encode() + bytes(size)


class TestBlockedEventLoop:
    """The process is blocked by its disk or lacks CPU while its servers answer."""

    @pytest.mark.parametrize("size", [4, 90_000, 400_000])
    @pytest.mark.parametrize("calls", [1, 3])
    def test_answer_received_before_the_deadline_is_read_after_it(
        self, thread_server, size, calls
    ):
        # Guards against a 504 for a request that ran and whose answer is already in
        # the socket buffer.
        async def scenario():
            server = thread_server(_complete_answer(size))
            client = CallClient(calls)
            made = [make_call(server, timeout=0.3) for _ in range(calls)]
            tasks = [asyncio.ensure_future(client.call(call)) for call in made]
            while not all(call.sent for call in made):
                await asyncio.sleep(0.001)
            time.sleep(0.6)
            for answer in await asyncio.gather(*tasks):
                assert (answer.status, len(answer.body)) == (200, size)
            client.close()

        run(scenario)

    def test_connection_established_while_blocked_is_used(self, thread_server):
        # Guards against failing every pending call because the process was blocked.
        async def scenario():
            server = thread_server(OK)
            client = CallClient(2)
            made = [make_call(server, timeout=2.0) for _ in range(2)]
            tasks = [asyncio.ensure_future(client.call(call)) for call in made]
            await asyncio.sleep(0)
            time.sleep(2 * client_module.CONNECT_TIMEOUT_SECONDS)
            for answer in await asyncio.gather(*tasks):
                assert answer.status == 200
            client.close()

        run(scenario)

    def test_incomplete_answer_times_out(self, thread_server):
        # Guards against waiting forever for a server that never completes its answer.
        async def scenario():
            server = thread_server(_complete_answer(1_000_000)[:100])
            client = CallClient(1)
            started_at = time.monotonic()
            with pytest.raises(AnswerLost, match="timed out"):
                await client.call(make_call(server, timeout=0.2))
            assert time.monotonic() - started_at < 0.5
            client.close()

        run(scenario)


class TestRequestTarget:
    @pytest.mark.parametrize(
        "target",
        [
            "/caf%c3%a9",
            "/a%2fb/c?d=%e2",
            "/a/../b/./c//d/",
            "//a",
            "/a%zz%",
            "/a;b=c?d=e&f?g/../h",
            '/a\\b[c]|{d}^`"<>',
            "/caf\xe9",
            "/a?",
            "/a#b?c",
            "/?/",
        ],
    )
    def test_target_is_sent_as_it_is(self, open_server, target):
        # Guards against a server that runs another request than the caller sent.
        async def scenario():
            async with open_server(OK, OK) as script:
                client = CallClient(1)
                for other in (target, "/b"):
                    call = make_call(script, path=other)
                    assert (await client.call(call)).body == b"body"
                sent = [head.split(b"\r\n")[0] for head in script.requests]
                line = f"POST {target} HTTP/1.1".encode("latin-1")
                assert sent == [line, b"POST /b HTTP/1.1"]
                client.close()

        run(scenario)

    @pytest.mark.parametrize("character", [" ", "\t", "\r\n", "\x00", "\x7f"])
    def test_target_that_would_end_early_is_not_sent(self, open_server, character):
        # Guards against a request inside another one.
        async def scenario():
            async with open_server(OK) as script:
                with pytest.raises(NeverSent):
                    make_call(script, path=f"/a{character}b")

        run(scenario)


REJECTED = (
    b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: 1\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)


class CopyingServer:
    """Rejects the first sending of each call, and repeats each answer late.

    The copy is sent when the next request has arrived on the connection, before the
    answer to that request.

    Parameters
    ----------
    copies : int
        Copies of each answer.
    """

    def __init__(self, copies=1):
        self.copies = copies
        self.connections = 0
        self.runs = []
        self._rejected = set()

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        answer = b""
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                writer.write(answer * self.copies)
                call_id = head.partition("Request-Id: ")[2].partition("\r\n")[0]
                answer = self._answer(call_id)
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def _answer(self, call_id):
        if call_id not in self._rejected:
            self._rejected.add(call_id)
            raw = REJECTED
        else:
            self.runs.append(call_id)
            raw = OK
        return answer_to(f"Request-Id: {call_id}".encode(), raw)

    @asynccontextmanager
    async def open(self):
        """Listen, and set the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.base = "http://127.0.0.1:{}".format(server.sockets[0].getsockname()[1])
        try:
            yield self
        finally:
            server.close()


class TestRepeatedIds:
    """A call that a server has rejected is sent to it again, under the same id."""

    async def send_until_run(self, client, server, call_id):
        """Send a call again for as long as the answers say that it has not run."""
        status = 503
        while status == 503:
            try:
                status = (await client.call(make_call(server, echo=call_id))).status
            except AnswerLost:
                # Its connection carried a copy of the answer to an earlier call.
                status = 0 if call_id in server.runs else 503
            assert (status == 503) is (call_id not in server.runs)

    @pytest.mark.parametrize("copies", [1, 2])
    @pytest.mark.parametrize("connections", [1, 3])
    def test_late_copy_of_a_rejection_answers_no_second_sending(
        self, connections, copies
    ):
        # Guards against an order that is reported as not run, and runs.
        async def scenario():
            async with CopyingServer(copies).open() as server:
                client = CallClient(connections)
                for number in range(1, 6):
                    await self.send_until_run(client, server, str(number))
                client.close()
            assert server.runs == ["1", "2", "3", "4", "5"]

        run(scenario)

    def test_second_sending_that_was_queued_uses_a_new_connection(self):
        # Guards against the same where the second sending waits for the connection of
        # the first.
        async def scenario():
            async with CopyingServer().open() as server:
                client = CallClient(1)
                calls = [client.call(make_call(server, echo="1")) for _ in range(2)]
                answers = await asyncio.gather(*calls)
                assert [answer.status for answer in answers] == [503, 200]
                client.close()
            assert server.connections == 2

        run(scenario)

    def test_other_ids_keep_their_connection(self, open_server):
        # Guards against a new connection for each call.
        async def scenario():
            async with open_server(*[OK] * 20) as script:
                client = CallClient(2)
                for _ in range(20):
                    await client.call(make_call(script))
                assert script.connections == 1
                client.close()

        run(scenario)


class TestSentIds:
    def test_id_is_known_for_as_long_as_its_answer_may_come(self):
        # Guards against a late copy that passes for the answer to a slow call.
        sent_ids = SentIds()
        sent_ids.record(b"1", 100.0, 0.0)
        sent_ids.record(b"2", 1.0, 99.0)
        assert sent_ids.contains(b"1")

    def test_old_ids_are_forgotten(self):
        # Guards against memory that grows with each request ever sent.
        sent_ids = SentIds()
        for number in range(10_000):
            sent_ids.record(b"%d" % number, 1.0, number * 0.1)
        assert len(sent_ids._known_until) <= 3 * MIN_MEMORY_SECONDS / 0.1
