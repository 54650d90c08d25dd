"""Asks targets for their load when nobody has heard of it for a moment."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_policy.probing import is_due
from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import TargetReplaced

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.permit_client import PermitClient
    from berylstage_entry.protocols import TargetProtocol
    from berylstage_entry.services import Service
    from berylstage_entry.target_loads import TargetLoads
    from berylstage_entry.targets import Target

# Seconds between two looks for targets to be asked: a third of the age at which one is.
TICK = 0.1
# The same while no target falls to this VM: hundreds of VMs keep no queue at all.
IDLE_TICK = 0.5
# Seconds that an answer may take: targets tell their load without waiting for a slot,
# and a later answer tells of a load that is past.
TIMEOUT = 0.25
# Seconds before a target is asked again that gave no answer or tells no load.
PAUSE = 1.0

log = Logger(__name__)


class LoadProbes:
    """Asks the targets that fall to this VM.

    Parameters
    ----------
    loads : TargetLoads
    directory : Directory
    turns : Turns
        Knows which queues fall to this VM.
    wire : TargetWire
    """

    def __init__(
        self,
        loads: TargetLoads,
        directory: ClusterView,
        turns: PermitClient,
        wire: TargetProtocol,
    ):
        self._loads = loads
        self._directory = directory
        self._turns = turns
        self._wire = wire
        self._under_way: dict[str, asyncio.Task] = {}
        self._not_before: dict[str, float] = {}
        self._task: asyncio.Task | None = None
        self._silent: set[str] = set()
        # Targets that fall to this VM, and what that was worked out from.
        self._mine: list[Target] = []
        self._known: tuple[int, int] = (-1, -1)

    def start(self) -> None:
        """Begin to ask."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.cancel()
        for task in self._under_way.values():
            task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(IDLE_TICK if self._is_idle() else TICK)
            self._begin_due(now())

    def _is_idle(self) -> bool:
        """Tell whether targets are known, and none falls to this VM."""
        return bool(self._directory.known) and not self.targets() and not self._mine

    def _begin_due(self, moment: float) -> None:
        cfg = self._directory.configuration
        if cfg is None:
            return
        for target in self.targets():
            service = cfg.services.get(target.service)
            if service is None or target.name in self._under_way:
                continue
            if moment < self._not_before.get(target.name, 0.0):
                continue
            age, since_request = self._loads.ages(target, moment)
            if is_due(age, since_request, service.owns_keys):
                task = asyncio.create_task(self._ask(target, service))
                self._under_way[target.name] = task

    def targets(self) -> list[Target]:
        """Return the targets that fall to this VM.

        Cold ones are left out: each request to them counts against what they bear.
        """
        known = (self._directory.revision, self._turns.revision)
        if known != self._known:
            self._known = known
            self._mine = self._pick()
        moment = now()
        cold = self._directory.known
        return [
            t for t in self._mine if t.name in cold and cold[t.name].cold_until < moment
        ]

    def _pick(self) -> list[Target]:
        cfg = self._directory.configuration
        mine = []
        for known in self._directory.known.values():
            target = known.target
            if target.leaving or target.data_centre in self._directory.closed:
                continue
            service = cfg.services.get(target.service) if cfg is not None else None
            if service is None:
                continue
            if service.owns_keys:
                keeps = self._turns.keeps(target.name, target.data_centre)
            else:
                keeps = self._turns.keeps(target.service)
            if keeps:
                mine.append(target)
        return mine

    async def _ask(self, target: Target, service: Service) -> None:
        try:
            report = await self._wire.probe(target, service.health_path, TIMEOUT)
        except (CallFailed, TargetReplaced) as exc:
            self._not_before[target.name] = now() + PAUSE
            self._loads.unheard(target)
            if target.name not in self._silent:
                self._silent.add(target.name)
                log.info(
                    "target tells no load",
                    extra={"target": target.name, "cause": str(exc)},
                )
            return
        finally:
            self._under_way.pop(target.name, None)
        self._silent.discard(target.name)
        if report is None:
            self._not_before[target.name] = now() + PAUSE
            return
        self._loads.heard(target, report.running + report.waiting, report)
