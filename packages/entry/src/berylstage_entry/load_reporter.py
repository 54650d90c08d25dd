"""Reports the load of keys and the service times of targets to the coordinator.

A few neighbouring keys may suddenly become hot, while each VM sees only a handful of
their requests a second. The counts of all VMs must be added up within a tenth of a
second; otherwise a queue has formed at the owner by the time its keys move. Counts are
sent as small datagrams, any of which may be lost. Service times change slowly and are
sent by an HTTP call.
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

from berylstage_entry.addresses import split_host_port
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.grant_controller import GrantController
    from berylstage_entry.peer_datagrams import PeerDatagrams
    from berylstage_entry.router import Router

# Path at which the coordinator receives service times.
SPEEDS_PATH = "/load"
# Interval between two reports of key counts; equal to the interval of the rebalancing.
COUNT_INTERVAL_SECONDS = 0.1
# Reports of service times per second by all VMs together: the more VMs, the less often
# each of them reports. Service times take seconds to change, and ten reports a second
# are enough to tell a change from noise (`berylstage_entry.placement.service_times`).
SERVICE_TIME_REPORTS_PER_SECOND = 10.0
# Timeout of a report of service times, which is not retried.
REPORT_TIMEOUT_SECONDS = 0.5
# First byte of a datagram with key counts; a checksum of the service's name follows.
MESSAGE_TYPE = 17
_HEADER = struct.Struct("<BI")
# A key and its number of requests.
_COUNT = struct.Struct("<HB")
# Keeps a datagram within one packet (1,400 bytes).
MAX_KEYS_PER_DATAGRAM = 400
_MAX_COUNT = 255

log = Logger(__name__)


class LoadReporter:
    """Sends this VM's key counts and service times to the coordinator.

    Parameters
    ----------
    router : Router
    grant_controller : GrantController
    election : CoordinatorElection
    cluster_view : ClusterView
    datagrams : PeerDatagrams
    rng : Random
    """

    def __init__(
        self,
        router: Router,
        grant_controller: GrantController,
        election: CoordinatorElection,
        cluster_view: ClusterView,
        datagrams: PeerDatagrams,
        rng: Random,
    ):
        self._router = router
        self._grant_controller = grant_controller
        self._election = election
        self._cluster_view = cluster_view
        self._datagrams = datagrams
        self._rng = rng
        self._client: CallClient | None = None
        self._tasks: list[asyncio.Task] = []
        self._failed_sends = 0

    def start(self) -> None:
        """Start reporting."""
        self._client = CallClient(1)
        self._tasks = [
            supervise("key counts", self._send_counts),
            supervise("service times", self._send_service_times),
        ]

    def stop(self) -> None:
        """Stop reporting."""
        for task in self._tasks:
            task.cancel()
        if self._client is not None:
            self._client.close()

    def receive_key_counts(self, data: bytes, host: str = "") -> None:
        """Add another VM's key counts; ignore an invalid datagram."""
        try:
            _, checksum = _HEADER.unpack_from(data)
            rows = list(_COUNT.iter_unpack(data[_HEADER.size :]))
        except struct.error as exc:
            log.warning("invalid key counts ignored", extra={"cause": str(exc)})
            return
        cfg = self._cluster_view.configuration
        for service in cfg.services.values() if cfg is not None else ():
            if service.owns_keys and crc32(service.name.encode()) == checksum:
                self._grant_controller.add_key_counts(service.name, dict(rows))

    def receive_service_times(self, body: bytes) -> bool:
        """Add another VM's service times; return False if they are invalid."""
        try:
            reports = _decode_service_times(body)
        except InvalidRecord as exc:
            log.warning("invalid service times ignored", extra={"cause": str(exc)})
            return False
        for service, mean, ratios in reports:
            self._grant_controller.add_service_times(service, mean, ratios)
        return True

    async def _send_counts(self) -> None:
        while True:
            await asyncio.sleep(COUNT_INTERVAL_SECONDS)
            await self._router.has_key_counts.wait()
            counts = self._router.take_key_counts()
            if self._election.is_coordinator():
                for service, pairs in counts.items():
                    self._grant_controller.add_key_counts(service, pairs)
                continue
            address = self._election.coordinator_address()
            if not address:
                continue
            for service, pairs in counts.items():
                for data in encode_key_counts(service, pairs):
                    self._datagrams.send_to(split_host_port(address)[0], data)

    async def _send_service_times(self) -> None:
        # Otherwise VMs that started together would all report at the same moments.
        await asyncio.sleep(
            self._rng.random() * self._router.vm_count / SERVICE_TIME_REPORTS_PER_SECOND
        )
        while True:
            await asyncio.sleep(self._router.vm_count / SERVICE_TIME_REPORTS_PER_SECOND)
            service_times = self._collect_service_times()
            if self._election.is_coordinator():
                for service, mean, service_time_ratio in service_times:
                    self._grant_controller.add_service_times(
                        service, mean, service_time_ratio
                    )
                continue
            address = self._election.coordinator_address()
            if address and service_times:
                await self._post(address, json.dumps(service_times).encode())

    async def _post(self, address: str, body: bytes) -> None:
        assert self._client is not None
        url = f"http://{address}{SPEEDS_PATH}"
        try:
            await self._client.call(Call("POST", url, {}, body, REPORT_TIMEOUT_SECONDS))
        except CallFailed as exc:
            # The next report replaces this one, so only the first of a series of
            # failures is logged.
            if not self._failed_sends:
                log.info(
                    "service times not sent to coordinator",
                    extra={"to": address, "cause": str(exc)},
                )
            self._failed_sends += 1
            return
        self._failed_sends = 0

    def _collect_service_times(self) -> list[tuple[str, float, dict[str, float]]]:
        """Return service, mean time and ratios per target for services with keys."""
        cfg = self._cluster_view.configuration
        found = []
        for service in cfg.services.values() if cfg is not None else ():
            loads = self._router.loads.find(service.name)
            if service.owns_keys and loads is not None:
                found.append(
                    (service.name, loads.mean_seconds, loads.service_time_ratio())
                )
        return found


def encode_key_counts(service: str, counts: dict[int, int]) -> list[bytes]:
    """Return datagrams with the number of requests for each key of a service."""
    header = _HEADER.pack(MESSAGE_TYPE, crc32(service.encode()))
    rows = [_COUNT.pack(k, min(n, _MAX_COUNT)) for k, n in counts.items()]
    return [
        header + b"".join(rows[first : first + MAX_KEYS_PER_DATAGRAM])
        for first in range(0, len(rows), MAX_KEYS_PER_DATAGRAM)
    ]


def _decode_service_times(body: bytes) -> list[tuple[str, float, dict[str, float]]]:
    """Decode service, mean time and ratios per target of each service.

    Raises
    ------
    InvalidRecord
    """
    try:
        return [
            (str(service), float(mean), {str(n): float(r) for n, r in ratios.items()})
            for service, mean, ratios in parse_json(body)
        ]
    except (ValueError, TypeError, AttributeError) as exc:
        raise InvalidRecord(f"not service times: {exc}") from exc
