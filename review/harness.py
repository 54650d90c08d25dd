"""Stand-ins for the platform's store, backends and clients, and VMs as processes.

Used by the scripts of this review. Only the standard library is needed. The VMs run the
command of ``deploy/system.toml``; all addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
FRONT_PORT = 8381
READY_PORT = 8388
CONTROL_PORT = 8382
STORE_PORT = 8384
BACKEND_PORT = 8224
HEARTBEAT_SECONDS = 0.87
# OWNER: for how long two backends may hold the same keys.
MAX_OVERLAP_SECONDS = 0.5
SETTINGS = """node_name={name}
role=router
machine_class=front
serves=front,control
ip={ip}
zone={zone}
region=r1
zones.z1=r1
zones.z2=r1
zones.z3=r1
listen_addrs.front={ip}:8381
listen_addrs.ready={ip}:8388
listen_addrs.control={ip}:8382
internal_ports=7200,7215
seed_nodes=
bootstrap=true
tolerance_member=false
limits.cpu_share=0.86
limits.cpu_cores=1
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=870
contracts=base,drain,config,cost,retry,recover,own,places,platform
fault_tolerance.machines=1
fault_tolerance.zones=1
fault_tolerance.regions=0
bounds=seed_lag_s=3,addr_reuse_s=2,contact_ms=3000,ack_ms=4000,catch_up_s=4,\
drain_ms=2000,grace_s=6,loss_slack_ms=200,config_apply_ms=2000,\
rollback_slack_ms=250,max_stretch_ms=5000,retry_budget_ratio=0.2,budget_window_s=10,\
retry_allowance=60,warmup_overshoot=1.5,warmup_slack=5,evacuate_ms=5000,recovery_s=15,\
hold_max_ms=10000,thaw_slack_ms=300{bounds}
grants=direct
platform.address={store}
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.history_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
"""


class Record:
    """Writes what happened to ``record.txt``, with seconds since the start."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._start = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._start:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader):
    """Return the first line and the headers (lower-case names); None at the end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = data[:-4].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers


def encode(status: int, headers: dict, body: bytes = b"") -> bytes:
    """Return an HTTP message with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class HttpServer:
    """Serves one request at a time on each connection; subclasses answer them."""

    def __init__(self, ip: str, port: int):
        self.ip, self.port = ip, port
        self.server = None
        self.writers = set()

    async def open(self) -> None:
        """Start to accept connections."""
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port, backlog=1000
        )

    async def shut(self, reset: bool = True) -> None:
        """Close the port and all connections, by a reset if asked to."""
        self.server.close()
        self.server = None
        for writer in list(self.writers):
            if reset:
                sock = writer.get_extra_info("socket")
                linger = struct.pack("ii", 1, 0)
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        # What this connection has carried, for answers that depend on it.
        connection = {}
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                headers["(connection)"] = connection
                method, target, _ = line.split(" ")
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                reply = await self.answer(method, target, headers, body)
                if reply is None:
                    await reader.read()
                    return
                connection["last"] = reply
                writer.write(reply)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body):
        """Return the bytes to answer; None to leave a request unanswered."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: keys, revisions, leases and watches."""

    def __init__(self, ip: str):
        super().__init__(ip, STORE_PORT)
        self.revision = 100
        self.items: dict[str, dict] = {}
        self.events: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 7000

    def put(self, key, value: bytes, lease=0, revision=None) -> int:
        """Write a key and return the revision."""
        self.revision = revision or self.revision + 1
        created = self.items.get(key, {}).get("create_revision", self.revision)
        item = {
            "key": key,
            "value": b64encode(value).decode(),
            "rev": self.revision,
            "create_revision": created,
            "lease": lease,
        }
        self.items[key] = item
        self.events.append(item)
        return self.revision

    def remove(self, key, revision=None) -> None:
        """Remove a key."""
        if self.items.pop(key, None) is not None:
            self.revision = revision or self.revision + 1
            self.events.append({"key": key, "rev": self.revision, "tombstone": True})

    def _end_lease(self, lease) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    def _expire(self) -> None:
        for lease, (until, _) in list(self.leases.items()):
            if time.monotonic() > until:
                self._end_lease(lease)

    async def answer(self, method, target, headers, body):
        """Answer a call."""
        status, reply = await self.call(method, target, body)
        kind = {"Content-Type": "application/json"}
        return encode(status, kind, json.dumps(reply).encode())

    async def call(self, method, target, body):
        """Carry out a call; return the status and the reply."""
        await asyncio.sleep(0.004)
        self._expire()
        url = urlsplit(target)
        query = parse_qs(url.query, keep_blank_values=True)
        doc = json.loads(body) if body else {}
        query = {name: values[0] for name, values in query.items()}
        return await self._call(method, url.path, query, doc)

    async def _call(self, method, path, query, doc):
        if path == "/v1/kv-key":
            item = self.items.get(query["key"])
            reply = {**(item or {}), "current_rev": self.revision}
            return (200 if item else 404), reply
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            items = [
                i
                for k, i in sorted(self.items.items())
                if k.startswith(prefix) and k > after
            ]
            reply = {"items": items, "has_more": False, "current_rev": self.revision}
            return 200, reply
        if path == "/v1/kv-watch":
            return await self._watch(query)
        if path == "/v1/kv-txn":
            return self._txn(doc)
        if path == "/v1/kv-lease":
            seconds = max(1.0, doc["ttl_ms"] / 1000)
            self.next_lease += 1
            self.leases[self.next_lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": self.next_lease, "ttl_ms": int(seconds * 1000)}
        lease = int(path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if path.startswith("/v1/kv-keep/"):
            seconds = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + seconds, seconds)
            return 200, {"ttl_ms": int(seconds * 1000)}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            self._expire()
            events = [
                e
                for e in self.events
                if e["rev"] > after and e["key"].startswith(prefix)
            ]
            if events or time.monotonic() >= until:
                return 200, {"events": events, "current_rev": self.revision}
            await asyncio.sleep(0.01)

    def _txn(self, doc):
        expect = doc.get("expect", [])
        current = [self.items.get(row["key"], {"rev": 0}) for row in expect]
        if any(i["rev"] != r["rev"] for i, r in zip(current, expect, strict=True)):
            return 412, {"items": current}
        puts = doc.get("puts", [])
        if any(row.get("lease", 0) not in {0, *self.leases} for row in puts):
            return 404, {}
        revision = self.revision + 1
        for row in puts:
            self.put(row["key"], b64decode(row["value"]), row.get("lease", 0), revision)
        for key in doc.get("remove", []):
            self.remove(key, revision)
        return 200, {"rev": revision}


class Backend(HttpServer):
    """A backend that holds keys if its service is divided by key."""

    def __init__(self, name, ip, service, record, store, zone="z1", work_seconds=0.02):
        super().__init__(ip, BACKEND_PORT)
        self.name, self.service, self.zone = name, service, zone
        self.record, self.store = record, store
        self.work_seconds = work_seconds
        self.sharded = False
        self.slots = 2
        self.sequence = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        # (first, last, fence, end) in the order of the calls, without overlaps.
        self.holds: list[tuple[int, int, int, float]] = []
        self.seen: list[tuple[int, int, int]] = []
        self.running = 0
        self.running_keys: list[int] = []
        # (attempt id, method, target, body, key, time) of each run.
        self.runs: list[tuple] = []
        # Called for each grant that was accepted.
        self.on_grant = lambda backend, first, last, fence, end: None
        self.heartbeat_task = None

    def write_record(self) -> None:
        """Write this backend's entry into the store."""
        self.sequence += 1
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
                "sequence": self.sequence,
                "warmup_left_ms": 0,
            },
        }
        self.store.put(f"servers/{self.name}", json.dumps(doc).encode())

    async def start(self) -> None:
        """Start to serve, and to write the entry again and again."""
        await self.open()
        self.write_record()
        self.heartbeat_task = asyncio.create_task(self._beat())

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            self.write_record()

    def holds_key(self, key: int) -> bool:
        """Tell whether the backend holds a key now."""
        moment = time.monotonic()
        return any(a <= key <= b and moment < end for a, b, _, end in self.holds)

    def _cut_holds(self, first, last) -> None:
        kept = []
        for a, b, fence, end in self.holds:
            if b < first or a > last:
                kept.append((a, b, fence, end))
                continue
            if a < first:
                kept.append((a, first - 1, fence, end))
            if b > last:
                kept.append((last + 1, b, fence, end))
        self.holds = kept

    def _common_headers(self) -> dict:
        return {
            "Berylstage-Backend-Id": self.name,
            "Berylstage-Backend-Load": f"{self.running},0,{self.slots},100",
        }

    def encode_grant(self, status: int) -> bytes:
        """Return the answer to a grant."""
        return encode(status, self._common_headers())

    async def answer(self, method, target, headers, body):
        """Answer a request, an order or a health check."""
        expected = headers.get("berylstage-expected-backend", self.name)
        common = self._common_headers()
        if expected != self.name:
            return encode(421, {**common, "Berylstage-Not-Executed": "1"})
        if target == "/healthz":
            return encode(200, common)
        if target == "/v1/grant":
            return self.encode_grant(self._grant(json.loads(body)))
        if target == "/v1/release":
            return await self._release(json.loads(body), common)
        return await self.work(method, target, headers, body, common)

    def _grant(self, doc) -> int:
        first, last, fence = doc["from"], doc["target"], doc["fence"]
        if any(a <= last and b >= first and f > fence for a, b, f in self.seen):
            self.record(f"{self.name} rejects grant {first}-{last} fence {fence}")
            return 409
        self.seen = [s for s in self.seen if not (first <= s[0] and s[1] <= last)]
        self.seen.append((first, last, fence))
        end = time.monotonic() + doc["hold_ms"] / 1000
        self._cut_holds(first, last)
        self.holds.append((first, last, fence, end))
        self.record(
            f"{self.name} granted {first}-{last} fence {fence} hold_ms {doc['hold_ms']}"
        )
        self.on_grant(self, first, last, fence, end)
        return 200

    async def _release(self, doc, common):
        first, last = doc["from"], doc["target"]
        self._cut_holds(first, last)
        self.record(f"{self.name} releases {first}-{last} fence {doc['fence']}")
        while any(first <= key <= last for key in self.running_keys):
            await asyncio.sleep(0.005)
        return encode(
            200, {**common, "Berylstage-Handover": f"{random.getrandbits(64):x}"}
        )

    async def work(self, method, target, headers, body, common):
        """Run a request, unless its key is not held or there is no room."""
        attempt = headers.get("berylstage-attempt-id", "")
        common["Berylstage-Attempt-Id"] = attempt
        key = headers.get("berylstage-shard-key")
        if self.sharded and (key is None or not self.holds_key(int(key))):
            return encode(421, {**common, "Berylstage-Not-Executed": "1"})
        if self.running >= self.slots + 8:
            return encode(503, {**common, "Berylstage-Not-Executed": "1"})
        self.running += 1
        if key is not None:
            self.running_keys.append(int(key))
        try:
            self.runs.append((attempt, method, target, body, key, time.monotonic()))
            self.record(f"{self.name} runs {attempt} {method} {target} key {key}")
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
            if key is not None:
                self.running_keys.remove(int(key))
        common["Berylstage-Backend-Signature"] = f"{self.name}.{attempt}"
        return encode(200, common, f"{self.name} {attempt}".encode())


