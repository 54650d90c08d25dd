"""An HTTP call and its answer."""

from __future__ import annotations

import asyncio
import re
from typing import TYPE_CHECKING

from berylstage_transfers.answer_head import AnswerHead, InvalidAnswer, parse_head
from berylstage_transfers.answer_memory import MAX_BODY_BYTES
from berylstage_transfers.errors import NeverSent
from berylstage_transfers.raw_heads import check_folding

if TYPE_CHECKING:
    from berylstage_transfers.chunked_body import ChunkedBody

LINE_END = b"\r\n"
# Statuses whose answers have no body and therefore need no framing.
BODILESS_STATUSES = frozenset({204, 304})

# Characters that no request target has.
_NO_TARGET = re.compile(rb"[\x00-\x20\x7f]")


class Call:
    """An HTTP call and the state of its transfer.

    Parameters
    ----------
    method : str
    url : str
        Percent-encoded.
    headers : dict of str to str
        Empty values are omitted. Only ``Host`` and ``Content-Length`` are added.
    body : bytes or None
        None for a method without a body.
    timeout : float
        Seconds for the whole call, including the wait for a connection.
    echo : str
        Id of the call, which the answer must have in the header ``echo_header``; empty
        if the answer is not checked. A call whose id the client has sent before goes
        over a new connection.
    fresh : bool
        Whether to open a new connection.
    origin : str
        Start of the URL, up to the request target.
    target : bytes
        Request target, which is sent as it is.
    echo_header : bytes
        Lower-case name of the answer's header with the value ``echo``.
    allow_unframed : bool
        Whether an answer without a length may end by closing its connection.
    max_answer_bytes : int
        Limit of the answer's body.
    single_use : bool
        Whether its connection carries no other call, neither before nor after. No
        answer to another call can then pass for its answer, or its answer for that to
        another call, although the server echoes no id.
    unique_headers : frozenset of bytes
        Lower-case names of headers of which an answer with two values is refused;
        ``echo_header`` is always one of them.

    Attributes
    ----------
    started : bool
        Whether the call has left the queue for a connection.
    sent : bool
        Whether a byte of the call may have been sent.
    opened_connection : bool
        Whether the call opened a new connection instead of reusing one.
    stale : bool
        Whether the reused connection was found to be unusable before the call was
        sent.
    head : AnswerHead or None
        Head of the answer, or of the last interim one; None before it arrives.
    answer_body : bytearray
        Body of the answer as far as it has arrived.
    chunks : ChunkedBody or None
        Decoder of a body that arrives in chunks.
    rejection : str
        Why the answer is not received any more; empty if it is.
    is_malformed : bool
        Whether that is because it violates HTTP.
    is_head_copied : bool
        Whether all heads of the answer were copied before libcurl read them.
    read_before : int or None
        Bytes that libcurl had read from the connection before the call was sent; None
        if that is not known.
    passed_bytes : int
        Bytes of the answer that libcurl has passed on.
    surplus_bytes : int
        Bytes that libcurl had read beyond these when it passed on the last ones.

    Raises
    ------
    NeverSent
        A header contains a line break, or the URL a blank or a control character.
    """

    __slots__ = (
        "started",
        "body",
        "chunks",
        "acknowledged_bytes",
        "answer_body",
        "body_parts",
        "connect_deadline",
        "answers_other_call",
        "deadline",
        "echo",
        "echo_header",
        "fresh",
        "fut",
        "head",
        "headers",
        "header_lines",
        "is_head_copied",
        "is_malformed",
        "method",
        "opened_connection",
        "origin",
        "passed_bytes",
        "raw_head",
        "read_before",
        "read_deadline",
        "sent",
        "single_use",
        "max_answer_bytes",
        "rejection",
        "stale",
        "surplus_bytes",
        "target",
        "timeout",
        "timer",
        "allow_unframed",
        "unique_headers",
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
        echo_header: bytes = b"request-id",
        allow_unframed: bool = False,
        max_answer_bytes: int = MAX_BODY_BYTES,
        single_use: bool = False,
        unique_headers: frozenset[bytes] = frozenset(),
    ):
        self.method = method
        self.url = url
        self.origin, self.target = _split_url(url)
        self.headers = _header_lines(headers)
        self.body = body
        self.timeout = timeout
        self.echo = echo.encode()
        self.fresh = fresh or single_use
        self.single_use = single_use
        self.echo_header = echo_header
        self.unique_headers = unique_headers | {echo_header}
        self.allow_unframed = allow_unframed
        self.max_answer_bytes = max_answer_bytes
        self.deadline = 0.0
        # Monotonic times: ``connect_deadline`` for establishing the connection, and
        # ``read_deadline`` for reading data received before the call's deadline.
        self.connect_deadline = 0.0
        self.read_deadline = 0.0
        self.timer: asyncio.TimerHandle | None = None
        self.started = False
        self.sent = False
        self.opened_connection = False
        self.stale = False
        self.answers_other_call = False
        # Bytes of the answer before libcurl has read them, and the lines that it passed
        # on since the last empty one.
        self.raw_head = b""
        self.header_lines: list[bytes] = []
        self.head: AnswerHead | None = None
        self.answer_body = bytearray()
        # Parts in which the body has arrived.
        self.body_parts = 0
        self.chunks: ChunkedBody | None = None
        self.rejection = ""
        self.is_malformed = False
        self.is_head_copied = True
        self.read_before: int | None = None
        self.passed_bytes = self.surplus_bytes = 0
        # Acknowledged bytes of the body when they were looked at last; -1 before.
        self.acknowledged_bytes = -1
        self.fut: asyncio.Future[Answer] | None = None

    @property
    def status(self) -> int:
        """Status of the answer; 0 before it arrives."""
        return 0 if self.head is None else self.head.status

    def receive_head(self) -> bool:
        """Parse the received header lines; False if the answer is refused."""
        head = b"".join(self.header_lines)
        self.header_lines = []
        try:
            self._check_folding(head)
            self.head = parse_head(head, self.unique_headers)
        except InvalidAnswer as exc:
            self.refuse(exc)
            return False
        if not self.head.is_final:
            return True
        self.raw_head = b""
        if not self.echo:
            return True
        self.answers_other_call = self.received_id().encode("latin-1") != self.echo
        return not self.answers_other_call

    def _check_folding(self, head: bytes) -> None:
        if not check_folding(self.raw_head, head):
            self.is_head_copied = False
        # The head after an interim one follows its empty line.
        self.raw_head = self.raw_head[len(head) + len(LINE_END) :]

    def refuse(self, exc: InvalidAnswer) -> None:
        """Receive no more of an answer that violates HTTP."""
        self.is_malformed = True
        self.rejection = self.rejection or str(exc)

    def received_id(self) -> str:
        """Return the id that the answer bears; empty if it bears none."""
        headers = {} if self.head is None else self.head.headers
        return headers.get(self.echo_header, b"").decode("latin-1")

    def has_whole_answer(self) -> bool:
        """Return whether an answer that tells where it ends has arrived to its end."""
        head = self.head
        if head is None or not head.is_final or self.answers_other_call:
            return False
        if self.rejection:
            return False
        if self.chunks is not None:
            return self.chunks.is_complete
        return head.length == len(self.answer_body)

    def may_end_here(self) -> bool:
        """Return whether an answer that libcurl takes for complete can be that."""
        # libcurl reports a reset within a body as an error, but a clean close of the
        # connection as the end of the answer.
        head = self.head
        if head is None or not head.is_final:
            return False
        if self.method == "HEAD" or head.status in BODILESS_STATUSES:
            return True
        if head.length is None and not head.is_chunked:
            return self.allow_unframed
        return self.has_whole_answer()


