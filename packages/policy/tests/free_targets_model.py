"""A model of one service without keys: VMs, targets and one queue, in virtual time.

Targets have a lasting speed each and slow periods, as in the installation whose load it
plays. Callers do not retry. Connections are counted as the VMs would open them.
"""

from __future__ import annotations

import heapq
from bisect import bisect_left
from itertools import count
from math import exp, log
from random import Random

from berylstage_policy.completion import OTHER_DATA_CENTRE, ServiceLoads
from berylstage_policy.service_times import ServiceTimes
from berylstage_policy.slot_queue import SlotQueue
from berylstage_policy.slot_requests import PermitStatus, QueuedRequest, RequestId
from berylstage_policy.target_slots import TargetReport

# Seconds after which a target closes a connection that is not used.
IDLE_SECONDS = 7.0
# Share of the time for which neighbours slow a machine, by how much, and for how long.
SLOW_SHARE = 0.2
SLOW_FACTOR = 3.0
SLOW_SECONDS = 0.4
# Spread of the work of one kind.
WORK_SPREAD = 0.3
# Seconds until a queued request is renewed, and between checks of the queue.
RENEWAL_SECONDS = 0.1
CHECK_SECONDS = 0.02


class Kind:
    """A kind of requests."""

    def __init__(self, name, rate, work, objective, deadline, priority=1, bursts=()):
        self.name = name
        self.rate = rate
        self.work = work
        self.objective = objective
        self.deadline = deadline
        self.priority = priority
        # Start, end and factor of times with another rate.
        self.bursts = bursts

    def rate_at(self, now):
        """Return the requests per second at a time."""
        factor = next((f for start, end, f in self.bursts if start <= now < end), 1.0)
        return self.rate * factor


class Clock(ServiceTimes):
    """Service times as a permit server knows them, at the model's time."""

    def __init__(self, model):
        self.model = model
        self.loads = ServiceLoads(Random(1))

    def seconds(self, target, kind):
        return self.loads.service_seconds(target, kind, self.model.now)

    def locality_penalty(self, target, origin, kind):
        return 0.0 if self.model.centres[target] == origin else OTHER_DATA_CENTRE

    def data_centre(self, target):
        return self.model.centres[target]


class Request:
    """A caller's request."""

    def __init__(self, kind, number, vm, came, work):
        self.kind = kind
        self.id = RequestId(vm, number)
        self.came = came
        self.work = work
        self.target = ""


class Outcome:
    """Counts of one kind."""

    def __init__(self):
        self.requests = self.in_time = self.late = self.refused = 0
        self.seconds = 0.0
        # Times of arrivals and of grants.
        self.arrivals = []
        self.grants = []
        # Requests and answers in time by second of arrival.
        self.by_second = {}

    @property
    def mean_seconds(self):
        return self.seconds / max(1, self.in_time + self.late)

    @property
    def in_time_share(self):
        return self.in_time / max(1, self.requests)

    def granted_share(self, start, end):
        """Return the grants over the requests of some seconds."""
        arrivals, grants = (
            bisect_left(times, end) - bisect_left(times, start)
            for times in (self.arrivals, self.grants)
        )
        return grants / max(1, arrivals)

    def share_between(self, start, end):
        """Return the share in time of the requests that arrived in some seconds."""
        known = [v for second, v in self.by_second.items() if start <= second < end]
        return sum(good for _, good in known) / max(1, sum(n for n, _ in known))


