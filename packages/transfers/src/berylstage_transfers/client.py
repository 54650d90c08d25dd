"""Tornado's curl client with calls sent at most once and cancelled immediately."""

from __future__ import annotations

import asyncio
import errno
import time
from typing import TYPE_CHECKING

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.ioloop import IOLoop

from berylstage_transfers.answer_head import InvalidAnswer
from berylstage_transfers.answer_memory import AnswerMemory
from berylstage_transfers.call import Answer, Call
from berylstage_transfers.call_failure import describe_timeout, fail_call
from berylstage_transfers.connection_age import ConnectionAgeLimit
from berylstage_transfers.connections import Connections
from berylstage_transfers.curl_handle import RESET_ERRORS, CurlHandle
from berylstage_transfers.errors import NeverSent
from berylstage_transfers.idle_limit import IdleLimit
from berylstage_transfers.raw_heads import RawHeads
from berylstage_transfers.sent_ids import SentIds

if TYPE_CHECKING:
    from typing import Any

    from berylstage_transfers.send_queue import SendQueue

# A connection takes about 1 ms. Linux retransmits a lost SYN only after 1 s, so a
# longer timeout helps less than another attempt.
CONNECT_TIMEOUT_SECONDS = 0.25
# Time after a call's deadline during which an answer already received is still read,
# piece by piece.
READ_GRACE_SECONDS = 0.1
# An idle connection is not reused after this time, because a middlebox may have lost
# its state and a call on it would be lost. Middleboxes forget idle flows after 30 s or
# more.
MAX_IDLE_SECONDS = 10
_MS_PER_SECOND = 1000
# Errors of a call whose body the server does not take. An answer that has arrived whole
# before is the answer nevertheless.
_SENDING_ERRORS = (pycurl.E_SEND_ERROR, pycurl.E_OPERATION_TIMEDOUT)


