"""Watches the coordinator's key so that a vacancy is known at once."""

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

# Seconds that the watch waits for a change. A broken watch is detected after this time;
# until then the periodic read of all keys brings the same changes.
WATCH_TIMEOUT_SECONDS = 20.0
# Lower bound of the delay before a failed watch is retried. The periodic read of all
# keys brings the changes as well once the store is back, and calls to an unavailable
# store cost as much as others.
MIN_RETRY_SECONDS = 1.0
# Seconds between two checks whether this VM should watch.
CHECK_INTERVAL_SECONDS = 0.35

log = Logger(__name__)


class CoordinatorWatch:
    """A watch of one key, beside the periodic read of all keys.

    Parameters
    ----------
    store : Store
    feed : Feed
    """

    def __init__(self, store: Store, feed: StoreWatcher):
        self._store = store
        self._feed = feed
        # Revision up to which the key is known, if newer than that of all keys.
        self._revision = 0

    async def run(self) -> None:
        """Watch whenever this VM is one of those that should."""
        # Another VM must become coordinator before grants expire, and the periodic
        # read alone would be too slow for that.
        while True:
            if not self._should_watch():
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                continue
            revision = max(self._feed.revision, self._revision)
            try:
                while self._should_watch():
                    changes = await self._store.watch(
                        DUTY_KEY, revision, WATCH_TIMEOUT_SECONDS
                    )
                    for item in changes.items:
                        self._feed.take_own(item)
                    revision = max(revision, changes.revision)
            except RevisionCompacted:
                await self._read()
            except StoreError as exc:
                log.info(
                    "watch of the coordinator's key failed", extra={"cause": str(exc)}
                )
                await asyncio.sleep(max(MIN_RETRY_SECONDS, self._feed.retry_pause()))

    async def _read(self) -> None:
        """Read the coordinator's key, whose changes the store has compacted."""
        try:
            changes = await self._store.read(DUTY_KEY)
        except StoreError as exc:
            self._feed.note_failure(exc)
            await asyncio.sleep(self._feed.retry_pause())
            return
        found = [item for item in changes.items if item.key == DUTY_KEY]
        removed = Item(DUTY_KEY, None, changes.revision)
        self._feed.take_own(found[0] if found else removed)
        self._revision = changes.revision

    def _should_watch(self) -> bool:
        """Tell whether this VM should watch the coordinator's key.

        While there is no coordinator, all VMs that may become it watch. The rest stop
        as soon as there is one.
        """
        if not self._feed.complete or self._feed.is_teller():
            return False
        item = self._feed.own.get(DUTY_KEY)
        no_coordinator = item is None or item.value is None
        return self._feed.is_standby() or (
            no_coordinator and not self._feed.leaves_duty()
        )
