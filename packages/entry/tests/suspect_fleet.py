"""VMs and targets in virtual time, with requests that end the targets that run them."""

from __future__ import annotations

import asyncio
from itertools import count
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.errors import RequestConvicted, TrialTimedOut
from berylstage_entry.protocols import CallerRequest
from berylstage_entry.request_context import RequestContext
from berylstage_entry.suspect_client import SuspectClient
from berylstage_entry.suspect_messages import (
    OUTCOME_REPORT_TYPE,
    SUSPECT_NEWS_TYPE,
    TRIAL_REPLY_TYPE,
    TRIAL_REQUEST_TYPE,
)
from berylstage_entry.suspect_server import SuspectServer
from berylstage_policy.suspects import SuspectRegistry
from fakes import configuration, target

# Range of the seconds that a datagram takes, and the seconds of a check of a target.
DATAGRAM_SECONDS = (0.0005, 0.01)
CHECK_SECONDS = 0.002
# Seconds that a fatal request runs before its target ends, and others run.
FATAL_SECONDS = 0.005
SERVICE_SECONDS = 0.1
RESTART_SECONDS = 1.0
TIME_LEFT_SECONDS = 1.5
SLOTS = 4
ATTEMPTS = 3


class FleetMembership:
    """All VMs, by their number alone."""

    def __init__(self, vms):
        self._members = list(range(vms))

    def members(self):
        return self._members


class FleetTarget:
    """A target with the runs that end when it does."""

    def __init__(self, name):
        self.name = name
        self.incarnation = 1
        self.is_running = True
        self.runs: set[asyncio.Future] = set()

    def end(self):
        """End, with all requests that it runs, and start again after a moment."""
        if not self.is_running:
            return
        self.is_running = False
        for run in list(self.runs):
            if not run.done():
                run.set_result(False)
        asyncio.get_running_loop().call_later(RESTART_SECONDS, self._start)

    def _start(self):
        self.incarnation += 1
        self.is_running = True

    async def run(self, seconds, is_fatal):
        """Run a request; return whether it was answered."""
        fut = asyncio.get_running_loop().create_future()
        self.runs.add(fut)
        try:
            async with asyncio.timeout(seconds):
                return await fut
        except TimeoutError:
            if is_fatal:
                self.end()
            return self.is_running or not is_fatal
        finally:
            self.runs.discard(fut)


class FleetVm:
    """The parts of a VM that deal with suspects."""

    def __init__(self, fleet, host):
        self.host = host
        self.is_running = True
        self.registry = SuspectRegistry()
        self.client = SuspectClient(self.registry, host)
        self.server = SuspectServer(self.registry, fleet.membership)
        self.client.servers_for = lambda service: fleet.servers
        self.client.send = lambda to, data: fleet.send(host, to, data)
        self.server.send = self.client.send
        self.server.send_to_all = lambda data: fleet.send_to_all(host, data)

    def receive(self, data, sender):
        """Handle a datagram, or nothing once the VM is lost."""
        if not self.is_running:
            return
        handlers = {
            TRIAL_REQUEST_TYPE: self.server.receive_request,
            OUTCOME_REPORT_TYPE: self.server.receive_report,
            TRIAL_REPLY_TYPE: self.client.receive_reply,
            SUSPECT_NEWS_TYPE: self.server.receive_news,
        }
        handlers[data[0]](data, sender)


