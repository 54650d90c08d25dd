"""Which VM keeps the queue before some targets.

The load it answers: a queue of which each VM sees a part is in no order. So one VM
keeps it, the same one for all VMs that know the same ones; queues are spread over the
VMs that have room for such work, and those of a lost VM go to the next one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_policy.candidates import Candidate

# Share of the best VM's power that a keeper must have: behind a small one requests wait
# for its processor rather than for slots.
LEAST_SHARE = 0.5
# Keepers that are tried for a queue before its requests go without one.
TRIED = 2
# Seconds for which a keeper that gave no answer is passed over.
PASSED_OVER = 2.0


def keepers(queue: str, candidates: Iterable[Candidate]) -> list[str]:
    """Return the VMs that may keep a queue, the first one first.

    Parameters
    ----------
    queue : str
        Name of the queue.
    candidates : iterable of Candidate

    Returns
    -------
    list of str
        At most ``TRIED``. When a VM goes, only its own queues get another one.
    """
    return first_for(queue, able(candidates))


def first_for(queue: str, names: Iterable[str]) -> list[str]:
    """Return the VMs that keep a queue, of those that are able to.

    Parameters
    ----------
    queue : str
    names : iterable of str
        As :func:`able` returns them.

    Returns
    -------
    list of str
        At most ``TRIED``, the first one first.
    """
    return sorted(names, key=lambda vm: crc32(f"{queue} {vm}".encode()))[:TRIED]


def able(candidates: Iterable[Candidate]) -> list[str]:
    """Return the names of the VMs that have room for keeping queues, in order.

    Parameters
    ----------
    candidates : iterable of Candidate

    Returns
    -------
    list of str
    """
    known = list(candidates)
    best = max((candidate.power for candidate in known), default=0.0)
    return sorted(c.name for c in known if c.power >= LEAST_SHARE * best)