class CallClient(CurlAsyncHTTPClient):
    """HTTP client for one server with a bounded number of connections.

    It uses tornado's integration of libcurl with the event loop and replaces the
    handling of transfers: handles keep their settings between calls, only the needed
    headers are parsed, a call is sent at most once, an id goes only once over a
    connection, and cancelling a call aborts its transfer immediately.

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
    answer_memory : AnswerMemory, optional
        Shared by clients whose answers together must fit in memory.
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
        answer_memory: AnswerMemory | None = None,
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
            answer_memory=answer_memory,
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
        answer_memory: AnswerMemory | None = None,
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
        answer_memory: AnswerMemory | None = None,
    ) -> None:
        """Initialize without curl handles, which are created on demand."""
        self._timer_due = 0.0
        super().initialize(max_clients=0)
        self._max_clients = max_clients
        self._max_idle = max_idle
        self._reset_on_close = reset_on_close
        self._connect_timeout = connect_timeout
        self._age_limit = age_limit or ConnectionAgeLimit()
        self._handles: dict[pycurl.Curl, CurlHandle] = {}
        self._connections = Connections()
        self._idle_limit = idle_limit or IdleLimit()
        self._sent_ids = SentIds()
        self._answer_memory = answer_memory or AnswerMemory()
        self._raw_heads = RawHeads()
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
        expiry = None
        if not call.started:
            expiry = asyncio.get_running_loop().call_later(
                call.timeout, self._expire_queued, call
            )
        try:
            return await fut
        except asyncio.CancelledError:
            self._end_transfer(call, "cancelled")
            raise
        finally:
            # The timer would hold the call's body until the call's deadline.
            if expiry is not None:
                expiry.cancel()
            # The traceback of an error refers to the call until the garbage collector
            # runs.
            call.body = None

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
            fail_call(call, cause)

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
        if not self._end_transfer(call, cause):
            fail_call(call, cause)

    def has_unacknowledged_bytes(self, call: Call) -> bool:
        """Tell whether the server's machine has not acknowledged all bytes of a call.

        The machine of a server that is slow or suspended acknowledges them. While more
        and more bytes of a large body are acknowledged, the link works: 360 kB are
        under way for 0.29 s on a link of 10 Mbit/s.
        """
        if not call.sent or call.status:
            return False
        handle = self._find_handle(call)
        return handle is not None and handle.has_unacknowledged_bytes()

    def find_send_queue(self, call: Call) -> SendQueue | None:
        """Return the send queue of a call's connection; None if it has none."""
        handle = self._find_handle(call) if call.sent else None
        return None if handle is None else handle.find_send_queue()

    def _expire_queued(self, call: Call) -> None:
        if not call.started:
            fail_call(call, "no connection became available in time")

    def _find_handle(self, call: Call) -> CurlHandle | None:
        """Return the handle that makes a call; None if it is queued or has ended."""
        handles = self._handles.values()
        return next((handle for handle in handles if handle.call is call), None)

    def _end_transfer(self, call: Call, cause: str) -> bool:
        """End a call that is being made; return whether it was."""
        handle = self._find_handle(call)
        if handle is None:
            return False
        self._finish(handle.curl, pycurl.E_ABORTED_BY_CALLBACK, cause)
        self._process_queue()
        return True

    def _handle_events(self, fd: int, events: int) -> None:
        if events & IOLoop.READ:
            self._raw_heads.copy(fd)
        super()._handle_events(fd, events)

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
        self._finish(curl, pycurl.E_OPERATION_TIMEDOUT, describe_timeout(call, now))
        self._process_queue()

    def _new_curl(self) -> pycurl.Curl:
        handle = CurlHandle(
            self._connections,
            self._idle_limit,
            self._sent_ids,
            self._answer_memory,
            self._raw_heads,
            self._max_idle,
            self._reset_on_close,
        )
        self._curls.append(handle.curl)
        self._handles[handle.curl] = handle
        return handle.curl

    def _max_age_seconds(self, call: Call) -> int:
        """Return the maximum age of a reused connection; 0 for a new connection."""
        if call.fresh or self._sent_ids.contains(call.echo):
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
        if call.timer is not None:
            call.timer.cancel()
        self._record_idle_outcome(handle, call, curl_error)
        self._multi.remove_handle(curl)
        handle.release_call()
        self._free_list.append(curl)
        if call.stale:
            self._requeue_on_new_connection(call)
        elif curl_error is not None and not (
            curl_error in _SENDING_ERRORS and call.has_whole_answer()
        ):
            self._record_lost_answer(call)
            fail_call(
                call,
                curl_message or f"curl error {curl_error}",
                curl.getinfo(pycurl.OS_ERRNO) == errno.ECONNREFUSED,
                handle.find_ender(curl_error),
            )
        elif call.surplus_bytes:
            call.refuse(InvalidAnswer("the answer's head may have a folded line"))
            fail_call(call, call.rejection)
        elif call.rejection:
            # Its body was dropped, and nothing more of it arrived.
            fail_call(call, call.rejection)
        elif call.head is None or not call.may_end_here():
            fail_call(call, "the answer is incomplete or tells no end")
        elif call.fut is not None and not call.fut.done():
            call.fut.set_result(Answer(call.head, bytes(call.answer_body)))

    def _record_idle_outcome(
        self, handle: CurlHandle, call: Call, curl_error: int | None
    ) -> None:
        now = time.monotonic()
        if call.sent and not call.opened_connection:
            if curl_error is None:
                self._idle_limit.record_answer(handle.idle_seconds, now)
            elif (handle.saw_reset or curl_error in RESET_ERRORS) and not call.status:
                self._idle_limit.record_reset(handle.idle_seconds, now)
        self._connections.record_use(handle.port)

    def _requeue_on_new_connection(self, call: Call) -> None:
        call.stale = False
        call.fresh = True
        self._requests.appendleft(call)  # type: ignore[arg-type]

    def _record_lost_answer(self, call: Call) -> None:
        # A call on a reused connection without a byte of an answer may mean that the
        # connection no longer works. A cancelled call is no evidence of this.
        assert call.fut is not None
        unanswered = not call.status and not call.rejection and not call.fut.cancelled()
        if call.sent and not call.opened_connection and unanswered:
            self._age_limit.retire_open_connections(time.monotonic())
