"""Strict reading of the heads of answers.

libcurl decides where the body of an answer ends. It skips lines that it does not
understand, so a malformed length counts as none, and the body as whole when its
connection closes. Whoever gets the answer next may understand such a line in another
way. So nothing of a head is used before each of its lines has been checked.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

# Lowest status of a final answer; lower ones are interim.
MIN_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = 101
# Largest length that fits into a signed 64-bit number; it has 19 digits.
_MAX_LENGTH = 2**63 - 1
# Longest part of an invalid line that an error shows.
_MAX_SHOWN_BYTES = 80
_WHITESPACE = b" \t"

# The rules of RFC 9112, section 4, and RFC 9110, sections 5.5, 5.6.2 and 15.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*)?\r\n"
)
_FIELD_LINE = re.compile(
    rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)\r\n"
)
_LENGTH = re.compile(rb"[0-9]{1,19}")


class InvalidAnswer(Exception):
    """The bytes of an answer violate HTTP/1.1."""


class AnswerHead:
    """The head of an answer, or of an interim one before it.

    Parameters
    ----------
    status : int
    fields : list of tuple
        Lower-case names and values of the fields, in their order.
    length : int or None
        Bytes of the body; None if the head does not tell them.
    is_chunked : bool
        Whether the body arrives in chunks.

    Attributes
    ----------
    headers : dict of bytes to bytes
        The fields by name; the values of one that stands more than once are joined.
    """

    __slots__ = ("fields", "headers", "is_chunked", "length", "status")

    def __init__(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        length: int | None = None,
        is_chunked: bool = False,
    ):
        self.status = status
        self.fields = fields
        self.length = length
        self.is_chunked = is_chunked
        self.headers: dict[bytes, bytes] = {}
        for name, value in fields:
            known = self.headers.get(name)
            self.headers[name] = value if known is None else known + b", " + value

    @property
    def is_final(self) -> bool:
        """Whether no other head follows for the same request."""
        return self.status >= MIN_FINAL_STATUS


def parse_head(lines: Sequence[bytes], unique_names: Collection[bytes]) -> AnswerHead:
    """Parse a head.

    Parameters
    ----------
    lines : sequence of bytes
        The status line and the field lines with their ends, without the empty line.
    unique_names : collection of bytes
        Lower-case names of fields that must not have two values. One that stands twice
        with the same value counts once.

    Raises
    ------
    InvalidAnswer
        A line is invalid, or the lines contradict each other.
    """
    if not lines:
        raise InvalidAnswer("the answer's head has no status line")
    status_line = _STATUS_LINE.fullmatch(lines[0])
    if status_line is None:
        raise _invalid_line("an invalid status line", lines[0])
    status = int(status_line[2])
    if status == _SWITCHING_PROTOCOLS:
        raise InvalidAnswer("the answer switches to a protocol that was not offered")
    fields: list[tuple[bytes, bytes]] = []
    unique_values: dict[bytes, bytes] = {}
    for line in lines[1:]:
        name, value = _parse_field(line)
        if name in unique_values:
            _check_equal(name, unique_values[name], value)
            continue
        if name == b"content-length" or name in unique_names:
            unique_values[name] = value
        fields.append((name, value))
    length = unique_values.get(b"content-length")
    codings = [value for name, value in fields if name == b"transfer-encoding"]
    _check_framing(length, codings, status_line[1] == b"0")
    return AnswerHead(
        status, fields, None if length is None else int(length), bool(codings)
    )


def _parse_field(line: bytes) -> tuple[bytes, bytes]:
    field_line = _FIELD_LINE.fullmatch(line)
    if field_line is None:
        raise _invalid_line("a line that is no field", line)
    return field_line[1].lower(), field_line[2].strip(_WHITESPACE)


def _check_equal(name: bytes, value: bytes, other: bytes) -> None:
    if value != other:
        shown = f"{_show(value)} and {_show(other)}"
        raise InvalidAnswer(f"the answer has two values of {name.decode()}: {shown}")


def _check_framing(length: bytes | None, codings: list[bytes], is_old: bool) -> None:
    """Check that the head tells in one way at most where the body ends.

    Parameters
    ----------
    length : bytes or None
        Value of the field for the length.
    codings : list of bytes
        Values of the fields for the transfer coding.
    is_old : bool
        Whether the answer is one of HTTP/1.0, which knows no transfer coding.
    """
    if length is not None and not _is_length(length):
        raise InvalidAnswer(f"the answer has an invalid length: {_show(length)}")
    if not codings:
        return
    if [coding.lower() for coding in codings] != [b"chunked"]:
        shown = ", ".join(map(_show, codings))
        raise InvalidAnswer(f"the answer has an unknown transfer coding: {shown}")
    if length is not None:
        raise InvalidAnswer("the answer has both a length and chunks")
    if is_old:
        raise InvalidAnswer("the answer has chunks, which HTTP/1.0 does not know")


def _is_length(value: bytes) -> bool:
    return _LENGTH.fullmatch(value) is not None and int(value) <= _MAX_LENGTH


def _invalid_line(what: str, line: bytes) -> InvalidAnswer:
    return InvalidAnswer(f"the answer's head has {what}: {_show(line)}")


def _show(data: bytes) -> str:
    """Return the beginning of some bytes as printable text."""
    return ascii(data[:_MAX_SHOWN_BYTES].decode("latin-1"))
