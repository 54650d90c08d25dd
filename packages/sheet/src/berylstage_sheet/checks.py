"""Checks across the rows of a sheet."""

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


def check(layout: Layout) -> Iterator[SheetFault]:
    """Yield the faults that only several rows together show.

    Parameters
    ----------
    layout : Layout
        Its unreadable cells have been reported already; a row that has one takes
        part in a check only with the cells that were read.

    Yields
    ------
    SheetFault
    """
    for rule in RULES:
        yield from rule(layout)


def _properties(layout: Layout) -> Iterator[SheetFault]:
    """Check what the sheet says of itself."""
    for record in layout.of(SHEET):
        name = record.value("property")
        value = record.value("value")
        if name is not None and name not in (BASED_ON, AUTHOR):
            yield CellFault(
                record.place("property"),
                f"{name!r} is no property",
                f"use '{BASED_ON}' or '{AUTHOR}'",
            )
        elif name == BASED_ON and value is not None and not value.isdecimal():
            yield CellFault(
                record.place("value"),
                f"{value!r} is no revision",
                "use the number that `berylstage export` wrote",
            )


def _duplicates(layout: Layout) -> Iterator[SheetFault]:
    """Check that no two rows of a section are about the same thing."""
    for section in SECTIONS:
        first: dict[tuple, int] = {}
        column = section.columns[section.identity - 1].name
        for record in layout.of(section):
            if None in record.identity:
                continue
            if record.identity in first:
                yield DuplicateFault(
                    record.place(column),
                    f"{' '.join(record.identity)} stands in row "
                    f"{first[record.identity]} already",
                    "keep one of the rows",
                )
            first.setdefault(record.identity, record.row)


def _references(layout: Layout) -> Iterator[SheetFault]:
    """Check that rows name only services, data centres and targets that exist."""
    for section, column, named in (
        (KINDS, "service", SERVICES),
        (VMS, "data centre", DATA_CENTRES),
        (TARGETS, "service", SERVICES),
        (TARGETS, "data centre", DATA_CENTRES),
        (KEYS, "service", SERVICES),
        (KEYS, "target", TARGETS),
    ):
        names = _names(layout, named)
        if not names:
            # The section is missing or unreadable, which is reported once; a fault
            # for each row that refers to it would bury that.
            continue
        for record in layout.of(section):
            name = record.value(column)
            if name is not None and name not in names:
                yield UnknownNameFault(
                    record.place(column),
                    f"{name!r} is not in section '{named.name}'",
                    _suggestion(name, names, named),
                )


def _names(layout: Layout, section: Section) -> list[str]:
    """Return the names that a section defines."""
    values = (record.identity[0] for record in layout.of(section))
    return [name for name in values if name is not None]


def _first_rows(layout: Layout, section: Section) -> Iterator[Record]:
    """Yield the rows of a section without those that repeat an earlier one."""
    # A duplicate is reported by itself. If its cells counted as well, each check
    # would report what follows from it.
    seen = set()
    for record in layout.of(section):
        if record.identity not in seen:
            yield record
        seen.add(record.identity)


def _suggestion(name: str, names: list[str], section: Section) -> str:
    """Return the remedy for a name that does not exist."""
    close = get_close_matches(name, names, n=1)
    if close:
        return f"write {close[0]!r}, or add a row there"
    return f"add it to section '{section.name}', or correct the name"


def _addresses(layout: Layout) -> Iterator[SheetFault]:
    """Check that no two targets listen on the same address."""
    # Two names for one server would hold two leads: its slots would be filled
    # twice over, and a key could have two owners that are the same process.
    first: dict[str, Record] = {}
    for record in layout.of(TARGETS):
        address = record.value("address")
        if address is None:
            continue
        if address in first:
            other = first[address]
            yield DuplicateFault(
                record.place("address"),
                f"{address} is the address of {other.value('target')} "
                f"in row {other.row}",
                "correct one of the addresses, or remove one target",
            )
        first.setdefault(address, record)


