"""Exceptions of the router; each message names the remedy."""

from __future__ import annotations


class EntryError(Exception):
    """Base class of this package's exceptions."""


class StoreError(EntryError):
    """A call to the store has failed."""


class StoreUnavailable(StoreError):
    """The store gave no usable answer; a write may or may not take effect."""


class StoreRefused(StoreError):
    """The store rejected the call without effect; retry it after a delay."""


class Conflict(StoreError):
    """A condition of a write did not hold; read the keys again before a retry."""


class LeaseExpired(StoreError):
    """The lease has expired and its keys are removed; create a new one."""


class RevisionCompacted(StoreError):
    """The store has compacted the requested changes; read all records again."""


class InvalidRecord(EntryError):
    """A record or message cannot be decoded or contains nothing usable."""


class TargetReplaced(EntryError):
    """Another target answers at the address; this incarnation has ended."""


class NoOwner(EntryError):
    """A key has no owner before the deadline; retry once its move is complete."""


class PermitRefused(EntryError):
    """A target would answer a request after its deadline; the caller may retry.

    Parameters
    ----------
    retry_after : float
        Seconds until the target is expected to have capacity.
    permit : str
        Refused permit and the VM that refused it, for the log.
    """

    def __init__(self, retry_after: float, permit: str = ""):
        super().__init__(
            f"no capacity before the deadline; retry in {retry_after:.2f} s"
        )
        self.retry_after = retry_after
        self.permit = permit


class KeyMoved(EntryError):
    """The key of a queued request has another owner; look up the owner again."""


class RequestConvicted(EntryError):
    """A request ends each target that runs it, and is not sent for some time.

    Parameters
    ----------
    seconds : float
        Seconds until an attempt of it may be sent again.
    """

    def __init__(self, seconds: float):
        super().__init__(f"the request ends targets; retry in {seconds:.1f} s")
        self.seconds = seconds


class TrialTimedOut(EntryError):
    """The time of a suspected request has passed before it could be sent alone."""


class BadRequest(EntryError):
    """A caller's request is invalid.

    Parameters
    ----------
    status : int
        HTTP status for the caller.
    message : str
    """

    def __init__(self, status: int, message: str):
        super().__init__(message)
        self.status = status


class UnknownApiKey(BadRequest):
    """No workspace has the API key of a request, or the request has none.

    Parameters
    ----------
    detail : str
        Version of the configuration that decided, and its age, for the log.
    """

    STATUS = 401

    def __init__(self, detail: str = ""):
        super().__init__(
            self.STATUS,
            "no workspace has this API key; send a key that your operator has issued",
        )
        self.detail = detail


class Refused(EntryError):
    """A request has not run and never will; the caller may retry it.

    Parameters
    ----------
    reason : str
        Reason as a single word, for logs and counters.
    retry_after : float
        Seconds after which the caller may retry.
    detail : str
        Cause of the decision and the age of the data behind it, for the log.

    Attributes
    ----------
    status : int
        HTTP status for the caller.
    """

    status = 503

    def __init__(self, reason: str, retry_after: float, detail: str = ""):
        super().__init__(f"{reason}; retry in {retry_after:.2f} s")
        self.reason = reason
        self.retry_after = retry_after
        self.detail = detail


class OverQuota(Refused):
    """A workspace has used up its quota; the caller may retry later.

    Parameters
    ----------
    retry_after : float
        Seconds until the quota has room for the request.
    detail : str
        The workspace, its quota and the configuration that sets it, for the log.
    """

    status = 429

    def __init__(self, retry_after: float, detail: str):
        super().__init__("over-quota", retry_after, detail)


class Unanswered(EntryError):
    """A request was sent but not answered; it may have run.

    Parameters
    ----------
    reason : str
        Reason as a single word, for logs and counters.
    timed_out : bool
        Whether the deadline passed, rather than the connection being lost.
    detail : str
        Cause of the decision, for the log.
    """

    def __init__(self, reason: str, timed_out: bool, detail: str = ""):
        super().__init__(f"{reason}; check whether the request took effect")
        self.reason = reason
        self.timed_out = timed_out
        self.detail = detail
