"""A curl handle that sends each call at most once."""

from __future__ import annotations

import errno
import select
import socket
import struct
import time
from functools import partial
from typing import TYPE_CHECKING

import pycurl

from berylstage_transfers.answer_head import InvalidAnswer
from berylstage_transfers.call import LINE_END
from berylstage_transfers.chunked_body import ChunkedBody
from berylstage_transfers.connections import has_events
from berylstage_transfers.errors import EndedBy
from berylstage_transfers.send_queue import SendQueue

if TYPE_CHECKING:
    from berylstage_transfers.answer_head import AnswerHead
    from berylstage_transfers.answer_memory import AnswerMemory
    from berylstage_transfers.call import Call
    from berylstage_transfers.connections import Connections
    from berylstage_transfers.idle_limit import IdleLimit
    from berylstage_transfers.raw_heads import RawHeads
    from berylstage_transfers.sent_ids import SentIds

# Time after a call's deadline at which libcurl ends the call, in case the client has
# not done so.
BACKSTOP_SECONDS = 30.0
# Milliseconds that sent bytes may stay without a TCP acknowledgement. A connection
# whose state a middlebox lost acknowledges nothing, whereas the kernel of a slow or
# frozen process still does.
UNACKNOWLEDGED_MS = 2000
# Bytes of a body that the socket of a server buffers while it does not read. The kernel
# also counts a full buffer as silence, so for larger bodies the call's own timeout
# applies: a target that is suspended for 2 s would lose its uploads.
BUFFERED_BODY_BYTES = 64 * 1024
# Idle time before the first TCP keepalive probe, and the time between probes.
KEEPALIVE_IDLE_SECONDS = 5
KEEPALIVE_INTERVAL_SECONDS = 2
# Send buffer of each active call. libcurl's default of 64 KB would be most of a
# connection's memory, and bodies are mostly small.
UPLOAD_BUFFER_BYTES = 16 * 1024

# Headers that libcurl adds by default. ``Expect: 100-continue`` would cost larger
# bodies a round trip.
_SUPPRESSED_HEADERS = [b"Expect:", b"Accept:", b"User-Agent:"]
_MS_PER_SECOND = 1000
_EMPTY_LINES = (LINE_END, b"\n")
# libcurl's errors if a server resets or closes the connection without an answer.
RESET_ERRORS = (pycurl.E_GOT_NOTHING, pycurl.E_SEND_ERROR, pycurl.E_RECV_ERROR)
# The same, and those of a connection closed within an answer, or refused when libcurl
# tried to send a call again whose connection had closed.
_CLOSED_ERRORS = (*RESET_ERRORS, pycurl.E_PARTIAL_FILE, pycurl.E_COULDNT_CONNECT)
# Errors by which the kernel gives up a connection without a word from the server.
_SILENCE_ERRNOS = frozenset({errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH})


