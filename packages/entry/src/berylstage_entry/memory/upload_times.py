"""Time and bytes that uploads take on the way to their targets."""

from __future__ import annotations

_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1_000_000


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


def max_bytes_under_way(slots: int, largest_body: int) -> int:
    """Return the most bytes of bodies that all VMs together send to a target.

    A body is sent only with a permit, and a target has a permit for each of its slots.
    With 4 slots and bodies of 360 kB that is 1.4 MB, so there is no further limit.

    Parameters
    ----------
    slots : int
    largest_body : int
        Bytes.

    Returns
    -------
    int
    """
    return slots * largest_body
