"""Bound on the time in which the head of a request may arrive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_entry.clock import now
from berylstage_entry.errors import BadRequest
from berylstage_entry.responses import REQUEST_TIMEOUT

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.connection import CallerConnection

# Seconds between two checks while the rest of the head may be unread.
UNREAD_POLL_SECONDS = 0.02


class HeadTimer:
    """Ends the requests of one connection whose heads take too long.

    Parameters
    ----------
    conn : CallerConnection
    timeout : callable
        Returns the seconds that a head may take from its first byte.
    """

    __slots__ = ("_conn", "_handle", "_timeout")

    def __init__(self, conn: CallerConnection, timeout: Callable[[], float]):
        self._conn = conn
        self._timeout = timeout
        self._handle: asyncio.TimerHandle | None = None

    def watch(self) -> None:
        """Start the timer if a head is being received."""
        if self._handle is None and self._conn.intake.is_receiving_head:
            self._schedule(self._timeout())

    def cancel(self) -> None:
        """Stop the timer, because the connection is lost."""
        if self._handle is not None:
            self._handle.cancel()
            self._handle = None

    def _schedule(self, seconds: float) -> None:
        loop = asyncio.get_running_loop()
        self._handle = loop.call_later(seconds, self._check)

    def _check(self) -> None:
        self._handle = None
        conn = self._conn
        if not conn.intake.is_receiving_head:
            return
        left = conn.intake.begun_at + self._timeout() - now()
        if left <= 0 and (conn.intake.unparsed or conn.has_unread_bytes()):
            # The rest may have arrived in time. Either the event loop was late, or
            # earlier requests of the connection hold up the parsing.
            left = UNREAD_POLL_SECONDS
        if left > 0:
            self._schedule(left)
            return
        cause = "the request head came too slowly"
        conn.refuse_unfinished_head(BadRequest(REQUEST_TIMEOUT, cause))
