"""Errors of HTTP calls, distinguished by whether anything was sent."""

from __future__ import annotations


class CallFailed(Exception):
    """The call returned no complete answer."""


class NeverSent(CallFailed):
    """The call failed before any byte was sent, so it can safely be retried."""


class NotConnected(NeverSent):
    """No connection could be established."""


class ConnectionRefused(NotConnected):
    """The host refused the connection because no process listens at the address."""


class AnswerLost(CallFailed):
    """The call was sent without a complete answer, so it may have taken effect."""


class ConnectionClosed(AnswerLost):
    """The server's machine closed or reset the connection before a complete answer."""


class AnswerMismatched(AnswerLost):
    """The answer that arrived belongs to another call; its connection is closed.

    Parameters
    ----------
    message : str
    answered_id : str
        Id of the call that it belongs to; empty if it has none.
    """

    def __init__(self, message: str, answered_id: str):
        super().__init__(message)
        self.answered_id = answered_id
