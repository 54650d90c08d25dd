"""Chooses the VM that sends a request to a target for a VM that does not reach it.

It answers the load of a data centre most of whose VMs have lost their links to targets:
all their requests go through the other VMs, whose links and cores must share them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

# Requests in flight per unit of capacity above which a VM of the same data centre is no
# longer preferred. Bytes between data centres are paid for, but a VM that sends for
# many others would be late for its own callers.
MAX_LOCAL_IN_FLIGHT = 4.0
MIN_CAPACITY = 0.05
# VMs known to reach targets from which on no others are tried. Where most VMs have lost
# their links, one that is drawn by chance is likely to have lost them as well.
MIN_PROVEN = 3


class RelayCandidate:
    """A VM that may be asked.

    Parameters
    ----------
    address : str
        Unique.
    relative_capacity : float
        From 0 to 1.
    in_flight : int
        Requests that it has been asked to send and has not answered.
    is_local : bool
        Whether it is in the data centre of the VM that asks.
    is_proven : bool
        Whether it has recently sent a request to a target.
    """

    __slots__ = ("address", "in_flight", "is_local", "is_proven", "relative_capacity")

    def __init__(
        self,
        address: str,
        relative_capacity: float,
        in_flight: int,
        is_local: bool,
        is_proven: bool = False,
    ):
        self.address = address
        self.relative_capacity = relative_capacity
        self.in_flight = in_flight
        self.is_local = is_local
        self.is_proven = is_proven

    @property
    def load(self) -> float:
        """Requests in flight per unit of capacity, with the next one."""
        return (self.in_flight + 1) / max(MIN_CAPACITY, self.relative_capacity)


def choose_relay(candidates: list[RelayCandidate], rng: Random) -> str:
    """Return the address of the VM to be asked, or an empty string.

    Of two that are drawn by chance, the one with less load is taken, so that VMs with
    the same information do not all choose the same one.

    Parameters
    ----------
    candidates : list of RelayCandidate
    rng : Random

    Returns
    -------
    str
    """
    local = [c for c in candidates if c.is_local and c.load <= MAX_LOCAL_IN_FLIGHT]
    eligible = local or candidates
    proven = [c for c in eligible if c.is_proven]
    if len(proven) >= min(MIN_PROVEN, len(eligible)):
        eligible = proven
    if not eligible:
        return ""
    drawn = rng.sample(eligible, min(2, len(eligible)))
    return min(drawn, key=lambda candidate: candidate.load).address
