"""A store, targets and VM processes for tests in which a VM is stopped."""

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
from slow_caller import Caller, build_answer_body
from test_start import VmProcess, free_port, wait_until
from tornado.httpserver import HTTPServer
from tornado.web import Application

# Requests that a target accepts at once: enough for all callers of a test.
TARGET_SLOTS = 1000
# Connections that a target accepts; each VM uses its share of them.
MAX_TARGET_CONNECTIONS = 20_000
# Connections that may wait for a target to accept them.
LISTEN_BACKLOG = 4096
# Route timeout, so the longest time for which a target may work on a request.
ROUTE_TIMEOUT_MS = 20_000
# Seconds from SIGTERM within which the process must exit, as operators configure it.
STOP_GRACE_SECONDS = 6.0


def _route(name, prefix, kind):
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": ROUTE_TIMEOUT_MS,
        "target_latency_ms": ROUTE_TIMEOUT_MS,
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
            "max_conns": MAX_TARGET_CONNECTIONS,
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


class SizedAnswerHandler(ServerHandler):
    """Answers ``/a/BYTES/PAUSE_MS`` with BYTES bytes after PAUSE_MS milliseconds."""

    def prepare(self):
        super().prepare()
        self.set_header("Berylstage-Backend-Load", f"1,0,{self.server.slots},100")

    async def get(self):
        request_id = self.request.headers["Berylstage-Attempt-Id"]
        _, _, size, pause_ms = self.request.path.split("/")
        self.server.ran.append(request_id)
        await asyncio.sleep(int(pause_ms) / 1000)
        self.set_header("Berylstage-Backend-Signature", self.server.name)
        self.write(build_answer_body(request_id, int(size)))

    post = get


class IdleHealth(Health):
    """Health check that reports an idle target."""

    def prepare(self):
        super().prepare()
        self.set_header("Berylstage-Backend-Load", f"0,0,{self.server.slots},100")


class StoppingVm(VmProcess):
    """A VM process that the test stops with SIGTERM."""

    extra_settings: tuple[str, ...] = ()

    def __init__(self, number, folder, store_port):
        super().__init__(number, folder, store_port, self.extra_settings)
        self.sigterm_at = None

    @property
    def front_address(self):
        return (self.ip, self.ports[0])

    @property
    def control_address(self):
        return (self.ip, self.ports[2])

    def send_signal(self, number):
        """Send a signal to the process; do nothing if it has exited."""
        self.process.send_signal(number)

    def stop(self):
        self.sigterm_at = time.monotonic()
        self.send_signal(signal.SIGTERM)

    async def wait_until_after_sigterm(self, seconds):
        """Wait until the given number of seconds after SIGTERM."""
        await asyncio.sleep(self.sigterm_at + seconds - time.monotonic())

    async def wait_for_exit(self):
        """Wait for the process to exit and return its exit status."""
        while self.process.poll() is None:
            left = self.sigterm_at + STOP_GRACE_SECONDS - time.monotonic()
            assert left > 0, (
                f"process still runs after its stop grace time: {self.read_log_tail()}"
            )
            await asyncio.sleep(0.01)
        return self.process.returncode

    def read_log_entries(self, message):
        self.log.seek(0)
        lines = [json.loads(line) for line in self.log]
        return [line for line in lines if line["message"] == message]

    def read_log_tail(self):
        self.log.seek(0)
        return self.log.read()[-2000:]


class BusyVm(StoppingVm):
    """A VM whose event loop is busy for a while after each SIGUSR1."""

    launcher = ("tests/busy_vm.py",)


class SmallVm(StoppingVm):
    """A VM with the least memory for bodies and answers, 4 MiB."""

    extra_settings = ("limits.memory_mb=64",)


class StopEnvironment:
    """Context manager that starts a store, two targets and the VMs.

    Parameters
    ----------
    folder : Path
        Directory for the VMs' settings and logs.
    vms : int
        Number of VMs.
    vm_class : type
        Class of the VM processes.
    slots : int
        Requests that a target runs at once.
    """

    configuration = CONFIGURATION

    def __init__(self, folder, vms=1, vm_class=StoppingVm, slots=TARGET_SLOTS):
        self._folder = folder
        self._vm_class = vm_class
        self._slots = slots
        self._vm_count = vms
        self._servers = []
        self._callers = []
        self._last_request_number = 0
        self.store = StoreState()
        self.vms = []

    async def __aenter__(self):
        state, store_port = self.store, free_port()
        HTTPServer(store_application(state)).listen(store_port, "127.0.0.1")
        for name in ("i-1", "i-2"):
            self._start_target(state, name)
        state.put("op/config", json.dumps(self.configuration).encode())
        for number in range(1, self._vm_count + 1):
            self.vms.append(self._vm_class(number, self._folder, store_port))
        for vm in self.vms:
            await wait_until(vm.is_ready)
        return self

    async def __aexit__(self, *exc):
        for caller in self._callers:
            caller.close()
        for vm in self.vms:
            vm.process.kill()
            vm.process.wait()

    def _start_target(self, state, name):
        server, port = Server(name, self._slots), free_port()
        own = {"server": server}
        rows = [(r"/healthz", IdleHealth, own), (r"/.*", SizedAnswerHandler, own)]
        application = Application(rows, log_function=lambda handler: None)
        http_server = HTTPServer(application)
        http_server.listen(port, "127.0.0.1", backlog=LISTEN_BACKLOG)
        record = {
            "address": f"127.0.0.1:{port}",
            "born": 1,
            "info": {
                "service": "s",
                "version": "v",
                "zone": "a",
                "slots": self._slots,
            },
            "status": {"state": "ready", "sequence": 1, "warmup_left_ms": 0},
        }
        state.put(f"servers/{name}", json.dumps(record).encode())
        self._servers.append(server)

    @property
    def ran(self):
        """Ids of the requests that the targets have run."""
        return [run for server in self._servers for run in server.ran]

    def next_request_number(self):
        self._last_request_number += 1
        return self._last_request_number

    async def connect_caller(self, vm, link_mbps=None, reads=True):
        """Return a new connection to a VM."""
        caller = Caller(vm.front_address, link_mbps, reads)
        self.add_caller(caller)
        await caller.connect()
        return caller

    def add_caller(self, caller):
        """Close the connection of a caller when the environment ends."""
        self._callers.append(caller)
