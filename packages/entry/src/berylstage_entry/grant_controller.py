"""Decides which target owns which keys, and moves the keys there."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment import KeyRange, unassigned
from berylstage_entry.assignment_writer import AssignmentWriter
from berylstage_entry.clock import now
from berylstage_entry.coordinator_election import VACANCY_CHECK_SECONDS
from berylstage_entry.errors import Conflict, StoreError
from berylstage_entry.grant_expiry import GRANT_RENEWAL_INTERVAL_SECONDS
from berylstage_entry.grant_renewer import GrantRenewer
from berylstage_entry.key_moves import FENCES_PER_MOVE, KeyMoves
from berylstage_entry.placement.initial_assignment import InitialAssignment
from berylstage_entry.placement.key_loads import KeyLoads
from berylstage_entry.placement.machine_speeds import MachineSpeeds
from berylstage_entry.placement.range_placement import merge_ranges, place_ranges
from berylstage_entry.placement.rebalancing import (
    MIN_ROUND_INTERVAL_SECONDS,
    Rebalancer,
    plans_for_all,
)
from berylstage_entry.placement.service_times import TargetServiceTimes
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.supervision import describe, log_task_failure, supervise

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_entry.assignment import Assignment
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.metrics import Metrics
    from berylstage_entry.placement.spread_plan import SpreadPlan
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher
    from berylstage_entry.target_notices import TargetNotices

# Seconds between two reconciliations.
RECONCILE_INTERVAL_SECONDS = 0.05
# Seconds between two checks whether keys should move for balance. With 0.35 s, half a
# second of requests queued at the owner of keys that had become hot: the worst seconds
# of 44 targets earn 0.85 of the credit, and 0.90 with 0.1 s (`make bench-owned`).
REBALANCE_INTERVAL_SECONDS = 0.1
# Initial number of ranges per target. Hot keys are close to each other and not known in
# advance; with one range per target, a single target would own them all for the first
# second.
INITIAL_RANGES_PER_TARGET = 3
# Seconds for which the end of a move waits so that others are stored with it: moves of
# one round end within 20 ms of each other if no requests are in progress.
COMPLETION_DELAY_SECONDS = 0.02
# Average number of ranges per target above which adjacent ranges are merged under one
# fence, and narrow ranges return to the owner of both neighbours. Each range costs a
# grant every 0.8 s: 46 targets with eight ranges each take 460 calls per second.
MAX_RANGES_PER_TARGET = 3
# Share of its sustainable request rate for which a cold target, or one that names a
# limit, is assigned keys.
LIMITED_UTILIZATION = 0.5

log = Logger(__name__)


class _ServiceState:
    """The coordinator's state of one service with owned keys."""

    __slots__ = (
        "completed",
        "completion_task",
        "initial_assignment",
        "loads",
        "lock",
        "merged_at",
        "move_tasks",
        "pending_write",
        "rebalanced_at",
        "rebalancer",
        "speeds",
    )

    def __init__(self, moment: float, report_interval: float):
        self.initial_assignment = InitialAssignment(report_interval)
        self.loads = KeyLoads(moment)
        self.speeds = TargetServiceTimes()
        self.rebalancer = Rebalancer(moment)
        self.rebalanced_at = self.merged_at = moment
        self.move_tasks: dict[tuple[int, int, int], asyncio.Task] = {}
        # Moves that are complete but not stored yet, and the task that stores them.
        self.completed: list[KeyRange] = []
        self.completion_task: asyncio.Task | None = None
        # Serializes changes of the assignment, each of which is based on the previous
        # one; and the change that is being stored.
        self.lock = asyncio.Lock()
        self.pending_write: Assignment | None = None


