"""Exponentially decayed rates in constant memory."""

from __future__ import annotations

from math import exp


class DecayedRate:
    """Amount per second over an exponentially decaying window.

    Parameters
    ----------
    window : float
        Time constant in seconds, after which an amount counts 1/e.
    """

    __slots__ = ("updated_at", "_window_seconds", "_amount")

    def __init__(self, window: float):
        self.updated_at = float("-inf")
        self._window_seconds = window
        self._amount = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the given time."""
        self._amount = (
            self._amount * exp((self.updated_at - now) / self._window_seconds) + amount
        )
        self.updated_at = now

    def rate(self, now: float) -> float:
        """Return the amount per second."""
        return (
            self._amount
            * exp((self.updated_at - now) / self._window_seconds)
            / self._window_seconds
        )
