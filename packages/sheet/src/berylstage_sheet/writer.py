"""Writing a configuration as a sheet that operators can edit."""

from __future__ import annotations

import csv
from io import StringIO
from itertools import groupby
from typing import TYPE_CHECKING

from berylstage_sheet.columns import BASED_ON, SHEET, Section
from berylstage_sheet.rows import rows_of

if TYPE_CHECKING:
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
    # The author is left out: whoever edits the sheet next would pass for this one.
    _write_section(out, SHEET, [[BASED_ON, str(cfg.revision)]])
    for section, rows in groupby(rows_of(cfg), key=lambda row: row.section):
        _write_section(out, section, [row.cells for row in rows])
    return out.getvalue()


def _write_section(out: StringIO, section: Section, rows: list[list[str]]) -> None:
    """Write the section row, the header row, the rows and an empty row."""
    writer = csv.writer(out)
    writer.writerow([section.name])
    writer.writerow([column.name for column in section.columns])
    writer.writerows(rows)
    writer.writerow([])
