"""Rate limit of one VM's requests to a cold target.

A target that returns cold may be discovered by ten VMs at once. It handles a handful of
requests per second from all of them together and fails above that, and no VM knows what
the others are sending at the moment. Each VM therefore limits its rate so that the sum
stays within the bound even if all VMs send; without that, targets fail repeatedly right
after their start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Sequence

# VMs assumed in addition to the known ones, for those that are just starting.
ASSUMED_UNKNOWN_VMS = 2
# Minimum interval between two requests of one VM. It is slightly longer than the second
# over which the bound is counted, so that delays in transit cannot bring two requests
# into one second.
MIN_INTERVAL_SECONDS = 1.15


# Share of the bound that is given to selected senders if there are more VMs than the
# bound has requests. The rest is for VMs that do not know of each other yet.
SENDER_SHARE = 0.7


def is_cold_sender(target: str, vm: str, vms: Sequence[str], bound: float) -> bool:
    """Tell whether a VM may send requests to a cold target.

    If there are more VMs than the bound has requests, no rate limit per VM is low
    enough: all VMs may send in the same second (30 of 30 did in a simulation). Only the
    first VMs of a ranking then send, which differs by target and is the same on all
    VMs.

    Parameters
    ----------
    target, vm : str
    vms : sequence of str
        Known VMs, with or without this one.
    bound : float
        Maximum requests in any one second, from all VMs.

    Returns
    -------
    bool
    """
    others = {name for name in vms if name != vm}
    if len(others) + 1 + ASSUMED_UNKNOWN_VMS <= int(bound):
        return True
    max_senders = max(1, int(SENDER_SHARE * bound))
    own_rank = _rank(target, vm)
    return sum(1 for name in others if _rank(target, name) < own_rank) < max_senders


def _rank(target: str, vm: str) -> int:
    return crc32(f"{target} {vm}".encode())


class ColdRateLimiter:
    """Rate limiter of one VM for one cold target.

    Parameters
    ----------
    bound : float
        Maximum requests in any one second, from all VMs.
    vm_count : int
        VMs that may send, at least 1; includes VMs assumed to be starting.
    now : float
        Monotonic seconds. A VM that has just started does not know what it sent before
        and therefore starts as if it had just sent a request.
    """

    __slots__ = ("_bound", "_interval", "_last_at", "_vm_count")

    def __init__(self, bound: float, vm_count: int, now: float):
        self._bound = bound
        self._vm_count = vm_count
        self._interval = self.interval(bound, vm_count)
        self._last_at = now

    def set_vm_count(self, vm_count: int) -> None:
        """Share the bound with another number of VMs.

        A VM that starts knows the others only after a while.
        """
        if vm_count == self._vm_count:
            return
        self._vm_count = vm_count
        self._interval = self.interval(self._bound, vm_count)

    @staticmethod
    def interval(bound: float, vm_count: int) -> float:
        """Return the interval in seconds between two requests; infinite to send none.

        Parameters
        ----------
        bound : float
        vm_count : int

        Returns
        -------
        float
        """
        if bound < 1:
            return float("inf")
        return MIN_INTERVAL_SECONDS / max(1, int(bound / max(1, vm_count)))

    def may_send(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self._last_at + self._interval

    def record_request(self, now: float) -> None:
        """Record that a request is sent."""
        self._last_at = now
