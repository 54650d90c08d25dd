"""Links with limited bandwidth between VMs and callers."""

from __future__ import annotations

import asyncio
import time

# Maximum seconds that a link needs to transfer all pending answers. Together with the
# time for which callers still reach a stopping VM this is less than the VM's stop time,
# so that each answer can be sent.
MAX_PENDING_SECONDS = 2.0
BYTES_PER_MBIT = 125_000


class Link:
    """Link from a VM to its callers, which share its bandwidth.

    Parameters
    ----------
    mbps : float
        Bandwidth in Mbit/s.
    """

    __slots__ = ("_free_at", "_pending_bytes", "_rate_bytes_per_second", "mbps")

    def __init__(self, mbps: float):
        self.mbps = mbps
        self._rate_bytes_per_second = mbps * BYTES_PER_MBIT
        self._free_at = 0.0
        self._pending_bytes = 0

    async def wait_for_transfer(self, size: int) -> None:
        """Wait until ``size`` bytes are transferred after all those queued before."""
        now = time.monotonic()
        self._free_at = max(self._free_at, now) + size / self._rate_bytes_per_second
        await asyncio.sleep(self._free_at - now)

    def has_room(self, size: int) -> bool:
        """Return whether an answer of ``size`` bytes may be requested."""
        return (
            self._pending_bytes + size
            <= MAX_PENDING_SECONDS * self._rate_bytes_per_second
        )

    def add_pending_bytes(self, size: int) -> None:
        """Add an answer's bytes when requested; subtract them with a negative size."""
        self._pending_bytes += size
