"""Hierarchical start-time fair queueing.

Fair queueing protects callers from a tenant, class or caller that sends far more than
the others: in a FIFO queue, its backlog would delay everybody. Each level of the tree
divides slot time among its children by start-time fair queueing (SFQ). The child with
the lowest start tag is served next, and a child that becomes active starts at the
current virtual time, so that an idle flow cannot accumulate credit and then take all
slots.
"""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")

# Idle children that a node keeps, so that a caller that sends one request at a time
# cannot clear its debt by being idle in between. It bounds the memory of each node.
MAX_IDLE_FLOWS = 256

# Stale heap entries that a node tolerates, in addition to four for each child.
MAX_STALE_ENTRIES = 64


class Flow(Generic[T]):
    """Node of the tree: a weighted share of its parent's slot time.

    Parameters
    ----------
    parent : Flow or None
    weight : float
        Share of the time, relative to the other children of the parent.
    """

    __slots__ = (
        "parent",
        "weight",
        "start_tag",
        "virtual_time",
        "children",
        "child_heap",
        "active_weight",
        "items",
        "size",
        "backlog",
        "busy_period",
        "sort_key",
    )

    def __init__(self, parent: Flow[T] | None, weight: float):
        self.parent = parent
        self.weight = weight
        # Service time received per unit of weight. The parent serves the lowest first.
        self.start_tag = 0.0
        # Start tag of the child served last, at which children that become active
        # start.
        self.virtual_time = 0.0
        self.children: dict[str, Flow[T]] = {}
        # Heap of (sort key, number, child). Entries with an outdated key are skipped.
        self.child_heap: list[tuple[tuple[float, int], int, Flow[T]]] = []
        self.active_weight = 0.0
        # Waiting items with their arrival numbers and expected costs.
        self.items: deque[tuple[T, int, float]] = deque()
        self.size = 0
        self.backlog = 0.0
        # Busy period in which the start tag was set. The tag has no meaning in a later
        # one.
        self.busy_period = 0
        # Position among the parent's children; the lowest is served first.
        self.sort_key = (0.0, 0)

    def child(self, name: str, weight: float) -> Flow[T]:
        """Return the child of that name, creating it if necessary."""
        found = self.children.get(name)
        if found is None:
            if len(self.children) >= MAX_IDLE_FLOWS:
                self._drop_idle()
            found = self.children[name] = Flow(self, weight)
            found.start_tag = self.virtual_time
        found.weight = weight
        return found

    def _drop_idle(self) -> None:
        """Remove the idle children without debt, or else half of the idle ones."""
        idle = [name for name, flow in self.children.items() if not flow.size]
        debt_free = [n for n in idle if self.children[n].start_tag <= self.virtual_time]
        for name in debt_free or idle[: len(idle) // 2]:
            del self.children[name]

    def compact_heap(self) -> None:
        """Remove stale heap entries, which stay while only one child is served."""
        self.child_heap = [
            e for e in self.child_heap if e[2].size and e[0] is e[2].sort_key
        ]
        heapify(self.child_heap)

    def next_child(self) -> Flow[T]:
        """Return the active child to serve next; there must be one."""
        child_heap = self.child_heap
        while True:
            sort_key, _, flow = child_heap[0]
            if flow.size and sort_key is flow.sort_key:
                return flow
            heappop(child_heap)


class FairQueue(Generic[T]):
    """Tree of flows whose leaves hold items in order of arrival.

    Parameters
    ----------
    overtaking_factor : float
        Upper bound on the work served before a new item, as a multiple of the waiting
        work.
    """

    __slots__ = ("root", "_busy_period", "_sequence", "_overtaking_factor")

    def __init__(self, overtaking_factor: float) -> None:
        self.set_overtaking_factor(overtaking_factor)
        self.root: Flow[T] = Flow(None, 1.0)
        self._busy_period = 0
        self._sequence = 0

    def set_overtaking_factor(self, overtaking_factor: float) -> None:
        """Replace the upper bound on the work served before a new item."""
        self._overtaking_factor = overtaking_factor

    def __len__(self) -> int:
        return self.root.size

    def leaf(self, path: tuple[tuple[str, float], ...]) -> Flow[T]:
        """Return the leaf at a path of (name, weight) pairs from the root."""
        flow = self.root
        for name, weight in path:
            flow = flow.child(name, weight)
        return flow

    def push(self, leaf: Flow[T], item: T, cost: float) -> None:
        """Append an item with its expected cost to a leaf."""
        self._sequence += 1
        leaf.items.append((item, self._sequence, cost))
        flow: Flow[T] = leaf
        while flow.parent is not None:
            parent = flow.parent
            # Update the size first: `_insert` may compact the heap, which drops idle
            # flows.
            flow.size += 1
            flow.backlog += cost
            if flow.size == 1:
                self._reset_stale_tag(flow, parent)
                flow.start_tag = max(flow.start_tag, parent.virtual_time)
                parent.active_weight += flow.weight
                self._insert(flow, parent)
            flow = parent
        flow.size += 1
        flow.backlog += cost

    def charge(self, leaf: Flow[T], cost: float) -> None:
        """Add received service time to a leaf and all of its ancestors."""
        flow = leaf
        while flow.parent is not None:
            parent = flow.parent
            self._reset_stale_tag(flow, parent)
            flow.start_tag += cost / flow.weight
            # Virtual time advances with the work that is done. If it followed the start
            # tags alone, it would stand still while new flows are served once each, and
            # a flow with a slightly higher tag would wait for as long as new flows
            # arrive.
            weights = parent.active_weight + (0.0 if flow.size else flow.weight)
            parent.virtual_time += cost / weights
            if flow.size:
                self._insert(flow, parent)
            flow = parent

    def _reset_stale_tag(self, flow: Flow[T], parent: Flow[T]) -> None:
        """Reset a start tag that was set in an earlier busy period."""
        if flow.busy_period != self._busy_period:
            flow.start_tag = parent.virtual_time
            flow.busy_period = self._busy_period

    def _insert(self, flow: Flow[T], parent: Flow[T]) -> None:
        """Push an active flow onto its parent's heap, by start tag and arrival."""
        self._sequence += 1
        number = flow.items[0][1] if flow.items else self._sequence
        flow.sort_key = (max(parent.virtual_time, flow.start_tag), number)
        heappush(parent.child_heap, (flow.sort_key, self._sequence, flow))
        if len(parent.child_heap) > MAX_STALE_ENTRIES + 4 * len(parent.children):
            parent.compact_heap()

    def pop(self, child_name: str | None = None) -> T:
        """Remove and return the next item, of one child of the root if it is named."""
        flow = self.root
        if child_name is not None:
            flow = flow.children[child_name]
            self.root.virtual_time = max(self.root.virtual_time, flow.start_tag)
        while not flow.items:
            parent, flow = flow, flow.next_child()
            parent.virtual_time = max(parent.virtual_time, flow.sort_key[0])
        return self._pop_leaf(flow)

    def _pop_leaf(self, leaf: Flow[T]) -> T:
        """Remove and return the first item of a leaf."""
        item, _, cost = leaf.items.popleft()
        self._subtract(leaf, cost)
        self._reinsert(leaf)
        return item

    def _reinsert(self, leaf: Flow[T]) -> None:
        """Push a leaf onto its parent's heap again after its first item changed."""
        if leaf.items and leaf.parent is not None:
            self._insert(leaf, leaf.parent)

    def remove(self, leaf: Flow[T], item: T) -> None:
        """Remove an item that will not be served."""
        for index, (found, _, cost) in enumerate(leaf.items):
            if found is item:
                del leaf.items[index]
                self._subtract(leaf, cost)
                if not index:
                    self._reinsert(leaf)
                return

    def _subtract(self, leaf: Flow[T], cost: float) -> None:
        """Subtract one item from a leaf and all of its ancestors."""
        flow: Flow[T] | None = leaf
        while flow is not None:
            flow.size -= 1
            flow.backlog = flow.backlog - cost if flow.size else 0.0
            if not flow.size and flow.parent is not None:
                flow.parent.active_weight -= flow.weight
            flow = flow.parent
        if not self.root.size:
            self._busy_period += 1

    def work_ahead(self, leaf: Flow[T], cost: float) -> float:
        """Return the work that is served before a new item of a leaf.

        It is the backlog of the item's own flow plus the work that siblings on each
        level receive by weight in the meantime, capped at a multiple of their own
        backlog.

        Parameters
        ----------
        leaf : Flow
            Flow to which the new item would be added.
        cost : float
            Expected cost of the new item in seconds.

        Returns
        -------
        float
            Slot-seconds.
        """
        flow: Flow[T] = leaf
        work = leaf.backlog
        while flow.parent is not None:
            parent = flow.parent
            weights = parent.active_weight + (0.0 if flow.size else flow.weight)
            # Recent service in excess of the share, which the flow waits out first.
            debt = max(0.0, flow.start_tag - parent.virtual_time)
            if flow.busy_period != self._busy_period:
                debt = 0.0
            shared = (debt + (work + cost) / flow.weight) * weights - cost
            work = min(parent.backlog * self._overtaking_factor, shared)
            flow = parent
        return work

    def heaviest_leaf(self) -> Flow[T]:
        """Return the leaf reached by following the largest backlog per weight."""
        flow = self.root
        while flow.children:
            flow = max(
                (child for child in flow.children.values() if child.size),
                key=lambda child: child.backlog / child.weight,
            )
        return flow
