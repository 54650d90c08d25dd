"""The HTTP server of an entry VM for its callers."""

from __future__ import annotations

import asyncio
from socket import create_server
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.connection import MAX_BODY_BYTES, CallerConnection
from berylstage_entry.errors import BadRequest, Refused, Unanswered
from berylstage_entry.responses import (
    BAD_GATEWAY,
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    HEADERS_TOO_LARGE,
    UNAVAILABLE,
    Response,
)
from berylstage_entry.router import LEAST_TIME, RETURN_AT_ONCE
from berylstage_entry.shutdown import PendingWork

if TYPE_CHECKING:
    from asyncio import AbstractServer
    from collections.abc import Callable
    from socket import socket

    from berylstage_entry.journal import RequestJournal
    from berylstage_entry.router import Router
    from berylstage_entry.services import Limits
    from berylstage_entry.wire import CallerRequest, CallerWire

# Bytes of a request's body at most while no configuration says so.
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
# Bytes of all bodies together that are buffered at most: a third of the memory of a VM
# of 300 MB, since a body is copied once on its way out and the process takes 26 MB.
# Five bodies of 64 MB at a time would have the VM killed, and its requests with it.
DEFAULT_MAX_BUFFERED_BYTES = 100 * 1024 * 1024
# Connections that may wait to be accepted.
LISTEN_BACKLOG = 1024
# Seconds for which a connection may stay idle while no configuration says so.
DEFAULT_IDLE_SECONDS = 60.0
# Seconds beyond the operators' idle time after which a connection closes, so that a
# request sent within that time doesn't cross the close.
IDLE_MARGIN_SECONDS = 2.0

log = Logger(__name__)


