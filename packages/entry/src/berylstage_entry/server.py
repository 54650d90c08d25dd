"""The HTTP servers of an entry VM: callers, the balancer and other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger
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
from berylstage_entry.errors import BadRequest, Refused, Unanswered

if TYPE_CHECKING:
    from asyncio import Future
    from collections.abc import Awaitable, Callable

    from berylstage_entry.journal import RequestJournal
    from berylstage_entry.router import Router
    from berylstage_entry.services import Limits
    from berylstage_entry.wire import CallerRequest, CallerWire

    Page = Callable[[bytes], "Reply | Awaitable[Reply]"]

# Bytes of a request's body at most while no configuration says so.
FIRST_BODY_LIMIT = 1024 * 1024
# Bytes of a request's body that are buffered at most, whatever the operators allow.
BUFFERED_BODY = 64 * 1024 * 1024
# Bytes of all bodies together that are buffered at most: a third of the memory of a VM
# of 300 MB, since a body is copied once on its way out and the process takes 26 MB.
# Five bodies of 64 MB at a time would have the VM killed, and its requests with it.
BODY_MEMORY = 100 * 1024 * 1024
# Seconds after which a caller may come back that was refused for want of this memory:
# the time in which a target takes a body of that size in.
BODY_RETURN = 0.5
# Bytes of a request's head that tornado reads; larger ones than the operators allow get
# their own status up to this size.
READ_HEAD = 256 * 1024
# Seconds for which a connection may stay idle while no configuration says so.
FIRST_IDLE = 60.0
# Seconds beyond the operators' idle time after which a connection closes, so that a
# request sent within that time doesn't cross the close.
IDLE_MARGIN = 2.0

OK = 200
BAD_REQUEST = 400
TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

log = Logger(__name__)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)


class Reply:
    """What goes back to a caller.

    Parameters
    ----------
    status : int
    headers : list of tuple
    body : bytes
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, headers: list[tuple[str, str]] | None = None, body=b""
    ):
        self.status = status
        self.headers = headers or []
        self.body = body


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


class _Exchange(HTTPMessageDelegate):
    """One request of a caller and its answer."""

    def __init__(self, server: CallerServer, link, conn):
        self._server = server
        # The connection, which lasts for many exchanges.
        self._link = link
        self._conn = conn
        self._chunks: list[bytes] = []
        self._size = 0
        self._req: CallerRequest | None = None
        self._refusal: BadRequest | Refused | None = None
        # Bytes counted against what all bodies may take.
        self._held = 0
        self._task: asyncio.Task | None = None

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        """Read the head."""
        assert isinstance(start_line, RequestStartLine)
        self._server.begun(self._link)
        try:
            self._server.check_head(headers)
            self._req = self._server.wire.request(
                start_line.method, start_line.path, headers.get_all()
            )
        except BadRequest as exc:
            self._refusal = exc

    def data_received(self, chunk: bytes) -> None:
        """Keep a part of the body, up to the limit."""
        if self._refusal is not None:
            return
        self._size += len(chunk)
        if self._size > self._server.body_limit():
            self._refusal = BadRequest(TOO_LARGE, "the body is over the limit")
        elif not self._server.hold(len(chunk)):
            self._refusal = Refused("body-memory", BODY_RETURN)
        else:
            self._held += len(chunk)
            self._chunks.append(chunk)
            return
        self._chunks.clear()
        self._release()

    def _release(self) -> None:
        """Give back what the body took."""
        self._server.release(self._held)
        self._held = 0

    def finish(self) -> None:
        """Serve the request, now that it is whole."""
        if self._link.stream.closed():
            # The connection was closed as an idle one while this request was read. It
            # must not run: its caller has been told that it has not been taken.
            self._server.gone(self._link)
            return
        if self._refusal is not None or self._req is None:
            reply = self._server.refused_unserved(self._refusal)
            write_reply(self._conn, reply, True)
            self._server.ended(self._link)
            return
        self._req.body = b"".join(self._chunks)
        self._chunks.clear()
        self._conn.set_close_callback(self.on_connection_close)
        self._task = asyncio.create_task(self._serve())

    def on_connection_close(self) -> None:
        """End the work, since nobody waits for it."""
        self._release()
        self._server.gone(self._link)
        if self._task is not None:
            self._task.cancel()

    async def _serve(self) -> None:
        assert self._req is not None
        server = self._server
        try:
            reply = await server.reply(self._req)
        finally:
            self._release()
        sent = write_reply(self._conn, reply, server.closing)
        if server.closing:
            await asyncio.wait([sent])
        server.ended(self._link)


class CallerServer(HTTPServerConnectionDelegate):
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
        self.closing = False
        # Bytes of bodies that are buffered, and may be at most.
        self._buffered = 0
        self.body_memory = BODY_MEMORY
        # Connections with a request under way, and those without.
        self._busy: set = set()
        self._idle: set = set()
        self._server: HTTPServer | None = None

    def listen(self, address: str) -> None:
        """Accept connections."""
        self._server = HTTPServer(
            self,
            max_header_size=READ_HEAD,
            max_body_size=BUFFERED_BODY,
            max_buffer_size=2 * BUFFERED_BODY,
            idle_connection_timeout=FIRST_IDLE,
        )
        host, port = split_address(address)
        self._server.listen(port, host, backlog=1024)

    def start_request(self, server_conn: object, request_conn) -> HTTPMessageDelegate:
        """Return what takes a new request."""
        if server_conn not in self._busy:
            self._idle.add(server_conn)
        return _Exchange(self, server_conn, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Forget a connection that has closed."""
        self.gone(server_conn)

    @property
    def in_flight(self) -> int:
        """Requests under way."""
        return len(self._busy)

    def begun(self, link: object) -> None:
        """Note that a request has come on a connection."""
        self._idle.discard(link)
        self._busy.add(link)

    def ended(self, link: object) -> None:
        """Note that the answer has been written."""
        self._busy.discard(link)
        if self.closing:
            link.stream.close()  # type: ignore[attr-defined]
        else:
            self._idle.add(link)

    def gone(self, link: object) -> None:
        """Note that a connection is no more."""
        self._busy.discard(link)
        self._idle.discard(link)

    def refuse_more(self) -> None:
        """Close what waits for callers and the connections without a request.

        A request that is read while the process ends would be cut off. Closing the idle
        connections first leaves only those that end with their answer.
        """
        if self._server is not None:
            self._server.stop()
        for link in list(self._idle):
            link.stream.close()
        self._idle.clear()

    def set_limits(self, limits: Limits) -> None:
        """Take over how long connections may be idle, for new ones."""
        if self._server is not None:
            idle = max(limits.idle_time, limits.header_time) + IDLE_MARGIN
            self._server.conn_params.header_timeout = idle

    def body_limit(self) -> int:
        """Return the bytes that a body may have."""
        limits = self._limits()
        return min(limits.body_bytes, BUFFERED_BODY) if limits else FIRST_BODY_LIMIT

    def check_head(self, headers: HTTPHeaders) -> None:
        """Check the size of a head.

        Raises
        ------
        BadRequest
        """
        limits = self._limits()
        if limits is None:
            return
        size = sum(len(name) + len(value) + 4 for name, value in headers.get_all())
        if size > limits.header_bytes:
            raise BadRequest(HEAD_TOO_LARGE, "the headers are over the limit")

    def hold(self, size: int) -> bool:
        """Count bytes of a body; False when all bodies would take too much."""
        if self._buffered + size > self.body_memory:
            return False
        self._buffered += size
        return True

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
        began = now()
        try:
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

    async def close(self) -> None:
        """Close all connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


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
