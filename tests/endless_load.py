"""Requests to one VM process while some targets send bytes without end."""

from __future__ import annotations

import asyncio
import json
import re
import socket
import threading
import time
from contextlib import suppress
from pathlib import Path

from platform_standin import Server, ServerHandler, StoreState, store_application
from stop_environment import CONFIGURATION, IdleHealth
from test_start import VmProcess, free_port, wait_until
from tornado.httpserver import HTTPServer
from tornado.web import Application

VM_SETTINGS = ("limits.memory_mb=300", "limits.link_mbps=1000.0")
TARGETS = 8
TARGET_SLOTS = 4
MAX_CONNECTIONS = 60
DEADLINE_MS = 1000
KIB_BYTES = 1024
# Bytes of one write, and the pause after it of a target that sends slowly.
FAST_BYTES = 64 * KIB_BYTES
SLOW_BYTES = KIB_BYTES
SLOW_PAUSE_SECONDS = 0.02
OK = 200
UNAVAILABLE = 503

HEALTHY = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n"
    b"Berylstage-Backend-Load: 0,0,4,100\r\n\r\n"
)
HEAD = (
    b"HTTP/1.1 200 OK\r\nBerylstage-Attempt-Id: %s\r\n"
    b"Berylstage-Backend-Signature: x\r\n"
)
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What a target sends first, and then again and again until its connection is closed.
ENDLESS_ANSWERS = {
    "head": (HEAD, b"X-Filler: 0123456789abcdef\r\n"),
    "header line": (HEAD + b"X-Filler: ", b"0123456789abcdef"),
    "interim answers": (b"", b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"),
    "no HTTP": (b"", b"\x00\x01 0123456789abcdef\r\n"),
    "body without a length": (HEAD + b"\r\n", b"0123456789abcdef"),
    "body in chunks": (CHUNKED, b"10\r\n0123456789abcdef\r\n"),
    "large chunks": (CHUNKED, b"8000\r\n" + b"x" * 0x8000 + b"\r\n"),
    "trailers": (CHUNKED + b"0\r\n", b"X-Filler: 0123456789abcdef\r\n"),
}


class EndlessTarget:
    """A target that answers each request with bytes without end, from threads.

    Parameters
    ----------
    kind : str
        Name in `ENDLESS_ANSWERS`.
    is_slow : bool
    """

    def __init__(self, kind, is_slow):
        self._start, self._repeated = ENDLESS_ANSWERS[kind]
        self._is_slow = is_slow
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self._listener.getsockname()[1]
        self.requests = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=[conn], daemon=True).start()

    def _serve(self, conn):
        with conn, suppress(OSError):
            head = conn.recv(FAST_BYTES)
            found = re.search(rb"(?i)attempt-id: (\S+)", head)
            if found is None:
                conn.sendall(HEALTHY)
                return
            self.requests += 1
            self._send_without_end(conn, found[1])

    def _send_without_end(self, conn, request_id):
        size = SLOW_BYTES if self._is_slow else FAST_BYTES
        block = self._repeated * max(1, size // len(self._repeated))
        conn.sendall(self._start.replace(b"%s", request_id))
        while True:
            conn.sendall(block)
            if self._is_slow:
                time.sleep(SLOW_PAUSE_SECONDS)

    def close(self):
        """Accept no further connections."""
        self._listener.close()


class SmallAnswerHandler(ServerHandler):
    """Works for some time on a request and sends a small answer."""

    async def get(self):
        self.server.ran.append(self.request.headers["Berylstage-Attempt-Id"])
        self.set_header("Berylstage-Backend-Load", f"1,0,{TARGET_SLOTS},100")
        await asyncio.sleep(0.02)
        self.set_header("Berylstage-Backend-Signature", self.server.name)
        self.write("small")

    post = get


class EndlessFigures:
    """What callers got, and what it cost the VM.

    Parameters
    ----------
    statuses : list of int
        0 for a request without an answer.
    seconds : list of float
        Of the requests that were served.
    peak_mb : float
        Highest resident memory of the VM process.
    """

    def __init__(self, statuses, seconds, peak_mb):
        self.statuses = statuses
        self.seconds = sorted(seconds)
        self.peak_mb = peak_mb

    def share(self, status):
        """Return the share of the requests with a status."""
        return self.statuses.count(status) / len(self.statuses)

    def __str__(self):
        counts = {s: self.statuses.count(s) for s in sorted(set(self.statuses))}
        p99 = self.seconds[int(0.99 * (len(self.seconds) - 1))] if self.seconds else 0
        return f"{counts} p99 {p99:.3f} s peak {self.peak_mb:.0f} MB"


class EndlessEnvironment:
    """Context manager that starts a store, targets and one VM.

    Parameters
    ----------
    folder : Path
    kind : str
        Name in `ENDLESS_ANSWERS`.
    endless : int
        Number of targets that send without end.
    is_slow : bool
    """

    def __init__(self, folder, kind, endless=2, is_slow=False):
        self._folder = folder
        self._endless = [EndlessTarget(kind, is_slow) for _ in range(endless)]
        self.vm = None

    async def __aenter__(self):
        state, store_port = StoreState(), free_port()
        HTTPServer(store_application(state)).listen(store_port, "127.0.0.1")
        for number in range(TARGETS):
            is_endless = number < len(self._endless)
            port = self._endless[number].port if is_endless else free_port()
            self._add_target(state, f"s-{number}", port, not is_endless)
        doc = json.loads(json.dumps(CONFIGURATION))
        doc["services"][0]["max_conns"] = MAX_CONNECTIONS
        state.put("op/config", json.dumps(doc).encode())
        self.vm = VmProcess(1, self._folder, store_port, VM_SETTINGS)
        await wait_until(self.vm.is_ready)
        return self

    async def __aexit__(self, *exc):
        self.vm.process.kill()
        self.vm.process.wait()
        for target in self._endless:
            target.close()

    def _add_target(self, state, name, port, is_sound):
        if is_sound:
            own = {"server": Server(name)}
            rows = [(r"/healthz", IdleHealth, own), (r"/.*", SmallAnswerHandler, own)]
            app = Application(rows, log_function=lambda handler: None)
            HTTPServer(app).listen(port, "127.0.0.1")
        info = {"service": "s", "version": "v", "zone": "a", "slots": TARGET_SLOTS}
        record = {
            "address": f"127.0.0.1:{port}",
            "born": 1,
            "info": info,
            "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
        }
        state.put(f"servers/{name}", json.dumps(record).encode())

    @property
    def spoiled(self):
        """Number of requests that were answered without end."""
        return sum(target.requests for target in self._endless)

    async def _send(self, path, number):
        began = time.monotonic()
        request = (
            f"{'GET' if path == '/a/' else 'POST'} {path}{number} HTTP/1.1\r\n"
            f"Host: h.example\r\nBerylstage-Attempt-Id: {path[1]}{number}\r\n"
            f"Berylstage-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: 0\r\n"
            "Connection: close\r\n\r\n"
        )
        status = 0
        try:
            async with asyncio.timeout(DEADLINE_MS / 1000 + 0.5):
                reader, writer = await asyncio.open_connection(
                    self.vm.ip, self.vm.ports[0]
                )
                writer.write(request.encode())
                status = int((await reader.readline()).split()[1])
                await reader.read()
                writer.close()
        except (OSError, TimeoutError, IndexError):
            pass
        return status, time.monotonic() - began

    async def play(self, path, seconds, rate):
        """Send requests at a rate and return an `EndlessFigures`."""
        tasks = []
        for number in range(int(seconds * rate)):
            tasks.append(asyncio.create_task(self._send(path, number)))
            await asyncio.sleep(1 / rate)
        ends = await asyncio.gather(*tasks)
        served = [taken for status, taken in ends if status == OK]
        return EndlessFigures([status for status, _ in ends], served, self.memory_mb())

    def memory_mb(self):
        """Return the highest resident memory of the VM process in MB."""
        status = Path(f"/proc/{self.vm.process.pid}/status").read_text()
        return int(re.search(r"VmHWM:\s+(\d+)", status).group(1)) * KIB_BYTES / 1e6
