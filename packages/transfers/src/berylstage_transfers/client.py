"""Tornado's curl client with calls sent at most once and cancelled immediately."""

from __future__ import annotations

import asyncio
import errno
import select
import socket
import struct
import time
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import TYPE_CHECKING

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient

from berylstage_transfers.call import Answer, Call
from berylstage_transfers.connection_age import ConnectionAgeLimit
from berylstage_transfers.errors import (
    AnswerLost,
    ConnectionClosed,
    ConnectionRefused,
    NeverSent,
    NotConnected,
)
from berylstage_transfers.idle_limit import IdleLimit

if TYPE_CHECKING:
    from typing import Any

# A connection takes about 1 ms. Linux retransmits a lost SYN only after 1 s, so a
# longer timeout helps less than another attempt.
CONNECT_TIMEOUT_SECONDS = 0.25
# Time after a call's deadline during which an answer already received is still read,
# piece by piece.
READ_GRACE_SECONDS = 0.1
# Time after a call's deadline at which libcurl ends the call, in case the client has
# not done so.
BACKSTOP_SECONDS = 30.0
# An idle connection is not reused after this time, because a middlebox may have lost
# its state and a call on it would be lost. Middleboxes forget idle flows after 30 s or
# more.
MAX_IDLE_SECONDS = 10
# Milliseconds that sent bytes may stay without a TCP acknowledgement. A connection
# whose state a middlebox lost acknowledges nothing, whereas the kernel of a slow or
# frozen process still does.
UNACKNOWLEDGED_MS = 2000
# Idle time before the first TCP keepalive probe, and the time between probes.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
# Number of local ports stored for one server, which bounds the memory. When it is
# reached all are discarded, and the kept connections are replaced one by one.
MAX_REMEMBERED_PORTS = 4096
# Send buffer of each active call. libcurl's default of 64 KB would be most of a
# connection's memory, and bodies are mostly small.
UPLOAD_BUFFER_BYTES = 16 * 1024
# Limit for the body of an answer.
MAX_BODY_BYTES = 16 * 1024 * 1024

# Headers that libcurl adds by default. ``Expect: 100-continue`` would cost larger
# bodies a round trip.
_SUPPRESSED_HEADERS = [b"Expect:", b"Accept:", b"User-Agent:"]
_MS_PER_SECOND = 1000
_INT = struct.Struct("i")
# libcurl's errors if a server resets or closes the connection without an answer.
_RESET_ERRORS = (pycurl.E_GOT_NOTHING, pycurl.E_SEND_ERROR, pycurl.E_RECV_ERROR)
# The same, and those of a connection closed within an answer, or refused when libcurl
# tried to send a call again whose connection had closed.
_CLOSED_ERRORS = (*_RESET_ERRORS, pycurl.E_PARTIAL_FILE, pycurl.E_COULDNT_CONNECT)
# Errors by which the kernel gives up a connection without a word from the server.
_SILENCE_ERRNOS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})
# Poll events of a kept connection that was closed or has unexpected data to read.
_CLOSED_EVENTS = select.POLLRDHUP | select.POLLERR | select.POLLHUP
_UNUSABLE_EVENTS = select.POLLIN | _CLOSED_EVENTS


