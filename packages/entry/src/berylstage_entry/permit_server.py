"""Server side of the permit protocol, for the queues assigned to this VM."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_policy.connection_affinity import ChoiceCounts, ConnectionAffinity
from berylstage_policy.remaining_times import RemainingTimes
from berylstage_policy.slot_queue import SlotQueue
from berylstage_policy.slot_requests import PermitStatus, QueuedRequest, RequestId
from berylstage_policy.slot_shares import ShareCounts, SlotShares
from berylstage_policy.target_slots import TargetReport
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.permit_messages import (
    PermitRelease,
    PermitReply,
    PermitRequest,
    checksum,
)
from berylstage_entry.queue_service_times import QueueServiceTimes
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_policy.slot_requests import Decision

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.membership import Membership
    from berylstage_entry.metrics import Metrics
    from berylstage_entry.services import Service
    from berylstage_entry.target_limits import TargetLimits
    from berylstage_entry.target_loads import TargetLoads

# Interval of checks for queued requests and permits that have expired, which no message
# announces.
EXPIRY_INTERVAL_SECONDS = 0.02

# Log lines per second about refused permits. Together with those about requests they
# cost less than a hundredth of a core.
REFUSAL_LINES_PER_SECOND = 10.0
# Interval of the log lines about the choice among targets.
CHOICE_LOG_SECONDS = 10.0

log = Logger(__name__)


class _Choices:
    """Choices among the targets and the requests of one queue, for log and metrics.

    Parameters
    ----------
    affinity : ConnectionAffinity
    shares : SlotShares
    """

    __slots__ = ("_by_connection", "_logged_at", "_shares", "affinity", "shares")

    def __init__(self, affinity: ConnectionAffinity, shares: SlotShares):
        self.affinity = affinity
        self.shares = shares
        # Sums since the last log line.
        self._by_connection = ChoiceCounts(0, 0, 0)
        self._shares = ShareCounts(0, 0)
        self._logged_at = now()

    def collect(self, queue: str, metrics: Metrics | None) -> None:
        """Count the choices since the last call, and log them from time to time."""
        moment = now()
        by_connection = self.affinity.take_counts()
        if self.affinity.is_active(moment):
            self._by_connection = ChoiceCounts(
                *map(sum, zip(self._by_connection, by_connection, strict=True))
            )
            _count(metrics, "permits by connection", by_connection._asdict())
        shares = self.shares.take_counts()
        self._shares = ShareCounts(*map(sum, zip(self._shares, shares, strict=True)))
        _count(metrics, "slots by kind", shares._asdict())
        if moment - self._logged_at < CHOICE_LOG_SECONDS:
            return
        self._logged_at = moment
        if any(self._by_connection):
            log.info(
                "targets chosen by connections",
                extra={
                    "queue": queue,
                    "vms": self.affinity.vm_count,
                    "connected": self._by_connection.connected,
                    "subset": self._by_connection.subset,
                    "other": self._by_connection.other,
                },
            )
        if any(self._shares):
            log.info(
                "slots kept for urgent kinds",
                extra={
                    "queue": queue,
                    "kept": self._shares.kept,
                    "below_share": self._shares.below_share,
                },
            )
        self._by_connection = ChoiceCounts(0, 0, 0)
        self._shares = ShareCounts(0, 0)


def _count(metrics: Metrics | None, event: str, counts: dict[str, int]) -> None:
    """Add counts to the counters of an event."""
    for name, count in counts.items():
        if metrics is not None and count:
            metrics.increment(f"{event}: {name}", count)


class PermitServer:
    """Serves permit requests of all VMs from the queues assigned to this VM.

    Parameters
    ----------
    loads : TargetLoads
        Provides the service times of targets.
    cluster_view : ClusterView
    membership : Membership
    """

    def __init__(
        self, loads: TargetLoads, cluster_view: ClusterView, membership: Membership
    ):
        self._loads = loads
        self._cluster_view = cluster_view
        self._membership = membership
        self._queues: dict[str, SlotQueue] = {}
        # Choices of the queues whose targets any request can use.
        self._choices: dict[str, _Choices] = {}
        # When each queue's set of targets was last updated.
        self._targets_updated_at: dict[str, float] = {}
        self._members_revision = -1
        # Data centre of each VM, by host.
        self._data_centres: dict[str, str] = {}
        self._revision = -1
        # Names of queues, targets and request kinds, by checksum.
        self._names: dict[int, str] = {}
        # Largest remaining times of requests, and the objectives of each service's
        # routes.
        self._remaining_times = RemainingTimes()
        self._objectives: dict[str, dict[str, float]] = {}
        # Request kinds with large bodies.
        self._upload_kinds: set[str] = set()
        self._task: asyncio.Task | None = None
        self._log_limiter = LogRateLimiter(REFUSAL_LINES_PER_SECOND)
        # Set while a queue contains requests.
        self._has_queued = asyncio.Event()
        # Limits that targets name; none while not set.
        self.target_limits: TargetLimits | None = None
        self.metrics: Metrics | None = None
        # Sends a reply to a VM, which may be this one.
        self.send: Callable[[str, PermitReply], None] = lambda host, reply: None

    def start(self) -> None:
        """Start checking for expired requests and permits."""
        self._task = supervise("permits", self._run)

    def stop(self) -> None:
        """Close all queues, and notify the requests that are queued.

        Without the notification their VMs would keep asking this one, and some requests
        have no time for that.
        """
        if self._task is not None:
            self._task.cancel()
        for queue in self._queues.values():
            self._send_decisions(queue.close())

    def receive_request(self, data: bytes, host: str) -> None:
        """Handle the datagram of a permit request."""
        try:
            self.handle_request(PermitRequest.decode(data), host)
        except InvalidRecord as exc:
            log.warning("invalid permit request ignored", extra={"cause": str(exc)})

    def receive_release(self, data: bytes, host: str) -> None:
        """Handle the datagram of a permit release."""
        try:
            self.handle_release(PermitRelease.decode(data), host)
        except InvalidRecord as exc:
            log.warning("invalid permit release ignored", extra={"cause": str(exc)})

    def handle_request(self, ask: PermitRequest, host: str) -> None:
        """Handle a permit request."""
        queue = self._find_queue(ask.queue)
        if queue is None:
            # This VM does not know the target yet. Without a reply the requesting VM
            # sends the request without a permit.
            return
        moment = now()
        kind = self._names.get(ask.kind, "")
        self._remaining_times.record(kind, ask.deadline, moment)
        req = QueuedRequest(
            RequestId(host, ask.number),
            kind,
            self._find_data_centre(host),
            ask.priority,
            moment + ask.soft_deadline,
            ask.objective,
            moment + ask.deadline,
            moment,
            kind in self._upload_kinds,
        )
        decisions = queue.request(req, moment)
        self._send_decisions(decisions)
        self._log_refusals(decisions, queue, ask.queue)
        if len(queue):
            self._has_queued.set()

    def handle_release(self, release: PermitRelease, host: str) -> None:
        """Handle a permit release."""
        queue = self._find_queue(release.queue)
        if queue is None:
            return
        moment = now()
        name = self._names.get(release.target, "")
        report = None
        if name:
            self._loads.record_outcome(name, release.failed)
        if name and release.load is not None:
            active = release.load.running
            self._loads.apply_remote_report(
                name, active, release.load.machine_slowdown, moment
            )
            report = TargetReport(name, active)
        self._send_decisions(
            queue.release(RequestId(host, release.number), moment, report)
        )

    def _find_queue(self, number: int) -> SlotQueue | None:
        if self._revision != self._cluster_view.revision:
            self._refresh_names()
        name = self._names.get(number)
        service = self._find_service(name) if name is not None else None
        if name is None or service is None:
            return None
        queue = self._queues.get(name)
        if queue is None:
            queue = self._queues[name] = self._create_queue(name, service)
        if (
            now() - self._targets_updated_at.get(name, float("-inf"))
            >= EXPIRY_INTERVAL_SECONDS
        ):
            self._targets_updated_at[name] = now()
            queue.set_targets(self._target_slots(name, service))
            choices = self._choices.get(name)
            if choices is not None:
                choices.collect(name, self.metrics)
            queue.callers_may_return = self._remaining_times.may_return(
                self._objectives.get(service.name, {})
            )
        return queue

    def _create_queue(self, name: str, service: Service) -> SlotQueue:
        times = QueueServiceTimes(self._loads, self._cluster_view, service.name)
        if service.owns_keys:
            return SlotQueue(times)
        affinity = ConnectionAffinity(times.data_centre)
        shares = SlotShares()
        self._choices[name] = _Choices(affinity, shares)
        return SlotQueue(times, affinity, shares)

    def _find_service(self, name: str) -> Service | None:
        """Return the service of a queue, or None if the queue is unknown."""
        cfg = self._cluster_view.configuration
        if cfg is None:
            return None
        known = self._cluster_view.known.get(name)
        return cfg.services.get(known.target.service if known else name)

    def _target_slots(self, name: str, service: Service) -> dict[str, int]:
        """Return the number of slots of each target of a queue."""
        known = self._cluster_view.known
        if name in known:
            return {name: known[name].target.slots}
        # Requests to cold targets are limited per VM, those to targets with a limit by
        # tokens, and both need no permit.
        unlimited = [
            n
            for n in self._cluster_view.usable_targets(service.name)
            if known[n].cold_until <= now() and not self._has_limit(n)
        ]
        non_ejected = self._loads.non_ejected(service.name, unlimited) or unlimited
        return {n: known[n].target.slots for n in non_ejected}

    def _has_limit(self, name: str) -> bool:
        return (
            self.target_limits is not None and self.target_limits.rate(name) is not None
        )

    def _refresh_names(self) -> None:
        """Update the names of queues, targets and request kinds."""
        self._revision = self._cluster_view.revision
        known = self._cluster_view.known
        cfg = self._cluster_view.configuration
        names = list(known)
        if cfg is not None:
            names += [*cfg.services, *(route.name for route in cfg.routes)]
            self._objectives = cfg.objectives_by_service()
            self._upload_kinds = {r.name for r in cfg.routes if r.is_upload}
        self._names = {checksum(name): name for name in names}
        for name in [name for name in self._queues if name not in names]:
            del self._queues[name]
            self._choices.pop(name, None)
        self._targets_updated_at.clear()

    def _find_data_centre(self, host: str) -> str:
        if self._members_revision != self._membership.revision:
            self._members_revision = self._membership.revision
            self._data_centres = {
                member.host: member.data_centre for member in self._membership.members()
            }
        return self._data_centres.get(host, "")

    def _send_decisions(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            host, number = decision.request_id
            target = (
                checksum(decision.target)
                if decision.status is PermitStatus.GRANTED
                else 0
            )
            reply = PermitReply(
                number, decision.status.value, decision.retry_after, target
            )
            self.send(host, reply)
            if decision.is_promised and self.metrics is not None:
                self.metrics.increment("slot promised to refused request")

    def _log_refusals(
        self, decisions: list[Decision], queue: SlotQueue, number: int
    ) -> None:
        for decision in decisions:
            if decision.status is PermitStatus.REFUSED and self._log_limiter.take():
                log.info(
                    "permit refused",
                    extra={
                        "queue": self._names[number],
                        "host": decision.request_id.host,
                        "number": decision.request_id.number,
                        "back_in": round(decision.retry_after, 3),
                        "is_promised": decision.is_promised,
                        "promised": queue.promised,
                        "waiting": len(queue),
                        "targets": queue.describe(now()),
                        "left_out": self._log_limiter.take_suppressed_count(),
                    },
                )

    async def _run(self) -> None:
        while True:
            await self._has_queued.wait()
            await asyncio.sleep(EXPIRY_INTERVAL_SECONDS)
            moment = now()
            waiting = [queue for queue in self._queues.values() if len(queue)]
            for queue in waiting:
                self._send_decisions(queue.grant_due(moment))
            if not waiting:
                self._has_queued.clear()
