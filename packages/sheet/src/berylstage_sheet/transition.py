"""Reject configuration changes that could give a key two owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.columns import SERVICES, TARGETS, Section
from berylstage_sheet.errors import FaultySheet, TransitionFault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_sheet.configuration import Configuration
    from berylstage_sheet.reader import Sheet


def check_transition(before: Configuration | None, sheet: Sheet) -> None:
    """Check that a sheet may replace the current configuration.

    A revision reaches the VMs one after another within seconds. Until all VMs have
    it, two VMs may use different revisions. Leases and fence tokens ensure that each
    shard has a single owner in the meantime, but only if a target's name denotes the
    same server in both revisions and both agree that the key has an owner. The number
    of shards may change, because the assignment then divides the keys again with new
    fence tokens.

    Parameters
    ----------
    before : Configuration or None
        Current configuration; None if there is none yet.
    sheet : Sheet
        Sheet with the new configuration.

    Raises
    ------
    FaultySheet
        The sheet has changes that cannot be made in place; the group contains all.
    """
    if before is None:
        return
    faults = [*_check_services(before, sheet), *_check_targets(before, sheet)]
    if faults:
        raise FaultySheet(faults)


def _check_services(before: Configuration, sheet: Sheet) -> Iterator[TransitionFault]:
    """Yield the changes of services that cannot be made in place."""
    for name, service in sheet.cfg.services.items():
        old = before.services.get(name)
        # A VM whose revision has free keys sends their requests to any target, while
        # a VM whose revision has owned keys has already assigned them to one target.
        if old is not None and old.ownership is not service.ownership:
            yield _cell_fault(
                sheet,
                SERVICES,
                name,
                "keys",
                f"{name} exists with keys {old.ownership.value}",
                "add a service under a new name, move its callers, remove the old one",
            )


def _check_targets(before: Configuration, sheet: Sheet) -> Iterator[TransitionFault]:
    """Yield the changes of targets that cannot be made in place."""
    # A server that takes over another server's name would get its shards with their
    # fence tokens, while the first server may still have an unexpired grant for them.
    for name, target in sheet.cfg.targets.items():
        old = before.targets.get(name)
        if old is None:
            continue
        if old.address != target.address:
            yield _cell_fault(
                sheet,
                TARGETS,
                name,
                "address",
                f"{name} exists at {old.address}",
                "give the new server a new name and remove the old one",
            )
        if old.service != target.service:
            yield _cell_fault(
                sheet,
                TARGETS,
                name,
                "service",
                f"{name} exists and serves {old.service}",
                "give the target a new name",
            )


def _cell_fault(
    sheet: Sheet, section: Section, name: str, column: str, problem: str, remedy: str
) -> TransitionFault:
    """Return a fault at the position of a cell."""
    return TransitionFault(sheet.place(section, name, column), problem, remedy)
