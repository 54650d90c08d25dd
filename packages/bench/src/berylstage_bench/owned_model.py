"""A model of targets that own keys, for measuring how busy keys are dealt out.

Virtual time; the rates of keys, the rounds of moves and what VMs know of the load of
owners are the real ones of the router. Moves take as long as the work under way on
their keys, and requests for these keys wait meanwhile.
"""

from __future__ import annotations

import heapq
from bisect import bisect_right
from itertools import accumulate, count
from random import Random
from typing import TYPE_CHECKING

from berylstage_entry import router
from berylstage_entry.assignment import KEY_COUNT, Assignment, KeyRange
from berylstage_entry.grant_controller import (
    MAX_RANGES_PER_TARGET,
    REBALANCE_INTERVAL_SECONDS,
)
from berylstage_entry.load_reporter import COUNT_INTERVAL_SECONDS as REPORT_PERIOD
from berylstage_entry.owners import OWNER_WAIT_SHARE
from berylstage_entry.placement import range_placement
from berylstage_entry.placement.key_loads import KeyLoads
from berylstage_entry.placement.rebalancing import (
    MIN_ROUND_INTERVAL_SECONDS,
    Rebalancer,
    plans_for_all,
)
from berylstage_entry.placement.service_times import TargetServiceTimes
from berylstage_policy.completion import ServiceLoads

