"""Connections of other VMs, and which of them have requests under way."""

from __future__ import annotations

import asyncio
from socket import socket
from typing import TYPE_CHECKING

from berylstage_entry.accept_queue import AcceptQueue
from berylstage_entry.sockets import (
    ReceiveState,
    count_unacknowledged_bytes,
    peek_transport,
)
from grpclib.protocol import AbstractHandler, H2Protocol
from grpclib.server import Server

if TYPE_CHECKING:
    from asyncio import BaseTransport, Transport
    from collections.abc import Callable
    from typing import Any

    from grpclib.protocol import Stream

# End of the path of calls that carry requests. All others are control messages, which
# the other VM sends again to whoever takes over.
FORWARD_PATH_END = "/Forward"


class ForwardCounter(AbstractHandler):
    """Counts the requests of a connection from their heads to the end of their answers.

    Parameters
    ----------
    handler : AbstractHandler
        Handler that serves the calls.
    """

    def __init__(self, handler: AbstractHandler):
        self._handler = handler
        self._open = 0
        self.has_answered = False

    @property
    def open_count(self) -> int:
        """Number of requests under way."""
        return self._open

    def accept(
        self,
        stream: Stream,
        headers: list[tuple[str, str]],
        release_stream: Callable[[], Any],
    ) -> None:
        """Serve a call, and count it if it carries a request."""
        if not dict(headers).get(":path", "").endswith(FORWARD_PATH_END):
            self._handler.accept(stream, headers, release_stream)
            return

        def release() -> None:
            self._open -= 1
            self.has_answered = True
            release_stream()

        self._open += 1
        self._handler.accept(stream, headers, release)

    def cancel(self, stream: Stream) -> None:
        """Cancel a call."""
        self._handler.cancel(stream)

    def close(self) -> None:
        """Cancel all calls."""
        self._handler.close()


class PeerConnection(H2Protocol):
    """A connection of another VM.

    Parameters
    ----------
    protocol : H2Protocol
        Protocol as the server makes it, whose place this one takes.
    connections : set of PeerConnection
        Open connections.
    """

    def __init__(self, protocol: H2Protocol, connections: set[PeerConnection]):
        self._forwards = ForwardCounter(protocol.handler)
        super().__init__(self._forwards, protocol.config, protocol.h2_config)
        self._connections = connections
        self._transport: Transport | None = None

    def connection_made(self, transport: BaseTransport) -> None:
        """Register the connection."""
        super().connection_made(transport)
        self._transport = transport  # type: ignore[assignment]
        self._connections.add(self)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Forget the connection."""
        self._connections.discard(self)
        super().connection_lost(exc)

    def is_busy(self) -> bool:
        """Tell whether a request may be unread, under way, or answered in part.

        Bytes that the other VM has not acknowledged count only after an answer to a
        request: one that was cut off never acknowledges the last control message.
        """
        if self._transport is None or self._forwards.open_count:
            return True
        if peek_transport(self._transport) is ReceiveState.BYTES:
            return True
        is_taken = count_unacknowledged_bytes(self._transport) == 0
        if is_taken:
            self._forwards.has_answered = False
        return self._forwards.has_answered

    def close(self) -> None:
        """Close the connection."""
        if self._transport is not None:
            self._transport.close()


class PeerConnections(Server):
    """A server that closes at a moment in which no request is under way.

    Parameters
    ----------
    handlers : list of IServable
    """

    def __init__(self, handlers: list):
        super().__init__(handlers)
        self._connections: set[PeerConnection] = set()
        self._incoming: set[asyncio.Task] = set()
        self._is_ended = False

    def _protocol_factory(self) -> H2Protocol:
        """Return the protocol of a new connection, where grpclib makes it."""
        return PeerConnection(super()._protocol_factory(), self._connections)

    def close_if_idle(self) -> bool:
        """Close the port and all connections if no request is under way.

        The sockets are looked at and closed in one turn of the loop, since other VMs
        send until they are.

        Returns
        -------
        bool
            Whether the server is closed.
        """
        if self._is_ended or self._server is None:
            return True
        self._accept_all()
        if self._incoming or any(conn.is_busy() for conn in self._connections):
            return False
        self._is_ended = True
        self.close()
        for conn in list(self._connections):
            conn.close()
        return True

    def _accept_all(self) -> None:
        """Accept the connections that closing the port would reset."""
        loop = asyncio.get_running_loop()
        for listener in self._server.sockets:  # type: ignore[union-attr]
            # The event loop's object for the socket can't accept.
            sock = socket(fileno=listener.fileno())
            try:
                accepted = AcceptQueue(sock).accept_all()
            finally:
                sock.detach()
            for conn in accepted:
                task = loop.create_task(
                    loop.connect_accepted_socket(self._protocol_factory, conn)
                )
                self._incoming.add(task)
                task.add_done_callback(self._incoming.discard)
