"""Tornado's curl client with calls that are sent once and cancelled at once."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import struct
import time
from typing import TYPE_CHECKING

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from berylstage_transfers.call import Answer, Call
from berylstage_transfers.connection_age import ConnectionAgeLimit
from berylstage_transfers.errors import AnswerLost, NeverSent, NothingListens
from berylstage_transfers.rest import Rest

if TYPE_CHECKING:
    from typing import Any

# Seconds to wait for a new connection. One takes about 1 ms today (the brief's sizes);
# within this time a lost SYN is not sent again (1 s in Linux), so longer waits
# only help where another connection would help more.
CONNECT_TIMEOUT_SECONDS = 0.25
# Seconds beyond a call's time in which an answer that is there is read on, piece by
# piece.
READ_GRACE_SECONDS = 0.1
# Seconds after a call's time at which libcurl would give it up by itself, should that
# not have been done here.
BACKSTOP_SECONDS = 30.0
# Seconds after which an idle connection is not used again: something between the two
# ends may have lost track of it (the brief's "What fails"), and a call on it would
# be lost. Middleboxes forget idle flows after 30 s or more.
MAX_IDLE_SECONDS = 10
# Milliseconds that sent bytes may stay without a TCP acknowledgement. A connection
# that something lost track of acknowledges nothing, while a slow or frozen process
# still does, by its kernel.
UNACKNOWLEDGED_MS = 2000
# Seconds of idleness before the first TCP keepalive, and between two.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
# Local ports remembered for one server. Beyond, all are forgotten and the kept
# connections are replaced one by one, which bounds the memory at little cost.
MAX_REMEMBERED_PORTS = 4096
# Bytes of the buffer that each call under way has for sending. libcurl's own 64 KB
# would be most of what a connection costs in memory, and bodies are mostly small.
UPLOAD_BUFFER_BYTES = 16 * 1024
# Bytes of an answer's body at most.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Headers that libcurl would add by itself. ``Expect: 100-continue`` would cost
# larger bodies a round trip.
_SUPPRESSED_HEADERS = [b"Expect:", b"Accept:", b"User-Agent:"]
_MS_PER_SECOND = 1000
# What libcurl says when a server resets or closes without an answer.
_RESET_ERRORS = (pycurl.E_GOT_NOTHING, pycurl.E_SEND_ERROR, pycurl.E_RECV_ERROR)
# What tells of a kept connection that it has ended, or brings bytes out of turn.
_UNUSABLE_EVENTS = select.POLLIN | select.POLLRDHUP | select.POLLERR | select.POLLHUP


class CallClient(CurlAsyncHTTPClient):
    """Calls to one server over a bounded number of connections.

    It keeps tornado's way of driving libcurl from the event loop and replaces what
    happens around a transfer: handles keep their settings between calls, headers are
    read only as far as they are needed, a call is sent once, and a cancelled one
    is broken off at once.

    Parameters
    ----------
    max_clients : int
        Calls under way at once, and connections held at once.
    max_kept : int or None
        Connections kept for later calls; beyond, the one idle for longest closes.
        None keeps all.
    age_limit : Trust, optional
        Shared by the clients of one server.
    max_idle : int
        Seconds after which an idle connection is not used again.
    reset_on_close : bool
        Whether closing a connection throws away what it has not delivered yet, so that
        a call that was given up cannot arrive later.
    rest : Rest, optional
        Shared by the clients of servers of one kind.
    connect_timeout : float
        Seconds to wait for a new connection.
    """

    def __new__(
        cls,
        max_clients: int,
        max_kept: int | None = None,
        age_limit: ConnectionAgeLimit | None = None,
        max_idle: int = MAX_IDLE_SECONDS,
        reset_on_close: bool = False,
        rest: Rest | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> CallClient:
        """Return an instance of its own, never tornado's shared one."""
        client = super().__new__(
            cls,
            force_instance=True,
            max_clients=max_clients,
            max_kept=max_kept,
            age_limit=age_limit,
            max_idle=max_idle,
            reset_on_close=reset_on_close,
            rest=rest,
            connect_timeout=connect_timeout,
        )
        assert isinstance(client, CallClient)
        return client

    def __init__(
        self,
        max_clients: int,
        max_kept: int | None = None,
        age_limit: ConnectionAgeLimit | None = None,
        max_idle: int = MAX_IDLE_SECONDS,
        reset_on_close: bool = False,
        rest: Rest | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ):
        super().__init__()

    def initialize(  # type: ignore[override]
        self,
        max_clients: int,
        max_kept: int | None,
        age_limit: ConnectionAgeLimit | None,
        max_idle: int = MAX_IDLE_SECONDS,
        reset_on_close: bool = False,
        rest: Rest | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        """Set up without any handle; they are made when calls need them."""
        self._timer_due = 0.0
        super().initialize(max_clients=0)
        self._max_clients = max_clients
        self._max_idle = max_idle
        self._reset_on_close = reset_on_close
        self._connect_timeout = connect_timeout
        self._age_limit = age_limit or ConnectionAgeLimit()
        self._handles: dict[pycurl.Curl, _Handle] = {}
        self._fds_by_port: dict[int, int] = {}
        self._rest = rest or Rest()
        # When each kept connection was used last, by its local port.
        self._last_used: dict[int, float] = {}
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_kept or max_clients)
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, max_clients)

    async def call(self, call: Call) -> Answer:
        """Make a call and return the whole answer to it.

        When the awaiting task is cancelled, the transfer ends and its connection
        closes at once; ``call.sent`` then tells whether the server may have seen it.

        Parameters
        ----------
        call : Call
            Used once.

        Returns
        -------
        Answer

        Raises
        ------
        NeverSent
            Nothing was sent.
        AnswerLost
            It was sent, and no whole answer of its own came.
        """
        if self._closed:
            raise NeverSent(f"{call.url}: the client is closed; open another one")
        fut: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()
        call.fut = fut
        call.deadline = time.monotonic() + call.timeout
        self._requests.append(call)  # type: ignore[arg-type]
        self._process_queue()
        if not call.started:
            asyncio.get_running_loop().call_later(
                call.timeout, self._expire_queued, call
            )
        try:
            return await fut
        except asyncio.CancelledError:
            self._cancel_transfer(call)
            raise

    def close(self) -> None:
        """Fail what is under way and close all connections."""
        if self._closed:
            return
        for curl, handle in self._handles.items():
            if handle.call is not None:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "client closed")
        self.refuse_waiting("client closed")
        super().close()

    def refuse_waiting(self, cause: str) -> None:
        """Fail the calls that wait for a connection; those under way go on.

        Parameters
        ----------
        cause : str
            For the error.
        """
        while self._requests:
            call: Any = self._requests.popleft()
            _fail(call, cause)

    def _expire_queued(self, call: Call) -> None:
        if not call.started:
            _fail(call, "no connection came free in time")

    def _cancel_transfer(self, call: Call) -> None:
        for curl, handle in self._handles.items():
            if handle.call is call:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
                self._process_queue()
                return

    def _set_timeout(self, msecs: int) -> None:
        # libcurl moves its timer several times in each transfer, mostly to later, and
        # moving a timer of the event loop costs more than one that rings too early:
        # the handler asks libcurl for the right time anyway. So only an earlier
        # time moves the timer.
        if msecs < 0:
            return
        loop = self.io_loop.asyncio_loop  # type: ignore[attr-defined]
        due = loop.time() + msecs / _MS_PER_SECOND
        if self._timeout is not None:
            if self._timer_due <= due:
                return
            self._timeout.cancel()  # type: ignore[attr-defined]
        self._timer_due = due
        self._timeout = loop.call_at(due, self._handle_timeout)

    def _process_queue(self) -> None:
        while self._requests and (
            self._free_list or len(self._curls) < self._max_clients
        ):
            call: Any = self._requests.popleft()
            if call.fut.done():
                continue
            curl = self._free_list.pop() if self._free_list else self._new_curl()
            self._handles[curl].prepare(call, self._max_age_seconds(call))
            self._multi.add_handle(curl)
            self._start_timer(call, curl)

    def _start_timer(self, call: Call, curl: pycurl.Curl) -> None:
        """Have a call end in time, though not before what has come is read.

        libcurl looks at its clock before it looks at its sockets. Once the event loop
        has stood still it would give up calls whose answers are there, also those of
        work that may not be repeated. A timer of the loop runs after the loop's
        sockets were read.
        """
        now = time.monotonic()
        call.connect_deadline = min(call.deadline, now + self._connect_timeout)
        call.read_deadline = 0.0
        self._schedule_deadline_check(call.connect_deadline - now, call, curl)

    def _schedule_deadline_check(
        self, seconds: float, call: Call, curl: pycurl.Curl
    ) -> None:
        loop = asyncio.get_running_loop()
        call.timer = loop.call_later(
            max(0.0, seconds), self._check_deadline, call, curl
        )

    def _check_deadline(self, call: Call, curl: pycurl.Curl) -> None:
        """End a call whose time is over, unless it goes on for good reason."""
        handle = self._handles[curl]
        if handle.call is not call:
            return
        now = time.monotonic()
        end = call.deadline if call.sent else call.connect_deadline
        if now < end:
            self._schedule_deadline_check(end - now, call, curl)
            return
        call.read_deadline = call.read_deadline or now + READ_GRACE_SECONDS
        if now < call.read_deadline and handle.has_progress():
            self._schedule_deadline_check(0.0, call, curl)
            return
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, _timeout_message(call, now))
        self._process_queue()

    def _new_curl(self) -> pycurl.Curl:
        curl = pycurl.Curl()
        self._curls.append(curl)
        self._handles[curl] = _Handle(curl, self)
        return curl

    def _max_age_seconds(self, call: Call) -> int:
        """Return the most seconds that a kept connection may be old; 0 for none."""
        if call.fresh:
            return 0
        return self._age_limit.max_age_seconds(time.monotonic())

    def _finish(
        self,
        curl: pycurl.Curl,
        curl_error: int | None = None,
        curl_message: str | None = None,
    ) -> None:
        handle = self._handles[curl]
        call = handle.call
        assert call is not None
        handle.call = None
        if call.timer is not None:
            call.timer.cancel()
        self._record_idle_outcome(handle, call, curl_error)
        self._multi.remove_handle(curl)
        self._free_list.append(curl)
        if call.stale:
            self._requeue_on_new_connection(call)
        elif curl_error is not None:
            self._record_lost_answer(call)
            refused = curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED
            _fail(call, curl_message or f"curl error {curl_error}", refused)
        elif not call.is_framed():
            _fail(call, "nothing says where the body ends")
        elif call.fut is not None and not call.fut.done():
            body = b"".join(call.body_chunks)
            call.fut.set_result(Answer(call.status, call.answer_headers, body))

    def _record_idle_outcome(
        self, handle: _Handle, call: Call, curl_error: int | None
    ) -> None:
        now = time.monotonic()
        if call.sent and not call.opened_connection:
            if curl_error is None:
                self._rest.record_answer(handle.idle_seconds, now)
            elif (handle.saw_reset or curl_error in _RESET_ERRORS) and not call.status:
                self._rest.record_reset(handle.idle_seconds, now)
        if len(self._last_used) >= MAX_REMEMBERED_PORTS:
            self._last_used.clear()
        self._last_used[handle.port] = now

    def _requeue_on_new_connection(self, call: Call) -> None:
        call.stale = False
        call.fresh = True
        self._requests.appendleft(call)  # type: ignore[arg-type]

    def _record_lost_answer(self, call: Call) -> None:
        # A call on a kept connection that brings not a byte back may have met one that
        # went silent. A call that was cancelled proves nothing.
        assert call.fut is not None
        unanswered = not call.status and not call.fut.cancelled()
        if call.sent and not call.opened_connection and unanswered:
            self._age_limit.retire_open_connections(time.monotonic())


