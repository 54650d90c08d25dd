"""The HTTP server of an entry VM for its callers."""

from __future__ import annotations

import asyncio
from socket import create_server
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.connection import READ_BODY, CallerConnection
from berylstage_entry.errors import BadRequest, Refused, Unanswered
from berylstage_entry.replies import (
    BAD_GATEWAY,
    BAD_REQUEST,
    GATEWAY_TIMEOUT,
    HEAD_TOO_LARGE,
    UNAVAILABLE,
    Reply,
)
from berylstage_entry.router import LEAST_TIME, RETURN_AT_ONCE
from berylstage_entry.stopping import Standing

if TYPE_CHECKING:
    from asyncio import AbstractServer
    from collections.abc import Callable
    from socket import socket

    from berylstage_entry.protocols import CallerProtocol, CallerRequest
    from berylstage_entry.request_log import RequestLog
    from berylstage_entry.router import Router
    from berylstage_entry.services import Limits

# Bytes of a request's body at most while no configuration says so.
FIRST_BODY_LIMIT = 1024 * 1024
# Bytes of all bodies together that are buffered at most: a third of the memory of a VM
# of 300 MB, since a body is copied once on its way out and the process takes 26 MB.
# Five bodies of 64 MB at a time would have the VM killed, and its requests with it.
BODY_MEMORY = 100 * 1024 * 1024
# Connections that may wait to be accepted.
BACKLOG = 1024
# Seconds for which a connection may stay idle while no configuration says so.
FIRST_IDLE = 60.0
# Seconds beyond the operators' idle time after which a connection closes, so that a
# request sent within that time doesn't cross the close.
IDLE_MARGIN = 2.0

log = Logger(__name__)


