"""When a target is asked for its load.

The load it answers: targets with two or three slots whose machines are slowed by
neighbours for a few hundred milliseconds at a time. Answers tell of busy targets only:
one that was slow when it was heard of last, or stands idle, is not heard of again until
somebody sends there on chance. The VM that keeps the queue before it asks, and none
while its answers tell enough.
"""

from __future__ import annotations

# Age in seconds of what is known of a target's load above which it is asked, while its
# service gets requests: less than the time for which a neighbour slows a machine. Its
# answers tell the keeper of its queue while it works; a question costs a hundredth
# of a request.
STALE = 0.3
# The same where keys are owned. Their requests have no choice of a target; the age
# matters only for dealing out keys by the speed of machines.
STALE_OWNER = 1.0
# Seconds without a request for a service after which its targets are left in peace.
IDLE = 2.0


def is_due(age: float, since_request: float, owns_keys: bool) -> bool:
    """Tell whether a target is to be asked for its load.

    Parameters
    ----------
    age : float
        Seconds since it told of its load; infinite when it never did.
    since_request : float
        Seconds since this VM had a request for its service.
    owns_keys : bool
        Whether its service's keys are owned.

    Returns
    -------
    bool
    """
    if age == float("inf"):
        # The first word of a target tells how fast its machine is, before any key is
        # given to it.
        return True
    if since_request > IDLE:
        return False
    return age >= (STALE_OWNER if owns_keys else STALE)
