"""Errors of the daemon."""

from __future__ import annotations


class DaemonError(Exception):
    """Any fault of the daemon; the message names the remedy."""


class RequestError(DaemonError):
    """A caller's request that cannot be understood and did not run.

    Parameters
    ----------
    status : int
        HTTP status of the refusal.
    reason : str
        Short machine-readable reason.
    message : str
        What is wrong and what to do.
    """

    def __init__(self, status: int, reason: str, message: str):
        super().__init__(message)
        self.status = status
        self.reason = reason
