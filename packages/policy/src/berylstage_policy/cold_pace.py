"""How often one of many VMs may send to a cold target.

The load it answers: a cold target that is found by ten VMs at once. It bears a handful
of requests a second from all of them together and falls over above that, and no VM
knows what the others send at this moment. So each VM keeps a pace that stays within the
bound when all of them send; one sees without it targets that die again and again right
after their start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Sequence

# VMs that are assumed beyond those that are known, for those that are just starting.
UNKNOWN = 2
# Seconds between two requests of one VM at least. A little over the second in which the
# bound is counted, so that delays on the way cannot bring two into one second.
SHORTEST_GAP = 1.15


# Share of the bound that is given out as turns when there are more VMs than that; the
# rest is for VMs that do not know of each other yet.
TURNS_SHARE = 0.7


def may_warm_up(target: str, vm: str, vms: Sequence[str], bound: float) -> bool:
    """Tell whether a VM is one of those that send to a cold target.

    With more VMs than the bound has requests, no pace of each is slow enough: all of
    them may send in the same second (seen in play: 30 of 30). So some of them send, by
    an order that is another one for each target and the same on all VMs.

    Parameters
    ----------
    target, vm : str
    vms : sequence of str
        All that are known, this one included or not.
    bound : float
        Requests that the target bears in any one second, from all VMs.

    Returns
    -------
    bool
    """
    others = {name for name in vms if name != vm}
    if len(others) + 1 + UNKNOWN <= int(bound):
        return True
    turns = max(1, int(TURNS_SHARE * bound))
    mine = _rank(target, vm)
    return sum(1 for name in others if _rank(target, name) < mine) < turns


def _rank(target: str, vm: str) -> int:
    return crc32(f"{target} {vm}".encode())


class ColdPace:
    """The pace of one VM towards one cold target.

    Parameters
    ----------
    bound : float
        Requests that the target bears in any one second, from all VMs.
    senders : int
        VMs that may send, at least 1; more are assumed than are known.
    now : float
        Monotonic seconds. A VM that has just started doesn't know what it sent before,
        so it begins as if it had just sent.
    """

    __slots__ = ("_gap", "_next")

    def __init__(self, bound: float, senders: int, now: float):
        self._gap = self.gap(bound, senders)
        self._next = now + self._gap

    @staticmethod
    def gap(bound: float, senders: int) -> float:
        """Return the seconds between two requests; infinite when none may be sent.

        Parameters
        ----------
        bound : float
        senders : int

        Returns
        -------
        float
        """
        if bound < 1:
            return float("inf")
        return SHORTEST_GAP / max(1, int(bound / max(1, senders)))

    def may_send(self, now: float) -> bool:
        """Tell whether a request may be sent now."""
        return now >= self._next

    def sent(self, now: float) -> None:
        """Note a request."""
        self._next = now + self._gap
