"""One connection from a caller: reads pipelined requests and responds in order.

Callers may pipeline several requests on a connection. If these were served one after
the other, each would wait for all earlier ones without any queue seeing it, and would
enter its target's queue late. Requests with safe methods therefore start as soon as
they are read. A request with an unsafe method waits for the earlier ones and blocks the
later ones. Responses are written in the order of the requests, as HTTP requires.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from berylstage_entry.clock import now
from berylstage_entry.errors import BadRequest, Refused
from berylstage_entry.exchange import Exchange
from berylstage_entry.graceful_close import GracefulClose
from berylstage_entry.head_timer import UNREAD_POLL_SECONDS, HeadTimer
from berylstage_entry.memory.connection_memory import (
    MAX_UNPARSED_BYTES,
    ConnectionMemory,
)
from berylstage_entry.request_errors import IMMEDIATE_RETRY_SECONDS
from berylstage_entry.request_intake import MAX_PIPELINED_REQUESTS, RequestIntake
from berylstage_entry.responses import (
    encode_response,
)
from berylstage_entry.sockets import (
    ReceiveState,
    count_unacknowledged_bytes,
    peek_transport,
    peer_has_closed,
    send_queue_bytes,
)

if TYPE_CHECKING:
    from socket import socket

    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.server import CallerServer

# Seconds for which the rest of a request, or the first request of a new connection, may
# still be in transit: twice the retransmission timeout of a lost packet.
IN_TRANSIT_SECONDS = 0.5
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(asyncio.Protocol):
    """Reads the requests of one connection and writes the responses.

    Parameters
    ----------
    server : CallerServer
    """

    def __init__(self, server: CallerServer):
        self._server = server
        self.memory = ConnectionMemory(self, server.memory, server.body_limit)
        self._transport: asyncio.Transport | None = None
        # Requests in the order of arrival; their responses are written in this order.
        self._exchanges: deque[Exchange] = deque()
        self.intake = RequestIntake(self, server, self._exchanges)
        # Whether the caller does not read its responses.
        self.is_write_paused = False
        self._is_reading = True
        # Whether only requests that have begun to arrive are still read.
        self._takes_no_new_requests = False
        self._idle_since = now()
        # When bytes arrived last.
        self._last_data_at = now()
        self._last_request_id = ""
        # Whether the connection was idle and is closed in the next turn of the loop.
        self.is_closing_idle = False
        # Set once the last response is written.
        self._graceful_close: GracefulClose | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._head_timer = HeadTimer(self, lambda: server.header_timeout)

    # Callbacks of the event loop.

    def connection_made(self, transport) -> None:
        """Register the connection and start its idle timer."""
        self._transport = self.memory.transport = transport
        self._is_reading = True
        self.is_closing_idle = False
        self._server.add_connection(self)
        self.update_reading()
        self._check_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancel all requests, because the caller can no longer receive responses."""
        if self._timer is not None:
            self._timer.cancel()
        self.intake.cancel()
        self._head_timer.cancel()
        if exc is None and self._may_be_kept and self._server.keep_open(self):
            return
        self.intake.is_closed = True
        if exc is None:
            # The event loop closes the socket right after this call.
            self._server.count_closed_socket(self)
        if self._graceful_close is not None:
            self._graceful_close.cancel()
        self._cancel_exchanges()
        self.intake.unparsed.clear()
        self.memory.count_input(len(self.intake.unparsed))
        self.memory.count_head(0)
        self.memory.release_untaken_answers()
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        """Buffer received bytes and parse as many as the limits allow."""
        self._last_data_at = now()
        if self.is_closing_idle:
            # A caller may send a request again once it sees the close.
            self.intake.is_closed = True
        if self.intake.is_closed:
            self.memory.record_dropped(len(data))
            return
        self.intake.unparsed += data
        if not self.intake.waits_for_turn:
            self.advance()
            return
        self.memory.count_input(len(self.intake.unparsed))
        self.update_reading()

    def pause_writing(self) -> None:
        """Start no more requests while the caller does not read its responses."""
        self.is_write_paused = True

    def resume_writing(self) -> None:
        """Resume once the caller reads its responses again."""
        self.is_write_paused = False
        self.advance()

    # Calls from the server, the memory and the intake.

    def write_continue(self) -> None:
        """Tell the caller to send the body of its request."""
        if self._transport is not None:
            self._transport.write(CONTINUE_RESPONSE)

    def end_unfinished_body(self) -> None:
        """Answer the last request, which is refused before its body is complete."""
        self.intake.end_early()
        self.advance()

    @property
    def is_serving(self) -> bool:
        """Whether a request is being received or served."""
        return (
            bool(self._exchanges or self.intake.unparsed) or self.intake.is_in_request
        )

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes of responses that the peer has not acknowledged."""
        if self._transport is None:
            return 0
        return count_unacknowledged_bytes(self._transport)

    @property
    def has_pending_work(self) -> bool:
        """Whether closing the connection now would lose a request or a response."""
        return (
            self.is_serving
            or self._graceful_close is not None
            or self.unacknowledged_bytes > 0
        )

    @property
    def awaits_acknowledgement(self) -> bool:
        """Whether only the peer's acknowledgement of sent responses is missing."""
        if self.is_serving or self._transport is None:
            return False
        has_buffer = self._transport.get_write_buffer_size() > 0
        return not has_buffer and send_queue_bytes(self._transport) > 0

    def may_lose_answer(self, has_unread_bytes: bool) -> bool:
        """Tell whether closing the connection now may cost its caller an answer.

        Unread bytes do not, if the last response has told that the connection closes.

        Parameters
        ----------
        has_unread_bytes : bool

        Returns
        -------
        bool
        """
        is_unanswered = has_unread_bytes and self._graceful_close is None
        return self.is_serving or self.unacknowledged_bytes > 0 or is_unanswered

    @property
    def _may_be_kept(self) -> bool:
        return self.is_closing_idle and not self.intake.is_closed

    def duplicate_socket(self) -> socket | None:
        """Return a duplicate of the socket, which stays open when the transport closes.

        Returns
        -------
        socket or None
            None if no descriptor is free.
        """
        assert self._transport is not None
        try:
            return self._transport.get_extra_info("socket").dup()
        except OSError:
            return None

    def has_unread_bytes(self) -> bool:
        """Return whether the socket holds bytes that have not been read."""
        return (
            self._transport is not None
            and peek_transport(self._transport) is ReceiveState.BYTES
        )

    @property
    def last_request_id(self) -> str:
        """Id of the next request to be answered, else of the last one answered.

        Empty while only a part of a request head has arrived.
        """
        for exchange in self._exchanges:
            if exchange.req is not None:
                return exchange.req.request_id
        return "" if self.intake.is_in_request else self._last_request_id

    def stop_taking_requests(self) -> None:
        """Read no requests beyond those that have begun to arrive.

        A caller that pipelines without a pause would otherwise be served until the
        connection is cut. It may send the unread requests again to another VM.
        """
        self._takes_no_new_requests = True
        self.update_reading()

    def close_if_idle(self) -> bool:
        """Close the connection if it has no work; return whether it was closed.

        Waits up to `IN_TRANSIT_SECONDS` for the rest of a partly received request and
        for the first request of a new connection. While the last response is not
        acknowledged, its caller has not seen it and may send a request behind it.
        """
        if self.is_closing_idle:
            return False
        is_expected = self.intake.is_in_request or not self.intake.has_received_request
        if is_expected and now() - self._last_data_at <= IN_TRANSIT_SECONDS:
            return False
        if (
            self._exchanges
            or self.intake.unparsed
            or self._graceful_close is not None
            or self.unacknowledged_bytes
            or self.has_unread_bytes()
        ):
            return False
        self._close_idle()
        return True

    @property
    def waiting_since(self) -> float | None:
        """Monotonic seconds since when it waits for its caller; None if it does not.

        It waits for the first byte of a request, or for the rest of one that is the
        only one of the connection.
        """
        if (
            self.is_closing_idle
            or self._graceful_close is not None
            or self.intake.unparsed
        ):
            return None
        if not self._exchanges:
            return (
                self.intake.begun_at if self.intake.is_in_request else self._idle_since
            )
        first = self._exchanges[0]
        return first.received_at if not first.is_complete else None

    def end_waiting(self) -> bool:
        """End the connection, which waits, to make room; return whether it ends."""
        refusal = Refused("connections", IMMEDIATE_RETRY_SECONDS)
        if self._exchanges:
            self.memory.refuse_unfinished(self._exchanges[0], refusal)
        elif self.intake.is_in_request:
            self.refuse_unfinished_head(refusal)
        else:
            return self.close_if_idle()
        return True

    def refuse_unfinished_head(self, exc: BadRequest | Refused) -> None:
        """Refuse the request whose head is being received."""
        self.intake.reject(exc)
        self.advance()

    def abort_if_peer_closed(self) -> None:
        """Abort if the caller has closed the connection while reading is paused.

        The event loop detects a closed connection only by reading.
        """
        if (
            self._is_reading
            or self._graceful_close is not None
            or self._transport is None
        ):
            return
        if peer_has_closed(self._transport):
            self._transport.abort()

    def close_now(self) -> None:
        """Close the connection regardless of pending work; start nothing more."""
        self.intake.is_closed = True
        self.intake.unparsed.clear()
        self.memory.count_input(len(self.intake.unparsed))
        self.memory.count_head(0)
        if self._transport is not None:
            self._transport.close()
        self._server.remove_connection(self)

    def _close_idle(self) -> None:
        """Close once the last response, which may be in transit, is acknowledged.

        The event loop closes the socket in its next turn. If bytes have arrived then,
        the connection is kept, because the close would reset a whole request.
        """
        if self.unacknowledged_bytes:
            self._close()
        elif self._transport is not None:
            self.is_closing_idle = True
            self._transport.close()

    # Reading.

    def advance(self) -> None:
        """Parse, start and answer requests until no more progress is possible."""
        answered = False
        while True:
            self.intake.parse()
            self._start_ready_requests()
            if not self._write_ready_responses():
                break
            answered = True
        if answered and not self._exchanges and not self.intake.is_closed:
            self._idle_since = now()
        self._head_timer.watch()
        self.intake.watch_body()
        self.memory.count_input(len(self.intake.unparsed))
        self.memory.count_head(self.intake.unfinished_head_bytes)
        self.update_reading()

    def update_reading(self) -> None:
        """Pause or resume reading, depending on the bytes and memory in use."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._graceful_close is not None:
            return
        is_finished = (
            self._takes_no_new_requests
            and self._exchanges
            and not self.intake.is_in_request
        )
        reads = len(self.intake.unparsed) < MAX_UNPARSED_BYTES and not is_finished
        is_idle = not self._exchanges and not self.intake.is_in_request
        if is_idle and self._server.memory.pauses_reading:
            reads = False
        if reads != self._is_reading:
            self._is_reading = reads
            if reads:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()

    # Serving.

    def _start_ready_requests(self) -> None:
        """Start the requests that need not wait for earlier ones."""
        is_blocked = self.is_write_paused or not self._server.memory.allows_pipelining
        for index, exchange in enumerate(self._exchanges):
            if not exchange.is_complete or index == MAX_PIPELINED_REQUESTS:
                return
            if index and (is_blocked or not exchange.is_safe):
                return
            if exchange.task is None and exchange.response is None:
                self._start(exchange)
            if not exchange.is_safe or exchange.closes_connection:
                return

    def _start(self, exchange: Exchange) -> None:
        if exchange.refusal is not None or exchange.req is None:
            exchange.response = self._server.reject_request(
                exchange.refusal, exchange.req, now() - exchange.received_at
            )
            return
        expected_bytes = self._server.expected_answer_bytes(exchange.req)
        self.memory.reserve_expected_answer(exchange, expected_bytes)
        exchange.req.body = bytes(exchange.body)
        exchange.body = bytearray()
        # The caller has been waiting since the request head was read.
        exchange.req.waited = now() - exchange.received_at
        exchange.task = asyncio.create_task(self._serve(exchange, exchange.req))

    async def _serve(self, exchange: Exchange, req: CallerRequest) -> None:
        try:
            response = await self._server.handle_request(req)
        finally:
            # The task and its request may outlive the reserved memory.
            req.body = b""
            self.memory.release(exchange)
        exchange.response = response
        self.memory.reserve_response(exchange, len(response.body))
        self.advance()

    def _write_ready_responses(self) -> bool:
        """Write all responses that are next in order; return whether there were any."""
        answered = False
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            self.memory.count_requests(len(self._exchanges))
            self.memory.release(exchange)
            if exchange.req is not None:
                self._last_request_id = exchange.req.request_id
            closing = exchange.closes_connection or self._is_last_response()
            if self._transport is not None and not self._transport.is_closing():
                assert exchange.response is not None
                self._transport.write(
                    encode_response(exchange.response, closing, exchange.is_head)
                )
                self.memory.watch_untaken_answers(exchange)
            if closing:
                self._close()
                return False
            answered = True
        return answered

    def _is_last_response(self) -> bool:
        """Return whether the process is stopping and no other request has arrived.

        Callers take ``Connection: close`` to mean that no request after this response
        was accepted. Requests that have been read are therefore answered first.
        """
        has_more = self._exchanges or self.intake.unparsed or self.intake.is_in_request
        return self._server.is_stopping and not has_more

    def _close(self) -> None:
        """Close once all output is acknowledged; later requests get no response."""
        self.intake.is_closed = True
        self.intake.is_in_request = False
        self._cancel_exchanges()
        if self._transport is not None and not self._transport.is_closing():
            self._graceful_close = GracefulClose(
                self._transport,
                lambda: self._server.idle_timeout,
                lambda: self.memory.is_dropping_input(self._last_data_at),
            )
            self._graceful_close.begin()

    def _cancel_exchanges(self) -> None:
        for exchange in self._exchanges:
            self.memory.release(exchange)
            if exchange.task is not None:
                exchange.task.cancel()
        self._exchanges.clear()
        self.memory.count_requests(len(self._exchanges))

    # Idle time.

    def _check_idle(self) -> None:
        """Close the connection after its idle timeout, or schedule the next check."""
        if self._graceful_close is not None:
            return
        left = self._idle_since + self._server.idle_timeout - now()
        if self._exchanges:
            left = self._server.idle_timeout
        elif left <= 0 and (self.intake.unparsed or self.has_unread_bytes()):
            # A request arrived before the timeout. Either the event loop was late, or
            # reading is paused until memory is free.
            left = UNREAD_POLL_SECONDS
        if left <= 0:
            self._close_idle()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left, self._check_idle)
