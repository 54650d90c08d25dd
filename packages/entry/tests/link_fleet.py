"""VMs and targets in virtual time, with a matrix of links that can be cut."""

from __future__ import annotations

import asyncio
from enum import Enum
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.link_check import CHECK_TIMEOUT_SECONDS, CheckResult
from berylstage_entry.membership import Member
from berylstage_entry.metrics import Metrics
from berylstage_entry.protocols import CallerRequest, Record, TargetAnswer
from berylstage_entry.relay_client import RelayClient
from berylstage_entry.relay_server import RelayServer
from berylstage_entry.request_context import RequestContext
from berylstage_entry.router import Router
from berylstage_transfers.errors import (
    AnswerLost,
    ConnectionRefused,
    NeverSent,
    NotConnected,
)
from berylstage_transfers.send_queue import SendQueue
from fakes import BOUNDS, configuration, settings, target

SERVICE_SECONDS = 0.05
HOP_SECONDS = 0.002


class Link(Enum):
    """State of the link from one VM to one target."""

    WORKS = "works"
    # Bytes are lost; open connections hang and new ones are not established.
    SILENT = "silent"
    RESET = "reset"


class LinkMatrix:
    """Links of all VMs, and the targets that are down."""

    def __init__(self):
        self.links: dict[tuple[str, str], Link] = {}
        self.down: set[str] = set()

    def state(self, vm, name):
        return self.links.get((vm, name), Link.WORKS)

    def cut(self, vms, names, state):
        for vm in vms:
            for name in names:
                self.links[vm, name] = state

    def heal(self):
        self.links.clear()


class FakeCall:
    """Stands for the client and the call of an attempt."""

    def __init__(self):
        self.ended = asyncio.get_running_loop().create_future()
        self.status = 0
        self.is_silent = False
        # When the target's machine has the bytes.
        self.acknowledged_at = now()

    def abort(self, call, cause):
        if not self.ended.done():
            self.ended.set_exception(AnswerLost(cause))

    def has_unacknowledged_bytes(self, call):
        return self.is_silent or now() < self.acknowledged_at

    def find_send_queue(self, call):
        return SendQueue(0, 400) if self.is_silent else None


class FleetClient:
    """Connections of one VM to one target; every other request needs a new one."""

    def __init__(self, fleet, vm, name):
        self._fleet = fleet
        self._vm = vm
        self._name = name
        self._requests = 0

    async def send(self, req, seconds, fresh=False, attempt=None):
        self._requests += 1
        fleet, state = self._fleet, self._fleet.matrix.state(self._vm, self._name)
        is_new = fleet.opens_connections and self._requests % 2 == 0
        if self._name in fleet.matrix.down or (is_new and state is Link.RESET):
            raise ConnectionRefused("refused")
        if is_new and state is Link.SILENT:
            await asyncio.sleep(CHECK_TIMEOUT_SECONDS)
            raise NotConnected("timed out")
        call = FakeCall()
        attempt.start(call, call)
        if state is Link.RESET:
            raise AnswerLost("reset")
        call.is_silent = state is Link.SILENT
        acknowledged_at = fleet.acknowledged_at.get((self._vm, self._name), now())
        call.acknowledged_at = max(now(), acknowledged_at)
        answer_seconds = call.acknowledged_at - now() + SERVICE_SECONDS
        if not call.is_silent:
            fleet.runs.append((req.request_id, self._vm, self._name))
        try:
            async with asyncio.timeout(seconds if call.is_silent else answer_seconds):
                await call.ended
        except TimeoutError:
            if call.is_silent:
                raise AnswerLost("timed out") from None
        signature = [("signature", self._name)]
        return TargetAnswer(200, signature, b"", False, False, True, None, False)


class FleetClients:
    """Clients of one VM."""

    def __init__(self, fleet, vm):
        self._fleet = fleet
        self._vm = vm
        self._clients = {}

    def get(self, target, connections):
        client = FleetClient(self._fleet, self._vm, target.name)
        return self._clients.setdefault(target.name, client)

    def fail_queued(self, name, cause):
        pass

    def retain(self, names):
        pass


