"""Log lines as JSON on standard output, which never hold up the process."""

from __future__ import annotations

import json
import sys
from datetime import datetime, timezone
from typing import TYPE_CHECKING

from logbook import INFO, Handler, set_datetime_format

from berylstage_entry.line_writers import line_writer

if TYPE_CHECKING:
    from logbook import LogRecord


class JsonLogHandler(Handler):
    """Writes each record as a line of JSON without waiting for its reader.

    Parameters
    ----------
    vm : str
    """

    def __init__(self, vm: str):
        super().__init__(level=INFO)
        self._vm = vm
        self._writer = line_writer(sys.stdout.fileno())
        self._left_out = 0
        set_datetime_format(lambda: datetime.now(timezone.utc))

    @property
    def writing(self) -> float:
        """Seconds that lines have held up the process since the start."""
        return self._writer.writing

    def emit(self, record: LogRecord) -> None:
        """Write one record."""
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
        if self._left_out:
            line["lines_lost"] = self._left_out
        if self._writer.write((json.dumps(line, default=str) + "\n").encode()):
            self._left_out = 0
        else:
            self._left_out += 1

    def close(self) -> None:
        """Write what is kept, as far as that takes no time."""
        self._writer.close()
