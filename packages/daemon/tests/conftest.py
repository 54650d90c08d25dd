"""Fakes at the daemon's interfaces, as fixtures."""

from __future__ import annotations

import asyncio
import json
import socket
import time
import uuid
from random import Random

import pytest
from berylstage_daemon.application import Application
from berylstage_daemon.clock import now
from berylstage_daemon.config import read_settings
from berylstage_daemon.leader import Leader
from berylstage_daemon.requests import CallerRequest
from berylstage_ownership.routing import Permit
from berylstage_platform.http import HttpStore
from berylstage_policy.thresholds import Thresholds
from berylstage_sheet.configuration import (
    Configuration,
    DataCentre,
    DataCentreState,
    Kind,
    MemberState,
    Ownership,
    RequestClass,
    Service,
    Vm,
)
from berylstage_sheet.configuration import Target as TargetEntry
from berylstage_standins.ledger_writer import LedgerWriter
from berylstage_standins.platform import Platform
from berylstage_standins.platform_server import make_server as make_platform
from berylstage_standins.target import Target
from berylstage_standins.target_server import make_server as make_target
from berylstage_standins.work import WorkSettings
from berylstage_targets.errors import OutcomeUnknown
from berylstage_targets.target import TargetClient, WorkAnswer
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.netutil import bind_sockets

LONG_ENOUGH = 30.0
SERVICES = {
    "field-log": Ownership.OWNED,
    "parts-desk": Ownership.OWNED,
    "contract-book": Ownership.FREE,
}


class FakeTarget(TargetClient):
    """A target whose answers the test gives by hand."""

    def __init__(self):
        self.sent = []
        self.cancelled = []
        self.confirms = True
        self._answers = {}

    async def send(self, req):
        self.sent.append(req)
        fut = asyncio.Future()
        self._answers[req.request_id] = fut
        return await fut

    def answer(self, number=0, body=b"done"):
        fut = self._answers[self.sent[number].request_id]
        fut.set_result(WorkAnswer(200, body, "text/plain", "run-1"))

    def fail(self, exc, number=0):
        self._answers[self.sent[number].request_id].set_exception(exc)

    async def cancel(self, request_id):
        self.cancelled.append(request_id)
        return self.confirms

    async def grant(self, order, timeout):
        raise NotImplementedError

    async def report(self, timeout):
        raise NotImplementedError

    async def close(self):
        pass


class FakeControl:
    """Counts the work in flight as the protocol core does."""

    def __init__(self):
        self.in_flight = 0
        self.unwilling = []

    def work_started(self, target, shard, deadline):
        self.in_flight += 1

    def work_ended(self, target, shard):
        self.in_flight -= 1

    def target_unwilling(self, target, reason):
        self.unwilling.append((target, reason))


class FakeLoad:
    """Keeps what was observed."""

    def __init__(self):
        self.observed = []

    def observe(self, service, shard, key, seconds):
        self.observed.append((service, shard, key))


class Rig:
    """A leader of one target with one free slot, and requests for it."""

    def __init__(self, slots=1):
        self.target = FakeTarget()
        self.control = FakeControl()
        self.permit = Permit("field-log-01", 7, 3)
        self.leader = Leader(
            "field-log-01",
            slots,
            self.target,
            self.control,
            FakeLoad(),
            Thresholds(),
            Random(1),
        )
        self.leader.seen("run-1", False)

    def request(self, request_id="r", repeatable=True, seconds=LONG_ENOUGH, **fields):
        kind = Kind("visit", RequestClass.INTERACTIVE, repeatable, 2000)
        kinds = {"visit": kind}
        service = Service("field-log", "saryarka", Ownership.OWNED, 8, kinds)
        values = {
            "request_id": request_id,
            "service": service,
            "kind": kind,
            "key": "visit-7",
            "method": "POST",
            "body": b"",
            "content_type": "",
            "caller": "",
            "idempotency_key": "" if repeatable else "order-1",
            "issued_at_ms": 0,
            "arrived": now(),
            "deadline": now() + seconds,
        }
        return CallerRequest(**{**values, **fields})

    def run(self, req):
        """Start a request and return its task."""
        work = self.leader.run(req, "field-log/7", lambda: self.permit)
        return asyncio.ensure_future(work)

    async def warm_up(self):
        """Let the target answer until all of its slots are in use."""
        while not self.leader.queue.ramp.warm:
            task = self.run(self.request())
            await settle()
            self.target.answer(-1)
            await task

    async def two(self):
        """Start two requests, of which the second waits for the first one's slot."""
        first = self.run(self.request("first"))
        await settle()
        second = self.run(self.request("second"))
        await settle()
        return first, second

    def lost(self):
        return OutcomeUnknown("no answer came", "no-answer")


async def settle():
    """Let all tasks run until they wait for something."""
    for _ in range(20):
        await asyncio.sleep(0)


@pytest.fixture
def make_rig():
    return Rig


@pytest.fixture
def let_run():
    return settle


