"""Which waiting ticket expires next."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Container

# Dropped entries that are tolerated before the heap is rebuilt.
STALE_ENTRIES = 64


class ExpiryHeap:
    """Moments at which tickets expire.

    Tickets that no longer wait are dropped when they surface, or all at once when they
    are more than half: most tickets are served, and taking each out would cost more
    than all else that is done for it.

    Parameters
    ----------
    waiting : container of str
        Ids of the tickets that wait; looked at, not copied.
    """

    __slots__ = ("_heap", "_waiting")

    def __init__(self, waiting: Container[str]):
        self._heap: list[tuple[float, str]] = []
        self._waiting = waiting

    def add(self, moment: float, ticket_id: str, waiting: int) -> None:
        """Add a ticket; `waiting` is how many wait, this one included."""
        heappush(self._heap, (moment, ticket_id))
        if len(self._heap) > 2 * waiting + STALE_ENTRIES:
            self._heap = [entry for entry in self._heap if entry[1] in self._waiting]
            heapify(self._heap)

    def next(self) -> float | None:
        """Return the next moment, or None when nothing waits."""
        while self._heap and self._heap[0][1] not in self._waiting:
            heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    def due(self, now: float) -> str | None:
        """Take out the id of a waiting ticket that has expired, if there is one."""
        moment = self.next()
        if moment is None or moment > now:
            return None
        return heappop(self._heap)[1]

    def clear(self) -> None:
        """Forget all."""
        self._heap.clear()
