"""Clients of many servers, by address."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_transfers.client import CallClient

# Seconds after which an unused client is closed. Its idle connections are older than
# any that would be used again.
MAX_UNUSED_SECONDS = 60.0


class ClientPool:
    """Creates a client for each address, and closes those that are not used any more.

    Servers come and go, and mostly have new addresses; a client that is kept for each
    of them would never be released.

    Parameters
    ----------
    create : callable
        Returns a new client.
    """

    __slots__ = ("_clients", "_create", "_used_at")

    def __init__(self, create: Callable[[], CallClient]):
        self._create = create
        self._clients: dict[str, CallClient] = {}
        # Monotonic seconds, by address.
        self._used_at: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._clients)

    def get(self, address: str) -> CallClient:
        """Return the client of an address for a call that is made now."""
        now = time.monotonic()
        self._used_at[address] = now
        client = self._clients.get(address)
        if client is None:
            self._close_unused(now)
            client = self._clients[address] = self._create()
        return client

    def close(self) -> None:
        """Close all clients."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()
        self._used_at.clear()

    def _close_unused(self, now: float) -> None:
        for address, used_at in list(self._used_at.items()):
            if now - used_at > MAX_UNUSED_SECONDS:
                del self._used_at[address]
                self._clients.pop(address).close()
