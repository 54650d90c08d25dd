"""HTTP responses and their encoding."""

from __future__ import annotations

from http import HTTPStatus

OK = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
BAD_REQUEST = 400
CONTENT_TOO_LARGE = 413
HEADERS_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Statuses whose responses have no body and therefore no Content-Length.
_STATUSES_WITHOUT_BODY = frozenset({NO_CONTENT, NOT_MODIFIED})
_REASON_PHRASES = {status.value: status.phrase for status in HTTPStatus}


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


def encode_response(response: Response, closes_connection: bool) -> bytes:
    """Encode a response as HTTP/1.1.

    Parameters
    ----------
    response : Response
    closes_connection : bool
        Whether the connection closes after the response.

    Returns
    -------
    bytes
    """
    reason = _REASON_PHRASES.get(response.status, "Unknown")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [
        f"{name}: {value}"
        for name, value in response.headers
        if _has_no_line_break(value)
    ]
    if response.status not in _STATUSES_WITHOUT_BODY:
        lines.append(f"Content-Length: {len(response.body)}")
    if closes_connection:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + response.body


def _has_no_line_break(value: str) -> bool:
    # A line break in a value would inject a header or a second response.
    return "\r" not in value and "\n" not in value
