"""Stand-ins for the platform's store, backends and clients, after the users' pages.

They need only Python's standard library. A scenario starts the project's own program as
separate processes, with the command of the deploy file and settings like those of a
small deployment.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from base64 import b64decode, b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[1]
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2
# Bounds of a small deployment (`SYSTEM.md`).
BOUNDS = (
    "seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,"
    "drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,"
    "rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,"
    "budget_window_s=10,retry_allowance=60,warmup_overshoot=1.5,warmup_slack=5,"
    "evacuate_ms=5000,recovery_s=15,hold_max_ms=10000,thaw_slack_ms=300"
)
HOST = "h.example"
HEARTBEAT_SECONDS = 0.87
STORE_SECONDS = 0.004
MAX_PAGE_ITEMS = 500
READY_TIMEOUT_SECONDS = 25.0
REASONS = {
    200: "OK",
    400: "Bad Request",
    403: "Forbidden",
    404: "Not Found",
    409: "Conflict",
    412: "Precondition Failed",
    421: "Misdirected Request",
    503: "Service Unavailable",
}


class NotRun(Exception):
    """The scenario could not be played, so it says nothing about the program."""


class Record:
    """The file with what was sent, answered and run.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def add(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


class Message:
    """A parsed HTTP message.

    Parameters
    ----------
    start : list of str
        The three words of the first line.
    headers : dict of str to str
        By lower-case name.
    body : bytes
    """

    def __init__(self, start: list[str], headers: dict[str, str], body: bytes):
        self.start = start
        self.headers = headers
        self.body = body


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message with a length; None if the connection ended before it."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.rstrip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(first.split(" ", 2), headers, body)


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} {REASONS[status]}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class HttpServer:
    """Serves the requests of each connection one after the other."""

    def __init__(self) -> None:
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def listen(self, ip: str, port: int) -> None:
        """Start to accept connections."""
        self._server = await asyncio.start_server(self._serve, ip, port)

    async def answer(self, req: Message) -> bytes:
        """Return the encoded answer to a request."""
        raise NotImplementedError

    def extra_answer(self, req: Message, answer: bytes) -> bytes:
        """Return an extra answer that arrives late on the connection; mostly none."""
        return b""

    async def _serve(self, reader, writer) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            late_answer = b""
            while (req := await read_message(reader)) is not None:
                if late_answer:
                    # At the point where the answer to this request is expected.
                    writer.write(late_answer)
                    self.sent_late_answer(req)
                answer = await self.answer(req)
                writer.write(answer)
                await writer.drain()
                late_answer = self.extra_answer(req, answer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    def sent_late_answer(self, req: Message) -> None:
        """Note that an extra answer was sent where that to a request is expected."""

    def close(self) -> None:
        """Close the port and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()


class Store(HttpServer):
    """The platform's key-value store."""

    def __init__(self) -> None:
        super().__init__()
        self.revision = 1
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        # End and length of each lease.
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 77000
        self._changed = asyncio.Condition()

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Write a key as the operator, a backend or another writer would."""
        self.revision += 1
        self._put(key, value, lease)
        return self.revision

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        self._remove(key)

    def value(self, key: str) -> bytes | None:
        """Return the value of a key."""
        item = self._items.get(key)
        return None if item is None else b64decode(item["value"])

    def keys(self, prefix: str) -> list[str]:
        """Return the keys with a prefix."""
        return sorted(key for key in self._items if key.startswith(prefix))

    def _put(self, key: str, value: bytes, lease: int) -> None:
        known = self._items.get(key)
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "rev": self.revision,
            "create_revision": known["create_revision"] if known else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._events.append(item)

    def _remove(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            event = {"key": key, "rev": self.revision, "tombstone": True}
            self._events.append(event)

    def _end_leases(self) -> None:
        for lease, (end, _) in list(self._leases.items()):
            if time.monotonic() > end:
                self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        keys = [key for key, item in self._items.items() if item["lease"] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self._remove(key)

    async def answer(self, req: Message) -> bytes:
        """Answer one call."""
        await asyncio.sleep(STORE_SECONDS)
        self._end_leases()
        url = urlsplit(req.start[1])
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        doc = json.loads(req.body) if req.body else {}
        path, _, last = url.path.rpartition("/")
        if url.path == "/v1/kv-key":
            status, result = self._get(query)
        elif url.path == "/v1/kv-range":
            status, result = self._range(query)
        elif url.path == "/v1/kv-watch":
            status, result = await self._watch(query)
        elif url.path == "/v1/kv-txn":
            status, result = self._write(doc)
        elif url.path == "/v1/kv-lease":
            status, result = self._create_lease(doc)
        elif path == "/v1/kv-keep":
            status, result = self._renew(int(last))
        elif path == "/v1/kv-lease-end":
            status, result = self._revoke(int(last))
        else:
            status, result = 404, {}
        kind = {"Content-Type": "application/json"}
        return encode_answer(status, kind, json.dumps(result).encode())

    def _get(self, query: dict[str, str]) -> tuple[int, dict]:
        item = self._items.get(query["key"])
        if item is None:
            return 404, {}
        return 200, {**item, "current_rev": self.revision}

    def _range(self, query: dict[str, str]) -> tuple[int, dict]:
        after = query.get("after", "")
        keys = [k for k in self.keys(query.get("prefix", "")) if k > after]
        items = [self._items[key] for key in keys[:MAX_PAGE_ITEMS]]
        more = len(keys) > MAX_PAGE_ITEMS
        return 200, {"items": items, "has_more": more, "current_rev": self.revision}

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict]:
        after, prefix = int(query["after"]), query.get("prefix", "")
        end = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            self._end_leases()
            events = [
                event
                for event in self._events
                if event["rev"] > after and event["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= end:
                return 200, {"events": events, "current_rev": self.revision}
            await asyncio.sleep(0.01)

    def _write(self, doc: dict) -> tuple[int, dict]:
        changed = [row["key"] for row in doc.get("puts", [])] + doc.get("remove", [])
        if any(key.startswith(("op/", "servers/")) for key in changed):
            return 403, {}
        none = {"rev": 0}
        expected = doc.get("expect", [])
        if any(
            self._items.get(row["key"], none)["rev"] != row["rev"] for row in expected
        ):
            items = [
                self._items.get(row["key"], {"key": row["key"]} | none)
                for row in expected
            ]
            return 412, {"items": items}
        if any(
            row.get("lease", 0) not in {0, *self._leases} for row in doc.get("puts", [])
        ):
            return 404, {}
        self.revision += 1
        for row in doc.get("puts", []):
            self._put(row["key"], b64decode(row["value"]), row.get("lease", 0))
        for key in doc.get("remove", []):
            self._remove(key)
        return 200, {"rev": self.revision}

    def _create_lease(self, doc: dict) -> tuple[int, dict]:
        self._next_lease += 1
        seconds = doc["ttl_ms"] / 1000
        self._leases[self._next_lease] = (time.monotonic() + seconds, seconds)
        return 200, {"lease": self._next_lease, "ttl_ms": doc["ttl_ms"]}

    def _renew(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        seconds = self._leases[lease][1]
        self._leases[lease] = (time.monotonic() + seconds, seconds)
        return 200, {"ttl_ms": int(seconds * 1000)}

    def _revoke(self, lease: int) -> tuple[int, dict]:
        if lease not in self._leases:
            return 404, {}
        self._end_lease(lease)
        return 200, {}


class Hold:
    """Keys that a backend holds, both inclusive, until a time.

    Parameters
    ----------
    first, last, fence : int
    until : float
    """

    def __init__(self, first: int, last: int, fence: int, until: float):
        self.first, self.last = first, last
        self.fence, self.until = fence, until


class Backend(HttpServer):
    """A backend that reports to the store, holds keys and runs requests.

    Parameters
    ----------
    name, service, zone, ip : str
    port : int
    store : Store
    record : Record
    slots : int
    work_seconds : float
    sharded : bool
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        ip: str,
        port: int,
        store: Store,
        record: Record,
        slots: int = 2,
        work_seconds: float = 0.04,
        sharded: bool = False,
    ):
        super().__init__()
        self.name, self.service, self.zone = name, service, zone
        self.ip, self.port = ip, port
        self.store, self.record = store, record
        self.slots, self.work_seconds, self.sharded = slots, work_seconds, sharded
        self.state = "ready"
        self.born = int(time.time() * 1000)
        # Ids of requests that it has run, in their order.
        self.runs: list[str] = []
        self.holds: list[Hold] = []
        self._fences: list[Hold] = []
        # Keys of the requests that run, by the number of the run.
        self._running: dict[int, int] = {}
        self._waiting = 0
        self._sequence = 0
        self._slots_free = asyncio.Semaphore(slots)
        self._reports: asyncio.Task | None = None

    async def start(self) -> None:
        """Open the port and start to report."""
        await self.listen(self.ip, self.port)
        self._reports = asyncio.create_task(self._report())

    def stop(self) -> None:
        """End without a word."""
        if self._reports is not None:
            self._reports.cancel()
        self.close()

    def report_once(self) -> None:
        """Write the entry."""
        self._sequence += 1
        doc = {
            "address": f"{self.ip}:{self.port}",
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self._sequence,
                "warmup_left_ms": 0,
            },
        }
        self.store.put(f"servers/{self.name}", json.dumps(doc).encode())

    async def _report(self) -> None:
        while True:
            self.report_once()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    def _load(self) -> str:
        return f"{len(self._running)},{self._waiting},{self.slots},100"

    def holds_key(self, key: int) -> bool:
        """Tell whether it holds a key now."""
        moment = time.monotonic()
        return any(h.first <= key <= h.last and moment < h.until for h in self.holds)

    async def answer(self, req: Message) -> bytes:
        """Answer one request."""
        url = urlsplit(req.start[1])
        headers = {
            "Berylstage-Backend-Id": self.name,
            "Berylstage-Backend-Load": self._load(),
        }
        expected = req.headers.get("berylstage-expected-backend", self.name)
        if expected != self.name:
            return encode_answer(421, headers, b"")
        if url.path == "/healthz":
            return encode_answer(200, headers, b"")
        if url.path == "/v1/grant":
            status = self._grant(json.loads(req.body))
            return encode_answer(status, headers, b"")
        if url.path == "/v1/release":
            await self._release(json.loads(req.body))
            headers["Berylstage-Handover"] = "5c0e7a21d94b36f8"
            return encode_answer(200, headers, b"")
        return await self._work(req, headers)

    def _grant(self, doc: dict) -> int:
        first, last, fence = doc["from"], doc["target"], doc["fence"]
        if any(
            h.first <= last and h.last >= first and h.fence > fence
            for h in self._fences
        ):
            return 409
        moment = time.monotonic()
        self._fences.append(Hold(first, last, fence, 0.0))
        self._take(first, last)
        self.holds.append(Hold(first, last, fence, moment + doc["hold_ms"] / 1000))
        return 200

    def _take(self, first: int, last: int) -> None:
        """Hold some keys no more."""
        kept = []
        for h in self.holds:
            if h.first < first:
                kept.append(Hold(h.first, min(h.last, first - 1), h.fence, h.until))
            if h.last > last:
                kept.append(Hold(max(h.first, last + 1), h.last, h.fence, h.until))
        self.holds = kept

    async def _release(self, doc: dict) -> None:
        first, last = doc["from"], doc["target"]
        self._take(first, last)
        while any(first <= key <= last for key in self._running.values()):
            await asyncio.sleep(0.005)

    async def _work(self, req: Message, headers: dict[str, str]) -> bytes:
        request_id = req.headers.get("berylstage-attempt-id", "")
        headers["Berylstage-Attempt-Id"] = request_id
        if not request_id:
            headers["Berylstage-Not-Executed"] = "1"
            return encode_answer(400, headers, b"")
        key = int(req.headers.get("berylstage-shard-key", "-1"))
        self._waiting += 1
        try:
            await self._slots_free.acquire()
        finally:
            self._waiting -= 1
        try:
            if self.sharded and not self.holds_key(key):
                headers["Berylstage-Not-Executed"] = "1"
                return encode_answer(421, headers, b"")
            return await self._run(req, request_id, key, headers)
        finally:
            self._slots_free.release()

    async def _run(
        self, req: Message, request_id: str, key: int, headers: dict[str, str]
    ) -> bytes:
        """Run a request and return its answer."""
        self.runs.append(request_id)
        self.record.add(f"run {request_id} at {self.name} of {self.service}")
        number = len(self.runs)
        self._running[number] = key
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            del self._running[number]
        headers["Berylstage-Backend-Signature"] = f"{self.name}.{request_id}"
        headers["Berylstage-Backend-Load"] = self._load()
        return encode_answer(200, headers, f"{self.service} {request_id}\n".encode())


