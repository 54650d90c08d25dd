"""The command line `berylstage`."""

from __future__ import annotations

import sys
from importlib.metadata import version
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.exceptions import CleoError

from berylstage_cli.connections import Connector, connect_http
from berylstage_cli.exit_codes import ExitCode
from berylstage_cli.explain_command import ExplainCommand
from berylstage_cli.losses_command import LossesCommand
from berylstage_cli.sheet_commands import (
    ApplyCommand,
    CheckCommand,
    DiffCommand,
    ExportCommand,
)
from berylstage_cli.view_commands import (
    HistoryCommand,
    OwnerCommand,
    ShowCommand,
    StatusCommand,
)

if TYPE_CHECKING:
    from cleo.io.inputs.input import Input
    from cleo.io.outputs.output import Output


class OperatorApplication(Application):
    """The command line with its commands.

    Parameters
    ----------
    connect : Connector
        Opens the connections to the platform and the VMs; tests pass fakes.
    """

    def __init__(self, connect: Connector = connect_http):
        super().__init__("berylstage", version("berylstage-cli"))
        self.auto_exits(False)
        self.catch_exceptions(False)
        self.add(CheckCommand())
        self.add(ExplainCommand())
        self.add(LossesCommand())
        for command in (
            DiffCommand,
            ApplyCommand,
            ExportCommand,
            ShowCommand,
            HistoryCommand,
            StatusCommand,
            OwnerCommand,
        ):
            self.add(command(connect))

    def run(
        self,
        input: Input | None = None,
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run one command.

        Returns
        -------
        int
            One of :class:`ExitCode`. A wrong flag or command and a defect have codes
            of their own; cleo would end both with the code of a faulty sheet.
        """
        io = self.create_io(input, output, error_output)
        try:
            return super().run(io.input, io.output, io.error_output)
        except CleoError as exc:
            self.render_error(exc, io)
            return int(ExitCode.USAGE)
        except Exception as exc:
            self.render_error(exc, io)
            return int(ExitCode.DEFECT)


def main() -> int:
    """Run the command line and return its exit code."""
    return OperatorApplication().run()


if __name__ == "__main__":
    sys.exit(main())
