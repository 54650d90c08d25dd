"""Faults that cut VMs from targets while everything else reaches them."""

from __future__ import annotations

import json
from base64 import b64decode
from typing import TYPE_CHECKING

from soak.faults import (
    Fault,
    TargetLeaving,
    TargetReborn,
    VmKilled,
    VmsStopped,
)
from soak.target_links import CutMode

if TYPE_CHECKING:
    from soak.installation import Installation, SoakVm

# Store key of the record that names the coordinator.
COORDINATOR_KEY_END = "/duty"
# Probability that the coordinator is among the VMs.
COORDINATOR_SHARE = 0.5


class VmsCutOff(Fault):
    """Some VMs lose their links to all targets: one, half of them, or all but one."""

    duration_range = (8.0, 10.0)
    is_cut = True
    mode = CutMode.SILENT

    async def begin(self, installation: Installation) -> str:
        vms = self._draw_vms(installation)
        self.links = [
            target.links[vm.number] for target in installation.targets for vm in vms
        ]
        for link in self.links:
            link.cut(self.mode)
        what = f"{type(self).__name__} ({self.mode.value})"
        names = [vm.name for vm in vms]
        self.record = installation.ledger.cuts.record_begin(names, what)
        return ", ".join(sorted(names))

    async def end(self, installation: Installation) -> None:
        installation.ledger.cuts.record_end(self.record)
        for link in self.links:
            link.heal()

    def _draw_vms(self, installation: Installation) -> list[SoakVm]:
        """Draw VMs whose links are not cut, so that one VM at least keeps its links."""
        target = installation.targets[0]
        vms = [vm for vm in installation.vms if not target.links[vm.number].is_cut]
        self.rng.shuffle(vms)
        if self.rng.random() < COORDINATOR_SHARE:
            coordinator = find_coordinator(installation)
            vms.sort(key=lambda vm: vm.ip != coordinator)
        most = len(vms) - 1
        return vms[: min(most, self.rng.choice((1, len(vms) // 2, most)))]


class VmsReset(VmsCutOff):
    """The same with connections that are reset, and new ones that are refused."""

    mode = CutMode.RESET


class VmsRefused(VmsCutOff):
    """The same with connections that live on, and new ones that are refused."""

    mode = CutMode.REFUSING


class TargetsCutOff(Fault):
    """One or two targets are cut off from all VMs, in any way."""

    duration_range = (0.2, 3.0)

    async def begin(self, installation: Installation) -> str:
        targets = [t for t in installation.targets if not t.links[0].is_cut]
        drawn = self.rng.sample(targets, min(self.rng.randint(1, 2), len(targets)))
        mode = self.rng.choice(list(CutMode))
        self.links = [link for target in drawn for link in target.links]
        for link in self.links:
            link.cut(mode)
        return f"{', '.join(target.name for target in drawn)} ({mode.value})"

    async def end(self, installation: Installation) -> None:
        for link in self.links:
            link.heal()


def find_coordinator(installation: Installation) -> str:
    """Return the address of the VM that holds the coordinator's lease, or ""."""
    for key, item in installation.store.items.items():
        if key.endswith(COORDINATOR_KEY_END):
            doc = json.loads(b64decode(item["value"]))
            return doc["control"].partition(":")[0]
    return ""


CUTS: tuple[type[Fault], ...] = (VmsCutOff, VmsReset, VmsRefused)
# Owners that are cut off while they crash, leave, and VMs stop and change.
TARGET_CUTS: tuple[type[Fault], ...] = (
    TargetsCutOff,
    TargetsCutOff,
    TargetsCutOff,
    TargetReborn,
    TargetLeaving,
    VmsStopped,
    VmKilled,
)