class StopCounts:
    """What a stop has brought to callers.

    Attributes
    ----------
    begun : int
        Requests that came after SIGTERM.
    closed_idle : int
        Connections closed without a request.
    cut : int
        Connections that ended with something under way.
    bytes_cut : int
        Bytes of answers that did not leave.
    """

    __slots__ = ("begun", "bytes_cut", "closed_idle", "cut")

    def __init__(self) -> None:
        self.begun = 0
        self.closed_idle = 0
        self.cut = 0
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
        wire: CallerProtocol,
        router: Router,
        journal: RequestLog,
        limits: Callable[[], Limits | None],
    ):
        self.wire = wire
        self._router = router
        self._journal = journal
        self._limits = limits
        self.closing = False
        # Seconds for which a connection may stay idle.
        self.idle_time = FIRST_IDLE
        # Bytes of bodies that are buffered, and may be at most.
        self._buffered = 0
        self.body_memory = BODY_MEMORY
        # All that are not closed yet, those whose last answer goes out among them.
        self._connections: set[CallerConnection] = set()
        # Whether connections without a request are closed by now.
        self._has_refused = False
        # Returns the seconds that a request has while the program stops.
        self.time_limit: Callable[[], float] | None = None
        self.counts = StopCounts()
        self._opening: asyncio.Task | None = None
        self._socket: socket | None = None
        self._server: AbstractServer | None = None

    def listen(self, address: str) -> None:
        """Accept connections."""
        self._socket = create_server(split_address(address), backlog=BACKLOG)
        self._opening = asyncio.create_task(self._open(self._socket))

    async def _open(self, sock: socket) -> None:
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: CallerConnection(self), sock=sock, backlog=BACKLOG
        )

    @property
    def in_flight(self) -> int:
        """Connections on which something is under way.

        After idle ones were closed those are all that are left: a request that is still
        unread in its socket is under way as well.
        """
        if self._has_refused:
            return len(self._connections)
        return sum(conn.under_way for conn in self._connections)

    def standing(self) -> Standing:
        """Return what stands between this server and its end."""
        flushing = [conn for conn in self._connections if not conn.is_serving]
        bytes_left = sum(conn.bytes_left for conn in self._connections)
        serving = len(self._connections) - len(flushing)
        return Standing(serving, len(flushing), bytes_left)

    def opened(self, conn: CallerConnection) -> None:
        """Note a new connection."""
        self._connections.add(conn)
        if self._has_refused:
            conn.read_no_more()

    def begun(self) -> None:
        """Note that a request has come."""
        self.counts.begun += self.closing

    def gone(self, conn: CallerConnection) -> None:
        """Note that a connection is no more."""
        self._connections.discard(conn)

    def refuse_more(self) -> None:
        """Close what waits for callers and the connections without a request.

        A request that is read while the process ends would be cut off. Closing the idle
        connections first leaves only those that end with their answer.
        """
        self._stop_listening()
        self._has_refused = True
        self.close_idle()
        for conn in self._connections:
            conn.read_no_more()

    def close_idle(self) -> None:
        """Close the connections on which nothing is under way for anybody."""
        for conn in list(self._connections):
            conn.drop_if_left()
            self.counts.closed_idle += conn.close_idle()

    def _stop_listening(self) -> None:
        if self._opening is not None:
            self._opening.cancel()
        if self._server is not None:
            self._server.close()
        if self._socket is not None:
            self._socket.close()

    def set_limits(self, limits: Limits) -> None:
        """Take over how long connections may be idle."""
        self.idle_time = max(limits.idle_time, limits.header_time) + IDLE_MARGIN

    def body_limit(self) -> int:
        """Return the bytes that a body may have."""
        limits = self._limits()
        return min(limits.body_bytes, READ_BODY) if limits else FIRST_BODY_LIMIT

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
            raise BadRequest(HEAD_TOO_LARGE, "the headers are over the limit")

    def hold(self, size: int) -> bool:
        """Count bytes of a body; False when all bodies would take too much."""
        if self._buffered + size > self.body_memory:
            return False
        self._buffered += size
        return True

    def hold_reply(self, size: int) -> int:
        """Count bytes of an answer that waits for those before it, and return them."""
        self._buffered += size
        return size

    def memory_is_short(self) -> bool:
        """Tell whether bodies and answers take all that they may take."""
        return self._buffered >= self.body_memory

    def release(self, size: int) -> None:
        """Give counted bytes back."""
        self._buffered -= size

    def refused_unserved(self, exc: BadRequest | Refused | None) -> Reply:
        """Log a request that is not served, and return the reply to it."""
        self._journal.malformed(str(exc) if exc else "unreadable request")
        if isinstance(exc, Refused):
            return Reply(UNAVAILABLE, self.wire.refusal_headers(exc.retry_after))
        return Reply(exc.status if exc else BAD_REQUEST)

    async def reply(self, req: CallerRequest) -> Reply:
        """Return the reply to a request."""
        began = now() - req.waited
        try:
            self._limit_time(req)
            done = await self._router.serve(req)
        except BadRequest as exc:
            self._journal.ended(req, exc.status, str(exc), now() - began)
            return Reply(exc.status)
        except Refused as exc:
            self._journal.ended(req, UNAVAILABLE, exc.reason, now() - began, exc.detail)
            return Reply(UNAVAILABLE, self.wire.refusal_headers(exc.retry_after))
        except Unanswered as exc:
            status = GATEWAY_TIMEOUT if exc.timed_out else BAD_GATEWAY
            self._journal.ended(req, status, exc.reason, now() - began, exc.detail)
            return Reply(status)
        except asyncio.CancelledError:
            self._journal.ended(req, 0, "caller-left", now() - began)
            raise
        except Exception:
            # Without an answer the caller would wait out its whole time.
            log.exception("a request met a fault of this program")
            return Reply(BAD_GATEWAY)
        self._journal.answered(req, done, now() - began)
        return Reply(done.answer.status, done.answer.headers, done.answer.body)

    def _limit_time(self, req: CallerRequest) -> None:
        """Give a request no more time than the program has.

        Raises
        ------
        Refused
            There is none left; other VMs take it at once.
        """
        if self.time_limit is None:
            return
        left = self.time_limit()
        if left < LEAST_TIME:
            raise Refused("stopping", RETURN_AT_ONCE)
        req.time_left = min(req.time_left, left + req.waited)

    async def close(self) -> None:
        """Close all connections."""
        self._stop_listening()
        for conn in list(self._connections):
            self._tell_cut(conn)
            conn.cut()
        # The event loop closes them in its next turn.
        await asyncio.sleep(0)

    def _tell_cut(self, conn: CallerConnection) -> None:
        """Log a request without an answer, or an answer that is not out."""
        has_unread = conn.has_unread()
        if not conn.under_way and not has_unread:
            return
        self.counts.cut += 1
        self.counts.bytes_cut += conn.bytes_left
        log.warning(
            "connection cut",
            extra={
                "id": conn.last_id,
                "phase": "serving" if conn.is_serving else "flushing",
                "bytes_left": conn.bytes_left,
                "unread": has_unread,
            },
        )
