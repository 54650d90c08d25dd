"""Processor time and memory of other processes, read from ``/proc``."""

from __future__ import annotations

import os
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")
# Fields after the command name, from proc(5): user and system time.
USER_TIME = 11
SYSTEM_TIME = 12


def processor_seconds(pid: int) -> float:
    """Return the processor time that a process has used so far.

    Parameters
    ----------
    pid : int

    Returns
    -------
    float
        Seconds, in steps of a clock tick (usually 10 ms).
    """
    text = Path(f"/proc/{pid}/stat").read_text()
    # The command name stands in brackets and may hold blanks.
    fields = text.rpartition(")")[2].split()
    return (int(fields[USER_TIME]) + int(fields[SYSTEM_TIME])) / TICKS


def resident_bytes(pid: int) -> int:
    """Return the memory of a process that is in the machine's memory."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE
