"""Parsing of the requests that arrive on one connection."""

from __future__ import annotations

from abc import ABC, abstractmethod

from httptools import HttpParserUpgrade, HttpRequestParser

# Maximum bytes of a request head that are read. Up to this size, a head that exceeds
# the configured limit is answered with status 431.
MAX_HEAD_BYTES = 256 * 1024
# Header fields that say where a body ends.
_FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})


class RequestHead:
    """The head of a request.

    Parameters
    ----------
    method : str
    target : str
        Request target, mostly a path with a query.
    fields : list of tuple
        Names and values of the header fields, in their order.
    keep_alive : bool
        Whether further requests may follow on the connection.
    """

    __slots__ = ("fields", "keep_alive", "method", "target")

    def __init__(
        self,
        method: str,
        target: str,
        fields: list[tuple[str, str]],
        keep_alive: bool,
    ):
        self.method = method
        self.target = target
        self.fields = fields
        self.keep_alive = keep_alive


class RequestReceiver(ABC):
    """Gets the parts of the requests that a parser reads."""

    @abstractmethod
    def begin_request(self) -> None:
        """Take note of the first byte of a request."""

    @abstractmethod
    def receive_head(self, head: RequestHead) -> None:
        """Take the head of the request that has begun."""

    @abstractmethod
    def receive_body(self, body: bytes) -> None:
        """Take a part of the body."""

    @abstractmethod
    def complete_request(self) -> None:
        """Take note of the end of the request."""


class RequestParser:
    """Parses requests, and declines offers to upgrade the protocol.

    A server may ignore such an offer and go on with HTTP/1.1. The parser of httptools
    takes it for accepted, though: it skips the body, which follows like any other. So
    another parser reads it, prepared with a head that offers nothing.

    Parameters
    ----------
    receiver : RequestReceiver
    """

    __slots__ = (
        "_fields",
        "_head_bytes",
        "_is_in_head",
        "_is_preparing",
        "_keep_alive",
        "_parser",
        "_receiver",
        "_skips_body",
        "_target",
    )

    def __init__(self, receiver: RequestReceiver):
        self._receiver = receiver
        self._parser = HttpRequestParser(self)
        self._target = b""
        self._fields: list[tuple[str, str]] = []
        self._keep_alive = True
        self._is_in_head = True
        self._head_bytes = 0
        # Whether the parser skips the body because of an offer, and whether another
        # parser is being prepared to read it.
        self._skips_body = False
        self._is_preparing = False

    def feed(self, data: bytes) -> None:
        """Parse further bytes.

        Raises
        ------
        HttpParserError
            They are no valid HTTP.
        HttpParserUpgrade
            The bytes after a CONNECT request are meant for its destination.
        """
        if self._is_in_head:
            self._head_bytes += len(data)
        while True:
            try:
                self._parser.feed_data(data)
                return
            except HttpParserUpgrade as exc:
                if not self._skips_body:
                    raise
                data = data[exc.args[0] :]
            self._prepare_for_body()

    @property
    def is_head_too_large(self) -> bool:
        """Whether the head that is being read exceeds the maximum."""
        return self._is_in_head and self._head_bytes > MAX_HEAD_BYTES

    def _prepare_for_body(self) -> None:
        """Replace the parser by one that expects the skipped body."""
        self._skips_body = False
        self._is_preparing = True
        self._parser = HttpRequestParser(self)
        lines = ["POST / HTTP/1.1"]
        lines += [f"{n}: {v}" for n, v in self._fields if n.lower() in _FRAMING_FIELDS]
        if not self._keep_alive:
            lines.append("Connection: close")
        self._parser.feed_data(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    # Callbacks of httptools.

    def on_message_begin(self) -> None:
        """Start with a new request."""
        if self._is_preparing:
            return
        self._target = b""
        self._fields = []
        self._is_in_head = True
        self._receiver.begin_request()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self._is_preparing:
            self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailers, which nothing uses, are dropped."""
        if self._is_in_head and not self._is_preparing:
            self._fields.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        if self._is_preparing:
            self._is_preparing = False
            return
        self._is_in_head = False
        self._head_bytes = 0
        method = self._parser.get_method().decode("ascii")
        self._keep_alive = self._parser.should_keep_alive()
        self._skips_body = method != "CONNECT" and self._parser.should_upgrade()
        target = self._target.decode("latin-1")
        self._receiver.receive_head(
            RequestHead(method, target, self._fields, self._keep_alive)
        )

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        self._receiver.receive_body(body)

    def on_message_complete(self) -> None:
        """Pass the end of the request on, unless its body was skipped."""
        if self._skips_body:
            return
        self._head_bytes = 0
        self._is_in_head = True
        self._receiver.complete_request()
