"""Errors of the target client."""

from __future__ import annotations


class TargetError(Exception):
    """Base class of the target client's errors.

    Parameters
    ----------
    message : str
        Description of the failure and its remedy.
    reason : str
        Short machine-readable reason, such as ``cold`` or ``fence``.
    """

    def __init__(self, message: str, reason: str):
        super().__init__(message)
        self.reason = reason


class NotRun(TargetError):
    """The request did not run: it was never sent, or the target rejected it."""


class OutcomeUnknown(TargetError):
    """The request was sent without a complete answer, so it may have run."""
