"""What goes back to a caller, and its bytes."""

from __future__ import annotations

from http import HTTPStatus

OK = 200
NO_CONTENT = 204
NOT_MODIFIED = 304
BAD_REQUEST = 400
TOO_LARGE = 413
HEAD_TOO_LARGE = 431
BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504

# Statuses whose answers have no body, and so no length.
_BODILESS = frozenset({NO_CONTENT, NOT_MODIFIED})
_REASONS = {status.value: status.phrase for status in HTTPStatus}


class Reply:
    """What goes back to a caller.

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


def reply_bytes(reply: Reply, closing: bool) -> bytes:
    """Return a reply as it is sent.

    Parameters
    ----------
    reply : Reply
    closing : bool
        Whether the connection ends with it.

    Returns
    -------
    bytes
    """
    reason = _REASONS.get(reply.status, "Unknown")
    lines = [f"HTTP/1.1 {reply.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in reply.headers if _is_clean(value)]
    if reply.status not in _BODILESS:
        lines.append(f"Content-Length: {len(reply.body)}")
    if closing:
        lines.append("Connection: close")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + reply.body


def _is_clean(value: str) -> bool:
    # A line break in it would begin a header, or an answer, that nobody made.
    return "\r" not in value and "\n" not in value
