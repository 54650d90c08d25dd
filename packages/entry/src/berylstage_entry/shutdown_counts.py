"""Counts of what callers experience while a VM shuts down."""

from __future__ import annotations


class ShutdownCounts:
    """Counts of what callers experienced during a shutdown.

    Attributes
    ----------
    requests_received : int
        Requests that arrived after SIGTERM.
    idle_closed : int
        Connections closed without pending work.
    connections_cut : int
        Connections closed with pending work.
    bytes_cut : int
        Bytes of responses that callers did not acknowledge.
    closed_unread : int
        Connections whose socket held unread bytes when it closed. The kernel resets
        them, and a request in these bytes ends without an answer.
    """

    __slots__ = (
        "bytes_cut",
        "closed_unread",
        "connections_cut",
        "idle_closed",
        "requests_received",
    )

    def __init__(self) -> None:
        self.requests_received = 0
        self.idle_closed = 0
        self.connections_cut = 0
        self.bytes_cut = 0
        self.closed_unread = 0
