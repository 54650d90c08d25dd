"""Grants keys to their owners and renews the grants, with one task per target."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_transfers.errors import CallFailed, NeverSent
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import TargetReplaced
from berylstage_entry.grant_expiry import (
    GRANT_RENEWAL_INTERVAL_SECONDS,
    GRANT_TIMEOUT_SECONDS,
    TargetGrants,
)
from berylstage_entry.protocols import GrantRequest
from berylstage_entry.supervision import log_task_failure

if TYPE_CHECKING:
    from berylstage_entry.assignment import Assignment, KeyRange
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.store_watcher import StoreWatcher
    from berylstage_entry.targets import Target

# Seconds between two checks whether an owner was assigned new keys.
CHECK_INTERVAL_SECONDS = 0.05
# Seconds between two probes of an unresponsive target.
PROBE_INTERVAL_SECONDS = 0.3
# Seconds between two probes of a target that is considered terminated but still
# reports. The record of a target that has really terminated is removed after three
# reports, so it is probed once.
TERMINATED_PROBE_INTERVAL_SECONDS = 2.0

log = Logger(__name__)


def _range_id(r: KeyRange) -> tuple[int, int, int]:
    return r.first, r.last, r.fence


class GrantRenewer:
    """Renews the grants of all owners while this VM is the coordinator.

    Parameters
    ----------
    store_watcher : StoreWatcher
    cluster_view : ClusterView
    election : CoordinatorElection
    protocol : TargetProtocol
    """

    def __init__(
        self,
        store_watcher: StoreWatcher,
        cluster_view: ClusterView,
        election: CoordinatorElection,
        protocol: TargetProtocol,
    ):
        self._store_watcher = store_watcher
        self._cluster_view = cluster_view
        self._election = election
        self._protocol = protocol
        self._target_grants: dict[tuple[str, int], TargetGrants] = {}
        self._renewal_tasks: dict[tuple[str, int], asyncio.Task] = {}
        # Ranges that are not being moved, by owner, of the last assignment of each
        # service.
        self._stable_by_owner: dict[
            str, tuple[Assignment, dict[tuple[str, int], list[KeyRange]]]
        ] = {}
        # Probes of targets that are considered terminated.
        self._probe_tasks: dict[tuple[str, int], asyncio.Task] = {}
        # Targets that were granted keys, kept for when their records are removed.
        self._granted_targets: dict[tuple[str, int], Target] = {}

    def __len__(self) -> int:
        """Return the number of targets whose grants are renewed."""
        return len(self._renewal_tasks)

    def stop_renewing(self) -> None:
        """Stop renewing grants."""
        for task in [*self._renewal_tasks.values(), *self._probe_tasks.values()]:
            task.cancel()
        self._renewal_tasks.clear()
        self._probe_tasks.clear()

    def seconds_until_expiry(self) -> float:
        """Return the seconds until all grants of this VM have expired."""
        return max(
            [
                0.0,
                *(grants.expires_at - now() for grants in self._target_grants.values()),
            ]
        )

    def is_unresponsive(self, identity: tuple[str, int]) -> bool:
        """Tell whether a target did not answer the last call."""
        grants = self._target_grants.get(identity)
        return grants is not None and bool(grants.unresponsive_since)

    def may_hold_keys(self, identity: tuple[str, int]) -> bool:
        """Tell whether an unresponsive target may still hold keys by any VM's grant."""
        grants = self._target_grants.get(identity)
        if grants is not None and grants.is_terminated:
            return False
        expires_at = grants.expires_at if grants is not None else float("-inf")
        return now() < max(expires_at, self._election.other_grants_expire_at)

    async def grant(self, target: Target, r: KeyRange, handover: str = "") -> bool:
        """Grant one range and tell whether the target accepted it."""
        grants = self.get_grants(target.identity)
        request = GrantRequest(
            r.first, r.last, r.fence, self._election.grant_seconds(), handover
        )
        if not self._election.is_coordinator():
            return False
        sent = grants.record_sent(now(), request.seconds, r.first, r.last)
        try:
            accepted = await self._protocol.grant(
                target, request, GRANT_TIMEOUT_SECONDS
            )
        except CallFailed as exc:
            if isinstance(exc, NeverSent):
                grants.record_unsent(sent)
            if not grants.unresponsive_since:
                log.info(
                    "grant not answered",
                    extra={"target": target.name, "first": r.first, "cause": str(exc)},
                )
            grants.record_failure(now())
            return False
        except TargetReplaced as exc:
            grants.record_termination(now())
            log.info(
                "target has terminated",
                extra={"target": target.name, "cause": str(exc)},
            )
            return False
        grants.record_answer()
        if not accepted:
            log.warning(
                "grant rejected: the target has seen a higher fence",
                extra={"target": target.name, "first": r.first, "fence": r.fence},
            )
        return accepted

    def start_renewals(self, assignment: Assignment) -> None:
        """Start a renewal task for each owner that has none."""
        for identity, task in list(self._renewal_tasks.items()):
            if task.done():
                log_task_failure(task)
                del self._renewal_tasks[identity]
        for r in assignment.ranges:
            identity = (r.owner, r.incarnation)
            if not r.owner or identity in self._renewal_tasks:
                continue
            if (
                identity in self._target_grants
                and self._target_grants[identity].is_terminated
            ):
                continue
            known = self._cluster_view.known.get(r.owner)
            if known is not None and known.target.incarnation == r.incarnation:
                task = asyncio.create_task(self._renew(known.target))
                self._renewal_tasks[identity] = task

    def probe_terminated(self) -> None:
        """Probe targets that are considered terminated but still report.

        Another target may have answered although the process is alive, for example if
        its record named a wrong address for a moment. Without this, such a target would
        never be assigned keys again; if this happened to all targets of a service, none
        of its keys would have an owner.
        """
        for identity, grants in self._target_grants.items():
            if (
                not grants.is_terminated
                or now() - grants.probed_at < TERMINATED_PROBE_INTERVAL_SECONDS
            ):
                continue
            known = self._cluster_view.known.get(identity[0])
            if known is None or known.target.incarnation != identity[1]:
                continue
            grants.probed_at = now()
            self._probe_tasks[identity] = asyncio.create_task(
                self._probe_terminated_target(known.target, grants)
            )

    async def _probe_terminated_target(
        self, target: Target, grants: TargetGrants
    ) -> None:
        if await self._probe(target):
            grants.record_recovery()
            log.info(
                "target is alive after it was considered terminated",
                extra={"target": target.name},
            )

    async def _renew(self, target: Target) -> None:
        """Renew a target's grants until it owns no keys."""
        grants = self.get_grants(target.identity)
        self._granted_targets[target.identity] = target
        granted: set[tuple[int, int, int]] = set()
        renewed_at, were_extended = float("-inf"), False
        while self._election.is_coordinator() and not grants.is_terminated:
            if not self._stable_ranges(target):
                return
            if not await self.is_responsive(target):
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                continue
            owned = self._stable_ranges(target)
            moment = now()
            is_due = (
                moment - renewed_at >= GRANT_RENEWAL_INTERVAL_SECONDS
                or were_extended != self._election.extends_grants
            )
            # New ranges are granted at once and alone: with a few moves per second,
            # three in four of all grants renewed ranges that had just been renewed.
            due = owned if is_due else [r for r in owned if _range_id(r) not in granted]
            if is_due:
                renewed_at, were_extended = moment, self._election.extends_grants
            await asyncio.gather(*(self._renew_range(target, r) for r in due))
            granted = {_range_id(r) for r in owned}
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    async def _renew_range(self, target: Target, r: KeyRange) -> None:
        """Renew one range unless it has started to move since it became due.

        If the owner was unresponsive, a move of its keys completes at once with a grant
        to the new owner. A renewal prepared before would then return the keys to the
        previous owner, which has not seen a fence that rejects it. Therefore the
        assignment is checked here, with no await between the check and the call.
        """
        if any(owned is r for owned in self._stable_ranges(target)):
            await self.grant(target, r)

    async def is_responsive(self, target: Target) -> bool:
        """Tell whether a target answers, as known or by a probe.

        Calls to an unresponsive target wait for their timeouts and occupy its
        connections, of which there are few; an occasional probe is sufficient.
        """
        grants = self.get_grants(target.identity)
        if not grants.unresponsive_since:
            return True
        if now() - grants.probed_at < PROBE_INTERVAL_SECONDS:
            return False
        grants.probed_at = now() + GRANT_TIMEOUT_SECONDS
        answers = await self._probe(target)
        grants.probed_at = now()
        return answers

    async def _probe(self, target: Target) -> bool:
        """Probe a target and tell whether it answered."""
        cfg = self._cluster_view.configuration
        service = cfg.services.get(target.service) if cfg is not None else None
        if service is None:
            return True
        try:
            await self._protocol.probe(
                target, service.health_path, GRANT_TIMEOUT_SECONDS
            )
        except (CallFailed, TargetReplaced) as exc:
            log.debug("target still unresponsive", extra={"cause": str(exc)})
            return False
        return True

    def _stable_ranges(self, target: Target) -> list[KeyRange]:
        """Return the ranges of a target that are not being moved."""
        assignment = self._store_watcher.assignments.get(target.service)
        if assignment is None:
            return []
        known = self._stable_by_owner.get(target.service)
        if known is None or known[0] is not assignment:
            by_owner: dict[tuple[str, int], list[KeyRange]] = {}
            for r in assignment.ranges:
                if not r.previous_owner:
                    by_owner.setdefault((r.owner, r.incarnation), []).append(r)
            known = self._stable_by_owner[target.service] = (assignment, by_owner)
        return known[1].get(target.identity, [])

    def get_grants(self, identity: tuple[str, int]) -> TargetGrants:
        """Return what is known of the grants of one incarnation of a target."""
        grants = self._target_grants.get(identity)
        if grants is None:
            grants = self._target_grants[identity] = TargetGrants()
        return grants

    def get_granted_target(self, identity: tuple[str, int]) -> Target | None:
        """Return a target that was granted keys, even if its record was removed."""
        return self._granted_targets.get(identity)
