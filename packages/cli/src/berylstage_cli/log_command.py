"""What commands that read the VMs' log lines have in common."""

from __future__ import annotations

from contextlib import ExitStack
from itertools import chain
from typing import TYPE_CHECKING, TypeVar

from cleo.helpers import argument

from berylstage_cli.command import STANDARD_STREAM, OperatorCommand
from berylstage_cli.log_lines import open_logs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

Found = TypeVar("Found")

LOGS_ARGUMENT = argument(
    "logs",
    "files with log lines of the VMs, or - for standard input",
    optional=True,
    multiple=True,
)


class LogCommand(OperatorCommand):
    """A command that reads the log lines of files, or of standard input."""

    def read(self, take: Callable[[Iterable[str]], Found]) -> Found:
        """Return what a function makes of all lines.

        Parameters
        ----------
        take : callable
            Is given the lines, in the order of the files.

        Raises
        ------
        FileFault
        """
        names = self.argument("logs") or [STANDARD_STREAM]
        with ExitStack() as opened:
            return take(chain(*(open_logs(name, opened) for name in names)))
