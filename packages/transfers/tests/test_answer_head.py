"""Tests of the parser of heads and of the decoder of chunks, without libcurl."""

from __future__ import annotations

import pytest
from berylstage_transfers.answer_head import InvalidAnswer, parse_head
from berylstage_transfers.chunked_body import MAX_FRAMING_BYTES, ChunkedBody
from berylstage_transfers.raw_heads import MAX_RAW_BYTES, check_folding
from malformed_answers import (
    BODY,
    CHUNKED,
    INVALID_CHUNKS,
    INVALID_LENGTHS,
    INVALID_LINES,
    INVALID_STATUS_LINES,
    LENGTH,
    ODD_ANSWERS,
    STATUS,
)

NO_NAMES = frozenset()


def join_lines(*lines):
    """Return a head."""
    return b"\r\n".join([*lines, b""])


def split_answer(raw):
    """Return the head and the body of an answer."""
    head, _, body = raw.partition(b"\r\n\r\n")
    return head + b"\r\n", body


class TestParseHead:
    """libcurl refuses some of these heads itself, but not in all of its versions."""

    @pytest.mark.parametrize("name", INVALID_LINES)
    def test_invalid_line(self, name):
        # Guards against a line that the next reader takes for the length.
        with pytest.raises(InvalidAnswer):
            parse_head(join_lines(STATUS, INVALID_LINES[name], LENGTH), NO_NAMES)

    @pytest.mark.parametrize("name", INVALID_LENGTHS)
    def test_invalid_length(self, name):
        # Guards against a body that ends elsewhere than the server's.
        with pytest.raises(InvalidAnswer):
            parse_head(join_lines(STATUS, INVALID_LENGTHS[name]), NO_NAMES)

    @pytest.mark.parametrize("name", INVALID_STATUS_LINES)
    def test_invalid_status_line(self, name):
        # Guards against a status that no caller knows, and an error in a callback.
        with pytest.raises(InvalidAnswer):
            parse_head(join_lines(INVALID_STATUS_LINES[name], LENGTH), NO_NAMES)

    def test_fields_of_a_valid_head(self):
        lines = join_lines(STATUS, b"A: 1", b"Content-Length: 22", b"a:2", b"B:")
        head = parse_head(lines, NO_NAMES)
        assert (head.status, head.length, head.is_chunked) == (200, 22, False)
        assert head.headers == {b"a": b"1, 2", b"content-length": b"22", b"b": b""}
        assert len(head.fields) == 4

    def test_chunks(self):
        head = parse_head(join_lines(STATUS, CHUNKED), NO_NAMES)
        assert head.is_chunked
        assert head.length is None

    def test_unique_name_that_stands_twice_with_the_same_value(self):
        lines = join_lines(STATUS, b"Sum: 1", b"sum: 1 ")
        assert parse_head(lines, {b"sum"}).fields == [(b"sum", b"1")]

    def test_unique_name_with_two_values(self):
        # Guards against two readers that believe different ones.
        lines = join_lines(STATUS, b"Sum: 1", b"sum: 2")
        with pytest.raises(InvalidAnswer, match="two values of sum"):
            parse_head(lines, {b"sum"})

    def test_long_lines_take_no_time(self):
        # Guards against a server that occupies the process with one line.
        for filler in (b" ", b"\t ", b"a", b"a "):
            line = b"X-Filler:" + filler * 300_000 + b"\x00\r\n"
            with pytest.raises(InvalidAnswer):
                parse_head(STATUS + b"\r\n" + line, NO_NAMES)


class TestCheckFolding:
    HEAD = b"HTTP/1.1 200 OK\r\nA: b c\r\n"

    @pytest.mark.parametrize("fold", [b"\r\n ", b" \r\n\t", b"\r\n  \r\n ", b"\n "])
    def test_joined_line_is_refused(self, fold):
        # Guards against a length that was torn by a line break.
        with pytest.raises(InvalidAnswer):
            check_folding(self.HEAD.replace(b"b c", b"b" + fold + b"c"), self.HEAD)

    @pytest.mark.parametrize(
        "raw",
        [
            b"",
            HEAD,
            HEAD + b"\r\nbody\n with blanks\r\n too",
            HEAD[:20],
            HEAD[:18] + HEAD[20:],
            # The bytes between the line end and the blank were missed.
            HEAD[:17] + HEAD[19:],
        ],
    )
    def test_other_heads_are_not(self, raw):
        # Guards against a valid answer that is lost because of its body, or because
        # not all of its bytes were seen.
        check_folding(raw, self.HEAD)

    def test_long_lines_take_no_time(self):
        # Guards against a server that occupies the process with one line.
        check_folding(self.HEAD[:-3] + b" " * MAX_RAW_BYTES + b"c", self.HEAD)


class TestChunkedBody:
    def decode(self, data, size=1):
        """Return the body that has arrived in pieces of a size."""
        found = bytearray()

        def append(part):
            found.extend(part)
            return True

        body = ChunkedBody(append)
        for begin in range(0, len(data), size):
            assert body.feed(data[begin : begin + size])
        return bytes(found), body.is_complete

    @pytest.mark.parametrize("size", [1, 7, 1000])
    @pytest.mark.parametrize("name", INVALID_CHUNKS)
    def test_invalid_chunks(self, name, size):
        # Guards against a part of a body that passes for the whole.
        with pytest.raises(InvalidAnswer):
            self.decode(split_answer(INVALID_CHUNKS[name])[1], size)

    @pytest.mark.parametrize("size", [1, 7, 1000])
    @pytest.mark.parametrize(
        "name", [name for name, raw in ODD_ANSWERS.items() if b"hunked" in raw]
    )
    def test_valid_chunks(self, name, size):
        data = split_answer(ODD_ANSWERS[name])[1]
        assert self.decode(data, size) == (BODY, True)
        assert self.decode(data[:-1], size) == (BODY, False)

    @pytest.mark.parametrize(
        "stray", [b"stray", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"]
    )
    def test_bytes_after_the_body_are_ignored(self, stray):
        # Guards against another answer that is added to this one.
        data = b"2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n" + stray
        assert self.decode(data, 1000) == (b"body", True)
        assert self.decode(data, 1) == (b"body", True)

    @pytest.mark.parametrize(
        "start", [b"0\r\nX-Filler: ", b"5;", b"5\r\nabcde\r\n0\r\nX-Filler: "]
    )
    def test_framing_without_end(self, start):
        # Guards against a trailer that fills the memory.
        data = start + b"a" * 2 * MAX_FRAMING_BYTES
        with pytest.raises(InvalidAnswer):
            self.decode(data, 1000)

    def test_body_that_is_not_taken(self):
        # Guards against a body that is kept although it has no room.
        body = ChunkedBody(lambda part: False)
        assert not body.feed(b"5\r\nabcde\r\n")
