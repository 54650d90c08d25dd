"""Write the tables of the pages from the code's own tables, or check them."""

from __future__ import annotations

import argparse
import sys
from abc import ABC, abstractmethod
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_cli.application import OperatorApplication
from berylstage_cli.exit_codes import MEANINGS
from berylstage_cli.settings import SETTINGS
from berylstage_daemon.config import SETTINGS as DAEMON_SETTINGS
from berylstage_daemon.metrics import METRICS
from berylstage_policy.threshold_table import TABLE as THRESHOLDS
from berylstage_sheet.columns import SECTIONS, Column, Section
from log_lines import endings, log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

ROOT = Path(__file__).resolve().parent.parent
END = "<!-- end of table -->"


class TableSource(ABC):
    """A table of the code that stands in a page.

    In the page, the table stands between ``<!-- table: NAME -->`` and
    ``<!-- end of table -->``.

    Parameters
    ----------
    name : str
        Name in the page's marker.
    page : str
        Path of the page from the repository's root.
    """

    def __init__(self, name: str, page: str):
        self.name = name
        self.page = page

    @abstractmethod
    def lines(self) -> Iterator[str]:
        """Yield the lines between the markers."""


class SectionTables(TableSource):
    """The sections of the sheet, with a table of columns for each."""

    def lines(self) -> Iterator[str]:
        """Yield a heading, the meaning and the columns of each section."""
        for section in SECTIONS:
            yield f"### Section `{section.name}`"
            yield ""
            needed = "" if section.required else " May be left out."
            yield f"{section.meaning}{needed} {_identity(section)}"
            yield ""
            header = ["column", "holds", "meaning"]
            yield from markdown(header, map(_column_cells, section.columns))
            yield ""


class ExitCodeTable(TableSource):
    """The exit codes of the command line."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each exit code."""
        rows = ([str(int(code)), meaning] for code, meaning in MEANINGS.items())
        yield from markdown(["code", "meaning"], rows)


class CommandTable(TableSource):
    """The commands of the command line."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each command."""
        commands = OperatorApplication().all().values()
        rows = ([f"`{_usage(c)}`", f"{c.description}."] for c in commands if _own(c))
        yield from markdown(["command", "what it does"], rows)


class SettingTable(TableSource):
    """Settings, from a table whose rows have the command line's attributes.

    Parameters
    ----------
    name, page : str
    settings : sequence
    """

    def __init__(self, name: str, page: str, settings: Sequence):
        super().__init__(name, page)
        self.settings = settings

    def lines(self) -> Iterator[str]:
        """Yield a row for each setting."""
        rows = (
            [f"`--{s.name}`", f"`{s.variable}`", s.default_text, s.meaning]
            for s in self.settings
        )
        yield from markdown(["flag", "variable", "default", "meaning"], rows)


class MetricTable(TableSource):
    """The metrics that the daemon sends."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each metric."""
        rows = ([f"`{name}`", meaning] for name, meaning in METRICS.items())
        yield from markdown(["metric", "meaning"], rows)


class ThresholdTable(TableSource):
    """The named thresholds of the decisions under load."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each threshold."""
        rows = (
            [
                f"`{row.name}`",
                f"{row.default:g}",
                row.unit,
                f"{row.low:g} to {row.high:g}" if row.overridable else "no",
                row.why,
            ]
            for row in THRESHOLDS.values()
        )
        header = ["threshold", "default", "unit", "sheet may set", "why"]
        yield from markdown(header, rows)


class LogLineTable(TableSource):
    """The log lines of an entry VM."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each line."""
        rows = (
            [line.message, line.level, line.module, ", ".join(line.fields)]
            for line in log_lines(ENTRY)
        )
        yield from markdown(["message", "level", "logger", "fields"], rows)


class EndingTable(TableSource):
    """Why requests end without a target's answer."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each reason.

        Raises
        ------
        ValueError
            A reason has no meaning here, or a meaning no reason.
        """
        found = endings(ENTRY) | {"timeout", "answer-lost", "caller-left"}
        if found != set(ENDINGS):
            odd = sorted(found ^ set(ENDINGS))
            raise ValueError(
                f"{odd}: bring tools/write_tables.py in line with the code"
            )
        rows = ([f"`{reason}`", *ENDINGS[reason]] for reason in sorted(found))
        yield from markdown(["reason", "status", "meaning"], rows)