class SuspectFleet:
    """VMs, targets and the callers of requests."""

    def __init__(self, vms=195, targets=360, seed=1, loss=0.0, has_trials=True):
        self.rng = Random(seed)
        self._has_trials = has_trials
        self._loss = loss
        self.membership = FleetMembership(vms)
        self.targets = [FleetTarget(f"t-{n}") for n in range(targets)]
        # Hosts that decide about trials, the first one first.
        self.servers = ["vm-0", "vm-1"]
        self.vms = {f"vm-{n}": FleetVm(self, f"vm-{n}") for n in range(vms)}
        self._numbers = count()
        # Moments at which targets ended by a fatal request, by its path.
        self.ends: dict[str, list[float]] = {}
        # Outcomes of requests by path.
        self.outcomes: dict[str, list[str]] = {}
        self.datagrams = 0
        cfg = configuration(owns_keys=False)
        self._route, self._service = cfg.routes[0], cfg.services["s"]

    def send_to_all(self, host, data):
        for to in self.vms:
            if to != host:
                self.send(host, to, data)

    def send(self, host, to, data):
        """Send a datagram from one VM to another, which may be the same."""
        if not self.vms[host].is_running:
            return
        if host == to:
            self.vms[to].receive(data, host)
            return
        self.datagrams += 1
        if self.rng.random() < self._loss:
            return
        loop = asyncio.get_running_loop()
        delay = self.rng.uniform(*DATAGRAM_SECONDS)
        loop.call_later(delay, self.vms[to].receive, data, host)

    async def request(self, path, is_fatal=False, owner=None, vm=None):
        """Send a request through a VM, any if not given; return its outcome.

        A request with an owner waits until that runs; others go to any target.
        """
        vm = vm or self.rng.choice([v for v in self.vms.values() if v.is_running])
        name = f"id-{next(self._numbers)}"
        req = CallerRequest(name, "GET", "h", path, {}, TIME_LEFT_SECONDS, None)
        deadline = now() + TIME_LEFT_SECONDS
        ctx = RequestContext(req, self._route, self._service, deadline, deadline)
        outcome = await self._serve(vm, ctx, is_fatal, owner)
        self.outcomes.setdefault(path, []).append(outcome)
        return outcome

    async def _serve(self, vm, ctx, is_fatal, owner):
        try:
            for _ in range(ATTEMPTS):
                chosen = await self._choose_target(owner)
                while self._has_trials and vm.client.needs_trial(ctx):
                    vm.client.release(ctx)
                    await vm.client.acquire_trial(ctx, owner.name if owner else "")
                    chosen = await self._choose_target(owner)
                is_answered = await self._attempt(vm, ctx, chosen, is_fatal)
                vm.client.release(ctx)
                if is_answered:
                    return "answered"
        except RequestConvicted:
            return "refused"
        except (TrialTimedOut, TimeoutError):
            return "late"
        finally:
            vm.client.release(ctx)
        return "lost"

    async def _choose_target(self, owner):
        async with asyncio.timeout(TIME_LEFT_SECONDS):
            while True:
                names = [owner] if owner else self.rng.sample(self.targets, 8)
                free = [t for t in names if t.is_running and len(t.runs) < SLOTS]
                if free:
                    return min(free, key=lambda t: len(t.runs))
                await asyncio.sleep(0.01)

    async def _attempt(self, vm, ctx, chosen, is_fatal):
        incarnation = chosen.incarnation
        if is_fatal:
            is_answered = await chosen.run(FATAL_SECONDS, True)
            self.ends.setdefault(ctx.req.path, []).append(now())
        else:
            is_answered = await chosen.run(SERVICE_SECONDS, False)
        if is_answered:
            vm.client.record_answer(ctx)
        else:
            await asyncio.sleep(CHECK_SECONDS)
            vm.client.record_end(ctx, target(chosen.name, incarnation))
        return is_answered

    async def repeat_fatal(self, path, attempts, pause, owner=None):
        """Repeat a fatal request as a caller does that never gives up."""
        for _ in range(attempts):
            await self.request(path, True, owner)
            await asyncio.sleep(pause)

    async def send_load(self, rate, seconds, popular_share=0.0, owner=None):
        """Send other requests, a share of which are the same popular one."""
        tasks = []
        end = now() + seconds
        while now() < end:
            is_popular = self.rng.random() < popular_share
            path = "/a/popular" if is_popular else f"/a/{next(self._numbers)}"
            used = owner if is_popular else None
            tasks.append(asyncio.create_task(self.request(path, owner=used)))
            await asyncio.sleep(self.rng.expovariate(rate))
        await asyncio.gather(*tasks)

    def count_others(self, outcome):
        """Return the number of harmless requests with an outcome."""
        return sum(
            outcomes.count(outcome)
            for path, outcomes in self.outcomes.items()
            if not path.startswith("/fatal")
        )

    def share_answered(self):
        """Return the share of harmless requests that were answered."""
        paths = [p for p in self.outcomes if not p.startswith("/fatal")]
        total = sum(len(self.outcomes[path]) for path in paths)
        return self.count_others("answered") / total
