"""The end of a connection: what was written leaves before it closes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.sockets import peer_has_closed, send_queue_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

# Seconds between two looks at what is left, at first and at most.
MIN_POLL_SECONDS = 0.004
MAX_POLL_SECONDS = 0.05
# Seconds without progress after which a side that has ended takes nothing more. After a
# reset nothing is acknowledged, and the kernel goes on to count it as not sent.
PEER_CLOSED_TIMEOUT_SECONDS = 0.2

log = Logger(__name__)


class GracefulClose:
    """Sees the last answer of a connection out, and closes the connection then.

    A socket that is closed with bytes unread resets the connection, and the reset
    destroys an answer that is still on its way. So only the sending side is shut down,
    and the socket closes once the other side has acknowledged everything. What comes
    meanwhile stays unread: its sender may send it again elsewhere.

    Parameters
    ----------
    transport : asyncio.Transport
    stall_timeout : callable
        Returns the seconds for which the other side may take nothing.
    """

    __slots__ = (
        "_last_unacknowledged",
        "_stall_timeout",
        "_poll_seconds",
        "_last_progress_at",
        "_timer",
        "_transport",
    )

    def __init__(
        self, transport: asyncio.Transport, stall_timeout: Callable[[], float]
    ):
        self._transport = transport
        self._stall_timeout = stall_timeout
        self._last_unacknowledged = self.unacknowledged_bytes
        self._last_progress_at = now()
        self._poll_seconds = MIN_POLL_SECONDS
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the other side has not acknowledged."""
        return self._transport.get_write_buffer_size() + send_queue_bytes(
            self._transport
        )

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
        self._check()

    def cancel(self) -> None:
        """Look no more, since the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        left, moment = self.unacknowledged_bytes, now()
        if left == 0:
            self._transport.close()
            return
        if left < self._last_unacknowledged:
            self._last_unacknowledged, self._last_progress_at = left, moment
        elif moment - self._last_progress_at > self._stall_limit():
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._poll_seconds, self._check)
        self._poll_seconds = min(2 * self._poll_seconds, MAX_POLL_SECONDS)

    def _stall_limit(self) -> float:
        """Return the seconds without progress after which it is given up."""
        return (
            PEER_CLOSED_TIMEOUT_SECONDS
            if peer_has_closed(self._transport)
            else self._stall_timeout()
        )
