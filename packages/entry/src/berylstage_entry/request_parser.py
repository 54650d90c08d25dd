"""Parsing of the requests that arrive on one connection."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from httptools import HttpParserUpgrade, HttpRequestParser

from berylstage_entry.errors import BadRequest
from berylstage_entry.request_head import HEAD_END, HeadBuffer, RequestHead
from berylstage_entry.responses import BAD_REQUEST

if TYPE_CHECKING:
    from collections.abc import Callable

# Bytes beside the data of a chunk of one byte, the shortest one.
_CHUNK_FRAMING_BYTES = len(b"1\r\n" + b"\r\n")
# Header fields that say where a body ends.
_FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})


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

    The bytes are passed to the parser of httptools in parts, none of which continues
    behind the end of a head or of a body. So what precedes and follows a body can be
    counted to the byte.

    A server may ignore an offer to upgrade and go on with HTTP/1.1. The parser of
    httptools takes it for accepted, though: it skips the body, which follows like any
    other. So another parser reads it, prepared with a head that offers nothing.

    Parameters
    ----------
    receiver : RequestReceiver
    head_limit : callable
        Returns the largest number of bytes of the header lines of a request.
    """

    __slots__ = (
        "_body_bytes",
        "_body_left",
        "_chunked_bytes",
        "_head",
        "_head_limit",
        "_is_in_head",
        "_is_preparing",
        "_last_bytes",
        "_parser",
        "_receiver",
        "_request_head",
        "_skips_body",
        "_target",
    )

    def __init__(self, receiver: RequestReceiver, head_limit: Callable[[], int]):
        self._receiver = receiver
        self._parser = HttpRequestParser(self)
        self._head = HeadBuffer(head_limit)
        self._head_limit = head_limit
        self._target = b""
        self._is_in_head = True
        # Bytes of the body that are still to come; None in a chunked body.
        self._body_left: int | None = None
        # Bytes of a chunked body on the wire, and those of the body itself.
        self._chunked_bytes = 0
        self._body_bytes = 0
        # Last bytes of a chunked body, in which its end may have begun.
        self._last_bytes = b""
        # Whether the parser skips the body because of an offer, and whether another
        # parser is being prepared to read it.
        self._skips_body = False
        self._is_preparing = False
        self._request_head: RequestHead | None = None

    def feed(self, data: bytes) -> None:
        """Parse further bytes.

        Raises
        ------
        BadRequest
            The request exceeds a limit.
        HttpParserError
            They are no valid HTTP.
        HttpParserUpgrade
            The bytes after a CONNECT request are meant for its destination.
        """
        while data:
            size = self._head.take(data) if self._is_in_head else self._take_body(data)
            self._feed_part(data[:size])
            self._check_framing()
            if not size or (self._is_in_head and self._head.is_complete):
                # The head and the parser of httptools disagree on where a part ends.
                raise BadRequest(BAD_REQUEST, "the end of the request is not clear")
            data = data[size:]

    @property
    def unfinished_head_bytes(self) -> int:
        """Bytes of the head that is being received."""
        return len(self._head)

    def _take_body(self, data: bytes) -> int:
        """Return the number of bytes that surely belong to the request."""
        if self._body_left is not None:
            size = min(self._body_left, len(data))
            self._body_left -= size
            return size
        # A chunked body ends with an empty line.
        known = len(self._last_bytes)
        end = (self._last_bytes + data).find(HEAD_END)
        size = end + len(HEAD_END) - known if end >= 0 else len(data)
        self._last_bytes = (self._last_bytes + data[:size])[1 - len(HEAD_END) :]
        self._chunked_bytes += size
        return size

    def _check_framing(self) -> None:
        """Check the bytes around the chunks of a body, and those of its trailers.

        Raises
        ------
        BadRequest
            They exceed the limit of a head, beside what chunks of one byte need.
        """
        framing_bytes = self._chunked_bytes - self._body_bytes
        allowed_bytes = self._head_limit() + _CHUNK_FRAMING_BYTES * self._body_bytes
        if framing_bytes > allowed_bytes:
            raise BadRequest(
                BAD_REQUEST, "the sizes, extensions and trailers of chunks are too long"
            )

    def _feed_part(self, data: bytes) -> None:
        try:
            self._parser.feed_data(data)
        except HttpParserUpgrade:
            if not self._skips_body:
                raise
            self._prepare_for_body()

    def _prepare_for_body(self) -> None:
        """Replace the parser by one that expects the skipped body."""
        assert self._request_head is not None
        head = self._request_head
        self._skips_body = False
        self._is_preparing = True
        self._parser = HttpRequestParser(self)
        lines = ["POST / HTTP/1.1"]
        lines += [f"{n}: {v}" for n, v in head.fields if n.lower() in _FRAMING_FIELDS]
        if not head.keep_alive:
            lines.append("Connection: close")
        self._request_head = None
        self._parser.feed_data(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))

    # Callbacks of httptools. It reports no fields, and therefore stores none: those of
    # the head are read from its bytes, and trailers are not used.

    def on_message_begin(self) -> None:
        """Start with a new request."""
        if self._is_preparing:
            return
        self._target = b""
        self._receiver.begin_request()

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        if not self._is_preparing:
            self._target += url

    def on_headers_complete(self) -> None:
        """Pass the head on."""
        if self._is_preparing:
            self._is_preparing = False
            return
        method = self._parser.get_method().decode("ascii")
        head = RequestHead(
            method,
            self._target.decode("latin-1"),
            self._head.parse_fields(),
            self._parser.should_keep_alive(),
        )
        self._is_in_head = False
        self._head.clear()
        self._target = b""
        self._body_left = head.declared_bytes
        self._last_bytes = b""
        self._chunked_bytes = self._body_bytes = 0
        self._skips_body = method != "CONNECT" and self._parser.should_upgrade()
        if self._skips_body:
            self._request_head = head
        self._receiver.receive_head(head)

    def on_body(self, body: bytes) -> None:
        """Pass a part of the body on."""
        self._body_bytes += len(body)
        self._receiver.receive_body(body)

    def on_message_complete(self) -> None:
        """Pass the end of the request on, unless its body was skipped."""
        if self._skips_body:
            return
        self._is_in_head = True
        self._receiver.complete_request()
