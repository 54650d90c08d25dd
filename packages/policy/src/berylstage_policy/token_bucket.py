"""Token bucket of a limit whose rate may change."""

from __future__ import annotations


class TokenBucket:
    """Tokens that accrue at a rate, up to a capacity.

    Parameters
    ----------
    rate : float
        Tokens per second.
    capacity : float
    level : float
        Tokens at the start.
    now : float
        Monotonic seconds.
    """

    __slots__ = ("_capacity", "_filled_at", "_level", "_rate")

    def __init__(self, rate: float, capacity: float, level: float, now: float):
        self._rate = rate
        self._capacity = capacity
        self._level = min(level, capacity)
        self._filled_at = now

    def set_limits(self, rate: float, capacity: float, now: float) -> None:
        """Change the limits; tokens beyond the new capacity are lost.

        The change may have come at any time since the last call, so the lower rate
        counts since then.
        """
        self._rate = min(self._rate, rate)
        self._fill(now)
        self._rate = rate
        self._capacity = capacity
        self._level = min(self._level, capacity)

    def take(self, count: int, now: float) -> int:
        """Take up to `count` whole tokens and return how many were taken."""
        self._fill(now)
        taken = min(count, int(self._level))
        self._level -= taken
        return taken

    def seconds_until(self, count: int, now: float) -> float:
        """Return the seconds until `count` tokens are there; infinite if never."""
        self._fill(now)
        missing = count - self._level
        if missing <= 0:
            return 0.0
        return missing / self._rate if self._rate > 0 else float("inf")

    def _fill(self, now: float) -> None:
        passed = max(0.0, now - self._filled_at)
        self._level = min(self._capacity, self._level + passed * self._rate)
        self._filled_at = max(now, self._filled_at)
