"""Many uploads at once at one VM process, beside small requests."""

from __future__ import annotations

import asyncio
import json
import re
import signal
import time
from pathlib import Path

from platform_standin import Server, ServerHandler, StoreState, store_application
from stop_environment import CONFIGURATION, IdleHealth
from test_start import VmProcess, free_port, wait_until
from tornado.httpserver import HTTPServer
from tornado.web import Application

# Memory and link of the smallest VMs of an installation with uploads.
VM_SETTINGS = ("limits.memory_mb=160", "limits.link_mbps=10.0")
# Largest upload.
UPLOAD_BYTES = 360_000
# Time that a target needs for an upload, and the largest remaining time of its caller.
UPLOAD_WORK_SECONDS = 0.23
UPLOAD_DEADLINE_MS = 11_400
# Together the targets take 400 uploads in 2.3 s.
TARGETS = 10
TARGET_SLOTS = 4
TARGET_CONNECTIONS = 64
# Small requests beside the uploads.
SMALL_DEADLINE_MS = 6_550
SMALL_INTERVAL_SECONDS = 0.02
SMALL_REQUESTS = 250
SMALL_OBJECTIVE_SECONDS = 0.88
KIB_BYTES = 1024
OK = 200
UNAVAILABLE = 503
# Attempts of one caller, and the share of its time for which it waits between them.
ATTEMPTS = 3
MAX_WAIT_SHARE = 1 / 3
MS_PER_SECOND = 1000
# Period of the processor's share, as a scheduler gives it.
CPU_PERIOD_SECONDS = 0.05


def build_configuration():
    """Return the configuration with a route of kind ``upload``."""
    doc = json.loads(json.dumps(CONFIGURATION))
    upload = dict(doc["virtual_hosts"][0]["path_routes"][1])
    upload |= {"name": "uploads", "prefix": "/u/", "kind": "upload"}
    upload |= {"timeout_ms": UPLOAD_DEADLINE_MS, "target_latency_ms": 1760}
    doc["virtual_hosts"][0]["path_routes"].append(upload)
    small = dict(doc["services"][0])
    upload["service"] = "ingest"
    doc["services"][0]["max_conns"] = TARGET_CONNECTIONS
    small |= {"name": "ingest", "max_conns": TARGET_CONNECTIONS}
    doc["services"].append(small)
    return doc


class Outcome:
    """Statuses of one caller's attempts, and the seconds that they took together."""

    def __init__(self):
        self.statuses = []
        self.waits = []
        self.seconds = 0.0

    @property
    def is_served(self):
        return self.statuses[-1] == OK


class UploadHandler(ServerHandler):
    """Works for some time on a request and answers with its body's length."""

    def prepare(self):
        super().prepare()
        self.set_header("Berylstage-Backend-Load", f"1,0,{TARGET_SLOTS},100")

    async def post(self):
        self.server.ran.append(self.request.headers["Berylstage-Attempt-Id"])
        await asyncio.sleep(UPLOAD_WORK_SECONDS)
        self.set_header("Berylstage-Backend-Signature", self.server.name)
        self.write(str(len(self.request.body)))

    async def get(self):
        self.server.ran.append(self.request.headers["Berylstage-Attempt-Id"])
        await asyncio.sleep(0.01)
        self.set_header("Berylstage-Backend-Signature", self.server.name)
        self.write("small")


