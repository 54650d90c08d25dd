"""Faults of a sheet, each with its place and its remedy."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

ALPHABET = 26


def column_letter(index: int) -> str:
    """Return the letters by which a spreadsheet names a column.

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
        index, rest = divmod(index - 1, ALPHABET)
        letters = chr(ord("A") + rest) + letters
    return letters


class Place:
    """Where in the sheet a fault is.

    Parameters
    ----------
    row : int
        Row as the spreadsheet numbers it, from 1; 0 for the sheet as a whole.
    column : str
        Name in the header row; empty when the whole row is meant.
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
        Where the fault is.
    problem : str
        What is wrong.
    remedy : str
        What the operator does about it.
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
        """Name of the faulty column; empty when the whole row is meant."""
        return self.place.column


class LayoutFault(SheetFault):
    """The file, a section or a header row cannot be read."""


class CellFault(SheetFault):
    """The content of one cell is not what its column takes."""


class DuplicateFault(SheetFault):
    """Two rows say something about the same thing."""


class UnknownNameFault(SheetFault):
    """A row names something that the sheet does not hold."""


class RuleFault(SheetFault):
    """Rows that are right by themselves contradict each other."""


class TransitionFault(SheetFault):
    """The sheet changes something that cannot change in place."""


class FaultySheet(ExceptionGroup[SheetFault]):
    """All faults of a sheet, in the order of its rows."""

    def __new__(cls, faults: Sequence[SheetFault]):
        """Group the faults; the group's message gives their number."""
        ordered = sorted(faults, key=lambda f: (f.place.row, f.place.index))
        return super().__new__(cls, "the sheet has faults", ordered)

    @property
    def faults(self) -> list[SheetFault]:
        """The faults themselves; no group holds another one."""
        return [exc for exc in self.exceptions if isinstance(exc, SheetFault)]
