"""The end of a connection: what was written leaves before it closes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.sockets import has_ended, unsent

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds between two looks at what is left, at first and at most.
FIRST_LOOK = 0.004
LONGEST_LOOK = 0.05
# Seconds without progress after which a side that has ended takes nothing more. After a
# reset nothing is acknowledged, and the kernel goes on to count it as not sent.
GONE_PATIENCE = 0.2

log = Logger(__name__)


class Ending:
    """Sees the last answer of a connection out, and closes the connection then.

    A socket that is closed with bytes unread resets the connection, and the reset
    destroys an answer that is still on its way. So only the sending side is shut down,
    and the socket closes once the other side has acknowledged everything. What comes
    meanwhile stays unread: its sender may send it again elsewhere.

    Parameters
    ----------
    transport : asyncio.Transport
    patience : callable
        Returns the seconds for which the other side may take nothing.
    """

    __slots__ = ("_left", "_patience", "_pause", "_since", "_timer", "_transport")

    def __init__(self, transport: asyncio.Transport, patience: Callable[[], float]):
        self._transport = transport
        self._patience = patience
        self._left = self.bytes_left
        self._since = now()
        self._pause = FIRST_LOOK
        self._timer: asyncio.TimerHandle | None = None

    @property
    def bytes_left(self) -> int:
        """Bytes that the other side has not acknowledged."""
        return self._transport.get_write_buffer_size() + unsent(self._transport)

    def begin(self) -> None:
        """Shut down the sending side behind what is written."""
        self._transport.pause_reading()
        try:
            self._transport.write_eof()
        except OSError as exc:
            # The other side is gone; nobody is there to take the rest.
            log.debug("connection gone at its end", extra={"cause": str(exc)})
            self._transport.abort()
            return
        self._look()

    def cancel(self) -> None:
        """Look no more, since the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()

    def _look(self) -> None:
        left, moment = self.bytes_left, now()
        if left == 0:
            self._transport.close()
            return
        if left < self._left:
            self._left, self._since = left, moment
        elif moment - self._since > self._stall():
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._pause, self._look)
        self._pause = min(2 * self._pause, LONGEST_LOOK)

    def _stall(self) -> float:
        """Return the seconds without progress after which it is given up."""
        return GONE_PATIENCE if has_ended(self._transport) else self._patience()
