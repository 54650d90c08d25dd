"""Append-only ledger of the work executed on a target."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from pathlib import Path

# Event names in a ledger.
RAN = "ran"
STARTED = "started"
COLD_BOUND_BROKEN = "cold bound broken"


class LedgerWriter:
    """Appends JSON documents to a file, one per line.

    Each line is passed to the kernel before the answer is sent, so that the line is
    kept even if the process is killed right after it has answered.

    Parameters
    ----------
    path : Path or None
        File to append to; None keeps the documents in memory.
    """

    def __init__(self, path: Path | None):
        self.lines: list[dict] = []
        self._file = path.open("ab", buffering=0) if path is not None else None

    def append(self, doc: dict) -> None:
        """Append one document as a line."""
        if self._file is None:
            self.lines.append(doc)
            return
        self._file.write(json.dumps(doc).encode() + b"\n")

    def close(self) -> None:
        """Close the file."""
        if self._file is not None:
            self._file.close()
