"""A store, targets and VMs as processes, for plays in which a VM is told to stop."""

from __future__ import annotations

import asyncio
import json
import signal
import time

from platform_standin import (
    Health,
    Server,
    ServerHandler,
    StoreState,
    store_application,
)
from slow_caller import Caller, answer_body
from test_start import Vm, free_port, until
from tornado.httpserver import HTTPServer
from tornado.web import Application

# Requests that a target takes at once: enough for all callers of a play.
SLOTS = 1000
# Connections that a target takes; each VM uses its share of them.
CONNECTIONS = 20_000
# Milliseconds for which a target may work on a request.
TIMEOUT_MS = 20_000
# Seconds from SIGTERM to the end of the process, as the operators allow.
GRACE_S = 6.0


def _route(name, prefix, kind):
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": TIMEOUT_MS,
        "target_latency_ms": TIMEOUT_MS,
        "priority": 1,
        "service": "s",
        "max_attempts": 3,
    }


CONFIGURATION = {
    "version": "r7",
    "services": [
        {
            "name": "s",
            "health_path": "/healthz",
            "max_conns": CONNECTIONS,
            "sharded": False,
        }
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    },
    "virtual_hosts": [
        {
            "host": "h.example",
            "path_routes": [
                _route("lookups", "/a/", "safe"),
                _route("orders", "/o/", "unsafe"),
            ],
        }
    ],
}


class SizedWork(ServerHandler):
    """Answers ``/a/BYTES/PAUSE_MS`` with so many bytes after so long a time."""

    def prepare(self):
        super().prepare()
        self.set_header("Berylstage-Backend-Load", f"1,0,{SLOTS},100")

    async def get(self):
        request_id = self.request.headers["Berylstage-Attempt-Id"]
        _, _, size, pause_ms = self.request.path.split("/")
        self.server.ran.append(request_id)
        await asyncio.sleep(int(pause_ms) / 1000)
        self.set_header("Berylstage-Backend-Signature", self.server.name)
        self.write(answer_body(request_id, int(size)))

    post = get


class FreeHealth(Health):
    """Tells that there is room."""

    def prepare(self):
        super().prepare()
        self.set_header("Berylstage-Backend-Load", f"0,0,{SLOTS},100")


class StoppingVm(Vm):
    """A VM with what its callers need."""

    def __init__(self, number, folder, store_port):
        super().__init__(number, folder, store_port)
        self.told_at = None

    @property
    def front(self):
        return (self.ip, self.ports[0])

    def tell(self, number):
        """Send a signal, whatever has become of the process."""
        self.process.send_signal(number)

    def stop(self):
        self.told_at = time.monotonic()
        self.tell(signal.SIGTERM)

    async def at(self, seconds):
        """Wait until so long after SIGTERM."""
        await asyncio.sleep(self.told_at + seconds - time.monotonic())

    async def ended(self):
        """Wait for the end of the process, and return its exit status."""
        while self.process.poll() is None:
            left = self.told_at + GRACE_S - time.monotonic()
            assert left > 0, f"still running at the end of its stop time: {self.tail()}"
            await asyncio.sleep(0.01)
        return self.process.returncode

    def lines(self, message):
        self.log.seek(0)
        lines = [json.loads(line) for line in self.log]
        return [line for line in lines if line["message"] == message]

    def tail(self):
        self.log.seek(0)
        return self.log.read()[-2000:]


class Stage:
    """What a play runs on; to be entered.

    Parameters
    ----------
    folder : Path
    vms : int
    """

    def __init__(self, folder, vms=1):
        self._folder = folder
        self._count = vms
        self._servers = []
        self._callers = []
        self._number = 0
        self.vms = []

    async def __aenter__(self):
        state, store_port = StoreState(), free_port()
        HTTPServer(store_application(state)).listen(store_port, "127.0.0.1")
        for name in ("i-1", "i-2"):
            self._serve(state, name)
        state.put("op/config", json.dumps(CONFIGURATION).encode())
        for number in range(1, self._count + 1):
            self.vms.append(StoppingVm(number, self._folder, store_port))
        for vm in self.vms:
            await until(vm.ready)
        return self

    async def __aexit__(self, *exc):
        for caller in self._callers:
            caller.close()
        for vm in self.vms:
            vm.process.kill()
            vm.process.wait()

    def _serve(self, state, name):
        server, port = Server(name), free_port()
        own = {"server": server}
        rows = [(r"/healthz", FreeHealth, own), (r"/.*", SizedWork, own)]
        application = Application(rows, log_function=lambda handler: None)
        HTTPServer(application).listen(port, "127.0.0.1")
        record = {
            "address": f"127.0.0.1:{port}",
            "born": 1,
            "info": {"service": "s", "version": "v", "zone": "a", "slots": SLOTS},
            "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
        }
        state.put(f"servers/{name}", json.dumps(record).encode())
        self._servers.append(server)

    @property
    def ran(self):
        """Ids of the requests that a target has run."""
        return [run for server in self._servers for run in server.ran]

    def number(self):
        self._number += 1
        return self._number

    async def caller(self, vm, link_mbps=None, reads=True):
        """Return a new connection to a VM."""
        caller = Caller(vm.front, link_mbps, reads)
        self._callers.append(caller)
        await caller.connect()
        return caller
