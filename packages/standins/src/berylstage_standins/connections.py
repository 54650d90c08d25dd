"""Connections that stay open and bring no answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tornado.iostream import StreamClosedError
from tornado.web import Finish

if TYPE_CHECKING:
    from tornado.web import RequestHandler

# Bytes read at once from a connection whose bytes nobody looks at.
_CHUNK = 65536


async def leave_unanswered(handler: RequestHandler) -> None:
    """Swallow what comes on a handler's connection until the other end closes it.

    Parameters
    ----------
    handler : RequestHandler

    Raises
    ------
    Finish
        Always: the handler has nothing more to do.
    """
    stream = handler.detach()
    while not stream.closed():
        try:
            await stream.read_bytes(_CHUNK, partial=True)
        except StreamClosedError:
            break
    raise Finish
