"""Watches the key of the duty of granting, so that a vacancy is known at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.errors import RevisionCompacted, StoreError
from berylstage_entry.store import Item
from berylstage_entry.store_keys import DUTY_KEY

if TYPE_CHECKING:
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

# Seconds that the watch of the duty's key waits for a change. One that has gone silent
# is noticed after as long; meanwhile the reading of all keys brings the same news.
DUTY_WAIT = 20.0
# Seconds before a failed watch is tried again, at least. The reading of all keys brings
# its news as well when the store is back; calls to a store that is away are paid for
# like others.
DUTY_RETRY = 1.0
# Seconds between two looks whether this VM is one of those that watch.
LOOK = 0.35

log = Logger(__name__)


class CoordinatorWatch:
    """A watch of one key, beside the paced reading of all keys.

    Parameters
    ----------
    store : Store
    feed : Feed
    """

    def __init__(self, store: Store, feed: StoreWatcher):
        self._store = store
        self._feed = feed
        # Up to which the key is known, where that is more than of all keys.
        self._revision = 0

    async def run(self) -> None:
        """Watch for as long as this VM is one of those that do."""
        # A duty without a holder is taken over before grants end, for which the paced
        # reading would be too slow.
        while True:
            if not self._is_wanted():
                await asyncio.sleep(LOOK)
                continue
            revision = max(self._feed.revision, self._revision)
            try:
                while self._is_wanted():
                    changes = await self._store.watch(DUTY_KEY, revision, DUTY_WAIT)
                    for item in changes.items:
                        self._feed.take_own(item)
                    revision = max(revision, changes.revision)
            except RevisionCompacted:
                await self._read()
            except StoreError as exc:
                log.info("watch of the duty failed", extra={"cause": str(exc)})
                await asyncio.sleep(max(DUTY_RETRY, self._feed.retry_pause()))

    async def _read(self) -> None:
        """Read the duty's key, whose changes are no longer kept."""
        try:
            changes = await self._store.read(DUTY_KEY)
        except StoreError as exc:
            self._feed.note_failure(exc)
            await asyncio.sleep(self._feed.retry_pause())
            return
        found = [item for item in changes.items if item.key == DUTY_KEY]
        gone = Item(DUTY_KEY, None, changes.revision)
        self._feed.take_own(found[0] if found else gone)
        self._revision = changes.revision

    def _is_wanted(self) -> bool:
        """Tell whether this VM is one of those that watch the duty's key.

        While it is vacant all do that might take it: with its taking, the rest stop.
        """
        if not self._feed.complete or self._feed.is_teller():
            return False
        item = self._feed.own.get(DUTY_KEY)
        vacant = item is None or item.value is None
        return self._feed.is_standby() or (vacant and not self._feed.leaves_duty())
