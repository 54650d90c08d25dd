"""Read a sheet into a configuration, or report all of its faults at once."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from berylstage_sheet.checks import check_rules
from berylstage_sheet.columns import (
    AUTHOR,
    BASED_ON,
    DATA_CENTRES,
    KEYS,
    KINDS,
    SERVICES,
    SHEET,
    TARGETS,
    THRESHOLDS,
    VMS,
    Section,
)
from berylstage_sheet.configuration import (
    Configuration,
    DataCentre,
    Kind,
    Service,
    SpecialKey,
    Target,
    Vm,
)
from berylstage_sheet.errors import FaultySheet, Place, RuleFault
from berylstage_sheet.layout import Layout, read_layout

# The platform's store accepts values of up to 1 MB.
MAX_CONFIGURATION_BYTES = 1_000_000


class Sheet:
    """A valid sheet.

    Parameters
    ----------
    cfg : Configuration
        Configuration that the sheet defines; its revision is 0 until the store
        accepts it.
    based_on : int or None
        Revision that the operator edited; None if the sheet does not state it.
    layout : Layout
        Parsed rows of the sheet, which give the position of faults found later.
    """

    __slots__ = ("cfg", "based_on", "layout")

    def __init__(self, cfg: Configuration, based_on: int | None, layout: Layout):
        self.cfg = cfg
        self.based_on = based_on
        self.layout = layout

    def place(self, section: Section, name: str, column: str) -> Place:
        """Return the position of a cell.

        Parameters
        ----------
        section : Section
            Section that contains the row.
        name : str
            Value of the row's first identifying column.
        column : str
            Name of the cell's column.

        Returns
        -------
        Place
            Position of the cell; the sheet as a whole if no row has this name.
        """
        for record in self.layout.section_records(section):
            if record.identity[0] == name:
                return record.place(column)
        return Place(0)


# Receives the overrides of the thresholds and returns an error for each invalid one.
ThresholdCheck = Callable[[dict[str, float]], Sequence[Exception]]


def read_sheet(raw: bytes, check_thresholds: ThresholdCheck | None = None) -> Sheet:
    """Read and validate a sheet.

    Parameters
    ----------
    raw : bytes
        Contents of the CSV file that the spreadsheet exported.
    check_thresholds : callable, optional
        Validates the overrides of the policy's thresholds, which this package does
        not know. The message of each error that it returns ends with a semicolon
        and the remedy.

    Returns
    -------
    Sheet
        Valid sheet with its configuration.

    Raises
    ------
    FaultySheet
        The sheet is invalid; the group contains all of its faults.
    """
    layout = read_layout(raw)
    faults = [*layout.faults, *check_rules(layout)]
    if check_thresholds is not None:
        faults += _check_threshold_overrides(layout, check_thresholds)
    if faults:
        raise FaultySheet(faults)
    cfg = _build_configuration(layout)
    size = len(cfg.to_json())
    if size > MAX_CONFIGURATION_BYTES:
        # The store would reject the configuration only after the operator has
        # approved the changes, so the size is checked here.
        problem = f"the configuration takes {size} bytes"
        remedy = f"shorten names or remove keys: {MAX_CONFIGURATION_BYTES} at most"
        raise FaultySheet([RuleFault(Place(0), problem, remedy)])
    return Sheet(cfg, _base_revision(layout), layout)


def _check_threshold_overrides(
    layout: Layout, check_thresholds: ThresholdCheck
) -> Iterator[RuleFault]:
    """Yield the faults of the overrides of thresholds."""
    records = {
        record.value("name"): record
        for record in layout.section_records(THRESHOLDS)
        if record.is_complete
    }
    values = {name: record.value("value") for name, record in records.items()}
    for exc in check_thresholds(values):
        problem, _, remedy = str(exc).partition("; ")
        # The longest matching name is used, because one threshold's name may be a
        # prefix of another's. A fault that concerns two thresholds is reported in
        # the row of one of them.
        matching_name = max((n for n in records if n in problem), key=len, default=None)
        place = records[matching_name].place("value") if matching_name else Place(0)
        yield RuleFault(place, problem, remedy)


def _base_revision(layout: Layout) -> int | None:
    """Return the revision that the sheet is based on, or None."""
    text = _property_value(layout, BASED_ON)
    return int(text) if text else None


def _property_value(layout: Layout, name: str) -> str:
    """Return a property of the sheet itself; empty if it is not set."""
    for record in layout.section_records(SHEET):
        if record.value("property") == name:
            return record.value("value")
    return ""


def _build_configuration(layout: Layout) -> Configuration:
    """Return the configuration that the records of a valid sheet define."""
    return Configuration(
        revision=0,
        services=_build_services(layout),
        data_centres={
            r.value("data centre"): DataCentre(r.value("data centre"), r.value("state"))
            for r in layout.section_records(DATA_CENTRES)
        },
        vms={
            r.value("VM"): Vm(r.value("VM"), r.value("data centre"), r.value("state"))
            for r in layout.section_records(VMS)
        },
        targets=_build_targets(layout),
        special_keys=[
            SpecialKey(r.value("service"), r.value("key"), r.value("target"))
            for r in layout.section_records(KEYS)
        ],
        thresholds={
            r.value("name"): r.value("value")
            for r in layout.section_records(THRESHOLDS)
        },
        author=_property_value(layout, AUTHOR),
    )


def _build_services(layout: Layout) -> dict[str, Service]:
    """Return the services with their kinds, by name."""
    services = {}
    for record in layout.section_records(SERVICES):
        name = record.value("service")
        services[name] = Service(
            name,
            record.value("tenant"),
            record.value("keys"),
            record.value("shards"),
            {},
        )
    for record in layout.section_records(KINDS):
        name = record.value("kind")
        services[record.value("service")].kinds[name] = Kind(
            name,
            record.value("class"),
            record.value("repeatable"),
            record.value("deadline ms"),
        )
    return services


def _build_targets(layout: Layout) -> dict[str, Target]:
    """Return the targets by name."""
    return {
        record.value("target"): Target(
            name=record.value("target"),
            service=record.value("service"),
            address=record.value("address"),
            data_centre=record.value("data centre"),
            slots=record.value("slots"),
            connections=record.value("connections"),
            checks_fences=record.value("checks fences"),
            state=record.value("state"),
        )
        for record in layout.section_records(TARGETS)
    }