class CurlHandle:
    """A curl handle that keeps its settings between calls.

    Parameters
    ----------
    connections : Connections
        Shared by all handles of a client.
    idle_limit : IdleLimit
    sent_ids : SentIds
        Shared by all handles of a client.
    answer_memory : AnswerMemory
    raw_heads : RawHeads
        Shared by all handles of a client.
    max_idle : int
        Seconds after which an idle connection is not reused.
    reset_on_close : bool
        Whether closing a connection discards undelivered data.
    """

    __slots__ = (
        "_answer_memory",
        "_connections",
        "_idle_limit",
        "_opened_fd",
        "_raw_heads",
        "_reset_on_close",
        "_sent_at",
        "_sent_ids",
        "call",
        "curl",
        "idle_seconds",
        "port",
        "saw_reset",
    )

    def __init__(
        self,
        connections: Connections,
        idle_limit: IdleLimit,
        sent_ids: SentIds,
        answer_memory: AnswerMemory,
        raw_heads: RawHeads,
        max_idle: int,
        reset_on_close: bool,
    ):
        curl = self.curl = pycurl.Curl()
        self.call: Call | None = None
        self._connections = connections
        self._idle_limit = idle_limit
        self._sent_ids = sent_ids
        self._answer_memory = answer_memory
        self._raw_heads = raw_heads
        self._reset_on_close = reset_on_close
        self._opened_fd = -1
        self._sent_at = 0.0
        # Local port of the current connection, and its idle time before this call.
        self.port = 0
        self.idle_seconds = 0.0
        # Whether libcurl tried to send the call again after a reset.
        self.saw_reset = False
        curl.setopt(pycurl.PROTOCOLS, pycurl.PROTO_HTTP)
        curl.setopt(pycurl.PROXY, "")
        curl.setopt(pycurl.NOSIGNAL, 1)
        curl.setopt(pycurl.UPLOAD_BUFFERSIZE, UPLOAD_BUFFER_BYTES)
        # Chunks are decoded by a stricter parser than that of libcurl, which only finds
        # out where the body ends.
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)
        curl.setopt(pycurl.MAXAGE_CONN, max_idle)
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
        curl.setopt(pycurl.URL, call.origin)
        curl.setopt(pycurl.REQUEST_TARGET, call.target)
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
        curl.setopt(pycurl.FORBID_REUSE, 1 if call.single_use else 0)
        curl.setopt(pycurl.MAXLIFETIME_CONN, max_age_seconds)

    def release_call(self) -> None:
        """Forget the call, and release its body.

        pycurl keeps a body until the handle's next call, which may be never. Idle
        handles would hold the last body sent to each target.
        """
        call, self.call = self.call, None
        if call is not None:
            self._answer_memory.release(call)
            self._forget_raw_head(call)
        if call is not None and call.body:
            self.curl.setopt(pycurl.POSTFIELDS, b"")
            # Before it is sent, the port is that of an earlier call, whose connection
            # another handle may use.
            if call.sent and len(call.body) > BUFFERED_BODY_BYTES:
                self._connections.set_user_timeout(self.port, UNACKNOWLEDGED_MS)

    def _forget_raw_head(self, call: Call) -> None:
        self._raw_heads.forget(self._connections.find_descriptor(self.port), call)

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
            self._connections.add(local_port, self._opened_fd)
            self._opened_fd = -1
        elif not self._may_reuse(local_port):
            self.call.stale = True
            return pycurl.PREREQFUNC_ABORT
        body = self.call.body
        if body is not None and len(body) > BUFFERED_BODY_BYTES:
            timeout_ms = int(self.call.timeout * _MS_PER_SECOND)
            self._connections.set_user_timeout(
                local_port, max(UNACKNOWLEDGED_MS, timeout_ms)
            )
        self.call.sent = True
        self.call.read_before = self._connections.read_bytes(local_port)
        self._raw_heads.expect(self._connections.find_descriptor(local_port), self.call)
        self._sent_at = time.monotonic()
        if self.call.echo:
            self._sent_ids.record(self.call.echo, self.call.timeout, self._sent_at)
        return pycurl.PREREQFUNC_OK

    def has_progress(self) -> bool:
        """Return whether the connection is established or data waits to be read."""
        assert self.call is not None
        if self.call.sent:
            return self._connections.has_data(self.port)
        return self._opened_fd >= 0 and has_events(self._opened_fd, select.POLLOUT)

    def find_ender(self, curl_error: int) -> EndedBy:
        """Return who ended a failed call."""
        if self.saw_reset:
            # The cause of the first failure is not known. The kernel gives up a silent
            # connection in the same way, but not earlier.
            silent_seconds = time.monotonic() - self._sent_at
            is_early = silent_seconds * _MS_PER_SECOND < UNACKNOWLEDGED_MS
            return EndedBy.SERVER if is_early else EndedBy.KERNEL
        if curl_error in _CLOSED_ERRORS:
            os_errno = self.curl.getinfo(pycurl.OS_ERRNO)
            is_silence = os_errno in _SILENCE_ERRNOS
            return EndedBy.KERNEL if is_silence else EndedBy.SERVER
        if curl_error == pycurl.E_OPERATION_TIMEDOUT:
            return EndedBy.DEADLINE
        return EndedBy.CLIENT

    def has_unacknowledged_bytes(self) -> bool:
        """Tell whether bytes are unacknowledged, and none were since the last call."""
        assert self.call is not None
        left = self._connections.unacknowledged_bytes(self.port)
        acknowledged = int(self.curl.getinfo(pycurl.SIZE_UPLOAD_T)) - left
        has_progress = acknowledged > self.call.acknowledged_bytes >= 0
        self.call.acknowledged_bytes = max(0, acknowledged)
        return left > 0 and not has_progress and not self._waits_here(left)

    def _waits_here(self, left: int) -> bool:
        """Tell whether this machine has sent none of the unacknowledged bytes.

        They say nothing of the link then. A larger body may also wait for a server that
        does not read, or whose acknowledgements are lost.
        """
        assert self.call is not None
        if len(self.call.body or b"") > BUFFERED_BODY_BYTES:
            return False
        unsent = self._connections.unsent_bytes(self.port)
        return unsent is not None and unsent >= left

    def find_send_queue(self) -> SendQueue:
        """Return the bytes of the call that its server has not acknowledged."""
        unacknowledged = self._connections.unacknowledged_bytes(self.port)
        return SendQueue(self._connections.unsent_bytes(self.port), unacknowledged)

    def _may_reuse(self, local_port: int) -> bool:
        # libcurl reuses a recently used connection without checking it. If the server
        # has closed it since, for example by restarting, the call would be lost with
        # its outcome unknown. If an overdue answer is waiting on it, it would be read
        # as the answer to this call. A check before the first byte is sent allows the
        # call to use another connection.
        if not self._connections.is_usable(local_port):
            return False
        # Another handle may have sent it after this call was prepared.
        assert self.call is not None
        if self._sent_ids.contains(self.call.echo):
            return False
        # A server that drops idle connections gives no sign of it: the next call is
        # reset, and the outcome of a call that may not be repeated is unknown.
        self.idle_seconds = self._connections.idle_seconds(local_port)
        max_idle_seconds = self._idle_limit.max_idle_seconds(time.monotonic())
        return self.idle_seconds <= max_idle_seconds

    def _on_header(self, line: bytes) -> int | None:
        call = self.call
        assert call is not None
        call.passed_bytes += len(line)
        if line not in _EMPTY_LINES:
            call.header_lines.append(line)
            return None
        # An empty line without CR makes the head invalid.
        if line != LINE_END:
            call.header_lines.append(line)
        # An answer to another call means that requests and answers on this connection
        # are out of step, and every later answer would reach the wrong caller. After an
        # invalid head, nobody knows where the answer ends. Rejecting the header makes
        # libcurl close the connection before another call is sent on it.
        if not call.receive_head():
            return 0
        assert call.head is not None
        if call.head.is_final:
            self._begin_body(call, call.head)
            self._count_surplus(call)
        return None

    def _count_surplus(self, call: Call) -> None:
        """Count the bytes read that were not passed on, unless the head was copied.

        A folded line is shorter when it is passed on. Where the bytes on the socket
        were missed, only their number shows that.
        """
        if call.is_head_copied or call.read_before is None:
            return
        read = self._connections.read_bytes(self.port)
        if read is not None:
            surplus = read - call.read_before - call.passed_bytes
            call.surplus_bytes = max(0, surplus)

    def _begin_body(self, call: Call, head: AnswerHead) -> None:
        self._forget_raw_head(call)
        if head.is_chunked:
            call.chunks = ChunkedBody(partial(self._answer_memory.add, call))

    def _on_body(self, chunk: bytes) -> int | None:
        call = self.call
        assert call is not None
        call.passed_bytes += len(chunk)
        self._count_surplus(call)
        if call.chunks is None:
            return None if self._answer_memory.add(call, chunk) else 0
        try:
            return None if call.chunks.feed(chunk) else 0
        except InvalidAnswer as exc:
            call.refuse(exc)
            return 0
