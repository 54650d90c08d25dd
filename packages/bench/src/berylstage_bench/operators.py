"""An operator at the command line: exports, edits and applies sheets."""

from __future__ import annotations

import asyncio
import csv
import json
from io import StringIO
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path
    from subprocess import CompletedProcess

    from berylstage_bench.processes import Installation


class OperatorFailure(Exception):
    """A command of the operator failed; its message holds what it printed."""


class Operator:
    """Runs ``berylstage`` as operators do.

    Parameters
    ----------
    installation : Installation
    """

    def __init__(self, installation: Installation):
        self._installation = installation

    async def run(self, *arguments: str) -> CompletedProcess:
        """Run a command beside the event loop, whatever its exit code."""
        return await asyncio.to_thread(self._installation.operate, *arguments)

    async def document(self, *arguments: str) -> dict:
        """Run a command with ``--json`` and return what it prints.

        Raises
        ------
        OperatorFailure
            The exit code was not 0.
        """
        done = await self.run(*arguments, "--json")
        if done.returncode:
            raise OperatorFailure(
                f"berylstage {' '.join(arguments)} ended with {done.returncode}: "
                f"{done.stdout}{done.stderr}"
            )
        return json.loads(done.stdout)

    async def apply(self, sheet: Path) -> int:
        """Apply a sheet, wait until it is in force, and return its revision."""
        return (await self.document("apply", str(sheet), "--yes"))["accepted"]

    async def edited(self, name: str, state: str) -> Path:
        """Export the sheet and edit the state of a data centre in it.

        Parameters
        ----------
        name : str
        state : str
            ``open`` or ``closed``.

        Returns
        -------
        Path
        """
        sheet = self._installation.folder / f"{name}-{state}.csv"
        await self.document("export", "--output", str(sheet))
        sheet.write_text(edit_data_centre(sheet.read_text(), name, state), newline="")
        return sheet

    async def set_data_centre(self, name: str, state: str) -> float:
        """Open or close a data centre by the sheet.

        Parameters
        ----------
        name, state : str
            As for :meth:`edited`.

        Returns
        -------
        float
            Unix seconds at which the sheet was accepted.
        """
        revision = await self.apply(await self.edited(name, state))
        return await self.accepted_at(revision)

    async def accepted_at(self, revision: int) -> float:
        """Return the Unix seconds at which a revision was accepted."""
        history = (await self.document("history"))["revisions"]
        found = [r for r in history if r["revision"] == revision]
        return found[0]["accepted_at_ms"] / 1000


def edit_data_centre(text: str, name: str, state: str) -> str:
    """Return a sheet with another state of a data centre.

    Parameters
    ----------
    text : str
        The sheet as CSV.
    name, state : str

    Returns
    -------
    str
    """
    rows = list(csv.reader(StringIO(text)))
    for row in rows:
        if row[:1] == [name] and len(row) > 1 and row[1] in ("open", "closed"):
            row[1] = state
    out = StringIO()
    csv.writer(out).writerows(rows)
    return out.getvalue()
