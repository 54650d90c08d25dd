"""Answers to request 1 that are no valid HTTP, and odd ones that are."""

from __future__ import annotations

BODY = b"0123456789abcdef-body-"
STATUS = b"HTTP/1.1 200 OK"
ID = b"Request-Id: 1"
LENGTH = b"Content-Length: 22"
CHUNKED = b"Transfer-Encoding: chunked"


def build_answer(*lines, body=BODY, status=STATUS):
    """Return an answer with the given field lines."""
    return b"\r\n".join([status, ID, *lines, b"", body])


def build_chunks(size=b"16", last=b"0\r\n\r\n", end=b"\r\n", body=BODY):
    """Return an answer in chunks, the first of which has a given size line."""
    return build_answer(CHUNKED, body=size + end + body + end + last)


# Lines that are no field; the answer that holds one tells its length besides.
INVALID_LINES = {
    "name with a blank": b"X Field: a",
    "name with a tab": b"X\tField: a",
    "blank before the colon": b"X-Field : a",
    "tab before the colon": b"X-Field\t: a",
    "name with \\x00": b"X-\x00Field: a",
    "name with \\x01": b"X-\x01Field: a",
    "name with \\x0b": b"X-\x0bField: a",
    "name with \\x1f": b"X-\x1fField: a",
    "name with \\x7f": b"X-\x7fField: a",
    "name beyond ASCII": b"X-F\xc3\xa9ld: a",
    "name with parentheses": b"X-Field(1): a",
    "name with a slash": b"X/Field: a",
    "name with an at sign": b"X@Field: a",
    "name with brackets": b"X-Field[1]: a",
    "name with quotes": b'"X-Field": a',
    "no name": b": a",
    "no colon": b"X-Field a",
    "value with \\x00": b"X-Field: a\x00b",
    "value with \\x01": b"X-Field: a\x01b",
    "value with CR": b"X-Field: a\rb",
    "second blank before the length": b"Content-Length : 3",
    "coding with a blank in its name": b"Transfer-Encoding : chunked",
}
# Lines in place of the one that tells the length of the body.
INVALID_LENGTHS = {
    "length with a blank before the colon": b"Content-Length : 22",
    "length with a tab before the colon": b"Content-Length\t: 22",
    "length with a blank in its name": b"Content -Length: 22",
    "length with a control byte in its name": b"Content-Length\x01: 22",
    "length on a line that begins with a blank": b" Content-Length: 22",
    "length without a colon": b"Content-Length 22",
    "length with a letter after it": b"Content-Length: 3x",
    "length with a sign": b"Content-Length: +3",
    "negative length": b"Content-Length: -3",
    "length of two numbers": b"Content-Length: 3 3",
    "length as a list": b"Content-Length: 3, 5",
    "length as a list of the same": b"Content-Length: 22, 22",
    "hexadecimal length": b"Content-Length: 0x16",
    "length with a fraction": b"Content-Length: 3.0",
    "length with a parameter": b"Content-Length: 3;a",
    "length in quotes": b'Content-Length: "3"',
    "length of other digits": b"Content-Length: \xd9\xa3",
    "empty length": b"Content-Length:",
    "length with NUL": b"Content-Length: 3\x00",
    "length of 40 digits": b"Content-Length: " + b"9" * 40,
    "length of 5,000 digits": b"Content-Length: " + b"0" * 4998 + b"22",
    "length of 2^63": b"Content-Length: 9223372036854775808",
    "length of 2^64 + 3": b"Content-Length: 18446744073709551619",
    "two lengths": b"Content-Length: 22\r\nContent-Length: 3",
    "length and coding": b"Content-Length: 22\r\nTransfer-Encoding: chunked",
    "unknown coding": b"Transfer-Encoding: rot13",
    "coding that is none": b"Transfer-Encoding: identity",
    "coding beside chunks": b"Transfer-Encoding: gzip, chunked",
    "coding twice": b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    "coding with NUL": b"Transfer-Encoding: chunked\x00",
    "empty coding": b"Transfer-Encoding:",
}
INVALID_STATUS_LINES = {
    "status 000": b"HTTP/1.1 000 OK",
    "status 099": b"HTTP/1.1 099 OK",
    "status of two digits": b"HTTP/1.1 20 OK",
    "status of four digits": b"HTTP/1.1 2000 OK",
    "status 600": b"HTTP/1.1 600 OK",
    "status 999": b"HTTP/1.1 999 OK",
    "status with a letter after it": b"HTTP/1.1 200x OK",
    "status with a letter in it": b"HTTP/1.1 2x0 OK",
    "status with a sign": b"HTTP/1.1 +20 OK",
    "negative status": b"HTTP/1.1 -20 OK",
    "no status": b"HTTP/1.1 OK",
    "reason with a control byte": b"HTTP/1.1 200 O\x01K",
    "other protocol": b"HTPP/1.1 200 OK",
    "other version": b"HTTP/1.2 200 OK",
    "major version": b"HTTP/3.1 200 OK",
    "upgrade that nobody asked for": b"HTTP/1.1 101 Switching Protocols",
}
INVALID_CHUNKS = {
    "size with a letter after it": build_chunks(size=b"16x"),
    "size cut by a letter": build_chunks(size=b"5x", body=BODY[:5]),
    "size with a blank after it": build_chunks(size=b"16 "),
    "size with a sign": build_chunks(size=b"+16"),
    "size with a prefix": build_chunks(size=b"0x16"),
    "no size": build_chunks(size=b""),
    "size beyond 64 bits": build_chunks(size=b"F" * 17),
    "chunk longer than its size": build_chunks(size=b"5"),
    "lines that end with LF": build_chunks(end=b"\n", last=b"0\n\n"),
    "trailer with a blank in its name": build_chunks(last=b"0\r\nX Sum: 1\r\n\r\n"),
    "trailer without a colon": build_chunks(last=b"0\r\nX-Sum 1\r\n\r\n"),
    "trailer with a length": build_chunks(last=b"0\r\nContent-Length: 3\r\n\r\n"),
    "trailer on two lines": build_chunks(last=b"0\r\nX-Sum: 1\r\n 2\r\n\r\n"),
}
INVALID_FOLDS = {
    "length on a second line": build_answer(b"Content-Length:\r\n 3"),
    "length after a line of blanks": build_answer(b"Content-Length:\r\n  \r\n 3"),
    "field on two lines": build_answer(LENGTH, b"X-Field: a\r\n\tb"),
    "status line on two lines": build_answer(LENGTH, status=STATUS + b"\r\n b: c"),
}
OTHERS = {
    "two ids": build_answer(b"Request-Id: 2", LENGTH),
    "two ids, the right one last": build_answer(LENGTH).replace(
        ID, b"Request-Id: 2\r\nRequest-Id: 1"
    ),
    "two values that must not differ": build_answer(b"Sum: 1", b"Sum: 2", LENGTH),
    "line that ends with LF": build_answer(b"X-Field: a\nX-Other: b", LENGTH),
    "head whose lines end with LF": build_answer(LENGTH).replace(b"\r\n", b"\n"),
    "empty line that ends with LF": build_answer(LENGTH).replace(
        b"\r\n\r\n", b"\r\n\n"
    ),
    "malformed interim answer": b"HTTP/1.1 103 Early Hints\r\nX Link: x\r\n\r\n"
    + build_answer(LENGTH),
    "interim answer with status 000": b"HTTP/1.1 000 Continue\r\n\r\n"
    + build_answer(LENGTH),
    "chunks in HTTP/1.0": build_chunks().replace(b"HTTP/1.1", b"HTTP/1.0"),
}

