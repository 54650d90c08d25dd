"""What the daemon tells the protocol core."""

from __future__ import annotations

from typing import Protocol


class StoreResult:
    """How a call to the store ended."""

    __slots__ = ()


class StoreRead(StoreResult):
    """A key was read; version 0 and no bytes when there is no such key."""

    __slots__ = ("key", "value", "version")

    def __init__(self, key: str, value: bytes, version: int):
        self.key = key
        self.value = value
        self.version = version


class StoreWritten(StoreResult):
    """A write took effect."""

    __slots__ = ("version",)

    def __init__(self, version: int):
        self.version = version


class StoreConflict(StoreResult):
    """The key had another version, and nothing was written."""

    __slots__ = ()


class StoreLost(StoreResult):
    """No answer came: a write may or may not have taken effect."""

    __slots__ = ()


class StoreRefused(StoreResult):
    """The store refused the call, which did nothing."""

    __slots__ = ()


class ListedVm(Protocol):
    """One VM of the platform's list, as ``berylstage_platform`` reads it."""

    name: str
    data_centre: str
    http_address: str
    peer_address: str
    leaving: bool


class TargetAnswer(Protocol):
    """What a target said to a grant order, as ``berylstage_targets`` reads it."""

    accepted: bool
    reason: str
    clock: int
    incarnation: str
    cold: bool
