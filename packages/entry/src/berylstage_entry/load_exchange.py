"""Tells the other VMs what targets have told of their load.

A VM of ten gets a tenth of a service's answers, one from each target in a second or so,
while targets are slowed for a few hundred milliseconds at a time. Put together, what
all VMs hear is twenty reports a second and target. They go out as datagrams: a lost one
is made up for by the next. Who is told by whom: `berylstage_policy.relays`.
"""

from __future__ import annotations

import asyncio
import struct
from typing import TYPE_CHECKING
from zlib import crc32

from berylstage_policy.relays import Relays
from logbook import Logger

from berylstage_entry.clock import now
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
# The same for other data centres, where each datagram is paid for. At 1.3 times today's
# requests 0.951 of the credit is earned with 0.16 s for all, 0.960 with 0.04 s nearby,
# 0.964 with 0.04 s for all (`make bench-placement`).
FAR_PERIOD = 0.16
# Reports in one datagram at most, so that it fits into one packet (1,400 bytes).
MOST = 180
# First byte, which tells the format: reports for this VM alone, for its whole data
# centre by a VM of another one, and for everybody by a VM of the same one.
FORMAT = 2
FOR_DATA_CENTRE = 3
FOR_ALL = 4
_FORMATS = (FORMAT, FOR_DATA_CENTRE, FOR_ALL)
# A target by a checksum of its name, then how many requests run or wait there, its pace
# in twentieths, and for how long this has been known, in hundredths of a second. What
# comes over two relays is 0.2 s old; taken for new, it kept VMs from asking targets
# that had been slowed since, and put an older word in the place of a newer one.
_REPORT = struct.Struct("<IBBB")
_PACE_UNIT = 20
_AGE_UNIT = 100
_MOST_BYTE = 255

log = Logger(__name__)


