"""Memory of one caller's connection: bodies, uploads, unread input, untaken answers."""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from berylstage_entry.clock import now
from berylstage_entry.errors import BadRequest, Refused
from berylstage_entry.memory.budget import (
    LARGE_HEADERS_BYTES,
    compute_headers_bytes,
)
from berylstage_entry.memory.buffer_memory import TakenAnswers
from berylstage_entry.responses import CONTENT_TOO_LARGE
from berylstage_entry.sockets import count_unacknowledged_bytes

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from berylstage_entry.connection import CallerConnection
    from berylstage_entry.exchange import Exchange
    from berylstage_entry.memory.buffer_memory import BufferMemory
    from berylstage_entry.memory.untaken_answers import UntakenAnswer

# Bytes that are parsed at a time. When a connection has reached its limit of requests,
# it may already have parsed up to one chunk beyond that limit.
PARSE_CHUNK_BYTES = 4096
# Bytes that are buffered unparsed before reading from the socket pauses.
MAX_UNPARSED_BYTES = 64 * 1024
# Seconds for which the rest of a body is read and dropped after its request has been
# answered, in all and without a byte. A caller that sends 360 kB over a busy link of
# 1 Mbit/s takes 3 s.
MAX_DROPPING_SECONDS = 4.0
MAX_DROPPING_IDLE_SECONDS = 1.0
# Why a body is refused that exceeds the configured limit.
BODY_TOO_LARGE = "request body exceeds the size limit"
# Retry-After for a request whose body did not arrive within its caller's time.
BODY_LATE_RETRY_AFTER_SECONDS = 0.05


def compute_parse_bytes(last: Exchange | None) -> int:
    """Return how many bytes to parse at once.

    The rest of an upload's body contains no other request. In small chunks, the parsing
    of 400 uploads delayed small requests at a VM with a third of a core.

    Parameters
    ----------
    last : Exchange or None
        The connection's last request.
    """
    if last is None or last.is_complete or last.declared_bytes is None:
        return PARSE_CHUNK_BYTES
    left = last.declared_bytes - last.body_size
    return max(PARSE_CHUNK_BYTES, min(left, MAX_UNPARSED_BYTES))