class Vm:
    """A machine with the project's own program.

    Parameters
    ----------
    name, zone, ip, store : str
    port : int
        First of the ports of each machine.
    folder : Path
    zones : sequence of str
    """

    def __init__(
        self,
        name: str,
        zone: str,
        ip: str,
        store: str,
        port: int,
        folder: Path,
        zones: list[str],
    ):
        self.name, self.ip = name, ip
        self.front, self.ready = (ip, port), (ip, port + 1)
        self.control = (ip, port + 2)
        self._settings = folder / f"{name}.conf"
        self.log_path = folder / f"{name}.log"
        lines = [
            f"node_name={name}",
            "role=router",
            "machine_class=front",
            "serves=front,control",
            f"ip={ip}",
            f"zone={zone}",
            "region=kz-south",
            *(f"zones.{each}=kz-south" for each in zones),
            f"listen_addrs.front={ip}:{port}",
            f"listen_addrs.ready={ip}:{port + 1}",
            f"listen_addrs.control={ip}:{port + 2}",
            f"internal_ports={port + 3},{port + 18}",
            f"seed_nodes={ip}:{port + 2}",
            "bootstrap=true",
            "tolerance_member=false",
            "limits.cpu_share=0.86",
            "limits.cpu_cores=1",
            "limits.memory_mb=300",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=870",
            "contracts=base,drain,config,cost,retry,recover,own,places,platform",
            "fault_tolerance.machines=1",
            "fault_tolerance.zones=1",
            "fault_tolerance.regions=0",
            f"bounds={BOUNDS}",
            "grants=direct",
            f"platform.address={store}",
            "platform.form=kv",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.value_bytes=1048576",
            "platform.ttl_min_ms=1000",
        ]
        self._settings.write_text("\n".join(lines) + "\n")
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the program with the command of the deploy file."""
        with (ROOT / "deploy/system.toml").open("rb") as file:
            (role,) = tomllib.load(file)["roles"].values()
        env = {"PYTHONPATH": str(ROOT / "target/deps")}
        for name in ("PATH", "HOME", "LANG"):
            if name in os.environ:
                env[name] = os.environ[name]
        env["BERYLSTAGE_NODE_FILE"] = str(self._settings)
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self) -> None:
        """End the process at once."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self) -> bool:
        """Ask as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                answer = await call(self.ready, "GET", "/v1/ready")
        except (OSError, TimeoutError):
            return False
        return answer is not None and answer.start[1] == "200"

    async def wait_until_ready(self, seconds: float = READY_TIMEOUT_SECONDS) -> bool:
        """Wait until it is ready; return whether it became so in time."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> Message | None:
    """Send a request on a new connection; None if it closed without an answer."""
    reader, writer = await asyncio.open_connection(*address)
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()
        return await read_message(reader)
    except ConnectionError:
        return None
    finally:
        writer.close()


