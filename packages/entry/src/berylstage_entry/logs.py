"""Log handler that writes JSON lines to standard output without blocking."""

from __future__ import annotations

import json
import sys
from datetime import datetime, timezone
from typing import TYPE_CHECKING

from logbook import INFO, Handler, set_datetime_format

from berylstage_entry.line_writers import create_line_writer

if TYPE_CHECKING:
    from logbook import LogRecord


class JsonLogHandler(Handler):
    """Writes each log record as a line of JSON, without waiting for a reader.

    Parameters
    ----------
    vm : str
        Name of the VM, written with each line.
    """

    def __init__(self, vm: str):
        super().__init__(level=INFO)
        self._vm = vm
        self._writer = create_line_writer(sys.stdout.fileno())
        self._lines_lost = 0
        set_datetime_format(lambda: datetime.now(timezone.utc))

    @property
    def write_seconds(self) -> float:
        """Seconds for which writes have blocked the event loop since the start."""
        return self._writer.write_seconds

    def emit(self, record: LogRecord) -> None:
        """Write one record."""
        line = {
            "time": record.time.isoformat(timespec="milliseconds"),
            "level": record.level_name.lower(),
            "vm": self._vm,
            "logger": record.channel,
            "message": record.message,
        }
        # An extra field must not replace a standard one of the same name, or searches
        # of the logs by level or time would miss the line.
        line |= {k: v for k, v in record.extra.items() if k not in line}
        if record.exc_info:
            line["exception"] = record.formatted_exception
        if self._lines_lost:
            line["lines_lost"] = self._lines_lost
        if self._writer.write((json.dumps(line, default=str) + "\n").encode()):
            self._lines_lost = 0
        else:
            self._lines_lost += 1

    def close(self) -> None:
        """Write the buffered lines, as far as that is possible quickly."""
        self._writer.close()
