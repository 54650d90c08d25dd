"""The interface to the key-value store that keeps all durable state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class Item:
    """A key with its value and revision.

    Parameters
    ----------
    key : str
    value : bytes or None
        None if the key was removed.
    revision : int
        Revision of the key's last change.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int):
        self.key = key
        self.value = value
        self.revision = revision


class Changes:
    """The result of a read or a watch.

    Parameters
    ----------
    items : sequence of Item
    revision : int
        Store revision from which the next watch continues.
    """

    __slots__ = ("items", "revision")

    def __init__(self, items: Sequence[Item], revision: int):
        self.items = items
        self.revision = revision


class Condition:
    """A precondition of a write: the revision that a key must have.

    Parameters
    ----------
    key : str
    revision : int
        Expected revision; 0 if the key must not exist.
    """

    __slots__ = ("key", "revision")

    def __init__(self, key: str, revision: int):
        self.key = key
        self.revision = revision


class Write:
    """A value to be written.

    Parameters
    ----------
    key : str
    value : bytes
    lease : int
        Lease whose expiry removes the key; 0 for none.
    """

    __slots__ = ("key", "lease", "value")

    def __init__(self, key: str, value: bytes, lease: int = 0):
        self.key = key
        self.value = value
        self.lease = lease


class Store(ABC):
    """Key-value store with conditional writes, leases and watches.

    Every method raises :class:`~berylstage_entry.errors.StoreUnavailable` if no usable
    answer arrived, and :class:`~berylstage_entry.errors.StoreRefused` if the store did
    nothing.
    """

    def for_cause(self, cause: str) -> Store:
        """Return the same store, for calls that are counted under a cause."""
        return self

    @abstractmethod
    async def read(self, prefix: str) -> Changes:
        """Return all keys with a prefix."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Return the changes after a revision, and wait for one if there are none.

        Parameters
        ----------
        prefix : str
        after : int
            Last known revision.
        wait : float
            Longest wait in seconds.

        Raises
        ------
        RevisionCompacted
            If the store has compacted these changes.
        """

    @abstractmethod
    async def write(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
    ) -> int:
        """Write and remove keys atomically, and return the new revision.

        Raises
        ------
        Conflict
            If a condition did not hold.
        LeaseExpired
            If a lease has expired.
        """

    @abstractmethod
    async def create_lease(self, seconds: float) -> int:
        """Create a lease and return its identifier."""

    @abstractmethod
    async def renew_lease(self, lease: int) -> None:
        """Renew a lease for its full term, from the arrival of the call.

        Raises
        ------
        LeaseExpired
            If the lease has expired.
        """

    @abstractmethod
    async def revoke_lease(self, lease: int) -> None:
        """Revoke a lease and remove its keys."""

    def close(self) -> None:
        """Close all connections."""
