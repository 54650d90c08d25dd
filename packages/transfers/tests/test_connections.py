"""Tests of the connections that a client keeps to its server."""

from __future__ import annotations

import asyncio
import socket

import pytest
from berylstage_transfers import curl_handle
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost, ConnectionClosed, EndedBy
from scripted_calls import CLOSE, OK, answer_to, make_call, run


def read_user_timeout(fd):
    """Return the timeout in milliseconds of a socket's unacknowledged bytes."""
    sock = socket.socket(fileno=fd)
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
    finally:
        sock.detach()


class TestKeptConnections:
    def test_a_lost_answer_retires_all_older_connections(self, open_server):
        # A middlebox loses the state of all open connections at once. The first call
        # times out; the next ones must open new connections.
        async def scenario():
            answers = [OK, OK, OK, None, OK, OK]
            async with open_server(*answers) as script:
                client = CallClient(3)
                calls = [client.call(make_call(script)) for _ in range(3)]
                await asyncio.gather(*calls)
                assert script.connections == 3
                with pytest.raises(AnswerLost):
                    await client.call(make_call(script, timeout=0.05))
                await client.call(make_call(script))
                assert script.connections == 4
                client.close()

        run(scenario)

    def test_a_cancelled_call_keeps_the_other_connections(self, open_server):
        # Callers disconnect frequently. Replacing every kept connection each time
        # would make a busy VM open connections constantly.
        async def scenario():
            async with open_server(OK, OK, None, OK) as script:
                client = CallClient(2)
                calls = [client.call(make_call(script)) for _ in range(2)]
                await asyncio.gather(*calls)
                task = asyncio.ensure_future(client.call(make_call(script)))
                while len(script.requests) < 3:
                    await asyncio.sleep(0.001)
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)
                await client.call(make_call(script))
                assert script.connections == 2
                client.close()

        run(scenario)

    def test_a_connection_closed_by_the_server_loses_no_call(self, open_server):
        # The server restarts and closes its connections while no call is active. The
        # outcome of a call sent on such a connection would be unknown.
        async def scenario():
            async with open_server(OK + CLOSE, OK) as script:
                client = CallClient(1)
                await client.call(make_call(script))
                while not script.ended:
                    await asyncio.sleep(0.001)
                await client.call(make_call(script))
                assert len(script.requests) == 2
                client.close()

        run(scenario)

    def test_a_fresh_call_opens_a_connection(self, open_server):
        async def scenario():
            async with open_server(OK, OK) as script:
                client = CallClient(2)
                await client.call(make_call(script))
                await client.call(make_call(script, fresh=True))
                assert script.connections == 2
                client.close()

        run(scenario)

    def test_open_connections_stay_within_the_limit(self, open_server):
        # A target accepts 50 connections and closes further ones. Kept and new
        # connections together must not exceed the limit, or calls would fail at random.
        async def scenario():
            async with open_server(*[OK] * 20) as script:
                client = CallClient(2)
                for _ in range(10):
                    await client.call(make_call(script, fresh=True))
                    await asyncio.sleep(0)
                    assert script.connections - script.ended <= 3
                client.close()

        run(scenario)


class TestClosedConnections:
    """Whether the server has closed the connections of a client."""

    @pytest.mark.parametrize("is_warm", [False, True])
    @pytest.mark.parametrize("answer", [CLOSE, OK[:-2] + CLOSE])
    def test_closed_without_a_complete_answer(self, open_server, is_warm, answer):
        async def scenario():
            answers = [OK] if is_warm else []
            async with open_server(*answers, answer) as script:
                client = CallClient(1)
                if is_warm:
                    await client.call(make_call(script))
                with pytest.raises(ConnectionClosed) as caught:
                    await client.call(make_call(script))
                assert caught.value.ended_by is EndedBy.SERVER
                client.close()

        run(scenario)

    def test_connection_that_the_kernel_gave_up_is_no_close(
        self, open_server, monkeypatch
    ):
        # Guards against taking a silent link for a server that has closed.
        monkeypatch.setattr(curl_handle, "UNACKNOWLEDGED_MS", 0)

        async def scenario():
            async with open_server(OK, CLOSE) as script:
                client = CallClient(1)
                await client.call(make_call(script))
                with pytest.raises(AnswerLost) as caught:
                    await client.call(make_call(script))
                assert not isinstance(caught.value, ConnectionClosed)
                assert caught.value.ended_by is EndedBy.KERNEL
                client.close()

        run(scenario)

    def test_timeout_is_no_close(self, open_server):
        async def scenario():
            async with open_server(None) as script:
                client = CallClient(1)
                with pytest.raises(AnswerLost) as caught:
                    await client.call(make_call(script, timeout=0.2))
                assert not isinstance(caught.value, ConnectionClosed)
                assert caught.value.ended_by is EndedBy.DEADLINE
                client.close()

        run(scenario)


class TestUserTimeout:
    def test_descriptor_that_another_socket_has(self, open_server):
        # Guards against setting the timeout of another connection.
        async def scenario():
            async with open_server(OK) as script:
                client = CallClient(1)
                await client.call(make_call(script))
                connections = client._connections
                ((port, fd),) = connections._fds.items()
                connections.set_user_timeout(port, 700)
                assert read_user_timeout(fd) == 700
                connections._fds = {port + 1: fd}
                connections.set_user_timeout(port + 1, 900)
                assert read_user_timeout(fd) == 700
                with open("/dev/null") as other, socket.socket() as unconnected:
                    connections._fds = {port: other.fileno()}
                    connections.set_user_timeout(port, 900)
                    connections._fds = {port: unconnected.fileno()}
                    connections.set_user_timeout(port, 900)
                    assert read_user_timeout(unconnected.fileno()) == 0
                client.close()

        run(scenario)


class TestIdleConnections:
    def test_a_server_that_drops_idle_connections_loses_one_call(self):
        # A server drops connections that were idle for a third of a second and resets
        # the next call on them. Without a limit on the idle time, every call after
        # such a pause would be lost with its outcome unknown.
        async def serve_forgetting_idle(reader, writer):
            last = None
            loop = asyncio.get_running_loop()
            while True:
                try:
                    head = await reader.readuntil(b"\r\n\r\n")
                except (asyncio.IncompleteReadError, ConnectionError):
                    return
                if last is not None and loop.time() - last > 0.3:
                    writer.transport.abort()
                    return
                writer.write(answer_to(head, OK))
                last = loop.time()

        async def scenario():
            server = await asyncio.start_server(serve_forgetting_idle, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            url = f"http://127.0.0.1:{port}/work"
            client = CallClient(1)
            lost = 0
            for n in range(5):
                headers = {"Request-Id": f"{n}"}
                call = Call("POST", url, headers, b"", 5.0, echo=f"{n}")
                try:
                    await client.call(call)
                except AnswerLost:
                    lost += 1
                await asyncio.sleep(0.4)
            client.close()
            server.close()
            return lost

        assert run(scenario) == 1


class TestSingleUse:
    def test_its_connection_carries_no_other_call(self, open_server):
        # Guards against an answer that passes for that to another call, where a server
        # echoes no id.
        async def scenario():
            async with open_server(*[OK] * 3) as script:
                client = CallClient(2)
                await client.call(make_call(script))
                await client.call(make_call(script, single_use=True))
                assert script.connections == 2
                await client.call(make_call(script))
                assert script.connections == 2
                while not script.ended:
                    await asyncio.sleep(0.001)
                client.close()

        run(scenario)
