"""Changes that cannot be made in place, because a key could get two owners."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.columns import SERVICES, TARGETS, Section
from berylstage_sheet.errors import FaultySheet, TransitionFault

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_sheet.configuration import Configuration
    from berylstage_sheet.reader import Sheet


def check_transition(before: Configuration | None, sheet: Sheet) -> None:
    """Check that a sheet can follow the configuration in force.

    A revision reaches the VMs one after the other, within seconds. Until the last one
    has it, two VMs act on different revisions. Leases and fence tokens keep a shard's
    owner single meanwhile, but only as long as both revisions mean the same server by
    the target's name and agree that the key has an owner. The number of shards may
    change: the assignment divides the keys anew, with new fence tokens.

    Parameters
    ----------
    before : Configuration or None
        The configuration in force; None when there is none yet.
    sheet : Sheet

    Raises
    ------
    FaultySheet
        All changes that cannot be made in place.
    """
    if before is None:
        return
    faults = [*_services(before, sheet), *_targets(before, sheet)]
    if faults:
        raise FaultySheet(faults)


def _services(before: Configuration, sheet: Sheet) -> Iterator[TransitionFault]:
    """Yield the changes of services that cannot be made in place."""
    for name, service in sheet.cfg.services.items():
        old = before.services.get(name)
        # A VM that still takes the keys for free sends them to any target, while one
        # that takes them for owned has already given them to a single one.
        if old is not None and old.ownership is not service.ownership:
            yield _fault(
                sheet,
                SERVICES,
                name,
                "keys",
                f"{name} exists with keys {old.ownership.value}",
                "add a service under a new name, move its callers, remove the old one",
            )


def _targets(before: Configuration, sheet: Sheet) -> Iterator[TransitionFault]:
    """Yield the changes of targets that cannot be made in place."""
    # A server under another server's name would inherit its shards with their fence
    # tokens, while the first server may still hold an unexpired grant for them.
    for name, target in sheet.cfg.targets.items():
        old = before.targets.get(name)
        if old is None:
            continue
        if old.address != target.address:
            yield _fault(
                sheet,
                TARGETS,
                name,
                "address",
                f"{name} exists at {old.address}",
                "give the new server a new name and remove the old one",
            )
        if old.service != target.service:
            yield _fault(
                sheet,
                TARGETS,
                name,
                "service",
                f"{name} exists and serves {old.service}",
                "give the target a new name",
            )


def _fault(
    sheet: Sheet, section: Section, name: str, column: str, problem: str, remedy: str
) -> TransitionFault:
    """Return the fault of one cell."""
    return TransitionFault(sheet.place(section, name, column), problem, remedy)
