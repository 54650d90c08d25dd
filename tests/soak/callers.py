"""Callers behind slow links that keep connections alive and pipeline requests."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING

from berylstage_adapter.target_protocol import UNIQUE_HEADERS
from berylstage_transfers.answer_head import parse_head

if TYPE_CHECKING:
    from soak.ledger import Ledger
    from soak.links import Link

# Seconds for which a caller waits for the answers to a batch of requests.
ANSWER_TIMEOUT_SECONDS = 8.0
# Receive buffer (SO_RCVBUF) of a caller's socket, and maximum bytes of one read.
RECEIVE_BUFFER_BYTES = 32 * 1024
READ_BYTES = 4096
# Bytes of a TCP segment, as between machines; segments of the loopback are larger than
# the receive buffer.
SEGMENT_BYTES = 1400
LINE_END = b"\r\n"
HEAD_END = 2 * LINE_END
# Deadlines that callers send with requests and with uploads. An upload of 360 kB takes
# 0.6 s on the slowest link.
REQUEST_DEADLINE_MS = 1500
UPLOAD_DEADLINE_MS = 3000


class Request:
    """One request of a caller.

    Parameters
    ----------
    request_id : str
    key : int or None
        Shard key of a lookup; None makes the request an order, which has no key.
    size : int
        Minimum bytes of the answer's body.
    upload_size : int
        Bytes of the request's body; above 0, the request is an upload.
    """

    __slots__ = ("key", "read_seconds", "request_id", "size", "upload_size")

    def __init__(
        self, request_id: str, key: int | None, size: int = 0, upload_size: int = 0
    ):
        self.request_id = request_id
        self.key = key
        self.size = size
        self.upload_size = upload_size
        # Seconds over which the caller spreads the reads of the answer.
        self.read_seconds = 0.0

    @property
    def method(self) -> str:
        """HTTP method: POST for an order or an upload, GET for a lookup."""
        return "POST" if self.key is None else "GET"

    @property
    def folder(self) -> str:
        """First part of the path, which selects the route."""
        if self.upload_size:
            return "uploads"
        return "orders" if self.key is None else "a"

    def encode(self) -> bytes:
        """Return the request as bytes of HTTP/1.1."""
        body = "order" if self.method == "POST" else ""
        deadline_ms = REQUEST_DEADLINE_MS
        if self.upload_size:
            body = "u" * self.upload_size
            deadline_ms = UPLOAD_DEADLINE_MS
        lines = [
            f"{self.method} /{self.folder}/{self.size} HTTP/1.1",
            "Host: h.example",
            f"Berylstage-Attempt-Id: {self.request_id}",
            f"Berylstage-Deadline-Ms: {deadline_ms}",
        ]
        if body:
            lines.append(f"Content-Length: {len(body)}")
        if self.key is not None:
            lines.append(f"Berylstage-Shard-Key: {self.key}")
        return "\r\n".join([*lines, "", body]).encode()


class KeylessLookup(Request):
    """A lookup without a key.

    Parameters
    ----------
    request_id : str
    size : int
        Minimum bytes of the answer's body.
    """

    __slots__ = ()

    def __init__(self, request_id: str, size: int = 0):
        super().__init__(request_id, None, size)

    @property
    def method(self) -> str:
        """HTTP method."""
        return "GET"

    @property
    def folder(self) -> str:
        """First part of the path, which selects the route."""
        return "reads"


class Answer:
    """One HTTP answer.

    Parameters
    ----------
    head : bytes
        Status line and headers, without the empty line after them.

    Raises
    ------
    InvalidAnswer
        The head is no valid HTTP, which ends the soak.
    """

    __slots__ = ("body", "headers", "length", "status")

    def __init__(self, head: bytes):
        parsed = parse_head(head + LINE_END, UNIQUE_HEADERS)
        self.status = parsed.status
        self.headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in parsed.headers.items()
        }
        self.length = parsed.length or 0
        self.body = b""

    @property
    def closes_connection(self) -> bool:
        """Whether the server closes the connection after this answer."""
        return self.headers.get("connection") == "close"

    @property
    def signature(self) -> str:
        """Signature of the target that answered; empty if there is none."""
        return self.headers.get("berylstage-backend-signature", "")


class Caller:
    """One connection, used until the server closes it.

    Parameters
    ----------
    address : tuple of str and int
        Host and port of the server.
    link : Link
        Link that limits the rate of answers.
    ledger : Ledger
        Record of the outcomes of requests.
    """

    def __init__(self, address: tuple[str, int], link: Link, ledger: Ledger):
        self._address = address
        self._link = link
        self._ledger = ledger
        self._sock: socket.socket | None = None
        self._buffer = bytearray()

    async def send_requests(self, requests: list[Request], gap_seconds: float) -> None:
        """Send requests, read their answers and record the outcome of each.

        Parameters
        ----------
        requests : list of Request
        gap_seconds : float
            Seconds between two requests.
        """
        waiting = deque(requests)
        sending: asyncio.Task | None = None
        is_close_announced = False
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_SECONDS):
                await self._connect()
                sending = asyncio.create_task(self._send(requests, gap_seconds))
                while waiting and self._sock is not None:
                    answer = await self._read_answer(waiting[0])
                    self._record_answer(waiting[0], answer)
                    waiting.popleft()
                    is_close_announced = answer.closes_connection
        except OSError:
            # Connection refused, reset or closed, or the answer timeout expired.
            self.close()
        finally:
            if sending is not None:
                # An upload that was refused before its end leaves part of its body
                # to send, so that the connection can carry no other request.
                if not sending.done() and requests[-1].upload_size:
                    self.close()
                sending.cancel()
        for request in waiting:
            partial_answer = bytes(self._buffer)
            self._buffer.clear()
            if is_close_announced:
                self._ledger.record_not_expected(request.request_id)
            self._ledger.record_answer(
                request.request_id, request.method, 0, partial_answer, ""
            )

    def is_open(self) -> bool:
        """Return whether the connection is open as far as the caller can see."""
        if self._sock is None:
            return False
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            # The connection was reset.
            return False

    def close(self) -> None:
        """Close the connection."""
        if self._sock is not None:
            self._sock.close()
            self._sock = None

    async def _connect(self) -> None:
        if self._sock is not None:
            return
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        await asyncio.get_running_loop().sock_connect(sock, self._address)

    async def _send(self, requests: list[Request], gap_seconds: float) -> None:
        loop = asyncio.get_running_loop()
        for position, request in enumerate(requests):
            if position:
                await asyncio.sleep(gap_seconds)
            if self._sock is None:
                return
            try:
                await loop.sock_sendall(self._sock, request.encode())
            except OSError:
                # Answers received before the connection closed are still read.
                return
            self._ledger.record_sent(request.request_id)

    async def _read_answer(self, request: Request) -> Answer:
        """Read one answer; a partial answer stays in the buffer on failure."""
        while (end := self._buffer.find(HEAD_END)) < 0:
            await self._receive(request)
        answer = Answer(bytes(self._buffer[:end]))
        start = end + len(HEAD_END)
        end_of_body = start + answer.length
        while len(self._buffer) < end_of_body:
            await self._receive(request)
        answer.body = bytes(self._buffer[start:end_of_body])
        del self._buffer[:end_of_body]
        if answer.closes_connection:
            self.close()
        return answer

    async def _receive(self, request: Request) -> None:
        assert self._sock is not None
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._sock, READ_BYTES)
        if not data:
            raise ConnectionResetError(
                "server closed the connection before the complete answer"
            )
        self._buffer += data
        await self._link.wait_for_transfer(len(data))
        if request.read_seconds:
            share = min(1.0, len(data) / max(1, request.size))
            await asyncio.sleep(request.read_seconds * share)

    def _record_answer(self, request: Request, answer: Answer) -> None:
        notices, target = self._ledger.notices, answer.signature.partition(".")[0]
        if "server-limit" in answer.headers:
            notices.record_answer(request.request_id, target)
        if "server-leaving" in answer.headers:
            notices.record_departure(request.request_id, target)
        self._ledger.record_answer(
            request.request_id,
            request.method,
            answer.status,
            answer.body,
            answer.signature,
        )
