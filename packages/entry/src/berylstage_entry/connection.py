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
from berylstage_entry.ending import Ending
from berylstage_entry.errors import BadRequest, Refused
from berylstage_entry.exchange import Exchange
from berylstage_entry.replies import (
    BAD_REQUEST,
    HEAD_TOO_LARGE,
    TOO_LARGE,
    reply_bytes,
)
from berylstage_entry.sockets import ReceiveState, has_ended, unread, unsent

if TYPE_CHECKING:
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.server import CallerServer

# Requests of one connection that are under way or wait for their answers to go out:
# more than a browser sends at once, and few enough that no caller takes a VM for
# itself.
MOST_AT_ONCE = 16
# Bytes that are parsed at a time. What a connection may have no more requests for
# stays unread, to the length of such a piece.
PIECE = 4096
# Bytes that are kept unread before the connection itself is read no further.
UNREAD = 64 * 1024
# Bytes of a request's head at most; larger ones than the operators allow get their own
# status up to this size.
READ_HEAD = 256 * 1024
# Bytes of a request's body that are read at most, whatever the operators allow.
READ_BODY = 64 * 1024 * 1024
# Seconds after which a caller may come back that was refused for want of memory for
# its body: the time in which a target takes a body of that size in.
BODY_RETURN = 0.5

# Seconds in which the rest of a request is on its way, or the first one on a new
# connection: twice the time for which a lost packet is waited for.
ON_ITS_WAY = 0.5
# Seconds until a connection is looked at again that has bytes unread.
UNREAD_LOOK = 0.02

