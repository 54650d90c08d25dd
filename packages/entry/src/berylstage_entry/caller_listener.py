"""Accepts the connections of callers, as long as there is room for them."""

from __future__ import annotations

import asyncio
from socket import create_server
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.accept_queue import AcceptQueue
from berylstage_entry.addresses import split_host_port
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.sockets import count_unaccepted_connections

if TYPE_CHECKING:
    from collections.abc import Callable
    from socket import socket

# Connections that may wait in the accept queue.
LISTEN_BACKLOG = 1024
# Connections that are accepted in one turn of the event loop.
ACCEPTS_PER_TURN = 32
# Seconds for which nothing is accepted while there is no room.
PAUSE_SECONDS = 0.05
# Log lines per second about pauses.
PAUSE_LINES_PER_SECOND = 1.0

log = Logger(__name__)


class CallerListener:
    """Listening socket for callers.

    The server of asyncio goes on to accept when no descriptor is free: it logs each
    connection of the accept queue that it fails to accept, again and again.

    Parameters
    ----------
    address : str
        ``ip:port`` to listen on.
    make_room : callable
        Called with the number of connections that may be accepted next; returns the
        number for which there is room.
    admit : callable
        Called with the socket of each connection.

    Attributes
    ----------
    is_open : bool
    """

    def __init__(
        self,
        address: str,
        make_room: Callable[[int], int],
        admit: Callable[[socket], None],
    ):
        self._make_room = make_room
        self._admit = admit
        self._pause_limiter = LogRateLimiter(PAUSE_LINES_PER_SECOND)
        self._timer: asyncio.TimerHandle | None = None
        self._loop = asyncio.get_running_loop()
        self._socket = create_server(split_host_port(address), backlog=LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self.is_open = True
        # Connections accepted by the last step of listening.
        self._late_connections = 0
        self._resume()

    def _resume(self) -> None:
        self._timer = None
        self._loop.add_reader(self._socket, self._accept)

    def _pause(self) -> None:
        """Leave connections in the accept queue for a moment."""
        self._loop.remove_reader(self._socket)
        self._timer = self._loop.call_later(PAUSE_SECONDS, self._resume)
        if self._pause_limiter.take():
            log.warning(
                "accepting paused, as no connection could be ended to make room",
                extra={"left_out": self._pause_limiter.take_suppressed_count()},
            )

    def _accept(self) -> None:
        room = self._make_room(ACCEPTS_PER_TURN)
        queue = AcceptQueue(self._socket)
        for sock in queue.accept(min(room, ACCEPTS_PER_TURN)):
            self._admit(sock)
        if queue.lacks_resources or room <= 0:
            self._pause()

    def end(self) -> None:
        """Accept the connections that wait, and close the socket.

        It stays open if connections are left because no descriptor is free.
        """
        if not self.is_open:
            return
        queue = AcceptQueue(self._socket)
        for sock in queue.accept_all():
            self._late_connections += 1
            self._admit(sock)
        if not queue.is_empty:
            return
        unaccepted = count_unaccepted_connections(self._socket)
        log.info(
            "listening ended",
            extra={"accepted": self._late_connections, "unaccepted": unaccepted},
        )
        self.close()

    def close(self) -> None:
        """Close the socket; connections that wait are reset."""
        if not self.is_open:
            return
        self.is_open = False
        if self._timer is not None:
            self._timer.cancel()
        self._loop.remove_reader(self._socket)
        self._socket.close()