class ConnectionMemory:
    """Reserves and releases the memory of one connection.

    Parameters
    ----------
    conn : CallerConnection
    memory : BufferMemory
        Memory of all connections of the VM.
    body_limit : callable
        Returns the maximum number of bytes of a request body.
    """

    def __init__(
        self,
        conn: CallerConnection,
        memory: BufferMemory,
        body_limit: Callable[[], int],
    ):
        self._conn = conn
        self._memory = memory
        self._body_limit = body_limit
        # Set when the connection is made.
        self.transport: asyncio.Transport | None = None
        # Bytes of unread input that are counted in the memory.
        self._counted_input = 0
        # Requests that are counted in the memory.
        self._counted_requests = 0
        # Bytes of an unfinished head that are counted in the memory.
        self._counted_head = 0
        self._taken_answers = TakenAnswers()
        # Bytes of an answered request that are still to be read and dropped.
        self._dropped_bytes_left = 0.0
        self._dropping_since = 0.0

    # Heads.

    def admit_head(self, exchange: Exchange, fields: Sequence[tuple[str, str]]) -> bool:
        """Reserve memory for a large head, or refuse its request.

        Parameters
        ----------
        exchange : Exchange
        fields : sequence of tuple
            Names and values of the header fields.

        Returns
        -------
        bool
            Whether the request is not refused.
        """
        size = compute_headers_bytes(fields)
        if size <= LARGE_HEADERS_BYTES:
            return True
        if not self._memory.reserve_large_head(size):
            exchange.refusal = self._memory.refuse_head()
            exchange.ends_early = True
            return False
        exchange.reserved_head_bytes = size
        return True

    def count_head(self, size: int) -> None:
        """Count the bytes of the head that is being received."""
        self._memory.count_unfinished_head(size - self._counted_head)
        self._counted_head = size

    def count_requests(self, number: int) -> None:
        """Count the requests in progress."""
        self._memory.requests_in_progress += number - self._counted_requests
        self._counted_requests = number

    # Bodies.

    def receive_body(self, exchange: Exchange, body: bytes) -> None:
        """Buffer a part of a body, within the size and memory limits."""
        exchange.body_size += len(body)
        if exchange.refusal is not None:
            return
        if exchange.body_size > self._body_limit():
            exchange.refusal = BadRequest(CONTENT_TOO_LARGE, BODY_TOO_LARGE)
        elif self._reserve_body(exchange, len(body)):
            exchange.body += body
            return
        self.drop_body(exchange)
        exchange.ends_early = True

    def _reserve_body(self, exchange: Exchange, size: int) -> bool:
        """Reserve memory for received bytes of a body, or refuse the request."""
        memory = self._memory
        if exchange.is_upload:
            size = max(0, exchange.body_size - exchange.reserved_upload_bytes)
        if not memory.reserve_body(size, exchange.is_upload):
            assert exchange.req is not None
            exchange.refusal = (
                memory.refuse_upload(size, exchange.req.time_left)
                if exchange.is_upload
                else memory.refuse_body()
            )
            return False
        if exchange.is_upload:
            exchange.reserved_upload_bytes += size
        else:
            exchange.reserved_bytes += size
        return True

    def drop_body(self, exchange: Exchange) -> None:
        """Drop the received part of a body, and release its memory."""
        exchange.body = bytearray()
        self.release(exchange)

    def release(self, exchange: Exchange) -> None:
        """Release the memory that is reserved for a body or a response."""
        if exchange.body_timer is not None:
            exchange.body_timer.cancel()
        self._memory.release(exchange.reserved_bytes)
        self._memory.release(exchange.reserved_upload_bytes, True)
        self._memory.release_large_head(exchange.reserved_head_bytes)
        exchange.reserved_head_bytes = 0
        exchange.reserved_bytes = exchange.reserved_upload_bytes = 0

    def admit_body(self, exchange: Exchange, size: int | None, is_upload: bool) -> bool:
        """Admit the body that a request head declares, or refuse it without reading.

        Parameters
        ----------
        exchange : Exchange
        size : int or None
            Declared bytes of the body; None if it is chunked.
        is_upload : bool
            Whether memory is reserved for all of it.

        Returns
        -------
        bool
            Whether the body is not refused.
        """
        assert exchange.req is not None
        exchange.is_upload = is_upload
        exchange.declared_bytes = size
        if size is not None and size > self._body_limit():
            exchange.refusal = BadRequest(CONTENT_TOO_LARGE, BODY_TOO_LARGE)
        elif is_upload and size and not self._memory.reserve_body(size, True):
            exchange.refusal = self._memory.refuse_upload(size, exchange.req.time_left)
        if exchange.refusal is not None:
            exchange.ends_early = True
            return False
        if is_upload:
            exchange.reserved_upload_bytes = size or 0
        return True

    def start_body_timer(self, exchange: Exchange, seconds: float) -> None:
        """Refuse a request if the rest of its body does not arrive in time."""
        loop = asyncio.get_running_loop()
        exchange.body_timer = loop.call_later(
            max(0.0, seconds), self._end_late_body, exchange
        )

    def _end_late_body(self, exchange: Exchange) -> None:
        """Refuse a request whose body has not arrived within its caller's time.

        A caller that stops in the middle of a body would otherwise hold its memory
        until its connection is lost.
        """
        if exchange.is_complete or exchange.refusal is not None:
            return
        detail = f"{exchange.body_size} of {exchange.declared_bytes} bytes arrived"
        self.refuse_unfinished(
            exchange, Refused("body-late", BODY_LATE_RETRY_AFTER_SECONDS, detail)
        )

    def refuse_unfinished(self, exchange: Exchange, refusal: Refused) -> None:
        """Refuse a request before its body is complete."""
        exchange.refusal = refusal
        self.drop_body(exchange)
        exchange.ends_early = True
        self._conn.end_unfinished_body()

    # Input.

    def count_input(self, size: int) -> None:
        """Count the bytes that have been read and not parsed."""
        counted = self._counted_input
        if size > counted:
            self._memory.reserve_answer(size - counted)
        elif size < counted:
            self._memory.release(counted - size)
        self._counted_input = size

    def start_dropping(self, exchange: Exchange, unparsed: int) -> None:
        """Expect the rest of the body of a request that is answered early.

        Parameters
        ----------
        exchange : Exchange
        unparsed : int
            Bytes that have been read and not parsed.
        """
        received = exchange.body_size + unparsed
        self._dropped_bytes_left = (
            inf
            if exchange.declared_bytes is None
            else exchange.declared_bytes - received
        )
        self._dropping_since = now()

    def record_dropped(self, size: int) -> None:
        """Record bytes that were read and dropped."""
        self._dropped_bytes_left -= size

    def is_dropping_input(self, last_data_at: float) -> bool:
        """Return whether the rest of an answered request is expected.

        Parameters
        ----------
        last_data_at : float
            Monotonic seconds at which bytes arrived last.
        """
        moment = now()
        return (
            self._dropped_bytes_left > 0
            and moment - self._dropping_since < MAX_DROPPING_SECONDS
            and moment - last_data_at < MAX_DROPPING_IDLE_SECONDS
        )

    # Answers.

    def reserve_expected_answer(self, exchange: Exchange, size: int) -> None:
        """Count the expected bytes of the answer to a request that is started."""
        exchange.reserved_bytes += self._memory.reserve_expected_answer(size)

    def reserve_response(self, exchange: Exchange, size: int) -> None:
        """Count a buffered response against the body memory until it is written.

        Nothing else may be reserved for the exchange any more.
        """
        exchange.reserved_bytes = self._memory.reserve_answer(size)

    def watch_untaken_answers(self, exchange: Exchange) -> None:
        """Count a written answer until the kernel has taken it."""
        assert self.transport is not None
        if not self.transport.get_write_buffer_size():
            return
        self._taken_answers.record_answer(
            exchange.deadline, count_unacknowledged_bytes(self.transport)
        )
        self.count_untaken_answers()
        self._memory.watch(self._conn)

    def count_untaken_answers(self) -> int:
        """Count the bytes of answers that the kernel has not taken, and return them."""
        if self.transport is None:
            return 0
        size = self.transport.get_write_buffer_size()
        memory, taken = self._memory, self._taken_answers
        if size > taken.counted:
            memory.reserve_answer(size - taken.counted)
        else:
            memory.release(taken.counted - size)
        taken.counted = size
        taken.record_unacknowledged(count_unacknowledged_bytes(self.transport))
        return size

    def release_untaken_answers(self) -> None:
        """Release the memory of answers that are dropped with the connection."""
        self._memory.release(self._taken_answers.counted)
        self._taken_answers.counted = 0

    def describe_untaken(self, number: int) -> UntakenAnswer:
        """Return the untaken answers; `number` identifies the connection."""
        return self._taken_answers.describe(number)

    def disconnect(self) -> None:
        """Drop the connection together with its untaken answers."""
        if self.transport is not None:
            self.transport.abort()
        self.release_untaken_answers()
