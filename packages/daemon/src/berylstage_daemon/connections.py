"""Connections of callers, and which of them wait for their next request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.accept_queue import AcceptQueue
from berylstage_entry.sockets import ReceiveState, peek_socket, socket_send_queue_bytes
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from socket import socket
    from typing import Any

    from tornado.http1connection import HTTP1ServerConnection
    from tornado.httputil import (
        HTTPConnection,
        HTTPHeaders,
        RequestStartLine,
        ResponseStartLine,
    )


class ConnectionServer(HTTPServer):
    """An HTTP server that can close just those connections that are idle.

    Parameters
    ----------
    *args, **kwargs
        As for tornado's server.
    """

    def initialize(self, *args: Any, **kwargs: Any) -> None:
        """Set up, where tornado's servers do so."""
        super().initialize(*args, **kwargs)
        self._open: set[IOStream] = set()
        self._waiting: set[IOStream] = set()
        self._sockets_open: list[socket] = []

    def listen_on(self, host: str, port: int) -> None:
        """Accept connections at an address.

        Parameters
        ----------
        host : str
        port : int
        """
        self._sockets_open = bind_sockets(port, host)
        self.add_sockets(self._sockets_open)

    def end_listening(self) -> None:
        """Accept the connections that wait, and close the port in the same turn.

        Closed without this, the port would reset them with the requests that callers
        have sent on them. Connections for which no descriptor is free are reset.
        """
        listeners, self._sockets_open = self._sockets_open, []
        for listener in listeners:
            for sock in AcceptQueue(listener).accept_all():
                self._serve(sock)
        self.stop()

    def _serve(self, sock: socket) -> None:
        """Serve an accepted connection."""
        try:
            address = sock.getpeername()
        except OSError:
            # The caller has reset the connection.
            sock.close()
            return
        stream = IOStream(
            sock,
            max_buffer_size=self.max_buffer_size,
            read_chunk_size=self.read_chunk_size,
        )
        self.handle_stream(stream, address)

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serve a new connection.

        Parameters
        ----------
        stream : IOStream
        address : tuple
        """
        self._open.add(stream)
        super().handle_stream(stream, address)

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Wait for the next request; the answer before it has been written.

        Parameters
        ----------
        server_conn : HTTP1ServerConnection
        request_conn : HTTPConnection

        Returns
        -------
        HTTPMessageDelegate
        """
        stream = _stream(server_conn)
        self._waiting.add(stream)
        delegate = super().start_request(server_conn, request_conn)
        return _Message(delegate, lambda: self._waiting.discard(stream))

    def on_close(self, server_conn: object) -> None:
        """Forget a connection.

        Parameters
        ----------
        server_conn : HTTP1ServerConnection
        """
        stream = _stream(server_conn)
        self._open.discard(stream)
        self._waiting.discard(stream)
        super().on_close(server_conn)

    def close_idle(self) -> None:
        """Close all connections on which nothing is under way in either direction."""
        for stream in list(self._waiting):
            if _is_idle(stream):
                stream.close()

    def open_count(self) -> int:
        """Return the number of connections that are left."""
        return sum(not stream.closed() for stream in self._open)


class _Message(HTTPMessageDelegate):
    """Passes a request on and tells when its head has come.

    Parameters
    ----------
    inner : HTTPMessageDelegate
    begun : callable
    """

    def __init__(self, inner: HTTPMessageDelegate, begun: Callable[[], None]):
        self._inner = inner
        self._begun = begun

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        self._begun()
        return self._inner.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._inner.data_received(chunk)

    def finish(self) -> None:
        self._inner.finish()

    def on_connection_close(self) -> None:
        self._inner.on_connection_close()


def _stream(server_conn: object) -> IOStream:
    """Return the stream of a connection, which tornado hands over as an object."""
    conn: HTTP1ServerConnection = server_conn  # type: ignore[assignment]
    return conn.stream


def _is_idle(stream: IOStream) -> bool:
    """Tell whether the last answer is taken and no byte of the next request has come.

    A head that is whole ends the reading a turn of the loop before it is handled. The
    next request on a closed connection resets it, and cuts an answer in its send queue.
    """
    if not stream.reading():
        return False
    # Tornado tells in no other way that it holds half a head.
    if stream._read_buffer_size:
        return False
    state = peek_socket(stream.socket)
    if state is ReceiveState.NOTHING:
        return socket_send_queue_bytes(stream.socket) == 0
    return state is ReceiveState.END
