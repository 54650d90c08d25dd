"""Requests that offer to upgrade the protocol, which the server declines.

A server may ignore the offer and answer over HTTP/1.1. The parser takes it for
accepted, though: it skips the body, which follows like any other.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Header fields that say where a body ends.
_FRAMING_FIELDS = frozenset({"content-length", "transfer-encoding"})


def encode_head_without_offer(fields: Iterable[tuple[str, str]]) -> bytes:
    """Return a request head after which a parser reads the body that was skipped.

    Parameters
    ----------
    fields : iterable of tuple
        Names and values of the request's header fields.
    """
    lines = ["POST / HTTP/1.1"]
    lines += [
        f"{name}: {value}" for name, value in fields if name.lower() in _FRAMING_FIELDS
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
