"""The next assignment, from the configuration, who is alive, and the balance."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.configuration import Ownership

from berylstage_ownership.assignment import Assignment, CellVm
from berylstage_ownership.constants import LEAD_MOVES, LEAD_SHARE, SHARD_MOVES
from berylstage_ownership.electorate import (
    Candidate,
    initial_electorate,
    next_electorate,
)
from berylstage_ownership.leaders import LeaderChanges, drop_leaders
from berylstage_ownership.owners import OwnerChanges, drop_services

if TYPE_CHECKING:
    from berylstage_ownership.assignment import Leadership, Prior
    from berylstage_ownership.fleet import Sighting
    from berylstage_ownership.outlook import Outlook
    from berylstage_ownership.planner import Planner


def next_assignment(
    outlook: Outlook,
    planner: Planner,
    write_id: str,
    may_level: bool,
    electorate_may_change: bool,
) -> Assignment | None:
    """Return the assignment that should follow, or None to keep the one in force.

    Parameters
    ----------
    outlook : Outlook
    planner : Planner
    write_id : str
        Unique id of the write.
    may_level : bool
        Whether moves that only improve the balance are due.
    electorate_may_change : bool
        Whether confirmations under earlier electorates have lapsed.

    Returns
    -------
    Assignment or None
    """
    old = outlook.assignment
    draft = old.copy()
    draft.revision = old.revision + 1
    _change_vms(outlook, draft)
    lead_moves = max(LEAD_MOVES, len(old.leaders) // LEAD_SHARE)
    LeaderChanges(outlook, draft).apply(lead_moves if may_level else 0)
    _change_owners(outlook, draft, planner, SHARD_MOVES if may_level else 0)
    drop_leaders(outlook, draft)
    if electorate_may_change:
        _change_electorate(outlook, draft)
    if not _differs(old, draft):
        return None
    _prune(outlook, draft)
    draft.configuration_revision = outlook.configuration.revision
    draft.write_id = write_id
    return draft


def first_assignment(cell: str, sightings: list[Sighting], write_id: str) -> Assignment:
    """Return the first assignment of a cell, which only names VMs and electors.

    Parameters
    ----------
    cell : str
    sightings : list of Sighting
        VMs heard, this one among them.
    write_id : str

    Returns
    -------
    Assignment
    """
    vms = {sighting.vm: cell_vm(sighting) for sighting in sightings}
    candidates = {
        s.vm: Candidate(s.vm, s.beat.data_centre, False, s.beat.leaving, True)
        for s in sightings
    }
    electorate = initial_electorate(candidates)
    return Assignment(cell, 1, write_id, 0, electorate, 1, vms, {}, {}, {})


def cell_vm(sighting: Sighting) -> CellVm:
    """Return a VM of the cell as its heartbeat describes it."""
    beat = sighting.beat
    return CellVm(
        sighting.vm,
        beat.data_centre,
        sighting.incarnation,
        beat.http_address,
        beat.peer_address,
    )


def _change_vms(outlook: Outlook, draft: Assignment) -> None:
    """Take in VMs that came and take out those long lost."""
    for sighting in outlook.arrivals():
        draft.vms[sighting.vm] = cell_vm(sighting)
    leading = {lead.vm for lead in draft.leaders.values()}
    for vm in list(draft.vms.values()):
        if vm.name not in leading and outlook.forgotten(vm):
            del draft.vms[vm.name]


def _change_owners(
    outlook: Outlook, draft: Assignment, planner: Planner, budget: int
) -> None:
    """Bring the owners of all services in line."""
    drop_services(outlook, draft)
    for service in outlook.configuration.services.values():
        if service.ownership is Ownership.OWNED:
            OwnerChanges(service, outlook, draft).apply(planner, budget)


def _change_electorate(outlook: Outlook, draft: Assignment) -> None:
    """Take the next step of the electorate."""
    following = next_electorate(draft.electorate, outlook.candidates(draft.vms))
    if following is not None:
        draft.electorate = following
        draft.electorate_version += 1


def _differs(old: Assignment, draft: Assignment) -> bool:
    """Tell whether the draft says anything new."""
    revision = draft.revision
    draft.revision = old.revision
    same = draft.to_json() == old.to_json()
    draft.revision = revision
    return not same


def _prune(outlook: Outlook, draft: Assignment) -> None:
    """Drop priors whom the present leader has outwaited."""
    for lead in draft.leaders.values():
        lead.priors = _remaining(outlook, lead.priors, lead, lead.epoch)
    for owner in draft.owners.values():
        lead_of_owner = draft.leaders.get(owner.target)
        if lead_of_owner is not None:
            # The leader's word counts only from when it had the shard: what it had
            # settled earlier says nothing about a shard that came later.
            since = max(owner.fence, lead_of_owner.epoch)
            owner.priors = _remaining(outlook, owner.priors, lead_of_owner, since)


def _remaining(
    outlook: Outlook, priors: list[Prior], lead: Leadership, since: int
) -> list[Prior]:
    """Return the priors that the present leader has not outwaited.

    The word of a prior that it let go is no reason to drop it: its successor asks it
    for the records of requests that may not be repeated.
    """
    if outlook.fleet.has_settled(lead.vm, lead.incarnation, since):
        return [prior for prior in priors if prior.until > since]
    return priors


def with_new_electorate(outlook: Outlook, write_id: str) -> Assignment:
    """Return the assignment with an electorate of the VMs that are heard now.

    Parameters
    ----------
    outlook : Outlook
    write_id : str

    Returns
    -------
    Assignment
        To be written only when the platform took a majority of the electors away.
    """
    old = outlook.assignment
    draft = old.copy()
    draft.revision = old.revision + 1
    draft.write_id = write_id
    for sighting in outlook.arrivals():
        draft.vms[sighting.vm] = cell_vm(sighting)
    heard = [s.vm for s in outlook.heard() if s.beat.elector_ready]
    candidates = {
        vm.name: Candidate(vm.name, vm.data_centre, False, False, True)
        for vm in draft.vms.values()
        if vm.name in heard
    }
    draft.electorate = initial_electorate(candidates)
    draft.electorate_version += 1
    return draft
