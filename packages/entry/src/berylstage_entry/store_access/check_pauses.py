"""Decides how long a VM that the store turns away waits before its next call.

Load: the store turns a third of 81 VMs away for 9 s and revokes their leases. Each of
them made a hundred calls meanwhile, although other VMs could tell it all changes.
"""

from __future__ import annotations

# Pause of a VM that learns all changes from the publisher: only its own record waits
# for the store, and VMs know each other for 20 s after the last renewal.
MIN_PAUSE_SECONDS = 3.0
PAUSE_FACTOR = 1.5
# Longest pause. The VM is missing from the number of VMs that share limits for at most
# this time after the store has returned.
MAX_PAUSE_SECONDS = 9.0


def check_pause(failures: int) -> float:
    """Return the seconds from a failed call to the next one.

    Parameters
    ----------
    failures : int
        Failed calls since the last successful one, 1 or more.
    """
    # The exponent is bounded, because the power of a large one overflows.
    growth = PAUSE_FACTOR ** min(max(0, failures - 1), 10)
    return min(MAX_PAUSE_SECONDS, MIN_PAUSE_SECONDS * growth)


def has_store_returned(own_outage_seconds: float, publisher_contact: float) -> bool:
    """Tell whether the publisher had lost the store as well and has it again.

    Otherwise it reached the store throughout, and this VM alone is turned away.

    Parameters
    ----------
    own_outage_seconds : float
        Seconds for which calls of this VM have failed.
    publisher_contact : float
        Seconds for which calls of the publisher have not failed.
    """
    return publisher_contact < own_outage_seconds