DAEMON_PAGE = "docs/operating/daemon.md"
ENTRY_PAGE = "docs/operating/entry-logs.md"
ENTRY = ROOT / "packages/entry/src/berylstage_entry"
# Status and meaning of each reason in a line `request ended`.
ENDINGS = {
    "answer-lost": ("502", "sent, and no whole answer came; it may have run"),
    "attempts": ("503", "the route's attempts are used up, and none has run"),
    "body-memory": ("503", "the bodies of all requests would fill the VM's memory"),
    "budget": ("503", "the service's repeats are used up"),
    "caller-left": ("none", "the caller closed its connection"),
    "cold": ("503", "the key's owner is cold and has had what it bears"),
    "no-configuration": ("503", "this VM has not read a configuration yet"),
    "no-owner": ("503", "the key has no owner, or is on the move"),
    "no-room": ("503", "no target would be done in time"),
    "no-service": ("503", "the route's service is not in the configuration"),
    "no-target": ("503", "no target that was not tried may take it"),
    "no-time": ("503", "too little of its time is left"),
    "owner-busy": ("503", "the owner would be done far beyond the objective"),
    "stopping": ("503", "the VM stops and had no time left for it"),
    "timeout": ("504", "sent, and not answered within its time; it may have run"),
    "unreachable": ("503", "no connection to a target within its time"),
}

SOURCES: list[TableSource] = [
    SettingTable("daemon settings", DAEMON_PAGE, DAEMON_SETTINGS),
    MetricTable("metrics", DAEMON_PAGE),
    ThresholdTable("thresholds", DAEMON_PAGE),
    SectionTables("sections", "docs/operating/sheet.md"),
    CommandTable("commands", "docs/operating/command-line.md"),
    SettingTable("settings", "docs/operating/command-line.md", SETTINGS),
    ExitCodeTable("exit codes", "docs/operating/command-line.md"),
    LogLineTable("log lines", ENTRY_PAGE),
    EndingTable("endings", ENTRY_PAGE),
]


def markdown(header: list[str], rows: Iterable[list[str]]) -> Iterator[str]:
    """Yield the lines of a Markdown table.

    Parameters
    ----------
    header : list of str
    rows : iterable of list of str

    Yields
    ------
    str
    """
    for row in [header, ["---"] * len(header), *rows]:
        yield "| " + " | ".join(cell.replace("|", "\\|") for cell in row) + " |"


def filled(text: str, source: TableSource) -> str:
    """Return a page with one of its tables written anew.

    Parameters
    ----------
    text : str
        The page.
    source : TableSource

    Returns
    -------
    str

    Raises
    ------
    ValueError
        The page lacks the markers.
    """
    start = f"<!-- table: {source.name} -->"
    before, found, rest = text.partition(start)
    _, ended, after = rest.partition(END)
    if not found or not ended:
        raise ValueError(f"{source.page}: add the lines {start} and {END}")
    table = "\n".join(source.lines()).strip()
    return f"{before}{start}\n\n{table}\n\n{END}{after}"


def _identity(section: Section) -> str:
    """Return which columns must be unique."""
    names = [f"`{column.name}`" for column in section.columns[: section.identity]]
    unique = " and ".join(names)
    together = " together" if len(names) > 1 else ""
    return f"Each {unique} stands once{together}."


def _column_cells(column: Column) -> list[str]:
    """Return the cells of one column of the sheet."""
    empty = "" if column.required else "; may be empty"
    return [f"`{column.name}`", f"{column.cell.describe()}{empty}", column.meaning]


def _own(command) -> bool:
    """Tell whether a command is ours rather than the library's."""
    return type(command).__module__.startswith("berylstage_cli")


def _usage(command) -> str:
    """Return a command with its arguments."""
    arguments = (a.name.upper() for a in command.definition.arguments)
    return " ".join(["berylstage", command.name, *arguments])


def main(args: list[str] | None = None) -> int:
    """Write or check the tables and return the exit status.

    Parameters
    ----------
    args : list of str, optional
        The command line, by default the process's own.

    Returns
    -------
    int
        1 when a page differs from the code and was only checked.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    parser.add_argument("--root", type=Path, default=ROOT, help="where the pages are")
    options = parser.parse_args(args)
    drifted = 0
    for source in SOURCES:
        path = options.root / source.page
        text = path.read_text()
        wanted = filled(text, source)
        if wanted == text:
            continue
        drifted += 1
        if options.check:
            print(f"{source.page}: table '{source.name}' differs; run `make tables`")
        else:
            path.write_text(wanted)
    print(f"tables: {drifted} {'differ' if options.check else 'written'}")
    return 1 if drifted and options.check else 0


if __name__ == "__main__":
    sys.exit(main())
