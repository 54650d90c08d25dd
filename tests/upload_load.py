"""Many uploads at once at one VM process, beside small requests."""

from __future__ import annotations

import asyncio
import json
import re
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
KB_PER_MB = 1000
KIB_BYTES = 1024


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

    def __init__(self, folder, settings=VM_SETTINGS):
        self._folder = folder
        self._settings = settings
        self.servers = []
        self.vm = None

    async def __aenter__(self):
        state, store_port = StoreState(), free_port()
        HTTPServer(store_application(state)).listen(store_port, "127.0.0.1")
        for number in range(TARGETS):
            for service in ("s", "ingest"):
                self._start_target(state, f"{service}-{number}", service)
        state.put("op/config", json.dumps(build_configuration()).encode())
        self.vm = VmProcess(1, self._folder, store_port, self._settings)
        await wait_until(self.vm.is_ready)
        return self

    async def __aexit__(self, *exc):
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

    async def send(self, method, path, deadline_ms, request_id, size=0, reads=True):
        """Send one request on its own connection and return the response's status.

        A caller without `reads` keeps its connection open and returns 0.
        """
        reader, writer = await asyncio.open_connection(
            self.vm.ip, self.vm.ports[0], limit=KIB_BYTES
        )
        head = (
            f"{method} {path} HTTP/1.1\r\nHost: h.example\r\n"
            f"Berylstage-Attempt-Id: {request_id}\r\n"
            f"Berylstage-Deadline-Ms: {deadline_ms}\r\nContent-Length: {size}\r\n\r\n"
        )
        writer.write(head.encode() + b"u" * size)
        if not reads:
            writer.transport.pause_reading()
            return 0, writer
        try:
            line = await asyncio.wait_for(reader.readline(), deadline_ms / 1000)
            return int(line.split()[1]) if line else -1, writer
        except (TimeoutError, OSError):
            return -1, writer

    async def play(self, uploads):
        """Send uploads at once, half of them without reading, beside small requests.

        Returns
        -------
        dict
            Statuses of the uploads and of the small requests.
        """
        writers = []

        async def one(*args, **kwargs):
            status, writer = await self.send(*args, **kwargs)
            if status:
                writer.close()
            else:
                writers.append(writer)
            return status

        tasks = [
            asyncio.create_task(
                one("POST", f"/u/{n}", UPLOAD_DEADLINE_MS, f"u{n}", UPLOAD_BYTES, n % 2)
            )
            for n in range(uploads)
        ]
        small = []
        for n in range(SMALL_REQUESTS):
            small.append(
                asyncio.create_task(one("GET", f"/a/{n}", SMALL_DEADLINE_MS, f"s{n}"))
            )
            await asyncio.sleep(SMALL_INTERVAL_SECONDS)
        statuses = await asyncio.gather(*tasks), await asyncio.gather(*small)
        for writer in writers:
            writer.close()
        return statuses


async def measure(folder, uploads):
    """Return the figures of one play."""
    async with UploadEnvironment(folder) as environment:
        before = environment.memory_mb()
        began = time.monotonic()
        sent, small = await environment.play(uploads)
        statuses = {status: sent.count(status) for status in sorted(set(sent))}
        return {
            "uploads": uploads,
            "memory_before_mb": round(before, 1),
            "memory_peak_mb": round(environment.memory_mb(), 1),
            "memory_after_mb": round(environment.memory_mb("VmRSS"), 1),
            "upload_statuses": statuses,
            "uploads_run": len([r for r in environment.ran if r.startswith("u")]),
            "small_served": round(small.count(200) / len(small), 3),
            "small_statuses": {s: small.count(s) for s in sorted(set(small))},
            "seconds": round(time.monotonic() - began, 1),
        }
