"""Shared fixtures: requests, and a simulated target behind one queue."""

from __future__ import annotations

import sys
from heapq import heappop, heappush
from pathlib import Path
from random import Random

import pytest
from berylstage_policy.target_queue import TargetQueue
from berylstage_policy.thresholds import DEFAULTS
from berylstage_policy.tickets import AttemptOutcome, Refuse, Start, Ticket

sys.path.insert(0, str(Path(__file__).parent))


class QueueSimulation:
    """Discrete-event simulation of arrivals at one queue and its target."""

    def __init__(self, slots=2, thresholds=DEFAULTS, is_warm=True):
        self.queue = TargetQueue(slots, thresholds, Random(1), 0.0)
        self.slots = slots
        self.events = []
        self.count = 0
        self.demands = {}
        self.tickets = {}
        self.answers = {}
        self.refusals = {}
        self.started = {}
        self.slowdown_factor = 1.0
        self.max_running = 0
        self.incarnation = "a"
        if is_warm:
            self._warm_up()

    def _warm_up(self):
        self.queue.set_reported_cold(False, 0.0)
        while not self.queue.ramp.warm:
            self.queue.ramp.record_completion(0.0, 1.0)

    def add_arrival(
        self,
        at,
        demand,
        caller="caller",
        kind="lookup",
        request_class="interactive",
        deadline=1.0,
        tenant="saryarka",
    ):
        self.count += 1
        name = f"{caller}-{self.count}"
        ticket = Ticket(
            name,
            tenant,
            request_class,
            caller,
            "field-log",
            kind,
            "key",
            at,
            at + deadline,
        )
        self.tickets[name] = ticket
        self.demands[name] = demand
        heappush(self.events, (at, self.count, "arrive", name))
        return name

    def add_poisson_arrivals(self, start, end, rate, demand, seed=1, **options):
        rng = Random(seed)
        names = []
        at = start + rng.expovariate(rate)
        while at < end:
            names.append(
                self.add_arrival(at, rng.gammavariate(2, demand / 2), **options)
            )
            at += rng.expovariate(rate)
        return names

    def run(self, until=1e9):
        while self.events:
            due = self.queue.next_expiry()
            at = self.events[0][0]
            if due is not None and due <= at:
                self._refuse(self.queue.pop_expired(max(due, 0.0)), max(due, 0.0))
                continue
            if at > until:
                return
            now, _, action, name = heappop(self.events)
            getattr(self, f"_{action}")(name, now)
            self._refuse(self.queue.pop_expired(now), now)

    def _arrive(self, name, now):
        decision = self.queue.offer(self.tickets[name], now)
        if isinstance(decision, Start):
            self._start(name, now)
        elif isinstance(decision, Refuse):
            self._refuse([decision], now)

    def _start(self, name, now):
        self.started[name] = now
        self.max_running = max(self.max_running, self.queue.running)
        self.count += 1
        finish = now + self.demands[name] * self.slowdown_factor
        heappush(self.events, (finish, self.count, "finish", name))

    def _finish(self, name, now):
        self.answers[name] = now
        seconds = now - self.started[name]
        started = self.queue.finish(
            name, now, seconds, AttemptOutcome.ANSWERED, self.incarnation
        )
        for ticket in started:
            self._start(ticket.id, now)

    def _refuse(self, refusals, now):
        for refusal in refusals:
            self.refusals[refusal.ticket_id] = (now, refusal)

    def in_time_share(self, names):
        good = [
            n
            for n in names
            if n in self.answers and self.answers[n] <= self.tickets[n].deadline
        ]
        return len(good) / len(names)

    def latencies(self, names):
        return sorted(
            self.answers[n] - self.tickets[n].arrived
            for n in names
            if n in self.answers
        )

    def p99(self, names):
        found = self.latencies(names)
        return found[int(0.99 * len(found))]


@pytest.fixture
def make_simulation():
    return QueueSimulation


@pytest.fixture
def make_ticket():
    def make(id="t-1", **options):
        values = {
            "tenant": "saryarka",
            "request_class": "interactive",
            "caller": "caller",
            "service": "field-log",
            "kind": "lookup",
            "key": "key",
            "arrived": 0.0,
            "deadline": 1.0,
        }
        return Ticket(id, **{**values, **options})

    return make
