"""Errors of the platform client."""

from __future__ import annotations


class PlatformError(Exception):
    """Any fault of the platform as the client sees it."""


class StoreUnavailable(PlatformError):
    """The store gave no answer; a write may or may not have taken effect."""


class VersionConflict(PlatformError):
    """Somebody else wrote first; read again and decide anew."""


class RateLimited(PlatformError):
    """The store refused the call, which did nothing; try again later."""


class ValueTooLarge(PlatformError):
    """The value is over the store's limit; split it or make it smaller."""
