"""Tells the other VMs what targets have told of their load.

A VM of ten gets a tenth of a service's answers, one from each target in a second or so,
while targets are slowed for a few hundred milliseconds at a time. Put together, what
all VMs hear is twenty reports a second and target. They go out as datagrams: a lost one
is made up for by the next.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING
from zlib import crc32

from logbook import Logger

from berylstage_entry.server import split_address

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.directory import Directory
    from berylstage_entry.membership import Membership
    from berylstage_entry.router import Router

# Seconds for which reports are gathered into one datagram for the VMs of the same data
# centre, where bytes cost nothing and whose VMs mostly send to the same targets: a
# tenth of the time for which a neighbour slows a machine.
PERIOD = 0.04
# Periods for which they are gathered for other data centres, where each datagram is
# paid for. At 1.3 times today's requests 0.951 of the credit is earned with 0.16 s for
# all, 0.960 with 0.04 s nearby, 0.964 with 0.04 s for all (`make bench-placement`).
FAR_PERIODS = 4
# Reports in one datagram at most, so that it fits into one packet (1,400 bytes).
MOST = 180
# First byte, which tells the format.
FORMAT = 2
# A target by a checksum of its name, then how many requests run or wait there, and its
# pace in twentieths.
_REPORT = struct.Struct("<IBB")
_PACE_UNIT = 20
_MOST_BYTE = 255

log = Logger(__name__)


class HeardLoad:
    """The load of a target as this VM heard it last.

    Parameters
    ----------
    busy : int
        Requests that run or wait there.
    pace : float
    """

    __slots__ = ("busy", "pace")

    def __init__(self, busy: int, pace: float):
        self.busy = busy
        self.pace = pace


class LoadExchange(asyncio.DatagramProtocol):
    """Gathers, sends and takes in reports of load.

    Parameters
    ----------
    router : Router
    directory : Directory
    membership : Membership
    host : str
        This VM's address.
    port : int
        The same on all VMs.
    data_centre : str
        Of this VM.
    """

    def __init__(
        self,
        router: Router,
        directory: Directory,
        membership: Membership,
        host: str,
        port: int,
        data_centre: str = "",
    ):
        self._router = router
        self._directory = directory
        self._membership = membership
        self._host = host
        self._port = port
        self._data_centre = data_centre
        # What the VMs of the same data centre, and the others, have yet to be told.
        self._near: dict[str, HeardLoad] = {}
        self._far: dict[str, HeardLoad] = {}
        self._names: dict[int, str] = {}
        self._revision = -1
        self._transport: asyncio.DatagramTransport | None = None
        # Other datagrams, by their first byte.
        self.takers: dict[int, Callable[[bytes], None]] = {}
        self._task: asyncio.Task | None = None

    def start(self) -> None:
        """Begin to exchange."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop exchanging."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def heard(self, name: str, busy: int, pace: float) -> None:
        """Keep what a target has told; the newest report replaces older ones."""
        self._near[name] = self._far[name] = HeardLoad(busy, pace)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in another VM's reports, or hand the datagram to who reads it."""
        if data and data[0] in self.takers:
            self.takers[data[0]](data)
            return
        if not data or data[0] != FORMAT or (len(data) - 1) % _REPORT.size:
            log.info("datagram passed over", extra={"from": addr, "bytes": len(data)})
            return
        if self._revision != self._directory.revision:
            self._revision = self._directory.revision
            self._names = {crc32(n.encode()): n for n in self._directory.known}
        for checksum, busy, pace in _REPORT.iter_unpack(data[1:]):
            name = self._names.get(checksum)
            if name is not None:
                self._router.told_of(name, busy, pace / _PACE_UNIT)

    def error_received(self, exc: Exception) -> None:
        """Pass over a VM that is not there: it will be, or its record will go."""
        log.debug("datagram not delivered", extra={"cause": str(exc)})

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )
        periods = 0
        while True:
            await asyncio.sleep(PERIOD)
            periods += 1
            if self._near:
                near, self._near = self._near, {}
                self._send(encode(near), self._peers(True))
            if self._far and periods % FAR_PERIODS == 0:
                far, self._far = self._far, {}
                self._send(encode(far), self._peers(False))

    def send(self, data: bytes) -> None:
        """Send a datagram to all other VMs."""
        self._send(data, self._peers(True) + self._peers(False))

    def _peers(self, near: bool) -> list[str]:
        """Return the hosts of the other VMs, in this data centre or elsewhere."""
        hosts = [
            split_address(member.control)[0]
            for member in self._membership.members()
            if (member.data_centre == self._data_centre) == near
        ]
        return [host for host in hosts if host != self._host]

    def _send(self, data: bytes, hosts: list[str]) -> None:
        if self._transport is None:
            return
        for host in hosts:
            self._transport.sendto(data, (host, self._port))


def encode(reports: dict[str, HeardLoad]) -> bytes:
    """Return the datagram for some reports by the names of their targets."""
    parts = [bytes([FORMAT])]
    for name, report in list(reports.items())[:MOST]:
        pace = min(_MOST_BYTE, round(report.pace * _PACE_UNIT))
        busy = min(_MOST_BYTE, report.busy)
        parts.append(_REPORT.pack(crc32(name.encode()), busy, pace))
    return b"".join(parts)
