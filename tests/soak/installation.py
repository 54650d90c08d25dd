"""An installation with VMs as processes, and store and targets in this process."""

from __future__ import annotations

import asyncio
import json
import math
import subprocess
import sys
import time
from collections import deque
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

from platform_standin import StoreState, store_application
from soak.callers import Caller
from soak.configuration import (
    MEMORY_SETTING,
    SETTINGS,
    VM_MEMORY_MB,
    get_loopback_prefix,
    make_configuration,
)
from soak.ledger import Ledger
from soak.links import Link
from soak.target_links import TargetLink
from soak.targets import PORT, SILENT_QUEUE_LIMIT, SoakTarget
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPClientError
from tornado.httpserver import HTTPServer
from tornado.web import Application

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from soak.callers import Request

ROOT = Path(__file__).resolve().parents[2]
# Program of a VM, from the root, and the same with links to targets of its own.
PROGRAM = "deploy/start.py"
LINKED_PROGRAM = "tests/soak/vm.py"
# Last octet of the first VM's address; the store and the targets use lower ones.
FIRST_VM_HOST_NUMBER = 30
STORE_PORT = 8390
FRONT_PORT = 8381
# Range of the bandwidth of links between VMs and callers.
LINK_MBPS_RANGE = (5.0, 10.0)
# Minimum number of idle connections to a VM before one of them is reused.
MIN_KEPT_CONNECTIONS = 8
# Seconds within which a starting VM must become ready.
READY_TIMEOUT_SECONDS = 20.0
# Usual number of targets with owned keys, and of those without.
KEYED_TARGETS = 3
KEYLESS_TARGETS = 2
# Number of targets of uploads, where these are played.
UPLOAD_TARGETS = 2
KB_PER_MB = 1000
# Seconds between two writes of a target's record.
RECORD_INTERVAL_SECONDS = 0.5


class SoakStore(StoreState):
    """The store's state and its injected faults."""

    def __init__(self, rng: Random):
        super().__init__()
        self.rng = rng
        self.is_unavailable = False
        self.delay_seconds = 0.0
        self.lost_answer_share = 0.0


