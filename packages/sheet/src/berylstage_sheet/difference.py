"""What changes between two configurations, the weightiest change first."""

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
    """What a change does to work under way; smaller is weightier."""

    STOPS_WORK = 1
    MOVES_KEYS = 2
    CHANGES_HANDLING = 3

    @property
    def label(self) -> str:
        """The weight in words."""
        return self.name.lower().replace("_", " ")


class Change(ABC):
    """One change of the configuration.

    Parameters
    ----------
    section : Section
        Section of the sheet that the changed row stands in.
    identity : tuple of str
        What the row is about.
    """

    __slots__ = ("section", "identity")

    def __init__(self, section: Section, identity: tuple[str, ...]):
        self.section = section
        self.identity = identity

    @property
    @abstractmethod
    def weight(self) -> Weight:
        """What the change does to work under way."""

    @property
    @abstractmethod
    def detail(self) -> str:
        """What changes, in words."""

    @property
    def name(self) -> str:
        """What the row is about, in words."""
        return " ".join(self.identity)

    def __str__(self) -> str:
        return f"{self.section.subject} {self.name}: {self.detail}"


class Added(Change):
    """A row that is new."""

    __slots__ = ("row",)

    def __init__(self, row: Row):
        super().__init__(row.section, row.identity)
        self.row = row

    @property
    def weight(self) -> Weight:
        """What the change does to work under way."""
        moving = self.section in (DATA_CENTRES, TARGETS, KEYS, VMS)
        return Weight.MOVES_KEYS if moving else Weight.CHANGES_HANDLING

    @property
    def detail(self) -> str:
        """What changes, in words."""
        columns = self.section.columns[self.section.identity :]
        cells = self.row.cells[self.section.identity :]
        pairs = zip(columns, cells, strict=True)
        told = [f"{column.name} {cell}" for column, cell in pairs if cell]
        return f"added ({', '.join(told)})" if told else "added"


class Removed(Change):
    """A row that is gone."""

    __slots__ = ()

    def __init__(self, row: Row):
        super().__init__(row.section, row.identity)

    @property
    def weight(self) -> Weight:
        """What the change does to work under way."""
        if self.section in (SERVICES, KINDS, DATA_CENTRES, TARGETS):
            return Weight.STOPS_WORK
        if self.section in (VMS, KEYS):
            return Weight.MOVES_KEYS
        return Weight.CHANGES_HANDLING

    @property
    def detail(self) -> str:
        """What changes, in words."""
        return "removed"


class Altered(Change):
    """A cell that has another content.

    Parameters
    ----------
    row : Row
        The row as it was.
    column : str
        Name of the column.
    before, after : str
        Text of the cell.
    """

    __slots__ = ("column", "before", "after")

    def __init__(self, row: Row, column: str, before: str, after: str):
        super().__init__(row.section, row.identity)
        self.column = column
        self.before = before
        self.after = after

    @property
    def weight(self) -> Weight:
        """What the change does to work under way."""
        place = (self.section, self.column)
        if place in STATES:
            return _state_weight(self.section, self.after)
        if place in MOVING:
            return Weight.MOVES_KEYS
        return Weight.CHANGES_HANDLING

    @property
    def detail(self) -> str:
        """What changes, in words."""
        before = self.before or "(empty)"
        after = self.after or "(empty)"
        return f"{self.column} {before} -> {after}"


STATES = {(DATA_CENTRES, "state"), (TARGETS, "state"), (VMS, "state")}
MOVING = {
    (SERVICES, "keys"),
    (SERVICES, "shards"),
    (TARGETS, "service"),
    (TARGETS, "address"),
    (TARGETS, "data centre"),
    (VMS, "data centre"),
    (KEYS, "target"),
}


def _state_weight(section: Section, after: str) -> Weight:
    """Return the weight of a change of state."""
    if after == DataCentreState.CLOSED.value:
        return Weight.STOPS_WORK
    if section is TARGETS and after == MemberState.LEAVING.value:
        return Weight.STOPS_WORK
    return Weight.MOVES_KEYS


def compare(before: Configuration | None, after: Configuration) -> list[Change]:
    """Return what changes between two configurations.

    Revision, author and write id are not compared.

    Parameters
    ----------
    before : Configuration or None
        None stands for a store without a configuration.
    after : Configuration

    Returns
    -------
    list of Change
        The weightiest first, then in the order of the sheet.
    """
    order = {section.name: number for number, section in enumerate(SECTIONS)}
    changes = _changes(before, after)
    return sorted(changes, key=lambda c: (c.weight, order[c.section.name], c.identity))


def _changes(before: Configuration | None, after: Configuration) -> Iterator[Change]:
    """Yield the changes row by row."""
    old = _by_identity(before)
    new = _by_identity(after)
    for place, row in old.items():
        if place not in new:
            yield Removed(row)
    for place, row in new.items():
        if place not in old:
            yield Added(row)
        else:
            yield from _altered(old[place], row)


def _by_identity(cfg: Configuration | None) -> dict[tuple, Row]:
    """Return the rows of a configuration by section and identity."""
    if cfg is None:
        return {}
    return {(row.section.name, row.identity): row for row in rows_of(cfg)}


def _altered(old: Row, new: Row) -> Iterator[Change]:
    """Yield the cells that differ between two rows about the same thing."""
    for column, before, after in zip(
        old.section.columns, old.cells, new.cells, strict=True
    ):
        if before != after:
            yield Altered(old, column.name, before, after)
