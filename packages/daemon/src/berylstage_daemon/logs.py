"""Logs as JSON lines through logbook."""

from __future__ import annotations

import json
import sys
from contextlib import contextmanager
from logging import getLogger
from typing import TYPE_CHECKING

from logbook import INFO, StreamHandler
from logbook.compat import RedirectLoggingHandler

if TYPE_CHECKING:
    from collections.abc import Iterator
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
        # A field that is named like one of ours must not replace it: whoever searches
        # the logs by level or time would miss the line.
        line |= {k: v for k, v in record.extra.items() if k not in line}
        if record.exc_info:
            line["exception"] = record.formatted_exception
        return json.dumps(line, default=str)


@contextmanager
def library_logs() -> Iterator[None]:
    """Bring what the libraries log, warnings and errors, to the JSON lines too.

    Otherwise an error in a task or a connection would be plain text on the standard
    error output, which nobody who searches the JSON lines finds.
    """
    handler = RedirectLoggingHandler()
    root = getLogger()
    root.addHandler(handler)
    try:
        yield
    finally:
        root.removeHandler(handler)


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
