"""VMs with routers that send to targets which ask for less, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.assignment import Assignment, KeyRange
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import EntryError
from berylstage_entry.protocols import CallerRequest, Record, TargetAnswer
from berylstage_entry.router import Router
from berylstage_entry.targets import TargetNotice
from fakes import BOUNDS, configuration, target

# The targets' rule of rest: seconds in which a VM must react, and the requests that may
# come after them.
REACTION_SECONDS = 0.5
MAX_REQUESTS_IN_REST = 2


class Rest:
    """Rest for which a target has asked one process of a VM."""

    def __init__(self, target, vm, start, end):
        self.target, self.vm, self.start, self.end = target, vm, start, end


class Arrival:
    """Arrival of a request at a target from one process of a VM."""

    def __init__(self, target, vm, at):
        self.target, self.vm, self.at = target, vm, at


class PlayedTarget:
    """A target that rests or leaves when the play says so."""

    def __init__(self, fleet, name):
        self.name = name
        self.rest_seconds = 0.0
        self.is_leaving = False
        self._fleet = fleet

    async def answer(self, vm):
        fleet = self._fleet
        await asyncio.sleep(fleet.draw_delay())
        fleet.arrivals.append(Arrival(self.name, vm, now()))
        if self.rest_seconds:
            rest = Rest(self.name, vm, now(), now() + self.rest_seconds)
            notice = TargetNotice(rest_seconds=self.rest_seconds)
            result = TargetAnswer(503, [], b"", True, False, False, None, False, notice)
        else:
            rest = None
            await asyncio.sleep(fleet.draw_delay())
            notice = TargetNotice(is_leaving=self.is_leaving)
            result = TargetAnswer(200, [], b"", False, False, True, None, False, notice)
        await asyncio.sleep(fleet.draw_delay())
        if rest is not None:
            rest.start = now()
            fleet.rests.append(rest)
        return result


class Client:
    def __init__(self, vm, played):
        self._vm = vm
        self._played = played

    async def send(self, req, seconds, fresh=False, attempt=None):
        return await self._played.answer(self._vm)


class Clients:
    def __init__(self, vm, targets):
        self._vm = vm
        self._targets = targets

    def get(self, target, connections):
        return Client(self._vm, self._targets[target.name])

    def retain(self, names):
        pass


class Watcher:
    """Assigns all keys to one target."""

    assignment_revisions = {"s": 1}

    def __init__(self, owner):
        self.assignments = {"s": Assignment([KeyRange(0, 65535, owner, 1, 5)], 9)}

    def request_refresh(self, cause=""):
        pass


class NoticeVm:
    """One process of a VM."""

    def __init__(self, fleet):
        self.view = ClusterView()
        cfg = configuration(1, fleet.owns_keys)
        self.view.apply(Record(configuration=cfg), now(), False)
        for name in fleet.targets:
            self.view.apply(Record(target=target(name)), now(), False)
        clients = Clients(self, fleet.targets)
        watcher = Watcher(next(iter(fleet.targets)))
        self.router = Router(self.view, watcher, clients, BOUNDS, fleet.rng)


class NoticeFleet:
    """VMs and their targets.

    Parameters
    ----------
    loop : VirtualLoop
    owns_keys : bool
    vms, targets : int
    seed : int
    """

    def __init__(self, loop, owns_keys=True, vms=3, targets=2, seed=1):
        self.loop = loop
        self.owns_keys = owns_keys
        self.rng = Random(seed)
        # Longest time of each of the three parts of a request's way.
        self.max_delay = 0.05
        self.targets = {}
        for number in range(targets):
            self.targets[f"t-{number}"] = PlayedTarget(self, f"t-{number}")
        self.vms = [NoticeVm(self) for _ in range(vms)]
        self.rests = []
        self.arrivals = []
        self.outcomes = []

    def draw_delay(self):
        return self.rng.uniform(0.0, self.max_delay)

    def restart(self, number):
        self.vms[number] = NoticeVm(self)

    def run(self, seconds, rate):
        """Run for some seconds, in which requests come to random VMs."""

        async def play():
            end = now() + seconds
            tasks = []
            while now() < end:
                await asyncio.sleep(self.rng.expovariate(rate))
                vm = self.rng.choice(self.vms)
                tasks.append(asyncio.create_task(self._request(vm)))
            await asyncio.gather(*tasks)

        self.loop.run_until_complete(play())

    async def _request(self, vm):
        key = 7 if self.owns_keys else None
        began = now()
        req = CallerRequest("id", "GET", "h", "/a/", {}, 1.0, key)
        try:
            done = await vm.router.serve(req)
            self.outcomes.append((now() - began, done.answer.status, None))
        except EntryError as exc:
            self.outcomes.append((now() - began, 503, exc))

    def find_disturbed_rests(self):
        """Return the number of requests in each rest that had too many."""
        counts = [
            sum(
                a.target == rest.target
                and a.vm is rest.vm
                and rest.start + REACTION_SECONDS <= a.at <= rest.end
                for a in self.arrivals
            )
            for rest in self.rests
        ]
        return [count for count in counts if count > MAX_REQUESTS_IN_REST]
