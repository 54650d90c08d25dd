"""Permits to send requests to targets."""

from __future__ import annotations


class Permit:
    """Permit of one request, to be released after its use.

    Parameters
    ----------
    number : int
    queue : str
    server : str
        Host of the permit server.

    Attributes
    ----------
    target : int
        Checksum of the target to send the request to; 0 until the permit is granted.
    """

    __slots__ = ("server", "number", "queue", "target")

    def __init__(self, number: int, queue: str, server: str):
        self.number = number
        self.queue = queue
        self.server = server
        self.target = 0

    def describe(self) -> str:
        """Return the text that identifies the permit in the permit server's log."""
        return f"queue {self.queue} keeper {self.server} number {self.number}"
