"""What all commands have in common."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from abc import abstractmethod
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_policy.thresholds import check_overrides
from berylstage_settings.errors import FaultySettings
from berylstage_sheet.errors import FaultySheet
from berylstage_sheet.reader import Sheet, read_sheet
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from berylstage_cli.errors import BadSetting, FileFault, OperatorError
from berylstage_cli.exit_codes import ExitCode
from berylstage_cli.reports import ErrorReport, FaultsReport, Report
from berylstage_cli.settings import SETTINGS, Settings, read_settings

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_cli.connections import Connections, Connector

STANDARD_STREAM = "-"
JSON_OPTION = option("json", None, "print one JSON document")


class OperatorCommand(Command):
    """A command that ends in a report and the report's exit code."""

    options = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command and print its report.

        Returns
        -------
        int
            One of :class:`ExitCode`.
        """
        report: Report
        try:
            report = self.report()
        except FaultySheet as exc:
            report = FaultsReport(exc)
        except OperatorError as exc:
            report = ErrorReport([exc])
        except FaultySettings as exc:
            report = ErrorReport([BadSetting(str(fault)) for fault in exc.faults])
        except KeyboardInterrupt:
            return ExitCode.INTERRUPTED
        self._print(report)
        return int(report.exit_code)

    @abstractmethod
    def report(self) -> Report:
        """Do the work of the command.

        Returns
        -------
        Report

        Raises
        ------
        OperatorError, FaultySheet
            Told to the operator with the exit code of their kind.
        """

    def read_sheet(self) -> Sheet:
        """Read and check the sheet that is named; ``-`` is standard input."""
        return read_sheet(self._sheet_bytes(), check_overrides)

    def _sheet_bytes(self) -> bytes:
        """Return the content of the sheet."""
        name = self.argument("sheet")
        try:
            if name == STANDARD_STREAM:
                return sys.stdin.buffer.read()
            return Path(name).read_bytes()
        except OSError as exc:
            raise FileFault(
                f"{name} cannot be read ({exc.strerror}); name the CSV file that the "
                "spreadsheet exported"
            ) from exc

    def tell(self, lines: Iterable[str]) -> None:
        """Print lines for a person; with ``--json`` there are none."""
        if not self.option("json"):
            self._raw(self.io.write_line, lines)

    def _print(self, report: Report) -> None:
        """Print the report in the form that was asked for."""
        if self.option("json"):
            doc = {**report.document(), "exit_code": int(report.exit_code)}
            text = json.dumps(doc, indent=2, ensure_ascii=False)
            self._raw(self.io.write_line, [text])
        elif isinstance(report, (ErrorReport, FaultsReport)):
            self._raw(self.io.write_error_line, report.lines())
        else:
            self._raw(self.io.write_line, report.lines())

    @staticmethod
    def _raw(write, lines: Iterable[str]) -> None:
        # Names and keys are printed as they are: a key with an angle bracket would
        # otherwise be taken for one of cleo's style tags and vanish.
        for line in lines:
            write(line, type=Type.RAW)


class ConnectedCommand(OperatorCommand):
    """A command that talks to the platform or to VMs.

    Parameters
    ----------
    connect : Connector
        Opens the connections; tests pass fakes.
    """

    options = [
        JSON_OPTION,
        *(
            option(
                setting.name,
                None,
                f"{setting.meaning} [{setting.variable}; default: "
                f"{setting.default_text}]",
                flag=False,
            )
            for setting in SETTINGS
        ),
    ]

    def __init__(self, connect: Connector):
        self._connect = connect
        super().__init__()

    def report(self) -> Report:
        """Open the connections, do the work and close them."""
        flags = {setting.name: self.option(setting.name) for setting in SETTINGS}
        cfg = read_settings(flags, os.environ)
        return asyncio.run(self._work(cfg))

    async def _work(self, cfg: Settings) -> Report:
        conns = self._connect(cfg)
        try:
            return await self.work(cfg, conns)
        finally:
            await conns.close()

    @abstractmethod
    async def work(self, cfg: Settings, conns: Connections) -> Report:
        """Do the work of the command.

        Parameters
        ----------
        cfg : Settings
        conns : Connections

        Returns
        -------
        Report
        """
