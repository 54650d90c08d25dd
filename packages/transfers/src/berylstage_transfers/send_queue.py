"""Bytes of a call that its server's machine has not acknowledged."""

from __future__ import annotations


class SendQueue:
    """Bytes in the kernel's send queue of a connection.

    Parameters
    ----------
    unsent : int or None
        Bytes that this machine has not sent yet; None if the kernel does not tell.
    unacknowledged : int
        Bytes that are unsent, or sent and not acknowledged.
    """

    __slots__ = ("unacknowledged", "unsent")

    def __init__(self, unsent: int | None, unacknowledged: int):
        self.unsent = unsent
        self.unacknowledged = unacknowledged
