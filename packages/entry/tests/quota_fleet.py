"""VMs that keep the quota of one workspace, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import OverQuota, Refused
from berylstage_entry.protocols import Record
from berylstage_entry.quota_client import QuotaClient
from berylstage_entry.quota_messages import (
    LOAN_REPLY_TYPE,
    LOAN_TYPE,
    TOKEN_REQUEST_TYPE,
)
from berylstage_entry.quota_server import QuotaServer
from berylstage_entry.services import Configuration, Service
from berylstage_entry.workspaces import Workspace, WorkspaceDirectory
from berylstage_policy.quota_shares import QuotaBounds
from fakes import LIMITS

BOUNDS = QuotaBounds(5.0, 0.1, 20.0)
BURST_SECONDS = 1.0


def configuration(version, rate):
    workspaces = WorkspaceDirectory([Workspace("north", ["k"], None, rate, rate)])
    service = Service("s", "/", 50, 3.0, 5.0, False)
    return Configuration(version, [], [service], LIMITS, workspaces)


class Member:
    relative_capacity = 1.0

    def __init__(self, host):
        self.host = host


class Membership:
    revision = 0

    def __init__(self, hosts):
        self._members = [Member(host) for host in hosts]

    def members(self):
        return self._members


class QuotaVm:
    """One process of a VM."""

    client_class = QuotaClient

    def __init__(self, fleet, host):
        self.host = host
        self.is_paused = False
        rng = Random(f"{host} {now()}")
        self.server = QuotaServer(fleet.view, BOUNDS, rng)
        self.client = QuotaClient(fleet.view, fleet.membership, host, rng)
        self.server.vm_count = self.client.vm_count = fleet.vms
        self.server.send = self.client.send = self._send
        self._fleet = fleet

    def _send(self, host, data):
        self._fleet.send(self.host, host, data)

    def receive(self, data, sender):
        handlers = {
            LOAN_TYPE: self.server.receive_loan,
            TOKEN_REQUEST_TYPE: self.server.receive_request,
            LOAN_REPLY_TYPE: self.client.receive_loan_reply,
        }
        handlers.get(data[0], self.client.receive_reply)(data, sender)


class QuotaFleet:
    """VMs, their datagrams, and the times at which requests got a token.

    Parameters
    ----------
    loop : VirtualLoop
    rate : float
        Requests per second of the workspace; its burst is as many.
    vms : int
    """

    vm_class = QuotaVm

    def __init__(self, loop, rate=100.0, vms=20):
        self.loop = loop
        self.vms = vms
        self.view = ClusterView()
        self.rate = rate
        self.set_rate(rate)
        self.hosts = [f"vm-{n}" for n in range(vms)]
        self.membership = Membership(self.hosts)
        # Parts of the network; hosts of different parts do not reach each other.
        self.part_of = dict.fromkeys(self.hosts, 0)
        self.rng = Random(5)
        self.max_delay = 0.002
        self.admitted = []
        self.refused = []
        self.running = {}
        self._tasks = set()

    def set_rate(self, rate):
        self.rate = rate
        version = 1 + (
            self.view.configuration.version if self.view.configuration else 0
        )
        record = Record(configuration=configuration(version, rate))
        self.view.apply(record, now(), False)

    def start(self):
        self.restart(self.hosts)
        self.run(2.0)

    def restart(self, hosts):
        for host in hosts:
            self.kill(host)

        async def start():
            for host in hosts:
                self.running[host] = self.vm_class(self, host)
                self.running[host].client.start()

        self.loop.run_until_complete(start())

    def kill(self, host):
        vm = self.running.pop(host, None)
        if vm is not None:
            vm.client.stop()

    def send(self, sender, receiver, data):
        if self.part_of[sender] == self.part_of[receiver]:
            delay = self.rng.uniform(0.0002, self.max_delay)
            self.loop.call_later(delay, self._deliver, sender, receiver, data)

    def _deliver(self, sender, receiver, data):
        vm = self.running.get(receiver)
        if vm is not None:
            vm.receive(data, sender)

    def first_server(self):
        """Return the host of the quota server of the workspace."""
        client = next(iter(self.running.values())).client
        return client._servers_for("north")[0]

    def run(self, seconds, rate=0.0, hosts=None):
        """Run for some seconds, in which requests come to random VMs."""

        async def play():
            end = now() + seconds
            while now() < end:
                gap = self.rng.expovariate(rate) if rate else seconds
                await asyncio.sleep(min(gap, end - now()))
                alive = [h for h in hosts or self.hosts if h in self.running]
                if rate and alive and now() < end:
                    task = asyncio.create_task(self._request(self.rng.choice(alive)))
                    self._tasks.add(task)
                    task.add_done_callback(self._tasks.discard)

        self.loop.run_until_complete(play())

    async def _request(self, host):
        workspaces = self.view.configuration.workspaces
        sent_at = now()
        try:
            await self.running[host].client.acquire(workspaces.by_name["north"])
        except (OverQuota, Refused) as exc:
            self.refused.append((now(), host, exc))
        else:
            self.admitted.append((sent_at, now(), host))

    def most_in_a_window(self):
        """Return the most requests sent and admitted in any window."""
        sent = sorted(self.admitted)
        most = first = 0
        for last, (sent_at, _, _) in enumerate(sent):
            while sent_at - sent[first][0] > BOUNDS.window:
                first += 1
            most = max(most, last - first + 1)
        return most

    def allowed_in_a_window(self):
        burst = BURST_SECONDS * self.rate
        quota = self.rate * BOUNDS.window + burst
        return quota + BOUNDS.tolerance(self.rate, burst)
