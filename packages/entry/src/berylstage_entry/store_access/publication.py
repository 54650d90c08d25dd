"""What this VM publishes, and repeats to VMs that have missed it."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from berylstage_entry.store import Item
from berylstage_entry.store_access.change_memory import ChangeMemory
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX

if TYPE_CHECKING:
    from berylstage_entry.store_access.applied_items import AppliedItems
    from berylstage_entry.store_delta import StoreDelta

# Time for which changes are published again with each new update: four updates.
REPUBLISH_SECONDS = 2.0


class Publication:
    """The changes that this VM has read or received lately.

    Parameters
    ----------
    applied : AppliedItems

    Attributes
    ----------
    memory : ChangeMemory
        Changes of the last seconds, for VMs that ask for them.
    """

    def __init__(self, applied: AppliedItems):
        self._applied = applied
        self.memory = ChangeMemory()
        # Recently published updates and their times, newest first.
        self._published: deque[tuple[float, StoreDelta]] = deque()
        # Encoded assignments by key.
        self._encoded: dict[str, Item] = {}

    def record_received(self, delta: StoreDelta, now: float) -> None:
        """Record a delta that another VM has published.

        If this VM becomes the next publisher, it publishes this delta again with its
        first one: other VMs may have missed the last delta of its predecessor.
        """
        self._published.clear()
        self._published.append((now, delta))

    def prepare(
        self, delta: StoreDelta, now: float, is_publishing: bool
    ) -> StoreDelta | None:
        """Return what to publish after a read; None for nothing.

        Parameters
        ----------
        delta : StoreDelta
            The changes that were read.
        now : float
            Monotonic seconds.
        is_publishing : bool

        Returns
        -------
        StoreDelta or None
            The changes, together with those that were published just before.
        """
        while self._published and now - self._published[-1][0] > REPUBLISH_SECONDS:
            self._published.pop()
        if not is_publishing or not delta.after:
            # A first read returns the whole state rather than changes.
            self._published.clear()
            return None
        if self._published and self._published[0][1].revision != delta.after:
            self._published.clear()
        merged = delta.with_earlier(earlier for _, earlier in self._published)
        self._published.appendleft((now, delta))
        return merged

    def since(self, revision: int) -> StoreDelta | None:
        """Return the merged changes since a revision; None if it is too old.

        Assignments that this VM has written are included although it has not read them
        from the store yet.
        """
        delta = self.memory.since(revision, self._encoded_assignment)
        if delta is None:
            return None
        listed = {item.key for item in delta.items}
        for service, at in self._applied.assignment_revisions.items():
            key = ASSIGNMENT_PREFIX + service
            item = self._encoded_assignment(key, at) if at > delta.revision else None
            if item is not None and key not in listed:
                delta.items.append(item)
        return delta

    def _encoded_assignment(self, key: str, revision: int) -> Item | None:
        """Return an assignment of at least a revision; None if it is not known."""
        service = key.removeprefix(ASSIGNMENT_PREFIX)
        known = self._applied.assignment_revisions.get(service, 0)
        if not key.startswith(ASSIGNMENT_PREFIX) or not known or known < revision:
            return None
        item = self._encoded.get(key)
        if item is None or item.revision != known:
            item = Item(key, self._applied.assignments[service].encode(), known)
            self._encoded[key] = item
        return item
