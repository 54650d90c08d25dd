"""The small HTTP servers of an entry VM: for the balancer and other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)

from berylstage_entry.clock import now
from berylstage_entry.replies import Reply
from berylstage_entry.server import FIRST_BODY_LIMIT, split_address
from berylstage_entry.sockets import ReceiveState, unread_in, unsent_in

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Awaitable, Callable

    from tornado.iostream import IOStream

    Page = Callable[[bytes], "Reply | Awaitable[Reply]"]

# Seconds that the end waits for what is under way: half of what a stop keeps for what
# comes after its last request.
LONGEST_WAIT = 0.3
# Seconds between two looks at that.
LOOK = 0.005


def write_reply(conn, reply: Reply, closing: bool) -> Future[None]:
    """Write a reply on a connection of tornado's; the future ends when it has left."""
    headers = HTTPHeaders()
    for name, value in reply.headers:
        headers.add(name, value)
    headers["Content-Length"] = str(len(reply.body))
    if closing:
        headers["Connection"] = "close"
    reason = responses.get(reply.status, "Unknown")
    start = ResponseStartLine("HTTP/1.1", reply.status, reason)
    sent = conn.write_headers(start, headers, reply.body)
    conn.finish()
    return sent


class _PageConnection:
    """A connection of the balancer or another VM.

    Parameters
    ----------
    stream : IOStream
    """

    __slots__ = ("is_serving", "stream")

    def __init__(self, stream: IOStream):
        self.stream = stream
        # Whether the answer to a question that has begun to come is not yet written.
        self.is_serving = False

    @property
    def under_way(self) -> bool:
        """Whether anything would be lost if the connection ended now."""
        if self.is_serving or self.stream.writing():
            return True
        sock = self.stream.socket
        if unsent_in(sock) > 0 or unread_in(sock) is ReceiveState.BYTES:
            return True
        # Between two reads the stream has bytes of a question that nobody has seen yet.
        return not self.stream.reading()


class _PageExchange(HTTPMessageDelegate):
    """A small request of the balancer or another VM."""

    def __init__(self, pages: PageServer, page_conn: _PageConnection, conn):
        self._pages = pages
        self._page_conn = page_conn
        self._conn = conn
        self._path = ""
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Read the path."""
        assert isinstance(start_line, RequestStartLine)
        self._page_conn.is_serving = True
        self._path = start_line.path.partition("?")[0]

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Answer."""
        self._task = asyncio.create_task(self._answer())

    async def _answer(self) -> None:
        try:
            reply = self._pages.answer(self._path, b"".join(self._chunks))
            if not isinstance(reply, Reply):
                reply = await reply
            write_reply(self._conn, reply, self._pages.closing)
        finally:
            self._page_conn.is_serving = False

    def on_connection_close(self) -> None:
        """Let the answer be made; nobody takes it."""


class PageServer(HTTPServerConnectionDelegate):
    """Serves small pages that need no waiting.

    Parameters
    ----------
    pages : dict of str to callable
        By path; each takes the body and returns the reply, or what brings it.

    Attributes
    ----------
    closing : bool
        Whether answers say that their connection closes.
    """

    def __init__(self, pages: dict[str, Page]):
        self._pages = pages
        self._server: HTTPServer | None = None
        self._connections: dict[object, _PageConnection] = {}
        self.closing = False

    def listen(self, address: str) -> None:
        """Accept connections."""
        self._server = HTTPServer(self, max_body_size=FIRST_BODY_LIMIT)
        host, port = split_address(address)
        self._server.listen(port, host)

    def start_request(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Return what takes a new request."""
        known = self._connections.get(server_conn)
        if known is None:
            known = _PageConnection(server_conn.stream)
            self._connections[server_conn] = known
        return _PageExchange(self, known, request_conn)

    def on_close(self, server_conn) -> None:
        """Note that a connection is no more."""
        self._connections.pop(server_conn, None)

    def answer(self, path: str, body: bytes) -> Reply | Awaitable[Reply]:
        """Return the reply for a path, or what brings it."""
        page = self._pages.get(path)
        return page(body) if page is not None else Reply(404)

    async def close(self) -> None:
        """Close all connections, those with something under way when it has left."""
        if self._server is None:
            return
        self.closing = True
        self._server.stop()
        end = now() + LONGEST_WAIT
        while self._close_idle() and now() < end:
            await asyncio.sleep(LOOK)
        await self._server.close_all_connections()

    def _close_idle(self) -> int:
        """Close what has nothing under way; return how many connections are left."""
        for conn in list(self._connections.values()):
            if not conn.under_way:
                conn.stream.close()
        return sum(not conn.stream.closed() for conn in self._connections.values())