class SoakVm:
    """One VM process, its link and the callers' connections to it."""

    def __init__(
        self,
        number: int,
        folder: Path,
        network: str,
        store: str,
        link: Link,
        program: str,
        settings: str = SETTINGS,
    ):
        self.number = number
        self.name = f"vm-{number}"
        self.ip = f"{network}.{FIRST_VM_HOST_NUMBER + number}"
        text = settings.format(name=self.name, ip=self.ip, store=store, mbps=link.mbps)
        self.link = link
        # Idle connections of callers, the least recently used first.
        self.idle_callers: deque[Caller] = deque()
        # Whether the VM is being stopped and restarted.
        self.is_stopping = False
        # Monotonic seconds until which every other batch opens a connection.
        self.new_connections_until = -math.inf
        self._opens_connection = False
        self._program = program
        self._path = folder / f"{self.name}.conf"
        self._path.write_text(text)
        self._log = (folder / f"{self.name}.log").open("a")
        self.process = self._start()

    def _start(self) -> subprocess.Popen:
        return subprocess.Popen(
            [sys.executable, self._program],
            cwd=ROOT,
            env={
                "BERYLSTAGE_NODE_FILE": str(self._path),
                "SOAK_VM_NUMBER": str(self.number),
            },
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    def take_caller(self, ledger: Ledger) -> Caller:
        """Return a caller with an idle connection, or a new caller."""
        self._opens_connection = (
            not self._opens_connection and time.monotonic() < self.new_connections_until
        )
        while (
            not self._opens_connection
            and len(self.idle_callers) >= MIN_KEPT_CONNECTIONS
        ):
            caller = self.idle_callers.popleft()
            if caller.is_open():
                return caller
            caller.close()
        return Caller((self.ip, FRONT_PORT), self.link, ledger)

    def max_memory_mb(self) -> float:
        """Return the most memory that the running process has had, in MB."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        (line,) = (x for x in status.splitlines() if x.startswith("VmHWM:"))
        return int(line.split()[1]) * 1024 / 1000 / KB_PER_MB

    def restart(self) -> None:
        """Kill the process if it still runs, and start a new one."""
        self.process.kill()
        self.process.wait()
        self.process = self._start()


class Installation:
    """Store, targets, VMs and their callers.

    Parameters
    ----------
    folder : Path
        Directory for the VMs' settings and logs.
    rng : Random
        Source of link bandwidths, service times and lost answers.
    vms : int
        Number of VMs.
    has_target_links : bool
        Whether each VM reaches the targets by links of its own, which can be cut.
    has_silent_targets : bool
        Whether targets never answer a request that they cannot queue, nor a later one
        on that connection.
    has_uploads : bool
        Whether there are targets for uploads, and VMs have a limit of memory.
    keyed_targets, keyless_targets : int
        Number of targets with owned keys, and of those without.
    """

    def __init__(
        self,
        folder: Path,
        rng: Random,
        vms: int,
        has_target_links: bool = False,
        has_silent_targets: bool = False,
        has_uploads: bool = False,
        keyed_targets: int = KEYED_TARGETS,
        keyless_targets: int = KEYLESS_TARGETS,
    ):
        self.ledger = Ledger()
        # Factor by which callers send more requests than usual.
        self.load_factor = 1.0
        # Whether many of the requests are uploads with the largest bodies.
        self.is_upload_burst = False
        self.store = SoakStore(rng)
        network = get_loopback_prefix()
        services = "s" * keyed_targets + "u" * keyless_targets
        if has_uploads:
            services += "w" * UPLOAD_TARGETS
        self.targets = [
            SoakTarget(
                f"i-{n}",
                service,
                f"{network}.{n + 2}",
                self.ledger,
                r,
            )
            for n, service in enumerate(services)
            for r in [Random(rng.random())]
        ]
        self._store_http = HTTPServer(
            _with_store_faults(store_application(self.store), self.store)
        )
        self._store_http.listen(STORE_PORT, f"{network}.1")
        self.store.put(
            "op/config", json.dumps(make_configuration(has_uploads)).encode()
        )
        for target in self.targets:
            target.reports_load = has_silent_targets or has_uploads
            if has_silent_targets:
                target.is_silent_when_full = True
                target.queue_limit = SILENT_QUEUE_LIMIT
            if has_target_links:
                target.links = [TargetLink(target.ip, PORT, n) for n in range(vms)]
            target.start()
            self.write_record(target)
        program = LINKED_PROGRAM if has_target_links else PROGRAM
        store = f"{network}.1:{STORE_PORT}"
        settings = SETTINGS + MEMORY_SETTING if has_uploads else SETTINGS
        links = [Link(rng.uniform(*LINK_MBPS_RANGE)) for _ in range(vms)]
        self.vms = [
            SoakVm(number, folder, network, store, link, program, settings)
            for number, link in enumerate(links)
        ]
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=200)
        self._record_task = asyncio.create_task(self._write_records_periodically())

    def write_record(self, target: SoakTarget) -> None:
        """Write a target's record if the target runs and the store is available."""
        if target.is_running and not self.store.is_unavailable:
            self.store.put(f"servers/{target.name}", target.record())

    def restart(self, number: int) -> None:
        """Restart a VM."""
        self.vms[number].restart()

    async def send_requests(
        self, vm: SoakVm, requests: list[Request], gap_seconds: float
    ) -> None:
        """Send requests to a VM on one connection and record their outcomes."""
        caller = vm.take_caller(self.ledger)
        for request in requests:
            self.ledger.record_request(request.request_id, request.size, vm.name)
        try:
            await caller.send_requests(requests, gap_seconds)
        finally:
            vm.link.add_pending_bytes(-sum(request.size for request in requests))
        if caller.is_open():
            vm.idle_callers.append(caller)

    def running_vms(self) -> list[SoakVm]:
        """Return the VMs that run and are not being stopped and restarted."""
        return [v for v in self.vms if not v.is_stopping and v.process.poll() is None]

    def record_memory(self) -> str:
        """Record VMs that needed more memory than they have, and describe it."""
        used = {vm.name: vm.max_memory_mb() for vm in self.running_vms()}
        self.ledger.memory_excesses += [
            f"{name} needed {mb:.0f} MB"
            for name, mb in used.items()
            if mb > VM_MEMORY_MB
        ]
        bodies = {t.name: t.max_body_bytes for t in self.targets if t.service == "w"}
        vms = {name: round(mb) for name, mb in used.items()}
        return f"most memory of VMs in MB: {vms}, bytes of bodies at targets: {bodies}"

    async def wait_until_ready(self, vm: SoakVm) -> None:
        """Wait until a VM reports that it is ready."""
        end = time.monotonic() + READY_TIMEOUT_SECONDS
        while not await self.is_ready(vm):
            if time.monotonic() > end:
                raise TimeoutError(
                    f"{vm.name} did not become ready in time; see its log"
                )
            await asyncio.sleep(0.1)

    async def is_ready(self, vm: SoakVm) -> bool:
        """Return whether a VM reports that it is ready."""
        url = f"http://{vm.ip}:8388/v1/ready"
        try:
            answer = await self._client.fetch(url, request_timeout=1.0)
        except HTTPClientError:
            # The VM does not listen yet, or is not ready.
            return False
        return answer.code == 200

    async def _write_records_periodically(self) -> None:
        while True:
            await asyncio.sleep(RECORD_INTERVAL_SECONDS)
            for target in self.targets:
                self.write_record(target)

    def stop(self) -> None:
        """Kill the VMs, close the callers' connections and stop all servers."""
        self._record_task.cancel()
        for vm in self.vms:
            vm.process.kill()
            vm.process.wait()
            for caller in vm.idle_callers:
                caller.close()
        self._store_http.stop()
        for target in self.targets:
            target.stop()


def _with_store_faults(
    app: Application, store: SoakStore
) -> Callable[..., Awaitable[None]]:
    """Return a request callback for the store that applies its injected faults."""

    async def handle(request):
        if store.delay_seconds:
            await asyncio.sleep(store.delay_seconds)
        is_write = request.method == "POST"
        if store.is_unavailable:
            head = b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n"
            request.connection.stream.write(head)
            request.connection.finish()
            return
        if is_write and store.rng.random() < store.lost_answer_share:
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
