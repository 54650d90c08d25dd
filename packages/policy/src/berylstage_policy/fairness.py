"""Fair queueing over a tree of flows.

The load it answers: one tenant, class or caller that sends far more than the others. In
a first-in-first-out queue its backlog is everybody's wait. Here each level of the tree
shares the slots' time by start-time fair queueing: the child that has had the least
time for its weight goes next, and a child that was idle starts level with the others,
so that nobody saves up a claim to all slots.
"""

from __future__ import annotations

from collections import deque
from heapq import heapify, heappop, heappush
from typing import Generic, TypeVar

T = TypeVar("T")

# Idle flows that a level remembers, so that a caller who sends one request at a time
# can't shed its debt by being idle in between. Bounds the memory of each level.
IDLE_FLOWS = 256

# Old entries of an order that are tolerated, beside four for each child.
STALE_ENTRIES = 64


class Flow(Generic[T]):
    """One node of the tree: a share of its parent's time.

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
        "now_tag",
        "children",
        "heap",
        "active_weight",
        "items",
        "size",
        "backlog",
        "period",
        "order",
    )

    def __init__(self, parent: Flow[T] | None, weight: float):
        self.parent = parent
        self.weight = weight
        # Time received for each unit of weight; the parent serves the lowest first.
        self.start_tag = 0.0
        # Start tag of the child served last: where children that wake up begin.
        self.now_tag = 0.0
        self.children: dict[str, Flow[T]] = {}
        # Lazy heap of (order, number, child); entries with an old order are dropped.
        self.heap: list[tuple[tuple[float, int], int, Flow[T]]] = []
        self.active_weight = 0.0
        # Waiting items with their numbers in order of arrival and expected costs.
        self.items: deque[tuple[T, int, float]] = deque()
        self.size = 0
        self.backlog = 0.0
        # Busy period in which the start tag was set; it means nothing in a later one.
        self.period = 0
        # Place among the parent's children: lowest first.
        self.order = (0.0, 0)

    def child(self, name: str, weight: float) -> Flow[T]:
        """Return the child with that name, made when it is new."""
        found = self.children.get(name)
        if found is None:
            if len(self.children) >= IDLE_FLOWS:
                self._forget_idle()
            found = self.children[name] = Flow(self, weight)
            found.start_tag = self.now_tag
        found.weight = weight
        return found

    def _forget_idle(self) -> None:
        """Drop the idle children that owe nothing, or else half of the idle ones."""
        idle = [name for name, flow in self.children.items() if not flow.size]
        settled = [n for n in idle if self.children[n].start_tag <= self.now_tag]
        for name in settled or idle[: len(idle) // 2]:
            del self.children[name]

    def compact(self) -> None:
        """Drop old entries: where one lane is served for hours none of them surface."""
        self.heap = [e for e in self.heap if e[2].size and e[0] is e[2].order]
        heapify(self.heap)

    def first(self) -> Flow[T]:
        """Return the active child that has had least; there must be one."""
        heap = self.heap
        while True:
            order, _, flow = heap[0]
            if flow.size and order is flow.order:
                return flow
            heappop(heap)


class FairQueue(Generic[T]):
    """Tree of flows, the leaves of which hold items in order of arrival.

    Parameters
    ----------
    returning : float
        Work that is served before a newcomer, at most, as a multiple of what waits.
    """

    __slots__ = ("root", "_period", "_pushed", "_returning")

    def __init__(self, returning: float) -> None:
        self.set_returning(returning)
        self.root: Flow[T] = Flow(None, 1.0)
        self._period = 0
        self._pushed = 0

    def set_returning(self, returning: float) -> None:
        """Take in how much work is served before a newcomer, at most."""
        self._returning = returning

    def __len__(self) -> int:
        return self.root.size

    def leaf(self, path: tuple[tuple[str, float], ...]) -> Flow[T]:
        """Return the leaf at a path of (name, weight) from the root down."""
        flow = self.root
        for name, weight in path:
            flow = flow.child(name, weight)
        return flow

    def push(self, leaf: Flow[T], item: T, cost: float) -> None:
        """Add an item with its expected cost at the end of a leaf."""
        self._pushed += 1
        leaf.items.append((item, self._pushed, cost))
        flow: Flow[T] = leaf
        while flow.parent is not None:
            parent = flow.parent
            # Counted before it is put in order: an idle flow may be dropped there.
            flow.size += 1
            flow.backlog += cost
            if flow.size == 1:
                self._enter_period(flow, parent)
                flow.start_tag = max(flow.start_tag, parent.now_tag)
                parent.active_weight += flow.weight
                self._queue(flow, parent)
            flow = parent
        flow.size += 1
        flow.backlog += cost

    def charge(self, leaf: Flow[T], cost: float) -> None:
        """Count time that a leaf has received, on it and all flows above."""
        flow = leaf
        while flow.parent is not None:
            parent = flow.parent
            self._enter_period(flow, parent)
            flow.start_tag += cost / flow.weight
            # Virtual time goes on with the work that is done. Taken from the tags
            # alone it would stand still while newcomers are served once each, and a
            # flow that has had a little more would wait for as long as any come.
            weights = parent.active_weight + (0.0 if flow.size else flow.weight)
            parent.now_tag += cost / weights
            if flow.size:
                self._queue(flow, parent)
            flow = parent

    def _enter_period(self, flow: Flow[T], parent: Flow[T]) -> None:
        """Forgive what a flow owed from an earlier busy period."""
        if flow.period != self._period:
            flow.start_tag = parent.now_tag
            flow.period = self._period

    def _queue(self, flow: Flow[T], parent: Flow[T]) -> None:
        """Put an active flow in its parent's order, by tag and then by arrival."""
        self._pushed += 1
        number = flow.items[0][1] if flow.items else self._pushed
        flow.order = (max(parent.now_tag, flow.start_tag), number)
        heappush(parent.heap, (flow.order, self._pushed, flow))
        if len(parent.heap) > STALE_ENTRIES + 4 * len(parent.children):
            parent.compact()

    def pop(self, top: str | None = None) -> T:
        """Take the next item out, of one child of the root if it is named."""
        flow = self.root
        if top is not None:
            flow = flow.children[top]
            self.root.now_tag = max(self.root.now_tag, flow.start_tag)
        while not flow.items:
            parent, flow = flow, flow.first()
            parent.now_tag = max(parent.now_tag, flow.order[0])
        return self.pop_first(flow)

    def pop_first(self, leaf: Flow[T]) -> T:
        """Take out the first item of a leaf, whoever's turn it is."""
        item, _, cost = leaf.items.popleft()
        self._shrink(leaf, cost)
        self._requeue(leaf)
        return item

    def _requeue(self, leaf: Flow[T]) -> None:
        """Give a leaf that has another first item its new place."""
        if leaf.items and leaf.parent is not None:
            self._queue(leaf, leaf.parent)

    def remove(self, leaf: Flow[T], item: T) -> None:
        """Take an item out that will not be served."""
        for index, (found, _, cost) in enumerate(leaf.items):
            if found is item:
                del leaf.items[index]
                self._shrink(leaf, cost)
                if not index:
                    self._requeue(leaf)
                return

    def _shrink(self, leaf: Flow[T], cost: float) -> None:
        """Count one item less on a leaf and all flows above."""
        flow: Flow[T] | None = leaf
        while flow is not None:
            flow.size -= 1
            flow.backlog = flow.backlog - cost if flow.size else 0.0
            if not flow.size and flow.parent is not None:
                flow.parent.active_weight -= flow.weight
            flow = flow.parent
        if not self.root.size:
            self._period += 1

    def ahead(self, leaf: Flow[T], cost: float) -> float:
        """Return the work that is served before a newcomer of a leaf starts.

        Its own flow's backlog, and what the neighbours on each level get by their
        weights until it is done, but never much more than they have waiting.

        Parameters
        ----------
        leaf : Flow
            Where the newcomer would queue.
        cost : float
            What the newcomer itself costs.

        Returns
        -------
        float
        """
        flow: Flow[T] = leaf
        work = leaf.backlog
        while flow.parent is not None:
            parent = flow.parent
            weights = parent.active_weight + (0.0 if flow.size else flow.weight)
            # Debt for what the flow has had lately, which is served off first.
            debt = max(0.0, flow.start_tag - parent.now_tag)
            if flow.period != self._period:
                debt = 0.0
            shared = (debt + (work + cost) / flow.weight) * weights - cost
            work = min(parent.backlog * self._returning, shared)
            flow = parent
        return work

    def heaviest(self) -> Flow[T]:
        """Return the leaf with the most work for its weight, level by level."""
        flow = self.root
        while flow.children:
            flow = max(
                (child for child in flow.children.values() if child.size),
                key=lambda child: child.backlog / child.weight,
            )
        return flow