class Answer:
    """The complete answer to a call.

    Parameters
    ----------
    head : AnswerHead
    body : bytes

    Attributes
    ----------
    status : int
    fields : list of tuple
        Lower-case names and values of the headers, in their order.
    headers : dict of bytes to bytes
        By lower-case name; the values of a header that stands more than once are
        joined.
    """

    __slots__ = ("body", "fields", "headers", "status")

    def __init__(self, head: AnswerHead, body: bytes):
        self.status = head.status
        self.fields = head.fields
        self.headers = head.headers
        self.body = body

    def header(self, name: bytes) -> str:
        """Return the header with this lower-case name, or an empty string."""
        return self.headers.get(name, b"").decode("latin-1")


def _split_url(url: str) -> tuple[str, bytes]:
    """Return the origin of an URL, and the request target.

    libcurl would change a target that is a part of its URL: escapes get digits in upper
    case, and what follows a number sign is dropped.

    Raises
    ------
    NeverSent
        The target contains a blank or a control character, which would end it.
    """
    start = url.find("/", len("http://"))
    target = url[start:].encode("latin-1") if start >= 0 else b"/"
    if _NO_TARGET.search(target):
        raise NeverSent("the request target has a blank or a control character")
    return (url[:start] if start >= 0 else url), target


def _header_lines(headers: dict[str, str]) -> list[bytes]:
    """Return the header lines in the form that libcurl expects.

    Raises
    ------
    NeverSent
        A value contains a line break, which would let a caller inject headers.
    """
    lines = [f"{name}: {value}" for name, value in headers.items() if value]
    if not headers.get("Content-Type"):
        # A name without a value stops libcurl from adding the header itself.
        lines.append("Content-Type:")
    text = "".join(lines)
    if "\r" in text or "\n" in text or "\0" in text:
        raise NeverSent("a header value has a line break; remove it from the value")
    return [line.encode() for line in lines]
