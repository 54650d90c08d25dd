"""Interfaces to the platform's key-value service and VM list."""

from __future__ import annotations

from abc import ABC, abstractmethod


class Entry:
    """A value in the store and its version.

    Parameters
    ----------
    key : str
    value : bytes
    version : int
        Version of this key; 0 means that the key does not exist.
    """

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes, version: int):
        self.key = key
        self.value = value
        self.version = version


class Store(ABC):
    """Key-value service with compare-and-swap and watches.

    Every method may raise :class:`~berylstage_platform.errors.PlatformError`.
    """

    @abstractmethod
    async def read(self, key: str) -> Entry:
        """Return the entry of a key, with version 0 and no bytes if it is missing."""

    @abstractmethod
    async def write(self, key: str, value: bytes, expected_version: int) -> int:
        """Write a value if the key still has the expected version.

        Parameters
        ----------
        key : str
        value : bytes
        expected_version : int
            0 to create the key.

        Returns
        -------
        int
            The new version.

        Raises
        ------
        VersionConflict
            The key has another version; nothing was written.
        StoreUnavailable
            No answer arrived; the write may have taken effect.
        RateLimited, ValueTooLarge
            Nothing was written.
        """

    @abstractmethod
    async def watch(self, key: str, after_version: int, timeout: float) -> Entry | None:
        """Wait until a key has a newer version than the given one.

        Parameters
        ----------
        key : str
        after_version : int
        timeout : float
            Maximum wait in seconds.

        Returns
        -------
        Entry or None
            None if the key did not change in time.
        """

    async def close(self) -> None:
        """Close all connections."""


class VmRecord:
    """An entry of the platform's VM list, which lags behind.

    Parameters
    ----------
    name : str
    data_centre : str
    http_address : str
        ``host:port`` for callers.
    peer_address : str
        ``host:port`` for other VMs.
    leaving : bool
        Whether the platform is removing the VM.
    """

    __slots__ = ("name", "data_centre", "http_address", "peer_address", "leaving")

    def __init__(
        self,
        name: str,
        data_centre: str,
        http_address: str,
        peer_address: str,
        leaving: bool,
    ):
        self.name = name
        self.data_centre = data_centre
        self.http_address = http_address
        self.peer_address = peer_address
        self.leaving = leaving


class VmList(ABC):
    """The platform's list of live and leaving VMs, which lags behind."""

    @abstractmethod
    async def vms(self) -> list[VmRecord]:
        """Return the platform's current list."""
