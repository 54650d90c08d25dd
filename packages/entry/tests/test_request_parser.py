"""Tests of the parser of requests."""

from __future__ import annotations

import pytest
from berylstage_entry.errors import BadRequest
from berylstage_entry.request_parser import RequestParser, RequestReceiver
from hypothesis import given
from hypothesis import strategies as st

LIMIT = 200
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"


class Recorder(RequestReceiver):
    """Records the parts of requests."""

    def __init__(self):
        self.heads = []
        self.bodies = []
        self.begun = self.completed = 0

    def begin_request(self):
        self.begun += 1

    def receive_head(self, head):
        self.heads.append((head.method, head.target, head.fields, head.keep_alive))
        self.bodies.append(b"")

    def receive_body(self, body):
        self.bodies[-1] += body

    def complete_request(self):
        self.completed += 1


def parse(*parts):
    """Return what the parser reports of the bytes."""
    recorder = Recorder()
    parser = RequestParser(recorder, lambda: LIMIT)
    for part in parts:
        parser.feed(part)
    return recorder


REQUESTS = (
    b"GET /a?b HTTP/1.1\r\n\r\n",
    b"\r\n\r\nGET /b HTTP/1.1\r\nHost:h\r\na:  x \r\nempty:\r\n\r\n",
    b"POST /c HTTP/1.1\r\nContent-Length: 8\r\n\r\n\r\n\r\nGET ",
    b"POST /d HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"6\r\n\r\n\r\n\r\n\r\n2;x=y\r\nab\r\n0\r\na: b\r\nc:\r\n\r\n",
    b"POST /e HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
    b"POST /f HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nfgh\r\n0\r\n\r\n",
)


class TestParts:
    @given(st.data())
    def test_requests_do_not_depend_on_the_parts_they_arrive_in(self, data):
        # Guards against requests that are cut at other places than their callers meant.
        stream = b"".join(data.draw(st.lists(st.sampled_from(REQUESTS), max_size=6)))
        sizes = st.integers(1, max(1, len(stream)))
        ends = sorted(data.draw(st.sets(sizes, max_size=20)))
        parts = [stream[a:b] for a, b in zip([0, *ends], [*ends, None], strict=True)]
        whole, split = parse(stream), parse(*parts)
        assert split.heads == whole.heads
        assert split.bodies == whole.bodies
        assert split.begun == split.completed == whole.completed

    def test_fields_of_a_head(self):
        (head,) = parse(REQUESTS[1]).heads
        fields = [("Host", "h"), ("a", "x"), ("empty", "")]
        assert head == ("GET", "/b", fields, True)

    def test_bodies(self):
        recorder = parse(*REQUESTS)
        assert recorder.bodies == [
            b"",
            b"",
            b"\r\n\r\nGET ",
            b"\r\n\r\n\r\nab",
            b"",
            b"fgh",
        ]
        assert recorder.completed == len(REQUESTS)


class TestLimits:
    @pytest.mark.parametrize("step", [1, 7, 10_000])
    @pytest.mark.parametrize(
        ("start", "filler"),
        [
            (b"GET / HTTP/1.1\r\na:", b"x"),
            (b"GET / HTTP/1.1\r\n", b"a:\r\n"),
            (b"GET /", b"x"),
            (b"", b"\r\n"),
            (b"", b"\n"),
        ],
        ids=["value", "lines", "target", "empty-lines", "line-feeds"],
    )
    def test_endless_head_is_refused_while_it_arrives(self, start, filler, step):
        # Guards against a head that is collected beyond the limit.
        data = start + filler * LIMIT * 2
        parser = RequestParser(Recorder(), lambda: LIMIT)
        taken = 0
        with pytest.raises(BadRequest):
            while taken < len(data):
                parser.feed(data[taken : taken + step])
                taken += step
        # An empty line may end the head.
        assert taken <= LIMIT + len(start) + len(b"\r\n")

    @pytest.mark.parametrize(
        ("start", "filler"),
        [(b"1;", b"x"), (b"", b"0"), (b"0\r\n", b"a:\r\n"), (b"0\r\na:", b"x")],
        ids=["extension", "size", "trailers", "trailer"],
    )
    def test_endless_framing_is_refused_while_it_arrives(self, start, filler):
        # Guards against a connection that is held open for as long as a caller sends.
        recorder = Recorder()
        parser = RequestParser(recorder, lambda: LIMIT)
        parser.feed(CHUNKED + start)
        with pytest.raises(BadRequest):
            for _ in range(2 * LIMIT):
                parser.feed(filler)
        assert recorder.completed == 0

    def test_chunks_of_one_byte_are_read(self):
        # Guards against refusals of bodies that are sent in short chunks.
        body = b"1\r\nx\r\n" * (2 * LIMIT) + b"0\r\n\r\n"
        recorder = parse(CHUNKED, *(bytes([byte]) for byte in body))
        assert recorder.bodies == [b"x" * (2 * LIMIT)]
        assert recorder.completed == 1