class GrantController:
    """Assigns keys to targets while this VM is the coordinator.

    Parameters
    ----------
    store : Store
    store_watcher : StoreWatcher
    cluster_view : ClusterView
    election : CoordinatorElection
    protocol : TargetProtocol
    report_interval : float
        Seconds between two reports of a target to the store. The first assignment waits
        until no new target reports, and gives faster machines more keys; 0 to assign
        keys to the first targets at once.
    """

    def __init__(
        self,
        store: Store,
        store_watcher: StoreWatcher,
        cluster_view: ClusterView,
        election: CoordinatorElection,
        protocol: TargetProtocol,
        report_interval: float = 0.0,
    ):
        self._report_interval = report_interval
        self._machine_speeds = MachineSpeeds(protocol)
        self._store_watcher = store_watcher
        self._cluster_view = cluster_view
        self._election = election
        self.writer = AssignmentWriter(store, store_watcher, election)
        self.grant_renewer = GrantRenewer(
            store_watcher, cluster_view, election, protocol
        )
        self._key_moves = KeyMoves(cluster_view, election, protocol, self.grant_renewer)
        # What targets say of themselves; nothing while not set.
        self.target_notices: TargetNotices | None = None
        # Counters of decisions; nothing is counted while not set.
        self.metrics: Metrics | None = None
        self._services: dict[str, _ServiceState] = {}
        self._task: asyncio.Task | None = None
        self._term = 0

    def start(self) -> None:
        """Start the reconciliation loop."""
        self._task = supervise("key assignment", self._run)

    def stop(self) -> None:
        """Stop granting and moving keys."""
        if self._task is not None:
            self._task.cancel()
        self._cancel_tasks()
        self._machine_speeds.stop()

    def add_key_counts(self, service: str, counts: dict[int, int]) -> None:
        """Add a VM's request counts by key since its last report."""
        state = self._get_state(service)
        for key, count in counts.items():
            state.loads.add(key, count)

    def add_service_times(
        self, service: str, mean: float, service_time_ratio: dict[str, float]
    ) -> None:
        """Add a VM's measurements of target speed.

        Parameters
        ----------
        service : str
        mean, slowness
            As for :meth:`TargetServiceTimes.observe`.
        """
        self._get_state(service).speeds.observe(mean, service_time_ratio)

    async def _run(self) -> None:
        while True:
            try:
                if self._election.is_coordinator():
                    await self._reconcile()
                elif len(self.grant_renewer):
                    self._cancel_tasks()
            except StoreError as exc:
                log.info("assignment not stored", extra={"cause": str(exc)})
                if isinstance(exc, Conflict):
                    # The previous coordinator may have stopped before it announced its
                    # last write.
                    self._store_watcher.request_refresh(CallCause.CONFLICT)
                await asyncio.sleep(GRANT_RENEWAL_INTERVAL_SECONDS / 4)
            if self._election.is_coordinator():
                await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)
            else:
                # The VM becomes coordinator again if it renews its lease late.
                await asyncio.sleep(VACANCY_CHECK_SECONDS)
                await self._election.wait_for_term()

    def _cancel_tasks(self) -> None:
        self.grant_renewer.stop_renewing()
        for state in self._services.values():
            for task in state.move_tasks.values():
                task.cancel()
            state.move_tasks.clear()
            state.completed.clear()

    def _begin_term(self) -> None:
        self._cancel_tasks()
        self._term = self._election.term
        if not self._election.succeeds_itself:
            self._key_moves.reset()

    def export_state(self) -> bytes:
        """Return the state of ongoing moves for the next coordinator."""
        return self._key_moves.export_state()

    def import_state(self, body: bytes) -> float | None:
        """Import a former coordinator's state; see :meth:`KeyMoves.import_state`."""
        if self._term != self._election.term:
            self._begin_term()
        return self._key_moves.import_state(body)

    async def _reconcile(self) -> None:
        if self._term != self._election.term:
            self._begin_term()
        cfg = self._cluster_view.configuration
        if cfg is None:
            return
        self.grant_renewer.probe_terminated()
        for service in cfg.services.values():
            if service.owns_keys:
                await self._reconcile_alone(service.name)

    async def _reconcile_alone(self, service: str) -> None:
        """Reconcile one service; a fault of its data must not stop all others."""
        try:
            await self._reconcile_service(service)
        except StoreError:
            raise
        except Exception as exc:
            log.error(
                "assignment of a service not reconciled",
                exc_info=True,
                extra={"service": service, "cause": describe(exc)},
            )

    async def _reconcile_service(self, service: str) -> None:
        state = self._get_state(service)
        assignment = self._store_watcher.assignments.get(service) or unassigned()
        self.grant_renewer.start_renewals(assignment)
        self._start_move_tasks(service, state, assignment)
        if not self._election.is_coordinator():
            return
        async with state.lock:
            assignment = self._store_watcher.assignments.get(service) or unassigned()
            changed = self._plan_changes(service, state, assignment)
            if changed is not None:
                await self._write_assignment(service, state, changed)

    async def _write_assignment(
        self, service: str, state: _ServiceState, new: Assignment
    ) -> None:
        state.pending_write = new
        try:
            await self.writer.write(service, new)
        finally:
            state.pending_write = None

    def _plan_changes(
        self, service: str, state: _ServiceState, assignment: Assignment
    ) -> Assignment | None:
        """Return the assignment with all due changes, or None if there are none."""
        moment = now()
        capacities = self._capacities(service, state)
        displaced = [
            r
            for r in assignment.ranges
            if not self._is_usable_owner(r) and self._key_moves.may_reassign(r)
        ]
        state.loads.decay(moment)
        if displaced:
            displaced = self._without_waiting(service, state, displaced, capacities)
        if displaced:
            rates = state.loads.rates()
            max_parts = INITIAL_RANGES_PER_TARGET * len(capacities)
            moves = place_ranges(displaced, assignment, rates, capacities, max_parts)
            return self._with_moves(assignment, moves) if moves else None
        if moment - state.rebalanced_at < REBALANCE_INTERVAL_SECONDS:
            return None
        state.rebalanced_at = moment
        state.loads.set_step_detection(plans_for_all(len(capacities)))
        state.loads.raise_steps()
        rates = state.loads.rates()
        max_ranges = MAX_RANGES_PER_TARGET * max(1, len(capacities))
        if (
            len(assignment.ranges) > max_ranges
            and moment - state.merged_at >= MIN_ROUND_INTERVAL_SECONDS
        ):
            # This comes before any move for balance: under load there is always a move
            # that helps, and each of them splits ranges further.
            state.merged_at = moment
            merged = self._merge(assignment, rates, capacities)
            if merged is not None:
                return merged
        moves = state.rebalancer.due_moves(moment, assignment, rates, capacities)
        if not moves:
            return None
        if state.rebalancer.last_plan is not None:
            self._record_plan(service, state.rebalancer.last_plan)
        log.info(
            "moving keys for balance",
            extra={"moves": [(m.first, m.last, m.owner) for m in moves]},
        )
        return self._with_moves(assignment, moves)

    def _without_waiting(
        self,
        service: str,
        state: _ServiceState,
        displaced: list[KeyRange],
        capacities: dict[str, float],
    ) -> list[KeyRange]:
        """Return the ranges to place now, without unowned ones that still wait."""
        never_owned = [r for r in displaced if not r.owner]
        if not never_owned:
            return displaced
        if self._report_interval:
            self._measure_speeds(service, state, capacities)
        cause = state.initial_assignment.find_cause(
            now(), capacities, bool(state.loads.weights)
        )
        if cause is None:
            return [r for r in displaced if r.owner]
        log.info(
            "assigning keys for the first time",
            extra={
                "service": service,
                "targets": len(capacities),
                "cause": cause.value,
            },
        )
        return displaced

    def _measure_speeds(
        self, service: str, state: _ServiceState, targets: Iterable[str]
    ) -> None:
        """Measure the machines of targets that are about to get their first keys."""
        cfg = self._cluster_view.configuration
        assert cfg is not None
        for name in targets:
            known = self._cluster_view.known[name]
            if known.cold_until > now():
                # A report would count against the requests that it may get.
                continue
            self._machine_speeds.measure(
                known.target,
                cfg.services[service].health_path,
                state.speeds.set_initial_ratio,
            )

    def _record_plan(self, service: str, plan: SpreadPlan) -> None:
        """Log and count a plan for all overloaded owners."""
        log.info(
            "plan for overloaded owners",
            extra={
                "service": service,
                "donors": plan.donors,
                "recipients": plan.recipients,
                "moves": len(plan.moves),
                "keys": plan.keys,
                "highest_before": round(plan.highest_before, 2),
                "highest_after": round(plan.highest_after, 2),
            },
        )
        if self.metrics is not None:
            self.metrics.increment("spread plans")
            self.metrics.increment("spread plan moves", len(plan.moves))
            self.metrics.increment("spread plan keys", plan.keys)

    def _merge(
        self, assignment: Assignment, rates: list, capacities: dict[str, float]
    ) -> Assignment | None:
        """Return the assignment with fewer ranges, or None if that is impossible."""
        moves = merge_ranges(assignment, rates, capacities)
        merged = self._with_moves(assignment, moves) if moves else assignment
        return self._with_merged_neighbours(merged) or (merged if moves else None)

    def _is_usable_owner(self, r: KeyRange) -> bool:
        """Tell whether the owner of a range can remain its owner."""
        if not r.owner or not self._cluster_view.is_usable(r.owner):
            return False
        if self._cluster_view.known[r.owner].target.incarnation != r.incarnation:
            return False
        identity = (r.owner, r.incarnation)
        unresponsive = self.grant_renewer.is_unresponsive(identity)
        return not unresponsive or self.grant_renewer.may_hold_keys(identity)

    def _capacities(self, service: str, state: _ServiceState) -> dict[str, float]:
        """Return the requests per second of each target that may own keys."""
        cfg = self._cluster_view.configuration
        assert cfg is not None
        capacities = {}
        for name in self._cluster_view.usable_targets(service):
            entry = self._cluster_view.known[name]
            if self.grant_renewer.is_unresponsive(entry.target.identity):
                continue
            capacities[name] = entry.target.slots / state.speeds.expected_seconds(name)
            if entry.cold_until > now():
                rate = cfg.services[service].cold_requests_per_second
                capacities[name] = min(capacities[name], LIMITED_UTILIZATION * rate)
            if self.target_notices is None:
                continue
            limit = self.target_notices.limits.rate(name)
            if limit is not None:
                capacities[name] = min(capacities[name], LIMITED_UTILIZATION * limit)
            capacities[name] *= self.target_notices.rests.available_share(name)
        return capacities

    def _with_moves(self, assignment: Assignment, moves) -> Assignment:
        """Return the assignment with moves started."""
        fence = assignment.next_fence
        new = []
        for move in moves:
            incarnation = self._cluster_view.known[move.owner].target.incarnation
            for r in assignment.ranges:
                if r.last < move.first or r.first > move.last:
                    continue
                first, last = max(r.first, move.first), min(r.last, move.last)
                fence += FENCES_PER_MOVE
                new.append(
                    self._key_moves.start_move(
                        r, first, last, move.owner, incarnation, fence
                    )
                )
        return assignment.replace(new, fence + 1)

    def _with_merged_neighbours(self, assignment: Assignment) -> Assignment | None:
        """Return the assignment with equal neighbours under one fence, or None."""
        fence = assignment.next_fence
        new = []
        ranges = assignment.ranges
        for one, other in zip(ranges[::2], ranges[1::2], strict=False):
            settled = not one.previous_owner and not other.previous_owner
            if settled and (one.owner, one.incarnation) == (
                other.owner,
                other.incarnation,
            ):
                new.append(
                    KeyRange(
                        one.first, other.last, one.owner, one.incarnation, fence + 1
                    )
                )
                fence += 1
        return assignment.replace(new, fence + 1) if new else None

    def _start_move_tasks(
        self, service: str, state: _ServiceState, assignment: Assignment
    ) -> None:
        """Start a task for each move of the assignment that has none."""
        for move, task in list(state.move_tasks.items()):
            if task.done():
                log_task_failure(task)
                del state.move_tasks[move]
        for r in assignment.ranges:
            move = (r.first, r.last, r.fence)
            if r.previous_owner and move not in state.move_tasks:
                state.move_tasks[move] = asyncio.create_task(self._move(service, r))

    async def _move(self, service: str, r: KeyRange) -> None:
        """Revoke keys from their previous owner and grant them to the new one."""
        start_time = now()
        handover = self._key_moves.get_handover(r)
        if handover is None:
            handover = await self._key_moves.revoke(r)
        if handover is None or not self._is_current(service, r):
            return
        self._key_moves.record_release(r, handover)
        known = self._cluster_view.known.get(r.owner)
        if known is None or known.target.incarnation != r.incarnation:
            return
        if not await self.grant_renewer.grant(known.target, r, handover):
            return
        log.info(
            "keys moved",
            extra={
                "service": service,
                "first": r.first,
                "last": r.last,
                "from": r.previous_owner,
                "to": r.owner,
                "fence": r.fence,
                "handover": bool(handover),
                "seconds": round(now() - start_time, 3),
            },
        )
        state = self._get_state(service)
        state.completed.append(r)
        if state.completion_task is None or state.completion_task.done():
            state.completion_task = asyncio.create_task(
                self._store_completions(service, state)
            )
        # A move is started again until its end is stored, which renews the new owner's
        # grant. Without a pause each such move would call its target continuously while
        # the store is slow, and leave this VM no time for anything else.
        await asyncio.sleep(GRANT_RENEWAL_INTERVAL_SECONDS)

    def _is_current(self, service: str, r: KeyRange) -> bool:
        """Tell whether a move is still to go to the owner that it was started for.

        That owner may have become unusable, and the keys may have been assigned to yet
        another one. Granting them to the first would give them two owners (for 2.6 s
        when a data centre was closed during a move). An assignment that is being stored
        counts as well. If it does not change these keys it does not block them,
        although its outcome may be unknown for as long as the store is unavailable.
        """
        pending_write = self._get_state(service).pending_write
        known = [
            self._store_watcher.assignments[service],
            *([pending_write] if pending_write else []),
        ]
        return all(each.contains(r) for each in known)

    async def _store_completions(self, service: str, state: _ServiceState) -> None:
        """Store the end of moves, in one write for those that end together."""
        while state.completed and self._election.is_coordinator():
            await asyncio.sleep(COMPLETION_DELAY_SECONDS)
            try:
                async with state.lock:
                    completed, state.completed = state.completed, []
                    await self._write_completed(service, completed)
            except StoreError as exc:
                state.completed += completed
                log.info("end of moves not stored", extra={"cause": str(exc)})
                await asyncio.sleep(RECONCILE_INTERVAL_SECONDS)

    async def _write_completed(self, service: str, completed: list[KeyRange]) -> None:
        assignment = self._store_watcher.assignments[service]
        done = []
        for r in completed:
            current = assignment.find(r.first)
            if current.fence == r.fence and current.previous_owner:
                done.append(KeyRange(r.first, r.last, r.owner, r.incarnation, r.fence))
        if done:
            new = assignment.replace(done, assignment.next_fence)
            await self._write_assignment(service, self._get_state(service), new)

    def _get_state(self, service: str) -> _ServiceState:
        state = self._services.get(service)
        if state is None:
            state = self._services[service] = _ServiceState(
                now(), self._report_interval
            )
        return state
