"""Tests of granting, renewing and moving keys."""

from __future__ import annotations

import asyncio
import json
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.directory import Directory
from berylstage_entry.feed import Feed
from berylstage_entry.granting import MAX_RANGES_PER_TARGET, Granting
from berylstage_entry.office import CONTACT_PATH, Office
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
    """Other VMs by address, called without a network."""

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
    """The parts of a VM that grant keys."""

    def __init__(self, name, store, wire):
        records = JsonRecords({1: configuration()})
        self.directory = Directory()
        self.feed = Feed(store, records, self.directory)
        self.cfg = cfg = settings(name, int(name[-1]))
        self.dead = False
        self.peers = KnownPeers()
        self.office = Office(cfg, store, self.feed, self.peers, Random(1))
        self.granting = Granting(store, self.feed, self.directory, self.office, wire)
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
        assert now() < end, "condition not met in time"
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
        # Hot keys move while a renewal of their whole range is in transit to the
        # previous owner and arrives after the release. If the previous owner accepted
        # it, two targets would serve the same keys, and two callers would book one
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
        # A move waits for requests at the previous owner to complete. Its new owner
        # starts to drain, so the keys go to a third target. If the first move still
        # ended with a grant, two targets would hold the keys.
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
        # An unresponsive target answers a probe at the moment when its keys are moved
        # without a release. A renewal prepared before the probe and sent after it would
        # give the keys two owners, each of which would book the same seat.
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
        # Storing a move takes longer than a grant, and the previous owner is
        # renewed meanwhile, since the write may fail. Then that owner becomes
        # unresponsive. Its keys must wait for the last of these renewals, not only for
        # those known when the move was decided.
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
        # The end of a move is not stored yet because the store is slow. If the move
        # were started again, it would cost more grants, and with many moves the
        # coordinator would have no time for anything else.
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
        # The answer to a write of the assignment is lost, and the write is applied a
        # second later. A VM that went on from the previous assignment would grant by
        # one assignment while the store has another.
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
        # An unresponsive target may still be serving. Its keys must not move while its
        # grant may be valid, and must move soon after that, because callers of these
        # keys get no answer until then.
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
        # A data centre lost power, and its targets restarted under other names at the
        # same addresses before their records were removed. The old targets hold no keys
        # any more, so their keys need not wait for grants to expire.
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
        # A target does not answer grants and applies them seconds later. A grant that
        # takes effect after the keys have moved would give them two owners.
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
        # The coordinator fails. Another VM becomes coordinator within the store lease
        # and renews the grants before they expire, so no key loses its owner.
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
        # A coordinator moves keys and loses the store before it can store the end of
        # the move. Its successor finds the move incomplete. If it revoked the keys from
        # their previous owner by a grant, that target would get the keys while the new
        # owner serves them.
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
        # A few keys move every tenth of a second. If each move renewed all ranges of
        # the owner, the coordinator would do little else (590 grants per second).
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
            # Three rounds of renewals, and the grants of the moves themselves.
            assert grants < 3.5 * ranges + 20

        asyncio.run(play())

    def test_ranges_are_mended_while_keys_are_busy_all_the_time(self):
        # Different keys are hot for three seconds each, for half a minute, and each
        # round of moves splits ranges. When ranges were only merged once no key was
        # hot, there were 600 of them for 22 targets: 750 grants per second, which left
        # the coordinator no time for anything else.
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
            # As many ranges as two groups of hot keys leave, besides those that are
            # never merged.
            assert max(counts) <= MAX_RANGES_PER_TARGET * 3 + 2 * 4 * 9
            assert max(counts[6:]) <= 1.5 * max(counts[:6])

    def test_write_in_doubt_does_not_hold_up_a_move_of_other_keys(self, store):
        # The store fails while keys are moving and the next round of moves is being
        # written, so the outcome of that write is unknown during the outage. The moving
        # keys must reach their new owner nevertheless, or they have no owner until the
        # store is back (for 1.5 s, until another VM became coordinator).
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
        # The store is unavailable for nine seconds. All grants were extended at the
        # start and expire within 1.5 s of its return, and the coordinator's lease has
        # expired too. If there is no coordinator by then, no key has an owner, and
        # requests to the whole service are rejected.
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
        # The coordinator and a target fail at once. The new coordinator has had contact
        # with the store all the time, so no grants were extended, and the target's
        # keys move as soon as its short grant has expired.
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
        # The coordinator is killed while a target is unresponsive, and restarts at its
        # address before another VM takes over. It knows nothing of its earlier grants,
        # by which the target may still hold keys.
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
            # Nobody renews the target's grant; until it has expired, its keys must not
            # move.
            wire.holds["a"][0].end = now() + 2.0
            while now() < wire.holds["a"][0].end:
                assert "a" in owners(second)
                await asyncio.sleep(0.02)
            second.kill()
            assert not wire.doubly_held()

        asyncio.run(play())

    def test_holder_that_alone_loses_the_store_prolongs_nothing(self, store):
        # Only the coordinator loses the store. If it extended grants, the next
        # coordinator could not move the keys of a failed target for ten seconds.
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
                assert not first.office.extends_grants
                assert all_held(wire)
                await asyncio.sleep(0.02)
            assert second.office.holds()
            first.kill()
            second.kill()
            assert not wire.doubly_held()
            assert not wire.low_fences

        asyncio.run(play())


class TestStop:
    """The coordinator stops while its calls are in progress."""

    @pytest.mark.parametrize("offset", [0.0, 0.4, 0.6, 0.8, 1.0])
    def test_assignment_whose_writing_was_not_heard_of_is_read_at_once(self, offset):
        # Guards against a new coordinator that uses an outdated assignment until its
        # next read, while keys have no owner.
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
