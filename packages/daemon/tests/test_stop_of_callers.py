"""Tests of what callers that keep their connection see while a daemon stops."""

from __future__ import annotations

import asyncio
import socket
from types import SimpleNamespace

import pytest
from berylstage_daemon import servers
from berylstage_daemon.answers import Answer, Outcome
from berylstage_daemon.application import EXIT_CUT, EXIT_OK, Application
from berylstage_daemon.config import read_settings
from berylstage_daemon.part import Part
from berylstage_sheet.configuration import (
    Configuration,
    Kind,
    Ownership,
    RequestClass,
    Service,
)

LONG_ENOUGH_S = 20.0
PROMPT_S = 5.0
WORK_S = 0.1
TURN_S = 0.05
LAST_CALL = 2
# A request passes through the socket, the stream and a task before it is counted; each
# takes a turn of the loop.
TURNS = 4
UNACCEPTED = 8
RECEIVE_BUFFER_BYTES = 32 * 1024
SEGMENT_BYTES = 1400
LARGE_BYTES = 200_000


class Moment(Part):
    """Does something at the end of the drain, some turns before the look."""

    def __init__(self, deed, turns):
        self._deed = deed
        self._turns = turns

    async def start(self):
        pass

    async def drain(self):
        self._deed()
        for _ in range(self._turns):
            await asyncio.sleep(0)

    async def stop(self):
        pass


class Caller:
    """A caller on a raw connection that it keeps."""

    def __init__(self, address):
        host, port = address.split(":")
        self._sock = socket.socket()
        # Small, so that most of a large answer waits at the daemon.
        self._sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        # Segments of the loopback are larger than this buffer.
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._sock.connect((host, int(port)))

    def send(self, raw):
        """Hand bytes to the kernel, and leave the loop as it is."""
        self._sock.sendall(raw)

    async def read(self):
        """Return what comes until an answer is whole or the connection ends."""
        self._sock.setblocking(False)
        loop = asyncio.get_running_loop()
        got = b""
        async with asyncio.timeout(LONG_ENOUGH_S):
            while not got.endswith(b"done"):
                try:
                    piece = await loop.sock_recv(self._sock, 65536)
                except ConnectionResetError:
                    break
                if not piece:
                    break
                got += piece
        return got

    def close(self):
        """Close the connection."""
        self._sock.close()


class Daemon:
    """A real application of which only the callers' server has started."""

    def __init__(self, limit):
        flags = {"vm": "almaty-a-1", "data-centre": "almaty-a"}
        flags |= {"platform": "127.0.0.1:1", "shutdown-limit": limit}
        self.address = _free_address()
        self.app = Application(read_settings({**flags, "http": self.address}, {}))
        self.ran = []
        self.body = b"done"
        self.app.control.node = SimpleNamespace(
            leave=lambda: None,
            leads_anything=lambda: False,
        )
        self.app.control.configuration = _configuration
        self.app.router.serve = self._serve

    async def start(self):
        """Listen, and let a caller on a kept connection have its first answer."""
        await self.app.parts()[-1].start()
        caller = Caller(self.address)
        caller.send(request("first"))
        assert _is_answered(await caller.read())
        return caller

    async def stop(self):
        """Stop as a signal does; return the exit status."""
        async with asyncio.timeout(LONG_ENOUGH_S):
            return await self.app.stop()

    async def _serve(self, req):
        """Work as a target does."""
        self.ran.append(req.key)
        await asyncio.sleep(WORK_S)
        return Answer(Outcome.ANSWERED, 200, body=self.body, content_type="text/plain")


def request(key, body=b""):
    """Return the bytes of a caller's request."""
    head = f"POST /field-log/lookup/{key} HTTP/1.1\r\nHost: h\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


def _configuration():
    """Return one service with one kind."""
    kinds = {"lookup": Kind("lookup", RequestClass.INTERACTIVE, True, 5000)}
    service = Service("field-log", "saryarka", Ownership.OWNED, 8, kinds)
    return Configuration(1, {"field-log": service}, {}, {}, {}, [])


def _is_answered(got):
    """Tell whether a whole answer has come."""
    return got.startswith(b"HTTP/1.1 200") and got.endswith(b"done")


