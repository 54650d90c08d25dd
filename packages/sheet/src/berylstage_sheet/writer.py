"""Writing a configuration as a sheet that operators can edit."""

from __future__ import annotations

import csv
from collections.abc import Iterator
from enum import Enum
from io import StringIO

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
from berylstage_sheet.configuration import Configuration


def write_sheet(cfg: Configuration) -> str:
    """Return a configuration as the CSV of a sheet based on its revision.

    Parameters
    ----------
    cfg : Configuration

    Returns
    -------
    str
        Lines end in CR LF, as spreadsheets write them.
    """
    out = StringIO()
    writer = csv.writer(out)
    for section, rows in _sections(cfg):
        if not rows:
            continue
        writer.writerow([section.name])
        writer.writerow([column.name for column in section.columns])
        writer.writerows([[_cell(value) for value in row] for row in rows])
        writer.writerow([])
    return out.getvalue()


def _cell(value) -> str:
    """Return the text of a cell."""
    if value is None:
        return ""
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return value.value
    return str(value)


def _sections(cfg: Configuration) -> Iterator[tuple[Section, list[tuple]]]:
    """Yield each section with the values of its rows, in the order of its columns."""
    yield SHEET, _properties(cfg)
    yield (
        SERVICES,
        [
            (s.name, s.tenant, s.ownership, s.shards)
            for _, s in sorted(cfg.services.items())
        ],
    )
    yield (
        KINDS,
        [
            (s.name, k.name, k.request_class, k.repeatable, k.deadline_ms)
            for _, s in sorted(cfg.services.items())
            for _, k in sorted(s.kinds.items())
        ],
    )
    yield (
        DATA_CENTRES,
        [(d.name, d.state) for _, d in sorted(cfg.data_centres.items())],
    )
    yield VMS, [(v.name, v.data_centre, v.state) for _, v in sorted(cfg.vms.items())]
    yield TARGETS, _targets(cfg)
    yield KEYS, sorted((k.service, k.key, k.target) for k in cfg.special_keys)
    yield THRESHOLDS, sorted(cfg.thresholds.items())


def _properties(cfg: Configuration) -> list[tuple]:
    """Return what the sheet says of itself."""
    rows: list[tuple] = [(BASED_ON, cfg.revision)]
    if cfg.author:
        rows.append((AUTHOR, cfg.author))
    return rows


def _targets(cfg: Configuration) -> list[tuple]:
    """Return the rows of the targets."""
    return [
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
        for _, t in sorted(cfg.targets.items())
    ]
