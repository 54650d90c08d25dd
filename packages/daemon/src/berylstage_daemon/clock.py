"""Clocks: monotonic time that counts suspension, and wall-clock time."""

from __future__ import annotations

import time

from berylstage_entry.clock import now

__all__ = ["now", "wall"]


def wall() -> float:
    """Return wall-clock seconds since 1970."""
    return time.time()
