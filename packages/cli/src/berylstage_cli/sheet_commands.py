"""The commands that take or write a sheet."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_sheet.difference import Change, compare
from berylstage_sheet.transition import check_transition
from berylstage_sheet.writer import write_sheet
from cleo.helpers import argument, option

from berylstage_cli.command import (
    STANDARD_STREAM,
    ConnectedCommand,
    OperatorCommand,
)
from berylstage_cli.errors import (
    Declined,
    FileFault,
    NothingAccepted,
    RevisionConflict,
)
from berylstage_cli.publication import Publisher
from berylstage_cli.reports import (
    AppliedReport,
    ConflictReport,
    DifferenceReport,
    Report,
    TextReport,
)
from berylstage_cli.rollout import wait_in_force
from berylstage_cli.write import Accepted, Published

if TYPE_CHECKING:
    from berylstage_sheet.reader import Sheet

    from berylstage_cli.connections import Connections
    from berylstage_cli.settings import Settings

SHEET_ARGUMENT = argument(
    "sheet", "CSV file that the spreadsheet exported; - for standard input"
)


class CheckCommand(OperatorCommand):
    """Reports all faults of a sheet, without talking to anybody."""

    name = "check"
    description = "Report every fault of a sheet, with row and column"
    arguments = [SHEET_ARGUMENT]

    def report(self) -> Report:
        """Read the sheet."""
        cfg = self.read_sheet().cfg
        counts = {
            "services": len(cfg.services),
            "data_centres": len(cfg.data_centres),
            "vms": len(cfg.vms),
            "targets": len(cfg.targets),
            "keys": len(cfg.special_keys),
        }
        told = ", ".join(
            f"{n} {name.replace('_', ' ').replace('vms', 'VMs')}"
            for name, n in counts.items()
        )
        return TextReport(f"no faults: {told}", {"faults": [], **counts})


class DiffCommand(ConnectedCommand):
    """Shows what a sheet would change."""

    name = "diff"
    description = "Show what a sheet would change"
    arguments = [SHEET_ARGUMENT]

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Compare the sheet with the configuration in force."""
        sheet = self.read_sheet()
        current = await Publisher(conns.store, conns.sleep).current()
        check_transition(current.cfg, sheet)
        changes = compare(current.cfg, sheet.cfg)
        return DifferenceReport(current.cfg, sheet.cfg, changes)


class ApplyCommand(ConnectedCommand):
    """Gets a sheet accepted and waits until it is in force."""

    name = "apply"
    description = "Get a sheet accepted and wait until every VM has it in force"
    arguments = [SHEET_ARGUMENT]
    options = [
        *ConnectedCommand.options,
        option("yes", "y", "do not ask before writing"),
    ]

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Check, show, write and wait."""
        sheet = self.read_sheet()
        sheet.cfg.author = sheet.cfg.author or cfg.author
        publisher = Publisher(conns.store, conns.sleep)
        base = await publisher.current()
        changes = compare(base.cfg, sheet.cfg)
        try:
            accepted = await self._accept(publisher, sheet, base, changes)
        except RevisionConflict as exc:
            return ConflictReport(exc, sheet.cfg)
        self.tell([f"revision {accepted.cfg.revision} is accepted"])
        newest = accepted.superseded_by or accepted.cfg
        rollout = await wait_in_force(conns, newest, cfg.timeout)
        return AppliedReport(accepted, changes, rollout)

    async def _accept(
        self,
        publisher: Publisher,
        sheet: Sheet,
        base: Published,
        changes: list[Change],
    ) -> Accepted:
        """Get the sheet accepted, unless it is in force already."""
        if base.cfg is not None and not changes:
            # The same sheet once more, perhaps because the first command was cut
            # off: it is accepted, and a further revision would only ask every VM
            # to take it in again.
            return Accepted(base.cfg)
        if sheet.based_on is not None and sheet.based_on != base.revision:
            raise RevisionConflict(sheet.based_on, base.cfg)
        check_transition(base.cfg, sheet)
        self.tell(DifferenceReport(base.cfg, sheet.cfg, changes).lines())
        self._ask()
        return await publisher.publish(sheet.cfg, base, changes)

    def _ask(self) -> None:
        """Ask the operator; scripts are not asked."""
        asking = self.io.is_interactive() and not self.option("json")
        if asking and not self.option("yes") and not self.confirm("Apply?", False):
            raise Declined


class ExportCommand(ConnectedCommand):
    """Writes the configuration in force as a sheet."""

    name = "export"
    description = "Write the configuration in force as a sheet to edit"
    options = [
        *ConnectedCommand.options,
        option(
            "output",
            "o",
            "file to write; - for standard output",
            flag=False,
            default=STANDARD_STREAM,
        ),
    ]

    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Read the configuration and write the sheet."""
        current = await Publisher(conns.store, conns.sleep).current()
        if current.cfg is None:
            raise NothingAccepted
        text = write_sheet(current.cfg)
        name = self.option("output")
        if name == STANDARD_STREAM:
            fields = {"revision": current.revision, "sheet": text}
            return TextReport(text.rstrip(), fields)
        try:
            Path(name).write_bytes(text.encode())
        except OSError as exc:
            raise FileFault(
                f"{name} cannot be written ({exc.strerror}); name another file"
            ) from exc
        return TextReport(
            f"{name} holds revision {current.revision}",
            {"revision": current.revision, "output": name},
        )
