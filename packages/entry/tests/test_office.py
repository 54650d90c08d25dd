"""Tests of becoming coordinator and of stepping down."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_entry.clock import now
from berylstage_entry.keys import DUTY_KEY
from berylstage_entry.office import LEASE_SECONDS, MIN_TERM_SECONDS
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
        # A small VM became coordinator while the larger ones were starting. Under load
        # it grants keys late; when it steps down, no key loses its owner.
        (small,) = holders(world)
        large = next(name for name in VMS if name != small)
        world.vms[small].office.better = lambda: large
        assert world.watch(MIN_TERM_SECONDS + LEASE_SECONDS + 1.0) == 0
        assert holders(world) not in ([], [small])
        assert not world.faults()

    def test_duty_is_kept_while_the_vm_with_room_is_lost(self, world):
        # A VM's record remains for the duration of its lease. A coordinator that
        # stepped down for a VM that has failed would do so again and again.
        (small,) = holders(world)
        large = next(name for name in VMS if name != small)
        world.vms[small].office.better = lambda: large
        world.kill(large)
        world.run(2 * MIN_TERM_SECONDS)
        assert holders(world) == [small]

    def test_duty_is_kept_while_the_vm_with_room_has_lost_the_store(self, world):
        (small,) = holders(world)
        large = next(name for name in VMS if name != small)
        world.vms[small].office.better = lambda: large
        world.vms[large].view.away = True
        world.run(2 * MIN_TERM_SECONDS)
        assert holders(world) == [small]


class TestIdleVm:
    def test_vm_without_the_duty_sleeps_while_nothing_happens(self, world):
        # Hundreds of VMs serve besides the coordinator. Each that checked the election
        # and the grants ten times a second spent more time on that than on requests.
        (holder,) = holders(world)
        idle = world.vms[next(name for name in VMS if name != holder)]
        looks = []
        for part, name in (
            (idle.office, "_lacks_coordinator"),
            (idle.granting, "_reconcile"),
        ):
            real = getattr(part, name)
            setattr(part, name, lambda real=real: looks.append(1) or real())
        real_holds = idle.office.holds
        idle.office.holds = lambda: looks.append(1) or real_holds()
        seconds = 20.0
        world.run(seconds)
        # The remaining checks come with the reads of the store.
        assert len(looks) / seconds < 5

    def test_idle_vm_takes_the_duty_over_as_soon_as_it_is_vacant(self, world):
        # A VM that sleeps until the coordinator's key changes must not miss the change:
        # grants would expire, and no key would have an owner.
        (holder,) = holders(world)
        world.kill(holder)
        world.run(LEASE_SECONDS + 1.0)
        (successor,) = holders(world)
        world.kill(successor)
        world.run(LEASE_SECONDS + 1.0)
        assert len(holders(world)) == 1


class SlowWrites(StoreView):
    """A store that applies writes late, except those that are cancelled."""

    async def write(self, conditions, writes, removals=()):
        await asyncio.sleep(0.2)
        return await super().write(conditions, writes, removals)


def taken_by(world, name):
    """Tell whether the store names a VM as the coordinator."""
    item = world.store.items.get(DUTY_KEY)
    return item is not None and json.loads(item.value)["vm"] == name


def run_until(world, condition):
    """Advance the time until a condition holds."""
    for _ in range(500):
        if condition():
            return
        world.run(0.02)
    raise AssertionError("condition not met in time")


def stop(world, name):
    """Stop a VM gracefully; return the seconds until another is coordinator."""
    began = now()
    world._loop.run_until_complete(world.vms[name].office.resign())
    world.kill(name)
    run_until(world, lambda: holders(world))
    return now() - began


class TestStop:
    """A VM stops while its calls to the store are in progress."""

    def test_duty_that_is_being_taken_is_given_back(self, world):
        # Guards against a coordinator's lease that stays with a stopped VM until it
        # expires, because the VM stopped before it knew that it had become coordinator.
        (former,) = holders(world)
        name, other = [each for each in VMS if each != former]
        vm = world.vms[name]
        vm.office._store = LateAnswers(world.store)
        # This VM becomes coordinator; the other follows later.
        world.vms[other].view.away = True
        world._loop.run_until_complete(world.vms[former].office.resign())
        world.kill(former)
        run_until(world, lambda: taken_by(world, name))
        assert not vm.office.holds()
        world.vms[other].view.away = False
        assert stop(world, name) < LEASE_SECONDS / 2

    def test_duty_that_is_being_left_is_given_back(self, world):
        # Guards against having no coordinator until the lease expires, because the
        # coordinator stopped while it was stepping down for another VM.
        (name,) = holders(world)
        vm = world.vms[name]
        vm.office._store = SlowWrites(world.store)
        vm.office.better = lambda: next(each for each in VMS if each != name)
        run_until(world, lambda: not vm.office.holds())
        assert stop(world, name) < LEASE_SECONDS / 2
