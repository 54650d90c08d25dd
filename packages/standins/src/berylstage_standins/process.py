"""Running a stand-in as a process."""

from __future__ import annotations

import asyncio
import signal


async def run_until_signal(greeting: str) -> None:
    """Print one line, then wait for SIGTERM or SIGINT.

    Parameters
    ----------
    greeting : str
        The line that tells whoever started the process that it listens.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    print(greeting, flush=True)
    await stop.wait()
