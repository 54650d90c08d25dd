"""Tests of taking, leaving and giving up the duty of granting."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_entry.clock import now
from berylstage_entry.coordinator_election import LEASE, SHORTEST_TERM
from berylstage_entry.store_keys import DUTY_KEY
from fakes import LateAnswers, StoreView
from granting_world import VMS, World
from virtual_time import virtual_loop


@pytest.fixture
def world():
    with virtual_loop() as loop:
        each = World(loop)
        yield each
        for name in VMS:
            each.kill(name)


def holders(world):
    return [name for name, vm in world.vms.items() if vm.office.holds()]


class TestRoom:
    def test_duty_is_left_to_a_vm_with_room_and_costs_no_key(self, world):
        # A small VM took the duty while the larger ones were starting. Its orders come
        # late under load; when it gives the duty up, no key goes without an owner.
        (small,) = holders(world)
        large = next(name for name in VMS if name != small)
        world.vms[small].office.better = lambda: large
        assert world.watch(SHORTEST_TERM + LEASE + 1.0) == 0
        assert holders(world) not in ([], [small])
        assert not world.faults()

    def test_duty_is_kept_while_the_vm_with_room_is_lost(self, world):
        # Its record outlives it by the length of its lease. A holder that gave up for
        # it would do so again and again.
        (small,) = holders(world)
        large = next(name for name in VMS if name != small)
        world.vms[small].office.better = lambda: large
        world.kill(large)
        world.run(2 * SHORTEST_TERM)
        assert holders(world) == [small]

    def test_duty_is_kept_while_the_vm_with_room_has_lost_the_store(self, world):
        (small,) = holders(world)
        large = next(name for name in VMS if name != small)
        world.vms[small].office.better = lambda: large
        world.vms[large].view.away = True
        world.run(2 * SHORTEST_TERM)
        assert holders(world) == [small]


class TestIdleVm:
    def test_vm_without_the_duty_sleeps_while_nothing_happens(self, world):
        # Hundreds of VMs serve beside the one with the duty. Each that looked at it and
        # at its grants ten times a second took more time for that than for requests.
        (holder,) = holders(world)
        idle = world.vms[next(name for name in VMS if name != holder)]
        looks = []
        for part, name in ((idle.office, "_is_vacant"), (idle.granting, "_look")):
            real = getattr(part, name)
            setattr(part, name, lambda real=real: looks.append(1) or real())
        real_holds = idle.office.holds
        idle.office.holds = lambda: looks.append(1) or real_holds()
        seconds = 20.0
        world.run(seconds)
        # What is left goes with the readings of the store.
        assert len(looks) / seconds < 5

    def test_idle_vm_takes_the_duty_over_as_soon_as_it_is_vacant(self, world):
        # A VM that sleeps until the duty's key changes must not miss the change: grants
        # would end, and no key would have an owner.
        (holder,) = holders(world)
        world.kill(holder)
        world.run(LEASE + 1.0)
        (successor,) = holders(world)
        world.kill(successor)
        world.run(LEASE + 1.0)
        assert len(holders(world)) == 1


class SlowWrites(StoreView):
    """A store that carries writes out late, and not those that are broken off."""

    async def write(self, conditions, writes, removals=()):
        await asyncio.sleep(0.2)
        return await super().write(conditions, writes, removals)


def taken_by(world, name):
    """Tell whether the store says that a VM has the duty."""
    item = world.store.items.get(DUTY_KEY)
    return item is not None and json.loads(item.value)["vm"] == name


def run_until(world, condition):
    """Let time pass until something has come about."""
    for _ in range(500):
        if condition():
            return
        world.run(0.02)
    raise AssertionError("it did not come about in time")


def stop(world, name):
    """Stop a VM in an orderly way; return the seconds until another has the duty."""
    began = now()
    world._loop.run_until_complete(world.vms[name].office.resign())
    world.kill(name)
    run_until(world, lambda: holders(world))
    return now() - began


class TestStop:
    """A VM stops while its calls to the store are under way."""

    def test_duty_that_is_being_taken_is_given_back(self, world):
        # Guards against a duty that stays with a VM that has ended, until its lease
        # ends, because it stopped before it knew that it had the duty.
        (former,) = holders(world)
        name, other = [each for each in VMS if each != former]
        vm = world.vms[name]
        vm.office._store = LateAnswers(world.store)
        # This one takes the duty; the other comes later.
        world.vms[other].view.away = True
        world._loop.run_until_complete(world.vms[former].office.resign())
        world.kill(former)
        run_until(world, lambda: taken_by(world, name))
        assert not vm.office.holds()
        world.vms[other].view.away = False
        assert stop(world, name) < LEASE / 2

    def test_duty_that_is_being_left_is_given_back(self, world):
        # Guards against a duty that nobody has until its lease ends, because its holder
        # stopped while it left the duty to another VM.
        (name,) = holders(world)
        vm = world.vms[name]
        vm.office._store = SlowWrites(world.store)
        vm.office.better = lambda: next(each for each in VMS if each != name)
        run_until(world, lambda: not vm.office.holds())
        assert stop(world, name) < LEASE / 2