class FleetTransport:
    """Carries messages between the VMs; a VM that has ended is not reached."""

    def __init__(self, fleet):
        self._fleet = fleet

    async def post(self, address, body, seconds):
        await asyncio.sleep(HOP_SECONDS)
        vm = self._fleet.vms[address.partition(":")[0]]
        if vm.has_ended:
            raise NeverSent("refused")
        self._fleet.hops += 1
        return (await vm.relay_server.handle(body)).body


def make_settings(name, regions=None):
    """Return the settings of a VM whose address is its name."""
    cfg = settings(name)
    cfg.control_address = f"{name}:1"
    cfg.regions = regions or {}
    return cfg


class FleetVm:
    """The components of one VM that send requests to targets."""

    def __init__(self, fleet, name, rng):
        self.name = name
        self.has_ended = False
        view = ClusterView()
        view.apply(Record(configuration=configuration(owns_keys=False)), now(), False)
        for each in fleet.targets:
            view.apply(Record(target=target(each)), now(), False)
        self.view = view
        clients = FleetClients(fleet, name)
        self.router = Router(view, None, clients, BOUNDS, rng, "dc-1", name)
        self.links = self.router.links
        self.links.check_link = self._check_link
        self.fleet = fleet
        self.router.sender.relay_client = RelayClient(
            fleet, make_settings(name), rng, FleetTransport(fleet)
        )
        self.relay_server = RelayServer(self.router, view, 1.0, Metrics())
        self.links.start()

    async def _check_link(self, address):
        name = self.fleet.names_by_address[address]
        state = self.fleet.matrix.state(self.name, name)
        if state is Link.SILENT:
            await asyncio.sleep(CHECK_TIMEOUT_SECONDS)
            return CheckResult.SILENT
        is_refused = state is Link.RESET or name in self.fleet.matrix.down
        return CheckResult.REFUSED if is_refused else CheckResult.ACCEPTED

    async def send(self, number, name, is_order):
        """Send a request to a target; return the outcome in a word."""
        cfg = self.view.configuration
        route = cfg.routes[0]
        route.idempotent = not is_order
        req = CallerRequest(f"r-{number}", "GET", "h", "/a/x", {}, 1.0, None)
        service = cfg.services["s"]
        ctx = RequestContext(req, route, service, now() + 1.0, now() + 1.0, 1)
        known = self.view.known[name].target
        attempts = 2 if not is_order else 1
        for _ in range(attempts):
            try:
                await self.router.sender.send(
                    ctx, known, 0.05, lambda: None, lambda: ctx.route.idempotent
                )
            except NeverSent:
                return "unsent"
            except AnswerLost:
                continue
            return "answered"
        return "lost"


class LinkFleet:
    """A number of VMs and targets, and the requests that targets have run."""

    def __init__(self, vms=4, targets=5, seed=1):
        rng = Random(seed)
        self.rng = rng
        self.matrix = LinkMatrix()
        self.targets = [f"i-{n}" for n in range(targets)]
        self.names_by_address = {target(n).address: n for n in self.targets}
        self.runs = []
        # Until when bytes of a VM to a target wait on the VM's own link.
        self.acknowledged_at = {}
        self.hops = 0
        # Whether every other request of a VM to a target needs a new connection.
        self.opens_connections = True
        self.vms = {}
        for n in range(vms):
            name = f"vm-{n}"
            self.vms[name] = FleetVm(self, name, Random(rng.random()))
        self._number = 0

    def members(self):
        """Return the VMs as the membership does."""
        return [Member(name, f"{name}:1", "dc-1", 1.0) for name in self.vms]

    async def play(self, seconds, rate=10.0, order_share=0.3):
        """Send requests of all VMs to random targets; return (vm, target, outcome)."""
        outcomes, tasks = [], []

        async def one(vm, name):
            self._number += 1
            is_order = self.rng.random() < order_share
            outcome = await vm.send(self._number, name, is_order)
            outcomes.append((vm.name, name, outcome))

        end = now() + seconds
        while now() < end:
            for vm in self.vms.values():
                if not vm.has_ended:
                    name = self.rng.choice(self.targets)
                    tasks.append(asyncio.create_task(one(vm, name)))
            await asyncio.sleep(1 / rate)
        await asyncio.gather(*tasks)
        return outcomes