class Path:
    """One VM, one owned and one free service, all in this process.

    All tests of a module share it, because a VM that starts needs two seconds to
    become ready. Its event loop stands still between two tests.
    """

    def __init__(self):
        self.runner = asyncio.Runner()
        self.targets = {}
        self.base = ""
        self._servers = []
        self._app = None
        self._client = None

    def run(self, work):
        """Run a coroutine on the loop of the VM."""
        return self.runner.run(work)

    async def start(self):
        """Start platform, targets and VM, and wait until all targets are led."""
        self._client = CurlAsyncHTTPClient(force_instance=True, max_clients=50)
        listed = Platform(vm_lag=0.0)
        platform = await self._serve(make_platform(listed))
        cfg = await self._configuration()
        store = HttpStore(platform, 2.0)
        await store.write("berylstage/configuration", cfg.to_json(), 0)
        await store.close()
        http, peer = _free_address(), _free_address()
        flags = {"vm": "almaty-a-1", "data-centre": "almaty-a", "request-log": "none"}
        flags |= {"platform": platform, "http": http, "peer": peer}
        listed.vm_log.record(
            "almaty-a-1",
            {
                "name": "almaty-a-1",
                "data_centre": "almaty-a",
                "http_address": http,
                "peer_address": peer,
                "leaving": False,
            },
        )
        self.base = f"http://{http}"
        self._app = Application(read_settings(flags, {}))
        await self._app.start()
        async with asyncio.timeout(LONG_ENOUGH):
            while not await self._serving():
                await asyncio.sleep(0.05)

    async def stop(self):
        """Stop everything."""
        for target in self.targets.values():
            target.faults.set({"freeze": False})
            target.apply_faults()
            target.work.drop_all()
        for part in reversed(self._app.parts()):
            await part.stop()
        self._app.links.close()
        for server in self._servers:
            server.stop()
            await server.close_all_connections()
        self._client.close()

    async def idle(self):
        """Wait until no slot is taken, as after a cancellation that is confirmed."""
        async with asyncio.timeout(LONG_ENOUGH):
            while await self._busy():
                await asyncio.sleep(0.05)

    async def _busy(self):
        """Tell whether any slot is taken."""
        response = await self.call("/-/status", "GET")
        rows = json.loads(response.body)["targets"]
        return any(row["running"] for row in rows)

    def faults(self, service, **switches):
        """Set fault switches of a service's only target."""
        target = self.targets[service]
        target.faults.set(switches)
        target.apply_faults()

    def ledger(self, service):
        """Return what the service's target did, as ledger lines."""
        return self.targets[service].ledger.lines

    async def call(self, path, method="POST", body=b"", timeout=20.0, **headers):
        """Send a caller's request and return the HTTP response."""
        named = {name.replace("_", "-"): value for name, value in headers.items()}
        payload = None if method == "GET" else body
        return await self._client.fetch(
            self.base + path,
            method=method,
            body=payload,
            headers=named,
            request_timeout=timeout,
            raise_error=False,
        )

    async def _serve(self, server):
        """Listen on a free port and return the address."""
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        self._servers.append(server)
        return "127.0.0.1:{}".format(sockets[0].getsockname()[1])

    async def _configuration(self):
        """Start the targets and return the configuration that names them."""
        work_ms = {"lookup": 1.0, "record": 1.0, "dispatch": 300.0}
        work_ms["long"] = 60_000.0
        found = {}
        for service in SERVICES:
            settings = WorkSettings(work_ms=work_ms)
            target = Target(f"{service}-01", settings, LedgerWriter(None), 50)
            address = await self._serve(make_target(target))
            self.targets[service] = target
            found[target.name] = TargetEntry(
                target.name,
                service,
                address,
                "almaty-a",
                2,
                50,
                True,
                MemberState.ACTIVE,
            )
        return Configuration(
            revision=1,
            services={name: _service(name, kept) for name, kept in SERVICES.items()},
            data_centres={"almaty-a": DataCentre("almaty-a", DataCentreState.OPEN)},
            vms={"almaty-a-1": Vm("almaty-a-1", "almaty-a", MemberState.ACTIVE)},
            targets=found,
            special_keys=[],
        )

    async def _serving(self):
        """Tell whether all services answer."""
        for service, ownership in SERVICES.items():
            response = await self.call(f"/{service}/lookup/warm-up", "GET")
            if response.code != 200:
                return False
            if ownership is Ownership.OWNED and not await self._proves_fresh(service):
                return False
        return True

    async def _proves_fresh(self, service):
        """Tell whether work that may not be repeated is let in; not so at first."""
        headers = {
            "Idempotency_Key": uuid.uuid4().hex,
            "Idempotency_Issued_At": str(int(time.time() * 1000)),
        }
        response = await self.call(f"/{service}/record/warm-up", **headers)
        return response.code == 200


def _service(name, ownership):
    """Return a service with one kind of each sort."""
    kinds = {
        "lookup": Kind("lookup", RequestClass.INTERACTIVE, True, 5000),
        "long": Kind("long", RequestClass.BATCH, True, 5000),
    }
    if ownership is Ownership.OWNED:
        kinds["visit-history"] = kinds["lookup"]
        kinds["record"] = Kind("record", RequestClass.STANDARD, False, 5000)
        kinds["dispatch"] = Kind("dispatch", RequestClass.STANDARD, False, 5000)
    return Service(name, "saryarka", ownership, 4, kinds)


def _free_address():
    """Return an address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return "127.0.0.1:{}".format(sock.getsockname()[1])


@pytest.fixture(scope="module")
def path():
    whole = Path()
    whole.run(whole.start())
    yield whole
    whole.run(whole.stop())
    whole.runner.close()
