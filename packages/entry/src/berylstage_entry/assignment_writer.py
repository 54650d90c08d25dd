"""Writes assignments to the store and resolves writes with unknown outcome."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment import unassigned
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.errors import Conflict, StoreRefused, StoreUnavailable
from berylstage_entry.store import Condition, Write
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.assignment import Assignment
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

# Seconds between two checks for the outcome of a write, and between two attempts:
# nothing else can be written meanwhile, and each attempt is a call to the store.
POLL_INTERVAL_SECONDS = 0.05
RETRY_INTERVAL_SECONDS = 0.2

log = Logger(__name__)


class AssignmentWriter:
    """Writes assignments while this VM is the coordinator.

    Parameters
    ----------
    store : Store
    store_watcher : StoreWatcher
    election : CoordinatorElection
    """

    def __init__(
        self, store: Store, store_watcher: StoreWatcher, election: CoordinatorElection
    ):
        self._store = store.for_cause(CallCause.ASSIGNMENT)
        self._store_watcher = store_watcher
        self._election = election
        # Called with each change after it was written.
        self.listeners: list[Callable[[AssignmentDelta], None]] = []

    async def write(self, service: str, assignment: Assignment) -> None:
        """Write an assignment and return once it is known to be in force.

        Raises
        ------
        Conflict
            Another assignment is in force.
        StoreError
            The assignment is not in force and will not be.
        """
        key = ASSIGNMENT_PREFIX + service
        revision = self._store_watcher.assignment_revisions.get(service, 0)
        conditions = [self._election.write_condition(), Condition(key, revision)]
        old = self._store_watcher.assignments.get(service) or unassigned()
        value = assignment.encode()
        outcome_unknown = False
        while True:
            try:
                new_revision = await self._store.write(conditions, [Write(key, value)])
                break
            except StoreRefused:
                if not outcome_unknown:
                    raise
            except Conflict:
                if outcome_unknown:
                    await self._wait_for_newer_assignment(service, revision)
                raise
            except StoreUnavailable as exc:
                # The assignment may be in force, or come into force seconds later.
                # Until this is known, nothing may be granted by the previous
                # assignment: together, the two could give the same keys to two targets.
                outcome_unknown = True
                log.info(
                    "outcome of assignment write unknown", extra={"cause": str(exc)}
                )
            if not self._election.is_coordinator():
                raise Conflict(
                    f"{key}: not coordinator any more, outcome of the write unknown"
                )
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
        self._store_watcher.apply_assignment(service, assignment, new_revision)
        change = AssignmentDelta.between(
            service, revision, old, new_revision, assignment
        )
        for listener in self.listeners:
            listener(change)
        log.info(
            "assignment written",
            extra={
                "service": service,
                "revision": new_revision,
                "ranges": len(assignment.ranges),
                "moving": sum(1 for r in assignment.ranges if r.previous_owner),
            },
        )

    async def _wait_for_newer_assignment(self, service: str, revision: int) -> None:
        """Wait until this VM knows a newer assignment than before."""
        while self._election.is_coordinator():
            if self._store_watcher.assignment_revisions.get(service, 0) > revision:
                return
            await asyncio.sleep(POLL_INTERVAL_SECONDS)
