"""Tests of granting, renewing and moving keys."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.coordinator_election import CONTACT_PATH, CoordinatorElection
from berylstage_entry.grant_controller import MANY_RANGES, GrantController
from berylstage_entry.store_watcher import StoreWatcher
from fakes import (
    FencedTargets,
    JsonRecords,
    LateAnswers,
    MemoryStore,
    StoreView,
    configuration,
    settings,
)
from granting_world import VMS, World
from virtual_time import virtual_loop


class KnownPeers:
    """Other VMs that are asked without a network, by their address."""

    def __init__(self):
        self.vms = {}

    def others(self):
        return sorted(self.vms)

    async def ask(self, address, path, body=b""):
        vm = self.vms.get(address)
        if vm is None or vm.dead:
            return None
        if path == CONTACT_PATH:
            return str(await vm.feed.contact()).encode()
        return vm.granting.handed_on() if vm.office.may_hand_on(body) else None

    async def ask_all(self, path):
        return [await self.ask(address, path) for address in self.others()]


def acquaint(*vms):
    for vm in vms:
        others = {v.cfg.control: v for v in vms if v is not vm}
        vm.peers.vms.update(others)


class Vm:
    """The parts of one VM that have to do with grants."""

    def __init__(self, name, store, wire):
        records = JsonRecords({1: configuration()})
        self.directory = ClusterView()
        self.feed = StoreWatcher(store, records, self.directory)
        self.cfg = cfg = settings(name, int(name[-1]))
        self.dead = False
        self.peers = KnownPeers()
        self.office = CoordinatorElection(cfg, store, self.feed, self.peers, Random(1))
        self.granting = GrantController(
            store, self.feed, self.directory, self.office, wire
        )
        self.office.inherit = self.granting.inherit

    def start(self):
        self.feed.start()
        self.office.start()
        self.granting.start()

    def kill(self):
        self.dead = True
        self.feed.stop()
        self.granting.stop()
        self.office._task.cancel()


def put_target(store, name, **changes):
    store.put(f"t/{name}", json.dumps(changes).encode())


async def until(condition, seconds=8.0):
    end = now() + seconds
    while not condition():
        assert now() < end, "it did not come about in time"
        await asyncio.sleep(0.02)


def owners(vm):
    return {r.owner for r in vm.feed.assignments["s"].ranges}


def all_held(wire, keys=(0, 9000, 20000, 40000, 65535)):
    return all(len(wire.holder(key)) == 1 for key in keys)


@pytest.fixture
def store():
    store = MemoryStore()
    store.put("cfg", b"1")
    for name in ("a", "b", "c"):
        put_target(store, name)
    return store


class TestGranting:
    def test_all_keys_get_one_owner(self, store):
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            holders = {wire.holder(key)[0] for key in range(0, 65536, 4096)}
            vm.kill()
            assert holders == {"a", "b", "c"}
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_renewal_on_its_way_does_not_bring_moved_keys_back(self, store):
        # Busy keys move while a renewal of their whole range is on its way to the
        # former owner. The renewal arrives after the release; a former owner that took
        # it would serve the same keys as the new one, and two callers would book one
        # seat.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            wire.grant_delay = 0.3
            for turn in range(24):
                vm.granting.counted("s", {100 + turn: 40, 140 + turn: 40, 180: 40})
                await asyncio.sleep(0.15)
                assert not wire.doubly_held(), turn
            vm.kill()
            assert len(vm.feed.assignments["s"].ranges) > 3

        asyncio.run(play())

    def test_new_owner_that_leaves_in_the_midst_of_a_move_gets_nothing(self, store):
        # Keys are on the move while work on them ends at their former owner. Their new
        # owner is told to leave at this moment, so they go to a third one. The first
        # move must not end with a grant of its own: two targets would hold the keys.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            wire.release_delay = 0.4
            vm.granting.counted("s", {k: 60 for k in range(100, 400, 50)})

            def moving():
                return [r for r in vm.feed.assignments["s"].ranges if r.former]

            await until(moving)
            put_target(store, moving()[0].owner, leaving=True)
            await until(lambda: not moving() and all_held(wire, (100, 300)))
            vm.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    @pytest.mark.parametrize("offset", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
    def test_silent_target_that_answers_as_its_keys_move_gets_none(self, offset):
        # A target has not answered for so long that its keys go to another one without
        # its word. In this moment it answers the question whether it is back. What was
        # to be renewed was worked out before the question; renewed now, the keys would
        # have two owners, and each of them would book the same seat.
        with virtual_loop() as loop:
            world = World(loop)
            world.run(offset)
            world.wire.probe_delay = 0.35
            world.wire.silent.add("a")

            def moved():
                return any(
                    r.former == "a"
                    for vm in world.vms.values()
                    for r in vm.feed.assignments["s"].ranges
                )

            end = now() + 8.0
            while not moved():
                assert now() < end
                world.run(0.01)
            world.wire.silent.clear()
            world.run(2.0)
            for name in VMS:
                world.kill(name)
            assert not world.faults()

    def test_renewal_while_a_move_is_being_written_is_waited_for(self, store):
        # A move is being written for longer than a hold lasts, and the former owner is
        # renewed meanwhile, since the move may yet fail. Then the owner falls silent.
        # Its keys must wait for the last of these renewals, not for those that were
        # known when the move was decided.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            store.late_writes = 6.0
            put_target(store, "a", leaving=True)
            await asyncio.sleep(3.4)
            wire.silent.add("a")
            await asyncio.sleep(1.6)
            store.late_writes = 0.0
            await until(lambda: "a" not in owners(vm), 12.0)
            await asyncio.sleep(2.0)
            await until(lambda: all_held(wire), 12.0)
            vm.kill()
            assert not wire.doubly_held()

        asyncio.run(play())

    def test_move_that_has_ended_is_not_made_again(self, store):
        # The end of a move is not written yet, since the store is slow. Begun again in
        # this time, each move takes more grants, and where many keys move the VM with
        # the duty gets to nothing else.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            before = len(wire.ordered)
            store.write_delay = 0.25
            put_target(store, "a", leaving=True)
            await until(lambda: "a" not in owners(vm))
            moved = {
                (r.owner, r.first, r.fence)
                for r in vm.feed.assignments["s"].ranges
                if r.former
            }
            await until(
                lambda: not any(r.former for r in vm.feed.assignments["s"].ranges)
            )
            ordered = wire.ordered[before:]
            vm.kill()
            assert moved
            assert [ordered.count(order) for order in moved] == [1] * len(moved)

        with virtual_loop() as loop:
            loop.run_until_complete(play())

    def test_write_in_doubt_is_settled_before_anything_is_granted(self, store):
        # The answer to a write of the assignment is lost, and the write is carried out
        # a second later. A VM that went on from the assignment before would grant by
        # one while the store holds the other.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            store.late_writes = 1.0
            put_target(store, "a", leaving=True)
            await asyncio.sleep(2.5)
            store.late_writes = 0.0
            await until(lambda: not wire.holds.get("a") and all_held(wire))
            kept = store.items["berylstage/keys/s"].value
            vm.kill()
            assert kept == vm.feed.assignments["s"].encode()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_keys_of_a_leaving_target_go_to_others(self, store):
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            put_target(store, "a", leaving=True)
            began = now()
            await until(lambda: not wire.holds.get("a"))
            await until(lambda: all_held(wire))
            vm.kill()
            assert now() - began < 2.0
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_keys_of_a_silent_target_wait_for_its_hold_to_end(self, store):
        # A target falls silent and may still be serving others. Its keys must not go to
        # another target while its own grant can still hold, and must not wait for long
        # after that: callers of these keys get no answer all the while.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            wire.silent.add("a")
            began = now()
            await until(lambda: "a" not in owners(vm))
            await until(lambda: all_held(wire))
            vm.kill()
            assert now() - began < 5.0
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_keys_of_an_ended_target_do_not_wait_for_its_holds(self, store):
        # A data centre lost power, and its targets came back under other names at the
        # same addresses before their records had gone. The old ones hold nothing any
        # more; callers of their keys need not wait for holds that nobody has.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            wire.ended.add("a")
            wire._take("a", 0, 65535)
            began = now()
            await until(lambda: "a" not in owners(vm))
            await until(lambda: all_held(wire))
            vm.kill()
            assert now() - began < 1.5
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_orders_carried_out_late_leave_one_holder(self, store):
        # A target leaves orders unanswered and carries them out seconds later. A grant
        # that comes into force after the keys have moved on would give them two owners.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            wire.late["a"] = 1.5
            await asyncio.sleep(1.0)
            put_target(store, "a", leaving=True)
            await asyncio.sleep(1.0)
            wire.late.clear()
            await until(lambda: all_held(wire))
            await asyncio.sleep(1.5)
            vm.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_lost_holder_of_the_duty_costs_no_key(self, store):
        # The VM with the duty of granting is lost. Another one takes the duty over
        # within its lease and renews the grants before they end, so that no key goes
        # without an owner.
        async def play():
            wire = FencedTargets()
            first, second = Vm("vm-1", store, wire), Vm("vm-2", store, wire)
            acquaint(first, second)
            first.start()
            await until(lambda: all_held(wire))
            second.start()
            await asyncio.sleep(0.5)
            first.kill()
            end = now() + 4.0
            while now() < end:
                assert all_held(wire)
                await asyncio.sleep(0.02)
            assert second.office.holds()
            second.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    @pytest.mark.parametrize("answers", [True, False])
    def test_move_whose_end_was_not_written_is_not_undone(self, store, answers):
        # A VM moves keys and is cut off from the store before it can write that they
        # have moved. The VM that takes the duty over finds the move half done. If it
        # took the keys back from their former owner by a grant, it would give them to
        # that one while the new owner serves them.
        async def play():
            wire = FencedTargets()
            near = StoreView(store)
            first, second = Vm("vm-1", near, wire), Vm("vm-2", store, wire)
            acquaint(first, second)
            first.start()
            await until(lambda: all_held(wire))
            second.start()
            await asyncio.sleep(0.4)
            wire.release_delay = 0.3
            first.granting.counted("s", {k: 60 for k in range(100, 400, 50)})
            await until(
                lambda: any(r.former for r in first.feed.assignments["s"].ranges)
            )
            near.away = True
            if not answers:
                await asyncio.sleep(1.0)
                first.kill()
            await until(
                lambda: not any(r.former for r in second.feed.assignments["s"].ranges),
                30.0,
            )
            await asyncio.sleep(0.5)
            assert all_held(wire, (100, 150, 300))
            first.kill()
            second.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_new_range_of_an_owner_does_not_renew_its_others(self, store):
        # A few keys move each tenth of a second. When each move renews all ranges of
        # the owner, the VM with the duty does little else (590 grants a second).
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            vm.granting.counted("s", dict.fromkeys(range(100, 400, 50), 60))
            await until(lambda: len(vm.feed.assignments["s"].ranges) > 3)
            before = len(wire.ordered)
            await asyncio.sleep(2.0)
            grants = len(wire.ordered) - before
            ranges = len(vm.feed.assignments["s"].ranges)
            vm.kill()
            # Three rounds of renewals, and what the moves themselves take.
            assert grants < 3.5 * ranges + 20

        asyncio.run(play())

    def test_ranges_are_mended_while_keys_are_busy_all_the_time(self):
        # Keys are busy for three seconds here, for three seconds there, for half a
        # minute, and each round of moves cuts ranges up. Left until no key is busy any
        # more, they were 600 for 22 targets: 750 grants a second, which kept the VM
        # with the duty from all else.
        with virtual_loop() as loop:
            world = World(loop)
            counts = []
            for place in range(12):
                for _ in range(10):
                    world.busy((place * 5711) % 60000, 9)
                    world.run(0.3)
                vm = next(iter(world.vms.values()))
                counts.append(len(vm.feed.assignments["s"].ranges))
            for name in VMS:
                world.kill(name)
            assert not world.faults()
            # As many as two places leave, beside what is left alone at any time.
            assert max(counts) <= MANY_RANGES * 3 + 2 * 4 * 9
            assert max(counts[6:]) <= 1.5 * max(counts[:6])

    def test_write_in_doubt_does_not_hold_up_a_move_of_other_keys(self, store):
        # Keys are on the move when the store goes away, and the next round of moves is
        # being written: its end is unknown for as long. The keys on the move must get
        # to their new owner all the same, or nobody serves them until the store is
        # back (1.5 s were seen, until another VM took the duty over).
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            wire.release_delay = 0.3
            keys = range(100, 400, 50)
            vm.granting.counted("s", dict.fromkeys(keys, 60))

            def moving():
                return [r for r in vm.feed.assignments["s"].ranges if r.former]

            await until(moving)
            moved, owner = moving()[0].first, moving()[0].owner
            store.away = True
            vm.granting.counted("s", dict.fromkeys(range(40000, 40400, 50), 90))
            await until(lambda: wire.holder(moved) == [owner], 1.0)
            assert vm.office.holds()
            vm.kill()
            assert not wire.doubly_held()

        asyncio.run(play())

    def test_outage_of_the_store_costs_no_key(self, store):
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            store.away = True
            end = now() + 9.0
            while now() < end:
                assert all_held(wire)
                await asyncio.sleep(0.05)
            store.away = False
            await asyncio.sleep(3.0)
            assert all_held(wire)
            vm.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_keys_stay_held_after_the_return_of_the_store(self, store):
        # The store is away for nine seconds. All holds were prolonged when it went and
        # end within a second and a half of its return, and the lease of the duty has
        # ended with it. If the duty is taken again later than that, every key is
        # without an owner for as long, and callers are refused all over the service.
        async def play():
            wire = FencedTargets()
            vm = Vm("vm-1", store, wire)
            vm.start()
            await until(lambda: all_held(wire))
            store.away = True
            await asyncio.sleep(9.0)
            store.away = False
            end = now() + 4.0
            while now() < end:
                assert all_held(wire)
                await asyncio.sleep(0.05)
            vm.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_silent_target_beside_a_lost_holder_of_the_duty(self, store):
        # The VM with the duty and a target are lost at once. The VM that takes over has
        # had the store all the while, so the lost one has not prolonged any hold: the
        # target's keys go to others as soon as its short hold is over.
        async def play():
            wire = FencedTargets()
            first, second = Vm("vm-1", store, wire), Vm("vm-2", store, wire)
            acquaint(first, second)
            first.start()
            await until(lambda: all_held(wire))
            second.start()
            await asyncio.sleep(4.0)
            first.kill()
            wire.silent.add("a")
            began = now()
            await until(lambda: second.office.holds(), 4.0)
            await until(lambda: "a" not in owners(second), 8.0)
            await until(lambda: all_held(wire))
            second.kill()
            assert now() - began < 8.0
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())

    def test_process_that_started_anew_hands_nothing_on(self, store):
        # The VM with the duty is killed while a target is silent, and starts again
        # under its address before another VM has taken over. It knows nothing of the
        # grants that it gave, which the silent target still goes by.
        async def play():
            wire = FencedTargets()
            first, second = Vm("vm-1", store, wire), Vm("vm-2", store, wire)
            acquaint(first, second)
            first.start()
            await until(lambda: all_held(wire))
            first.kill()
            wire.silent.add("a")
            anew = Vm("vm-1", store, wire)
            second.peers.vms[first.cfg.control] = anew
            second.start()
            await until(second.office.holds)
            # The target's grant is prolonged by nobody; until it has ended, its keys
            # must not move.
            wire.holds["a"][0].end = now() + 2.0
            while now() < wire.holds["a"][0].end:
                assert "a" in owners(second)
                await asyncio.sleep(0.02)
            second.kill()
            assert not wire.doubly_held()

        asyncio.run(play())

    def test_holder_that_alone_loses_the_store_prolongs_nothing(self, store):
        # Only the VM with the duty loses the store. Holds that it prolonged would keep
        # the next holder from moving the keys of a lost target for ten seconds.
        async def play():
            wire = FencedTargets()
            near = StoreView(store)
            first, second = Vm("vm-1", near, wire), Vm("vm-2", store, wire)
            acquaint(first, second)
            first.start()
            await until(lambda: all_held(wire))
            second.start()
            await asyncio.sleep(0.5)
            near.away = True
            end = now() + 4.0
            while now() < end:
                assert not first.office.prolongs
                assert all_held(wire)
                await asyncio.sleep(0.02)
            assert second.office.holds()
            first.kill()
            second.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())


class TestStop:
    """The VM with the duty stops while its orders are under way."""

    @pytest.mark.parametrize("offset", [0.0, 0.4, 0.6, 0.8, 1.0])
    def test_assignment_whose_writing_was_not_heard_of_is_read_at_once(self, offset):
        # Guards against a VM that takes the duty over and goes on from an assignment
        # that is no more in force until its next reading, while keys have no owner.
        with virtual_loop() as loop:
            world = World(loop)
            world.run(offset)
            (vm,) = [vm for vm in world.vms.values() if vm.office.holds()]
            vm.granting.writer._store = LateAnswers(world.store)
            before = world.store.items["berylstage/keys/s"].revision
            world.put("a", leaving=True)
            while world.store.items["berylstage/keys/s"].revision == before:
                world.run(0.01)
            loop.run_until_complete(vm.office.resign())
            vm.granting.stop()
            assert world.watch(6.0) < 1.0
            assert not world.faults()
            for name in VMS:
                world.kill(name)
