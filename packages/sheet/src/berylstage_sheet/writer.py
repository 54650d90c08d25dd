"""Write a configuration as a sheet that operators can edit."""

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
    """Return the CSV text of a sheet that is based on a configuration's revision.

    Parameters
    ----------
    cfg : Configuration
        Configuration to write.

    Returns
    -------
    str
        CSV text; lines end in CR LF, as in spreadsheets' exports.
    """
    out = StringIO()
    # The author is omitted, because the next person to edit the sheet would otherwise
    # be recorded under the previous author's name.
    _write_section(out, SHEET, [[BASED_ON, str(cfg.revision)]])
    for section, rows in groupby(rows_of(cfg), key=lambda row: row.section):
        _write_section(out, section, [row.cells for row in rows])
    return out.getvalue()


def _write_section(out: StringIO, section: Section, rows: list[list[str]]) -> None:
    """Write a section: its title row, header row, rows and an empty row."""
    writer = csv.writer(out)
    writer.writerow([section.name])
    writer.writerow([column.name for column in section.columns])
    writer.writerows(rows)
    writer.writerow([])
