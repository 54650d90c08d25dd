"""HTTP responses and their encoding."""

from __future__ import annotations

import re
from http import HTTPStatus

from logbook import Logger

OK = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
BAD_REQUEST = 400
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Statuses whose responses have no body and therefore no Content-Length. Nor has one to
# HEAD: the length would be that of the body which the caller did not ask for.
_STATUSES_WITHOUT_BODY = frozenset({NO_CONTENT, NOT_MODIFIED})
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}
# Statuses of answers that are not interim.
FINAL_STATUSES = range(200, 600)
# Lower-case names of the headers that only this module writes.
_OWN_HEADERS = frozenset({"content-length", "connection", "transfer-encoding"})
# A name is a token, and a value has no control characters but the tab (RFC 9110).
_HEADER_LINE = re.compile(r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+: [\t\x20-\x7e\x80-\xff]*")

log = Logger(__name__)


class Response:
    """An HTTP response.

    Parameters
    ----------
    status : int
    headers : list of tuple
    body : bytes
    """

    __slots__ = ("body", "headers", "status")

    def __init__(
        self, status: int, headers: list[tuple[str, str]] | None = None, body=b""
    ):
        self.status = status
        self.headers = headers or []
        self.body = body


def build_text_response(
    status: int, text: str, headers: list[tuple[str, str]] | None = None
) -> Response:
    """Return a response that tells a person what to do.

    Parameters
    ----------
    status : int
    text : str
        One line, without data of the request.
    headers : list of tuple, optional
        Further headers.
    """
    kind = ("Content-Type", "text/plain; charset=utf-8")
    return Response(status, [kind, *(headers or [])], f"{text}\n".encode())


def encode_response(
    response: Response, closes_connection: bool, answers_head: bool = False
) -> bytes:
    """Encode a response as HTTP/1.1.

    A response that cannot be written as HTTP is replaced by one with status 502.

    Parameters
    ----------
    response : Response
    closes_connection : bool
        Whether the connection closes after the response.
    answers_head : bool
        Whether the request's method is HEAD, so that the response has no body whoever
        wrote it. The caller would read a body as the next response.

    Returns
    -------
    bytes
    """
    header_lines = [f"{name}: {value}" for name, value in response.headers]
    fault = _find_fault(response, header_lines)
    if fault:
        log.error("invalid response replaced", extra={"fault": fault})
        response = build_text_response(
            BAD_GATEWAY, "The answer cannot be written as HTTP. Ask its operator."
        )
        header_lines = [f"{name}: {value}" for name, value in response.headers]
    reason = _REASON_PHRASES.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {reason}", *header_lines]
    body = response.body
    if answers_head or response.status in _STATUSES_WITHOUT_BODY:
        body = b""
    else:
        lines.append(f"Content-Length: {len(body)}")
    if closes_connection:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + body


def _find_fault(response: Response, header_lines: list[str]) -> str:
    """Return why a response cannot be written; empty if it can.

    A line break in a value would inject a header or a second response, and a second
    length would leave it to the caller where the body ends.
    """
    if response.status not in FINAL_STATUSES:
        return f"status {response.status}"
    for line in header_lines:
        if _HEADER_LINE.fullmatch(line) is None:
            return f"header {line!a}"
    for name, _ in response.headers:
        if name.lower() in _OWN_HEADERS:
            return f"header {name} of its own"
    return ""
