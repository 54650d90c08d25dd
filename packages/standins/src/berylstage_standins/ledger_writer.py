"""Writing the append-only ledger of what ran on a target."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

# Names of the events in a ledger.
RAN = "ran"
STARTED = "started"
COLD_BOUND_BROKEN = "cold bound broken"


class LedgerWriter:
    """Appends one JSON document a line.

    Each line is handed to the kernel before the answer goes out, so that a process
    killed right after it has answered leaves the line behind.

    Parameters
    ----------
    path : Path or None
        None keeps the lines in memory only.
    """

    def __init__(self, path: Path | None):
        self.lines: list[dict] = []
        self._file = path.open("ab", buffering=0) if path is not None else None

    def append(self, doc: dict) -> None:
        """Append one document."""
        if self._file is None:
            self.lines.append(doc)
            return
        self._file.write(json.dumps(doc).encode() + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
