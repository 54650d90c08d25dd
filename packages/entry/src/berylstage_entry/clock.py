"""Clocks: monotonic time, with and without the time of a suspension."""

from __future__ import annotations

import time

# A paused or suspended VM must see on waking that its lease is over. CLOCK_MONOTONIC
# stands still while a VM is suspended, so that a lease would seem to go on;
# CLOCK_BOOTTIME does not.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Return monotonic seconds since some fixed moment, suspension included."""
    return time.clock_gettime(_CLOCK)
