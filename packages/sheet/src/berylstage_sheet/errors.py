"""Faults of a sheet; each has a position in the sheet and a remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

ALPHABET_SIZE = 26


def column_letter(index: int) -> str:
    """Return the letters that identify a column in a spreadsheet.

    Parameters
    ----------
    index : int
        Column number, from 0.

    Returns
    -------
    str
        ``A`` for 0, ``Z`` for 25, ``AA`` for 26.
    """
    letters = ""
    index += 1
    while index:
        index, remainder = divmod(index - 1, ALPHABET_SIZE)
        letters = chr(ord("A") + remainder) + letters
    return letters


class Place:
    """Position of a fault in the sheet.

    Parameters
    ----------
    row : int
        Row number in the spreadsheet, from 1; 0 for the sheet as a whole.
    column : str
        Name of the column in the header row; empty for the whole row.
    index : int
        Column number, from 0.
    """

    __slots__ = ("row", "column", "index")

    def __init__(self, row: int, column: str = "", index: int = 0):
        self.row = row
        self.column = column
        self.index = index

    def __str__(self) -> str:
        if not self.row:
            return "sheet"
        if not self.column:
            return f"row {self.row}"
        return f"row {self.row}, column {column_letter(self.index)} ({self.column})"


class SheetFault(Exception):
    """One fault of a sheet.

    Parameters
    ----------
    place : Place
        Position of the fault.
    problem : str
        What is wrong.
    remedy : str
        How the operator can correct it.
    """

    def __init__(self, place: Place, problem: str, remedy: str):
        super().__init__(f"{place}: {problem}; {remedy}")
        self.place = place
        self.problem = problem
        self.remedy = remedy

    @property
    def row(self) -> int:
        """Row of the fault, from 1; 0 for the sheet as a whole."""
        return self.place.row

    @property
    def column(self) -> str:
        """Name of the faulty column; empty if the fault concerns the whole row."""
        return self.place.column


class LayoutFault(SheetFault):
    """The file, a section or a header row is malformed."""


class CellFault(SheetFault):
    """The text of a cell is not valid for its column."""


class DuplicateFault(SheetFault):
    """Two rows have the same identity or address."""


class UnknownNameFault(SheetFault):
    """A row refers to a name that the sheet does not define."""


class RuleFault(SheetFault):
    """Rows that are valid on their own violate a rule together."""


class TransitionFault(SheetFault):
    """The sheet changes a property that cannot be changed in place."""


class FaultySheet(ExceptionGroup[SheetFault]):
    """Group of all faults of a sheet, in the order of its rows."""

    def __new__(cls, faults: Sequence[SheetFault]):
        """Group the faults by row and column; str() of the group adds their number."""
        ordered = sorted(faults, key=lambda f: (f.place.row, f.place.index))
        return super().__new__(cls, "the sheet has faults", ordered)

    @property
    def faults(self) -> list[SheetFault]:
        """Faults in the group; groups are never nested."""
        return [exc for exc in self.exceptions if isinstance(exc, SheetFault)]