class Model:
    """One play.

    Parameters
    ----------
    kinds : sequence of Kind
    queue : callable
        Returns the queue for some service times.
    seconds : float
    seed : int
    """

    def __init__(
        self,
        kinds,
        queue=SlotQueue,
        seconds=30.0,
        seed=1,
        vms=84,
        targets=46,
        slots=6,
        centres=3,
        speeds=(0.5, 1.5),
    ):
        self.kinds = kinds
        self.seconds = seconds
        self.now = 0.0
        self.rng = Random(seed)
        self.slots = slots
        self.vms = [f"10.0.{n // 250}.{n % 250}" for n in range(vms)]
        self.vm_centres = {vm: f"dc-{n % centres}" for n, vm in enumerate(self.vms)}
        self.targets = [f"price-desk-{n}" for n in range(targets)]
        self.centres = {
            name: f"dc-{n % centres}" for n, name in enumerate(self.targets)
        }
        self.speeds = {name: self.rng.uniform(*speeds) for name in self.targets}
        self.times = Clock(self)
        self.queue = queue(self.times)
        self.queue.set_targets(dict.fromkeys(self.targets, slots))
        self.running = dict.fromkeys(self.targets, 0)
        self.requests = {}
        self.outcomes = {kind.name: Outcome() for kind in kinds}
        self.events = []
        self.order = count()
        self.numbers = count(1)
        self.slow = {}
        # Times of the last use of unused connections, by VM and target.
        self.idle = {}
        self.new_connections = self.crossed = self.sent = 0

    def at(self, when, step, *args):
        """Plan a step."""
        heapq.heappush(self.events, (when, next(self.order), step, args))

    def run(self):
        """Play to the end and return the model."""
        for kind in self.kinds:
            self.at(self.rng.expovariate(kind.rate_at(0.0)), self.arrive, kind)
        self.at(0.0, self.check)
        while self.events:
            now, _, step, args = heapq.heappop(self.events)
            if now > self.seconds:
                break
            self.now = now
            step(*args)
        return self

    def reset_counts(self):
        """Start to count connections and sent requests from here."""
        self.new_connections = self.crossed = self.sent = 0

    def pace(self, target):
        """Return the present time for the usual work at a target."""
        period = int(self.now / SLOW_SECONDS), target
        if period not in self.slow:
            self.slow[period] = self.rng.random() < SLOW_SHARE
        return self.speeds[target] * (SLOW_FACTOR if self.slow[period] else 1.0)

    def arrive(self, kind):
        """Let a request arrive."""
        self.at(
            self.now + self.rng.expovariate(kind.rate_at(self.now)), self.arrive, kind
        )
        work = exp(self.rng.gauss(log(kind.work) - WORK_SPREAD**2 / 2, WORK_SPREAD))
        req = Request(
            kind, next(self.numbers), self.rng.choice(self.vms), self.now, work
        )
        self.requests[req.id] = req
        outcome = self.outcomes[kind.name]
        outcome.requests += 1
        outcome.arrivals.append(self.now)
        requests, good = outcome.by_second.get(int(self.now), (0, 0))
        outcome.by_second[int(self.now)] = requests + 1, good
        self.ask(req.id)

    def ask(self, request_id):
        """Ask for a permit, or renew the place in the queue."""
        req = self.requests.get(request_id)
        if req is None or req.target:
            return
        kind = req.kind
        queued = QueuedRequest(
            req.id,
            kind.name,
            self.vm_centres[req.id.host],
            kind.priority,
            req.came + kind.objective,
            kind.objective,
            req.came + kind.deadline,
            self.now,
        )
        self.decide(self.queue.request(queued, self.now))
        self.at(self.now + RENEWAL_SECONDS, self.ask, request_id)

    def check(self):
        """Check the queue, as the permit server does at intervals."""
        self.decide(self.queue.grant_due(self.now))
        self.at(self.now + CHECK_SECONDS, self.check)

    def decide(self, decisions):
        """Carry out the queue's decisions."""
        for decision in decisions:
            req = self.requests.get(decision.request_id)
            if req is None or req.target:
                continue
            if decision.status is PermitStatus.GRANTED:
                self.send(req, decision.target)
            elif decision.status is PermitStatus.REFUSED:
                self.outcomes[req.kind.name].refused += 1
                del self.requests[req.id]

    def send(self, req, target):
        """Send a request to its target, which has a free slot."""
        req.target = target
        self.outcomes[req.kind.name].grants.append(self.now)
        self.sent += 1
        self.crossed += self.centres[target] != self.vm_centres[req.id.host]
        idle = self.idle.setdefault((req.id.host, target), [])
        if idle and self.now - idle[-1] < IDLE_SECONDS:
            idle.pop()
        else:
            idle.clear()
            self.new_connections += 1
        self.running[target] += 1
        assert self.running[target] <= self.slots
        self.at(self.now + req.work * self.pace(target), self.answer, req)

    def answer(self, req):
        """Answer a request."""
        target, kind = req.target, req.kind
        self.running[target] -= 1
        self.idle[req.id.host, target].append(self.now)
        outcome = self.outcomes[kind.name]
        took = self.now - req.came
        outcome.seconds += took
        if took <= kind.objective:
            outcome.in_time += 1
            requests, good = outcome.by_second[int(req.came)]
            outcome.by_second[int(req.came)] = requests, good + 1
        else:
            outcome.late += 1
        del self.requests[req.id]
        loads, pace = self.times.loads, self.pace(target)
        load = loads.load(target, self.slots)
        load.record_report(self.running[target], self.slots, pace, self.now)
        loads.record_report(load)
        loads.record_service_time(target, kind.name, req.work)
        report = TargetReport(target, self.running[target])
        self.decide(self.queue.release(req.id, self.now, report))
