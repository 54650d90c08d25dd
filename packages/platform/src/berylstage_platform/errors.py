"""Errors of the platform client."""

from __future__ import annotations


class PlatformError(Exception):
    """Base class of the platform client's errors."""


class StoreUnavailable(PlatformError):
    """The store did not answer, so a write may or may not have taken effect."""


class VersionConflict(PlatformError):
    """The key has another version than expected; read it again before writing."""


class RateLimited(PlatformError):
    """The store rejected the call without any effect; retry after a delay."""


class ValueTooLarge(PlatformError):
    """The value exceeds the store's size limit; split or shorten it."""
