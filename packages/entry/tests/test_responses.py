"""Tests of the encoding of responses."""

from __future__ import annotations

import pytest
from berylstage_entry.responses import (
    Response,
    build_text_response,
    encode_response,
)

SIGNATURE = ("x-signature", "x")
TEXT = build_text_response(401, "Ask for a key.")
# It is replaced by a text.
INVALID = Response(200, [("x field", "1")], b"body")


class TestEncodeResponse:
    def test_valid_response(self):
        headers = [("x-field", "caf\xe9 \t1"), ("set-cookie", "a"), ("set-cookie", "b")]
        assert encode_response(Response(200, headers, b"body"), True) == (
            b"HTTP/1.1 200 OK\r\nx-field: caf\xe9 \t1\r\nset-cookie: a\r\n"
            b"set-cookie: b\r\nContent-Length: 4\r\nConnection: close\r\n\r\nbody"
        )

    @pytest.mark.parametrize("status", [204, 304])
    def test_body_of_a_status_without_one_is_left_out(self, status):
        # Guards against bytes that pass for the next response.
        raw = encode_response(Response(status, [], b"body"), False)
        assert raw.endswith(b"\r\n\r\n")
        assert b"Content-Length" not in raw

    @pytest.mark.parametrize("response", [TEXT, Response(200, [], b"body"), INVALID])
    def test_response_to_head_has_no_body(self, response):
        # Guards against a body that the caller reads as its next response.
        raw = encode_response(response, False, answers_head=True)
        assert raw.endswith(b"\r\n\r\n")
        assert b"Content-Length" not in raw

    @pytest.mark.parametrize(
        ("name", "value"),
        [
            ("x field", "1"),
            ("x-field ", "1"),
            ("x\x01field", "1"),
            ("x\r\nfield", "1"),
            ("", "1"),
            ("x-f\xe9ld", "1"),
            ("x-field", "1\r\nx: y"),
            ("x-field", "1\n"),
            ("x-field", "1\x00"),
            ("x-field", "\u20ac"),
            ("content-length", "3"),
            ("Content-Length", "22"),
            ("transfer-encoding", "chunked"),
            ("Connection", "keep-alive"),
        ],
    )
    def test_header_that_is_none_is_not_written(self, name, value):
        # Guards against a response, whoever made it, that two callers read in two ways.
        raw = encode_response(Response(200, [SIGNATURE, (name, value)], b"body"), False)
        assert raw.startswith(b"HTTP/1.1 502 Bad Gateway\r\n")
        assert b"signature" not in raw
        assert raw.lower().count(b"content-length") == 1

    @pytest.mark.parametrize("status", [0, 20, 100, 101, 600, 2000, "200", None])
    def test_status_that_is_none_is_not_written(self, status):
        # Guards against a status that no caller knows.
        raw = encode_response(Response(status, [], b"body"), False)
        assert raw.startswith(b"HTTP/1.1 502 Bad Gateway\r\n")