class Clients:
    """Clients that send requests, each with an id of its own.

    Parameters
    ----------
    record : Record
    """

    def __init__(self, record: Record):
        self._record = record
        self._sent = 0
        # Status of each answer by request id; 0 without an answer.
        self.statuses: dict[str, int] = {}

    async def send(
        self,
        vm: Vm,
        method: str,
        path: str,
        key: int | None = None,
        deadline_ms: int = 1000,
        body: bytes = b"",
    ) -> str:
        """Send one request to a machine, and return its id."""
        self._sent += 1
        request_id = f"{self._sent:06d}{random.getrandbits(40):010x}"
        headers = {
            "Host": HOST,
            "Berylstage-Attempt-Id": request_id,
            "Berylstage-Deadline-Ms": str(deadline_ms),
        }
        if key is not None:
            headers["Berylstage-Shard-Key"] = str(key)
        self._record.add(f"sent {request_id} {method} {path} to {vm.name}")
        answer = None
        try:
            async with asyncio.timeout(deadline_ms / 1000):
                answer = await call(vm.front, method, path, headers, body)
        except (OSError, TimeoutError):
            pass
        status = 0 if answer is None else int(answer.start[1])
        self.statuses[request_id] = status
        self._record.add(f"answered {request_id} {status or 'nothing'}")
        return request_id


