"""Logs as JSON lines through logbook."""

from __future__ import annotations

import json
import sys
from typing import TYPE_CHECKING

from logbook import INFO, StreamHandler

if TYPE_CHECKING:
    from typing import TextIO

    from logbook import Handler, LogRecord


class JsonLines:
    """Formats log records as JSON lines that name the VM.

    Parameters
    ----------
    vm : str
    """

    def __init__(self, vm: str):
        self._vm = vm

    def __call__(self, record: LogRecord, handler: Handler) -> str:
        """Return one record as a line of JSON.

        Parameters
        ----------
        record : logbook.LogRecord
            Its ``extra`` fields become fields of the line.
        handler : logbook.Handler

        Returns
        -------
        str
        """
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "vm": self._vm,
            "logger": record.channel,
            "message": record.message,
        }
        line.update(record.extra)
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)


def make_handler(vm: str, stream: TextIO | None = None) -> StreamHandler:
    """Return the handler that writes JSON lines.

    Parameters
    ----------
    vm : str
        Name of the VM, part of each line.
    stream : file object, optional
        Standard output when not given.

    Returns
    -------
    logbook.StreamHandler
        To be bound by its owner.
    """
    handler = StreamHandler(stream or sys.stdout, level=INFO)
    handler.formatter = JsonLines(vm)
    return handler
