"""Watches the coordinator's key so that a vacancy is known at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import RevisionCompacted, StoreError
from berylstage_entry.store import Item
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_keys import COORDINATOR_KEY

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
# Time after the first read for which a VM that defers to others in the election does
# not watch. A coordinator is mostly elected within it, and the watches of 80 VMs that
# start together are as many calls.
START_DELAY_SECONDS = 0.5
# Seconds between two checks whether this VM should watch.
CHECK_INTERVAL_SECONDS = 0.35

log = Logger(__name__)


class CoordinatorWatch:
    """A watch of one key, beside the periodic read of all keys.

    Parameters
    ----------
    store : Store
    store_watcher : StoreWatcher
    """

    def __init__(self, store: Store, store_watcher: StoreWatcher):
        self._store = store.for_cause(CallCause.COORDINATOR)
        self._store_watcher = store_watcher
        # Revision up to which the key is known, if newer than that of all keys.
        self._revision = 0
        self._synced_at = float("inf")

    async def run(self) -> None:
        """Watch whenever this VM is one of those that should."""
        # Another VM must become coordinator before grants expire, and the periodic
        # read alone would be too slow for that.
        while True:
            if not self._should_watch():
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                continue
            revision = max(self._store_watcher.revision, self._revision)
            try:
                while self._should_watch():
                    changes = await self._store.watch(
                        COORDINATOR_KEY, revision, WATCH_TIMEOUT_SECONDS
                    )
                    for item in changes.items:
                        self._store_watcher.apply_internal_item(item)
                    revision = max(revision, changes.revision)
            except RevisionCompacted:
                await self._read()
            except StoreError as exc:
                log.info(
                    "watch of the coordinator's key failed", extra={"cause": str(exc)}
                )
                await asyncio.sleep(
                    max(MIN_RETRY_SECONDS, self._store_watcher.retry_delay())
                )

    async def _read(self) -> None:
        """Read the coordinator's key, whose changes the store has compacted."""
        try:
            changes = await self._store.read(COORDINATOR_KEY)
        except StoreError as exc:
            self._store_watcher.record_failure(exc)
            await asyncio.sleep(self._store_watcher.retry_delay())
            return
        found = [item for item in changes.items if item.key == COORDINATOR_KEY]
        removed = Item(COORDINATOR_KEY, None, changes.revision)
        self._store_watcher.apply_internal_item(found[0] if found else removed)
        self._revision = changes.revision

    def _should_watch(self) -> bool:
        """Tell whether this VM should watch the coordinator's key.

        While there is no coordinator, all VMs that may become it watch. The rest stop
        as soon as there is one.
        """
        if not self._store_watcher.has_synced or self._store_watcher.is_publisher():
            return False
        self._synced_at = min(self._synced_at, now())
        if (
            self._store_watcher.defers_coordination()
            and now() - self._synced_at < START_DELAY_SECONDS
        ):
            return False
        item = self._store_watcher.internal_items.get(COORDINATOR_KEY)
        no_coordinator = item is None or item.value is None
        return self._store_watcher.is_standby() or (
            no_coordinator and not self._store_watcher.yields_coordination()
        )
