"""Heap of the expiry times of waiting requests."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

# Stale entries that are tolerated before the heap is rebuilt.
MAX_STALE_ENTRIES = 64


class ExpiryHeap:
    """Min-heap of the times at which waiting requests expire.

    Entries of requests that no longer wait are removed lazily: when they reach the top
    of the heap, or all at once when they are more than half of it. Most requests are
    served before they expire, and removing each entry eagerly would cost more than
    everything else that is done for a request.

    Parameters
    ----------
    waiting : container of str
        Ids of the waiting requests. The heap keeps a reference, not a copy.
    """

    __slots__ = ("_heap", "_waiting_ids")

    def __init__(self, waiting: Container[str]):
        self._heap: list[tuple[float, str]] = []
        self._waiting_ids = waiting

    def add(self, expires_at: float, ticket_id: str, waiting_count: int) -> None:
        """Add a request; `waiting_count` is the number of waiting requests with it."""
        heappush(self._heap, (expires_at, ticket_id))
        if len(self._heap) > 2 * waiting_count + MAX_STALE_ENTRIES:
            self._heap = [
                entry for entry in self._heap if entry[1] in self._waiting_ids
            ]
            heapify(self._heap)

    def next_expiry(self) -> float | None:
        """Return the earliest expiry time, or None if nothing waits."""
        while self._heap and self._heap[0][1] not in self._waiting_ids:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> str | None:
        """Remove and return the id of an expired waiting request, or None."""
        expires_at = self.next_expiry()
        if expires_at is None or expires_at > now:
            return None
        return heappop(self._heap)[1]

    def clear(self) -> None:
        """Remove all entries."""
        self._heap.clear()
