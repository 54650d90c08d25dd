"""Crowds of callers that ignore a VM's limits, as faults of a soak."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING

from soak.faults import Fault, VmsStopped
from soak.installation import FRONT_PORT

if TYPE_CHECKING:
    from random import Random

    from soak.installation import Installation

# Connections of one crowd, and seconds between two of its writes.
CROWD_SIZES = (20, 100, 300)
WRITE_PAUSE_SECONDS = 0.05
_HEAD = b" HTTP/1.1\r\nHost: h.example\r\nBerylstage-Attempt-Id: crowd\r\n"
_LINES = b"a:\r\n"
_CHUNKED = b"POST /none" + _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What each caller of a crowd sends first, and then again and again.
KINDS = {
    "nothing": (b"", b""),
    "empty lines": (b"", b"\r\n" * 100),
    "slow head": (b"GET /none" + _HEAD, b"a"),
    "head of many lines": (b"GET /none" + _HEAD, _LINES * 1000),
    "legal heads": (b"", b"GET /none" + _HEAD + _LINES * 3000 + b"\r\n"),
    "unfinished body": (b"POST /none" + _HEAD + b"Content-Length: 9\r\n\r\n", b""),
    "trailers": (_CHUNKED + b"0\r\n", _LINES * 1000),
    "short chunks": (_CHUNKED, b"1\r\nx\r\n" * 500),
}


class CrowdOfCallers(Fault):
    """Callers that ignore the limits open many connections to one VM."""

    duration_range = (1.0, 4.0)

    def __init__(self, rng: Random):
        super().__init__(rng)
        self.kind = rng.choice(list(KINDS))
        self._size = rng.choice(CROWD_SIZES)
        self._tasks: list[asyncio.Task] = []

    async def begin(self, installation: Installation) -> str:
        vm = self.rng.choice(installation.vms)
        self._tasks = [
            asyncio.create_task(self._misbehave(vm.ip)) for _ in range(self._size)
        ]
        return f"{vm.name}: {self._size} with {self.kind}"

    async def end(self, installation: Installation) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _misbehave(self, ip: str) -> None:
        """Send until the crowd ends, on a new connection whenever one is closed."""
        while True:
            with contextlib.suppress(OSError):
                await self._use_connection(ip)
            await asyncio.sleep(WRITE_PAUSE_SECONDS)

    async def _use_connection(self, ip: str) -> None:
        start, repeated = KINDS[self.kind]
        reader, writer = await asyncio.open_connection(ip, FRONT_PORT)
        try:
            writer.write(start)
            while not reader.at_eof():
                writer.write(repeated)
                await writer.drain()
                await asyncio.sleep(WRITE_PAUSE_SECONDS)
        finally:
            writer.transport.abort()


CROWDS: tuple[type[Fault], ...] = (CrowdOfCallers, CrowdOfCallers, VmsStopped)
