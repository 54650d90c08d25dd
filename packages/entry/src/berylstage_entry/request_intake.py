"""Reads the requests of one connection, within the limits on what callers send."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpParserUpgrade

from berylstage_entry.clock import now
from berylstage_entry.errors import BadRequest
from berylstage_entry.exchange import Exchange
from berylstage_entry.memory.connection_memory import compute_parse_bytes
from berylstage_entry.request_parser import RequestParser, RequestReceiver
from berylstage_entry.responses import BAD_REQUEST

if TYPE_CHECKING:
    from collections import deque

    from berylstage_entry.connection import CallerConnection
    from berylstage_entry.errors import Refused
    from berylstage_entry.request_head import RequestHead
    from berylstage_entry.server import CallerServer

# Requests of one connection that are in progress or wait for their response to be
# written. The limit exceeds what a browser sends at once and keeps a single caller from
# using up the VM.
MAX_PIPELINED_REQUESTS = 16
# Maximum bytes of a request body that are read, whatever limit is configured.
MAX_BODY_BYTES = 64 * 1024 * 1024
# Seconds for which one connection is parsed in a turn of the event loop.
PARSE_TURN_SECONDS = 0.002

# Methods whose requests may run concurrently with others of the same connection.
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class RequestIntake(RequestReceiver):
    """Reads the requests of one connection and decides which of them are refused.

    Parameters
    ----------
    conn : CallerConnection
    server : CallerServer
    exchanges : deque of Exchange
        Requests in the order of arrival, which the connection answers.

    Attributes
    ----------
    unparsed : bytearray
        Bytes that have been read and not parsed.
    is_closed : bool
        Whether no more input is parsed.
    is_in_request : bool
        Whether a request has begun to arrive and is not complete.
    begun_at : float
        Monotonic seconds at which that request has begun.
    has_received_request : bool
        Whether a complete request has been received.
    """

    def __init__(
        self, conn: CallerConnection, server: CallerServer, exchanges: deque[Exchange]
    ):
        self._conn = conn
        self._server = server
        self._memory = conn.memory
        self._exchanges = exchanges
        self._parser = RequestParser(self, server.header_limit)
        self.unparsed = bytearray()
        self.is_closed = False
        self.is_in_request = False
        self.begun_at = now()
        self.has_received_request = False
        # Set while the rest of what was read waits for the next turn of the loop.
        self._parse_handle: asyncio.Handle | None = None

    @property
    def waits_for_turn(self) -> bool:
        """Whether the rest of what was read is parsed in the next turn of the loop."""
        return self._parse_handle is not None

    @property
    def unfinished_head_bytes(self) -> int:
        """Bytes of the head that is being received."""
        return self._parser.unfinished_head_bytes if self.is_receiving_head else 0

    def cancel(self) -> None:
        """Parse nothing in the next turn, because the connection is lost."""
        if self._parse_handle is not None:
            self._parse_handle.cancel()
            self._parse_handle = None

    # Callbacks of the parser.

    def begin_request(self) -> None:
        """Take note that a request has begun to arrive."""
        self.is_in_request = True
        self.begun_at = now()

    def receive_head(self, head: RequestHead) -> None:
        """Create the exchange and interpret the request head."""
        exchange = Exchange(
            head.method in SAFE_METHODS, head.keep_alive, head.method == "HEAD"
        )
        self._exchanges.append(exchange)
        self._memory.count_requests(len(self._exchanges))
        self._server.count_request()
        try:
            exchange.req = self._server.protocol.parse_request(
                head.method, head.target, head.fields
            )
        except BadRequest as exc:
            exchange.refusal = exc
            exchange.declared_bytes = head.declared_bytes
            exchange.ends_early = True
            return
        exchange.deadline = exchange.received_at + exchange.req.time_left
        exchange.declared_bytes = head.declared_bytes
        if not self._memory.admit_head(exchange, head.fields):
            return
        is_upload = self._server.is_upload(exchange.req)
        if not self._memory.admit_body(exchange, head.declared_bytes, is_upload):
            return
        expects_continue = any(
            name.lower() == "expect" and value.lower() == "100-continue"
            for name, value in head.fields
        )
        is_first = len(self._exchanges) == 1
        if expects_continue and is_first:
            self._conn.write_continue()

    def receive_body(self, body: bytes) -> None:
        """Buffer a part of the body, within the size and memory limits."""
        self._memory.receive_body(self._exchanges[-1], body)

    def complete_request(self) -> None:
        """Mark the request as completely received."""
        exchange = self._exchanges[-1]
        exchange.is_complete = True
        if exchange.body_timer is not None:
            exchange.body_timer.cancel()
        self.is_in_request = False
        self.has_received_request = True
        if exchange.closes_connection:
            # Anything after this request is not parsed, so it is never executed.
            self.is_closed = True

    # Calls from the connection.

    @property
    def is_receiving_head(self) -> bool:
        """Whether a request head has begun to arrive and is not complete."""
        is_in_body = bool(self._exchanges) and not self._exchanges[-1].is_complete
        return self.is_in_request and not is_in_body and not self.is_closed

    def watch_body(self) -> None:
        """Bound the time in which the rest of the last request's body may arrive."""
        last = self._exchanges[-1] if self._exchanges else None
        if last is None or last.is_complete or last.body_timer is not None:
            return
        if last.req is not None:
            left = last.deadline - now()
            limit = self._server.body_timeout(last.req)
            self._memory.start_body_timer(last, min(left, limit))

    def parse(self) -> None:
        """Parse what may be parsed, for one turn's share of the event loop."""
        end = now() + PARSE_TURN_SECONDS
        while self.unparsed and not self.is_closed and self._may_parse():
            last = self._exchanges[-1] if self._exchanges else None
            size = compute_parse_bytes(last)
            chunk = bytes(self.unparsed[:size])
            del self.unparsed[:size]
            try:
                self._parser.feed(chunk)
            except BadRequest as exc:
                self.reject(exc)
            except HttpParserUpgrade:
                self._close_after_last()
            except HttpParserError as exc:
                self.reject(BadRequest(BAD_REQUEST, f"invalid HTTP request: {exc}"))
            if self._exchanges and self._exchanges[-1].body_size > MAX_BODY_BYTES:
                self._close_after_last()
            last = self._exchanges[-1] if self._exchanges else None
            if last is not None and last.ends_early and not last.is_complete:
                self.end_early()
            if self.unparsed and now() >= end:
                self._schedule_parse()
                break
        if self.is_closed:
            self.unparsed.clear()

    def _schedule_parse(self) -> None:
        """Go on parsing in the next turn of the event loop.

        Callers that send many short chunks would otherwise hold up all others.
        """
        if self._parse_handle is None:
            loop = asyncio.get_running_loop()
            self._parse_handle = loop.call_soon(self._resume_parsing)

    def _resume_parsing(self) -> None:
        self._parse_handle = None
        self._conn.advance()

    def _may_parse(self) -> bool:
        if not self._exchanges:
            return True
        is_last_complete = self._exchanges[-1].is_complete
        if len(self._exchanges) == 1 and not is_last_complete:
            # Reading must go on, because no other event would complete its body.
            return True
        if self._conn.is_write_paused or not self._server.memory.allows_pipelining:
            return False
        return len(self._exchanges) - (not is_last_complete) < MAX_PIPELINED_REQUESTS

    def end_early(self) -> None:
        """Answer the last request before its body is complete; read no more requests.

        The rest of the body is read and dropped.
        """
        exchange = self._exchanges[-1]
        self._memory.start_dropping(exchange, len(self.unparsed))
        exchange.is_complete = True
        self.is_closed = True
        self.is_in_request = False
        self.unparsed.clear()

    def _close_after_last(self) -> None:
        """Stop parsing, and close the connection after the last request's response."""
        self.is_closed = True
        if self._exchanges and not self._exchanges[-1].is_complete:
            self.reject(BadRequest(BAD_REQUEST, "incomplete request"))
        elif self._exchanges:
            self._exchanges[-1].keep_alive = False

    def reject(self, exc: BadRequest | Refused) -> None:
        """Reject the request that is being received, and stop parsing."""
        self.is_closed = True
        last = self._exchanges[-1] if self._exchanges else None
        if last is None or last.is_complete:
            last = Exchange(False, False)
            self._exchanges.append(last)
            self._memory.count_requests(len(self._exchanges))
            self._server.count_request()
        self.is_in_request = False
        last.is_complete = True
        last.refusal = exc
        self._memory.drop_body(last)