MALFORMED_ANSWERS = {
    **{name: build_answer(line, LENGTH) for name, line in INVALID_LINES.items()},
    **{name: build_answer(line) for name, line in INVALID_LENGTHS.items()},
    **{
        name: build_answer(LENGTH, status=line)
        for name, line in INVALID_STATUS_LINES.items()
    },
    **INVALID_CHUNKS,
    **INVALID_FOLDS,
    **OTHERS,
}

# Valid answers whose body is ``BODY``.
ODD_ANSWERS = {
    "no reason": build_answer(LENGTH, status=b"HTTP/1.1 200"),
    "reason beyond ASCII": build_answer(LENGTH, status=STATUS + b" \xc3\xa9"),
    "no blank after the colon": build_answer(b"Content-Length:22"),
    "blanks around the value": build_answer(b"Content-Length: \t22 \t"),
    "length twice": build_answer(LENGTH, LENGTH),
    "length with zeros before it": build_answer(b"Content-Length: 0022"),
    "value beyond ASCII": build_answer(LENGTH, b"X-Field: \xc3\xa9"),
    "empty value": build_answer(LENGTH, b"X-Field:"),
    "name with all characters": build_answer(LENGTH, b"!#$%&'*+-.^_`|~09azAZ: a"),
    "coding in other case": build_chunks().replace(b"chunked", b"Chunked"),
    "size with zeros before it": build_chunks(size=b"0016"),
    "size in lower case": build_chunks(size=b"16"),
    "extension": build_chunks(size=b'16;a=b;c="d e"'),
    "trailer": build_chunks(last=b"0\r\nX-Sum: 1\r\n\r\n"),
    "two interim answers": b"HTTP/1.1 100 Continue\r\n\r\n"
    b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + build_answer(LENGTH),
}
