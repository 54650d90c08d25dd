"""HTTP server of an entry VM for callers."""

from __future__ import annotations

import asyncio
from resource import RLIM_INFINITY
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.caller_listener import CallerListener
from berylstage_entry.clock import now
from berylstage_entry.connection import CallerConnection
from berylstage_entry.connection_limit import (
    WaitingConnection,
    compute_max_connections,
    order_waiting_connections,
)
from berylstage_entry.errors import BadRequest, Refused, Unanswered, UnknownApiKey
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.memory.buffer_memory import BufferMemory
from berylstage_entry.request_errors import IMMEDIATE_RETRY_SECONDS
from berylstage_entry.request_intake import MAX_BODY_BYTES
from berylstage_entry.responses import (
    BAD_GATEWAY,
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    UNAVAILABLE,
    Response,
    build_text_response,
)
from berylstage_entry.router import MIN_ATTEMPT_SECONDS
from berylstage_entry.shutdown import PendingWork
from berylstage_entry.shutdown_counts import ShutdownCounts
from berylstage_entry.supervision import log_task_failure

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

    from berylstage_entry.protocols import CallerProtocol, CallerRequest
    from berylstage_entry.request_log import RequestLog
    from berylstage_entry.router import Router
    from berylstage_entry.services import Limits

# Maximum bytes of a request body while no configuration is known.
DEFAULT_MAX_BODY_BYTES = 1024 * 1024
# Maximum bytes of the header lines of a request while no configuration is known.
DEFAULT_MAX_HEADER_BYTES = 16 * 1024
# Seconds in which a body must arrive if its request has no route.
DEFAULT_BODY_SECONDS = 30.0
# Log lines per second about connections that are ended to make room.
ENDED_LINES_PER_SECOND = 1.0
# Idle timeout of a connection while no configuration is known.
DEFAULT_IDLE_SECONDS = 60.0
# Seconds within which a head must arrive while no configuration is known.
DEFAULT_HEADER_SECONDS = 30.0
# Added to the configured timeouts, so that a request which is sent just within the
# configured time does not cross the close of its connection.
TIMEOUT_MARGIN_SECONDS = 2.0
# Seconds for which the last step of a stop waits for acknowledgements of answers that
# have been sent: the longest delay of an acknowledgement on Linux is 40 ms.
ACKNOWLEDGEMENT_SECONDS = 0.06
# Seconds between two checks for these acknowledgements.
ACKNOWLEDGEMENT_POLL_SECONDS = 0.005

log = Logger(__name__)


