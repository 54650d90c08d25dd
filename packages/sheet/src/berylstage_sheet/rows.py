"""Convert a configuration to the rows of a sheet."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from berylstage_sheet.columns import (
    DATA_CENTRES,
    KEYS,
    KINDS,
    SERVICES,
    TARGETS,
    THRESHOLDS,
    VMS,
    Section,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_sheet.configuration import Configuration


class Row:
    """One row of the sheet that represents a configuration.

    Parameters
    ----------
    section : Section
        Section that contains the row.
    cells : list of str
        Text of each cell, in the order of the section's columns.
    """

    __slots__ = ("section", "cells")

    def __init__(self, section: Section, cells: list[str]):
        self.section = section
        self.cells = cells

    @property
    def identity(self) -> tuple[str, ...]:
        """Cells that identify the row."""
        return tuple(self.cells[: self.section.identity])


def rows_of(cfg: Configuration) -> Iterator[Row]:
    """Yield the rows of a configuration by section, sorted within each section.

    Parameters
    ----------
    cfg : Configuration
        Configuration to convert.

    Yields
    ------
    Row
        Next row; the section of properties is not included.
    """
    for section, values in _iter_section_values(cfg):
        for row in sorted([_format_cell(value) for value in row] for row in values):
            yield Row(section, row)


def _format_cell(value) -> str:
    """Return the text of a cell for a value."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return value.value
    return str(value)


def _iter_section_values(cfg: Configuration) -> Iterator[tuple[Section, list[tuple]]]:
    """Yield each section with its rows' values in the order of its columns."""
    services = cfg.services.values()
    yield SERVICES, [(s.name, s.tenant, s.ownership, s.shards) for s in services]
    yield (
        KINDS,
        [
            (s.name, k.name, k.request_class, k.repeatable, k.deadline_ms)
            for s in services
            for k in s.kinds.values()
        ],
    )
    yield DATA_CENTRES, [(d.name, d.state) for d in cfg.data_centres.values()]
    yield VMS, [(v.name, v.data_centre, v.state) for v in cfg.vms.values()]
    yield (
        TARGETS,
        [
            (
                t.name,
                t.service,
                t.address,
                t.data_centre,
                t.slots,
                t.connections,
                t.checks_fences,
                t.state,
            )
            for t in cfg.targets.values()
        ],
    )
    yield KEYS, [(k.service, k.key, k.target) for k in cfg.special_keys]
    yield THRESHOLDS, list(cfg.thresholds.items())
