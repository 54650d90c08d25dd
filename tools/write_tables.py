"""Generate or check tables in the documentation from tables in the code."""

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
from log_lines import find_end_reasons, find_log_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator, Sequence

ROOT = Path(__file__).resolve().parent.parent
END = "<!-- end of table -->"


class TableSource(ABC):
    """A table in the code that is rendered into a page.

    In the page, the table is placed between ``<!-- table: NAME -->`` and
    ``<!-- end of table -->``.

    Parameters
    ----------
    name : str
        Name of the table in the page's marker.
    page : str
        Path of the page, relative to the repository's root.
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
            yield f"{section.meaning}{needed} {_describe_identity(section)}"
            yield ""
            header = ["column", "holds", "meaning"]
            yield from format_table(header, map(_format_column_cells, section.columns))
            yield ""


class ExitCodeTable(TableSource):
    """The exit codes of the command line."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each exit code."""
        rows = ([str(int(code)), meaning] for code, meaning in MEANINGS.items())
        yield from format_table(["code", "meaning"], rows)


class CommandTable(TableSource):
    """The commands of the command line."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each command."""
        commands = OperatorApplication().all().values()
        rows = (
            [f"`{_format_usage(c)}`", f"{c.description}."]
            for c in commands
            if _is_own_command(c)
        )
        yield from format_table(["command", "what it does"], rows)


class SettingTable(TableSource):
    """Settings of the daemon or the command line.

    Parameters
    ----------
    name, page : str
    settings : sequence
        Settings with the attributes of the command line's settings.
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
        yield from format_table(["flag", "variable", "default", "meaning"], rows)


class MetricTable(TableSource):
    """The metrics that the daemon sends."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each metric."""
        rows = ([f"`{name}`", meaning] for name, meaning in METRICS.items())
        yield from format_table(["metric", "meaning"], rows)


class ThresholdTable(TableSource):
    """The thresholds of load-dependent decisions."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each threshold."""
        rows = (
            [
                f"`{row.name}`",
                f"{row.default:g}",
                row.unit,
                f"{row.low:g} to {row.high:g}" if row.overridable else "no",
                row.rationale,
            ]
            for row in THRESHOLDS.values()
        )
        header = ["threshold", "default", "unit", "sheet may set", "why"]
        yield from format_table(header, rows)


class LogLineTable(TableSource):
    """The log lines of an entry VM."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each line."""
        rows = (
            [line.message, line.level, line.module, ", ".join(line.fields)]
            for line in find_log_lines(ENTRY_SOURCE)
        )
        yield from format_table(["message", "level", "logger", "fields"], rows)


class EndReasonTable(TableSource):
    """Reasons for which requests end without a target's answer."""

    def lines(self) -> Iterator[str]:
        """Yield a row for each reason.

        Raises
        ------
        ValueError
            A reason of the code has no meaning here, or a meaning here has no reason in
            the code.
        """
        found = find_end_reasons(ENTRY_SOURCE) | {
            "timeout",
            "answer-lost",
            "caller-left",
            "over-quota",
            "target-limit",
        }
        if found != set(END_REASONS):
            mismatched = sorted(found ^ set(END_REASONS))
            raise ValueError(
                f"{mismatched}: reasons of the code and of END_REASONS in "
                "tools/write_tables.py differ; update END_REASONS"
            )
        rows = ([f"`{reason}`", *END_REASONS[reason]] for reason in sorted(found))
        yield from format_table(["reason", "status", "meaning"], rows)


