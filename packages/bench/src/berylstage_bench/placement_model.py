"""A model of free targets behind several VMs, for measuring the choice of a target.

Virtual time; the choice, the load that VMs know and the questions for it are the real
ones of the policy package. Targets have a lasting speed each, and neighbours that slow
their machines to a third for 0.4 s at a time, as today's do.
"""

from __future__ import annotations

import heapq
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from berylstage_policy import completion, probing
from berylstage_policy.completion import ServiceLoads

from berylstage_bench.noisy_target import NoisyTarget, draw_work_seconds
from berylstage_bench.placement_setup import Result

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_bench.placement_setup import Kind, Setup

# Seconds one way to a target nearby and elsewhere.
NEAR_WAY = 0.0003
FAR_WAY = 0.0015
# Requests that wait before a target beyond those it works on.
QUEUE = 12
# Targets to which one request is sent at most.
ATTEMPTS = 3
# Seconds after which a refused caller is back, and share of its time after which it no
# longer comes back.
RETURN = (0.05, 0.25)
COMES_BACK = 0.6
# Seconds at the start that are not counted.
WARM_UP = 5.0
# Seconds kept for the way of an answer.
ANSWER_DELIVERY_SECONDS = 0.02


class _Request:
    __slots__ = (
        "back",
        "came",
        "done",
        "kind",
        "sent",
        "target",
        "tried",
        "vm",
        "work",
    )

    def __init__(self, kind: Kind, came: float, vm: int, work: float):
        self.kind = kind
        self.came = came
        self.vm = vm
        self.work = work
        self.tried: set[str] = set()
        self.target = ""
        self.sent = 0.0
        self.back = False
        self.done = False


class _Target(NoisyTarget[_Request]):
    """A target in a data centre."""

    __slots__ = ("data_centre", "name")

    def __init__(self, name: str, speed: float, data_centre: int, rng: Random):
        super().__init__(speed, rng)
        self.name = name
        self.data_centre = data_centre


