"""An installation on this machine: VMs as processes, store and targets in this one."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from platform_standin import StoreState, store_application
from soak.callers import Caller
from soak.configuration import SETTINGS, configuration, own_network
from soak.ledger import Ledger
from soak.links import Link
from soak.targets import SoakTarget
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.web import Application

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.callers import Request

ROOT = Path(__file__).resolve().parents[2]
# Last number of the address of the first VM; the store and the targets come before.
FIRST_VM = 20
STORE_PORT = 8390
CALLERS_PORT = 8381
# Bandwidth of the links between VMs and callers, in Mbit/s.
LINK_MBPS = (5.0, 10.0)
# Connections that callers keep to a VM, at least.
KEPT = 8
# Seconds in which a VM that starts must be ready.
READY_S = 20.0
# Targets with owned keys, and without.
KEYED = 3
FREE = 2
# Seconds between two reports of a target, and after which a silent one's record goes.
BEAT = 0.5


class SoakStore(StoreState):
    """The store with its troubles."""

    def __init__(self, rng: Random):
        super().__init__()
        self.rng = rng
        self.away = False
        self.delay = 0.0
        self.lost_share = 0.0


class SoakVm:
    """One process of the program."""

    def __init__(self, number: int, folder: Path, network: str, store: str, link: Link):
        self.name = f"vm-{number}"
        self.ip = f"{network}.{FIRST_VM + number}"
        text = SETTINGS.format(name=self.name, ip=self.ip, store=store, mbps=link.mbps)
        self.link = link
        # Connections that callers keep, the longest unused one first.
        self.callers: deque[Caller] = deque()
        # Whether it is being stopped and started again.
        self.stops = False
        self._path = folder / f"{self.name}.conf"
        self._path.write_text(text)
        self._log = (folder / f"{self.name}.log").open("a")
        self.process = self._start()

    def _start(self) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, "deploy/start.py"],
            cwd=ROOT,
            env={"BERYLSTAGE_NODE_FILE": str(self._path)},
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def caller(self, ledger: Ledger) -> Caller:
        """Return a caller whose connection nobody uses."""
        while len(self.callers) >= KEPT:
            caller = self.callers.popleft()
            if caller.is_open():
                return caller
            caller.close()
        return Caller((self.ip, CALLERS_PORT), self.link, ledger)

    def restart(self) -> None:
        """Start the process anew, whatever became of the last one."""
        self.process.kill()
        self.process.wait()
        self.process = self._start()


class Installation:
    """Everything.

    Parameters
    ----------
    folder : Path
        For settings and logs.
    rng : Random
    vms : int
        How many VMs it has.
    """

    def __init__(self, folder: Path, rng: Random, vms: int):
        self.ledger = Ledger()
        self.store = SoakStore(rng)
        network = own_network()
        self.targets = [
            SoakTarget(
                f"i-{n}",
                "s" if n < KEYED else "u",
                f"{network}.{n + 2}",
                self.ledger,
                r,
            )
            for n, r in enumerate(Random(rng.random()) for _ in range(KEYED + FREE))
        ]
        http = HTTPServer(_troubled(store_application(self.store), self.store))
        http.listen(STORE_PORT, f"{network}.1")
        self.store.put("op/config", json.dumps(configuration()).encode())
        for target in self.targets:
            target.start()
            self.write(target)
        store = f"{network}.1:{STORE_PORT}"
        links = [Link(rng.uniform(*LINK_MBPS)) for _ in range(vms)]
        self.vms = [
            SoakVm(number, folder, network, store, link)
            for number, link in enumerate(links)
        ]
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
        self._beats = asyncio.create_task(self._beat())

    def write(self, target: SoakTarget) -> None:
        """Have a target write its record, as long as it lives and the store answers."""
        if target.runs and not self.store.away:
            self.store.put(f"servers/{target.name}", target.record())

    def restart(self, number: int) -> None:
        """Start a VM anew."""
        self.vms[number].restart()

    async def ask(self, vm: SoakVm, requests: list[Request], gap: float) -> None:
        """Have a caller make requests on one connection."""
        caller = vm.caller(self.ledger)
        for request in requests:
            self.ledger.asked(request.request_id, request.size)
        try:
            await caller.ask(requests, gap)
        finally:
            vm.link.owe(-sum(request.size for request in requests))
        if caller.is_open():
            vm.callers.append(caller)

    def standing(self) -> list[SoakVm]:
        """Return the VMs that run and are not being stopped."""
        return [v for v in self.vms if not v.stops and v.process.poll() is None]

    async def until_ready(self, vm: SoakVm) -> None:
        """Wait until a VM says that it is ready."""
        end = time.monotonic() + READY_S
        while not await self.is_ready(vm):
            if time.monotonic() > end:
                raise TimeoutError(f"{vm.name} is not ready; read its log")
            await asyncio.sleep(0.1)

    async def is_ready(self, vm: SoakVm) -> bool:
        """Tell whether a VM says that it is ready."""
        url = f"http://{vm.ip}:8388/v1/ready"
        try:
            answer = await self._client.fetch(url, request_timeout=1.0)
        except HTTPClientError:
            # It does not listen yet, or is not ready.
            return False
        return answer.code == 200

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(BEAT)
            for target in self.targets:
                self.write(target)

    def stop(self) -> None:
        """End everything that was started."""
        self._beats.cancel()
        for vm in self.vms:
            vm.process.kill()
            vm.process.wait()
            for caller in vm.callers:
                caller.close()


def _troubled(app: Application, store: SoakStore) -> Callable[..., Awaitable[None]]:
    """Return what answers a call to the store, as its troubles have it."""

    async def handle(request):
        if store.delay:
            await asyncio.sleep(store.delay)
        is_write = request.method == "POST"
        if store.away:
            head = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            request.connection.stream.write(head)
            request.connection.finish()
            return
        if is_write and store.rng.random() < store.lost_share:
            stream = request.connection.stream
            delegate = app.find_handler(request)
            delegate.execute()
            stream.close()
            return
        app.find_handler(request).execute()

    def callback(request):
        task = asyncio.ensure_future(handle(request))
        task.add_done_callback(lambda done: done.cancelled() or done.exception())

    return callback
