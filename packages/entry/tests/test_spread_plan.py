"""Tests of the plan for all overloaded owners, and of its use by the coordinator."""

from __future__ import annotations

import asyncio
from itertools import pairwise
from random import Random

import pytest
from berylstage_entry.assignment import LAST_KEY, Assignment, KeyRange
from berylstage_entry.metrics import Metrics
from berylstage_entry.placement.rebalancing import (
    MAX_ROUND_TARGETS,
    Rebalancer,
    rebalance,
)
from berylstage_entry.placement.spread_plan import (
    DONOR_MARGIN,
    MAX_MOVES_PER_PLAN,
    plan_spread,
)
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX
from fakes import FencedTargets, MemoryStore
from granting_vms import (
    Vm,
    assert_grants_in_order,
    connect_peers,
    have_all_holders,
    moving_ranges,
    wait_until,
    write_target,
)
from test_rebalancing import apply_moves, compute_utilizations, divide_evenly
from virtual_time import virtual_loop

NAMES = [f"t{i}" for i in range(76)]
HOT_FIRST, HOT_COUNT = 30000, 200
HOT_KEYS = range(HOT_FIRST, HOT_FIRST + HOT_COUNT, 10)


def divide_thrice(names):
    """Return an assignment with three ranges for each target."""
    assignment = divide_evenly(names * 3)
    return Assignment(assignment.ranges, 1000)


def step_rates(total, seed=1):
    """Return rates of which 0.44 are for 200 neighbouring keys."""
    rng = Random(seed)
    base = 0.56 * total / 4000
    rates = dict.fromkeys(rng.sample(range(LAST_KEY + 1), 4000), base)
    for key in range(HOT_FIRST, HOT_FIRST + HOT_COUNT):
        rates[key] = rates.get(key, 0.0) + 0.44 * total / HOT_COUNT
    return sorted(rates.items())


def highest(assignment, rates, capacities):
    return max(compute_utilizations(assignment, rates, capacities).values())


class TestSpreadPlan:
    """One plan, without a clock."""

    @pytest.mark.parametrize("count", [51, 65, 76, 120])
    def test_step_of_load_is_relieved_by_one_plan(self, count):
        # Guards against owners that refuse callers for seconds next to idle ones: a
        # round moves one run of keys from each range.
        names = [f"t{i}" for i in range(count)]
        capacities = {name: 12.0 + 8.0 * (i % 3) for i, name in enumerate(names)}
        rates = step_rates(0.55 * sum(capacities.values()))
        assignment = divide_thrice(names)
        assert highest(assignment, rates, capacities) > 5
        plan = plan_spread(assignment, rates, capacities)
        after = apply_moves(assignment, plan.moves)
        assert highest(after, rates, capacities) <= 0.55 + DONOR_MARGIN + 0.01
        assert len(plan.moves) <= MAX_MOVES_PER_PLAN
        # Only the hot keys and a few next to them move.
        assert plan.keys < 3 * HOT_COUNT
        assert plan.highest_after == pytest.approx(highest(after, rates, capacities))
        firsts = sorted((m.first, m.last) for m in plan.moves)
        pairs = pairwise(firsts)
        assert all(one[1] < other[0] for one, other in pairs)

    def test_oversized_key_gets_the_fastest_target_for_itself(self):
        # Guards against a key that exceeds any target and shares its owner with other
        # busy keys, whose callers wait in its queue.
        capacities = dict.fromkeys(NAMES, 15.0) | {"t7": 30.0}
        assignment = divide_thrice(NAMES)
        other = next(r for r in assignment.ranges if r.owner == "t7")
        rates = [(other.first + n, 2.0) for n in range(6)]
        rates = sorted([*rates, (40001, 40.0)])
        plan = plan_spread(assignment, rates, capacities)
        after = apply_moves(assignment, plan.moves)
        assert after.find(40001).owner == "t7"
        assert all(after.find(key).owner != "t7" for key, _ in rates if key != 40001)

    def test_even_load_moves_nothing(self):
        # Guards against moves of idle or evenly busy keys.
        capacities = dict.fromkeys(NAMES, 15.0)
        rates = [(key, 1.0) for key in range(0, LAST_KEY + 1, 100)]
        assert plan_spread(divide_thrice(NAMES), rates, capacities).moves == []
        assert plan_spread(divide_thrice(NAMES), [], capacities).moves == []

    def test_overload_everywhere_moves_nothing(self):
        # Guards against moves between overloaded targets: they interrupt requests and
        # help nobody.
        capacities = dict.fromkeys(NAMES, 5.0)
        rates = [(key, 1.0) for key in range(0, LAST_KEY + 1, 100)]
        plan = plan_spread(divide_thrice(NAMES), rates, capacities, urgent=True)
        assert plan.moves == []

    def test_keys_on_the_move_stay(self):
        # Guards against a second move of keys whose first one has not ended.
        capacities = dict.fromkeys(NAMES, 20.0)
        moving = KeyRange(HOT_FIRST, HOT_FIRST + 99, "t1", 1, 2000, "t2", 1)
        assignment = divide_thrice(NAMES).replace([moving], 2001)
        rates = step_rates(0.55 * sum(capacities.values()))
        for move in plan_spread(assignment, rates, capacities).moves:
            assert move.first > moving.last or move.last < moving.first


