"""The platform's key-value service, in memory."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from berylstage_platform.errors import ValueTooLarge, VersionConflict
from berylstage_platform.store import Entry

if TYPE_CHECKING:
    from collections.abc import Callable

# Bytes of the largest value, from the brief: "values up to a megabyte".
MAX_VALUE = 1_000_000


class Lease:
    """A lease: keys written under it go when it lapses.

    Parameters
    ----------
    ttl : float
        Seconds from one renewal to the lapse.
    expires : float
        Monotonic time of the lapse.
    """

    __slots__ = ("expires", "keys", "ttl")

    def __init__(self, ttl: float, expires: float):
        self.ttl = ttl
        self.expires = expires
        self.keys: set[str] = set()


class KeyValues:
    """Versioned values with compare-and-swap, leases and wake-ups.

    Versions come from one counter, so that a key that was deleted and created again
    never shows an old version.

    Parameters
    ----------
    clock : callable
        Monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._versions = count(1)
        self._lease_ids = count(1)
        self._changed: dict[str, asyncio.Event] = {}

    def read(self, key: str) -> Entry:
        """Return the entry of a key; version 0 when there is none."""
        self._lapse()
        return self._entries.get(key) or Entry(key, b"", 0)

    def write(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> int:
        """Write a value if the key has the expected version and return the new one.

        Raises
        ------
        ValueTooLarge, VersionConflict
            Nothing was written.
        KeyError
            There is no such lease.
        """
        if len(value) > MAX_VALUE:
            raise ValueTooLarge(f"{key}: {len(value)} bytes; split the value")
        found = self.read(key)
        if found.version != expected_version:
            raise VersionConflict(f"{key}: has version {found.version}; read again")
        lease = self._leases[lease_id] if lease_id else None
        for other in self._leases.values():
            other.keys.discard(key)
        if lease is not None:
            lease.keys.add(key)
        entry = Entry(key, value, next(self._versions))
        self._entries[key] = entry
        self._wake(key)
        return entry.version

    async def changed(self, key: str, after_version: int, timeout: float) -> bool:
        """Wait until a key has another version than the given one.

        Returns
        -------
        bool
            False when nothing changed within ``timeout`` seconds.
        """
        end = self._clock() + timeout
        while self.read(key).version == after_version:
            left = end - self._clock()
            if left <= 0:
                return False
            event = self._changed.setdefault(key, asyncio.Event())
            try:
                await asyncio.wait_for(event.wait(), left)
            except TimeoutError:
                return self.read(key).version != after_version
        return True

    def take_lease(self, ttl: float) -> str:
        """Create a lease of ``ttl`` seconds and return its id."""
        lease_id = f"lease-{next(self._lease_ids)}"
        self._leases[lease_id] = Lease(ttl, self._clock() + ttl)
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; False when it has lapsed."""
        self._lapse()
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.expires = self._clock() + lease.ttl
        return True

    def drop_lease(self, lease_id: str) -> bool:
        """End a lease and delete its keys; False when it had lapsed."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in lease.keys:
            del self._entries[key]
            self._wake(key)
        return True

    def lapse_all(self) -> None:
        """Let every lease lapse at once, as after a long pause of the holders."""
        for lease_id in list(self._leases):
            self.drop_lease(lease_id)

    def lapse_due(self) -> None:
        """Delete what stands under leases that have lapsed."""
        self._lapse()

    def _lapse(self) -> None:
        now = self._clock()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires <= now:
                self.drop_lease(lease_id)

    def _wake(self, key: str) -> None:
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()
