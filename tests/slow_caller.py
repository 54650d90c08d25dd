"""Callers with a limited read rate that record the outcome of each request."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque

from berylstage_adapter.target_protocol import UNIQUE_HEADERS
from berylstage_transfers.answer_head import parse_head

# Bytes of a TCP segment on a usual link; loopback would send 64 KiB at a time.
SEGMENT_BYTES = 1460
# Receive buffer (SO_RCVBUF) of a caller's socket.
RECEIVE_BUFFER_BYTES = 16 * 1024
# Maximum bytes of one read.
READ_BYTES = 8 * 1024
# Seconds of link time that a delayed caller may catch up by reading faster.
CATCH_UP_SECONDS = 0.25
# Deadline that callers send with a request.
REQUEST_DEADLINE_MS = 20_000
BITS_PER_BYTE = 8
BITS_PER_MEGABIT = 1_000_000


class Request:
    """One request and its answer."""

    def __init__(self, number, size, pause_ms=0, method="GET"):
        self.id = f"id-{number}"
        self.size = size
        self.pause_ms = pause_ms
        self.method = method
        self.sent_at = None
        self.status = None
        self.body = b""
        # Whether a part of the answer was received, and whether all of it was.
        self.has_begun = False
        self.is_complete = False
        # Whether an earlier answer announced that the connection closes.
        self.is_after_close = False

    def encode(self):
        prefix = "/o/" if self.method == "POST" else "/a/"
        lines = (
            f"{self.method} {prefix}{self.size}/{self.pause_ms} HTTP/1.1",
            "Host: h.example",
            f"Berylstage-Attempt-Id: {self.id}",
            f"Berylstage-Deadline-Ms: {REQUEST_DEADLINE_MS}",
            "Content-Length: 0",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    @property
    def is_served(self):
        """Whether the target's complete answer was received."""
        return (
            self.is_complete
            and self.status == 200
            and self.body == self.expected_body()
        )

    def expected_body(self):
        return build_answer_body(self.id, self.size)

    def __repr__(self):
        received = f"{self.status} {len(self.body)} of {self.size}"
        return f"<{self.id} sent {self.sent_at} {received} complete {self.is_complete}>"


def build_answer_body(request_id, size):
    """Return the body with which the target stand-in answers a request."""
    return request_id.encode().ljust(size, b".")


class Caller:
    """One connection on which requests are sent.

    Parameters
    ----------
    address : tuple
        Host and port of the server.
    link_mbps : float or None
        Read rate in Mbit/s; None for no limit.
    reads : bool
        Whether the caller reads answers at all.
    """

    def __init__(self, address, link_mbps=None, reads=True):
        self.address = address
        self.bytes_per_s = (
            link_mbps * BITS_PER_MEGABIT / BITS_PER_BYTE if link_mbps else None
        )
        self.reads = reads
        self.requests = []
        self.is_closed = False
        # Requests without a complete answer, in the order of sending.
        self.unanswered = deque()
        self._is_close_announced = False
        self._buffer = bytearray()
        self._next_read_at = 0.0
        self._sock = None
        self._read_task = None

    async def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._sock = sock
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except OSError:
            self.is_closed = True
            return
        if self.reads:
            self._read_task = asyncio.create_task(self._read())

    async def send(self, *requests):
        """Send requests in one write, even if the connection has been closed."""
        now = time.monotonic()
        for request in requests:
            request.sent_at = now
            self.requests.append(request)
            self.unanswered.append(request)
        if self._is_close_announced:
            self._mark_after_close(requests)
        data = b"".join(request.encode() for request in requests)
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
        except OSError:
            # The server has closed the connection; answers sent before are still read.
            return

    @property
    def bytes_buffered(self):
        """Bytes received of an incomplete answer."""
        return len(self._buffer)

    async def wait_for_answers(self):
        """Wait until all requests are answered or the connection is closed."""
        while self.unanswered and not self.is_closed:
            await asyncio.sleep(0.005)

    def close(self):
        if self._read_task is not None:
            self._read_task.cancel()
        if self._sock is not None:
            self._sock.close()

    def _mark_after_close(self, requests):
        for request in requests:
            request.is_after_close = True

    async def _read(self):
        loop = asyncio.get_running_loop()
        while True:
            await self._limit_read_rate()
            try:
                data = await loop.sock_recv(self._sock, READ_BYTES)
            except OSError:
                data = b""
            if not data:
                self.is_closed = True
                return
            if self.bytes_per_s is not None:
                self._next_read_at += len(data) / self.bytes_per_s
            self._buffer += data
            self._parse_answers()

    async def _limit_read_rate(self):
        now = time.monotonic()
        self._next_read_at = max(self._next_read_at, now - CATCH_UP_SECONDS)
        if self._next_read_at > now:
            await asyncio.sleep(self._next_read_at - now)

    def _parse_answers(self):
        while self._buffer:
            assert self.unanswered, (
                f"received an answer without a request: {bytes(self._buffer[:80])}"
            )
            request = self.unanswered[0]
            request.has_begun = True
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            raw_head = bytes(self._buffer[: end + 2])
            head = parse_head(raw_head, UNIQUE_HEADERS)
            assert head.length is not None, f"answer has no Content-Length: {raw_head}"
            size = head.length
            start = end + 4
            if len(self._buffer) < start + size:
                return
            request.status = head.status
            request.body = bytes(self._buffer[start : start + size])
            request.is_complete = True
            del self._buffer[: start + size]
            self.unanswered.popleft()
            if head.headers.get(b"connection") == b"close":
                self._is_close_announced = True
                self._mark_after_close(self.unanswered)
