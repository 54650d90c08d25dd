"""Running a stand-in as a process."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from tornado.httpserver import HTTPServer


def listen(server: HTTPServer, host: str, port: int) -> str:
    """Let a server listen and return its address.

    Parameters
    ----------
    server : HTTPServer
    host : str
        An IP number.
    port : int
        0 for any that is free.

    Returns
    -------
    str
        ``host:port``.
    """
    sockets = bind_sockets(port, host)
    server.add_sockets(sockets)
    return f"{host}:{sockets[0].getsockname()[1]}"


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
