"""Which VMs do best what one VM does for all.

The load it answers: VMs of uneven size, of which the smallest has a fifth of the cores
and a twentieth of the link of the largest. What one VM does for all others is more than
a small one can do beside its requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

# Cores and Mbit/s of a VM that can do any duty well, beside its requests: 170 targets
# take 210 grants a second of 1 ms each, and a round of moves is told to 60 VMs in 4 kB.
AMPLE_CORES = 0.8
AMPLE_LINK = 100.0


def power_of(cores: float, link: float) -> float:
    """Return how much of what duties need a VM has: 1 for all of it.

    Parameters
    ----------
    cores : float
        Cores of the usual speed.
    link : float
        Mbit/s.

    Returns
    -------
    float
        From 0 to 1.
    """
    return round(min(1.0, cores / AMPLE_CORES, link / AMPLE_LINK), 2)


class Candidate:
    """A VM that may take a duty.

    Parameters
    ----------
    name : str
        Unique.
    power : float
        As :func:`power_of` returns it.
    """

    __slots__ = ("name", "power")

    def __init__(self, name: str, power: float):
        self.name = name
        self.power = power


def ranked(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return VMs in the order in which they are to take a duty.

    Parameters
    ----------
    candidates : iterable of Candidate

    Returns
    -------
    list of Candidate
        The same order on all VMs that know the same ones.
    """
    return sorted(candidates, key=_rank)


def _rank(candidate: Candidate) -> tuple[float, int, str]:
    return -candidate.power, crc32(candidate.name.encode()), candidate.name
