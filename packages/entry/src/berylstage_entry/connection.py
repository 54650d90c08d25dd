"""One connection of a caller: its requests as they are read, its answers in order.

The load it answers: callers that send several requests at once on a connection. Read
one after the other, each would wait for all before it, unseen, and come late into the
queue of its target. So requests of safe methods are begun as they are read; an unsafe
one waits for those before it and holds up those behind it. Answers go out in the order
of the requests, as HTTP asks for.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from berylstage_entry.clock import now
from berylstage_entry.errors import BadRequest, Refused
from berylstage_entry.exchange import Exchange
from berylstage_entry.graceful_close import GracefulClose
from berylstage_entry.responses import (
    BAD_REQUEST,
    CONTENT_TOO_LARGE,
    HEADERS_TOO_LARGE,
    encode_response,
)
from berylstage_entry.sockets import Unread, peer_has_closed, send_queue_bytes, unread

if TYPE_CHECKING:
    from berylstage_entry.server import CallerServer
    from berylstage_entry.wire import CallerRequest

# Requests of one connection that are under way or wait for their answers to go out:
# more than a browser sends at once, and few enough that no caller takes a VM for
# itself.
MAX_PIPELINED_REQUESTS = 16
# Bytes that are parsed at a time. What a connection may have no more requests for
# stays unread, to the length of such a chunk.
PARSE_CHUNK_BYTES = 4096
# Bytes that are kept unread before the connection itself is read no further.
MAX_UNPARSED_BYTES = 64 * 1024
# Bytes of a request's head at most; larger ones than the operators allow get their own
# status up to this size.
MAX_HEAD_BYTES = 256 * 1024
# Bytes of a request's body that are read at most, whatever the operators allow.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Seconds after which a caller may come back that was refused for want of memory for
# its body: the time in which a target takes a body of that size in.
BODY_RETRY_AFTER_SECONDS = 0.5

# Seconds in which the rest of a request is on its way, or the first one on a new
# connection: twice the time for which a lost packet is waited for.
IN_TRANSIT_SECONDS = 0.5
# Seconds until a connection is looked at again that has bytes unread.
UNREAD_POLL_SECONDS = 0.02

# Methods of requests that may be begun beside others of their connection.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(asyncio.Protocol):
    """Reads requests of one caller and writes the answers.

    Parameters
    ----------
    server : CallerServer
    """

    def __init__(self, server: CallerServer):
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = HttpRequestParser(self)
        self._unparsed = bytearray()
        # Requests in the order in which they came, the first one to be answered first.
        self._exchanges: deque[Exchange] = deque()
        # What is being read.
        self._request_target = b""
        self._header_fields: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._in_head = True
        # Whether nothing more is to be read, and whether the caller takes no answers.
        self._input_closed = False
        self._write_paused = False
        self._is_reading = True
        # Whether nothing is read behind the requests that have begun to come.
        self._takes_no_new_requests = False
        self._idle_since = now()
        # When bytes came last, and whether a request has been read to its end.
        self._last_data_at = now()
        self._in_request = False
        self._has_received_request = False
        self._last_request_id = ""
        # Set once the last answer is written.
        self._graceful_close: GracefulClose | None = None
        self._timer: asyncio.TimerHandle | None = None

    # Calls of the event loop.

    def connection_made(self, transport) -> None:
        """Begin to wait for a request."""
        self._transport = transport
        self._server.add_connection(self)
        self._check_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all work, since nobody waits for it."""
        self._input_closed = True
        if self._timer is not None:
            self._timer.cancel()
        if self._graceful_close is not None:
            self._graceful_close.cancel()
        self._cancel_exchanges(self._exchanges)
        self._exchanges.clear()
        self._server.remove_connection(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes, and read what may be read of them."""
        if self._input_closed:
            return
        self._last_data_at = now()
        self._unparsed += data
        self._advance()

    def pause_writing(self) -> None:
        """Begin nothing more: the caller does not take its answers."""
        self._write_paused = True

    def resume_writing(self) -> None:
        """Go on, since the caller takes answers again."""
        self._write_paused = False
        self._advance()

    # Calls of the parser.

    def on_message_begin(self) -> None:
        """Begin to read a head."""
        self._request_target = b""
        self._header_fields = []
        self._in_head = True
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        self._request_target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of the head."""
        self._header_fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Read the head."""
        self._in_head = False
        self._head_bytes = 0
        method = self._parser.get_method().decode("ascii")
        keep_alive = self._parser.should_keep_alive()
        exchange = Exchange(method in SAFE_METHODS, keep_alive)
        self._exchanges.append(exchange)
        self._server.count_request()
        try:
            self._server.check_head(self._header_fields)
            target = self._request_target.decode("latin-1")
            exchange.req = self._server.wire.request(
                method, target, self._header_fields
            )
        except BadRequest as exc:
            exchange.refusal = exc
            return
        expects_continue = any(
            name.lower() == "expect" and value.lower() == "100-continue"
            for name, value in self._header_fields
        )
        if (
            expects_continue
            and len(self._exchanges) == 1
            and self._transport is not None
        ):
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, up to the limits."""
        exchange = self._exchanges[-1]
        exchange.body_size += len(body)
        if exchange.refusal is not None:
            return
        if exchange.body_size > self._server.body_limit():
            exchange.refusal = BadRequest(
                CONTENT_TOO_LARGE, "the body is over the limit"
            )
        elif not self._server.reserve_body_memory(len(body)):
            exchange.refusal = Refused("body-memory", BODY_RETRY_AFTER_SECONDS)
        else:
            exchange.reserved_bytes += len(body)
            exchange.body_chunks.append(body)
            return
        exchange.body_chunks.clear()
        self._release_memory(exchange)

    def on_message_complete(self) -> None:
        """Note that a request is whole."""
        exchange = self._exchanges[-1]
        exchange.is_complete = True
        self._in_request = False
        self._has_received_request = True
        self._head_bytes = 0
        self._in_head = True
        if exchange.closes_connection:
            # What follows on this connection is not read, and so never runs.
            self._input_closed = True

    # Calls of the server.

    @property
    def is_serving(self) -> bool:
        """Whether a request is read or served."""
        return bool(self._exchanges) or self._in_request

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes of answers that the other side has not acknowledged."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + send_queue_bytes(
            self._transport
        )

    @property
    def has_pending_work(self) -> bool:
        """Whether anything would be lost if the connection ended now."""
        return (
            self.is_serving
            or self._graceful_close is not None
            or self.unacknowledged_bytes > 0
        )

    def has_unread_bytes(self) -> bool:
        """Tell whether bytes wait in the socket that nobody has read."""
        return self._transport is not None and unread(self._transport) is Unread.BYTES

    @property
    def last_request_id(self) -> str:
        """Id of the request that is answered next, or was answered last.

        Empty while nothing but a part of a head has come.
        """
        for exchange in self._exchanges:
            if exchange.req is not None:
                return exchange.req.request_id
        return "" if self._in_request else self._last_request_id

    def stop_taking_requests(self) -> None:
        """Read nothing behind the requests that have begun to come.

        A caller that always has another one behind would be read until it is cut off.
        What stays unread it may send again elsewhere.
        """
        self._takes_no_new_requests = True
        self._update_reading()

    def close_if_idle(self) -> bool:
        """Close the connection if nothing is under way; tell whether it was closed.

        The rest of a request that has begun, and the first one of a new connection, are
        waited for as long as they may be on their way.
        """
        is_expected = self._in_request or not self._has_received_request
        if is_expected and now() - self._last_data_at <= IN_TRANSIT_SECONDS:
            return False
        if (
            self._exchanges
            or self._graceful_close is not None
            or self.has_unread_bytes()
        ):
            return False
        self._close_idle()
        return True

    def abort_if_peer_closed(self) -> None:
        """End all work if the caller has left, while the connection is not read.

        The event loop notices an end only by reading.
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
        """Close the connection, whatever is under way; nothing more runs."""
        self._input_closed = True
        self._unparsed.clear()
        if self._transport is not None:
            self._transport.close()
        self._server.remove_connection(self)

    def _close_idle(self) -> None:
        """Close once the last answer has arrived, which may be on its way still."""
        if self.unacknowledged_bytes:
            self._close()
        else:
            self.close_now()

    # Reading.

    def _advance(self) -> None:
        """Read, begin and answer what may be, until nothing changes any more."""
        answered = False
        while True:
            self._parse()
            self._start_ready_requests()
            if not self._write_ready_responses():
                break
            answered = True
        if answered and not self._exchanges and not self._input_closed:
            self._idle_since = now()
        self._update_reading()

    def _parse(self) -> None:
        while self._unparsed and not self._input_closed and self._may_parse():
            chunk = bytes(self._unparsed[:PARSE_CHUNK_BYTES])
            del self._unparsed[:PARSE_CHUNK_BYTES]
            if self._in_head:
                self._head_bytes += len(chunk)
            try:
                self._parser.feed_data(chunk)
            except HttpParserUpgrade:
                # It is answered as it is; what follows is in no protocol known here.
                self._close_after_last()
            except HttpParserError as exc:
                self._reject(BadRequest(BAD_REQUEST, f"no request: {exc}"))
            if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
                cause = "the headers are over the limit"
                self._reject(BadRequest(HEADERS_TOO_LARGE, cause))
            if self._exchanges and self._exchanges[-1].body_size > MAX_BODY_BYTES:
                self._close_after_last()

    def _may_parse(self) -> bool:
        if not self._exchanges:
            return True
        is_last_complete = self._exchanges[-1].is_complete
        if len(self._exchanges) == 1 and not is_last_complete:
            # Nothing else would ever end the wait for the rest of its body.
            return True
        if self._write_paused or self._server.is_memory_full():
            return False
        return len(self._exchanges) - (not is_last_complete) < MAX_PIPELINED_REQUESTS

    def _close_after_last(self) -> None:
        """Read nothing more; the last request is the last one that is answered."""
        self._input_closed = True
        if self._exchanges and not self._exchanges[-1].is_complete:
            self._reject(BadRequest(BAD_REQUEST, "the request is cut short"))
        elif self._exchanges:
            self._exchanges[-1].keep_alive = False

    def _reject(self, exc: BadRequest) -> None:
        """Refuse what is being read, and read nothing more."""
        self._input_closed = True
        last = self._exchanges[-1] if self._exchanges else None
        if last is None or last.is_complete:
            last = Exchange(False, False)
            self._exchanges.append(last)
            self._server.count_request()
        self._in_request = False
        last.is_complete = True
        last.refusal = exc
        last.body_chunks.clear()
        self._release_memory(last)

    def _update_reading(self) -> None:
        """Read the connection no further than what is waiting to be parsed."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._graceful_close is not None:
            return
        is_finished = (
            self._takes_no_new_requests and self._exchanges and not self._in_request
        )
        reads = len(self._unparsed) < MAX_UNPARSED_BYTES and not is_finished
        if reads != self._is_reading:
            self._is_reading = reads
            if reads:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()

    # Serving.

    def _start_ready_requests(self) -> None:
        """Begin the requests that need not wait for those before them."""
        is_blocked = self._write_paused or self._server.is_memory_full()
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
            exchange.response = self._server.reject_request(exchange.refusal)
            return
        exchange.req.body = b"".join(exchange.body_chunks)
        exchange.body_chunks.clear()
        # Its caller has waited since it was read.
        exchange.req.waited = now() - exchange.received_at
        exchange.task = asyncio.create_task(self._serve(exchange, exchange.req))

    async def _serve(self, exchange: Exchange, req: CallerRequest) -> None:
        try:
            response = await self._server.handle_request(req)
        finally:
            self._release_memory(exchange)
        exchange.response = response
        # Until it goes out it takes the index of a body.
        exchange.reserved_bytes = self._server.reserve_response_memory(
            len(response.body)
        )
        self._advance()

    def _write_ready_responses(self) -> bool:
        """Write the answers that have none before them; tell whether there were any."""
        answered = False
        while self._exchanges and self._exchanges[0].response is not None:
            exchange = self._exchanges.popleft()
            self._release_memory(exchange)
            if exchange.req is not None:
                self._last_request_id = exchange.req.request_id
            closing = exchange.closes_connection or self._is_last_response()
            if self._transport is not None and not self._transport.is_closing():
                assert exchange.response is not None
                self._transport.write(encode_response(exchange.response, closing))
            if closing:
                self._close()
                return False
            answered = True
        return answered

    def _is_last_response(self) -> bool:
        """Tell whether the program stops and no other request has come.

        A caller takes the word that the connection closes as one that nothing behind
        the answer was taken. What has been read is answered first.
        """
        has_more = self._exchanges or self._unparsed or self._in_request
        return self._server.is_stopping and not has_more

    def _close(self) -> None:
        """Close once all has left; what was begun behind it has no answer."""
        self._input_closed = True
        self._in_request = False
        self._cancel_exchanges(self._exchanges)
        self._exchanges.clear()
        if self._transport is not None and not self._transport.is_closing():
            self._graceful_close = GracefulClose(
                self._transport, lambda: self._server.idle_timeout
            )
            self._graceful_close.begin()

    def _cancel_exchanges(self, exchanges: deque[Exchange]) -> None:
        for exchange in exchanges:
            self._release_memory(exchange)
            if exchange.task is not None:
                exchange.task.cancel()

    def _release_memory(self, exchange: Exchange) -> None:
        """Give back what a body or an answer took."""
        self._server.release_memory(exchange.reserved_bytes)
        exchange.reserved_bytes = 0

    # Idle time.

    def _check_idle(self) -> None:
        """Close the connection if it has been idle for too long, or look again."""
        if self._graceful_close is not None:
            return
        left = self._idle_since + self._server.idle_timeout - now()
        if self._exchanges:
            left = self._server.idle_timeout
        elif left <= 0 and self.has_unread_bytes():
            # The loop was late: a request has come in time.
            left = UNREAD_POLL_SECONDS
        if left <= 0:
            self._close_idle()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left, self._check_idle)
