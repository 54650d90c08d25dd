"""One HTTP call and the answer to it."""

from __future__ import annotations

import asyncio

from berylstage_transfers.errors import NeverSent

# First status that ends an exchange; lower ones are interim.
MIN_FINAL_STATUS = 200
# Statuses whose answers have no body, so that nothing needs to frame one.
BODILESS_STATUSES = frozenset({204, 304})


class Call:
    """One HTTP call, as it is asked for and as it goes.

    Parameters
    ----------
    method : str
    url : str
        Percent-encoded.
    headers : dict of str to str
        Empty values are left out. Nothing is added but ``Host`` and
        ``Content-Length``.
    body : bytes or None
        None for a method without a body.
    timeout : float
        Seconds for everything, waiting for a connection included.
    echo : str
        Value of the header ``echo_name`` that the answer must carry; empty for none.
    fresh : bool
        Whether to open a new connection.
    echo_name : bytes
        Lower-case name of the header that echoes ``echo``.
    unframed : bool
        Whether an answer without a length may end with its connection.

    Attributes
    ----------
    started : bool
        Whether the call has left the queue for a connection.
    sent : bool
        Whether a byte of the call may have been sent.
    opened_connection : bool
        Whether the call opened its connection, rather than took a kept one.
    stale : bool
        Whether the call met a kept connection that had ended, before it was sent.
    status : int
        Status of the answer; 0 before it comes.
    answer_headers : dict of bytes to bytes
        Headers of the answer by lower-case name.

    Raises
    ------
    NeverSent
        A header holds a line break.
    """

    __slots__ = (
        "answer_headers",
        "started",
        "body",
        "body_chunks",
        "connect_deadline",
        "answers_other_call",
        "deadline",
        "echo",
        "echo_name",
        "fresh",
        "fut",
        "headers",
        "header_lines",
        "method",
        "opened_connection",
        "read_deadline",
        "sent",
        "body_size",
        "stale",
        "status",
        "timeout",
        "timer",
        "unframed",
        "url",
    )

    def __init__(
        self,
        method: str,
        url: str,
        headers: dict[str, str],
        body: bytes | None,
        timeout: float,
        echo: str = "",
        fresh: bool = False,
        echo_name: bytes = b"request-id",
        unframed: bool = False,
    ):
        self.method = method
        self.url = url
        self.headers = _header_lines(headers)
        self.body = body
        self.timeout = timeout
        self.echo = echo.encode()
        self.fresh = fresh
        self.echo_name = echo_name
        self.unframed = unframed
        self.deadline = 0.0
        # When its connection must have come about; until when what has come in time is
        # read, once its time is over; and what looks at the clock.
        self.connect_deadline = 0.0
        self.read_deadline = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.started = False
        self.sent = False
        self.opened_connection = False
        self.stale = False
        self.answers_other_call = False
        self.status = 0
        self.header_lines: list[bytes] = []
        self.answer_headers: dict[bytes, bytes] = {}
        self.body_chunks: list[bytes] = []
        self.body_size = 0
        self.fut: asyncio.Future[Answer] | None = None

    def parse_headers(self) -> bool:
        """Read the header lines that came; False when they are another call's."""
        lines, self.header_lines = self.header_lines, []
        if not lines[0].startswith(b"HTTP/"):
            # These are trailers, which follow a chunked body.
            return True
        self.status = int(lines[0].split(None, 2)[1])
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(b":")
            headers[name.lower()] = value.strip()
        self.answer_headers = headers
        if self.status < MIN_FINAL_STATUS or not self.echo:
            return True
        self.answers_other_call = headers.get(self.echo_name) != self.echo
        return not self.answers_other_call

    def is_framed(self) -> bool:
        """Tell whether the end of the body could be told from a broken connection."""
        # libcurl reports a reset in the midst of a body as an error, and a clean end
        # of the connection as the end of the answer.
        if self.status in BODILESS_STATUSES or self.unframed:
            return True
        headers = self.answer_headers
        return b"content-length" in headers or b"transfer-encoding" in headers


class Answer:
    """The whole answer to one call.

    Parameters
    ----------
    status : int
    headers : dict of bytes to bytes
        By lower-case name.
    body : bytes
    """

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, headers: dict[bytes, bytes], body: bytes):
        self.status = status
        self.headers = headers
        self.body = body

    def header(self, name: bytes) -> str:
        """Return a header by its lower-case name; empty when it is missing."""
        return self.headers.get(name, b"").decode("latin-1")


def _header_lines(headers: dict[str, str]) -> list[bytes]:
    """Return the header lines as libcurl takes them.

    Raises
    ------
    NeverSent
        A value holds a line break: it would let a caller add headers of its own.
    """
    lines = [f"{name}: {value}" for name, value in headers.items() if value]
    if not headers.get("Content-Type"):
        # A name without a value keeps libcurl from adding a header by itself.
        lines.append("Content-Type:")
    text = "".join(lines)
    if "\r" in text or "\n" in text or "\0" in text:
        raise NeverSent("a header holds a line break; remove it from the value")
    return [line.encode() for line in lines]
