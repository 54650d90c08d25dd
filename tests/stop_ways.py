"""Requests that reach a VM in unusual ways, for tests of stops."""

from __future__ import annotations

import asyncio
import time
from contextlib import suppress

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.protocols import CallerRequest
from berylstage_entry.relay_client import RELAY_PATH
from berylstage_entry.relay_messages import RelayOutcome, RelayReply, RelayRequest
from slow_caller import REQUEST_DEADLINE_MS, Caller, Request

MS_PER_SECOND = 1000


class RelayedRequest(Request):
    """A request that another VM relays to a target through the VM that stops."""

    def encode(self):
        prefix = "/o/" if self.method == "POST" else "/a/"
        headers = {"Host": "h.example", "Berylstage-Attempt-Id": self.id}
        req = CallerRequest(
            self.id,
            self.method,
            "h.example",
            f"{prefix}{self.size}/{self.pause_ms}",
            headers,
            REQUEST_DEADLINE_MS / MS_PER_SECOND,
            None,
        )
        kind = "orders" if self.method == "POST" else "lookups"
        message = RelayRequest("vm-0", "i-1", 1, kind, self.method == "GET", req)
        body = message.encode(req.time_left)
        head = (
            f"POST {RELAY_PATH} HTTP/1.1\r\nHost: vm\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body

    @property
    def reply(self):
        """Decoded reply of the VM, or None."""
        try:
            return RelayReply.decode(self.body)
        except InvalidRecord:
            return None

    @property
    def is_served(self):
        return (
            self.is_complete
            and self.reply is not None
            and self.reply.outcome is RelayOutcome.ANSWERED
            and self.reply.answer.body == self.expected_body()
        )

    def __repr__(self):
        outcome = self.reply and self.reply.outcome
        return f"<{super().__repr__()} {outcome}>"


class PiecewiseRequest(Request):
    """An order whose bytes are sent in pieces.

    Parameters
    ----------
    number : int
        Number of the request, which its id contains.
    body : list of bytes
        Pieces of the body.
    is_chunked : bool
        Whether each piece is a chunk of its own; else the head names the length.
    expects_continue : bool
        Whether the head asks for an interim answer before the body.
    pause_ms : int
        Milliseconds that the target works.
    """

    def __init__(
        self, number, body, is_chunked=False, expects_continue=False, pause_ms=20
    ):
        super().__init__(number, 100, pause_ms, "POST")
        self._body = body
        self._is_chunked = is_chunked
        self.expects_continue = expects_continue

    def encode_pieces(self):
        """Return the head and the pieces of the body."""
        length = f"Content-Length: {sum(map(len, self._body))}"
        if self._is_chunked:
            length = "Transfer-Encoding: chunked"
        if self.expects_continue:
            length += "\r\nExpect: 100-continue"
        head = super().encode().decode().replace("Content-Length: 0", length)
        return [head.encode(), *self._encode_body()]

    def encode(self):
        return b"".join(self.encode_pieces())

    def _encode_body(self):
        if not self._is_chunked:
            return self._body
        chunks = [b"%x\r\n%b\r\n" % (len(piece), piece) for piece in self._body]
        return [*chunks[:-1], chunks[-1] + b"0\r\n\r\n"]


class PiecewiseCaller(Caller):
    """Sends requests in pieces, with pauses between them.

    Attributes
    ----------
    continued : asyncio.Event
        Set once an interim answer has been received.
    """

    INTERIM_ANSWER = b"HTTP/1.1 100 Continue\r\n\r\n"

    def __init__(self, address):
        super().__init__(address)
        self.continued = asyncio.Event()

    async def send_pieces(self, request, pause):
        """Send a request with a pause in seconds before each piece of its body."""
        pieces = request.encode_pieces()
        request.sent_at = time.monotonic()
        self.requests.append(request)
        self.unanswered.append(request)
        for number, piece in enumerate(pieces):
            if number == 1 and request.expects_continue:
                await self._wait_for_interim_answer()
            elif number:
                await asyncio.sleep(pause)
            try:
                await asyncio.get_running_loop().sock_sendall(self._sock, piece)
            except OSError:
                return

    async def _wait_for_interim_answer(self):
        """Wait for the interim answer, up to the second that callers usually wait."""
        with suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await self.continued.wait()

    def _parse_answers(self):
        if self._buffer.startswith(self.INTERIM_ANSWER):
            del self._buffer[: len(self.INTERIM_ANSWER)]
            self.continued.set()
        super()._parse_answers()


async def connect_relaying_vm(environment, vm, link_mbps=None):
    """Return a connection over which another VM relays requests."""
    caller = Caller(vm.control_address, link_mbps)
    environment.add_caller(caller)
    await caller.connect()
    return caller
