"""Errors of HTTP calls, distinguished by whether anything was sent."""

from __future__ import annotations

from enum import Enum


class EndedBy(Enum):
    """Who ended a call that was sent and has no complete answer."""

    # The server's machine closed or reset the connection.
    SERVER = "server"
    # The kernel gave up a connection whose peer was silent.
    KERNEL = "kernel"
    # The call's deadline was reached.
    DEADLINE = "deadline"
    # This process ended the call, or did not accept the answer.
    CLIENT = "client"
    # Another process made the call.
    OTHER = "other"


class CallFailed(Exception):
    """The call returned no complete answer."""


class NeverSent(CallFailed):
    """The call failed before any byte was sent, so it can safely be retried."""


class NotConnected(NeverSent):
    """No connection could be established."""


class ConnectionRefused(NotConnected):
    """The host refused the connection because no process listens at the address."""


class AnswerLost(CallFailed):
    """The call was sent without a complete answer, so it may have taken effect.

    Parameters
    ----------
    message : str
    ended_by : EndedBy
    cause : str
        Why it was ended; empty if the message says so.
    """

    def __init__(
        self, message: str, ended_by: EndedBy = EndedBy.OTHER, cause: str = ""
    ):
        super().__init__(message)
        self.ended_by = ended_by
        self.cause = cause


class ConnectionClosed(AnswerLost):
    """The server's machine closed or reset the connection before a complete answer."""


class AnswerMalformed(AnswerLost):
    """The bytes that arrived are no valid answer; their connection is closed."""


class AnswerMismatched(AnswerLost):
    """The answer that arrived belongs to another call; its connection is closed.

    Parameters
    ----------
    message : str
    answered_id : str
        Id of the call that it belongs to; empty if it has none.
    cause : str
    """

    def __init__(self, message: str, answered_id: str, cause: str = ""):
        super().__init__(message, EndedBy.CLIENT, cause)
        self.answered_id = answered_id
