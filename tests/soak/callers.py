"""Callers behind slow links, who keep their connections and send several requests."""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.ledger import Ledger
    from soak.links import Link

# Seconds for which a caller waits for the answers to what it has sent.
PATIENCE_S = 8.0
# Bytes that the kernel takes in ahead of a caller, and that a caller reads at a time.
RECEIVE_BYTES = 32 * 1024
PIECE_BYTES = 4096
# Bytes of a segment, as between machines; those of the loopback are larger than what
# the kernel takes in.
SEGMENT_BYTES = 1400
HEAD_END = b"\r\n\r\n"


class Request:
    """What a caller asks for.

    Parameters
    ----------
    request_id : str
    key : int or None
        None makes it an order, which has no key.
    size : int
        Bytes that the answer has at least.
    """

    __slots__ = ("key", "request_id", "size")

    def __init__(self, request_id: str, key: int | None, size: int = 0):
        self.request_id = request_id
        self.key = key
        self.size = size

    @property
    def method(self) -> str:
        """Its method."""
        return "POST" if self.key is None else "GET"

    def encode(self) -> bytes:
        """Return it as it is sent."""
        service = "orders" if self.key is None else "a"
        body = "order" if self.key is None else ""
        lines = [
            f"{self.method} /{service}/{self.size} HTTP/1.1",
            "Host: h.example",
            f"Berylstage-Attempt-Id: {self.request_id}",
            "Berylstage-Deadline-Ms: 1500",
        ]
        if self.key is None:
            lines.append(f"Content-Length: {len(body)}")
        else:
            lines.append(f"Berylstage-Shard-Key: {self.key}")
        return "\r\n".join([*lines, "", body]).encode()


class Answer:
    """One answer, read from the bytes of a connection.

    Parameters
    ----------
    head : bytes
    """

    __slots__ = ("body", "headers", "length", "status")

    def __init__(self, head: bytes):
        first, *lines = head.decode("latin-1").split("\r\n")
        self.status = int(first.split(" ")[1])
        fields = (line.partition(": ") for line in lines)
        self.headers = {name.lower(): value for name, _, value in fields}
        self.length = int(self.headers.get("content-length", "0"))
        self.body = b""

    @property
    def closes(self) -> bool:
        """Whether it is the last one of its connection."""
        return self.headers.get("connection") == "close"

    @property
    def mark(self) -> str:
        """What its target signs it with."""
        return self.headers.get("berylstage-backend-signature", "")


class Caller:
    """One connection, used until the other side ends it.

    Parameters
    ----------
    address : tuple of str and int
    link : Link
    ledger : Ledger
    """

    def __init__(self, address: tuple[str, int], link: Link, ledger: Ledger):
        self._address = address
        self._link = link
        self._ledger = ledger
        self._sock: socket.socket | None = None
        self._buffer = bytearray()

    async def ask(self, requests: list[Request], gap: float) -> None:
        """Send requests, take their answers, and note what came of each.

        Parameters
        ----------
        requests : list of Request
        gap : float
            Seconds between two of them.
        """
        waiting = deque(requests)
        sending: asyncio.Task | None = None
        try:
            async with asyncio.timeout(PATIENCE_S):
                await self._connect()
                sending = asyncio.create_task(self._send(requests, gap))
                while waiting and self._sock is not None:
                    self._note(waiting[0], await self._take())
                    waiting.popleft()
        except OSError:
            # Refused, reset, ended, or out of patience.
            self.close()
        finally:
            if sending is not None:
                sending.cancel()
        for request in waiting:
            rest = bytes(self._buffer)
            self._buffer.clear()
            self._ledger.answered(request.request_id, request.method, 0, rest, "")

    def is_open(self) -> bool:
        """Tell whether the connection may be used, as far as its caller has seen."""
        if self._sock is None:
            return False
        try:
            return bool(self._sock.recv(1, socket.MSG_PEEK))
        except BlockingIOError:
            return True
        except OSError:
            # It was reset.
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
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._sock = sock
        await asyncio.get_running_loop().sock_connect(sock, self._address)

    async def _send(self, requests: list[Request], gap: float) -> None:
        loop = asyncio.get_running_loop()
        for place, request in enumerate(requests):
            if place:
                await asyncio.sleep(gap)
            if self._sock is None:
                return
            try:
                await loop.sock_sendall(self._sock, request.encode())
            except OSError:
                # The answers that have come before the end are still read.
                return

    async def _take(self) -> Answer:
        """Read one answer; what there is of a part of it stays in the buffer."""
        while (end := self._buffer.find(HEAD_END)) < 0:
            await self._fill()
        answer = Answer(bytes(self._buffer[:end]))
        start = end + len(HEAD_END)
        whole = start + answer.length
        while len(self._buffer) < whole:
            await self._fill()
        answer.body = bytes(self._buffer[start:whole])
        del self._buffer[:whole]
        if answer.closes:
            self.close()
        return answer

    async def _fill(self) -> None:
        assert self._sock is not None
        loop = asyncio.get_running_loop()
        data = await loop.sock_recv(self._sock, PIECE_BYTES)
        if not data:
            raise ConnectionResetError("the connection ended without an answer")
        self._buffer += data
        await self._link.carry(len(data))

    def _note(self, request: Request, answer: Answer) -> None:
        self._ledger.answered(
            request.request_id, request.method, answer.status, answer.body, answer.mark
        )
