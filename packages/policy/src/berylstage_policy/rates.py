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

    __slots__ = ("updated", "_window", "_amount")

    def __init__(self, window: float):
        self.updated = float("-inf")
        self._window = window
        self._amount = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount at the given time."""
        self._amount = self._amount * exp((self.updated - now) / self._window) + amount
        self.updated = now

    def rate(self, now: float) -> float:
        """Return the amount per second."""
        return self._amount * exp((self.updated - now) / self._window) / self._window