class UploadEnvironment:
    """Context manager that starts a store, targets of two services and one VM."""

    def __init__(self, folder, settings=VM_SETTINGS, cpu_share=1.0):
        self._folder = folder
        self._cpu_share = cpu_share
        self._cpu_task = None
        self._settings = settings
        self.servers = []
        self.vm = None
        # Connections of callers that do not read.
        self._unread = []

    async def __aenter__(self):
        state, store_port = StoreState(), free_port()
        HTTPServer(store_application(state)).listen(store_port, "127.0.0.1")
        for number in range(TARGETS):
            for service in ("s", "ingest"):
                self._start_target(state, f"{service}-{number}", service)
        state.put("op/config", json.dumps(build_configuration()).encode())
        self.vm = VmProcess(1, self._folder, store_port, self._settings)
        await wait_until(self.vm.is_ready)
        if self._cpu_share < 1:
            self._cpu_task = asyncio.create_task(self._limit_cpu())
        return self

    async def _limit_cpu(self):
        """Let the VM process run for its share of each period."""
        while True:
            await asyncio.sleep(CPU_PERIOD_SECONDS * self._cpu_share)
            self.vm.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(CPU_PERIOD_SECONDS * (1 - self._cpu_share))
            self.vm.process.send_signal(signal.SIGCONT)

    async def __aexit__(self, *exc):
        if self._cpu_task is not None:
            self._cpu_task.cancel()
        self.vm.process.kill()
        self.vm.process.wait()

    def _start_target(self, state, name, service):
        server, port = Server(name), free_port()
        own = {"server": server}
        rows = [(r"/healthz", IdleHealth, own), (r"/.*", UploadHandler, own)]
        HTTPServer(Application(rows, log_function=lambda handler: None)).listen(
            port, "127.0.0.1"
        )
        info = {"service": service, "version": "v", "zone": "a", "slots": TARGET_SLOTS}
        record = {
            "address": f"127.0.0.1:{port}",
            "born": 1,
            "info": info,
            "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
        }
        state.put(f"servers/{name}", json.dumps(record).encode())
        self.servers.append(server)

    @property
    def ran(self):
        """Ids of the requests that targets have run."""
        return [run for server in self.servers for run in server.ran]

    def memory_mb(self, field="VmHWM"):
        """Return the highest or present resident memory of the VM process in MB."""
        status = Path(f"/proc/{self.vm.process.pid}/status").read_text()
        kib = int(re.search(rf"{field}:\s+(\d+)", status).group(1))
        return kib * KIB_BYTES / 1e6

    async def send_once(self, head, size, reads, timeout):
        """Send one attempt on its own connection.

        Returns
        -------
        tuple
            Status, seconds of Retry-After and the connection. The status is 0 if the
            caller does not read, and -1 if no response came in time.
        """
        reader, writer = await asyncio.open_connection(
            self.vm.ip, self.vm.ports[0], limit=KIB_BYTES
        )
        writer.write(head.encode() + b"u" * size)
        if not reads:
            writer.transport.pause_reading()
            return 0, 0.0, writer
        try:
            text = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), timeout)
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return -1, 0.0, writer
        found = re.search(rb"retry-after(?:-ms)?: ([\d.]+)", text, re.IGNORECASE)
        is_ms = b"retry-after-ms" in text.lower()
        wait = float(found.group(1)) / (MS_PER_SECOND if is_ms else 1) if found else 0.0
        return int(text.split()[1]), wait, writer

    async def send(self, method, path, deadline_ms, request_id, size=0, reads=True):
        """Send a request with up to `ATTEMPTS` attempts; return an `Outcome`."""
        began = time.monotonic()
        ends_at = began + deadline_ms / MS_PER_SECOND
        outcome = Outcome()
        for attempt in range(ATTEMPTS):
            left = ends_at - time.monotonic()
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
                f"Berylstage-Attempt-Id: {request_id}-{attempt}\r\n"
                f"Berylstage-Deadline-Ms: {int(left * MS_PER_SECOND)}\r\n"
                f"Content-Length: {size}\r\n\r\n"
            )
            status, wait, writer = await self.send_once(head, size, reads, left)
            outcome.statuses.append(status)
            outcome.seconds = time.monotonic() - began
            if status == 0:
                self._unread.append(writer)
                break
            writer.close()
            if status != UNAVAILABLE:
                break
            outcome.waits.append(wait)
            left = ends_at - time.monotonic()
            await asyncio.sleep(min(wait, left * MAX_WAIT_SHARE))
        return outcome

    async def play(self, uploads):
        """Send uploads at once, half of them without reading, beside small requests.

        Returns
        -------
        tuple of list of Outcome
            Outcomes of the uploads whose callers read, and of the small requests.
        """
        tasks = [
            asyncio.create_task(
                self.send(
                    "POST", f"/u/{n}", UPLOAD_DEADLINE_MS, f"u{n}", UPLOAD_BYTES, n % 2
                )
            )
            for n in range(uploads)
        ]
        small = []
        for n in range(SMALL_REQUESTS):
            small.append(
                asyncio.create_task(
                    self.send("GET", f"/a/{n}", SMALL_DEADLINE_MS, f"s{n}")
                )
            )
            await asyncio.sleep(SMALL_INTERVAL_SECONDS)
        outcomes = await asyncio.gather(*tasks), await asyncio.gather(*small)
        for writer in self._unread:
            writer.close()
        return outcomes


async def measure(folder, uploads, cpu_share=1.0):
    """Return the figures of one play."""
    async with UploadEnvironment(folder, cpu_share=cpu_share) as environment:
        before = environment.memory_mb()
        sent, small = await environment.play(uploads)
        first = [outcome.statuses[0] for outcome in sent]
        last = [outcome.statuses[-1] for outcome in sent]
        in_time = [
            x for x in small if x.is_served and x.seconds <= SMALL_OBJECTIVE_SECONDS
        ]
        waits = sorted(wait for outcome in sent for wait in outcome.waits)
        return {
            "uploads": uploads,
            "cpu_share": cpu_share,
            "memory_before_mb": round(before, 1),
            "memory_peak_mb": round(environment.memory_mb(), 1),
            "memory_after_mb": round(environment.memory_mb("VmRSS"), 1),
            "first_statuses": {s: first.count(s) for s in sorted(set(first))},
            "last_statuses": {s: last.count(s) for s in sorted(set(last))},
            "uploads_run": len([r for r in environment.ran if r.startswith("u")]),
            "waits": [round(wait, 2) for wait in waits[:: max(1, len(waits) // 8)]],
            "small_served": round(sum(x.is_served for x in small) / len(small), 3),
            "small_in_time": round(len(in_time) / len(small), 3),
            "small_first_served": round(
                sum(x.statuses[0] == OK for x in small) / len(small), 3
            ),
        }
