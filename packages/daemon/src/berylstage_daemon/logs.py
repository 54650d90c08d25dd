"""Logs as JSON lines through logbook."""

from __future__ import annotations

import json
import sys

from logbook import INFO, StreamHandler


def format_line(record, handler) -> str:
    """Return one log record as a line of JSON.

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
        "logger": record.channel,
        "message": record.message,
    }
    line.update(record.extra)
    if record.exc_info:
        line["exception"] = record.formatted_exception
    return json.dumps(line, default=str)


def make_handler(vm: str, stream=None) -> StreamHandler:
    """Return the handler that writes JSON lines.

    Parameters
    ----------
    vm : str
        Name of the VM, part of each line through the logger's channel.
    stream : file object, optional
        Standard output when not given.

    Returns
    -------
    logbook.StreamHandler
        To be pushed for the application by its owner.
    """
    handler = StreamHandler(stream or sys.stdout, level=INFO)
    handler.formatter = format_line
    return handler
