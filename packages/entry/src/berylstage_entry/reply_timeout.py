"""Adaptive timeout for replies of other VMs."""

from __future__ import annotations

# Bounds of the timeout, in seconds: a VM may be busy for some milliseconds.
MIN_REPLY_TIMEOUT_SECONDS = 0.03
MAX_REPLY_TIMEOUT_SECONDS = 0.15
# Gains of the mean reply time and its deviation, and the multiple of the deviation that
# is added to the mean for the timeout, as in TCP's retransmission timeout.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4.0


class ReplyTimeout:
    """Adaptive timeout for replies of permit servers.

    On a slow link a datagram waits behind answers of 90 kB, for 70 ms each. With a
    fixed timeout, permit servers behind such a link would constantly count as lost.
    """

    __slots__ = ("_mean_seconds", "_deviation")

    def __init__(self) -> None:
        self._mean_seconds = 0.0
        self._deviation = 0.0

    def record(self, seconds: float) -> None:
        """Record the time from the first datagram of a request to its reply.

        If the datagram was repeated, this is an upper bound of the reply time. Without
        such replies the timeout could never grow to the actual reply time: each request
        would be sent three times, and its permit server would count as lost.
        """
        self._deviation += DEVIATION_GAIN * (
            abs(seconds - self._mean_seconds) - self._deviation
        )
        self._mean_seconds += MEAN_GAIN * (seconds - self._mean_seconds)

    @property
    def timeout(self) -> float:
        """Seconds after which a reply is unlikely to arrive."""
        wait = self._mean_seconds + DEVIATION_FACTOR * self._deviation
        return min(MAX_REPLY_TIMEOUT_SECONDS, max(MIN_REPLY_TIMEOUT_SECONDS, wait))
