"""Errors of the router; each message names the remedy."""

from __future__ import annotations


class EntryError(Exception):
    """Any error of this package."""


class StoreError(EntryError):
    """A call to the store that did not do what was asked."""


class StoreUnavailable(StoreError):
    """No usable answer came; a write may or may not take effect."""


class StoreRefused(StoreError):
    """The store did nothing, and may do it later; call again after a pause."""


class Conflict(StoreError):
    """A condition of a write did not hold; read again and decide anew."""


class LeaseExpired(StoreError):
    """The lease has ended, and its keys are gone; take a new one."""


class RevisionCompacted(StoreError):
    """The changes that were asked for are no longer kept; read everything again."""


class InvalidRecord(EntryError):
    """A record of the store that names nothing that could be used."""


class TargetReplaced(EntryError):
    """Another target answers at the address: this life of the target is over."""


class NoOwner(EntryError):
    """No target could be asked for a key in time; it can once its move has ended."""


class PermitRefused(EntryError):
    """A request would be answered too late by its target; it may come back.

    Parameters
    ----------
    retry_after : float
        Seconds after which there is expected to be room.
    turn : str
        Which turn was refused and by whom, for the log.
    """

    def __init__(self, retry_after: float, turn: str = ""):
        super().__init__(f"no room in time; come back in {retry_after:.2f} s")
        self.retry_after = retry_after
        self.turn = turn


class BadRequest(EntryError):
    """A caller's request that cannot be served as it is.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    message : str
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class Refused(EntryError):
    """A request that has not run and never will; it may come back.

    Parameters
    ----------
    reason : str
        One word for logs and counters.
    retry_after : float
        Seconds after which the caller may come back.
    detail : str
        What decided it, and how old that was; for the log.
    """

    def __init__(self, reason: str, retry_after: float, detail: str = ""):
        super().__init__(f"{reason}; come back in {retry_after:.2f} s")
        self.reason = reason
        self.retry_after = retry_after
        self.detail = detail


class Unanswered(EntryError):
    """A request that was sent and brought no answer; it may have run.

    Parameters
    ----------
    reason : str
        One word for logs and counters.
    timed_out : bool
        Whether its time was over, rather than its connection.
    detail : str
        What decided it; for the log.
    """

    def __init__(self, reason: str, timed_out: bool, detail: str = ""):
        super().__init__(f"{reason}; find out whether it took effect")
        self.reason = reason
        self.timed_out = timed_out
        self.detail = detail