from berylstage_bench.noisy_target import (
    MEAN_LONG_FACTOR,
    MEAN_NOISE_FACTOR,
    NoisyTarget,
    draw_work_seconds,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.placement.key_loads import KeyMove

    from berylstage_bench.owned_setup import OwnedSetup

# Seconds one way to a target, for a write of the assignment, and between two looks of a
# request that waits for its owner.
WAY = 0.001
WRITE = 0.012
MOVE_WAIT = 0.05
# Seconds after which a refused caller is back, and share of its time after which it no
# longer comes back.
RETURN = (0.05, 0.25)
COMES_BACK = 0.6
# Seconds kept for the way of an answer.
ANSWER_DELIVERY_SECONDS = 0.02


class OwnedResult:
    """What came out."""

    __slots__ = (
        "earned",
        "highest_after_second",
        "late",
        "lost",
        "moved",
        "moved_seconds",
        "moves",
        "relief_seconds",
        "requests",
        "worst",
        "writes",
    )

    def __init__(self) -> None:
        self.earned = 0.0
        self.requests = self.late = self.lost = self.moves = self.writes = 0
        # Share of all keys that changed hands, summed up.
        self.moved = 0.0
        # For each time with busy keys, seconds from its start until no owner's requests
        # exceed what it can serve, and until that is so with the keys on the move at
        # their former owners; the whole time if that is never so.
        self.relief_seconds: list[float] = []
        self.moved_seconds: list[float] = []
        # The true utilization of the busiest owner a second after each of these starts.
        self.highest_after_second: list[float] = []
        # Credit and requests of each two seconds.
        self.worst: dict[int, list[float]] = {}

    @property
    def credit(self) -> float:
        """Credit earned over credit owed."""
        return self.earned / max(1, self.requests)

    @property
    def worst_credit(self) -> float:
        """Credit of the two worst spans of two seconds, the last one left out."""
        spans = sorted(earned / owed for earned, owed in list(self.worst.values())[:-1])
        return sum(spans[:2]) / 2


class _Request:
    __slots__ = ("back", "came", "done", "key", "owner", "sent", "vm", "work")

    def __init__(self, key: int, came: float, vm: int, work: float):
        self.key = key
        self.came = came
        self.vm = vm
        self.work = work
        self.owner = ""
        self.sent = 0.0
        self.back = False
        self.done = False


class OwnedPlay:
    """One play of a setup.

    Parameters
    ----------
    setup : OwnedSetup
    seed : int
    """

    def __init__(self, setup: OwnedSetup, seed: int):
        self._setup = setup
        self._rng = Random(seed)
        self.result = OwnedResult()
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._order = count()
        speeds = [setup.speeds[i % len(setup.speeds)] for i in range(setup.targets)]
        self._rng.shuffle(speeds)
        self._owners: dict[str, NoisyTarget[_Request]] = {
            f"t{i}": NoisyTarget(speed, Random(seed + i))
            for i, speed in enumerate(speeds)
        }
        self._speeds = TargetServiceTimes()
        self._vms = [ServiceLoads(Random(seed * 99 + i)) for i in range(setup.vms)]
        for loads in self._vms:
            for name in self._owners:
                loads.load(name, setup.slots)
        self._counts: list[dict[int, int]] = [{} for _ in self._vms]
        self._news: list[dict[str, tuple[int, float]]] = [{} for _ in self._vms]
        self._loads = KeyLoads(0.0)
        self._rounds = Rebalancer(0.0)
        self._first = self._rng.randrange(KEY_COUNT)
        weights = [(i + 1) ** -setup.skew for i in range(setup.things)]
        self._cumulative = list(accumulate(weights))
        self._hot_first = [self._rng.randrange(KEY_COUNT) for _ in setup.busy]
        # Requests of all keys below each key, over all requests.
        shares = [0.0] * KEY_COUNT
        for i, weight in enumerate(weights):
            shares[(self._first + i) % KEY_COUNT] += weight / self._cumulative[-1]
        self._shares_below = [0.0, *accumulate(shares)]
        # Keys on the move, when they are with their new owner, and their former one.
        self._moving: list[tuple[int, int, float, str]] = []
        self._merged_at = 0.0
        self._fence = 1
        self._assignment = self._dealt()

    def _capacities(self) -> dict[str, float]:
        slots = self._setup.slots
        return {
            name: slots / self._speeds.expected_seconds(name) for name in self._owners
        }

    def _dealt(self) -> Assignment:
        nobody = Assignment([KeyRange(0, KEY_COUNT - 1, "", 0, 0)], 1)
        capacities = self._capacities()
        moves = range_placement.place_ranges(
            nobody.ranges,
            nobody,
            [],
            capacities,
            self._setup.ranges_per_target * len(capacities),
        )
        return self._with(nobody, moves)

    def _with(self, assignment: Assignment, moves: list) -> Assignment:
        new = []
        for m in moves:
            self._fence += 1
            new.append(KeyRange(m.first, m.last, m.owner, 1, self._fence))
        return assignment.replace(new, self._fence + 1)

    def run(self) -> OwnedResult:
        """Play to the end.

        Returns
        -------
        OwnedResult
        """
        setup = self._setup
        self._at(self._rng.expovariate(setup.rate), self._arrive)
        self._at(REBALANCE_INTERVAL_SECONDS, self._balance)
        for vm in range(setup.vms):
            self._at(self._rng.random() * REPORT_PERIOD, self._report, vm)
            self._at(self._rng.random() * setup.told, self._tell, vm)
        while self._events:
            now, _, step, args = heapq.heappop(self._events)
            if now > setup.seconds:
                break
            step(now, *args)
        return self.result

    def _at(self, now: float, step: Callable, *args) -> None:
        heapq.heappush(self._events, (now, next(self._order), step, args))

    def _key(self, now: float) -> int:
        for busy, first in zip(self._setup.busy, self._hot_first, strict=True):
            if busy.at <= now < busy.at + busy.seconds:
                if self._rng.random() < busy.share:
                    return (first + self._rng.randrange(busy.count)) % KEY_COUNT
        drawn = self._rng.random() * self._cumulative[-1]
        return (self._first + bisect_right(self._cumulative, drawn)) % KEY_COUNT

    def _arrive(self, now: float) -> None:
        setup = self._setup
        self._at(now + self._rng.expovariate(setup.rate), self._arrive)
        work = draw_work_seconds(setup.work, setup.spread, self._rng)
        req = _Request(self._key(now), now, self._rng.randrange(setup.vms), work)
        self.result.requests += 1
        self.result.worst.setdefault(int(now / 2), [0.0, 0.0])[1] += 1
        self._come(now, req)

    def _come(self, now: float, req: _Request) -> None:
        counts = self._counts[req.vm]
        counts[req.key] = counts.get(req.key, 0) + 1
        self._send(now, req, now)

    def _send(self, now: float, req: _Request, since: float) -> None:
        if req.done:
            return
        if any(a <= req.key <= b and now < end for a, b, end, _ in self._moving):
            if now - since > OWNER_WAIT_SHARE * self._setup.deadline:
                self._refuse(now, req)
            else:
                self._at(now + MOVE_WAIT, self._send, req, since)
            return
        loads = self._vms[req.vm]
        name = self._assignment.find(req.key).owner
        left = self._setup.deadline - (now - req.came) - ANSWER_DELIVERY_SECONDS
        expected = loads.expected_seconds(name, "kind", now)
        if expected > min(router.OWNER_WAIT * self._setup.objective, left):
            self._refuse(now, req)
            return
        req.owner, req.sent = name, now
        loads.load(name, self._setup.slots).inflight += 1
        self._at(now + WAY, self._reach, req, now)
        self._at(now + left, self._cut, req, now)

    def _refuse(self, now: float, req: _Request) -> None:
        if req.back or now - req.came > COMES_BACK * self._setup.deadline:
            req.done = True
            self.result.lost += 1
            return
        req.back = True
        req.vm = self._rng.randrange(self._setup.vms)
        self._at(now + self._rng.uniform(*RETURN), self._come, req)

    def _reach(self, now: float, req: _Request, sent: float) -> None:
        owner = self._owners[req.owner]
        if len(owner.running) < self._setup.slots:
            self._start(now, req, owner)
        elif len(owner.waiting) < self._setup.queue:
            owner.waiting.append(req)
        else:
            told = (owner.busy, owner.pace(now))
            self._at(now + WAY, self._answer, req, True, told, sent)

    def _start(self, now: float, req: _Request, owner: NoisyTarget[_Request]) -> None:
        owner.running.append(req)
        self._at(now + req.work * owner.pace(now), self._finish, req, req.sent)

    def _finish(self, now: float, req: _Request, sent: float) -> None:
        if req.done or req.sent != sent:
            return
        owner = self._owners[req.owner]
        owner.running.remove(req)
        self._next(now, owner)
        told = (owner.busy, owner.pace(now))
        self._at(now + WAY, self._answer, req, False, told, sent)

    def _next(self, now: float, owner: NoisyTarget[_Request]) -> None:
        while owner.waiting and len(owner.running) < self._setup.slots:
            self._start(now, owner.waiting.pop(0), owner)

    def _cut(self, now: float, req: _Request, sent: float) -> None:
        if req.done or req.sent != sent:
            return
        req.done = True
        self.result.lost += 1
        self._vms[req.vm].load(req.owner, self._setup.slots).inflight -= 1
        owner = self._owners[req.owner]
        if req in owner.waiting:
            owner.waiting.remove(req)
        if req in owner.running:
            owner.running.remove(req)
            self._next(now, owner)

    def _answer(
        self,
        now: float,
        req: _Request,
        full: bool,
        told: tuple[int, float],
        sent: float,
    ) -> None:
        if req.done or req.sent != sent:
            return
        loads = self._vms[req.vm]
        loads.load(req.owner, self._setup.slots).inflight -= 1
        self._told(now, req.vm, req.owner, told)
        self._news[req.vm][req.owner] = told
        if full:
            self._refuse(now, req)
            return
        if told[0] <= self._setup.slots:
            loads.record_service_time(req.owner, "kind", (now - req.sent) / told[1])
        req.done = True
        late = now - req.came > self._setup.objective
        self.result.late += late
        worth = self._setup.late if late else 1.0
        self.result.earned += worth
        self.result.worst[int(req.came / 2)][0] += worth

    def _told(self, now: float, vm: int, name: str, told: tuple[int, float]) -> None:
        loads = self._vms[vm]
        load = loads.load(name, self._setup.slots)
        load.record_report(told[0], self._setup.slots, told[1], now)
        loads.record_report(load)

    def _tell(self, now: float, vm: int) -> None:
        self._at(now + self._setup.told, self._tell, vm)
        news, self._news[vm] = self._news[vm], {}
        for other in range(self._setup.vms):
            if other != vm:
                for name, told in news.items():
                    self._told(now, other, name, told)

    def _report(self, now: float, vm: int) -> None:
        self._at(now + REPORT_PERIOD, self._report, vm)
        counts, self._counts[vm] = self._counts[vm], {}
        for key, number in counts.items():
            self._loads.add(key, number)
        loads = self._vms[vm]
        self._speeds.observe(loads.mean_seconds, loads.service_time_ratio())

    def _measure_relief(self, now: float) -> None:
        """Record when no owner gets more requests than it can serve any more."""
        result = self.result
        for i, busy in enumerate(self._setup.busy):
            if not busy.at <= now < busy.at + busy.seconds:
                continue
            if len(result.relief_seconds) <= i:
                result.relief_seconds.append(busy.seconds)
                result.moved_seconds.append(busy.seconds)
            for seconds, with_former in (
                (result.relief_seconds, False),
                (result.moved_seconds, True),
            ):
                highest = self._highest_utilization(i, with_former)
                if seconds[i] == busy.seconds and highest <= 1.0:
                    seconds[i] = now - busy.at
            if len(result.highest_after_second) <= i and now - busy.at >= 1.0:
                result.highest_after_second.append(self._highest_utilization(i, False))

    def _highest_utilization(self, busy_index: int, with_former: bool) -> float:
        """Return the true utilization of the busiest owner.

        The requests of the model's keys can all be divided, so that every owner could
        be relieved. Requests for keys on the move wait; they load no owner yet.
        """
        setup = self._setup
        busy, first = setup.busy[busy_index], self._hot_first[busy_index]
        rates = dict.fromkeys(self._owners, 0.0)

        def rate(low: int, high: int) -> float:
            hot = sum(
                max(0, min(high, start + busy.count - 1) - max(low, start) + 1)
                for start in (first, first - KEY_COUNT)
            )
            base = self._shares_below[high + 1] - self._shares_below[low]
            return setup.rate * (
                base * (1 - busy.share) + hot * busy.share / busy.count
            )

        for r in self._assignment.ranges:
            rates[r.owner] += rate(r.first, r.last)
        for low, high, _, former in self._moving if with_former else ():
            own = rate(low, high)
            rates[self._assignment.find(low).owner] -= own
            rates[former] += own
        seconds = setup.work * MEAN_LONG_FACTOR * MEAN_NOISE_FACTOR
        return max(
            rates[name] * seconds * owner.speed / setup.slots
            for name, owner in self._owners.items()
        )

    def _merge_neighbours(self) -> None:
        """Put adjacent ranges of one owner under one fence."""
        ranges = self._assignment.ranges
        merged = []
        for one, other in zip(ranges[::2], ranges[1::2], strict=False):
            if one.owner == other.owner:
                self._fence += 1
                merged.append(
                    KeyRange(one.first, other.last, one.owner, 1, self._fence)
                )
        self._assignment = self._assignment.replace(merged, self._fence + 1)

    def _due_moves(self, now: float) -> list[KeyMove]:
        """Return the moves of a merge or of balance, as the coordinator does."""
        capacities = self._capacities()
        self._loads.set_step_detection(plans_for_all(len(capacities)))
        self._loads.raise_steps()
        rates = self._loads.rates()
        if (
            self._setup.ranges_per_target > 1
            and len(self._assignment.ranges) > MAX_RANGES_PER_TARGET * len(capacities)
            and now - self._merged_at >= MIN_ROUND_INTERVAL_SECONDS
        ):
            self._merged_at = now
            self._merge_neighbours()
            merges = range_placement.merge_ranges(self._assignment, rates, capacities)
            if merges:
                return merges
        return self._rounds.due_moves(now, self._assignment, rates, capacities)

    def _balance(self, now: float) -> None:
        self._at(now + REBALANCE_INTERVAL_SECONDS, self._balance)
        self._loads.decay(now)
        self._moving = [move for move in self._moving if move[2] > now]
        self._measure_relief(now)
        moves = [
            move
            for move in self._due_moves(now)
            if not any(
                a <= move.last and move.first <= b for a, b, _, _ in self._moving
            )
        ]
        for move in moves:
            former_name = self._assignment.find(move.first).owner
            former = self._owners[former_name]
            working = [
                req for req in former.running if move.first <= req.key <= move.last
            ]
            # The release is answered when the work on the keys has ended.
            left = max(
                (req.sent + req.work * former.speed - now for req in working),
                default=0.0,
            )
            end = now + WRITE + max(0.0, left)
            self._moving.append((move.first, move.last, end, former_name))
            self.result.moved += (move.last - move.first + 1) / KEY_COUNT
        self.result.moves += len(moves)
        # One write begins the moves of a round, and one tells of their end.
        self.result.writes += 2 if moves else 0
        self._assignment = self._with(self._assignment, moves)
