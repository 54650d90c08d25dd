"""Detection of folded lines in the heads of answers.

A line that begins with whitespace continues the one before it. libcurl joins both and
passes the result on as if it had been one line, so a length that was torn by a line
break is read like any other, and the caller gets a part of the body as the whole. Only
the bytes on the socket show it.
"""

from __future__ import annotations

import re
import socket
from typing import TYPE_CHECKING

from berylstage_transfers.answer_head import InvalidAnswer

if TYPE_CHECKING:
    from berylstage_transfers.call import Call

# Bytes of an answer that are looked at; heads are mostly smaller.
MAX_RAW_BYTES = 4096
# The lookbehind keeps the search linear in long whitespace.
_FOLD = re.compile(rb"(?<![ \t])[ \t]*(?:\r?\n[ \t]+)+")


class RawHeads:
    """Copies the first bytes of answers from the buffers of their sockets.

    Bytes that arrive while libcurl reads are missed, mostly where this process waits
    for a core between sending a call and reading. A head of which some were missed is
    checked by the number of bytes that were read.
    """

    __slots__ = ("_calls",)

    def __init__(self) -> None:
        # The calls whose heads have not arrived, by the descriptor of the connection.
        self._calls: dict[int, Call] = {}

    def expect(self, fd: int, call: Call) -> None:
        """Copy the bytes that arrive on a connection for a call."""
        self._calls[fd] = call

    def forget(self, fd: int, call: Call) -> None:
        """Copy nothing more for a call; another one may have its descriptor."""
        if self._calls.get(fd) is call:
            del self._calls[fd]

    def copy(self, fd: int) -> None:
        """Copy the bytes that have arrived on a connection, and leave them there."""
        call = self._calls.get(fd)
        if call is None or len(call.raw_head) >= MAX_RAW_BYTES:
            return
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM, fileno=fd)
        try:
            call.raw_head += sock.recv(MAX_RAW_BYTES, socket.MSG_PEEK)
        except OSError:
            # The connection is broken, as libcurl is about to find out.
            return
        finally:
            sock.detach()


def check_folding(raw: bytes, head: bytes) -> bool:
    """Check that libcurl has not joined lines of a head.

    Parameters
    ----------
    raw : bytes
        The bytes of the answer as far as they were copied.
    head : bytes
        The lines of the head as libcurl passes them on.

    Returns
    -------
    bool
        Whether the copy shows that; False if it lacks bytes of the head.

    Raises
    ------
    InvalidAnswer
    """
    if raw.startswith(head):
        return True
    if _FOLD.sub(b" ", raw).startswith(head):
        raise InvalidAnswer("the answer's head has a folded line")
    return False