class _Handle:
    """A curl handle that keeps its settings from call to call."""

    __slots__ = (
        "_reset_on_close",
        "_opened_fd",
        "_poll",
        "_rest",
        "_fds_by_port",
        "_last_used",
        "call",
        "curl",
        "saw_reset",
        "port",
        "idle_seconds",
    )

    def __init__(self, curl: pycurl.Curl, client: CallClient):
        self.curl = curl
        self.call: Call | None = None
        self._reset_on_close = client._reset_on_close
        self._opened_fd = -1
        self._poll = select.poll()
        # The file descriptor of each kept connection, by its local port.
        self._fds_by_port = client._fds_by_port
        self._rest = client._rest
        self._last_used = client._last_used
        # Local port of the connection in use, and for how long it had rested.
        self.port = 0
        self.idle_seconds = 0.0
        # Whether libcurl wanted to send the call again after a reset.
        self.saw_reset = False
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES)
        curl.setopt(pycurl.PATH_AS_IS, 1)
        curl.setopt(pycurl.MAXAGE_CONN, client._max_idle)
        curl.setopt(pycurl.TCP_KEEPALIVE, 1)
        curl.setopt(pycurl.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS)
        curl.setopt(pycurl.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
        curl.setopt(pycurl.SOCKOPTFUNCTION, self._on_socket)
        curl.setopt(pycurl.PREREQFUNCTION, self._before_sending)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_body)

    def prepare(self, call: Call, max_age_seconds: int) -> None:
        """Set what differs from call to call."""
        self.call = call
        self._opened_fd = -1
        self.saw_reset = False
        call.started = True
        curl = self.curl
        curl.setopt(pycurl.URL, call.url)
        curl.setopt(pycurl.HTTPHEADER, call.headers + _SUPPRESSED_HEADERS)
        if call.body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        else:
            curl.setopt(pycurl.POST, 1)
            curl.setopt(pycurl.POSTFIELDS, call.body)
        curl.setopt(pycurl.NOBODY, 1 if call.method == "HEAD" else 0)
        if call.method != "HEAD" and call.body is None:
            curl.setopt(pycurl.HTTPGET, 1)
        curl.setopt(pycurl.CUSTOMREQUEST, call.method)
        curl.setopt(
            pycurl.TIMEOUT_MS, int((call.timeout + BACKSTOP_SECONDS) * _MS_PER_SECOND)
        )
        curl.setopt(pycurl.FRESH_CONNECT, 1 if max_age_seconds < 1 else 0)
        curl.setopt(pycurl.MAXLIFETIME_CONN, max_age_seconds)

    def _on_socket(self, fd: int, _purpose: int) -> int:
        self._opened_fd = fd
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
        try:
            sock.setsockopt(
                socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
            )
            if self._reset_on_close:
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        finally:
            sock.detach()
        return pycurl.SOCKOPT_OK

    def _before_sending(
        self, _remote: str, _local: str, _remote_port: int, local_port: int
    ) -> int:
        # libcurl sends a call again, on another connection, when a kept one closes
        # before any answer. The server may have acted on the first by then: a
        # ledger would show the work twice, a store a conflict with itself. So
        # the second sending is refused, and the answer counts as lost.
        assert self.call is not None
        if self.call.sent:
            self.saw_reset = True
            return pycurl.PREREQFUNC_ABORT
        self.port = local_port
        if self._opened_fd >= 0:
            self.call.opened_connection = True
            if len(self._fds_by_port) >= MAX_REMEMBERED_PORTS:
                self._fds_by_port.clear()
            self._fds_by_port[local_port] = self._opened_fd
            self._opened_fd = -1
        elif not self._is_usable(local_port) or self._is_idle_too_long(local_port):
            self.call.stale = True
            return pycurl.PREREQFUNC_ABORT
        self.call.sent = True
        return pycurl.PREREQFUNC_OK

    def _is_usable(self, local_port: int) -> bool:
        # libcurl takes a connection that was used a moment ago for a good one without
        # a look at it. If the server has closed it since, as it does when it
        # restarts, the call would be lost with its outcome unknown; if a late
        # answer waits on it, that would be read as this call's. A look before the
        # first byte is sent leaves the call free to go out on another connection.
        fd = self._fds_by_port.get(local_port)
        if fd is None:
            return False
        self._poll.register(fd, _UNUSABLE_EVENTS)
        events = self._poll.poll(0)
        self._poll.unregister(fd)
        return not events

    def has_progress(self) -> bool:
        """Tell whether a connection has come about, or bytes of an answer wait."""
        assert self.call is not None
        if self.call.sent:
            fd, events = self._fds_by_port.get(self.port, -1), select.POLLIN
        else:
            fd, events = self._opened_fd, select.POLLOUT
        if fd < 0:
            return False
        self._poll.register(fd, events)
        ready = self._poll.poll(0)
        self._poll.unregister(fd)
        return bool(ready)

    def _is_idle_too_long(self, local_port: int) -> bool:
        # A server that forgets idle connections lets nothing show it: what is sent next
        # is reset, and a call that may not be repeated is lost.
        now = time.monotonic()
        self.idle_seconds = now - self._last_used.get(local_port, now)
        return self.idle_seconds > self._rest.max_idle_seconds(now)

    def _on_header(self, line: bytes) -> int | None:
        assert self.call is not None
        if line != b"\r\n":
            self.call.header_lines.append(line)
            return None
        # An answer to another call means that the two ends disagree on whose turn it
        # is, and every later answer on this connection would reach the wrong caller.
        # Refusing the header makes libcurl close the connection before another call
        # could be sent on it.
        return None if self.call.parse_headers() else 0

    def _on_body(self, chunk: bytes) -> int | None:
        assert self.call is not None
        self.call.body_size += len(chunk)
        if self.call.body_size > MAX_BODY_BYTES:
            return 0
        self.call.body_chunks.append(chunk)
        return None


def _timeout_message(call: Call, now: float) -> str:
    """Return how far a call came in its time."""
    what = "Operation" if call.sent else "Connection"
    spent = int((call.timeout + now - call.deadline) * _MS_PER_SECOND)
    received = call.body_size
    return f"{what} timed out after {spent} milliseconds with {received} bytes received"


def _fail(call: Call, cause: str, refused: bool = False) -> None:
    """End a call with the error that says whether it was sent."""
    if call.fut is None or call.fut.done():
        return
    subject = f"{call.method} {call.url}"
    if call.answers_other_call:
        cause = "the answer is another call's"
    if call.sent:
        remedy = "find out whether it took effect before sending it again"
        if call.method == "GET":
            remedy = "send it again"
        exc: Exception = AnswerLost(
            f"{subject}: sent, but no whole answer came ({cause}); {remedy}"
        )
    elif refused:
        exc = NothingListens(f"{subject}: nothing listens there ({cause}); look for it")
    else:
        exc = NeverSent(f"{subject}: nothing was sent ({cause}); send it again")
    call.fut.set_exception(exc)