class TestLimit:
    """The number of owners from which plans are made."""

    def test_rounds_of_smaller_services_stay(self):
        # Guards against other moves for services that today's rounds keep up with.
        names = NAMES[:MAX_ROUND_TARGETS]
        capacities = dict.fromkeys(names, 20.0)
        rates = step_rates(600)
        rebalancer = Rebalancer(100.0)
        due = rebalancer.due_moves(100.0, divide_thrice(names), rates, capacities)
        expected = rebalance(divide_thrice(names), rates, capacities)
        as_tuples = [[(m.first, m.last, m.owner) for m in x] for x in (due, expected)]
        assert as_tuples[0] == as_tuples[1]
        assert rebalancer.last_plan is None


class Coordinators:
    """Two VMs and 60 targets that own keys, with a step of load."""

    def __init__(self):
        self.store = MemoryStore()
        self.store.put("cfg", b"1")
        for name in NAMES[:60]:
            write_target(self.store, name)
        self.protocol = FencedTargets()
        self.metrics = Metrics()
        self.vms = [Vm(name, self.store, self.protocol) for name in ("vm-1", "vm-2")]
        connect_peers(*self.vms)
        for vm in self.vms:
            vm.grant_controller.metrics = self.metrics

    @property
    def coordinator(self):
        return next(vm for vm in self.vms if vm.election.is_coordinator())

    async def start(self):
        for vm in self.vms:
            vm.start()
        await wait_until(lambda: have_all_holders(self.protocol), 20.0)

    async def play_step(self, seconds):
        """Let 200 neighbouring keys get requests, more than their owner serves."""
        for tick in range(round(seconds / 0.1)):
            counts = {HOT_FIRST + (tick * 40 + n) % HOT_COUNT: 1 for n in range(40)}
            counts |= {(tick * 7919 + n * 1093) % (LAST_KEY + 1): 1 for n in range(50)}
            for vm in self.vms:
                if vm.election.is_coordinator():
                    vm.grant_controller.add_key_counts("s", counts)
            await asyncio.sleep(0.1)

    def planned(self):
        return 'event="spread plans"' in self.metrics.text()

    def hot_owners(self):
        assignment = self.coordinator.store_watcher.assignments["s"]
        return {
            assignment.find(key).owner
            for key in range(HOT_FIRST, HOT_FIRST + HOT_COUNT)
        }

    def stored_assignments(self):
        return [
            Assignment.decode(item.value)
            for item in self.store.log
            if item.key == ASSIGNMENT_PREFIX + "s"
        ]

    async def settle(self):
        await wait_until(lambda: not moving_ranges(self.coordinator), 20.0)
        await wait_until(lambda: have_all_holders(self.protocol, HOT_KEYS), 20.0)

    def end(self):
        for vm in self.vms:
            if not vm.is_dead:
                vm.kill()
        assert_grants_in_order(self.protocol)


class TestUse:
    """The coordinator writes plans and carries them out, also through failures."""

    def run(self, scenario):
        with virtual_loop() as loop:
            loop.run_until_complete(scenario(Coordinators()))

    def test_step_of_load_is_spread_within_a_second(self):
        # Guards against a step that reaches the plan late, or a plan without a write.
        async def scenario(cluster):
            await cluster.start()
            await cluster.play_step(1.0)
            assert cluster.planned()
            assert len(cluster.hot_owners()) > 15
            await cluster.settle()
            cluster.end()

        self.run(scenario)

    def test_recipient_that_ends_before_its_grant(self):
        # Guards against keys that stay without an owner because their recipient ended
        # while the former owner completed their requests.
        async def scenario(cluster):
            await cluster.start()
            cluster.protocol.release_delay = 0.6
            await cluster.play_step(0.4)
            recipient = moving_ranges(cluster.coordinator)[0].owner
            cluster.store.put(f"t/{recipient}", None)
            cluster.protocol.end_process(recipient)
            await cluster.play_step(1.0)
            cluster.protocol.release_delay = 0.0
            await cluster.settle()
            assert recipient not in cluster.hot_owners()
            cluster.end()

        self.run(scenario)

    def test_coordinator_that_stops_after_the_write(self):
        # Guards against moves that nobody ends: the next coordinator finds them in the
        # stored assignment.
        async def scenario(cluster):
            await cluster.start()
            cluster.protocol.release_delay = 0.6
            await cluster.play_step(0.4)
            first = cluster.coordinator
            assert moving_ranges(first)
            first.kill()
            other = next(vm for vm in cluster.vms if vm is not first)
            await wait_until(other.election.is_coordinator, 20.0)
            cluster.protocol.release_delay = 0.0
            await cluster.settle()
            assert len(cluster.hot_owners()) > 5
            cluster.end()

        self.run(scenario)

    def test_write_whose_answer_is_late_is_applied_once(self):
        # Guards against a plan that is made from an assignment that is no longer in
        # force, or carried out twice: each key of it would move again.
        async def scenario(cluster):
            await cluster.start()
            cluster.store.late_writes = 0.5
            await cluster.play_step(1.0)
            assert cluster.planned()
            cluster.store.late_writes = 0.0
            await cluster.play_step(1.0)
            await cluster.settle()
            assert len(cluster.hot_owners()) > 5
            stored = cluster.stored_assignments()
            for before, after in pairwise(stored):
                for key in HOT_KEYS:
                    one, other = before.find(key), after.find(key)
                    if one.previous_owner and other.previous_owner:
                        assert one.fence == other.fence
            cluster.end()

        self.run(scenario)
