"""Assignment of queues to the VMs that serve them.

Requests can be ordered only if a single VM sees the whole queue. Each queue is assigned
to one VM, its permit server, by rendezvous hashing, so all VMs with the same membership
choose the same one. Queues are spread over the VMs with enough capacity, and the queues
of a lost VM move to the next one in their ranking.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_policy.candidates import Candidate

# Share of the largest relative capacity that a permit server needs: on a small VM
# requests wait for its processor rather than for slots.
MIN_CAPACITY_SHARE = 0.5
# Number of permit servers that are tried for a queue before its requests are sent
# without a permit.
MAX_SERVERS_PER_QUEUE = 2
# Time for which a permit server that did not answer is not asked again.
SERVER_BACKOFF_SECONDS = 2.0


def queue_servers(queue: str, candidates: Iterable[Candidate]) -> list[str]:
    """Return the VMs that may serve a queue, in order of preference.

    Parameters
    ----------
    queue : str
        Name of the queue.
    candidates : iterable of Candidate

    Returns
    -------
    list of str
        At most ``MAX_SERVERS_PER_QUEUE``. The loss of a VM moves only its own queues.
    """
    return rank_servers(queue, eligible_vms(candidates))


def rank_servers(queue: str, names: Iterable[str]) -> list[str]:
    """Return the eligible VMs that may serve a queue, in order of preference.

    Parameters
    ----------
    queue : str
    names : iterable of str
        As returned by :func:`eligible_vms`.

    Returns
    -------
    list of str
        At most ``MAX_SERVERS_PER_QUEUE``.
    """
    return sorted(names, key=lambda vm: crc32(f"{queue} {vm}".encode()))[
        :MAX_SERVERS_PER_QUEUE
    ]


def eligible_vms(candidates: Iterable[Candidate]) -> list[str]:
    """Return the sorted names of the VMs with enough capacity to serve queues.

    Parameters
    ----------
    candidates : iterable of Candidate

    Returns
    -------
    list of str
    """
    known = list(candidates)
    best = max((candidate.relative_capacity for candidate in known), default=0.0)
    return sorted(
        c.name for c in known if c.relative_capacity >= MIN_CAPACITY_SHARE * best
    )
