"""The interface to the key-value service in which everything lasting is kept."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence


class Item:
    """A key as the store has it.

    Parameters
    ----------
    key : str
    value : bytes or None
        None when the key is gone.
    revision : int
        Of its last change.
    """

    __slots__ = ("key", "revision", "value")

    def __init__(self, key: str, value: bytes | None, revision: int):
        self.key = key
        self.value = value
        self.revision = revision


class Changes:
    """Items that were read or have changed.

    Parameters
    ----------
    items : sequence of Item
    revision : int
        Of the store, from which to go on.
    """

    __slots__ = ("items", "revision")

    def __init__(self, items: Sequence[Item], revision: int):
        self.items = items
        self.revision = revision


class Condition:
    """What must hold of a key for a write to be done.

    Parameters
    ----------
    key : str
    revision : int
        0 when the key must not exist.
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
        The key is removed when this lease ends; 0 for none.
    """

    __slots__ = ("key", "lease", "value")

    def __init__(self, key: str, value: bytes, lease: int = 0):
        self.key = key
        self.value = value
        self.lease = lease


class Store(ABC):
    """Key-value service with conditions, leases and watches.

    Every method raises :class:`~berylstage_entry.errors.StoreUnavailable` when no
    usable answer came and :class:`~berylstage_entry.errors.StoreRefused` when nothing
    was done.
    """

    @abstractmethod
    async def read(self, prefix: str) -> Changes:
        """Return all keys with a prefix."""

    @abstractmethod
    async def watch(self, prefix: str, after: int, wait: float) -> Changes:
        """Return what has changed since a revision, waiting for a change.

        Parameters
        ----------
        prefix : str
        after : int
        wait : float
            Seconds.

        Raises
        ------
        HistoryLost
            These changes are no longer kept.
        """

    @abstractmethod
    async def write(
        self,
        conditions: Sequence[Condition],
        writes: Sequence[Write],
        removals: Sequence[str] = (),
    ) -> int:
        """Do all of it or nothing, and return the revision.

        Raises
        ------
        Conflict
            A condition did not hold.
        LeaseEnded
            A lease is no more.
        """

    @abstractmethod
    async def take_lease(self, seconds: float) -> int:
        """Return a new lease."""

    @abstractmethod
    async def keep_lease(self, lease: int) -> None:
        """Let a lease run its time anew, from the arrival of the call.

        Raises
        ------
        LeaseEnded
            It has ended.
        """

    @abstractmethod
    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""

    def close(self) -> None:
        """Let go of all connections."""
