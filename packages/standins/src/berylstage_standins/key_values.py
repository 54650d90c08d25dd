"""In-memory key-value service of the platform."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from berylstage_platform.errors import ValueTooLarge, VersionConflict
from berylstage_platform.store import Entry

if TYPE_CHECKING:
    from collections.abc import Callable

# The platform supports values of up to a megabyte.
MAX_VALUE_BYTES = 1_000_000


class Lease:
    """Lease whose keys are deleted when it expires.

    Parameters
    ----------
    ttl : float
        Seconds from a renewal until the lease expires.
    expires : float
        Monotonic time in seconds at which the lease expires.
    """

    __slots__ = ("expires", "keys", "ttl")

    def __init__(self, ttl: float, expires: float):
        self.ttl = ttl
        self.expires = expires
        self.keys: set[str] = set()


class KeyValues:
    """Versioned values with compare-and-swap, leases and watches.

    All versions come from one counter, so that a key that is deleted and created again
    never gets an old version.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        self._clock = clock
        self._entries: dict[str, Entry] = {}
        self._leases: dict[str, Lease] = {}
        self._versions = count(1)
        self._lease_ids = count(1)
        self._changed: dict[str, asyncio.Event] = {}

    def read(self, key: str) -> Entry:
        """Return a key's entry; its version is 0 when the key does not exist."""
        self._expire_leases()
        return self._entries.get(key) or Entry(key, b"", 0)

    def write(
        self, key: str, value: bytes, expected_version: int, lease_id: str = ""
    ) -> int:
        """Write a value if the key has the expected version; return the new version.

        Raises
        ------
        ValueTooLarge, VersionConflict
            Nothing was written.
        KeyError
            The lease does not exist.
        """
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(
                f"{key}: value of {len(value)} bytes is too large; split it"
            )
        found = self.read(key)
        if found.version != expected_version:
            raise VersionConflict(
                f"{key}: current version is {found.version}; read the key again"
            )
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
        """Wait until a key's version differs from the given one.

        Returns
        -------
        bool
            False if the version did not change within ``timeout`` seconds.
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

    def create_lease(self, ttl: float) -> str:
        """Create a lease of ``ttl`` seconds and return its ID."""
        lease_id = f"lease-{next(self._lease_ids)}"
        self._leases[lease_id] = Lease(ttl, self._clock() + ttl)
        return lease_id

    def renew_lease(self, lease_id: str) -> bool:
        """Renew a lease; return False if it has expired."""
        self._expire_leases()
        lease = self._leases.get(lease_id)
        if lease is None:
            return False
        lease.expires = self._clock() + lease.ttl
        return True

    def revoke_lease(self, lease_id: str) -> bool:
        """Revoke a lease and delete its keys; return False if it has expired."""
        lease = self._leases.pop(lease_id, None)
        if lease is None:
            return False
        for key in lease.keys:
            del self._entries[key]
            self._wake(key)
        return True

    def expire_all_leases(self) -> None:
        """Expire every lease at once, as after a long pause of the holders."""
        for lease_id in list(self._leases):
            self.revoke_lease(lease_id)

    def expire_due_leases(self) -> None:
        """Delete the keys of expired leases."""
        self._expire_leases()

    def _expire_leases(self) -> None:
        now = self._clock()
        for lease_id, lease in list(self._leases.items()):
            if lease.expires <= now:
                self.revoke_lease(lease_id)

    def _wake(self, key: str) -> None:
        event = self._changed.pop(key, None)
        if event is not None:
            event.set()