def _free_address():
    """Return an address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:{}".format(sock.getsockname()[1])


@pytest.fixture
def play(monkeypatch):
    """Return how to play a scenario with a daemon and a caller that it has served."""
    monkeypatch.setattr(servers, "BALANCER_LAG", 0.0)

    def run(scenario, limit="30"):
        async def whole():
            daemon = Daemon(limit)
            caller = await daemon.start()
            try:
                return await scenario(daemon, caller)
            finally:
                caller.close()

        return asyncio.run(whole())

    return run


class TestNewConnection:
    def test_request_of_an_unaccepted_connection_is_answered(self, play):
        # Guards against a loop that is held up until the port closes, which resets the
        # connections that have come meanwhile.
        async def scenario(daemon, _):
            callers = []

            async def hold_up():
                for number in range(UNACCEPTED):
                    callers.append(Caller(daemon.address))
                    callers[-1].send(request(f"new-{number}"))

            daemon.app.load.drain = hold_up
            status = await daemon.stop()
            return status, [await caller.read() for caller in callers], daemon.ran

        status, answers, ran = play(scenario)
        assert [_is_answered(got) for got in answers] == UNACCEPTED * [True]
        assert (status, len(ran)) == (EXIT_OK, 1 + UNACCEPTED)

    def test_connection_without_a_request_does_not_hold_up_the_stop(self, play):
        # A caller connects as the port closes, and sends nothing.
        async def scenario(daemon, _):
            callers = []

            async def connect():
                callers.append(Caller(daemon.address))

            daemon.app.load.drain = connect
            async with asyncio.timeout(PROMPT_S):
                status = await daemon.stop()
            return status, await callers[0].read()

        assert play(scenario) == (EXIT_OK, b"")


class TestKeptConnection:
    @pytest.mark.parametrize("turns", range(TURNS))
    def test_request_unread_at_the_look_is_answered(self, play, turns):
        # The loop is held up when a request comes, which is not counted at the look.
        async def scenario(daemon, caller):
            come = Moment(lambda: caller.send(request("unread")), turns)
            daemon.app.add_part(come)
            status = await daemon.stop()
            return status, await caller.read(), daemon.ran

        status, got, ran = play(scenario)
        assert _is_answered(got)
        assert (status, ran) == (EXIT_OK, ["first", "unread"])

    def test_request_after_the_look_is_answered(self, play):
        # Nothing is in flight, and a request comes while the leaders end their work.
        async def scenario(daemon, caller):
            calls = []

            async def drain():
                calls.append(len(calls) + 1)
                if calls[-1] == LAST_CALL:
                    caller.send(request("late"))
                    await asyncio.sleep(TURN_S)

            daemon.app.leaders.drain = drain
            status = await daemon.stop()
            return status, await caller.read(), daemon.ran

        status, got, ran = play(scenario)
        assert _is_answered(got)
        assert (status, ran) == (EXIT_OK, ["first", "late"])

    @pytest.mark.parametrize("part", [10, -5], ids=["head", "body"])
    def test_request_half_read_is_answered(self, play, part):
        # The rest of a request is on its way when nothing else is left to do.
        async def scenario(daemon, caller):
            raw = request("half", b"1234567890")
            caller.send(raw[:part])
            stopping = asyncio.ensure_future(daemon.stop())
            await asyncio.sleep(WORK_S)
            caller.send(raw[part:])
            return await stopping, await caller.read(), daemon.ran

        status, got, ran = play(scenario)
        assert _is_answered(got)
        assert (status, ran) == (EXIT_OK, ["first", "half"])

    def test_request_half_read_at_the_limit_is_told(self, play):
        # The rest of a request never comes. The stop must end, and tell of the cut.
        async def scenario(daemon, caller):
            caller.send(request("half", b"1234567890")[:-5])
            return await daemon.stop(), await caller.read(), daemon.ran

        status, got, ran = play(scenario, limit="0.3")
        assert (status, got, ran) == (EXIT_CUT, b"", ["first"])

    def test_answer_made_in_the_stop_sends_its_caller_elsewhere(self, play):
        # A request is under way at the signal. The next behind it could be cut.
        async def scenario(daemon, caller):
            caller.send(request("before"))
            await asyncio.sleep(TURN_S)
            status = await daemon.stop()
            return status, await caller.read()

        status, got = play(scenario)
        assert status == EXIT_OK
        assert b"\r\nConnection: close\r\n" in got

    def test_idle_connection_does_not_hold_up_the_stop(self, play):
        # A caller keeps its connection for long. The stop must not wait for it.
        async def scenario(daemon, caller):
            async with asyncio.timeout(PROMPT_S):
                status = await daemon.stop()
            return status, await caller.read()

        assert play(scenario) == (EXIT_OK, b"")


class TestLastAnswer:
    """An answer that the kernel holds while its caller takes it slowly."""

    def start_answer(self, daemon, caller):
        """Begin to stop while the answer is being made; return the stop."""
        daemon.body = bytes(LARGE_BYTES) + b"done"
        caller.send(request("large"))
        return asyncio.ensure_future(daemon.stop())

    def test_stop_waits_until_it_is_taken(self, play):
        # Guards against a VM that is taken down with the answer in its send queue.
        async def scenario(daemon, caller):
            stopping = self.start_answer(daemon, caller)
            await asyncio.sleep(5 * WORK_S)
            is_waiting = not stopping.done()
            return is_waiting, await caller.read(), await stopping

        is_waiting, got, status = play(scenario)
        assert is_waiting
        assert _is_answered(got)
        assert status == EXIT_OK

    def test_request_behind_it_does_not_cut_it(self, play):
        # Guards against closing the connection as idle: the next request would reset
        # it, and the rest of the answer be lost.
        async def scenario(daemon, caller):
            stopping = self.start_answer(daemon, caller)
            await asyncio.sleep(5 * WORK_S)
            caller.send(request("behind"))
            return await caller.read(), await caller.read(), await stopping

        *answers, status = play(scenario)
        assert [_is_answered(got) for got in answers] == [True, True]
        assert status == EXIT_OK

    def test_caller_that_takes_nothing_is_told_as_a_cut(self, play):
        # The stop must end, and tell of the cut.
        async def scenario(daemon, caller):
            stopping = self.start_answer(daemon, caller)
            return await stopping, await caller.read()

        status, _ = play(scenario, limit="1")
        assert status == EXIT_CUT

    def test_caller_that_goes_away_does_not_hold_up_the_stop(self, play):
        async def scenario(daemon, caller):
            stopping = self.start_answer(daemon, caller)
            await asyncio.sleep(2 * WORK_S)
            caller.close()
            async with asyncio.timeout(PROMPT_S):
                return await stopping

        assert play(scenario) == EXIT_OK