# Methods of requests that may be begun beside others of their connection.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


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
        self._unread = bytearray()
        # Requests in the order in which they came, the first one to be answered first.
        self._exchanges: deque[Exchange] = deque()
        # What is being read.
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        self._head_bytes = 0
        self._in_head = True
        # Whether nothing more is to be read, and whether the caller takes no answers.
        self._ended = False
        self._choked = False
        self._is_reading = True
        # Whether nothing is read behind the requests that have begun to come.
        self._reads_no_more = False
        self._idle_since = now()
        # When bytes came last, and whether a request has been read to its end.
        self._heard_at = now()
        self._in_request = False
        self._has_served = False
        self._last_id = ""
        # Set once the last answer is written.
        self._ending: Ending | None = None
        self._timer: asyncio.TimerHandle | None = None

    # Calls of the event loop.

    def connection_made(self, transport) -> None:
        """Begin to wait for a request."""
        self._transport = transport
        self._server.opened(self)
        self._watch_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """End all work, since nobody waits for it."""
        self._ended = True
        if self._timer is not None:
            self._timer.cancel()
        if self._ending is not None:
            self._ending.cancel()
        self._drop(self._exchanges)
        self._exchanges.clear()
        self._server.gone(self)

    def data_received(self, data: bytes) -> None:
        """Take in bytes, and read what may be read of them."""
        if self._ended:
            return
        self._heard_at = now()
        self._unread += data
        self._go_on()

    def pause_writing(self) -> None:
        """Begin nothing more: the caller does not take its answers."""
        self._choked = True

    def resume_writing(self) -> None:
        """Go on, since the caller takes answers again."""
        self._choked = False
        self._go_on()

    # Calls of the parser.

    def on_message_begin(self) -> None:
        """Begin to read a head."""
        self._target = b""
        self._fields = []
        self._in_head = True
        self._in_request = True

    def on_url(self, url: bytes) -> None:
        """Keep a part of the request's target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep a field of the head."""
        self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Read the head."""
        self._in_head = False
        self._head_bytes = 0
        method = self._parser.get_method().decode("ascii")
        keeps_alive = self._parser.should_keep_alive()
        exchange = Exchange(method in SAFE_METHODS, keeps_alive)
        self._exchanges.append(exchange)
        self._server.begun()
        try:
            self._server.check_head(self._fields)
            target = self._target.decode("latin-1")
            exchange.req = self._server.wire.request(method, target, self._fields)
        except BadRequest as exc:
            exchange.refusal = exc
            return
        waits = any(
            name.lower() == "expect" and value.lower() == "100-continue"
            for name, value in self._fields
        )
        if waits and len(self._exchanges) == 1 and self._transport is not None:
            self._transport.write(CONTINUE)

    def on_body(self, body: bytes) -> None:
        """Keep a part of the body, up to the limits."""
        exchange = self._exchanges[-1]
        exchange.size += len(body)
        if exchange.refusal is not None:
            return
        if exchange.size > self._server.body_limit():
            exchange.refusal = BadRequest(TOO_LARGE, "the body is over the limit")
        elif not self._server.hold(len(body)):
            exchange.refusal = Refused("body-memory", BODY_RETURN)
        else:
            exchange.held += len(body)
            exchange.chunks.append(body)
            return
        exchange.chunks.clear()
        self._release(exchange)

    def on_message_complete(self) -> None:
        """Note that a request is whole."""
        exchange = self._exchanges[-1]
        exchange.whole = True
        self._in_request = False
        self._has_served = True
        self._head_bytes = 0
        self._in_head = True
        if exchange.closes:
            # What follows on this connection is not read, and so never runs.
            self._ended = True

    # Calls of the server.

    @property
    def is_serving(self) -> bool:
        """Whether a request is read or served."""
        return bool(self._exchanges) or self._in_request

    @property
    def bytes_left(self) -> int:
        """Bytes of answers that the other side has not acknowledged."""
        if self._transport is None:
            return 0
        return self._transport.get_write_buffer_size() + unsent(self._transport)

    @property
    def under_way(self) -> bool:
        """Whether anything would be lost if the connection ended now."""
        return self.is_serving or self._ending is not None or self.bytes_left > 0

    def has_unread(self) -> bool:
        """Tell whether bytes wait in the socket that nobody has read."""
        return (
            self._transport is not None
            and unread(self._transport) is ReceiveState.BYTES
        )

    @property
    def last_id(self) -> str:
        """Id of the request that is answered next, or was answered last.

        Empty while nothing but a part of a head has come.
        """
        for exchange in self._exchanges:
            if exchange.req is not None:
                return exchange.req.request_id
        return "" if self._in_request else self._last_id

    def read_no_more(self) -> None:
        """Read nothing behind the requests that have begun to come.

        A caller that always has another one behind would be read until it is cut off.
        What stays unread it may send again elsewhere.
        """
        self._reads_no_more = True
        self._pace()

    def close_idle(self) -> bool:
        """Close the connection if nothing is under way; tell whether it was closed.

        The rest of a request that has begun, and the first one of a new connection, are
        waited for as long as they may be on their way.
        """
        is_expected = self._in_request or not self._has_served
        if is_expected and now() - self._heard_at <= ON_ITS_WAY:
            return False
        if self._exchanges or self._ending is not None or self.has_unread():
            return False
        self._end_idle()
        return True

    def drop_if_left(self) -> None:
        """End all work if the caller has left, while the connection is not read.

        The event loop notices an end only by reading.
        """
        if self._is_reading or self._ending is not None or self._transport is None:
            return
        if has_ended(self._transport):
            self._transport.abort()

    def cut(self) -> None:
        """Close the connection, whatever is under way; nothing more runs."""
        self._ended = True
        self._unread.clear()
        if self._transport is not None:
            self._transport.close()
        self._server.gone(self)

    def _end_idle(self) -> None:
        """Close once the last answer has arrived, which may be on its way still."""
        if self.bytes_left:
            self._close()
        else:
            self.cut()

    # Reading.

    def _go_on(self) -> None:
        """Read, begin and answer what may be, until nothing changes any more."""
        answered = False
        while True:
            self._parse()
            self._begin_due()
            if not self._answer_due():
                break
            answered = True
        if answered and not self._exchanges and not self._ended:
            self._idle_since = now()
        self._pace()

    def _parse(self) -> None:
        while self._unread and not self._ended and self._may_read():
            piece = bytes(self._unread[:PIECE])
            del self._unread[:PIECE]
            if self._in_head:
                self._head_bytes += len(piece)
            try:
                self._parser.feed_data(piece)
            except HttpParserUpgrade:
                # It is answered as it is; what follows is in no protocol known here.
                self._end_with_last()
            except HttpParserError as exc:
                self._refuse(BadRequest(BAD_REQUEST, f"no request: {exc}"))
            if self._in_head and self._head_bytes > READ_HEAD:
                cause = "the headers are over the limit"
                self._refuse(BadRequest(HEAD_TOO_LARGE, cause))
            if self._exchanges and self._exchanges[-1].size > READ_BODY:
                self._end_with_last()

    def _may_read(self) -> bool:
        if not self._exchanges:
            return True
        is_whole = self._exchanges[-1].whole
        if len(self._exchanges) == 1 and not is_whole:
            # Nothing else would ever end the wait for the rest of its body.
            return True
        if self._choked or self._server.memory_is_short():
            return False
        return len(self._exchanges) - (not is_whole) < MOST_AT_ONCE

    def _end_with_last(self) -> None:
        """Read nothing more; the last request is the last one that is answered."""
        self._ended = True
        if self._exchanges and not self._exchanges[-1].whole:
            self._refuse(BadRequest(BAD_REQUEST, "the request is cut short"))
        elif self._exchanges:
            self._exchanges[-1].keeps_alive = False

    def _refuse(self, exc: BadRequest) -> None:
        """Refuse what is being read, and read nothing more."""
        self._ended = True
        last = self._exchanges[-1] if self._exchanges else None
        if last is None or last.whole:
            last = Exchange(False, False)
            self._exchanges.append(last)
            self._server.begun()
        self._in_request = False
        last.whole = True
        last.refusal = exc
        last.chunks.clear()
        self._release(last)

    def _pace(self) -> None:
        """Read the connection no further than what is waiting to be parsed."""
        if self._transport is None or self._transport.is_closing():
            return
        if self._ending is not None:
            return
        is_over = self._reads_no_more and self._exchanges and not self._in_request
        reads = len(self._unread) < UNREAD and not is_over
        if reads != self._is_reading:
            self._is_reading = reads
            if reads:
                self._transport.resume_reading()
            else:
                self._transport.pause_reading()

    # Serving.

    def _begin_due(self) -> None:
        """Begin the requests that need not wait for those before them."""
        held_up = self._choked or self._server.memory_is_short()
        for place, exchange in enumerate(self._exchanges):
            if not exchange.whole or place == MOST_AT_ONCE:
                return
            if place and (held_up or not exchange.safe):
                return
            if exchange.task is None and exchange.reply is None:
                self._begin(exchange)
            if not exchange.safe or exchange.closes:
                return

    def _begin(self, exchange: Exchange) -> None:
        if exchange.refusal is not None or exchange.req is None:
            exchange.reply = self._server.refused_unserved(exchange.refusal)
            return
        exchange.req.body = b"".join(exchange.chunks)
        exchange.chunks.clear()
        # Its caller has waited since it was read.
        exchange.req.waited = now() - exchange.arrived
        exchange.task = asyncio.create_task(self._serve(exchange, exchange.req))

    async def _serve(self, exchange: Exchange, req: CallerRequest) -> None:
        try:
            reply = await self._server.reply(req)
        finally:
            self._release(exchange)
        exchange.reply = reply
        # Until it goes out it takes the place of a body.
        exchange.held = self._server.hold_reply(len(reply.body))
        self._go_on()

    def _answer_due(self) -> bool:
        """Write the answers that have none before them; tell whether there were any."""
        answered = False
        while self._exchanges and self._exchanges[0].reply is not None:
            exchange = self._exchanges.popleft()
            self._release(exchange)
            if exchange.req is not None:
                self._last_id = exchange.req.request_id
            closing = exchange.closes or self._is_last()
            if self._transport is not None and not self._transport.is_closing():
                assert exchange.reply is not None
                self._transport.write(reply_bytes(exchange.reply, closing))
            if closing:
                self._close()
                return False
            answered = True
        return answered

    def _is_last(self) -> bool:
        """Tell whether the program stops and no other request has come.

        A caller takes the word that the connection closes as one that nothing behind
        the answer was taken. What has been read is answered first.
        """
        comes_more = self._exchanges or self._unread or self._in_request
        return self._server.closing and not comes_more

    def _close(self) -> None:
        """Close once all has left; what was begun behind it has no answer."""
        self._ended = True
        self._in_request = False
        self._drop(self._exchanges)
        self._exchanges.clear()
        if self._transport is not None and not self._transport.is_closing():
            self._ending = Ending(self._transport, lambda: self._server.idle_time)
            self._ending.begin()

    def _drop(self, exchanges: deque[Exchange]) -> None:
        for exchange in exchanges:
            self._release(exchange)
            if exchange.task is not None:
                exchange.task.cancel()

    def _release(self, exchange: Exchange) -> None:
        """Give back what a body or an answer took."""
        self._server.release(exchange.held)
        exchange.held = 0

    # Idle time.

    def _watch_idle(self) -> None:
        """Close the connection if it has been idle for too long, or look again."""
        if self._ending is not None:
            return
        left = self._idle_since + self._server.idle_time - now()
        if self._exchanges:
            left = self._server.idle_time
        elif left <= 0 and self.has_unread():
            # The loop was late: a request has come in time.
            left = UNREAD_LOOK
        if left <= 0:
            self._end_idle()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(left, self._watch_idle)
