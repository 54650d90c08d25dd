"""Connections that the kernel has established and nobody has accepted yet."""

from __future__ import annotations

import errno
from typing import TYPE_CHECKING

from logbook import Logger

if TYPE_CHECKING:
    from socket import socket

# Calls of accept in one turn of the event loop, above the length of any listen queue.
# Callers that keep connecting must not hold up the loop.
MAX_ACCEPTS = 2048
# Errors that concern the process rather than the next connection in the queue.
OUT_OF_RESOURCES = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})

log = Logger(__name__)


class AcceptQueue:
    """Accept queue of a listening socket.

    Closing a listening socket resets all connections in its accept queue, even if whole
    requests have arrived on them. An event loop that was suspended or late has such
    connections, and their callers see a reset without an answer. A server therefore
    stops listening only in a turn of the event loop in which the queue was found empty.

    Parameters
    ----------
    sock : socket
        A listening socket that does not block.

    Attributes
    ----------
    is_empty : bool
        Whether the last call has left no connection in the queue.
    lacks_resources : bool
        Whether the last call has left connections because no descriptor was free.
    """

    __slots__ = ("_sock", "is_empty", "lacks_resources")

    def __init__(self, sock: socket):
        self._sock = sock
        self.is_empty = False
        self.lacks_resources = False

    def accept_all(self) -> list[socket]:
        """Accept all connections in the queue, as `accept` does."""
        return self.accept(MAX_ACCEPTS)

    def accept(self, number: int) -> list[socket]:
        """Accept connections in the queue without waiting.

        Parameters
        ----------
        number : int
            Calls of accept.

        Returns
        -------
        list of socket
            The accepted connections; they do not block.
        """
        self.is_empty = self.lacks_resources = False
        accepted: list[socket] = []
        for _ in range(number):
            try:
                conn, _address = self._sock.accept()
            except BlockingIOError:
                self.is_empty = True
                break
            except OSError as exc:
                log.debug("connection not accepted", extra={"cause": str(exc)})
                if exc.errno in OUT_OF_RESOURCES:
                    self.lacks_resources = True
                    break
                if self._sock.fileno() < 0:
                    self.is_empty = True
                    break
                # Linux reports an error of the next connection in this way, and has
                # removed it from the queue.
                continue
            conn.setblocking(False)
            accepted.append(conn)
        return accepted
