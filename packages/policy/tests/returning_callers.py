"""A model of callers that return to an overloaded queue after a refusal."""

from __future__ import annotations

import heapq
from itertools import count
from random import Random

from berylstage_policy.remaining_times import RemainingTimes
from berylstage_policy.service_times import ServiceTimes
from berylstage_policy.slot_queue import SlotQueue
from berylstage_policy.slot_requests import PermitStatus, QueuedRequest, RequestId

RENEWAL_SECONDS = 0.1
MAX_RETRIES = 2
# Share of the time left up to which a caller honours Retry-After.
HONOURED_SHARE = 1 / 3
# How long callers wait that do not honour it.
OWN_PAUSE_SECONDS = (0.05, 0.2)


class FixedTimes(ServiceTimes):
    """The same service time for all requests."""

    def __init__(self, seconds):
        self._seconds = seconds

    def seconds(self, target, kind):
        return self._seconds

    def locality_penalty(self, target, origin, kind):
        return 0.0


class Load:
    """Requests of one kind, and the caller's limits.

    Parameters
    ----------
    slots : int
    work, objective, deadline : float
        Seconds.
    phases : list of tuple of float
        Length in seconds and arrivals as a multiple of capacity, one after the other.
    impatient : float
        Share of callers that do not wait as long as they are told.
    """

    def __init__(self, slots, work, objective, deadline, phases, impatient=0.0):
        self.slots = slots
        self.work = work
        self.objective = objective
        self.deadline = deadline
        self.phases = phases
        self.impatient = impatient


class Caller:
    def __init__(self, began, deadline, is_impatient):
        self.began = began
        self.deadline = deadline
        self.is_impatient = is_impatient
        self.attempts = 0


class Outcome:
    """Counts of a play."""

    def __init__(self):
        self.callers = 0
        self.in_time = 0
        self.late = 0
        self.refusals = 0
        # Refused attempts that waited for a promised slot, and those of them whose
        # next attempt was refused again.
        self.promises = 0
        self.broken = 0

    def worth(self, late_worth):
        """Return the worth of all answers, relative to the number of callers."""
        return (self.in_time + late_worth * self.late) / self.callers

    def __repr__(self):
        return str(vars(self))


class Play:
    """Plays a load against one queue in virtual time."""

    def __init__(self, load, seed, keeps_promises, counts_age):
        self.load = load
        self.rng = Random(seed)
        self.queue = SlotQueue(FixedTimes(load.work))
        self.queue.set_targets({"a": load.slots})
        self.queue.callers_may_return = keeps_promises
        self.counts_age = counts_age
        self.times = RemainingTimes()
        self.outcome = Outcome()
        self.callers = {}
        self.promised = set()
        self.queued = set()
        self.numbers = count()
        self.events = []
        self.order = count()

    def add(self, at, event, *args):
        heapq.heappush(self.events, (at, next(self.order), event, args))

    def run(self):
        self.add_arrivals()
        while self.events:
            at, _, event, args = heapq.heappop(self.events)
            event(at, *args)
        return self.outcome

    def add_arrivals(self):
        load, at, end = self.load, 0.0, 0.0
        for seconds, share in load.phases:
            end += seconds
            while at < end:
                at += self.rng.expovariate(share * load.slots / load.work)
                deadline = at + load.deadline * self.rng.uniform(0.85, 1.0)
                is_impatient = self.rng.random() < load.impatient
                self.add(at, self.attempt, Caller(at, deadline, is_impatient))
                self.outcome.callers += 1

    def attempt(self, at, caller):
        load = self.load
        caller.attempts += 1
        left = caller.deadline - at
        self.times.record("kind", left, at)
        age = 0.0
        if self.counts_age:
            age = self.times.least_age("kind", load.objective, left)
        req = QueuedRequest(
            RequestId("vm", next(self.numbers)),
            "kind",
            "",
            1,
            at + load.objective - age,
            load.objective,
            caller.deadline,
            at,
        )
        self.callers[req.request_id] = caller
        self.apply(at, self.queue.request(req, at))
        if req.request_id in self.queued:
            self.add(at + RENEWAL_SECONDS, self.renew, req)

    def renew(self, at, req):
        if req.request_id in self.queued:
            self.apply(at, self.queue.request(req, at))
            self.add(at + RENEWAL_SECONDS, self.renew, req)

    def apply(self, at, decisions):
        for decision in decisions:
            request_id = decision.request_id
            caller = self.callers[request_id]
            if decision.status is PermitStatus.QUEUED:
                self.queued.add(request_id)
                continue
            self.queued.discard(request_id)
            if decision.status is PermitStatus.GRANTED:
                work = self.load.work * self.rng.uniform(0.5, 1.5)
                self.add(at + work, self.end, request_id)
                continue
            self.outcome.refusals += 1
            self.outcome.broken += caller in self.promised
            self.promised.discard(caller)
            self.retry(at, caller, decision)

    def retry(self, at, caller, decision):
        left = caller.deadline - at
        if caller.attempts > MAX_RETRIES:
            return
        wait = self.rng.uniform(*OWN_PAUSE_SECONDS)
        if not caller.is_impatient and decision.retry_after <= HONOURED_SHARE * left:
            wait = decision.retry_after
            if decision.is_promised:
                self.promised.add(caller)
                self.outcome.promises += 1
        if wait < left:
            self.add(at + wait, self.attempt, caller)

    def end(self, at, request_id):
        caller = self.callers[request_id]
        self.promised.discard(caller)
        if at - caller.began <= self.load.objective:
            self.outcome.in_time += 1
        elif at <= caller.deadline:
            self.outcome.late += 1
        self.apply(at, self.queue.release(request_id, at))
