"""Errors of the daemon."""

from __future__ import annotations


class DaemonError(Exception):
    """Any fault of the daemon; the message names the remedy."""


class SettingError(DaemonError):
    """A setting that cannot be used.

    Parameters
    ----------
    flag : str
        Name of the flag, without dashes.
    fault : str
        What is wrong.
    remedy : str
        What to do.
    """

    def __init__(self, flag: str, fault: str, remedy: str):
        super().__init__(f"--{flag}: {fault}; {remedy}")
        self.flag = flag


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
