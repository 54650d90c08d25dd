"""Time that uploads take on the way to their targets.

The bytes under way to a target need no limit of their own. A body is sent only with a
permit, and a target has one permit for each of its slots. With 4 slots and bodies of
360 kB that is 1.4 MB from all VMs together.
"""

from __future__ import annotations

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000

# Share of a measured time that counts as work at least. A link may be faster than its
# nominal bandwidth for a short body.
MIN_WORK_SHARE = 0.25


def compute_link_seconds(body_bytes: int, link_mbps: float) -> float:
    """Return the seconds that a body takes on the VM's own link.

    Answers the load of uploads of 360 kB at VMs with 10 Mbit/s. There a body takes
    0.29 s, which is longer than the work on it.

    Parameters
    ----------
    body_bytes : int
    link_mbps : float
        Bandwidth of the link in Mbit/s; 0 if it is not known.

    Returns
    -------
    float
    """
    if link_mbps <= 0:
        return 0.0
    return body_bytes * _BITS_PER_BYTE / (link_mbps * _BITS_PER_MEGABIT)


def compute_link_bytes_per_second(link_mbps: float) -> float:
    """Return the bytes per second of a link with a bandwidth in Mbit/s."""
    return link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE


def compute_work_seconds(seconds: float, link_seconds: float) -> float:
    """Return the seconds that a target worked on a request.

    The link time of an upload depends on its length. It is left out of the measured
    service times, and added again for each upload by its own length.

    Parameters
    ----------
    seconds : float
        Seconds from sending the request to its answer.
    link_seconds : float
        Seconds that its body was expected to take on the link.

    Returns
    -------
    float
    """
    return max(seconds - link_seconds, seconds * MIN_WORK_SHARE)
