"""Links of little bandwidth between VMs and callers."""

from __future__ import annotations

import asyncio
import time

# Seconds that a link may need for all answers that are asked for through it. Together
# with the time in which callers still come this is less than a VM has for its stop, so
# that each answer can leave.
MOST_OWED_S = 2.0
BYTES_PER_MBIT = 125_000


class Link:
    """The way from a VM to its callers, which share its bandwidth.

    Parameters
    ----------
    mbps : float
    """

    __slots__ = ("_free_at", "_owed", "_rate", "mbps")

    def __init__(self, mbps: float):
        self.mbps = mbps
        self._rate = mbps * BYTES_PER_MBIT
        self._free_at = 0.0
        self._owed = 0

    async def carry(self, size: int) -> None:
        """Wait until so many bytes have passed behind all others."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self._rate
        await asyncio.sleep(self._free_at - now)

    def has_room(self, size: int) -> bool:
        """Tell whether an answer of that size may be asked for."""
        return self._owed + size <= MOST_OWED_S * self._rate

    def owe(self, size: int) -> None:
        """Note that an answer is asked for, or with a negative size that it ended."""
        self._owed += size
