"""Helpers to run a simulated server as a process."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from tornado.netutil import bind_sockets

if TYPE_CHECKING:
    from tornado.httpserver import HTTPServer


def listen(server: HTTPServer, host: str, port: int) -> str:
    """Start listening and return the server's address.

    Parameters
    ----------
    server : HTTPServer
    host : str
        IP address to listen on.
    port : int
        Port to listen on; 0 selects a free port.

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
        Line that tells the parent process that the server is listening.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stop.set)
    print(greeting, flush=True)
    await stop.wait()
