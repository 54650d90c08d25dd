"""When a target is asked for its load, and by which VM.

The load it answers: targets with two or three slots whose machines are slowed by
neighbours for a few hundred milliseconds at a time. Answers tell of busy targets only:
one that was slow when it was heard of last, or stands idle, is not heard of again until
somebody sends there on chance. A question is cheap, but each target needs just one VM
that asks, and none while its answers tell enough.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

# Age in seconds of what is known of a target's load above which it is asked, while its
# service gets requests: a third of the time for which a neighbour slows a machine. At
# 1.3 times today's requests 0.948 of the credit is earned without questions, 0.952 with
# them after 0.24 s, 0.960 after 0.12 s and 0.965 after 0.06 s (`make bench-placement`);
# each question costs about a hundredth of a request, and halving the age doubles them.
STALE = 0.12
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


def prober(target: str, vms: Iterable[str]) -> str:
    """Return the VM that asks a target, the same on all VMs that know the same ones.

    Parameters
    ----------
    target : str
    vms : iterable of str
        At least one. When one goes, only its own targets get another VM.

    Returns
    -------
    str
    """
    return max(vms, key=lambda vm: (crc32(f"{target} {vm}".encode()), vm))