DAEMON_PAGE = "docs/operating/daemon.md"
ENTRY_PAGE = "docs/operating/entry-logs.md"
ENTRY_SOURCE = ROOT / "packages/entry/src/berylstage_entry"
# Status and meaning of each reason in the log line `request ended`.
END_REASONS = {
    "answer-lost": ("502", "sent, and no whole answer came; it may have run"),
    "attempts": ("503", "the route's attempts are used up, and none has run"),
    "body-late": ("503", "the rest of a body did not arrive in time"),
    "body-memory": ("503", "the bodies of all requests would fill the VM's memory"),
    "budget": ("503", "the service's repeats are used up"),
    "caller-left": ("none", "the caller closed its connection"),
    "cold": ("503", "the key's owner is cold and has had what it bears"),
    "connections": ("503", "ended unfinished, to make room for other connections"),
    "ends-targets": ("503", "targets ended under it; refused for a time"),
    "head-memory": ("503", "large or unfinished heads would fill the VM's memory"),
    "no-configuration": ("503", "this VM has not read a configuration yet"),
    "no-owner": ("503", "the key has no owner, or is on the move"),
    "no-room": ("503", "no target would be done in time"),
    "no-service": ("503", "the route's service is not in the configuration"),
    "no-target": ("503", "no target that was not tried may take it"),
    "no-time": ("503", "too little of its time is left"),
    "on-trial": ("503", "targets ended under it, and another attempt was under way"),
    "over-quota": ("429", "its workspace has used up its quota"),
    "owner-busy": ("503", "the owner would be done far beyond the objective"),
    "quota-unknown": ("503", "no VM could be asked for the quota that covers it"),
    "stale-configuration": ("503", "an API key may have been taken away meanwhile"),
    "stopping": ("503", "the VM stops and had no time left for it"),
    "target-rest": ("503", "the owner of its key has asked this VM for rest"),
    "targets-ask-for-less": ("503", "all targets name limits or ask for rest"),
    "target-limit": ("503", "its target names a limit, and has no room now"),
    "timeout": ("504", "sent, and not answered within its time; it may have run"),
    "unknown-key": ("401", "no workspace has its API key"),
    "unreachable": ("503", "no connection to a target within its time"),
    "upload-memory": ("503", "the body of an upload would fill the VM's memory"),
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
    EndReasonTable("endings", ENTRY_PAGE),
]


def format_table(header: list[str], rows: Iterable[list[str]]) -> Iterator[str]:
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


def replace_table(text: str, source: TableSource) -> str:
    """Return a page with one of its tables replaced.

    Parameters
    ----------
    text : str
        Text of the page.
    source : TableSource
        Table to render.

    Returns
    -------
    str

    Raises
    ------
    ValueError
        The page does not contain the markers.
    """
    start = f"<!-- table: {source.name} -->"
    before, found, rest = text.partition(start)
    _, ended, after = rest.partition(END)
    if not found or not ended:
        raise ValueError(f"{source.page}: add the lines {start} and {END}")
    table = "\n".join(source.lines()).strip()
    return f"{before}{start}\n\n{table}\n\n{END}{after}"


def _describe_identity(section: Section) -> str:
    """Return a sentence that names the section's unique columns."""
    names = [f"`{column.name}`" for column in section.columns[: section.identity]]
    unique = " and ".join(names)
    together = " together" if len(names) > 1 else ""
    return f"Each {unique} stands once{together}."


def _format_column_cells(column: Column) -> list[str]:
    """Return the table cells that describe a column of the sheet."""
    empty = "" if column.required else "; may be empty"
    return [f"`{column.name}`", f"{column.cell.describe()}{empty}", column.meaning]


def _is_own_command(command) -> bool:
    """Return whether a command is defined here rather than by the library."""
    return type(command).__module__.startswith("berylstage_cli")


def _format_usage(command) -> str:
    """Return a command's name and arguments as typed on the command line."""
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
        1 if ``--check`` finds a table that differs from the code, otherwise 0.
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true", help="write nothing")
    parser.add_argument("--root", type=Path, default=ROOT, help="where the pages are")
    options = parser.parse_args(args)
    changed = 0
    for source in SOURCES:
        path = options.root / source.page
        text = path.read_text()
        updated = replace_table(text, source)
        if updated == text:
            continue
        changed += 1
        if options.check:
            print(f"{source.page}: table '{source.name}' differs; run `make tables`")
        else:
            path.write_text(updated)
    print(f"tables: {changed} {'differ' if options.check else 'written'}")
    return 1 if changed and options.check else 0


if __name__ == "__main__":
    sys.exit(main())