class Vm:
    """One process of the deploy file's program."""

    def __init__(self, name, ip, store, folder, zone="z1", bounds=""):
        self.name, self.ip = name, ip
        self.path = folder / f"{name}.conf"
        self.path.write_text(
            SETTINGS.format(name=name, ip=ip, store=store, zone=zone, bounds=bounds)
        )
        self.log_path = folder / f"{name}.log"
        self.process = None

    def start(self) -> None:
        """Start the process."""
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["BERYLSTAGE_NODE_FILE"] = str(self.path)
        with self.log_path.open("a") as log:
            self.process = subprocess.Popen(
                [sys.executable, "deploy/start.py"],
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def send(self, number) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    async def wait_ready(self, seconds=20.0) -> None:
        """Wait until the VM says that it is ready."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with contextlib.suppress(OSError, TypeError):
                reader, writer = await asyncio.open_connection(self.ip, READY_PORT)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await asyncio.wait_for(read_head(reader), 1.0)
                writer.close()
                if " 200 " in head[0]:
                    return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")


class CannotRun(Exception):
    """The case could not be run."""


class Installation:
    """Store, backends and VMs at loopback addresses of their own."""

    def __init__(self, folder: Path, record: Record):
        self.folder, self.record = folder, record
        self.network = _find_free_network()
        self.store = Store(f"{self.network}.1")
        self.vms: list[Vm] = []
        self.backends: list[Backend] = []

    @property
    def store_address(self) -> str:
        """Address of the store."""
        return f"{self.store.ip}:{STORE_PORT}"

    def add_backend(self, service: str, kind=None, **options) -> Backend:
        """Add a backend, which `start` starts."""
        number = len(self.backends)
        ip = f"{self.network}.{number + 100}"
        name = f"i-{number:02d}{random.getrandbits(24):06x}"
        kind = kind or Backend
        backend = kind(name, ip, service, self.record, self.store, **options)
        self.backends.append(backend)
        return backend

    def add_vm(self, store="", **options) -> Vm:
        """Add a VM, which `start` starts."""
        number = len(self.vms)
        ip = f"{self.network}.{number + 10}"
        store = store or self.store_address
        vm = Vm(f"vm-{number}", ip, store, self.folder, **options)
        self.vms.append(vm)
        return vm

    def put_configuration(self, doc: dict) -> None:
        """Write a configuration into the store."""
        self.store.put("op/config", json.dumps(doc).encode())
        self.record(f"the store acknowledges configuration {doc['version']}")

    async def start(self, configuration: dict, gap_seconds: float = 0.0) -> None:
        """Start everything, and wait until all VMs are ready.

        With a gap, the VMs start one after the other.
        """
        await self.store.open()
        self.put_configuration(configuration)
        for backend in self.backends:
            await backend.start()
        for vm in self.vms:
            vm.start()
            if gap_seconds:
                await vm.wait_ready()
                await asyncio.sleep(gap_seconds)
        for vm in self.vms:
            await vm.wait_ready()

    async def stop(self) -> None:
        """End all processes."""
        for vm in self.vms:
            if vm.process is not None and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()


def _find_free_network() -> str:
    """Return three octets under which all ports of the installation are free."""
    for _ in range(50):
        network = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        try:
            for ip, port in (
                (f"{network}.1", STORE_PORT),
                (f"{network}.10", FRONT_PORT),
            ):
                with socket.socket() as sock:
                    sock.bind((ip, port))
            return network
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def make_configuration(services: dict, routes: list, version="r7", **more) -> dict:
    """Return a configuration; `services` maps names to whether they are sharded."""
    rows = []
    for name, sharded in services.items():
        row = {"name": name, "health_path": "/healthz", "max_conns": 120}
        row |= {"protocol": "h1", "tls": False, "warmup_s": 3.0, "warmup_per_s": 5.3}
        if sharded:
            row |= {"sharded": True, "warm_s": 5.0, "grants": "direct"}
        rows.append(row)
    return {
        "version": version,
        "services": rows,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
        "virtual_hosts": [{"host": "h1.example", "path_routes": routes}],
        **more,
    }


def make_route(name, prefix, kind, service, **more) -> dict:
    """Return a route of a configuration."""
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 2000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        **more,
    }


class Client:
    """One client connection; requests are sent one after the other."""

    def __init__(self, ip: str, port: int = FRONT_PORT):
        self.ip, self.port = ip, port
        self.reader = self.writer = None

    async def request(
        self, method, target, attempt, deadline_ms=1000, key=None, body=b"", headers=()
    ):
        """Return status, headers and body; raises ConnectionError without an answer."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)
        lines = [f"{method} {target} HTTP/1.1", "Host: h1.example"]
        lines += [f"Berylstage-Attempt-Id: {attempt}"]
        lines += [f"Berylstage-Deadline-Ms: {deadline_ms}", *headers]
        if key is not None:
            lines.append(f"Berylstage-Shard-Key: {key}")
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)
        return await asyncio.wait_for(self._read_answer(method), deadline_ms / 1000 + 2)

    async def _read_answer(self, method):
        head = await read_head(self.reader)
        if head is None:
            self.close()
            raise ConnectionError("closed without an answer")
        line, headers = head
        status = int(line.split(" ")[1])
        size = int(headers.get("content-length", "0"))
        body = b""
        if method != "HEAD" and size:
            body = await self.reader.readexactly(size)
        if headers.get("connection", "").lower() == "close":
            self.close()
        return status, headers, body

    def close(self) -> None:
        """Close the connection; the next request opens another one."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


def find_common_keys(one, other, moment):
    """Return keys that two backends hold at a time, with both fences; None for none."""
    for a, b, fence, end in one.holds:
        for c, d, other_fence, other_end in other.holds:
            if max(a, c) <= min(b, d) and moment < min(end, other_end):
                return max(a, c), min(b, d), fence, other_fence
    return None


async def watch_holders(installation, breaks, is_cut=lambda backend: False):
    """Find keys that two backends hold for over half a second.

    Only time counts in which both are up and neither is cut off.
    """
    backends, record = installation.backends, installation.record
    pairs = [(x, y) for i, x in enumerate(backends) for y in backends[i + 1 :]]
    since, reported = {}, set()
    while True:
        moment = time.monotonic()
        for pair in pairs:
            common = None
            if not any(is_cut(backend) for backend in pair):
                common = find_common_keys(*pair, moment)
            if common is None:
                if pair in since:
                    begin, (first, last, fence, other_fence) = since.pop(pair)
                    record(
                        f"{pair[0].name} (fence {fence}) and {pair[1].name} (fence "
                        f"{other_fence}) both held the keys {first} to {last} for "
                        f"{moment - begin:.3f} s"
                    )
                reported.discard(pair)
                continue
            begin, _ = since.setdefault(pair, (moment, common))
            if moment - begin > MAX_OVERLAP_SECONDS and pair not in reported:
                reported.add(pair)
                first, last, fence, other_fence = common
                breaks.append(
                    f"OWNER: {pair[0].name} (fence {fence}) and {pair[1].name} (fence "
                    f"{other_fence}), both up, hold the keys {first} to {last} for "
                    f"over {MAX_OVERLAP_SECONDS} s"
                )
        await asyncio.sleep(0.01)


def new_attempt() -> str:
    """Return the id of a client attempt."""
    return f"{random.getrandbits(64):016x}"


def run(case_folder: str, case) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 otherwise.

    `case` takes the record, the temporary folder and whether there is trouble, and
    returns the breaks that were seen.
    """
    record = Record(Path(case_folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"trouble {int(trouble)}")
    try:
        with tempfile.TemporaryDirectory() as folder:
            breaks = asyncio.run(
                asyncio.wait_for(case(record, Path(folder), trouble), 110)
            )
    except (CannotRun, TimeoutError, OSError) as exc:
        record(f"cannot run: {exc!r}")
        print(f"cannot run: {exc!r}")
        sys.exit(2)
    for text in breaks:
        record(f"BROKEN {text}")
        print(f"BROKEN {text}")
    record("the rule was broken" if breaks else "the rule held")
    print("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
