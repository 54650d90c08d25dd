"""Times at which refused requests find room in a queue.

The load is a burst of several seconds in which a queue refuses most requests. If each
refused caller is told only by how much its request was late, all return into the same
full queue and use up their attempts within a fraction of a second. Here each of them is
told the time of a slot that no other refused caller has been told.

The promised slots are not kept free. A request that can still be answered in time goes
first, since its answer has more value than that of a caller that returns late.
"""

from __future__ import annotations

import heapq
from bisect import insort
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

# Callers honour a Retry-After up to a third of the time that they have left. The
# difference covers the time on the way and the rounding of the header.
MAX_WAIT_SHARE = 0.33
MIN_RETRY_AFTER_SECONDS = 0.05
# After its time a promise still takes its slot for this long. By then its caller has
# returned, and its request is part of the queue, or it does not return.
PROMISE_GRACE_SECONDS = 0.05
# Time for which a schedule of the slots is used. Computing it anew for each of hundreds
# of refusals a second would cost as much time as all other decisions together.
SCHEDULE_SECONDS = 0.05
# Number of promises that are kept; later refusals name the longest honoured time.
MAX_PROMISES = 1000


class _Promise(NamedTuple):
    at: float
    kind: str


class RetryPromises:
    """Promises to the refused requests of one queue.

    Parameters
    ----------
    free_times : callable
        Returns a heap of when each slot becomes free after all queued requests, with
        the slot's target, at a time for a request kind.
    service_seconds : callable
        Returns the service time of a target for a request kind.
    """

    __slots__ = (
        "_computed_at",
        "_free_times",
        "_promises",
        "_service_seconds",
        "_slots",
    )

    def __init__(
        self,
        free_times: Callable[[float, str], list[tuple[float, str]]],
        service_seconds: Callable[[str, str], float],
    ):
        self._free_times = free_times
        self._service_seconds = service_seconds
        # Sorted by time.
        self._promises: list[_Promise] = []
        # Heap of the slots' free times after queued requests and promises.
        self._slots: list[tuple[float, str]] = []
        self._computed_at = float("-inf")

    def __len__(self) -> int:
        """Return the number of promises."""
        return len(self._promises)

    def clear(self) -> None:
        """Forget all promises."""
        self._promises.clear()
        self._computed_at = float("-inf")

    def promise(self, kind: str, seconds_left: float, now: float) -> tuple[float, bool]:
        """Return when a refused request should be retried.

        Parameters
        ----------
        kind : str
        seconds_left : float
            Seconds until the request's deadline.
        now : float

        Returns
        -------
        retry_after : float
            Seconds; at most the share of the time left that callers honour.
        is_promised : bool
            False if no slot becomes free within that time.
        """
        longest = MAX_WAIT_SHARE * max(0.0, seconds_left)
        if now - self._computed_at >= SCHEDULE_SECONDS:
            self._compute(kind, now)
        if not self._slots or len(self._promises) >= MAX_PROMISES:
            return longest, False
        at = max(self._slots[0][0], now + MIN_RETRY_AFTER_SECONDS)
        if at - now > longest:
            return longest, False
        self._take_slot(_Promise(at, kind))
        insort(self._promises, _Promise(at, kind))
        return at - now, True

    def _compute(self, kind: str, now: float) -> None:
        """Compute the schedule of the slots, with the promises that still hold."""
        self._computed_at = now
        self._promises = [
            promise
            for promise in self._promises
            if promise.at + PROMISE_GRACE_SECONDS > now
        ]
        self._slots = self._free_times(now, kind)
        if self._slots:
            for promise in self._promises:
                self._take_slot(promise)

    def _take_slot(self, promise: _Promise) -> None:
        """Assign a promise to the first free slot."""
        free_at, target = self._slots[0]
        seconds = self._service_seconds(target, promise.kind)
        end = max(free_at, promise.at) + seconds
        heapq.heapreplace(self._slots, (end, target))