class Play:
    """One play of a setup.

    Parameters
    ----------
    setup : Setup
    seed : int
    """

    def __init__(self, setup: Setup, seed: int):
        self._setup = setup
        self._rng = Random(seed)
        self.result = Result()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = count()
        speeds = [setup.speeds[i % len(setup.speeds)] for i in range(setup.targets)]
        self._rng.shuffle(speeds)
        self._targets = {
            f"t{i}": _Target(f"t{i}", speed, i % setup.data_centres, Random(seed + i))
            for i, speed in enumerate(speeds)
        }
        self._vms = [ServiceLoads(Random(seed * 99 + i)) for i in range(setup.vms)]
        self._near: list[dict] = [{} for _ in self._vms]
        self._far: list[dict] = [{} for _ in self._vms]
        for vm, loads in enumerate(self._vms):
            for target in self._targets.values():
                load = loads.load(target.name, setup.slots)
                if target.data_centre != vm % setup.data_centres:
                    load.locality_penalty = completion.OTHER_DATA_CENTRE

    def run(self) -> Result:
        """Play to the end.

        Returns
        -------
        Result
        """
        setup = self._setup
        for kind in setup.kinds:
            self._at(self._rng.expovariate(kind.rate * setup.load), self._arrive, kind)
        for vm in range(setup.vms):
            self._at(self._rng.random() * setup.near, self._tell, vm, True)
            self._at(self._rng.random() * setup.far, self._tell, vm, False)
        if setup.probes:
            for i, target in enumerate(self._targets.values()):
                rounds = i // setup.data_centres % (setup.vms // setup.data_centres)
                vm = target.data_centre + setup.data_centres * rounds
                self._at(self._rng.random() * probing.STALE, self._look, target, vm)
        while self._events:
            now, _, step, args = heapq.heappop(self._events)
            if now > setup.seconds:
                break
            step(now, *args)
        return self.result

    def _at(self, now: float, step: Callable, *args) -> None:
        heapq.heappush(self._events, (now, next(self._order), step, args))

    def _arrive(self, now: float, kind: Kind) -> None:
        rate = kind.rate * self._setup.load
        self._at(now + self._rng.expovariate(rate), self._arrive, kind)
        work = draw_work_seconds(kind.work, kind.spread, self._rng)
        vm = self._rng.randrange(self._setup.vms)
        if now > WARM_UP:
            self.result.requests += 1
            self.result.owed += kind.worth
        self._send(now, _Request(kind, now, vm, work))

    def _send(self, now: float, req: _Request) -> None:
        loads, kind = self._vms[req.vm], req.kind
        left = kind.deadline - (now - req.came) - ANSWER_DELIVERY_SECONDS
        fit = [name for name in self._targets if name not in req.tried]
        if left < ANSWER_DELIVERY_SECONDS or not fit or len(req.tried) >= ATTEMPTS:
            self._refuse(now, req)
            return
        name = loads.choose(fit, kind.name, now)
        if loads.expected_seconds(name, kind.name, now) > left:
            self._refuse(now, req)
            return
        target = self._targets[name]
        req.tried.add(name)
        req.target, req.sent = name, now
        loads.load(name, self._setup.slots).inflight += 1
        crosses = target.data_centre != req.vm % self._setup.data_centres
        self.result.crosses += crosses and req.came > WARM_UP
        self._at(now + (FAR_WAY if crosses else NEAR_WAY), self._reach, req, target)
        self._at(now + left, self._cut, req, target, now)

    def _refuse(self, now: float, req: _Request) -> None:
        if req.back or now - req.came > COMES_BACK * req.kind.deadline:
            req.done = True
            return
        req.back = True
        req.tried = set()
        req.vm = self._rng.randrange(self._setup.vms)
        self._at(now + self._rng.uniform(*RETURN), self._send, req)

    def _reach(self, now: float, req: _Request, target: _Target) -> None:
        if len(target.running) < self._setup.slots:
            self._start(now, req, target)
        elif len(target.waiting) < QUEUE:
            target.waiting.append(req)
        else:
            busy, pace = target.busy, target.pace(now)
            self._at(now + NEAR_WAY, self._answer, req, True, busy, pace, req.sent)

    def _start(self, now: float, req: _Request, target: _Target) -> None:
        target.running.append(req)
        took = req.work * target.pace(now)
        self._at(now + took, self._finish, req, target, req.sent)

    def _finish(self, now: float, req: _Request, target: _Target, sent: float) -> None:
        if req.done or req.sent != sent:
            return
        target.running.remove(req)
        self._next(now, target)
        busy, pace = target.busy, target.pace(now)
        self._at(now + FAR_WAY, self._answer, req, False, busy, pace, sent)

    def _next(self, now: float, target: _Target) -> None:
        while target.waiting and len(target.running) < self._setup.slots:
            self._start(now, target.waiting.pop(0), target)

    def _cut(self, now: float, req: _Request, target: _Target, sent: float) -> None:
        if req.done or req.sent != sent:
            return
        req.done = True
        load = self._vms[req.vm].load(target.name, self._setup.slots)
        load.inflight -= 1
        load.record_failure(now)
        if req in target.waiting:
            target.waiting.remove(req)
        if req in target.running:
            target.running.remove(req)
            self._next(now, target)

    def _answer(
        self, now: float, req: _Request, full: bool, busy: int, pace: float, sent: float
    ) -> None:
        if req.done or req.sent != sent:
            return
        load = self._vms[req.vm].load(req.target, self._setup.slots)
        load.inflight -= 1
        self._heard(now, req.vm, req.target, busy, pace)
        if full:
            load.record_failure(now)
            self._send(now, req)
            return
        load.record_success(now)
        if busy <= self._setup.slots:
            seconds = (now - req.sent) / pace
            self._vms[req.vm].record_service_time(req.target, req.kind.name, seconds)
        req.done = True
        if req.came > WARM_UP:
            late = now - req.came > req.kind.objective
            self.result.earned += req.kind.late if late else req.kind.worth

    def _heard(self, now: float, vm: int, name: str, busy: int, pace: float) -> None:
        self._told(now, vm, name, busy, pace)
        self._near[vm][name] = self._far[vm][name] = (busy, pace)

    def _told(self, now: float, vm: int, name: str, busy: int, pace: float) -> None:
        loads = self._vms[vm]
        load = loads.load(name, self._setup.slots)
        load.record_report(busy, self._setup.slots, pace, now)
        loads.record_report(load)

    def _tell(self, now: float, vm: int, near: bool) -> None:
        self._at(
            now + (self._setup.near if near else self._setup.far), self._tell, vm, near
        )
        gathered = self._near if near else self._far
        told, gathered[vm] = gathered[vm], {}
        if not told:
            return
        way = NEAR_WAY if near else FAR_WAY
        for other in range(self._setup.vms):
            centres = self._setup.data_centres
            if other != vm and (other % centres == vm % centres) == near:
                for name, (busy, pace) in told.items():
                    self._at(now + way, self._told, other, name, busy, pace)

    def _look(self, now: float, target: _Target, vm: int) -> None:
        age = now - self._vms[vm].load(target.name, self._setup.slots).reported
        if probing.is_due(age, 0.0, False):
            self.result.asks += 1
            busy, pace = target.busy, target.pace(now)
            self._at(now + 2 * NEAR_WAY, self._heard, vm, target.name, busy, pace)
        self._at(now + probing.STALE / 3, self._look, target, vm)