class Deployment:
    """Store, backends and machines on loopback addresses.

    Parameters
    ----------
    record : Record
    zones : list of str
    vms : int
    """

    def __init__(self, record: Record, zones: list[str], vms: int):
        self.record = record
        self.zones = zones
        self.folder = tempfile.TemporaryDirectory(prefix="berylstage-review-")
        number = os.getpid()
        self._network = f"127.{1 + number // 250 % 250}.{number % 250}"
        hosts = [f"{self._network}.{host}" for host in range(1, 60)]
        self._port = find_free_ports(hosts[:1] + hosts[29 : 29 + vms])
        self.store = Store()
        self.store_address = f"{self._network}.1:{self._port}"
        self.backends: list[Backend] = []
        self.vms = [
            Vm(
                f"front-{n + 1}",
                zones[n % len(zones)],
                hosts[29 + n],
                self.store_address,
                self._port,
                Path(self.folder.name),
                zones,
            )
            for n in range(vms)
        ]

    async def add_backend(self, service: str, zone: str, kind=None, **options):
        """Start a backend of a class, which is `Backend` unless another is given."""
        number = len(self.backends)
        backend = (kind or Backend)(
            f"i-{random.getrandbits(32):08x}",
            service,
            zone,
            f"{self._network}.{number + 2}",
            self._port,
            self.store,
            self.record,
            **options,
        )
        self.backends.append(backend)
        await backend.start()
        return backend

    async def start(self) -> None:
        """Start the store and the machines; wait until all are ready."""
        host, _, port = self.store_address.rpartition(":")
        await self.store.listen(host, int(port))
        for vm in self.vms:
            vm.start()
        for vm in self.vms:
            if not await vm.wait_until_ready():
                raise NotRun(f"{vm.name} did not become ready")

    def stop(self) -> None:
        """End everything that was started."""
        for vm in self.vms:
            vm.kill()
        for backend in self.backends:
            backend.stop()
        self.store.close()
        self.folder.cleanup()


