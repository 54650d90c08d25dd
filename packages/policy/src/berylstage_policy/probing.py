"""Decides when a target is probed for its load.

Targets have two or three slots, and neighbours slow their machines for a few hundred
milliseconds at a time. Answers report the load of busy targets only: a target that was
slow at its last report, or is idle, is not measured again until a request happens to be
sent there. The permit server of the target's queue probes it, unless answers report
often enough.
"""

from __future__ import annotations

# Age in seconds of a load report above which the target is probed, while its service
# receives requests: less than the time for which neighbours slow a machine. A working
# target reports to the permit server with its answers; a probe costs a hundredth of a
# request.
STALE = 0.3
# The same for services with owned keys. Their requests have no choice of a target, and
# the age affects only the distribution of keys by machine speed.
OWNER_STALE_SECONDS = 1.0
# A service's targets are not probed after this time without a request for it.
IDLE_SERVICE_SECONDS = 2.0


def is_due(age: float, since_request: float, owns_keys: bool) -> bool:
    """Tell whether a target should be probed for its load.

    Parameters
    ----------
    age : float
        Seconds since the target's last load report; infinite if there is none.
    since_request : float
        Seconds since this VM's last request for the target's service.
    owns_keys : bool
        Whether the service's keys are owned.

    Returns
    -------
    bool
    """
    if age == float("inf"):
        # The first report shows how fast the target's machine is before any key is
        # assigned to it.
        return True
    if since_request > IDLE_SERVICE_SECONDS:
        return False
    return age >= (OWNER_STALE_SECONDS if owns_keys else STALE)
