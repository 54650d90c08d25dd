"""Tests of the small servers for the balancer and other VMs."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
from berylstage_entry.internal_http import CLOSE_TIMEOUT_SECONDS, InternalServer
from berylstage_entry.responses import Response

SIZE = 4 * 1024 * 1024
QUESTION = b"POST /slow HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx"
DOWNLOAD = b"GET /large HTTP/1.1\r\nHost: h\r\n\r\n"


async def slow(body):
    await asyncio.sleep(0.1)
    return Response(200, body=b"whole")


async def endless(body):
    await asyncio.sleep(60)
    return Response(200)


def listen():
    """Return a server of some pages, and its port."""
    pages = InternalServer(
        {
            "/slow": slow,
            "/endless": endless,
            "/large": lambda body: Response(200, body=b"x" * SIZE),
        }
    )
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port = sock.getsockname()[1]
    pages.listen(f"127.0.0.1:{port}")
    return pages, port


class TestEnd:
    """Questions and answers that are on their way when the program ends."""

    def test_question_under_way_is_answered(self):
        # Guards against cutting off what a VM is about to say of the duty.
        async def play():
            pages, port = listen()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(QUESTION)
            await asyncio.sleep(0.05)
            closed = asyncio.create_task(pages.close())
            assert (await reader.read()).endswith(b"whole")
            writer.close()
            await closed

        asyncio.run(play())

    def test_question_unread_in_its_socket_is_answered(self):
        # Guards against closing a kept connection with a question in its socket.
        async def play():
            pages, port = listen()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(QUESTION)
            assert await reader.readuntil(b"whole")
            # The loop is held up: it has not read the question when the pages close.
            writer.write(QUESTION)
            closed = asyncio.create_task(pages.close())
            assert (await reader.read()).endswith(b"whole")
            writer.close()
            await closed

        asyncio.run(play())

    def test_answer_that_is_not_out_arrives_whole(self):
        # Guards against the end of the program with an answer half out.
        async def play():
            pages, port = listen()
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", port, limit=2048
            )
            writer.write(DOWNLOAD)
            await asyncio.sleep(0.1)
            closed = asyncio.create_task(pages.close())
            await asyncio.sleep(0.1)
            assert not closed.done()
            answer = await reader.read()
            writer.close()
            await closed
            assert len(answer.partition(b"\r\n\r\n")[2]) == SIZE

        asyncio.run(play())

    @pytest.mark.parametrize(
        "sent", [b"GET /endless HTTP/1.1\r\nHost: h\r\n\r\n", DOWNLOAD, b"GET /sl"]
    )
    def test_nobody_holds_the_end_up_for_long(self, sent):
        # Guards against a stop that waits for a page or an asker that never ends.
        async def play():
            pages, port = listen()
            _, writer = await asyncio.open_connection("127.0.0.1", port, limit=2048)
            writer.write(sent)
            await asyncio.sleep(0.1)
            began = time.monotonic()
            await pages.close()
            assert time.monotonic() - began < CLOSE_TIMEOUT_SECONDS + 0.5
            writer.close()

        asyncio.run(play())

    def test_idle_connections_are_not_waited_for(self):
        # Guards against a stop that takes longer because others keep connections.
        async def play():
            pages, port = listen()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(QUESTION)
            assert await reader.readuntil(b"whole")
            await asyncio.sleep(0.05)
            began = time.monotonic()
            await pages.close()
            assert time.monotonic() - began < CLOSE_TIMEOUT_SECONDS / 2
            assert await reader.read() == b""
            writer.close()

        asyncio.run(play())
