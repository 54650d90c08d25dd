"""Several cores together: start, loss, closing, outage."""

from __future__ import annotations

from ownership_setting import build_world

KEYS = [f"key-{number}" for number in range(12)]


class TestStart:
    def test_keys_are_served(self):
        world = build_world(settle=0)
        assert world.until_served("visits", KEYS) < 6
        assert world.faults == []


class TestLostTarget:
    def test_keys_are_served_while_lost_work_has_its_deadline_ahead(self):
        # A target dies with an order in work whose deadline is seconds away. Its
        # leader gets no word of the order's end. A target that checks fences can
        # give it no effect once its grant has lapsed, so that the keys need not
        # wait for the deadline; a user would notice the wait as keys without an
        # answer for as long as the longest deadline of any order.
        world = build_world()
        shard = world.vms["vm-0"].node.shard_of("visits", KEYS[0])
        target = world.targets[world.vms["vm-0"].node.route("visits", shard).target]
        for vm in world.vms.values():
            deadline = vm.local(world.time) + 8.0
            for key in KEYS:
                lost = vm.node.shard_of("visits", key)
                vm.node.work_started(vm.local(world.time), target.name, lost, deadline)
        target.alive = False
        assert world.until_served("visits", KEYS) < 2.0
        assert world.faults == []
