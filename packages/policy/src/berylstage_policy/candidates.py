"""Ranks VMs for tasks that one VM does for all.

VMs differ in size: the smallest has a fifth of the cores and a twentieth of the
bandwidth of the largest. Work for all other VMs is more than a small VM can do besides
its requests.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

# Cores and Mbit/s with which a VM can do any such task besides its requests: 170
# targets need 210 grants per second of 1 ms each, and a round of moves is sent to 60
# VMs in 4 kB.
SUFFICIENT_CORES = 0.8
SUFFICIENT_LINK_MBPS = 100.0


def compute_relative_capacity(cores: float, link: float) -> float:
    """Return the share of the resources needed for such tasks that a VM has.

    Parameters
    ----------
    cores : float
        Number of cores of standard speed.
    link : float
        Bandwidth in Mbit/s.

    Returns
    -------
    float
        From 0 to 1; 1 suffices for any such task.
    """
    return round(min(1.0, cores / SUFFICIENT_CORES, link / SUFFICIENT_LINK_MBPS), 2)


class Candidate:
    """A VM that may do a task for all others.

    Parameters
    ----------
    name : str
        Unique.
    relative_capacity : float
        Result of :func:`compute_relative_capacity`.
    """

    __slots__ = ("name", "relative_capacity")

    def __init__(self, name: str, relative_capacity: float):
        self.name = name
        self.relative_capacity = relative_capacity


def rank_candidates(candidates: Iterable[Candidate]) -> list[Candidate]:
    """Return VMs in the order of preference for a task.

    Parameters
    ----------
    candidates : iterable of Candidate

    Returns
    -------
    list of Candidate
        All VMs that know the same candidates compute the same order.
    """
    return sorted(candidates, key=_sort_key)


def _sort_key(candidate: Candidate) -> tuple[float, int, str]:
    return -candidate.relative_capacity, crc32(candidate.name.encode()), candidate.name