class CallerServer:
    """Accepts callers' connections and answers their requests through the router.

    Parameters
    ----------
    protocol : CallerProtocol
    router : Router
    request_log : RequestLog
    limits : callable
        Returns the configured limits, or None while no configuration is known.
    memory : BufferMemory, optional
        Memory for bodies, untaken responses and unread input.
    """

    def __init__(
        self,
        protocol: CallerProtocol,
        router: Router,
        request_log: RequestLog,
        limits: Callable[[], Limits | None],
        memory: BufferMemory | None = None,
    ):
        self.protocol = protocol
        self._router = router
        self._request_log = request_log
        self._limits = limits
        self.is_stopping = False
        # Seconds for which a connection may stay idle.
        self.idle_timeout = DEFAULT_IDLE_SECONDS
        # Seconds within which a request head must arrive.
        self.header_timeout = DEFAULT_HEADER_SECONDS
        self.memory = memory or BufferMemory()
        self.memory.connections = lambda: self._connections
        # Tells whether a request belongs to a route with large bodies.
        self.is_upload: Callable[[CallerRequest], bool] = lambda req: False
        # Returns the longest seconds in which the body of a request may arrive.
        self.body_timeout: Callable[[CallerRequest], float] = lambda req: (
            DEFAULT_BODY_SECONDS
        )
        # Returns the expected bytes of the answer to a request.
        self.expected_answer_bytes: Callable[[CallerRequest], int] = lambda req: 0
        # All open connections, including those that still send their last response.
        self._connections: set[CallerConnection] = set()
        # Whether the listening socket and idle connections have been closed.
        self._is_draining = False
        # Whether connections that the event loop still accepts are closed at once.
        self._is_closed = False
        # Returns the seconds that a request may take during a shutdown; None before it.
        self.shutdown_time_left: Callable[[], float] | None = None
        self.counts = ShutdownCounts()
        self._listener: CallerListener | None = None
        # Most connections that are open at once.
        self.max_connections = compute_max_connections(None, RLIM_INFINITY)
        self._ended_limiter = LogRateLimiter(ENDED_LINES_PER_SECOND)
        # Tasks that create transports of connections accepted by the server itself, and
        # of those that are kept open.
        self._transport_tasks: set[asyncio.Task] = set()

    def listen(self, address: str) -> None:
        """Start to accept connections."""
        self._listener = CallerListener(address, self._make_room, self._admit)

    def _admit(self, sock: socket) -> None:
        """Take an accepted connection."""
        self._create_transport(CallerConnection(self), sock)

    def _make_room(self, number: int) -> int:
        """End connections that wait, if there is no room for new ones.

        Returns
        -------
        int
            New connections for which there is room.
        """
        room = (
            self.max_connections - len(self._connections) - len(self._transport_tasks)
        )
        if room < number:
            room += self._end_waiting(number - room)
        return room

    def _end_waiting(self, number: int) -> int:
        """End the connections that have waited longest; return how many ended."""
        by_id = {id(conn): conn for conn in self._connections}
        waiting = [
            WaitingConnection(key, conn.waiting_since)
            for key, conn in by_id.items()
            if conn.waiting_since is not None
        ]
        ended = 0
        for candidate in order_waiting_connections(waiting, now()):
            if ended == number:
                break
            ended += by_id[candidate.connection].end_waiting()
        if ended and self._ended_limiter.take():
            log.warning(
                "waiting connections ended to make room",
                extra={
                    "ended": ended,
                    "open": len(self._connections),
                    "max": self.max_connections,
                    "left_out": self._ended_limiter.take_suppressed_count(),
                },
            )
        return ended

    @property
    def in_flight(self) -> int:
        """Number of connections with pending work.

        Once the idle connections have been closed, all that remain count, because a
        request may be unread in the socket of any of them.
        """
        if self._is_draining:
            return len(self._open_connections()) + self._incoming
        return sum(conn.has_pending_work for conn in self._connections)

    @property
    def _incoming(self) -> int:
        """Number of accepted connections without a transport.

        The listening socket counts as one of them, as long as a drain could not close
        it, because more connections may wait in its accept queue.
        """
        is_listening = self._listener is not None and self._listener.is_open
        return len(self._transport_tasks) + is_listening

    def _open_connections(self) -> list[CallerConnection]:
        """Return the connections, without the idle ones that are being closed."""
        return [conn for conn in self._connections if not conn.is_closing_idle]

    def pending_work(self) -> PendingWork:
        """Return the work that must finish before the server can close."""
        connections = self._open_connections()
        flushing = [conn for conn in connections if not conn.is_serving]
        unacknowledged_bytes = sum(conn.unacknowledged_bytes for conn in connections)
        serving = len(connections) - len(flushing)
        return PendingWork(
            serving, len(flushing) + self._incoming, unacknowledged_bytes
        )

    def add_connection(self, conn: CallerConnection) -> None:
        """Register a new connection."""
        if self._is_closed:
            # Its caller may send the request, which is not read here, to another VM.
            conn.close_now()
            return
        self._connections.add(conn)
        if self._is_draining:
            conn.stop_taking_requests()

    def count_request(self) -> None:
        """Count a request that arrives during a shutdown."""
        self.counts.requests_received += self.is_stopping

    def count_closed_socket(self, conn: CallerConnection) -> None:
        """Record a connection that closes with unread bytes during a shutdown."""
        if not self.is_stopping or not conn.has_unread_bytes():
            return
        self.counts.closed_unread += 1
        log.info(
            "connection closed with unread bytes", extra={"id": conn.last_request_id}
        )

    def keep_open(self, conn: CallerConnection) -> bool:
        """Keep an idle connection that is being closed, if bytes have arrived on it.

        Parameters
        ----------
        conn : CallerConnection

        Returns
        -------
        bool
            False if its socket may be closed.
        """
        if self._is_closed or not conn.has_unread_bytes():
            return False
        sock = conn.duplicate_socket()
        if sock is None:
            return False
        self.counts.idle_closed -= self._is_draining
        log.info("idle connection kept", extra={"id": conn.last_request_id})
        self._create_transport(conn, sock)
        return True

    def remove_connection(self, conn: CallerConnection) -> None:
        """Unregister a closed connection."""
        self._connections.discard(conn)
        self.memory.forget(conn)

    def start_draining(self) -> None:
        """Close the listening socket and the connections without a request.

        A request that is read while the process ends would be cut off. Once the idle
        connections are closed, only those remain that close with their response.
        """
        self._is_draining = True
        self.close_idle_connections()
        for conn in self._connections:
            conn.stop_taking_requests()

    def close_idle_connections(self) -> None:
        """Close the connections without pending work or without a caller.

        The listening socket is closed first, once its accept queue is empty.
        """
        if self._is_draining and self._listener is not None:
            self._listener.end()
        for conn in list(self._connections):
            conn.abort_if_peer_closed()
            self.counts.idle_closed += conn.close_if_idle()

    def _create_transport(self, conn: CallerConnection, sock: socket) -> None:
        """Let the event loop read a connection that it has not accepted itself."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(
            loop.connect_accepted_socket(lambda: conn, sock),
            name="transport of a connection",
        )
        self._transport_tasks.add(task)
        task.add_done_callback(self._transport_tasks.discard)
        task.add_done_callback(log_task_failure)
        task.add_done_callback(lambda task: self._drop_failed(task, conn, sock))

    def _drop_failed(
        self, task: asyncio.Task, conn: CallerConnection, sock: socket
    ) -> None:
        """Close a connection whose transport could not be created."""
        if not task.cancelled() and task.exception() is not None:
            sock.close()
            self.remove_connection(conn)

    def set_limits(self, limits: Limits) -> None:
        """Apply the configured timeouts."""
        self.header_timeout = limits.header_timeout + TIMEOUT_MARGIN_SECONDS
        self.idle_timeout = (
            max(limits.idle_timeout, limits.header_timeout) + TIMEOUT_MARGIN_SECONDS
        )

    def body_limit(self) -> int:
        """Return the maximum number of bytes of a request body."""
        limits = self._limits()
        return (
            min(limits.body_bytes, MAX_BODY_BYTES) if limits else DEFAULT_MAX_BODY_BYTES
        )

    def header_limit(self) -> int:
        """Return the maximum number of bytes of the header lines of a request."""
        limits = self._limits()
        return limits.header_bytes if limits else DEFAULT_MAX_HEADER_BYTES

    def reject_request(
        self,
        exc: BadRequest | Refused | None,
        req: CallerRequest | None = None,
        seconds: float = 0.0,
    ) -> Response:
        """Log a request that cannot be served, and return its response.

        Parameters
        ----------
        exc : BadRequest or Refused or None
        req : CallerRequest, optional
            The request, if its head could be read.
        seconds : float
            Seconds since its head was read.
        """
        if isinstance(exc, Refused) and req is not None:
            self._request_log.log_unanswered(
                req, exc.status, exc.reason, seconds, exc.detail
            )
        else:
            self._request_log.log_malformed(str(exc) if exc else "unreadable request")
        if isinstance(exc, Refused):
            return Response(
                UNAVAILABLE, self.protocol.retry_after_headers(exc.retry_after)
            )
        return Response(exc.status if exc else BAD_REQUEST)

    async def handle_request(self, req: CallerRequest) -> Response:
        """Route a request, log its outcome and return the response."""
        began = now() - req.waited
        try:
            self._cap_time_left(req)
            result = await self._router.serve(req)
        except UnknownApiKey as exc:
            self._request_log.log_unanswered(
                req, exc.status, "unknown-key", now() - began, exc.detail
            )
            return build_text_response(exc.status, str(exc))
        except BadRequest as exc:
            self._request_log.log_unanswered(req, exc.status, str(exc), now() - began)
            return Response(exc.status)
        except Refused as exc:
            self._request_log.log_unanswered(
                req, exc.status, exc.reason, now() - began, exc.detail
            )
            return Response(
                exc.status, self.protocol.retry_after_headers(exc.retry_after)
            )
        except Unanswered as exc:
            status = GATEWAY_TIMEOUT if exc.timed_out else BAD_GATEWAY
            self._request_log.log_unanswered(
                req, status, exc.reason, now() - began, exc.detail
            )
            return Response(status)
        except asyncio.CancelledError:
            self._request_log.log_unanswered(req, 0, "caller-left", now() - began)
            raise
        except Exception:
            # Without a response the caller would wait until its own timeout.
            log.exception("unexpected error while serving a request")
            return Response(BAD_GATEWAY)
        self._request_log.log_answered(req, result, now() - began)
        return Response(result.answer.status, result.answer.headers, result.answer.body)

    def _cap_time_left(self, req: CallerRequest) -> None:
        """Limit a request's time to the time that the process has left.

        Raises
        ------
        Refused
            No time is left; the caller may retry at another VM immediately.
        """
        if self.shutdown_time_left is None:
            return
        left = self.shutdown_time_left()
        if left < MIN_ATTEMPT_SECONDS:
            raise Refused("stopping", IMMEDIATE_RETRY_SECONDS)
        req.time_left = min(req.time_left, left + req.waited)

    async def close(self) -> None:
        """Close all connections."""
        self._is_closed = True
        if self._listener is not None:
            self._listener.close()
        await self._wait_for_acknowledgements()
        for conn in list(self._connections):
            self._log_cut(conn)
            conn.close_now()
        # The event loop closes the transports in its next iteration.
        await asyncio.sleep(0)

    async def _wait_for_acknowledgements(self) -> None:
        """Wait for a moment until answers that have been sent are acknowledged."""
        end = now() + ACKNOWLEDGEMENT_SECONDS
        waiting = self._connections
        while (waiting := {c for c in waiting if c.awaits_acknowledgement}) and (
            now() < end
        ):
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_SECONDS)

    def _log_cut(self, conn: CallerConnection) -> None:
        """Log a connection whose caller may lose an answer by its close."""
        has_unread_bytes = conn.has_unread_bytes()
        if not conn.may_lose_answer(has_unread_bytes):
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