def _repeatable(layout: Layout) -> Iterator[SheetFault]:
    """Check that kinds which run at most once belong to services with owned keys."""
    # Where any target may answer, no single place remembers which requests ran: a
    # caller's retry would run a second time on another target.
    free = {
        record.value("service")
        for record in _first_rows(layout, SERVICES)
        if record.value("keys") is Ownership.FREE
    }
    for record in layout.of(KINDS):
        if record.value("repeatable") is False and record.value("service") in free:
            yield RuleFault(
                record.place("repeatable"),
                "a kind that runs at most once needs owned keys",
                f"set keys of {record.value('service')} to 'owned', or set "
                "repeatable to 'yes'",
            )


def _kinds(layout: Layout) -> Iterator[SheetFault]:
    """Check that each service has a kind of request."""
    used = {record.value("service") for record in layout.of(KINDS)}
    for record in layout.of(SERVICES):
        name = record.value("service")
        if name is not None and name not in used:
            yield RuleFault(
                record.place("service"),
                f"{name} has no kind of request",
                "add one to section 'kinds'",
            )


def _shards(layout: Layout) -> Iterator[SheetFault]:
    """Check that owned keys are divided finely enough for each target to own some."""
    counts = Counter(record.value("service") for record in layout.of(TARGETS))
    for record in layout.of(SERVICES):
        shards = record.value("shards")
        targets = counts[record.value("service")]
        owned = record.value("keys") is Ownership.OWNED
        if owned and shards is not None and shards < targets:
            yield RuleFault(
                record.place("shards"),
                f"{shards} shards cannot be spread over {targets} targets",
                f"use {targets} at least",
            )


def _connections(layout: Layout) -> Iterator[SheetFault]:
    """Check that a target accepts a connection for each slot."""
    for record in layout.of(TARGETS):
        slots = record.value("slots")
        connections = record.value("connections")
        if slots is not None and connections is not None and connections < slots:
            yield RuleFault(
                record.place("connections"),
                f"{connections} connections cannot fill {slots} slots",
                f"use {slots} at least",
            )


def _pins(layout: Layout) -> Iterator[SheetFault]:
    """Check that a key stays on a target of its own service."""
    services = {r.value("target"): r.value("service") for r in layout.of(TARGETS)}
    for record in layout.of(KEYS):
        target = record.value("target")
        serves = services.get(target)
        wanted = record.value("service")
        if serves is not None and wanted is not None and serves != wanted:
            yield RuleFault(
                record.place("target"),
                f"{target} serves {serves}, not {wanted}",
                f"name a target of {wanted}, or leave the cell empty",
            )


def _something_open(layout: Layout) -> Iterator[SheetFault]:
    """Check that a data centre is open and a VM stays."""
    centres = layout.of(DATA_CENTRES)
    if centres and all(r.value("state") is DataCentreState.CLOSED for r in centres):
        yield RuleFault(
            Place(centres[0].row), "every data centre is closed", "open one"
        )
    vms = layout.of(VMS)
    if vms and all(r.value("state") is MemberState.LEAVING for r in vms):
        yield RuleFault(Place(vms[0].row), "every VM is leaving", "keep one active")


def _served(layout: Layout) -> Iterator[SheetFault]:
    """Check that each service keeps a target that takes work."""
    centres = list(_first_rows(layout, DATA_CENTRES))
    closed = {
        record.value("data centre")
        for record in centres
        if record.value("state") is DataCentreState.CLOSED
    }
    if len(closed) == len(centres):
        return
    # A target with an unreadable state or data centre counts as one that works: its
    # own fault is reported, and this one may vanish with it.
    served = {
        record.value("service")
        for record in layout.of(TARGETS)
        if record.value("state") is not MemberState.LEAVING
        and record.value("data centre") not in closed
    }
    for record in layout.of(SERVICES):
        name = record.value("service")
        if name is not None and name not in served:
            yield RuleFault(
                record.place("service"),
                f"no target takes work for {name}",
                "add a target, or keep one active in an open data centre",
            )


RULES: Iterable[Callable[[Layout], Iterator[SheetFault]]] = (
    _properties,
    _duplicates,
    _references,
    _addresses,
    _repeatable,
    _kinds,
    _shards,
    _connections,
    _pins,
    _something_open,
    _served,
)
