"""Tests of the parser of heads, without libcurl."""

from __future__ import annotations

import pytest
from berylstage_transfers.answer_head import InvalidAnswer, parse_head
from malformed_answers import (
    CHUNKED,
    INVALID_LENGTHS,
    INVALID_LINES,
    INVALID_STATUS_LINES,
    LENGTH,
    STATUS,
)

NO_NAMES = frozenset()


def split_lines(*lines):
    """Return lines with their ends, as libcurl passes them on."""
    return [part + b"\r\n" for line in lines for part in line.split(b"\r\n")]


class TestParseHead:
    """libcurl refuses some of these heads itself, but not in all of its versions."""

    @pytest.mark.parametrize("name", INVALID_LINES)
    def test_invalid_line(self, name):
        # Guards against a line that the next reader takes for the length.
        with pytest.raises(InvalidAnswer):
            parse_head(split_lines(STATUS, INVALID_LINES[name], LENGTH), NO_NAMES)

    @pytest.mark.parametrize("name", INVALID_LENGTHS)
    def test_invalid_length(self, name):
        # Guards against a body that ends elsewhere than the server's.
        with pytest.raises(InvalidAnswer):
            parse_head(split_lines(STATUS, INVALID_LENGTHS[name]), NO_NAMES)

    @pytest.mark.parametrize("name", INVALID_STATUS_LINES)
    def test_invalid_status_line(self, name):
        # Guards against a status that no caller knows, and an error in a callback.
        with pytest.raises(InvalidAnswer):
            parse_head(split_lines(INVALID_STATUS_LINES[name], LENGTH), NO_NAMES)

    def test_fields_of_a_valid_head(self):
        lines = split_lines(STATUS, b"A: 1", b"Content-Length: 22", b"a:2", b"B:")
        head = parse_head(lines, NO_NAMES)
        assert (head.status, head.length, head.is_chunked) == (200, 22, False)
        assert head.headers == {b"a": b"1, 2", b"content-length": b"22", b"b": b""}
        assert len(head.fields) == 4

    def test_chunks(self):
        head = parse_head(split_lines(STATUS, CHUNKED), NO_NAMES)
        assert head.is_chunked
        assert head.length is None

    def test_unique_name_that_stands_twice_with_the_same_value(self):
        lines = split_lines(STATUS, b"Sum: 1", b"sum: 1 ")
        assert parse_head(lines, {b"sum"}).fields == [(b"sum", b"1")]

    def test_unique_name_with_two_values(self):
        # Guards against two readers that believe different ones.
        lines = split_lines(STATUS, b"Sum: 1", b"sum: 2")
        with pytest.raises(InvalidAnswer, match="two values of sum"):
            parse_head(lines, {b"sum"})

    def test_long_lines_take_no_time(self):
        # Guards against a server that occupies the process with one line.
        for filler in (b" ", b"\t ", b"a", b"a "):
            line = b"X-Filler:" + filler * 300_000 + b"\x00\r\n"
            with pytest.raises(InvalidAnswer):
                parse_head([STATUS + b"\r\n", line], NO_NAMES)
