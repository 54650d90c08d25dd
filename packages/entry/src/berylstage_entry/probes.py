"""Probes targets for their load when their last report is old."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_policy.probing import is_due
from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import TargetReplaced
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.permit_client import PermitClient
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.services import Service
    from berylstage_entry.target_loads import TargetLoads
    from berylstage_entry.targets import Target

# Interval of checks for targets to probe: a third of the age at which one is probed.
CHECK_INTERVAL_SECONDS = 0.1
# The same while no target is assigned to this VM: hundreds of VMs serve no queue.
IDLE_CHECK_INTERVAL_SECONDS = 0.5
# Time limit of a probe. Targets report their load without waiting for a slot, and a
# later answer would describe a past load.
PROBE_TIMEOUT_SECONDS = 0.25
# Delay before the next probe of a target that did not answer or reported no load.
RETRY_DELAY_SECONDS = 1.0

log = Logger(__name__)


class LoadProbes:
    """Probes the targets of the queues that this VM serves.

    Parameters
    ----------
    loads : TargetLoads
    cluster_view : ClusterView
    permit_client : PermitClient
        Determines the queues that this VM serves.
    protocol : TargetProtocol
    """

    def __init__(
        self,
        loads: TargetLoads,
        cluster_view: ClusterView,
        permit_client: PermitClient,
        protocol: TargetProtocol,
    ):
        self._loads = loads
        self._cluster_view = cluster_view
        self._permit_client = permit_client
        self._protocol = protocol
        self._running: dict[str, asyncio.Task] = {}
        self._not_before: dict[str, float] = {}
        self._task: asyncio.Task | None = None
        self._unresponsive: set[str] = set()
        # Seconds for which a target wants nothing from this VM, by its name.
        self.rest_seconds: Callable[[str], float] = lambda name: 0.0
        # Targets that this VM probes, and the revisions that they were computed from.
        self._assigned: list[Target] = []
        self._seen_revisions: tuple[int, int] = (-1, -1)

    def start(self) -> None:
        """Start probing."""
        self._task = supervise("load probes", self._run)

    def stop(self) -> None:
        """Stop probing."""
        if self._task is not None:
            self._task.cancel()
        for task in self._running.values():
            task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(
                IDLE_CHECK_INTERVAL_SECONDS
                if self._is_idle()
                else CHECK_INTERVAL_SECONDS
            )
            self._start_due(now())

    def _is_idle(self) -> bool:
        """Tell whether targets are known, but none is assigned to this VM."""
        return (
            bool(self._cluster_view.known) and not self.targets() and not self._assigned
        )

    def _start_due(self, moment: float) -> None:
        cfg = self._cluster_view.configuration
        if cfg is None:
            return
        for target in self.targets():
            service = cfg.services.get(target.service)
            if service is None or target.name in self._running:
                continue
            if moment < self._not_before.get(target.name, 0.0):
                continue
            if self.rest_seconds(target.name):
                continue
            age, since_request = self._loads.report_and_request_ages(target, moment)
            if is_due(age, since_request, service.owns_keys):
                task = asyncio.create_task(self._probe(target, service))
                self._running[target.name] = task

    def targets(self) -> list[Target]:
        """Return the targets that this VM should probe.

        Cold targets are excluded, since a probe counts against their request limit.
        """
        known = (self._cluster_view.revision, self._permit_client.revision)
        if known != self._seen_revisions:
            self._seen_revisions = known
            self._assigned = self._find_assigned()
        moment = now()
        cold = self._cluster_view.known
        return [
            t
            for t in self._assigned
            if t.name in cold and cold[t.name].cold_until < moment
        ]

    def _find_assigned(self) -> list[Target]:
        cfg = self._cluster_view.configuration
        assigned = []
        for known in self._cluster_view.known.values():
            target = known.target
            if (
                target.is_draining
                or target.data_centre in self._cluster_view.closed_data_centres
            ):
                continue
            service = cfg.services.get(target.service) if cfg is not None else None
            if service is None:
                continue
            if service.owns_keys:
                serves = self._permit_client.serves(target.name, target.data_centre)
            else:
                serves = self._permit_client.serves(target.service)
            if serves:
                assigned.append(target)
        return assigned

    async def _probe(self, target: Target, service: Service) -> None:
        try:
            report = await self._protocol.probe(
                target, service.health_path, PROBE_TIMEOUT_SECONDS
            )
        except (CallFailed, TargetReplaced) as exc:
            self._not_before[target.name] = now() + RETRY_DELAY_SECONDS
            self._loads.record_probe_failure(target)
            if target.name not in self._unresponsive:
                self._unresponsive.add(target.name)
                log.info(
                    "load probe failed",
                    extra={"target": target.name, "cause": str(exc)},
                )
            return
        finally:
            self._running.pop(target.name, None)
        self._unresponsive.discard(target.name)
        if report is None:
            self._not_before[target.name] = now() + RETRY_DELAY_SECONDS
            return
        self._loads.apply_report(target, report.running + report.waiting, report)
