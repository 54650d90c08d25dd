"""Which VMs and targets are alive, as the heartbeats tell."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import DRIFT, LOAD_FRESH, OUTSTANDING, SILENT_AFTER

if TYPE_CHECKING:
    from berylstage_messages.control_pb2 import Beat

    from berylstage_ownership.assignment import Assignment


class Sighting:
    """The latest heartbeat of one VM.

    Parameters
    ----------
    vm : str
    incarnation : int
    beat : Beat
    heard_at : float
        By this VM's clock.
    """

    __slots__ = ("vm", "incarnation", "beat", "heard_at")

    def __init__(self, vm: str, incarnation: int, beat: Beat, heard_at: float):
        self.vm = vm
        self.incarnation = incarnation
        self.beat = beat
        self.heard_at = heard_at


class Fleet:
    """What this VM has heard from the VMs of its cell.

    Parameters
    ----------
    name : str
        Name of this VM.
    cell : str
    now : float
    """

    def __init__(self, name: str, cell: str, now: float):
        self._name = name
        self._cell = cell
        self._listening_since = now
        self.sightings: dict[str, Sighting] = {}
        # Load digests come with few heartbeats only, to save their bytes.
        self._loads: dict[str, Sighting] = {}
        self._last_seen: dict[str, float] = {}
        self._electorate_version = -1
        self._current_since: float | None = None

    def heard(self, now: float, vm: str, incarnation: int, beat: Beat) -> None:
        """Take in a heartbeat; one of an earlier run of the VM is ignored."""
        if beat.cell != self._cell:
            return
        known = self.sightings.get(vm)
        if known is not None and known.incarnation > incarnation:
            return
        self.sightings[vm] = Sighting(vm, incarnation, beat, now)
        if beat.load:
            self._loads[vm] = self.sightings[vm]
        self._last_seen[vm] = now

    def load_digests(self, now: float) -> dict[str, bytes]:
        """Return the load digests that still count, by VM."""
        return {
            vm: sighting.beat.load
            for vm, sighting in self._loads.items()
            if now - sighting.heard_at < LOAD_FRESH
        }

    def listen_anew(self, now: float) -> None:
        """Start the wait for heartbeats anew, after a pause of this process.

        A paused VM has heard nobody; without this it would take the whole fleet for
        lost when it wakes up and move every key.
        """
        self._listening_since = now

    def _heard_here(self, now: float, vm: str) -> bool:
        """Tell whether this VM itself hears another."""
        sighting = self.sightings.get(vm)
        heard_at = sighting.heard_at if sighting else self._listening_since
        since = max(heard_at, self._listening_since)
        return now - since < SILENT_AFTER

    def silent(self, now: float, assignment: Assignment) -> list[str]:
        """Return the VMs of the cell that this VM does not hear."""
        names = [name for name in assignment.vms if name != self._name]
        return [name for name in names if not self._heard_here(now, name)]

    def fresh(self, now: float, vm: str) -> Sighting | None:
        """Return a VM's heartbeat if it is recent."""
        sighting = self.sightings.get(vm)
        if sighting is None or now - sighting.heard_at >= SILENT_AFTER:
            return None
        return sighting

    def can_judge(self, now: float, assignment: Assignment) -> bool:
        """Tell whether this VM hears enough electors to call another one lost."""
        electors = [name for name in assignment.electorate if self.fresh(now, name)]
        return len(electors) >= assignment.majority

    def alive(self, now: float, vm: str, assignment: Assignment) -> bool:
        """Tell whether a majority of the electors hears a VM.

        A VM that too few hear cannot hold a lease, whether it is lost or cut off. One
        that only this VM does not hear works on and keeps what it has.
        """
        hearing = 0
        for elector in assignment.electorate:
            if elector == self._name:
                hearing += self._heard_here(now, vm)
                continue
            sighting = self.fresh(now, elector)
            if sighting is not None and vm not in sighting.beat.silent_vms:
                hearing += 1
        return hearing >= assignment.majority

    def unseen_for(self, now: float, vm: str) -> float:
        """Return for how many seconds no heartbeat of a VM has come here."""
        return now - self._last_seen.get(vm, self._listening_since)

    def down_targets(self, now: float, assignment: Assignment) -> set[str]:
        """Return the targets that their leaders report as down."""
        down = set()
        for target, lead in assignment.leaders.items():
            sighting = self.sightings.get(lead.vm)
            if sighting is None or sighting.incarnation != lead.incarnation:
                continue
            if target in sighting.beat.down_targets:
                down.add(target)
        return down

    def has_settled(self, vm: str, incarnation: int, revision: int) -> bool:
        """Tell whether a VM reported everything up to a revision as active."""
        sighting = self.sightings.get(vm)
        if sighting is None or sighting.incarnation != incarnation:
            return False
        return sighting.beat.settled_revision >= revision

    def follow_electorate(self, now: float, assignment: Assignment) -> None:
        """Note since when a majority of the electorate knows its version."""
        version = assignment.electorate_version
        if version != self._electorate_version:
            self._electorate_version = version
            self._current_since = None
        if self._current_since is None and self._majority_current(now, assignment):
            self._current_since = now

    def _majority_current(self, now: float, assignment: Assignment) -> bool:
        """Tell whether a majority of the electorate reports its version."""
        version = assignment.electorate_version
        sightings = [self.fresh(now, name) for name in assignment.electorate]
        current = [s for s in sightings if s and s.beat.electorate_version == version]
        return len(current) >= assignment.majority

    def electorate_settled(self, now: float) -> bool:
        """Tell whether confirmations under earlier electorates have lapsed."""
        if self._current_since is None:
            return False
        # Two changes in quick succession would leave a lease confirmed under the
        # first electorate without a common elector with the third.
        return now - self._current_since >= OUTSTANDING * (1 + DRIFT)
