"""Parse a spreadsheet's CSV file into sections and typed rows."""

from __future__ import annotations

import csv
from difflib import get_close_matches
from io import StringIO

from berylstage_sheet.cells import InvalidCellError
from berylstage_sheet.columns import SECTIONS, Column, Section
from berylstage_sheet.errors import CellFault, LayoutFault, Place, SheetFault

SEPARATORS = ",;\t"
SEPARATOR_LINE = "sep="
MAX_SHEET_BYTES = 4_000_000


class Record:
    """One row of a section, with parsed cells.

    Parameters
    ----------
    section : Section
        Section that contains the row.
    row : int
        Row number in the spreadsheet, from 1.
    values : dict of str to object
        Values of the cells by column name; None for an empty or unreadable cell.
    indexes : dict of str to int
        Column numbers in the sheet by column name, from 0.
    """

    __slots__ = ("section", "row", "values", "indexes")

    def __init__(
        self,
        section: Section,
        row: int,
        values: dict[str, object],
        indexes: dict[str, int],
    ):
        self.section = section
        self.row = row
        self.values = values
        self.indexes = indexes

    def value(self, column: str):
        """Return the value of a cell; None if it is empty or unreadable."""
        return self.values.get(column)

    def place(self, column: str) -> Place:
        """Return the position of a cell."""
        return Place(self.row, column, self.indexes.get(column, 0))

    @property
    def is_complete(self) -> bool:
        """Whether every required cell has a readable value."""
        required = [c.name for c in self.section.columns if c.required]
        return all(self.values.get(name) is not None for name in required)

    @property
    def identity(self) -> tuple:
        """Values of the columns that identify the row."""
        columns = self.section.columns[: self.section.identity]
        return tuple(self.values.get(column.name) for column in columns)


class Layout:
    """Parsed rows of a sheet and the faults found while parsing.

    Attributes
    ----------
    records : dict of str to list of Record
        Rows by section name; sections that the sheet lacks have no entry.
    faults : list of SheetFault
        Faults found while parsing.
    """

    __slots__ = ("records", "faults")

    def __init__(self):
        self.records: dict[str, list[Record]] = {}
        self.faults: list[SheetFault] = []

    def section_records(self, section: Section) -> list[Record]:
        """Return the records of a section; empty if the sheet lacks it."""
        return self.records.get(section.name, [])


def read_layout(raw: bytes) -> Layout:
    """Parse a sheet into records.

    Parameters
    ----------
    raw : bytes
        Contents of the CSV file that the spreadsheet exported.

    Returns
    -------
    Layout
        Records and faults; a malformed file is reported as a fault.
    """
    layout = Layout()
    parser = _SheetParser(layout)
    try:
        for number, cells in enumerate(_parse_csv(raw), start=1):
            parser.parse_row(number, [cell.strip() for cell in cells])
    except SheetFault as fault:
        layout.faults.append(fault)
    parser.report_missing_sections()
    return layout


def _parse_csv(raw: bytes) -> list[list[str]]:
    """Return the cells of each row of the file."""
    if len(raw) > MAX_SHEET_BYTES:
        raise LayoutFault(
            Place(0),
            f"the file has {len(raw)} bytes",
            f"export {MAX_SHEET_BYTES} at most",
        )
    try:
        text = raw.decode("utf-8-sig")
    except UnicodeDecodeError:
        raise LayoutFault(
            Place(0), "the file is not UTF-8", "export it as 'CSV UTF-8'"
        ) from None
    separator = max(SEPARATORS, key=text.count)
    first = text.split("\n", 1)[0].strip()
    if first.casefold().startswith(SEPARATOR_LINE) and len(first) == 5:
        separator = first[-1]
        # The line is kept as an empty row, so that row numbers match those in the
        # operator's spreadsheet.
        text = text.replace(first, "", 1)
    rows: list[list[str]] = []
    try:
        lines = StringIO(text, newline="")
        rows.extend(csv.reader(lines, delimiter=separator, strict=True))
    except csv.Error as exc:
        raise LayoutFault(
            Place(len(rows) + 1),
            f"the row is not valid CSV ({exc})",
            "export the sheet again, or close the open quote",
        ) from exc
    return rows


