"""Writes assignments into the store, and settles writes whose end is unknown."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment import nobody
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.errors import Conflict, StoreRefused, StoreUnavailable
from berylstage_entry.store import Condition, Write
from berylstage_entry.store_keys import KEYS_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.assignment import Assignment
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

# Seconds between two looks for the end of a write, and between two tries: nothing else
# can be written meanwhile, and each try is a call.
PAUSE = 0.05
TRY_AGAIN = 0.2

log = Logger(__name__)


class AssignmentWriter:
    """Writes assignments while this VM has the duty of granting.

    Parameters
    ----------
    store : Store
    feed : Feed
    office : Office
    """

    def __init__(self, store: Store, feed: StoreWatcher, office: CoordinatorElection):
        self._store = store
        self._feed = feed
        self._office = office
        # Called with each change that has been written.
        self.listeners: list[Callable[[AssignmentDelta], None]] = []

    async def write(self, service: str, assignment: Assignment) -> None:
        """Write an assignment, and return once it is known to be in force.

        Raises
        ------
        Conflict
            Another one is in force.
        StoreError
            It is not in force and won't be.
        """
        key = KEYS_PREFIX + service
        revision = self._feed.revisions.get(service, 0)
        conditions = [self._office.condition(), Condition(key, revision)]
        old = self._feed.assignments.get(service) or nobody()
        value = assignment.encode()
        doubtful = False
        while True:
            try:
                new = await self._store.write(conditions, [Write(key, value)])
                break
            except StoreRefused:
                if not doubtful:
                    raise
            except Conflict:
                if doubtful:
                    await self._catch_up(service, revision)
                raise
            except StoreUnavailable as exc:
                # It may be in force, or come into force seconds later. Until that is
                # known nothing may be granted by the one before: the two could give the
                # same keys to two targets.
                doubtful = True
                log.info("assignment in doubt", extra={"cause": str(exc)})
            if not self._office.holds():
                raise Conflict(f"{key}: the duty was lost while a write was in doubt")
            await asyncio.sleep(TRY_AGAIN)
        self._feed.take_assignment(service, assignment, new)
        change = AssignmentDelta.between(service, revision, old, new, assignment)
        for listener in self.listeners:
            listener(change)
        log.info(
            "assignment written",
            extra={
                "service": service,
                "revision": new,
                "ranges": len(assignment.ranges),
                "moving": sum(1 for r in assignment.ranges if r.former),
            },
        )

    async def _catch_up(self, service: str, revision: int) -> None:
        """Wait until this VM has heard of a newer assignment than it knew."""
        while self._office.holds():
            if self._feed.revisions.get(service, 0) > revision:
                return
            await asyncio.sleep(PAUSE)
