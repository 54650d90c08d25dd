"""A server that sends the answers given by a test."""

from __future__ import annotations

import asyncio
import sys
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from scripted_calls import CLOSE, answer_to


class Script:
    """The answers that the server sends, and the requests that it received.

    ``answers`` holds the bytes for each request in order, across all connections; in
    them, id 1 stands for that of the request. None
    leaves a request unanswered, and ``CLOSE`` at the end closes the connection after
    the answer.
    """

    def __init__(self, answers):
        self.answers = list(answers)
        self.requests = []
        self.connections = 0
        self.ended = 0
        self.base = ""

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        self._writer = writer
        try:
            while await self._exchange(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
            await writer.wait_closed()
            self.ended += 1

    async def write(self, raw):
        """Send unrequested bytes on the newest connection."""
        self._writer.write(raw)
        await self._writer.drain()

    async def _exchange(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        for line in head.split(b"\r\n"):
            if line.startswith(b"Content-Length:"):
                await reader.readexactly(int(line.split(b":")[1]))
        self.requests.append(head)
        answer = self.answers.pop(0) if self.answers else None
        if answer is None:
            await reader.readexactly(1)
            return False
        writer.write(answer_to(head, answer).removesuffix(CLOSE))
        await writer.drain()
        return not answer.endswith(CLOSE)


@asynccontextmanager
async def serve(*answers):
    """Run a server that sends the given answers."""
    script = Script(answers)
    server = await asyncio.start_server(script.serve, "127.0.0.1", 0)
    script.base = "http://127.0.0.1:{}".format(server.sockets[0].getsockname()[1])
    try:
        yield script
    finally:
        server.close()


@pytest.fixture
def open_server():
    """Return a function that runs a server with given answers."""
    return serve