class _SheetParser:
    """Parser that keeps the current section and header from row to row."""

    def __init__(self, layout: Layout):
        self.layout = layout
        self.section: Section | None = None
        self.header: dict[int, Column] | None = None
        self.header_row = 0
        self.header_indexes: set[int] = set()
        self.skips_section = False

    def parse_row(self, row: int, cells: list[str]) -> None:
        """Parse the next row."""
        if not any(cells):
            return
        has_single_cell = cells[0] and not any(cells[1:])
        section = _find_section(cells[0]) if has_single_cell else None
        if section is not None:
            self._start_section(row, section)
        elif has_single_cell and self._resembles_section_name(cells[0]):
            self._report_unknown_section(row, cells[0])
        elif self.skips_section:
            return
        elif self.section is None:
            self._report_unknown_section(row, cells[0] or next(filter(None, cells)))
        elif self.header is None:
            self._read_header(row, cells)
        else:
            self._read_record(row, cells)

    def report_missing_sections(self) -> None:
        """Report the sections that the sheet lacks."""
        for section in SECTIONS:
            if section.required and not self.layout.records.get(section.name):
                is_present = section.name in self.layout.records
                problem = "has no rows" if is_present else "is missing"
                self._add_fault(
                    0, f"section '{section.name}' {problem}", "add it with its rows"
                )

    def _add_fault(self, row: int, problem: str, remedy: str, column="", index=0):
        place = Place(row, column, index)
        self.layout.faults.append(LayoutFault(place, problem, remedy))

    def _start_section(self, row: int, section: Section) -> None:
        self.section = section
        self.header = None
        self.skips_section = False
        if section.name in self.layout.records:
            self._add_fault(
                row,
                f"section '{section.name}' appears twice",
                "keep all its rows under one section row",
            )
        self.layout.records.setdefault(section.name, [])

    def _resembles_section_name(self, text: str) -> bool:
        # A misspelt section row would otherwise be parsed as a row of the previous
        # section, and each row below it would be reported as a further fault.
        names = [section.name.casefold() for section in SECTIONS]
        return bool(get_close_matches(text.casefold(), names, n=1, cutoff=0.8))

    def _report_unknown_section(self, row: int, text: str) -> None:
        names = ", ".join(section.name for section in SECTIONS)
        if not self.skips_section:
            self._add_fault(row, f"{text!r} is not a section", f"use one of: {names}")
        self.skips_section = True

    def _read_header(self, row: int, cells: list[str]) -> None:
        assert self.section is not None
        self.header = {}
        self.header_row = row
        self.header_indexes = {index for index, text in enumerate(cells) if text}
        seen = set()
        names = ", ".join(column.name for column in self.section.columns)
        for index, text in enumerate(cells):
            if not text:
                continue
            column = self.section.column(text)
            if column is None:
                remedy = f"'{self.section.name}' has the columns: {names}"
                self._add_fault(row, f"{text!r} is not a column", remedy, text, index)
            elif column.name in seen:
                remedy = "remove one of them"
                self._add_fault(
                    row, "the column appears twice", remedy, column.name, index
                )
            else:
                seen.add(column.name)
                self.header[index] = column
        for column in self.section.columns:
            if column.required and column.name not in seen:
                remedy = f"add it to the header row: {names}"
                self._add_fault(row, f"column '{column.name}' is missing", remedy)

    def _read_record(self, row: int, cells: list[str]) -> None:
        assert self.section is not None
        assert self.header is not None
        indexes = {column.name: index for index, column in self.header.items()}
        values: dict[str, object] = {}
        for index, column in self.header.items():
            text = cells[index] if index < len(cells) else ""
            place = Place(row, column.name, index)
            values[column.name] = self._read_cell(place, column, text)
        for index, text in enumerate(cells):
            if text and index not in self.header_indexes:
                remedy = f"remove it or name its column in row {self.header_row}"
                self._add_fault(row, f"{text!r} is not under any column", remedy)
        record = Record(self.section, row, values, indexes)
        self.layout.records[self.section.name].append(record)

    def _read_cell(self, place: Place, column: Column, text: str):
        if not text:
            if column.required:
                fault = CellFault(
                    place, "the cell is empty", f"use {column.cell.describe()}"
                )
                self.layout.faults.append(fault)
            return None
        try:
            return column.cell.read(text)
        except InvalidCellError as exc:
            self.layout.faults.append(CellFault(place, exc.problem, exc.remedy))
            return None


def _find_section(text: str) -> Section | None:
    """Return the section with a name, ignoring case, or None."""
    for section in SECTIONS:
        if section.name.casefold() == text.casefold():
            return section
    return None
