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

from berylstage_entry.replies import Reply
from berylstage_entry.server import FIRST_BODY_LIMIT, split_address

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Awaitable, Callable

    Page = Callable[[bytes], "Reply | Awaitable[Reply]"]


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


class _PageExchange(HTTPMessageDelegate):
    """A small request of the balancer or another VM."""

    def __init__(self, pages: PageServer, conn):
        self._pages = pages
        self._conn = conn
        self._path = ""
        self._chunks: list[bytes] = []

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Read the path."""
        assert isinstance(start_line, RequestStartLine)
        self._path = start_line.path.partition("?")[0]

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Answer."""
        self._task = asyncio.create_task(self._answer())

    async def _answer(self) -> None:
        reply = self._pages.answer(self._path, b"".join(self._chunks))
        if not isinstance(reply, Reply):
            reply = await reply
        write_reply(self._conn, reply, False)

    def on_connection_close(self) -> None:
        """Let the answer be made; nobody takes it."""


class PageServer(HTTPServerConnectionDelegate):
    """Serves small pages that need no waiting.

    Parameters
    ----------
    pages : dict of str to callable
        By path; each takes the body and returns the reply, or what brings it.
    """

    def __init__(self, pages: dict[str, Page]):
        self._pages = pages
        self._server: HTTPServer | None = None

    def listen(self, address: str) -> None:
        """Accept connections."""
        self._server = HTTPServer(self, max_body_size=FIRST_BODY_LIMIT)
        host, port = split_address(address)
        self._server.listen(port, host)

    def start_request(self, server_conn: object, request_conn) -> HTTPMessageDelegate:
        """Return what takes a new request."""
        return _PageExchange(self, request_conn)

    def answer(self, path: str, body: bytes) -> Reply | Awaitable[Reply]:
        """Return the reply for a path, or what brings it."""
        page = self._pages.get(path)
        return page(body) if page is not None else Reply(404)

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
