"""Log lines as JSON on standard output, which never hold up the process."""

from __future__ import annotations

import json
import os
import sys
from datetime import datetime, timezone
from typing import TYPE_CHECKING

from logbook import INFO, Handler, set_datetime_format

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from logbook import LogRecord

# Bytes kept while the reader of the output does not read; lines beyond are counted.
KEPT = 256 * 1024


class JsonLines(Handler):
    """Writes each record as a line of JSON without waiting for its reader.

    Parameters
    ----------
    vm : str
    """

    def __init__(self, vm: str):
        super().__init__(level=INFO)
        self._vm = vm
        self._fd = sys.stdout.fileno()
        self._kept = b""
        self._left_out = 0
        # Seconds that writing has taken since the start.
        self.writing = 0.0
        set_datetime_format(lambda: datetime.now(timezone.utc))
        os.set_blocking(self._fd, False)

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
        self._write((json.dumps(line, default=str) + "\n").encode())

    def _write(self, data: bytes) -> None:
        # A pipe that nobody reads is full after 64 KB, and a blocking write would then
        # stop the event loop: every request would stand still for the sake of its log.
        if len(self._kept) + len(data) > KEPT:
            self._left_out += 1
            return
        self._kept += data
        began = now()
        try:
            written = os.write(self._fd, self._kept)
        except BlockingIOError:
            return
        except OSError:
            # Nobody will read any more; there is no place left to say so.
            self._kept = b""
            return
        finally:
            self.writing += now() - began
        self._kept = self._kept[written:]
        self._left_out = 0
