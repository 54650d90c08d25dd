"""Small HTTP servers of an entry VM, for the load balancer, other VMs and metrics."""

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
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

from berylstage_entry.accept_queue import AcceptQueue
from berylstage_entry.addresses import split_host_port
from berylstage_entry.clock import now
from berylstage_entry.responses import Response
from berylstage_entry.server import DEFAULT_MAX_BODY_BYTES
from berylstage_entry.sockets import ReceiveState, peek_socket, socket_send_queue_bytes

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Awaitable, Callable
    from socket import socket

    Handler = Callable[[bytes], "Response | Awaitable[Response]"]

# Seconds for which closing waits for pending requests and responses: half of the time
# that a shutdown reserves for the steps after its last request.
CLOSE_TIMEOUT_SECONDS = 0.3
# Seconds between two checks for pending work.
CLOSE_POLL_SECONDS = 0.005


def write_response(
    request_conn, response: Response, closes_connection: bool
) -> Future[None]:
    """Write a response; the returned future completes once tornado has written it."""
    headers = HTTPHeaders()
    for name, value in response.headers:
        headers.add(name, value)
    headers["Content-Length"] = str(len(response.body))
    if closes_connection:
        headers["Connection"] = "close"
    reason = responses.get(response.status, "Unknown")
    start = ResponseStartLine("HTTP/1.1", response.status, reason)
    sent = request_conn.write_headers(start, headers, response.body)
    request_conn.finish()
    return sent


class _InternalConnection:
    """A connection from the load balancer or another VM.

    Parameters
    ----------
    stream : IOStream
    """

    __slots__ = ("is_serving", "path", "stream")

    def __init__(self, stream: IOStream):
        self.stream = stream
        # Path of the last request.
        self.path = ""
        # Whether a request has begun to arrive whose response is not yet written.
        self.is_serving = False

    @property
    def has_pending_work(self) -> bool:
        """Whether closing the connection now would lose a request or a response."""
        if self.is_serving or self.stream.writing():
            return True
        sock = self.stream.socket
        if socket_send_queue_bytes(sock) > 0 or peek_socket(sock) is ReceiveState.BYTES:
            return True
        # Between two reads, the stream buffers bytes of a request that the HTTP parser
        # has not seen yet.
        return not self.stream.reading()


class _InternalExchange(HTTPMessageDelegate):
    """A request from the load balancer or another VM, and its response."""

    def __init__(
        self, server: InternalServer, internal_conn: _InternalConnection, request_conn
    ):
        self._server = server
        self._internal_conn = internal_conn
        self._request_conn = request_conn
        self._path = ""
        self._chunks: list[bytes] = []
        self._task: asyncio.Task | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Store the path without its query."""
        assert isinstance(start_line, RequestStartLine)
        self._internal_conn.is_serving = True
        self._path = start_line.path.partition("?")[0]
        self._internal_conn.path = self._path

    def data_received(self, chunk: bytes) -> None:
        """Append a part of the body."""
        self._chunks.append(chunk)

    def finish(self) -> None:
        """Start the task that responds."""
        self._task = asyncio.create_task(self._respond())
        if self._server.is_cancellable(self._path):
            self._request_conn.set_close_callback(self._task.cancel)

    async def _respond(self) -> None:
        try:
            response = self._server.respond(self._path, b"".join(self._chunks))
            if not isinstance(response, Response):
                response = await response
            write_response(self._request_conn, response, self._server.is_closing)
        finally:
            self._internal_conn.is_serving = False

    def on_connection_close(self) -> None:
        """Let the handler finish, although its response can no longer be sent."""


class InternalServer(HTTPServerConnectionDelegate):
    """Serves requests with small bodies that are answered quickly.

    Parameters
    ----------
    handlers : dict of str to callable
        By path; each takes the body and returns the response or an awaitable of it.
    cancellable : frozenset of str
        Paths whose handlers are cancelled when the connection closes; the others
        finish, although their response can no longer be sent.

    Attributes
    ----------
    is_closing : bool
        Whether responses announce that their connection closes.
    """

    def __init__(
        self, handlers: dict[str, Handler], cancellable: frozenset[str] = frozenset()
    ):
        self._handlers = handlers
        self._cancellable = cancellable
        self._server: HTTPServer | None = None
        self._sockets: list[socket] = []
        self._connections: dict[object, _InternalConnection] = {}
        self.is_closing = False

    def listen(self, address: str) -> None:
        """Start to accept connections."""
        self._server = HTTPServer(self, max_body_size=DEFAULT_MAX_BODY_BYTES)
        host, port = split_host_port(address)
        self._sockets = bind_sockets(port, host)
        self._server.add_sockets(self._sockets)

    def start_request(self, server_conn, request_conn) -> HTTPMessageDelegate:
        """Return the delegate for a new request."""
        internal_conn = self._connections.get(server_conn)
        if internal_conn is None:
            internal_conn = _InternalConnection(server_conn.stream)
            self._connections[server_conn] = internal_conn
        return _InternalExchange(self, internal_conn, request_conn)

    def on_close(self, server_conn) -> None:
        """Unregister a closed connection."""
        self._connections.pop(server_conn, None)

    def respond(self, path: str, body: bytes) -> Response | Awaitable[Response]:
        """Return the response for a path, or an awaitable of it."""
        handler = self._handlers.get(path)
        return handler(body) if handler is not None else Response(404)

    def count_pending(self, path: str) -> int:
        """Return the connections with pending work whose last request had a path."""
        connections = self._connections.values()
        return sum(conn.path == path and conn.has_pending_work for conn in connections)

    def is_cancellable(self, path: str) -> bool:
        """Tell whether the handler of a path ends when its connection closes."""
        return path in self._cancellable

    async def close(self) -> None:
        """Close all connections, waiting for pending work up to a timeout."""
        if self._server is None:
            return
        self.is_closing = True
        self._end_listening(self._server)
        # The server's tasks register the connections that were just accepted.
        await asyncio.sleep(0)
        end = now() + CLOSE_TIMEOUT_SECONDS
        while self._close_idle() and now() < end:
            await asyncio.sleep(CLOSE_POLL_SECONDS)
        await self._server.close_all_connections()

    def _end_listening(self, server: HTTPServer) -> None:
        """Accept the connections that wait, and close the listening sockets.

        Connections that no descriptor is free for are reset; nothing waits for them,
        because the process exits.
        """
        for sock in self._sockets:
            for conn in AcceptQueue(sock).accept_all():
                self._serve(server, conn)
        server.stop()

    def _serve(self, server: HTTPServer, conn: socket) -> None:
        """Serve an accepted connection."""
        try:
            address = conn.getpeername()
        except OSError:
            # The peer has reset the connection.
            conn.close()
            return
        stream = IOStream(
            conn,
            max_buffer_size=server.max_buffer_size,
            read_chunk_size=server.read_chunk_size,
        )
        server.handle_stream(stream, address)

    def _close_idle(self) -> int:
        """Close connections without pending work; return how many remain open."""
        for conn in list(self._connections.values()):
            if not conn.has_pending_work:
                conn.stream.close()
        return sum(not conn.stream.closed() for conn in self._connections.values())
