"""Tests of a server of callers that has room for few connections."""

from __future__ import annotations

import asyncio

from berylstage_entry import caller_listener
from berylstage_entry.connection import CallerConnection
from berylstage_entry.connection_limit import MIN_WAITING_SECONDS
from test_server import REQUEST, SlowRouter, start_server

MAX_CONNECTIONS = 4
OLD_SECONDS = MIN_WAITING_SECONDS + 0.1


class Callers:
    """Connections to a server, which are closed when the test ends."""

    def __init__(self, port):
        self._port = port
        self._writers = []

    async def connect(self, data=b""):
        """Return the two ends of a new connection on which bytes have been sent."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._writers.append(writer)
        writer.write(data)
        return reader, writer

    def close(self):
        for writer in self._writers:
            writer.transport.abort()


async def read_status(reader):
    """Return the status of an answer; None if the connection ends without one."""
    line = await reader.readline()
    return int(line.split()[1]) if line else None


async def play(scenario, router=None):
    server, port = start_server(router or SlowRouter(0.0))
    server.max_connections = MAX_CONNECTIONS
    callers = Callers(port)
    try:
        await scenario(callers)
    finally:
        callers.close()
        await server.close()


class TestRoom:
    def test_longest_idle_connection_is_closed(self):
        # Guards against a VM without descriptors for its targets and the store.
        async def scenario(callers):
            idle = [await callers.connect() for _ in range(MAX_CONNECTIONS)]
            await asyncio.sleep(OLD_SECONDS)
            idle[0][1].write(REQUEST)
            assert await read_status(idle[0][0]) == 200
            reader, _ = await callers.connect(REQUEST)
            assert await read_status(reader) == 200
            # What has been used last is kept.
            await idle[0][0].readuntil(b"whole")
            idle[0][1].write(REQUEST)
            assert await read_status(idle[0][0]) == 200
            assert await idle[1][0].read() == b""

        asyncio.run(play(scenario))

    def test_connection_that_cannot_be_ended_yet_is_passed_over(self, monkeypatch):
        # Guards against callers that stop all new ones by an answer they do not take.
        monkeypatch.setattr(caller_listener, "ACCEPTS_PER_TURN", 1)
        close_if_idle = CallerConnection.close_if_idle
        busy = []

        def refuse_first(conn):
            if not busy:
                busy.append(conn)
            return conn not in busy and close_if_idle(conn)

        monkeypatch.setattr(CallerConnection, "close_if_idle", refuse_first)

        async def scenario(callers):
            for _ in range(MAX_CONNECTIONS):
                await callers.connect()
            await asyncio.sleep(OLD_SECONDS)
            reader, _ = await callers.connect(REQUEST)
            async with asyncio.timeout(5):
                assert await read_status(reader) == 200

        asyncio.run(play(scenario))

    def test_unfinished_requests_are_refused(self):
        # Guards against callers that hold all connections by requests without an end.
        async def scenario(callers):
            body = REQUEST.replace(b"GET", b"POST")[:-2] + b"Content-Length: 9\r\n\r\n"
            unfinished = []
            for data in (body, body, REQUEST[:9], REQUEST[:9]):
                reader, _ = await callers.connect(data)
                unfinished.append(reader)
            await asyncio.sleep(OLD_SECONDS)
            reader, _ = await callers.connect(REQUEST)
            assert await read_status(reader) == 200
            assert [await read_status(r) for r in unfinished] == [503] * 4

        asyncio.run(play(scenario))

    def test_requests_that_are_served_are_not_ended(self):
        # Guards against requests that are cut to make room for others.
        async def scenario(callers):
            served = []
            for _ in range(MAX_CONNECTIONS):
                reader, _ = await callers.connect(REQUEST)
                served.append(reader)
            await asyncio.sleep(OLD_SECONDS)
            reader, _ = await callers.connect(REQUEST)
            assert [await read_status(r) for r in served] == [200] * MAX_CONNECTIONS
            assert await read_status(reader) == 200

        asyncio.run(play(scenario, SlowRouter(2 * OLD_SECONDS)))

    def test_lack_of_descriptors_pauses_accepting(self, monkeypatch):
        # Guards against a loop that tries again and again to accept a connection.
        calls = []

        class ExhaustedQueue(caller_listener.AcceptQueue):
            def accept(self, number):
                calls.append(number)
                if len(calls) <= 3:
                    self.lacks_resources = True
                    return []
                return super().accept(number)

        monkeypatch.setattr(caller_listener, "AcceptQueue", ExhaustedQueue)

        async def scenario(callers):
            reader, _ = await callers.connect(REQUEST)
            await asyncio.sleep(caller_listener.PAUSE_SECONDS * 1.5)
            assert len(calls) <= 2
            assert await read_status(reader) == 200

        asyncio.run(play(scenario))

    def test_connections_wait_while_nothing_can_be_ended(self):
        # Guards against new connections that are reset although there is room soon.
        async def scenario(callers):
            for _ in range(MAX_CONNECTIONS):
                await callers.connect()
            waiting = [await callers.connect(REQUEST) for _ in range(2)]
            assert [await read_status(reader) for reader, _ in waiting] == [200] * 2

        asyncio.run(play(scenario))
