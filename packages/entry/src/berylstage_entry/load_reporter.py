"""What a VM tells the one with the duty of granting: how busy keys and targets are.

The load it answers: a few neighbouring keys that become busy within a moment, of which
each VM sees a handful of requests a second. What all of them see has to be together
within a tenth of a second, or a queue has grown before the owner by the time that its
keys move. Counts go as small datagrams, one of which may be lost; the speeds of targets
change slowly and go by a call.
"""

from __future__ import annotations

import asyncio
import json
import struct
from typing import TYPE_CHECKING
from zlib import crc32

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.server import split_address

if TYPE_CHECKING:
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.grant_controller import GrantController
    from berylstage_entry.peer_datagrams import PeerDatagrams
    from berylstage_entry.router import Router

# Path at which the VM with the duty takes the speeds of targets.
SPEEDS_PATH = "/load"
# Seconds between two tellings of counts: as often as the balance of keys is looked at.
PERIOD = 0.1
# Tellings of speeds in a second, of all VMs together. They take seconds to change, and
# ten words a second are told apart from chance (`berylstage_entry.service_times`); more
# VMs tell less often each.
SPEEDS_RATE = 10.0
# Seconds that a telling of speeds may take; it is not sent again.
TIMEOUT = 0.5
# First byte of a datagram with counts, then a checksum of the service's name.
FORMAT = 17
_HEAD = struct.Struct("<BI")
# A key and its requests.
_COUNT = struct.Struct("<HB")
# Keys in one datagram at most, so that it fits into one packet (1,400 bytes).
MOST = 400
_MOST_BYTE = 255

log = Logger(__name__)


class LoadReporter:
    """Sends this VM's counts to the VM with the duty.

    Parameters
    ----------
    router : Router
    granting : Granting
    office : Office
    directory : Directory
    datagrams : Datagrams
    rng : Random
    """

    def __init__(
        self,
        router: Router,
        granting: GrantController,
        office: CoordinatorElection,
        directory: ClusterView,
        datagrams: PeerDatagrams,
        rng: Random,
    ):
        self._router = router
        self._granting = granting
        self._office = office
        self._directory = directory
        self._datagrams = datagrams
        self._rng = rng
        self._client: CallClient | None = None
        self._tasks: list[asyncio.Task] = []
        self._lost = 0

    def start(self) -> None:
        """Begin to report."""
        self._client = CallClient(1)
        self._tasks = [
            asyncio.create_task(self._tell_counts()),
            asyncio.create_task(self._tell_speeds()),
        ]

    def stop(self) -> None:
        """Stop reporting."""
        for task in self._tasks:
            task.cancel()
        if self._client is not None:
            self._client.close()

    def take_counts(self, data: bytes, host: str = "") -> None:
        """Take in another VM's counts; what can't be read is passed over."""
        try:
            _, checksum = _HEAD.unpack_from(data)
            rows = list(_COUNT.iter_unpack(data[_HEAD.size :]))
        except struct.error as exc:
            log.warning("counts passed over", extra={"cause": str(exc)})
            return
        cfg = self._directory.configuration
        for service in cfg.services.values() if cfg is not None else ():
            if service.owns_keys and crc32(service.name.encode()) == checksum:
                self._granting.counted(service.name, dict(rows))

    def take_speeds(self, body: bytes) -> bool:
        """Take in another VM's speeds; False when they can't be read."""
        try:
            for service, mean, slowness in json.loads(body):
                speeds = {str(name): float(value) for name, value in slowness.items()}
                self._granting.told_speeds(str(service), float(mean), speeds)
        except (ValueError, KeyError, TypeError, AttributeError) as exc:
            log.warning("speeds passed over", extra={"cause": str(exc)})
            return False
        return True

    async def _tell_counts(self) -> None:
        while True:
            await asyncio.sleep(PERIOD)
            await self._router.has_counted.wait()
            counts = self._router.take_key_counts()
            if self._office.holds():
                for service, pairs in counts.items():
                    self._granting.counted(service, pairs)
                continue
            address = self._office.holder_address()
            if not address:
                continue
            for service, pairs in counts.items():
                for data in encode(service, pairs):
                    self._datagrams.send_to(split_address(address)[0], data)

    async def _tell_speeds(self) -> None:
        # VMs that started at the same moment would all tell at the same moments.
        await asyncio.sleep(self._rng.random() * self._router.vms / SPEEDS_RATE)
        while True:
            await asyncio.sleep(self._router.vms / SPEEDS_RATE)
            speeds = self._speeds()
            if self._office.holds():
                for service, mean, slowness in speeds:
                    self._granting.told_speeds(service, mean, slowness)
                continue
            address = self._office.holder_address()
            if address and speeds:
                await self._send(address, json.dumps(speeds).encode())

    async def _send(self, address: str, body: bytes) -> None:
        assert self._client is not None
        url = f"http://{address}{SPEEDS_PATH}"
        try:
            await self._client.call(Call("POST", url, {}, body, TIMEOUT))
        except CallFailed as exc:
            # The next one tells enough; only the first of a row is worth a line.
            if not self._lost:
                log.info("speeds not told", extra={"to": address, "cause": str(exc)})
            self._lost += 1
            return
        self._lost = 0

    def _speeds(self) -> list[tuple[str, float, dict[str, float]]]:
        """Return the mean service time, and targets, of services with owned keys."""
        cfg = self._directory.configuration
        found = []
        for service in cfg.services.values() if cfg is not None else ():
            loads = self._router.loads.seen(service.name)
            if service.owns_keys and loads is not None:
                found.append((service.name, loads.mean, loads.slowness()))
        return found


def encode(service: str, counts: dict[int, int]) -> list[bytes]:
    """Return the datagrams that tell a service's requests for each key."""
    head = _HEAD.pack(FORMAT, crc32(service.encode()))
    rows = [_COUNT.pack(k, min(n, _MOST_BYTE)) for k, n in counts.items()]
    return [
        head + b"".join(rows[first : first + MOST])
        for first in range(0, len(rows), MOST)
    ]
