"""Bound on the number of log lines."""

from __future__ import annotations

from berylstage_entry.clock import now

# Seconds worth of lines that may be written in one burst.
BURST_SECONDS = 2.0


class LogRateLimiter:
    """Token bucket that limits the rate of log lines.

    Parameters
    ----------
    rate : float
        Lines per second.

    Attributes
    ----------
    suppressed : int
        Lines suppressed since they were last reported.
    """

    __slots__ = ("_rate", "_refilled_at", "_tokens", "suppressed")

    def __init__(self, rate: float):
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._refilled_at = now()
        self.suppressed = 0

    def take(self) -> bool:
        """Take a token and return True, or count a suppressed line."""
        moment = now()
        filled = self._tokens + (moment - self._refilled_at) * self._rate
        self._tokens = min(self._rate * BURST_SECONDS, filled)
        self._refilled_at = moment
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True

    def take_suppressed_count(self) -> int:
        """Return and reset the number of suppressed lines."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed
