"""What a VM tells the one with the duty of granting: how busy keys and targets are."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import CallFailed
from logbook import Logger

if TYPE_CHECKING:
    from berylstage_entry.granting import Granting
    from berylstage_entry.office import Office
    from berylstage_entry.router import Router

# Path at which the VM with the duty takes reports.
REPORT_PATH = "/load"
# Seconds between two reports. Half of the time in which the balance of keys is looked
# at, so that a report is never much older than a round of moves.
PERIOD = 0.35
# Seconds that a report may take; it is not sent again.
TIMEOUT = 0.5

log = Logger(__name__)


class Reports:
    """Sends this VM's counts to the VM with the duty.

    Parameters
    ----------
    router : Router
    granting : Granting
    office : Office
    """

    def __init__(self, router: Router, granting: Granting, office: Office):
        self._router = router
        self._granting = granting
        self._office = office
        self._client: CallClient | None = None
        self._task: asyncio.Task | None = None
        self._lost = 0

    def start(self) -> None:
        """Begin to report."""
        self._client = CallClient(1)
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop reporting."""
        if self._task is not None:
            self._task.cancel()
        if self._client is not None:
            self._client.close()

    def take(self, body: bytes) -> bool:
        """Take in another VM's report; False when it can't be read."""
        try:
            doc = json.loads(body)
            for service, counts, mean, slowness in doc["services"]:
                pairs = {int(key): int(count) for key, count in counts}
                self._granting.told(service, pairs, float(mean), dict(slowness))
        except (ValueError, KeyError, TypeError) as exc:
            log.warning("report passed over", extra={"cause": str(exc)})
            return False
        return True

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(PERIOD)
            counts = self._router.take_key_counts()
            if not counts:
                continue
            if self._office.holds():
                for service, pairs in counts.items():
                    self._granting.told(service, pairs, *self._speeds(service))
                continue
            address = self._office.holder_address()
            if address:
                await self._send(address, counts)

    async def _send(self, address: str, counts: dict[str, dict[int, int]]) -> None:
        assert self._client is not None
        services = [
            (service, list(pairs.items()), *self._speeds(service))
            for service, pairs in counts.items()
        ]
        body = json.dumps({"services": services}).encode()
        url = f"http://{address}{REPORT_PATH}"
        try:
            await self._client.call(Call("POST", url, {}, body, TIMEOUT))
        except CallFailed as exc:
            # The next report tells enough; only the first of a row is worth a line.
            if not self._lost:
                log.info("report lost", extra={"to": address, "cause": str(exc)})
            self._lost += 1
            return
        self._lost = 0

    def _speeds(self, service: str) -> tuple[float, dict[str, float]]:
        """Return the mean service time and how slow each target is."""
        loads = self._router.service_loads(service)
        return (loads.mean, loads.slowness()) if loads is not None else (0.0, {})
