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
    from collections.abc import Collection

# Lowest status of a final answer; lower ones are interim.
MIN_FINAL_STATUS = 200
_SWITCHING_PROTOCOLS = b"101"
# Largest length that fits into a signed 64-bit number; it has 19 digits.
_MAX_LENGTH = 2**63 - 1
# Longest part of an invalid line that an error shows.
_MAX_SHOWN_BYTES = 80
_WHITESPACE = b" \t"

# The rules of RFC 9112, section 4, and RFC 9110, sections 5.5, 5.6.2 and 15. Possessive
# quantifiers keep the time linear in what does not match.
_STATUS_PATTERN = rb"HTTP/1\.([01]) ([1-5][0-9][0-9])(?: [\t\x20-\x7e\x80-\xff]*+)?\r\n"
_FIELD_PATTERN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++:[\t\x20-\x7e\x80-\xff]*+\r\n"
_STATUS_LINE = re.compile(_STATUS_PATTERN)
_FIELD_LINE = re.compile(_FIELD_PATTERN)
_HEAD = re.compile(rb"%b((?:%b)*+)" % (_STATUS_PATTERN, _FIELD_PATTERN))
# Name and value of a valid field line.
_FIELD = re.compile(rb"([^:]++):[ \t]*+([^\r]*+)\r\n")
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
    headers : dict of bytes to bytes
        The fields by name; the values of one that stands more than once are joined.
    length : int or None
        Bytes of the body; None if the head does not tell them.
    is_chunked : bool
        Whether the body arrives in chunks.
    """

    __slots__ = ("fields", "headers", "is_chunked", "length", "status")

    def __init__(
        self,
        status: int,
        fields: list[tuple[bytes, bytes]],
        headers: dict[bytes, bytes],
        length: int | None = None,
        is_chunked: bool = False,
    ):
        self.status = status
        self.fields = fields
        self.headers = headers
        self.length = length
        self.is_chunked = is_chunked

    @property
    def is_final(self) -> bool:
        """Whether no other head follows for the same request."""
        return self.status >= MIN_FINAL_STATUS


def parse_head(head: bytes, unique_names: Collection[bytes]) -> AnswerHead:
    """Parse a head.

    Parameters
    ----------
    head : bytes
        The status line and the field lines with their ends, without the empty line.
    unique_names : collection of bytes
        Lower-case names of fields that must not have two values. One that stands twice
        with the same value counts once.

    Raises
    ------
    InvalidAnswer
        A line is invalid, or the lines contradict each other.
    """
    lines = _HEAD.fullmatch(head)
    if lines is None:
        raise _find_invalid_line(head)
    minor_version, status, field_lines = lines.groups()
    if status == _SWITCHING_PROTOCOLS:
        raise InvalidAnswer("the answer switches to a protocol that was not offered")
    fields = [
        (name.lower(), value.rstrip(_WHITESPACE))
        for name, value in _FIELD.findall(field_lines)
    ]
    headers = dict(fields)
    if len(headers) < len(fields):
        fields = _merge_unique_fields(fields, {b"content-length", *unique_names})
        headers = _join_values(fields)
    length = headers.get(b"content-length")
    coding = headers.get(b"transfer-encoding")
    _check_framing(length, coding, minor_version == b"0")
    return AnswerHead(
        int(status),
        fields,
        headers,
        None if length is None else int(length),
        coding is not None,
    )


def _find_invalid_line(head: bytes) -> InvalidAnswer:
    """Return the error that names the first invalid line of a head."""
    first, *others = head.splitlines(keepends=True) or [b""]
    if _STATUS_LINE.fullmatch(first) is None:
        return _invalid_line("an invalid status line", first)
    invalid = (line for line in others if _FIELD_LINE.fullmatch(line) is None)
    return _invalid_line("a line that is no field", next(invalid, b""))


def _merge_unique_fields(
    fields: list[tuple[bytes, bytes]], unique_names: Collection[bytes]
) -> list[tuple[bytes, bytes]]:
    """Return fields in which those with unique names stand once.

    Raises
    ------
    InvalidAnswer
        One of them has two values.
    """
    merged: list[tuple[bytes, bytes]] = []
    values: dict[bytes, bytes] = {}
    for name, value in fields:
        if name in values:
            _check_equal(name, values[name], value)
            continue
        if name in unique_names:
            values[name] = value
        merged.append((name, value))
    return merged


def _join_values(fields: list[tuple[bytes, bytes]]) -> dict[bytes, bytes]:
    headers: dict[bytes, bytes] = {}
    for name, value in fields:
        known = headers.get(name)
        headers[name] = value if known is None else known + b", " + value
    return headers


def _check_equal(name: bytes, value: bytes, other: bytes) -> None:
    if value != other:
        shown = f"{_show(value)} and {_show(other)}"
        raise InvalidAnswer(f"the answer has two values of {name.decode()}: {shown}")


def _check_framing(length: bytes | None, coding: bytes | None, is_old: bool) -> None:
    """Check that the head tells in one way at most where the body ends.

    Parameters
    ----------
    length : bytes or None
        Value of the field for the length.
    coding : bytes or None
        Value of the field for the transfer coding.
    is_old : bool
        Whether the answer is one of HTTP/1.0, which knows no transfer coding.
    """
    if length is not None and not _is_length(length):
        raise InvalidAnswer(f"the answer has an invalid length: {_show(length)}")
    if coding is None:
        return
    if coding.lower() != b"chunked":
        raise InvalidAnswer(f"the answer has an unknown coding: {_show(coding)}")
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
