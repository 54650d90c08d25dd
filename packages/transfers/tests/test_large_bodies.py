"""Tests of calls with large bodies to servers that read them slowly or not at all."""

from __future__ import annotations

import asyncio
import sys
from contextlib import asynccontextmanager

import pytest
from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import AnswerLost
from scripted_calls import OK, run

# Far more than the socket buffers on both sides hold.
BODY_BYTES = 30_000_000
REFUSED = OK.replace(b"200 OK", b"503 Unavailable")


@asynccontextmanager
async def serve(answer):
    """Serve each connection with a coroutine; yield the address and all writers."""
    writers = []

    async def handle(reader, writer):
        writers.append(writer)
        try:
            await reader.readuntil(b"\r\n\r\n")
            await answer(reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    try:
        host, port = server.sockets[0].getsockname()
        yield f"http://{host}:{port}/work", writers
    finally:
        server.close()


def make_upload(url, body, timeout=10.0):
    return Call("POST", url, {"Request-Id": "1"}, body, timeout, echo="1")


async def read_all(reader, size):
    while size:
        size -= len(await reader.read(size))


class TestLargeBodies:
    def test_body_is_released_when_its_call_ends(self):
        # pycurl keeps a body until the handle's next call, so that idle handles would
        # hold the last body sent to each target.
        async def answer(reader, writer):
            await read_all(reader, 1_000_000)
            writer.write(OK)
            await reader.read(1)

        async def scenario():
            body = bytes(1_000_000)
            references = sys.getrefcount(body)
            async with serve(answer) as (url, _):
                client = CallClient(1)
                call = make_upload(url, body)
                assert (await client.call(call)).status == 200
                del call
                assert sys.getrefcount(body) == references
                client.close()

        run(scenario)

    def test_body_of_a_queued_call_is_released_when_the_call_ends(self):
        # The timer for a call that waits for a connection kept its body until the
        # deadline, 11 s for an upload.
        async def answer(reader, writer):
            for _ in range(2):
                await read_all(reader, 1_000_000)
                writer.write(OK)
                await reader.readuntil(b"\r\n\r\n")

        async def scenario():
            bodies = [bytes(1_000_000) for _ in range(2)]
            async with serve(answer) as (url, _):
                client = CallClient(1)
                calls = [make_upload(url, body) for body in bodies]
                await asyncio.gather(*(client.call(call) for call in calls))
                del calls
                body = bodies.pop()
                # The variable, and the argument of the function.
                assert sys.getrefcount(body) == 2
                client.close()

        run(scenario)

    @pytest.mark.parametrize("raw", [OK, REFUSED], ids=["200", "503"])
    def test_answer_before_the_end_of_a_body_is_returned(self, raw):
        # A full target answers by the head alone. The answer says whether the request
        # has run; waiting for the body to be taken would lose it.
        async def answer(reader, writer):
            writer.write(raw)
            await asyncio.sleep(20)

        async def scenario():
            async with serve(answer) as (url, writers):
                client = CallClient(1)
                found = await client.call(make_upload(url, bytes(BODY_BYTES), 3.0))
                assert found.status == (200 if raw is OK else 503)
                # The rest of the body would be read as the next request.
                again = make_upload(url, b"x", 1.0)
                assert (await client.call(again)).status == found.status
                assert len(writers) == 2
                client.close()

        run(scenario)

    def test_target_that_stops_reading_for_three_seconds_gets_the_whole_body(self):
        # The kernel takes a full receive buffer for silence, and reset the connection
        # of an upload after 2 s, although its target was only suspended.
        async def answer(reader, writer):
            await asyncio.sleep(3.0)
            await read_all(reader, BODY_BYTES)
            writer.write(OK)
            await reader.read(1)

        async def scenario():
            async with serve(answer) as (url, _):
                client = CallClient(1)
                call = make_upload(url, bytes(BODY_BYTES))
                assert (await client.call(call)).status == 200
                client.close()

        run(scenario)

    def test_body_that_is_still_being_sent_does_not_look_like_a_lost_link(self):
        # An upload of 360 kB is under way for 0.29 s on a link of 10 Mbit/s. Bytes that
        # are unacknowledged for 0.25 s made the VM give up the link to the target.
        async def answer(reader, writer):
            for _ in range(50):
                await read_all(reader, BODY_BYTES // 50)
                await asyncio.sleep(0.02)
            writer.write(OK)
            await reader.read(1)

        async def scenario():
            async with serve(answer) as (url, _):
                client = CallClient(1)
                call = make_upload(url, bytes(BODY_BYTES))
                task = asyncio.create_task(client.call(call))
                seen = []
                for _ in range(6):
                    await asyncio.sleep(0.1)
                    seen.append(client.has_unacknowledged_bytes(call))
                assert not any(seen[1:])
                assert (await task).status == 200
                client.close()

        run(scenario)

    def test_body_without_progress_looks_like_a_lost_link(self):
        async def answer(reader, writer):
            await asyncio.sleep(20)

        async def scenario():
            async with serve(answer) as (url, _):
                client = CallClient(1)
                call = make_upload(url, bytes(BODY_BYTES))
                task = asyncio.create_task(client.call(call))
                await asyncio.sleep(0.5)
                client.has_unacknowledged_bytes(call)
                for _ in range(3):
                    await asyncio.sleep(0.1)
                    assert client.has_unacknowledged_bytes(call)
                client.close()
                await asyncio.gather(task, return_exceptions=True)

        run(scenario)

    def test_target_that_reads_slowly_is_waited_for_until_the_deadline(self):
        async def answer(reader, writer):
            await reader.read(1000)
            await asyncio.sleep(20)

        async def scenario():
            body = bytes(BODY_BYTES)
            references = sys.getrefcount(body)
            async with serve(answer) as (url, _):
                client = CallClient(1)
                # The outcome is unknown, because the target has read a part.
                call = make_upload(url, body, 0.5)
                with pytest.raises(AnswerLost) as caught:
                    await client.call(call)
                assert call.sent
                assert caught.value
                del call
                assert sys.getrefcount(body) == references
                client.close()

        run(scenario)