class ShutdownCounts:
    """What a stop has brought to callers.

    Attributes
    ----------
    begun : int
        Requests that came after SIGTERM.
    idle_closed : int
        Connections closed without a request.
    cut : int
        Connections that ended with something under way.
    bytes_cut : int
        Bytes of answers that did not leave.
    """

    __slots__ = (
        "requests_received",
        "bytes_cut",
        "idle_closed",
        "connections_cut",
    )

    def __init__(self) -> None:
        self.requests_received = 0
        self.idle_closed = 0
        self.connections_cut = 0
        self.bytes_cut = 0


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class CallerServer:
    """Serves callers.

    Parameters
    ----------
    wire : CallerWire
    router : Router
    journal : RequestJournal
    limits : callable
        Returns the limits in force, or None.
    """

    def __init__(
        self,
        wire: CallerWire,
        router: Router,
        journal: RequestJournal,
        limits: Callable[[], Limits | None],
    ):
        self.wire = wire
        self._router = router
        self._journal = journal
        self._limits = limits
        self.is_stopping = False
        # Seconds for which a connection may stay idle.
        self.idle_timeout = DEFAULT_IDLE_SECONDS
        # Bytes of bodies that are buffered, and may be at most.
        self._buffered = 0
        self.max_buffered_bytes = DEFAULT_MAX_BUFFERED_BYTES
        # All that are not closed yet, those whose last answer goes out among them.
        self._connections: set[CallerConnection] = set()
        # Whether connections without a request are closed by now.
        self._is_draining = False
        # Returns the seconds that a request has while the program stops.
        self.shutdown_time_left: Callable[[], float] | None = None
        self.counts = ShutdownCounts()
        self._open_task: asyncio.Task | None = None
        self._socket: socket | None = None
        self._server: AbstractServer | None = None

    def listen(self, address: str) -> None:
        """Accept connections."""
        self._socket = create_server(split_address(address), backlog=LISTEN_BACKLOG)
        self._open_task = asyncio.create_task(self._open(self._socket))

    async def _open(self, sock: socket) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=LISTEN_BACKLOG
        )

    @property
    def in_flight(self) -> int:
        """Connections on which something is under way.

        After idle ones were closed those are all that are left: a request that is still
        unread in its socket is under way as well.
        """
        if self._is_draining:
            return len(self._connections)
        return sum(conn.has_pending_work for conn in self._connections)

    def pending_work(self) -> PendingWork:
        """Return what stands between this server and its end."""
        flushing = [conn for conn in self._connections if not conn.is_serving]
        unacknowledged_bytes = sum(
            conn.unacknowledged_bytes for conn in self._connections
        )
        serving = len(self._connections) - len(flushing)
        return PendingWork(serving, len(flushing), unacknowledged_bytes)

    def add_connection(self, conn: CallerConnection) -> None:
        """Note a new connection."""
        self._connections.add(conn)
        if self._is_draining:
            conn.stop_taking_requests()

    def count_request(self) -> None:
        """Note that a request has come."""
        self.counts.requests_received += self.is_stopping

    def remove_connection(self, conn: CallerConnection) -> None:
        """Note that a connection is no more."""
        self._connections.discard(conn)

    def start_draining(self) -> None:
        """Close what waits for callers and the connections without a request.

        A request that is read while the process ends would be cut off. Closing the idle
        connections first leaves only those that end with their answer.
        """
        self._stop_listening()
        self._is_draining = True
        self.close_idle_connections()
        for conn in self._connections:
            conn.stop_taking_requests()

    def close_idle_connections(self) -> None:
        """Close the connections on which nothing is under way for anybody."""
        for conn in list(self._connections):
            conn.abort_if_peer_closed()
            self.counts.idle_closed += conn.close_if_idle()

    def _stop_listening(self) -> None:
        if self._open_task is not None:
            self._open_task.cancel()
        if self._server is not None:
            self._server.close()
        if self._socket is not None:
            self._socket.close()

    def set_limits(self, limits: Limits) -> None:
        """Take over how long connections may be idle."""
        self.idle_timeout = (
            max(limits.idle_time, limits.header_time) + IDLE_MARGIN_SECONDS
        )

    def body_limit(self) -> int:
        """Return the bytes that a body may have."""
        limits = self._limits()
        return (
            min(limits.body_bytes, MAX_BODY_BYTES) if limits else DEFAULT_MAX_BODY_BYTES
        )

    def check_head(self, fields: list[tuple[str, str]]) -> None:
        """Check the size of a head.

        Parameters
        ----------
        fields : list of tuple

        Raises
        ------
        BadRequest
        """
        limits = self._limits()
        if limits is None:
            return
        size = sum(len(name) + len(value) + 4 for name, value in fields)
        if size > limits.header_bytes:
            raise BadRequest(HEADERS_TOO_LARGE, "the headers are over the limit")

    def reserve_body_memory(self, size: int) -> bool:
        """Count bytes of a body; False when all bodies would take too much."""
        if self._buffered + size > self.max_buffered_bytes:
            return False
        self._buffered += size
        return True

    def reserve_response_memory(self, size: int) -> int:
        """Count bytes of an answer that waits for those before it, and return them."""
        self._buffered += size
        return size

    def is_memory_full(self) -> bool:
        """Tell whether bodies and answers take all that they may take."""
        return self._buffered >= self.max_buffered_bytes

    def release_memory(self, size: int) -> None:
        """Give counted bytes back."""
        self._buffered -= size

    def reject_request(self, exc: BadRequest | Refused | None) -> Response:
        """Log a request that is not served, and return the reply to it."""
        self._journal.log_malformed(str(exc) if exc else "unreadable request")
        if isinstance(exc, Refused):
            return Response(UNAVAILABLE, self.wire.refusal_headers(exc.retry_after))
        return Response(exc.status if exc else BAD_REQUEST)

    async def handle_request(self, req: CallerRequest) -> Response:
        """Return the reply to a request."""
        began = now() - req.waited
        try:
            self._cap_time_left(req)
            routed = await self._router.serve(req)
        except BadRequest as exc:
            self._journal.log_unanswered(req, exc.status, str(exc), now() - began)
            return Response(exc.status)
        except Refused as exc:
            self._journal.log_unanswered(
                req, UNAVAILABLE, exc.reason, now() - began, exc.detail
            )
            return Response(UNAVAILABLE, self.wire.refusal_headers(exc.retry_after))
        except Unanswered as exc:
            status = GATEWAY_TIMEOUT if exc.timed_out else BAD_GATEWAY
            self._journal.log_unanswered(
                req, status, exc.reason, now() - began, exc.detail
            )
            return Response(status)
        except asyncio.CancelledError:
            self._journal.log_unanswered(req, 0, "caller-left", now() - began)
            raise
        except Exception:
            # Without an answer the caller would wait out its whole time.
            log.exception("a request met a fault of this program")
            return Response(BAD_GATEWAY)
        self._journal.log_answered(req, routed, now() - began)
        return Response(routed.answer.status, routed.answer.headers, routed.answer.body)

    def _cap_time_left(self, req: CallerRequest) -> None:
        """Give a request no more time than the program has.

        Raises
        ------
        Refused
            There is none left; other VMs take it at once.
        """
        if self.shutdown_time_left is None:
            return
        left = self.shutdown_time_left()
        if left < LEAST_TIME:
            raise Refused("stopping", RETURN_AT_ONCE)
        req.time_left = min(req.time_left, left + req.waited)

    async def close(self) -> None:
        """Close all connections."""
        self._stop_listening()
        for conn in list(self._connections):
            self._log_cut(conn)
            conn.close_now()
        # The event loop closes them in its next turn.
        await asyncio.sleep(0)

    def _log_cut(self, conn: CallerConnection) -> None:
        """Log a request without an answer, or an answer that is not out."""
        has_unread_bytes = conn.has_unread_bytes()
        if not conn.has_pending_work and not has_unread_bytes:
            return
        self.counts.connections_cut += 1
        self.counts.bytes_cut += conn.unacknowledged_bytes
        log.warning(
            "connection cut",
            extra={
                "id": conn.last_request_id,
                "phase": "serving" if conn.is_serving else "flushing",
                "bytes_left": conn.unacknowledged_bytes,
                "unread": has_unread_bytes,
            },
        )
