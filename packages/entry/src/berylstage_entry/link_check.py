"""Checks whether a target's machine accepts connections, without sending a request."""

from __future__ import annotations

import asyncio
import socket
from enum import Enum

from berylstage_entry.addresses import split_host_port

# Seconds to wait for a connection: it takes about 1 ms, and a lost opening packet is
# sent again only after 1 s.
CHECK_TIMEOUT_SECONDS = 0.25


class CheckResult(Enum):
    """Result of an attempt to connect."""

    ACCEPTED = "accepted"
    REFUSED = "refused"
    SILENT = "silent"


async def check_link(address: str) -> CheckResult:
    """Try to connect to an address.

    Parameters
    ----------
    address : str
        Address as ``ip:port``.

    Returns
    -------
    CheckResult
    """
    with socket.socket() as sock:
        sock.setblocking(False)
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_SECONDS):
                loop = asyncio.get_running_loop()
                await loop.sock_connect(sock, split_host_port(address))
        except ConnectionRefusedError:
            return CheckResult.REFUSED
        except OSError:
            # A timeout, or no route to the machine.
            return CheckResult.SILENT
        return CheckResult.ACCEPTED