def find_free_ports(ips: list[str]) -> int:
    """Return the first of 20 ports that are free at some addresses."""
    for _ in range(50):
        first = random.randrange(10000, 30000, 20)
        if all(
            _is_free(ip, port, kind)
            for ip in ips
            for port in range(first, first + 20)
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
        ):
            return first
    raise NotRun("no free ports")


def _is_free(ip: str, port: int, kind: socket.SocketKind) -> bool:
    with socket.socket(socket.AF_INET, kind) as sock:
        try:
            sock.bind((ip, port))
        except OSError:
            return False
    return True


def make_service(name: str, sharded: bool = False) -> dict:
    """Return a service of a configuration."""
    service = {
        "name": name,
        "health_path": "/healthz",
        "max_conns": 120,
        "protocol": "h1",
        "tls": False,
        "warmup_s": 3.0,
        "warmup_per_s": 5.3,
    }
    if sharded:
        service |= {"sharded": True, "warm_s": 5.0, "grants": "direct"}
    return service


def make_route(
    name: str, kind: str, service: str, timeout_ms: int, target_latency_ms: int
) -> dict:
    """Return a route of a configuration; its prefix is its name."""
    return {
        "name": name,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": target_latency_ms,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def encode_configuration(
    version: str, services: list[dict], routes: list[dict]
) -> bytes:
    """Return the value of the operator's key."""
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    doc = {
        "version": version,
        "services": services,
        "limits": limits,
        "virtual_hosts": [{"host": HOST, "path_routes": routes}],
    }
    return json.dumps(doc).encode()


async def wait_until_served(
    deployment: Deployment, clients: Clients, method: str, path: str, keys=(None,)
) -> None:
    """Wait until every machine serves a path, for each of some keys."""
    end = time.monotonic() + 20.0
    for vm in deployment.vms:
        for key in keys:
            while True:
                request_id = await clients.send(vm, method, path, key)
                if clients.statuses[request_id] == 200:
                    break
                if time.monotonic() > end:
                    raise NotRun(f"{vm.name} does not serve {path} {key}")
                await asyncio.sleep(0.1)


def has_trouble() -> bool:
    """Tell whether the scenario is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(scenario, folder: Path) -> int:
    """Run a scenario and return the exit status of its script.

    Parameters
    ----------
    scenario : callable
        Coroutine function that takes a `Record` and returns whether the rule held.
    folder : Path
        Folder of the record.
    """
    record = Record(folder / "record.txt")

    async def run() -> int:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        async with asyncio.timeout(117.0):
            return EXIT_HELD if await scenario(record) else EXIT_BROKEN

    try:
        status = asyncio.run(run())
    except (NotRun, TimeoutError, asyncio.CancelledError, OSError) as exc:
        record.add(f"not run: {type(exc).__name__} {exc}")
        status = EXIT_NOT_RUN
    record.add(f"exit status {status}")
    record.close()
    print(f"exit status {status}", file=sys.stderr)
    return status
