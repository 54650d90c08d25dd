"""Errors of HTTP calls: whether anything was sent is what tells them apart."""

from __future__ import annotations


class CallFailed(Exception):
    """A call that brought no whole answer."""


class NeverSent(CallFailed):
    """The call failed before any byte of it was sent; send it again or elsewhere."""


class NothingListens(NeverSent):
    """The host refused the connection: no process listens at the address now."""


class AnswerLost(CallFailed):
    """The call was sent and no whole answer came; it may have taken effect."""
