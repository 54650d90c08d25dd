"""Bound on the connections of callers, and the choice of those that are ended.

Answers the load of more connections than the process has descriptors. Without a bound,
the connections to targets, the store and other VMs would find none left, and requests
of all callers would fail.
"""

from __future__ import annotations

from dataclasses import dataclass
from operator import attrgetter
from resource import RLIM_INFINITY
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

# Descriptors of the kernel's limit that the process needs for files, pipes and
# listening sockets.
FILE_DESCRIPTORS = 32
# Sockets of the process where the operators set no limit.
DEFAULT_SOCKETS = 20_000
# Share of the sockets that callers may use. The rest is for targets, the store, other
# VMs and the load balancer.
CALLER_SHARE = 0.75
# Seconds for which a connection is never ended: the first request of a new connection,
# or the rest of a request, may still be in transit.
MIN_WAITING_SECONDS = 0.5


def compute_max_connections(max_sockets: int | None, max_descriptors: int) -> int:
    """Return the most connections of callers that are open at once.

    Parameters
    ----------
    max_sockets : int or None
        Sockets that the operators let the process open; None if they set no limit.
    max_descriptors : int
        Descriptors that the kernel lets the process open; `RLIM_INFINITY` if it sets no
        limit.
    """
    limits = [DEFAULT_SOCKETS] if max_sockets is None else [max_sockets]
    if max_descriptors != RLIM_INFINITY:
        limits.append(max_descriptors - FILE_DESCRIPTORS)
    return max(1, int(min(limits) * CALLER_SHARE))


@dataclass(frozen=True, slots=True)
class WaitingConnection:
    """A connection that has nothing to be served.

    Attributes
    ----------
    connection : int
        Identifier of the connection.
    since : float
        Monotonic seconds at which it became idle, or at which the request that it has
        not finished began.
    """

    connection: int
    since: float


def order_waiting_connections(
    waiting: Iterable[WaitingConnection], now: float
) -> list[WaitingConnection]:
    """Return the connections that may be ended, in the order in which they are.

    Parameters
    ----------
    waiting : iterable of WaitingConnection
    now : float
        Monotonic seconds.

    Returns
    -------
    list of WaitingConnection
        Those that have waited for `MIN_WAITING_SECONDS`, the longest first.
    """
    old = [conn for conn in waiting if now - conn.since >= MIN_WAITING_SECONDS]
    return sorted(old, key=attrgetter("since"))