class HeardLoad:
    """The load of a target as this VM heard it last.

    Parameters
    ----------
    busy : int
        Requests that run or wait there.
    pace : float
    at : float
        When the target told it: monotonic seconds.
    """

    __slots__ = ("at", "busy", "pace")

    def __init__(self, busy: int, pace: float, at: float):
        self.busy = busy
        self.pace = pace
        self.at = at


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
        self._relays = Relays(host)
        self._members_revision = -1
        # What targets have told this VM, and has yet to go to its data centre and to
        # the others; what it passes on to its own, and as a relay to the others.
        self._own: dict[str, HeardLoad] = {}
        self._own_far: dict[str, HeardLoad] = {}
        self._passed: dict[str, HeardLoad] = {}
        self._passed_far: dict[str, HeardLoad] = {}
        self._names: dict[int, str] = {}
        self._revision = -1
        self._transport: asyncio.DatagramTransport | None = None
        # Other datagrams, by their first byte.
        self.takers: dict[int, Callable[[bytes], None]] = {}
        self._task: asyncio.Task | None = None
        self._has_news = asyncio.Event()

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
        self._own[name] = self._own_far[name] = HeardLoad(busy, pace, now())
        self._has_news.set()

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Take in another VM's reports, or hand the datagram to who reads it."""
        if data and data[0] in self.takers:
            self.takers[data[0]](data)
            return
        known = data and data[0] in _FORMATS
        if not known or (len(data) - 1) % _REPORT.size:
            log.info("datagram passed over", extra={"from": addr, "bytes": len(data)})
            return
        self._relays.heard(addr[0])
        for name, report in self._decode(data):
            self._router.told_of(name, report.busy, report.pace, report.at)
            if data[0] != FORMAT:
                _keep_newest(self._passed, name, report)
            if data[0] != FOR_DATA_CENTRE:
                _keep_newest(self._passed_far, name, report)
        if self._passed:
            self._has_news.set()

    def error_received(self, exc: Exception) -> None:
        """Pass over a VM that is not there: it will be, or its record will go."""
        log.debug("datagram not delivered", extra={"cause": str(exc)})

    def send(self, data: bytes) -> None:
        """Send a datagram to all other VMs."""
        hosts = {split_address(m.control)[0] for m in self._membership.members()}
        self._send(data, hosts - {self._host})

    def send_to(self, host: str, data: bytes) -> None:
        """Send a datagram to one VM."""
        self._send(data, [host])

    def _decode(self, data: bytes) -> list[tuple[str, HeardLoad]]:
        if self._revision != self._directory.revision:
            self._revision = self._directory.revision
            self._names = {crc32(n.encode()): n for n in self._directory.known}
        moment = now()
        return [
            (
                self._names[checksum],
                HeardLoad(busy, pace / _PACE_UNIT, moment - age / _AGE_UNIT),
            )
            for checksum, busy, pace, age in _REPORT.iter_unpack(data[1:])
            if checksum in self._names
        ]

    async def _run(self) -> None:
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(self._host, self._port)
        )
        far_at = now()
        while True:
            await self._has_news.wait()
            await asyncio.sleep(PERIOD)
            self._has_news.clear()
            self._know_members()
            moment = now()
            self._tell_near(moment)
            if moment >= far_at:
                far_at = moment + FAR_PERIOD
                self._tell_far(moment)

    def _tell_far(self, moment: float) -> None:
        """Tell the other data centres what was heard since the last time."""
        own, self._own_far = self._own_far, {}
        passed, self._passed_far = self._passed_far, {}
        if self._relays.is_far_mesh:
            if own:
                self._send(encode(own), self._relays.far_hosts)
            return
        told = _newest(passed, own)
        if told and self._relays.relay(moment) == self._host:
            self._send(encode(told, FOR_DATA_CENTRE), self._relays.far_relays())

    def _tell_near(self, moment: float) -> None:
        """Tell this data centre what was heard since the last time."""
        own, self._own = self._own, {}
        passed, self._passed = self._passed, {}
        relay = self._relays.relay(moment)
        if self._relays.is_mesh or relay == self._host:
            told = _newest(passed, own)
            if told:
                self._send(encode(told), self._relays.neighbours)
                self._relays.told_all(moment)
            return
        if own:
            self._send(encode(own, FOR_ALL), [relay])
            self._relays.told(relay, moment)
        if passed:
            # Somebody took this VM for the relay and waits for its word.
            self._send(encode(passed), self._relays.neighbours)

    def _know_members(self) -> None:
        if self._members_revision == self._membership.revision:
            return
        self._members_revision = self._membership.revision
        centres: dict[str, list[str]] = {}
        for member in self._membership.members():
            host = split_address(member.control)[0]
            centres.setdefault(member.data_centre, []).append(host)
        near = centres.pop(self._data_centre, [])
        self._relays.know(near, centres.values())

    def _send(self, data: bytes, hosts) -> None:
        if self._transport is None:
            return
        for host in hosts:
            self._transport.sendto(data, (host, self._port))


def _keep_newest(reports: dict[str, HeardLoad], name: str, report: HeardLoad) -> None:
    known = reports.get(name)
    if known is None or known.at < report.at:
        reports[name] = report


def _newest(
    one: dict[str, HeardLoad], other: dict[str, HeardLoad]
) -> dict[str, HeardLoad]:
    newest = dict(one)
    for name, report in other.items():
        _keep_newest(newest, name, report)
    return newest


def encode(reports: dict[str, HeardLoad], form: int = FORMAT) -> bytes:
    """Return the datagram for some reports by the names of their targets."""
    moment = now()
    parts = [bytes([form])]
    for name, report in list(reports.items())[:MOST]:
        pace = min(_MOST_BYTE, round(report.pace * _PACE_UNIT))
        busy = min(_MOST_BYTE, report.busy)
        age = min(_MOST_BYTE, round((moment - report.at) * _AGE_UNIT))
        parts.append(_REPORT.pack(crc32(name.encode()), busy, pace, age))
    return b"".join(parts)
