"""What the commands that show things print, for a person or as JSON."""

from __future__ import annotations

from datetime import UTC, datetime
from itertools import groupby
from typing import TYPE_CHECKING

from berylstage_sheet.rows import rows_of

from berylstage_cli.reports import Report, RolloutReport

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_sheet.configuration import Configuration

    from berylstage_cli.history import RevisionSummary
    from berylstage_cli.rollout import VmState
    from berylstage_cli.vms import KeyOwner

MAX_CELL = 40


class ConfigurationReport(Report):
    """The configuration in force."""

    def __init__(self, cfg: Configuration):
        self.cfg = cfg

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        yield f"revision {self.cfg.revision} by {self.cfg.author or 'nobody named'}"
        for section, rows in groupby(rows_of(self.cfg), key=lambda row: row.section):
            yield ""
            yield section.name
            header = [column.name for column in section.columns]
            yield from table(header, [row.cells for row in rows])

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        rows = [
            {
                "section": row.section.name,
                **{
                    column.name: cell
                    for column, cell in zip(row.section.columns, row.cells, strict=True)
                },
            }
            for row in rows_of(self.cfg)
        ]
        return {
            "revision": self.cfg.revision,
            "author": self.cfg.author,
            "write_id": self.cfg.write_id,
            "rows": rows,
        }


class HistoryReport(Report):
    """The last revisions, the newest first."""

    def __init__(self, summaries: list[RevisionSummary]):
        self.summaries = summaries

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        for summary in self.summaries:
            author = summary.author or "nobody named"
            yield (
                f"revision {summary.revision}  {_time(summary.accepted_at_ms)}  "
                f"{author}  write id {summary.write_id}"
            )
            yield from (f"  {change}" for change in summary.changes)
            more = summary.change_count - len(summary.changes)
            if more > 0:
                yield f"  and {more} more"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return {"revisions": [summary.document() for summary in self.summaries]}


class StatusReport(RolloutReport):
    """What each VM says of itself."""

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        header = ["VM", "data centre", "revision", "ready", "lease", "leads", "note"]
        yield from table(header, [_status_cells(vm) for vm in self.rollout.vms])
        yield from super().lines()

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return {
            **super().document(),
            "vms": [_status_document(vm) for vm in self.rollout.vms],
        }


class OwnerReport(Report):
    """Who answers for a key."""

    def __init__(self, owner: KeyOwner):
        self.owner = owner

    def lines(self) -> Iterator[str]:
        """Yield the lines that a person reads."""
        owner = self.owner
        target = owner.target or "no single target"
        yield f"{owner.service} {owner.key}: {target}"
        yield f"  shard {owner.shard}, fence {_or_dash(owner.fence)}"
        yield f"  led by VM {_or_dash(owner.vm)}, told by VM {owner.told_by}"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return {name: getattr(self.owner, name) for name in self.owner.__slots__}


def table(header: list[str], rows: list[list[str]]) -> Iterator[str]:
    """Yield the lines of a table with aligned columns.

    Parameters
    ----------
    header : list of str
    rows : list of list of str

    Yields
    ------
    str
    """
    widths = [
        min(MAX_CELL, max(len(row[index]) for row in [header, *rows]))
        for index in range(len(header))
    ]
    for row in [header, *rows]:
        cells = zip(row, widths, strict=True)
        yield "  " + "  ".join(cell.ljust(width) for cell, width in cells).rstrip()


def _status_cells(vm: VmState) -> list[str]:
    """Return the cells of one VM in the table of ``status``."""
    status = vm.status
    if status is None:
        return [vm.name, vm.data_centre, "-", "-", "-", "-", vm.problem]
    return [
        vm.name,
        vm.data_centre,
        str(status.configuration_revision),
        "yes" if status.ready else "no",
        "yes" if status.lease_until_ms else "no",
        str(status.targets),
        vm.problem,
    ]


def _status_document(vm: VmState) -> dict:
    """Return what ``status --json`` prints of one VM."""
    doc: dict = {"name": vm.name, "problem": vm.problem}
    if vm.status is not None:
        doc |= {name: getattr(vm.status, name) for name in vm.status.__slots__}
    return doc


def _or_dash(value: object) -> str:
    """Return a value in words; a dash when there is none."""
    return "-" if value is None else str(value)


def _time(unix_ms: int) -> str:
    """Return a time as people read it, in UTC."""
    if not unix_ms:
        return "time unknown"
    return datetime.fromtimestamp(unix_ms / 1000, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
