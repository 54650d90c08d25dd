"""Callers on sockets of their own, as slow as told, that note each request's fate."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque

# Bytes of one segment on a usual link; loopback would take 64 KiB at a time.
SEGMENT_BYTES = 1460
# Bytes that a caller's kernel is told to take before the caller reads them.
WINDOW_BYTES = 16 * 1024
# Bytes that are read at a time.
PIECE_BYTES = 8 * 1024
# Seconds by which a caller that was held up may read faster than its link.
CATCH_UP_S = 0.25
# Milliseconds for which callers wait for an answer.
DEADLINE_MS = 20_000
BITS = 8
MEGA = 1_000_000


class Request:
    """One request, and what came back."""

    def __init__(self, number, size, pause_ms=0, method="GET"):
        self.id = f"id-{number}"
        self.size = size
        self.pause_ms = pause_ms
        self.method = method
        self.sent_at = None
        self.status = None
        self.body = b""
        # Whether a part of an answer came, and whether all of it.
        self.has_begun = False
        self.is_whole = False
        # Whether the answer before it told that the connection ends.
        self.is_behind_end = False

    def bytes(self):
        prefix = "/o/" if self.method == "POST" else "/a/"
        lines = (
            f"{self.method} {prefix}{self.size}/{self.pause_ms} HTTP/1.1",
            "Host: h.example",
            f"Berylstage-Attempt-Id: {self.id}",
            f"Berylstage-Deadline-Ms: {DEADLINE_MS}",
            "Content-Length: 0",
        )
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    @property
    def is_served(self):
        """Whether the target's answer came, and whole."""
        return self.is_whole and self.status == 200 and self.body == self.expected()

    def expected(self):
        return answer_body(self.id, self.size)

    def __repr__(self):
        came = f"{self.status} {len(self.body)} of {self.size}"
        return f"<{self.id} sent {self.sent_at} {came} whole {self.is_whole}>"


def answer_body(request_id, size):
    """Return the body of the stand-in's answer to a request."""
    return request_id.encode().ljust(size, b".")


class Caller:
    """One connection.

    Parameters
    ----------
    address : tuple
    link_mbps : float or None
        None for one that reads as fast as it can.
    reads : bool
    """

    def __init__(self, address, link_mbps=None, reads=True):
        self.address = address
        self.bytes_per_s = link_mbps * MEGA / BITS if link_mbps else None
        self.reads = reads
        self.requests = []
        self.has_ended = False
        # Requests without an answer, in the order of sending.
        self.waiting = deque()
        self._end_is_told = False
        self._buffer = bytearray()
        self._may_read_at = 0.0
        self._sock = None
        self._reading = None

    async def connect(self):
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self._sock = sock
        try:
            await asyncio.get_running_loop().sock_connect(sock, self.address)
        except OSError:
            self.has_ended = True
            return
        if self.reads:
            self._reading = asyncio.create_task(self._read())

    async def send(self, *requests):
        """Send requests in one piece, whatever has become of the connection."""
        moment = time.monotonic()
        for request in requests:
            request.sent_at = moment
            self.requests.append(request)
            self.waiting.append(request)
        if self._end_is_told:
            self._note_end(requests)
        data = b"".join(request.bytes() for request in requests)
        try:
            await asyncio.get_running_loop().sock_sendall(self._sock, data)
        except OSError:
            # The other side has closed; what came before is still read.
            return

    @property
    def bytes_buffered(self):
        """Bytes read of an answer that is not whole."""
        return len(self._buffer)

    async def answered(self):
        """Wait until all that was sent is answered or the connection has ended."""
        while self.waiting and not self.has_ended:
            await asyncio.sleep(0.005)

    def close(self):
        if self._reading is not None:
            self._reading.cancel()
        if self._sock is not None:
            self._sock.close()

    def _note_end(self, requests):
        for request in requests:
            request.is_behind_end = True

    # Reading.

    async def _read(self):
        loop = asyncio.get_running_loop()
        while True:
            await self._keep_pace()
            try:
                data = await loop.sock_recv(self._sock, PIECE_BYTES)
            except OSError:
                data = b""
            if not data:
                self.has_ended = True
                return
            if self.bytes_per_s is not None:
                self._may_read_at += len(data) / self.bytes_per_s
            self._buffer += data
            self._take_answers()

    async def _keep_pace(self):
        moment = time.monotonic()
        self._may_read_at = max(self._may_read_at, moment - CATCH_UP_S)
        if self._may_read_at > moment:
            await asyncio.sleep(self._may_read_at - moment)

    def _take_answers(self):
        while self._buffer:
            assert self.waiting, f"an answer to no request: {bytes(self._buffer[:80])}"
            request = self.waiting[0]
            request.has_begun = True
            end = self._buffer.find(b"\r\n\r\n")
            if end < 0:
                return
            head = bytes(self._buffer[:end]).decode("latin-1")
            size = _length(head)
            start = end + 4
            if len(self._buffer) < start + size:
                return
            request.status = int(head.split()[1])
            request.body = bytes(self._buffer[start : start + size])
            request.is_whole = True
            del self._buffer[: start + size]
            self.waiting.popleft()
            if "connection: close" in head.lower():
                self._end_is_told = True
                self._note_end(self.waiting)


def _length(head):
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            return int(value)
    raise AssertionError(f"an answer without a length: {head}")
