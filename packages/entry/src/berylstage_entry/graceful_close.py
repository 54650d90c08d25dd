"""Graceful close of a connection, after all written data is acknowledged."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.sockets import peer_has_closed, send_queue_bytes

if TYPE_CHECKING:
    from collections.abc import Callable

# Shortest and longest time between two checks of the unacknowledged bytes.
MIN_POLL_SECONDS = 0.004
MAX_POLL_SECONDS = 0.05
# Seconds without progress after which a connection is aborted whose peer has closed.
# After a reset nothing is acknowledged, and the kernel still counts the data as unsent.
PEER_CLOSED_TIMEOUT_SECONDS = 0.2

log = Logger(__name__)


class GracefulClose:
    """Closes a connection once its last response is delivered.

    Closing a socket that has unread bytes resets the connection, and the reset destroys
    a response that is still in transit. Therefore only the sending side is shut down,
    and the socket is closed once the peer has acknowledged everything. Data that
    arrives meanwhile stays unread; its sender may send it again to another VM.

    Parameters
    ----------
    transport : asyncio.Transport
    stall_timeout : callable
        Returns the seconds without progress after which the connection is aborted.
    expects_input : callable, optional
        Returns whether the peer still sends the rest of a request that has been
        answered. It is read and dropped, so that a peer which reads the answer only
        after it has sent everything is not reset before.
    """

    __slots__ = (
        "_expects_input",
        "_last_progress_at",
        "_last_unacknowledged",
        "_poll_seconds",
        "_stall_timeout",
        "_timer",
        "_transport",
    )

    def __init__(
        self,
        transport: asyncio.Transport,
        stall_timeout: Callable[[], float],
        expects_input: Callable[[], bool] = lambda: False,
    ):
        self._expects_input = expects_input
        self._transport = transport
        self._stall_timeout = stall_timeout
        self._last_unacknowledged = self.unacknowledged_bytes
        self._last_progress_at = now()
        self._poll_seconds = MIN_POLL_SECONDS
        self._timer: asyncio.TimerHandle | None = None

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the peer has not acknowledged."""
        return self._transport.get_write_buffer_size() + send_queue_bytes(
            self._transport
        )

    def begin(self) -> None:
        """Shut down the sending side after the data that is already written."""
        if not self._expects_input():
            self._transport.pause_reading()
        try:
            self._transport.write_eof()
        except OSError as exc:
            # The peer has closed the connection and can receive nothing more.
            log.debug(
                "peer closed the connection before its graceful close",
                extra={"cause": str(exc)},
            )
            self._transport.abort()
            return
        self._check()

    def cancel(self) -> None:
        """Stop checking, because the connection is lost."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        left, moment = self.unacknowledged_bytes, now()
        if left == 0 and not self._expects_input():
            self._transport.close()
            return
        if left == 0:
            self._last_progress_at = moment
        elif left < self._last_unacknowledged:
            self._last_unacknowledged, self._last_progress_at = left, moment
        elif moment - self._last_progress_at > self._stall_limit():
            self._transport.abort()
            return
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._poll_seconds, self._check)
        self._poll_seconds = min(2 * self._poll_seconds, MAX_POLL_SECONDS)

    def _stall_limit(self) -> float:
        """Return the seconds without progress after which the connection is aborted."""
        return (
            PEER_CLOSED_TIMEOUT_SECONDS
            if peer_has_closed(self._transport)
            else self._stall_timeout()
        )