class CallClient(CurlAsyncHTTPClient):
    """HTTP client for one server with a bounded number of connections.

    It uses tornado's integration of libcurl with the event loop and replaces the
    handling of transfers: handles keep their settings between calls, only the needed
    headers are parsed, a call is sent at most once, and cancelling a call aborts its
    transfer immediately.

    Parameters
    ----------
    max_clients : int
        Limit for concurrent calls, and for open connections.
    max_kept : int or None
        Limit for connections kept for later calls; above it, the connection that has
        been idle longest is closed. None keeps all.
    age_limit : ConnectionAgeLimit, optional
        Shared by the clients of one server.
    max_idle : int
        Seconds after which an idle connection is not reused.
    reset_on_close : bool
        Whether closing a connection discards undelivered data, so that an abandoned
        call cannot arrive later.
    idle_limit : Rest, optional
        Shared by the clients of all servers of one kind.
    connect_timeout : float
        Seconds to wait for a new connection to be established.
    """

    def __new__(
        cls,
        max_clients: int,
        max_kept: int | None = None,
        age_limit: ConnectionAgeLimit | None = None,
        max_idle: int = MAX_IDLE_SECONDS,
        reset_on_close: bool = False,
        idle_limit: IdleLimit | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> CallClient:
        """Return a new instance instead of tornado's shared one."""
        client = super().__new__(
            cls,
            force_instance=True,
            max_clients=max_clients,
            max_kept=max_kept,
            age_limit=age_limit,
            max_idle=max_idle,
            reset_on_close=reset_on_close,
            idle_limit=idle_limit,
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
        idle_limit: IdleLimit | None = None,
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
        idle_limit: IdleLimit | None = None,
        connect_timeout: float = CONNECT_TIMEOUT_SECONDS,
    ) -> None:
        """Initialize without curl handles, which are created on demand."""
        self._timer_due = 0.0
        super().initialize(max_clients=0)
        self._max_clients = max_clients
        self._max_idle = max_idle
        self._reset_on_close = reset_on_close
        self._connect_timeout = connect_timeout
        self._age_limit = age_limit or ConnectionAgeLimit()
        self._handles: dict[pycurl.Curl, _Handle] = {}
        self._fds_by_port: dict[int, int] = {}
        self._idle_limit = idle_limit or IdleLimit()
        # Monotonic time of each connection's last use, by its local port.
        self._last_used: dict[int, float] = {}
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_kept or max_clients)
        self._multi.setopt(pycurl.M_MAX_TOTAL_CONNECTIONS, max_clients)

    async def call(self, call: Call) -> Answer:
        """Make a call and return its complete answer.

        Cancelling the awaiting task aborts the transfer and closes its connection
        immediately; ``call.sent`` then says whether the server may have received it.

        Parameters
        ----------
        call : Call
            A new call; it cannot be reused.

        Returns
        -------
        Answer

        Raises
        ------
        NeverSent
            Nothing was sent.
        AnswerLost
            It was sent, and no complete answer to it arrived.
        """
        if self._closed:
            raise NeverSent(f"{call.url}: the client is closed; create another one")
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
        """Fail active and queued calls and close all connections."""
        if self._closed:
            return
        for curl, handle in self._handles.items():
            if handle.call is not None:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "client closed")
        self.fail_queued_calls("client closed")
        super().close()

    def fail_queued_calls(self, cause: str) -> None:
        """Fail the calls that wait for a connection; active calls continue.

        Parameters
        ----------
        cause : str
            Cause named in the error.
        """
        while self._requests:
            call: Any = self._requests.popleft()
            _fail(call, cause)

    def abort(self, call: Call, cause: str) -> None:
        """End a call that has no answer yet; the awaiting task gets an error.

        Parameters
        ----------
        call : Call
        cause : str
            Cause named in the error.
        """
        if call.fut is None or call.fut.done():
            return
        for curl, handle in self._handles.items():
            if handle.call is call:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, cause)
                self._process_queue()
                return
        _fail(call, cause)

    def has_unacknowledged_bytes(self, call: Call) -> bool:
        """Tell whether the server's machine has not acknowledged all bytes of a call.

        The machine of a server that is slow or suspended acknowledges them.
        """
        if not call.sent or call.status:
            return False
        for handle in self._handles.values():
            if handle.call is call:
                return handle.unacknowledged_bytes() > 0
        return False

    def has_open_connection(self) -> bool:
        """Tell whether the server has not closed all connections of this client.

        A connection over a lost link counts as open.
        """
        return any(_is_open(fd, port) for port, fd in list(self._fds_by_port.items()))

    def _expire_queued(self, call: Call) -> None:
        if not call.started:
            _fail(call, "no connection became available in time")

    def _cancel_transfer(self, call: Call) -> None:
        for curl, handle in self._handles.items():
            if handle.call is call:
                self._finish(curl, pycurl.E_ABORTED_BY_CALLBACK, "cancelled")
                self._process_queue()
                return

    def _set_timeout(self, msecs: int) -> None:
        # libcurl reschedules its timer several times per transfer, mostly to a later
        # time. Rescheduling a timer of the event loop costs more than one that fires
        # too early, because the handler asks libcurl for the right time anyway. So
        # only an earlier time reschedules the timer.
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
        """Start the timer that ends a call at its deadline.

        libcurl checks its clock before its sockets. After the event loop was blocked
        it would time out calls whose answers have already arrived, including those of
        work that may not be repeated. A timer of the event loop runs after the sockets
        have been read.
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
        """End a call after its deadline unless received data remains to be read."""
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
        """Return the maximum age of a reused connection; 0 for a new connection."""
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
            _fail(
                call,
                curl_message or f"curl error {curl_error}",
                curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED,
                handle.was_closed(curl_error),
            )
        elif not call.is_framed():
            _fail(call, "the answer has neither a length nor chunks")
        elif call.fut is not None and not call.fut.done():
            body = b"".join(call.body_chunks)
            call.fut.set_result(Answer(call.status, call.answer_headers, body))

    def _record_idle_outcome(
        self, handle: _Handle, call: Call, curl_error: int | None
    ) -> None:
        now = time.monotonic()
        if call.sent and not call.opened_connection:
            if curl_error is None:
                self._idle_limit.record_answer(handle.idle_seconds, now)
            elif (handle.saw_reset or curl_error in _RESET_ERRORS) and not call.status:
                self._idle_limit.record_reset(handle.idle_seconds, now)
        if len(self._last_used) >= MAX_REMEMBERED_PORTS:
            self._last_used.clear()
        self._last_used[handle.port] = now

    def _requeue_on_new_connection(self, call: Call) -> None:
        call.stale = False
        call.fresh = True
        self._requests.appendleft(call)  # type: ignore[arg-type]

    def _record_lost_answer(self, call: Call) -> None:
        # A call on a reused connection without a byte of an answer may mean that the
        # connection no longer works. A cancelled call is no evidence of this.
        assert call.fut is not None
        unanswered = not call.status and not call.fut.cancelled()
        if call.sent and not call.opened_connection and unanswered:
            self._age_limit.retire_open_connections(time.monotonic())


class _Handle:
    """A curl handle that keeps its settings between calls."""

    __slots__ = (
        "_reset_on_close",
        "_opened_fd",
        "_poll",
        "_idle_limit",
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
        self._idle_limit = client._idle_limit
        self._last_used = client._last_used
        # Local port of the current connection, and its idle time before this call.
        self.port = 0
        self.idle_seconds = 0.0
        # Whether libcurl tried to send the call again after a reset.
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
        """Apply the settings that depend on the call."""
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
        # libcurl sends a call again on another connection if a reused one closes
        # before any answer. The server may have processed the first one: work would
        # run twice, and a conditional write to a store would conflict with itself. So
        # the second attempt is aborted and the answer is treated as lost.
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
        if self.call.may_send is not None and not self.call.may_send():
            return pycurl.PREREQFUNC_ABORT
        self.call.sent = True
        return pycurl.PREREQFUNC_OK

    def _is_usable(self, local_port: int) -> bool:
        # libcurl reuses a recently used connection without checking it. If the server
        # has closed it since, for example by restarting, the call would be lost with
        # its outcome unknown. If an overdue answer is waiting on it, it would be read
        # as the answer to this call. A check before the first byte is sent allows the
        # call to use another connection.
        fd = self._fds_by_port.get(local_port)
        if fd is None:
            return False
        self._poll.register(fd, _UNUSABLE_EVENTS)
        events = self._poll.poll(0)
        self._poll.unregister(fd)
        return not events

    def has_progress(self) -> bool:
        """Return whether the connection is established or data waits to be read."""
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

    def was_closed(self, curl_error: int) -> bool:
        """Tell whether the server's machine closed the connection of a failed call."""
        if self.saw_reset:
            return True
        os_errno = self.curl.getinfo(pycurl.OS_ERRNO)
        return curl_error in _CLOSED_ERRORS and os_errno not in _SILENCE_ERRNOS

    def unacknowledged_bytes(self) -> int:
        """Return the bytes sent that the server's machine has not acknowledged."""
        fd = self._fds_by_port.get(self.port, -1)
        if fd < 0:
            return 0
        try:
            return _INT.unpack(ioctl(fd, TIOCOUTQ, bytes(_INT.size)))[0]
        except OSError:
            # The connection has been closed meanwhile.
            return 0

    def _is_idle_too_long(self, local_port: int) -> bool:
        # A server that drops idle connections gives no sign of it: the next call is
        # reset, and the outcome of a call that may not be repeated is unknown.
        now = time.monotonic()
        self.idle_seconds = now - self._last_used.get(local_port, now)
        return self.idle_seconds > self._idle_limit.max_idle_seconds(now)

    def _on_header(self, line: bytes) -> int | None:
        assert self.call is not None
        if line != b"\r\n":
            self.call.header_lines.append(line)
            return None
        # An answer to another call means that requests and answers on this connection
        # are out of step, and every later answer would reach the wrong caller.
        # Rejecting the header makes libcurl close the connection before another call
        # is sent on it.
        return None if self.call.parse_headers() else 0

    def _on_body(self, chunk: bytes) -> int | None:
        assert self.call is not None
        self.call.body_size += len(chunk)
        if self.call.body_size > MAX_BODY_BYTES:
            return 0
        self.call.body_chunks.append(chunk)
        return None


