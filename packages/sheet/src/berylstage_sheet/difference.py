"""Compare two configurations and order their changes by impact."""

from __future__ import annotations

from abc import ABC, abstractmethod
from enum import IntEnum
from typing import TYPE_CHECKING

from berylstage_sheet.columns import (
    DATA_CENTRES,
    KEYS,
    KINDS,
    SECTIONS,
    SERVICES,
    TARGETS,
    VMS,
    Section,
)
from berylstage_sheet.configuration import (
    Configuration,
    DataCentreState,
    MemberState,
)
from berylstage_sheet.rows import Row, rows_of

if TYPE_CHECKING:
    from collections.abc import Iterator


class Weight(IntEnum):
    """Impact of a change on requests in progress; a smaller value is more severe."""

    STOPS_WORK = 1
    MOVES_KEYS = 2
    CHANGES_HANDLING = 3

    @property
    def label(self) -> str:
        """Member name in lower case, with spaces instead of underscores."""
        return self.name.lower().replace("_", " ")


class Change(ABC):
    """One change of the configuration.

    Parameters
    ----------
    section : Section
        Section of the sheet that contains the changed row.
    identity : tuple of str
        Values of the columns that identify the row.
    """

    __slots__ = ("section", "identity")

    def __init__(self, section: Section, identity: tuple[str, ...]):
        self.section = section
        self.identity = identity

    @property
    @abstractmethod
    def weight(self) -> Weight:
        """Impact of the change on requests in progress."""

    @property
    @abstractmethod
    def detail(self) -> str:
        """Description of the change without the name of its row."""

    @property
    def name(self) -> str:
        """Values that identify the row, separated by spaces."""
        return " ".join(self.identity)

    def __str__(self) -> str:
        return f"{self.section.subject} {self.name}: {self.detail}"


class Added(Change):
    """A row that exists only in the new configuration."""

    __slots__ = ("row",)

    def __init__(self, row: Row):
        super().__init__(row.section, row.identity)
        self.row = row

    @property
    def weight(self) -> Weight:
        """Impact of the change on requests in progress."""
        moves_keys = self.section in (DATA_CENTRES, TARGETS, KEYS, VMS)
        return Weight.MOVES_KEYS if moves_keys else Weight.CHANGES_HANDLING

    @property
    def detail(self) -> str:
        """Description of the change: the cells of the row that are not empty."""
        columns = self.section.columns[self.section.identity :]
        cells = self.row.cells[self.section.identity :]
        pairs = zip(columns, cells, strict=True)
        filled_cells = [f"{column.name} {cell}" for column, cell in pairs if cell]
        return f"added ({', '.join(filled_cells)})" if filled_cells else "added"


class Removed(Change):
    """A row that exists only in the old configuration."""

    __slots__ = ()

    def __init__(self, row: Row):
        super().__init__(row.section, row.identity)

    @property
    def weight(self) -> Weight:
        """Impact of the change on requests in progress."""
        if self.section in (SERVICES, KINDS, DATA_CENTRES, TARGETS):
            return Weight.STOPS_WORK
        if self.section in (VMS, KEYS):
            return Weight.MOVES_KEYS
        return Weight.CHANGES_HANDLING

    @property
    def detail(self) -> str:
        """Description of the change."""
        return "removed"


class Altered(Change):
    """A cell whose text differs between the configurations.

    Parameters
    ----------
    row : Row
        Row in the old configuration.
    column : str
        Name of the cell's column.
    before, after : str
        Text of the cell in the old and in the new configuration.
    """

    __slots__ = ("column", "before", "after")

    def __init__(self, row: Row, column: str, before: str, after: str):
        super().__init__(row.section, row.identity)
        self.column = column
        self.before = before
        self.after = after

    @property
    def weight(self) -> Weight:
        """Impact of the change on requests in progress."""
        column_id = (self.section, self.column)
        if column_id in STATE_COLUMNS:
            return _state_change_weight(self.section, self.after)
        if column_id in KEY_MOVING_COLUMNS:
            return Weight.MOVES_KEYS
        return Weight.CHANGES_HANDLING

    @property
    def detail(self) -> str:
        """Description of the change: the column, its old text and its new text."""
        before = self.before or "(empty)"
        after = self.after or "(empty)"
        return f"{self.column} {before} -> {after}"


STATE_COLUMNS = {(DATA_CENTRES, "state"), (TARGETS, "state"), (VMS, "state")}
KEY_MOVING_COLUMNS = {
    (SERVICES, "keys"),
    (SERVICES, "shards"),
    (TARGETS, "service"),
    (TARGETS, "address"),
    (TARGETS, "data centre"),
    (VMS, "data centre"),
    (KEYS, "target"),
}


def _state_change_weight(section: Section, after: str) -> Weight:
    """Return the impact of changing a row's state."""
    if after == DataCentreState.CLOSED.value:
        return Weight.STOPS_WORK
    if section is TARGETS and after == MemberState.LEAVING.value:
        return Weight.STOPS_WORK
    return Weight.MOVES_KEYS


def compare(before: Configuration | None, after: Configuration) -> list[Change]:
    """Return the changes between two configurations.

    Revision, author and write ID are not compared.

    Parameters
    ----------
    before : Configuration or None
        Old configuration; None if the store has none.
    after : Configuration
        New configuration.

    Returns
    -------
    list of Change
        Changes ordered by severity, then in the order of the sheet.
    """
    order = {section.name: number for number, section in enumerate(SECTIONS)}
    changes = _iter_changes(before, after)
    return sorted(changes, key=lambda c: (c.weight, order[c.section.name], c.identity))


def _iter_changes(
    before: Configuration | None, after: Configuration
) -> Iterator[Change]:
    """Yield the changes of each row, removed rows first."""
    old = _rows_by_identity(before)
    new = _rows_by_identity(after)
    for row_id, row in old.items():
        if row_id not in new:
            yield Removed(row)
    for row_id, row in new.items():
        if row_id not in old:
            yield Added(row)
        else:
            yield from _iter_altered_cells(old[row_id], row)


def _rows_by_identity(cfg: Configuration | None) -> dict[tuple, Row]:
    """Return the rows of a configuration by section and identity."""
    if cfg is None:
        return {}
    return {(row.section.name, row.identity): row for row in rows_of(cfg)}


def _iter_altered_cells(old: Row, new: Row) -> Iterator[Change]:
    """Yield a change for each differing cell of two rows with the same identity."""
    for column, before, after in zip(
        old.section.columns, old.cells, new.cells, strict=True
    ):
        if before != after:
            yield Altered(old, column.name, before, after)
