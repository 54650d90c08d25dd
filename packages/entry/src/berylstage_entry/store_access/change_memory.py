"""Remembers the changes of the last seconds, for VMs that have missed some.

Load: in two seconds in which keys move, 81 VMs read the store's changes 352 times,
because datagrams with these changes were lost on busy links. The publisher has read
them already, and the merged changes fit into one answer.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from typing import TYPE_CHECKING

from berylstage_entry.store_delta import StoreDelta

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.store import Item

# Time for which changes are remembered. A VM that missed more has lost the others for
# so long that its own lease has expired as well.
MEMORY_SECONDS = 20.0
# Number of keys with remembered changes. The records of 200 targets and 200 VMs that
# change at once are remembered entirely.
MAX_KEYS = 1000


class _Change:
    """The newest change of a key; `item` is None if its value is not known."""

    __slots__ = ("item", "revision")

    def __init__(self, item: Item | None, revision: int):
        self.item = item
        self.revision = revision


class ChangeMemory:
    """The newest change of each key since a revision, which advances with time.

    Attributes
    ----------
    revision : int
        Revision up to which every change is known.
    """

    __slots__ = ("_changes", "_steps", "oldest", "revision")

    def __init__(self) -> None:
        self.revision = 0
        # Revision after which every change is remembered.
        self.oldest = 0
        # In the order in which they became known.
        self._changes: OrderedDict[str, _Change] = OrderedDict()
        # When each revision was reached.
        self._steps: deque[tuple[float, int]] = deque()

    def extend(self, delta: StoreDelta, now: float) -> None:
        """Add the changes up to the revision of a delta.

        Parameters
        ----------
        delta : StoreDelta
            If it starts after the revision reached so far, or is the first read, the
            memory starts anew: changes in between would be missing from each answer.
        now : float
            Monotonic seconds.
        """
        if not delta.after or delta.after > self.revision:
            self._changes.clear()
            self._steps.clear()
            self.oldest = self.revision = delta.revision
            return
        if delta.revision < self.revision:
            return
        for key, revision in delta.large_revisions.items():
            self._set(key, None, revision)
        for item in (*delta.items, *delta.large_items):
            self._set(item.key, item, item.revision)
        if delta.revision > self.revision:
            self.revision = delta.revision
            self._steps.append((now, delta.revision))
        self._forget(now)

    def _set(self, key: str, item: Item | None, revision: int) -> None:
        known = self._changes.get(key)
        if known is not None and (
            known.revision > revision or (known.revision == revision and item is None)
        ):
            return
        self._changes[key] = _Change(item, revision)
        self._changes.move_to_end(key)

    def _forget(self, now: float) -> None:
        while self._steps and now - self._steps[0][0] > MEMORY_SECONDS:
            self.oldest = self._steps.popleft()[1]
        while self._changes:
            key, change = next(iter(self._changes.items()))
            if change.revision > self.oldest and len(self._changes) <= MAX_KEYS:
                return
            self.oldest = max(self.oldest, change.revision)
            del self._changes[key]

    def since(
        self, revision: int, large_value: Callable[[str, int], Item | None]
    ) -> StoreDelta | None:
        """Return the merged changes since a revision.

        Parameters
        ----------
        revision : int
        large_value : callable
            Returns a large value of at least a revision, or None if it is unknown or
            too large to be sent.

        Returns
        -------
        StoreDelta or None
            None if the memory does not reach back to the revision. Large values are
            among the items if they are known, and listed by revision otherwise.
        """
        if not self.revision or not self.oldest <= revision:
            return None
        delta = StoreDelta(revision, max(self.revision, revision), [])
        for key, change in self._changes.items():
            if change.revision <= revision:
                continue
            if change.item is None:
                item = large_value(key, change.revision)
            else:
                item = change.item
            if item is None:
                delta.large_revisions[key] = change.revision
            else:
                delta.items.append(item)
        delta.items.sort(key=lambda item: item.revision)
        return delta
