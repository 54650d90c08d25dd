"""Validation rules that span several rows of a sheet."""

from __future__ import annotations

from collections import Counter
from difflib import get_close_matches
from typing import TYPE_CHECKING

from berylstage_sheet.columns import (
    AUTHOR,
    BASED_ON,
    DATA_CENTRES,
    KEYS,
    KINDS,
    SECTIONS,
    SERVICES,
    SHEET,
    TARGETS,
    VMS,
    Section,
)
from berylstage_sheet.configuration import DataCentreState, MemberState, Ownership
from berylstage_sheet.errors import (
    CellFault,
    DuplicateFault,
    Place,
    RuleFault,
    SheetFault,
    UnknownNameFault,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from berylstage_sheet.layout import Layout, Record


def check_rules(layout: Layout) -> Iterator[SheetFault]:
    """Yield the violations of all rules that span several rows.

    Parameters
    ----------
    layout : Layout
        Sheet whose unreadable cells have already been reported. The rules see only
        the readable cells of a row.

    Yields
    ------
    SheetFault
        Position of a violation and how to correct it.
    """
    for rule in RULES:
        yield from rule(layout)


def _check_properties(layout: Layout) -> Iterator[SheetFault]:
    """Check the properties of the sheet itself."""
    for record in layout.section_records(SHEET):
        name = record.value("property")
        value = record.value("value")
        if name is not None and name not in (BASED_ON, AUTHOR):
            yield CellFault(
                record.place("property"),
                f"{name!r} is not a property",
                f"use '{BASED_ON}' or '{AUTHOR}'",
            )
        elif name == BASED_ON and value is not None and not value.isdecimal():
            yield CellFault(
                record.place("value"),
                f"{value!r} is not a revision",
                "use the number that `berylstage export` wrote",
            )


def _check_duplicates(layout: Layout) -> Iterator[SheetFault]:
    """Check that no two rows of a section have the same identity."""
    for section in SECTIONS:
        first_seen: dict[tuple, int] = {}
        column = section.columns[section.identity - 1].name
        for record in layout.section_records(section):
            if None in record.identity:
                continue
            if record.identity in first_seen:
                yield DuplicateFault(
                    record.place(column),
                    f"{' '.join(record.identity)} is already "
                    f"defined in row {first_seen[record.identity]}",
                    "keep one of the rows",
                )
            first_seen.setdefault(record.identity, record.row)


def _check_references(layout: Layout) -> Iterator[SheetFault]:
    """Check that rows name only services, data centres and targets that exist."""
    for section, column, referenced_section in (
        (KINDS, "service", SERVICES),
        (VMS, "data centre", DATA_CENTRES),
        (TARGETS, "service", SERVICES),
        (TARGETS, "data centre", DATA_CENTRES),
        (KEYS, "service", SERVICES),
        (KEYS, "target", TARGETS),
    ):
        names = _defined_names(layout, referenced_section)
        if not names:
            # The section is missing or unreadable, which is reported once. A further
            # fault for each row that refers to it would obscure that report.
            continue
        for record in layout.section_records(section):
            name = record.value(column)
            if name is not None and name not in names:
                yield UnknownNameFault(
                    record.place(column),
                    f"{name!r} is not in section '{referenced_section.name}'",
                    _suggest_remedy(name, names, referenced_section),
                )


def _defined_names(layout: Layout, section: Section) -> list[str]:
    """Return the names that a section defines."""
    values = (record.identity[0] for record in layout.section_records(section))
    return [name for name in values if name is not None]


def _iter_unique_rows(layout: Layout, section: Section) -> Iterator[Record]:
    """Yield the rows of a section, skipping duplicates of earlier rows."""
    # A duplicate is reported on its own. If the checks used its cells as well, they
    # would also report its consequences.
    seen = set()
    for record in layout.section_records(section):
        if record.identity not in seen:
            yield record
        seen.add(record.identity)


def _suggest_remedy(name: str, names: list[str], section: Section) -> str:
    """Return the remedy for an unknown name, with the closest known name if any."""
    close_matches = get_close_matches(name, names, n=1)
    if close_matches:
        return f"write {close_matches[0]!r}, or add a row there"
    return f"add it to section '{section.name}', or correct the name"


def _check_addresses(layout: Layout) -> Iterator[SheetFault]:
    """Check that no two targets listen on the same address."""
    # A server under two names would be counted as two targets: it would get twice as
    # many requests as it has slots, and one process could own a key under two names.
    first_seen: dict[str, Record] = {}
    for record in layout.section_records(TARGETS):
        address = record.value("address")
        if address is None:
            continue
        if address in first_seen:
            other = first_seen[address]
            yield DuplicateFault(
                record.place("address"),
                f"{address} is the address of {other.value('target')} "
                f"in row {other.row}",
                "correct one of the addresses, or remove one target",
            )
        first_seen.setdefault(address, record)


def _check_repeatable(layout: Layout) -> Iterator[SheetFault]:
    """Check that kinds which run at most once belong to services with owned keys."""
    # If any target may answer, no single target records which requests have run, and
    # a caller's retry could run a second time on another target.
    free_services = {
        record.value("service")
        for record in _iter_unique_rows(layout, SERVICES)
        if record.value("keys") is Ownership.FREE
    }
    for record in layout.section_records(KINDS):
        if (
            record.value("repeatable") is False
            and record.value("service") in free_services
        ):
            yield RuleFault(
                record.place("repeatable"),
                "a kind that runs at most once needs owned keys",
                f"set keys of {record.value('service')} to 'owned', or set "
                "repeatable to 'yes'",
            )


def _check_kinds(layout: Layout) -> Iterator[SheetFault]:
    """Check that each service has at least one kind of request."""
    services_with_kinds = {
        record.value("service") for record in layout.section_records(KINDS)
    }
    for record in layout.section_records(SERVICES):
        name = record.value("service")
        if name is not None and name not in services_with_kinds:
            yield RuleFault(
                record.place("service"),
                f"{name} has no kind of request",
                "add one to section 'kinds'",
            )


def _check_shards(layout: Layout) -> Iterator[SheetFault]:
    """Check that a service with owned keys has at least one shard per target."""
    target_counts = Counter(
        record.value("service") for record in layout.section_records(TARGETS)
    )
    for record in layout.section_records(SERVICES):
        shards = record.value("shards")
        targets = target_counts[record.value("service")]
        owned = record.value("keys") is Ownership.OWNED
        if owned and shards is not None and shards < targets:
            yield RuleFault(
                record.place("shards"),
                f"{shards} shards cannot be spread over {targets} targets",
                f"use {targets} at least",
            )


def _check_connections(layout: Layout) -> Iterator[SheetFault]:
    """Check that a target accepts at least as many connections as it has slots."""
    for record in layout.section_records(TARGETS):
        slots = record.value("slots")
        connections = record.value("connections")
        if slots is not None and connections is not None and connections < slots:
            yield RuleFault(
                record.place("connections"),
                f"{connections} connections cannot fill {slots} slots",
                f"use {slots} at least",
            )


def _check_pinned_keys(layout: Layout) -> Iterator[SheetFault]:
    """Check that a key is pinned only to a target of its own service."""
    services = {
        r.value("target"): r.value("service") for r in layout.section_records(TARGETS)
    }
    for record in layout.section_records(KEYS):
        target = record.value("target")
        target_service = services.get(target)
        key_service = record.value("service")
        if (
            target_service is not None
            and key_service is not None
            and target_service != key_service
        ):
            yield RuleFault(
                record.place("target"),
                f"{target} serves {target_service}, not {key_service}",
                f"name a target of {key_service}, or leave the cell empty",
            )


def _check_open_data_centre_and_vm(layout: Layout) -> Iterator[SheetFault]:
    """Check that at least one data centre is open and one VM is not leaving."""
    centres = layout.section_records(DATA_CENTRES)
    if centres and all(r.value("state") is DataCentreState.CLOSED for r in centres):
        yield RuleFault(
            Place(centres[0].row), "every data centre is closed", "open one"
        )
    vms = layout.section_records(VMS)
    if vms and all(r.value("state") is MemberState.LEAVING for r in vms):
        yield RuleFault(Place(vms[0].row), "every VM is leaving", "keep one active")


def _check_services_served(layout: Layout) -> Iterator[SheetFault]:
    """Check that each service has at least one target that accepts requests."""
    centres = list(_iter_unique_rows(layout, DATA_CENTRES))
    closed_centres = {
        record.value("data centre")
        for record in centres
        if record.value("state") is DataCentreState.CLOSED
    }
    if len(closed_centres) == len(centres):
        return
    # A target with an unreadable state or data centre counts as accepting requests:
    # that cell is already reported, and correcting it may resolve this fault too.
    served_services = {
        record.value("service")
        for record in layout.section_records(TARGETS)
        if record.value("state") is not MemberState.LEAVING
        and record.value("data centre") not in closed_centres
    }
    for record in layout.section_records(SERVICES):
        name = record.value("service")
        if name is not None and name not in served_services:
            yield RuleFault(
                record.place("service"),
                f"no target accepts requests for {name}",
                "add a target, or keep one active in an open data centre",
            )


RULES: Iterable[Callable[[Layout], Iterator[SheetFault]]] = (
    _check_properties,
    _check_duplicates,
    _check_references,
    _check_addresses,
    _check_repeatable,
    _check_kinds,
    _check_shards,
    _check_connections,
    _check_pinned_keys,
    _check_open_data_centre_and_vm,
    _check_services_served,
)
