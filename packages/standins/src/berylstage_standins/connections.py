"""Connections that stay open without an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.web import Finish

if TYPE_CHECKING:
    from tornado.web import RequestHandler

# Largest read from a connection whose data is discarded.
_DISCARD_CHUNK_BYTES = 65536


async def leave_unanswered(handler: RequestHandler) -> None:
    """Discard the data on a handler's connection until the peer closes it.

    Parameters
    ----------
    handler : RequestHandler

    Raises
    ------
    Finish
        Always, so that Tornado writes no answer.
    """
    stream = handler.detach()
    while not stream.closed():
        try:
            await stream.read_bytes(_DISCARD_CHUNK_BYTES, partial=True)
        except StreamClosedError:
            break
    raise Finish
