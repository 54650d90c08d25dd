"""Runs a VM program whose event loop is busy for a while, for tests of stops.

Usage: ``busy_vm.py PROGRAM``. The loop is busy after each SIGUSR1. A loop that is busy
reads its sockets before it runs the timers that have become due meanwhile; a process
that was suspended does not.
"""

from __future__ import annotations

import asyncio
import runpy
import signal
import sys
import time
from pathlib import Path

# Seconds for which the event loop is busy.
BUSY_SECONDS = 0.3


def occupy_loop() -> None:
    """Keep the event loop from doing anything else."""
    end = time.monotonic() + BUSY_SECONDS
    while time.monotonic() < end:
        pass


def schedule_busy_turn(number, frame) -> None:
    """Handle SIGUSR1."""
    asyncio.get_running_loop().call_soon(occupy_loop)


if __name__ == "__main__":
    signal.signal(signal.SIGUSR1, schedule_busy_turn)
    del sys.argv[0]
    # As Python does for a program that is started directly.
    sys.path[0] = str(Path(sys.argv[0]).parent)
    runpy.run_path(sys.argv[0], run_name="__main__")
