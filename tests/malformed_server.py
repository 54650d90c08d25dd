"""A server that answers every call with bytes that are no valid answer."""

from __future__ import annotations

import asyncio
import re
from contextlib import asynccontextmanager

BODY = b'{"items": [], "rev": 7, "lease": 7, "current_rev": 7}'
STATUS = b"HTTP/1.1 200 OK"
LENGTH = b"Content-Length: %d" % len(BODY)
# Headers of a target's answer; ``%s`` is the id of the request.
TARGET_LINES = (
    b"Berylstage-Attempt-Id: %s",
    b"Berylstage-Backend-Signature: x",
    b"Berylstage-Backend-Load: 1,0,100,100",
)


def build_answer(*lines, status=STATUS, body=BODY):
    """Return the answer of a target with further field lines."""
    return b"\r\n".join([status, *TARGET_LINES, *lines, b"", body])


def build_chunks(size):
    """Return the answer of a target whose first chunk has a given size line."""
    body = b"%s\r\n%s\r\n0\r\n\r\n" % (size, BODY)
    return build_answer(b"Transfer-Encoding: chunked", body=body)


# One of each kind; all lines are in the tests of `berylstage_transfers`.
MALFORMED_ANSWERS = {
    "name with a blank": build_answer(b"X Field: a", LENGTH),
    "name with a control byte": build_answer(b"X-\x01Field: a", LENGTH),
    "line without a colon": build_answer(b"X-Field a", LENGTH),
    "blank before the colon of the length": build_answer(b"Content-Length : 22"),
    "control byte in the name of the length": build_answer(b"Content-Length\x01: 22"),
    "length with a letter after it": build_answer(b"Content-Length: 3x"),
    "length that is too large": build_answer(b"Content-Length: " + b"9" * 40),
    "length on a second line": build_answer(b"Content-Length:\r\n 3"),
    "two lengths": build_answer(LENGTH, b"Content-Length: 3"),
    "unknown coding": build_answer(b"Transfer-Encoding: rot13"),
    "chunk size with a letter after it": build_chunks(b"%xx" % len(BODY)),
    "status 000": build_answer(LENGTH, status=b"HTTP/1.1 000 OK"),
    "status 200x": build_answer(LENGTH, status=b"HTTP/1.1 200x OK"),
    "status 2000": build_answer(LENGTH, status=b"HTTP/1.1 2000 OK"),
    "status 101": build_answer(LENGTH, status=b"HTTP/1.1 101 Switching Protocols"),
    "malformed interim answer": b"HTTP/1.1 103 Early Hints\r\nX Link: x\r\n\r\n"
    + build_answer(LENGTH),
}
# Valid HTTP, but not what a target may say.
CONTRADICTORY_ANSWERS = {
    "two signatures": build_answer(b"Berylstage-Backend-Signature: y", LENGTH),
    "two ids": build_answer(b"Berylstage-Attempt-Id: 0", LENGTH),
}


class MalformedServer:
    """A server whose answers a test sets.

    Attributes
    ----------
    raw : bytes
        The answer, in which ``%s`` stands for the id of the request.
    closes : bool
        Whether the connection is closed after it.
    requests : int
        Requests that it has answered so.
    connections : int
        Connections that are open.
    """

    def __init__(self, raw=b"", closes=True):
        self.raw = raw
        self.closes = closes
        self.requests = 0
        self.connections = 0
        self.address = ""

    async def serve(self, reader, writer):
        """Serve one connection."""
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: (\d+)", head)
                if length is not None:
                    await reader.readexactly(int(length[1]))
                writer.write(self.choose_answer(head))
                if self.closes:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()
            self.connections -= 1

    def choose_answer(self, head):
        """Return the answer to a request."""
        self.requests += 1
        found = re.search(rb"(?i)attempt-id: (\S+)", head)
        return self.raw.replace(b"%s", found[1] if found else b"")

    @asynccontextmanager
    async def open(self):
        """Listen, and set the address."""
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:{}".format(server.sockets[0].getsockname()[1])
        try:
            yield self
        finally:
            server.close()
