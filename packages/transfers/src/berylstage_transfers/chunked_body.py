"""Decoding of bodies that arrive in chunks.

libcurl accepts a chunk size with other characters after it and skips them. The rest of
the body is then taken for the rest of a line, and a part of it for the whole.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from httptools import HttpParserError, HttpResponseParser

from berylstage_transfers.answer_head import InvalidAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
# Bytes that may arrive without a part of the body among them. A trailer without end
# would fill the parser's memory.
MAX_FRAMING_BYTES = 64 * 1024


class ChunkedBody:
    """Decodes one body.

    Parameters
    ----------
    append : callable
        Called with each part of the decoded body; returns false if no more is taken.

    Attributes
    ----------
    is_complete : bool
        Whether the last chunk and the trailers have arrived.
    """

    __slots__ = ("_append", "_framing_bytes", "_is_taken", "_parser", "is_complete")

    def __init__(self, append: Callable[[bytes], bool]):
        self._append = append
        self._framing_bytes = 0
        self._is_taken = True
        self.is_complete = False
        # Decodes the chunks of any answer, so it gets a head of its own.
        self._parser = HttpResponseParser(self)
        self._parser.feed_data(_HEAD)

    def feed(self, data: bytes) -> bool:
        """Decode further bytes; return whether more are taken.

        Bytes after the body are ignored.

        Raises
        ------
        InvalidAnswer
            They are no valid chunks.
        """
        if self.is_complete:
            return True
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except HttpParserError as exc:
            if not self.is_complete:
                raise InvalidAnswer(f"the answer's chunks are invalid: {exc}") from exc
        if self._framing_bytes > MAX_FRAMING_BYTES:
            raise InvalidAnswer(
                "the answer's chunks have a trailer or an extension that is too long"
            )
        return self._is_taken

    # Callbacks of httptools.

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        # After its end, the part belongs to another answer, which nobody awaits.
        if self.is_complete or not self._is_taken:
            return
        self._framing_bytes = 0
        self._is_taken = self._append(body)

    def on_message_complete(self) -> None:
        """Take note of the end of the body."""
        self.is_complete = True
