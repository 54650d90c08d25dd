"""The log lines of VMs, read from whatever has collected them."""

from __future__ import annotations

import json
import sys
from datetime import datetime
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_cli.command import STANDARD_STREAM
from berylstage_cli.errors import FileFault

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator
    from contextlib import ExitStack


class LogLine:
    """One log line.

    Parameters
    ----------
    time : datetime
    vm : str
    message : str
    fields : dict
        Everything else.
    left_out : int
        Lines like it that were not written since the last one.
    """

    __slots__ = ("fields", "left_out", "message", "time", "vm")

    def __init__(
        self, time: datetime, vm: str, message: str, fields: dict, left_out: int = 0
    ):
        self.time = time
        self.vm = vm
        self.message = message
        self.fields = fields
        self.left_out = left_out

    def __str__(self) -> str:
        told = " ".join(f"{k}={_short(v)}" for k, v in self.fields.items())
        stamp = self.time.isoformat(timespec="milliseconds")
        return f"{stamp} {self.vm} {self.message} {told}".rstrip()


class Reader:
    """Reads log lines, whatever a log collector has put before them."""

    def __init__(self) -> None:
        self.unreadable = 0

    def read(self, texts: Iterable[str]) -> Iterator[LogLine]:
        """Yield the lines that are log lines, and count the others.

        Parameters
        ----------
        texts : iterable of str

        Yields
        ------
        LogLine
        """
        for text in texts:
            begin = text.find("{")
            if begin < 0:
                self.unreadable += bool(text.strip())
                continue
            try:
                doc = json.loads(text[begin:])
                time = datetime.fromisoformat(doc.pop("time"))
                left_out = int(doc.pop("left_out", 0))
                vm, message = doc.pop("vm"), doc.pop("message")
                line = LogLine(time, vm, message, doc, left_out)
            except (ValueError, KeyError, TypeError, AttributeError):
                self.unreadable += 1
                continue
            for name in ("level", "logger"):
                line.fields.pop(name, None)
            yield line


def open_logs(name: str, opened: ExitStack) -> Iterable[str]:
    """Return the lines of a file, or of standard input.

    Parameters
    ----------
    name : str
        A file's, or ``-`` for standard input.
    opened : ExitStack
        Closes the file.

    Raises
    ------
    FileFault
    """
    if name == STANDARD_STREAM:
        return sys.stdin
    try:
        file = Path(name).open(encoding="utf-8", errors="replace")
    except OSError as exc:
        raise FileFault(
            f"{name} cannot be read ({exc.strerror}); name files with log lines"
        ) from exc
    return opened.enter_context(file)


def _short(value: object) -> str:
    text = value if isinstance(value, str) else json.dumps(value)
    return json.dumps(text) if " " in text else text
