"""What the proposer knows when it works out the next assignment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.configuration import DataCentreState, MemberState

from berylstage_ownership.constants import FORGET_AFTER
from berylstage_ownership.electorate import LOST_FOR, Candidate

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration, Target

    from berylstage_ownership.assignment import Assignment, CellVm
    from berylstage_ownership.fleet import Fleet, Sighting


class Outlook:
    """One moment's view of VMs and targets, for one evaluation.

    Parameters
    ----------
    now : float
    assignment : Assignment
        The assignment in force, from which the next one is worked out.
    configuration : Configuration
    fleet : Fleet
    platform_leaving : set of str
        VMs that the platform is taking away.
    """

    def __init__(
        self,
        now: float,
        assignment: Assignment,
        configuration: Configuration,
        fleet: Fleet,
        platform_leaving: set[str],
    ):
        self.now = now
        self.assignment = assignment
        self.configuration = configuration
        self.fleet = fleet
        self._platform_leaving = platform_leaving
        self.down = fleet.down_targets(now, assignment)
        self._alive = {
            name: fleet.alive(now, name, assignment) for name in fleet.sightings
        }

    def signature(self) -> tuple:
        """Return all that the next assignment depends on, but for times and loads."""
        sightings = self.fleet.sightings
        return (
            self.assignment.revision,
            self.configuration.revision,
            frozenset(self.down),
            frozenset(name for name, alive in self._alive.items() if alive),
            frozenset(name for name in self.assignment.vms if self.leaving(name)),
            frozenset((s.vm, s.incarnation) for s in self.heard()),
            frozenset(name for name, s in sightings.items() if s.beat.elector_ready),
        )

    def alive(self, vm: str) -> bool:
        """Tell whether a VM counts as alive."""
        return self._alive.get(vm, self.fleet.alive(self.now, vm, self.assignment))

    def leaving(self, vm: str) -> bool:
        """Tell whether a VM is to give up what it leads."""
        wish = self.configuration.vms.get(vm)
        if wish is not None and wish.state is MemberState.LEAVING:
            return True
        sighting = self.fleet.sightings.get(vm)
        announced = sighting is not None and sighting.beat.leaving
        return announced or vm in self._platform_leaving

    def closed(self, data_centre: str) -> bool:
        """Tell whether operators closed a data centre."""
        centre = self.configuration.data_centres.get(data_centre)
        return centre is not None and centre.state is DataCentreState.CLOSED

    def arrivals(self) -> list[Sighting]:
        """Return heartbeats of VMs, or of new runs, that the assignment lacks."""
        found = []
        for name, sighting in sorted(self.fleet.sightings.items()):
            known = self.assignment.vms.get(name)
            newer = known is None or sighting.incarnation > known.incarnation
            if newer and self.fleet.fresh(self.now, name):
                found.append(sighting)
        return found

    def heard(self) -> list[Sighting]:
        """Return recent heartbeats."""
        return [
            sighting
            for name, sighting in sorted(self.fleet.sightings.items())
            if self.fleet.fresh(self.now, name)
        ]

    def forgotten(self, vm: CellVm) -> bool:
        """Tell whether a lost VM may leave the assignment."""
        if vm.name in self.assignment.electorate or self.alive(vm.name):
            return False
        return self.fleet.unseen_for(self.now, vm.name) >= FORGET_AFTER

    def leader_choices(self, vms: dict[str, CellVm]) -> list[CellVm]:
        """Return the VMs that may lead targets, the best sort that there is."""
        alive = [vm for vm in vms.values() if self.alive(vm.name)]
        staying = [vm for vm in alive if not self.leaving(vm.name)]
        in_open = [vm for vm in staying if not self.closed(vm.data_centre)]
        return in_open or staying or alive

    def takes_shards(self, target: Target) -> bool:
        """Tell whether a target may own shards now."""
        return self.configuration.takes_work(target) and target.name not in self.down

    def candidates(self, vms: dict[str, CellVm]) -> dict[str, Candidate]:
        """Return the VMs as the choice of electors sees them."""
        return {vm.name: self._candidate(vm) for vm in vms.values()}

    def _candidate(self, vm: CellVm) -> Candidate:
        """Return one VM as the choice of electors sees it."""
        sighting = self.fleet.fresh(self.now, vm.name)
        unseen = self.fleet.unseen_for(self.now, vm.name)
        lost = not self.alive(vm.name) and unseen >= LOST_FOR
        unwanted = self.leaving(vm.name) or self.closed(vm.data_centre)
        ready = sighting is not None and sighting.beat.elector_ready
        return Candidate(vm.name, vm.data_centre, lost, unwanted, ready)

    def load_digests(self) -> dict[str, bytes]:
        """Return the load digests by VM."""
        return self.fleet.load_digests(self.now)
