"""Tests of taking, leaving and giving up the duty of granting."""

from __future__ import annotations

import pytest
from berylstage_entry.office import LEASE, SHORTEST_TERM
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