def _is_open(fd: int, local_port: int) -> bool:
    """Tell whether a descriptor is still a connection that the server has not closed.

    libcurl closes connections by itself, and another socket may have the descriptor.
    """
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
    except OSError:
        return False
    try:
        if sock.getsockname()[1] != local_port:
            return False
        sock.getpeername()
    except (OSError, IndexError):
        # Another kind of socket, or one without a connection.
        return False
    finally:
        sock.detach()
    poll = select.poll()
    poll.register(fd, _CLOSED_EVENTS)
    return not poll.poll(0)


def _timeout_message(call: Call, now: float) -> str:
    """Describe how far a call got before its timeout."""
    what = "Operation" if call.sent else "Connection"
    spent = int((call.timeout + now - call.deadline) * _MS_PER_SECOND)
    return (
        f"{what} timed out after {spent} milliseconds "
        f"with {call.body_size} bytes received"
    )


def _fail(call: Call, cause: str, refused: bool = False, closed: bool = False) -> None:
    """Fail a call with the error that says whether it was sent."""
    if call.fut is None or call.fut.done():
        return
    subject = f"{call.method} {call.url}"
    if call.answers_other_call:
        cause = "the answer belongs to another call"
    if call.sent:
        remedy = "check whether it took effect before sending it again"
        if call.method == "GET":
            remedy = "send it again"
        lost = ConnectionClosed if closed else AnswerLost
        exc: Exception = lost(
            f"{subject}: sent, but no complete answer arrived ({cause}); {remedy}"
        )
    elif refused:
        exc = ConnectionRefused(
            f"{subject}: connection refused ({cause}); "
            "check that the server runs at this address"
        )
    else:
        error = NotConnected if call.started else NeverSent
        exc = error(f"{subject}: nothing was sent ({cause}); send it again")
    call.fut.set_exception(exc)
