"""A monotonic clock that counts the time for which the machine is suspended."""

from __future__ import annotations

import time

# A VM that resumes after a suspension must notice that its lease has expired.
# CLOCK_MONOTONIC stops during a suspension, so that the lease would seem to be valid;
# CLOCK_BOOTTIME does not.
_CLOCK_ID = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def now() -> float:
    """Return monotonic seconds since a fixed time, including suspensions."""
    return time.clock_gettime(_CLOCK_ID)
