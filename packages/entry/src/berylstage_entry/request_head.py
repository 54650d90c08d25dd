"""Heads of requests: their bytes while they arrive, and what they say."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.errors import BadRequest
from berylstage_entry.responses import BAD_REQUEST, HEADERS_TOO_LARGE

if TYPE_CHECKING:
    from collections.abc import Callable

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
# Bytes that may precede a request and are skipped.
_EMPTY_LINE_BYTES = b"\r\n"
_WHITESPACE = " \t"


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

    __slots__ = ("declared_bytes", "fields", "keep_alive", "method", "target")

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
        # Length of the body; None for a chunked body.
        self.declared_bytes = _find_declared_bytes(fields)


def _find_declared_bytes(fields: list[tuple[str, str]]) -> int | None:
    length = "0"
    for name, value in fields:
        key = name.lower()
        if key == "transfer-encoding":
            return None
        if key == "content-length":
            length = value
    return int(length) if length.isdecimal() else None


class HeadBuffer:
    """Collects the bytes of a request head and bounds them while they arrive.

    A head is kept as its bytes. As strings, one for each name and value, the lines of a
    head would take twenty times its size.

    Parameters
    ----------
    limit : callable
        Returns the largest number of bytes of all header lines; the request line, with
        the empty lines before it, may take as many.

    Attributes
    ----------
    is_complete : bool
        Whether the empty line that ends the head has arrived.
    """

    __slots__ = ("_bytes", "_empty_bytes", "_lines_start", "_limit", "is_complete")

    def __init__(self, limit: Callable[[], int]):
        self._limit = limit
        self.clear()

    def clear(self) -> None:
        """Expect the first byte of the next head."""
        self._bytes = bytearray()
        # Bytes of the empty lines before the request line.
        self._empty_bytes = 0
        # Position of the first header line; 0 until the request line is complete.
        self._lines_start = 0
        self.is_complete = False

    def __len__(self) -> int:
        return len(self._bytes)

    def take(self, data: bytes) -> int:
        """Take bytes up to the end of the head, and return their number.

        Raises
        ------
        BadRequest
            The head exceeds the limit.
        """
        taken = 0
        if not self._bytes:
            taken = self._skip_empty_lines(data)
        start = max(0, len(self._bytes) - len(HEAD_END) + 1)
        known = len(self._bytes)
        self._bytes += data[taken:]
        self._find_request_line()
        end = self._bytes.find(HEAD_END, start)
        if end >= 0:
            end += len(HEAD_END)
            del self._bytes[end:]
            self.is_complete = True
        self._check_size()
        return taken + len(self._bytes) - known

    def _skip_empty_lines(self, data: bytes) -> int:
        size = len(data) - len(data.lstrip(_EMPTY_LINE_BYTES))
        self._empty_bytes += size
        if self._empty_bytes > self._limit():
            raise BadRequest(BAD_REQUEST, "too many empty lines before a request")
        return size

    def _find_request_line(self) -> None:
        if not self._lines_start:
            end = self._bytes.find(LINE_END)
            self._lines_start = end + len(LINE_END) if end >= 0 else 0

    def _check_size(self) -> None:
        # The empty line at the end is no header line.
        lines_bytes = len(self._bytes) - self._lines_start - len(LINE_END)
        request_line_bytes = self._lines_start
        if not self._lines_start:
            request_line_bytes, lines_bytes = len(self._bytes), 0
        request_line_bytes += self._empty_bytes
        if max(lines_bytes, request_line_bytes) > self._limit():
            raise BadRequest(HEADERS_TOO_LARGE, "request head exceeds the size limit")

    def parse_fields(self) -> list[tuple[str, str]]:
        """Return the header fields of a complete head that a parser has accepted."""
        text = self._bytes[self._lines_start : -len(HEAD_END)].decode("latin-1")
        if not text:
            return []
        fields = []
        for line in text.split("\r\n"):
            name, _, value = line.partition(":")
            fields.append((name, value.strip(_WHITESPACE)))
        return fields
