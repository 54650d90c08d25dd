"""Reading a sheet into a configuration, or into all of its faults at once."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence

from berylstage_sheet.checks import check
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

# The platform's store holds values up to a megabyte.
MAX_CONFIGURATION_BYTES = 1_000_000


class Sheet:
    """A sheet that has no faults of its own.

    Parameters
    ----------
    cfg : Configuration
        Its revision is 0 until the store has accepted it.
    based_on : int or None
        Revision that the operator edited; None when the sheet does not say.
    layout : Layout
        Its rows, for faults that are found later.
    """

    __slots__ = ("cfg", "based_on", "layout")

    def __init__(self, cfg: Configuration, based_on: int | None, layout: Layout):
        self.cfg = cfg
        self.based_on = based_on
        self.layout = layout

    def place(self, section: Section, name: str, column: str) -> Place:
        """Return the place of a cell, by the name that its row is about.

        Parameters
        ----------
        section : Section
        name : str
        column : str

        Returns
        -------
        Place
            The whole sheet when no row has this name.
        """
        for record in self.layout.of(section):
            if record.identity[0] == name:
                return record.place(column)
        return Place(0)


# Takes the overrides of the thresholds and returns an error for each fault of theirs.
ThresholdCheck = Callable[[dict[str, float]], Sequence[Exception]]


def read_sheet(raw: bytes, check_thresholds: ThresholdCheck | None = None) -> Sheet:
    """Read and check a sheet.

    Parameters
    ----------
    raw : bytes
        The CSV file as the spreadsheet wrote it.
    check_thresholds : callable, optional
        Knows the policy's thresholds, which this package does not. Each error's
        message ends in the remedy, after a semicolon.

    Returns
    -------
    Sheet

    Raises
    ------
    FaultySheet
        All faults of the sheet at once.
    """
    layout = read_layout(raw)
    faults = [*layout.faults, *check(layout)]
    if check_thresholds is not None:
        faults += _threshold_faults(layout, check_thresholds)
    if faults:
        raise FaultySheet(faults)
    cfg = _configuration(layout)
    size = len(cfg.to_json())
    if size > MAX_CONFIGURATION_BYTES:
        # Found here rather than by the store, which would refuse it only after the
        # operator has approved the changes.
        problem = f"the configuration takes {size} bytes"
        remedy = f"shorten names or remove keys: {MAX_CONFIGURATION_BYTES} at most"
        raise FaultySheet([RuleFault(Place(0), problem, remedy)])
    return Sheet(cfg, _based_on(layout), layout)


def _threshold_faults(
    layout: Layout, check_thresholds: ThresholdCheck
) -> Iterator[RuleFault]:
    """Yield what is wrong with the overrides of the thresholds."""
    records = {
        record.value("name"): record for record in layout.of(THRESHOLDS) if record.whole
    }
    values = {name: record.value("value") for name, record in records.items()}
    for exc in check_thresholds(values):
        problem, _, remedy = str(exc).partition("; ")
        # The longest name, as one threshold's name may begin with another's. A fault
        # of two thresholds together stands in the row of one of them.
        named = max((n for n in records if n in problem), key=len, default=None)
        place = records[named].place("value") if named else Place(0)
        yield RuleFault(place, problem, remedy)


def _based_on(layout: Layout) -> int | None:
    """Return the revision that the sheet names as its base."""
    text = _property(layout, BASED_ON)
    return int(text) if text else None


def _property(layout: Layout, name: str) -> str:
    """Return what the sheet says of itself under a name; empty when nothing."""
    for record in layout.of(SHEET):
        if record.value("property") == name:
            return record.value("value")
    return ""


def _configuration(layout: Layout) -> Configuration:
    """Return the configuration that faultless records stand for."""
    return Configuration(
        revision=0,
        services=_services(layout),
        data_centres={
            r.value("data centre"): DataCentre(r.value("data centre"), r.value("state"))
            for r in layout.of(DATA_CENTRES)
        },
        vms={
            r.value("VM"): Vm(r.value("VM"), r.value("data centre"), r.value("state"))
            for r in layout.of(VMS)
        },
        targets=_targets(layout),
        special_keys=[
            SpecialKey(r.value("service"), r.value("key"), r.value("target"))
            for r in layout.of(KEYS)
        ],
        thresholds={r.value("name"): r.value("value") for r in layout.of(THRESHOLDS)},
        author=_property(layout, AUTHOR),
    )


def _services(layout: Layout) -> dict[str, Service]:
    """Return the services with their kinds."""
    services = {}
    for record in layout.of(SERVICES):
        name = record.value("service")
        services[name] = Service(
            name,
            record.value("tenant"),
            record.value("keys"),
            record.value("shards"),
            {},
        )
    for record in layout.of(KINDS):
        name = record.value("kind")
        services[record.value("service")].kinds[name] = Kind(
            name,
            record.value("class"),
            record.value("repeatable"),
            record.value("deadline ms"),
        )
    return services


def _targets(layout: Layout) -> dict[str, Target]:
    """Return the targets."""
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
        for record in layout.of(TARGETS)
    }
