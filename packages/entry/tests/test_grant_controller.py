"""Tests of granting, renewing and moving keys."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.grant_controller import MAX_RANGES_PER_TARGET
from berylstage_entry.target_notices import TargetNotices
from berylstage_entry.targets import TargetNotice
from cluster_simulation import VMS, ClusterSimulation
from fakes import FencedTargets, LateAnswers, MemoryStore, StoreView, target
from granting_vms import (
    Vm,
    assert_grants_in_order,
    assigned_owners,
    have_all_holders,
    moving_ranges,
    start_first_vm,
    start_vm,
    wait_until,
    write_target,
)
from virtual_time import virtual_loop


@pytest.fixture
def store():
    store = MemoryStore()
    store.put("cfg", b"1")
    for name in ("a", "b", "c"):
        write_target(store, name)
    return store


class TestGranting:
    """Each key has one holder."""

    def test_all_keys_get_one_owner(self, store):
        async def scenario():
            vm, protocol = await start_vm(store)
            holders = {protocol.holder(key)[0] for key in range(0, 65536, 4096)}
            vm.kill()
            assert holders == {"a", "b", "c"}
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_grants_applied_late_leave_one_holder(self, store):
        # A target does not answer grants and applies them seconds later. A grant that
        # takes effect after the keys have moved would give them two owners.
        async def scenario():
            vm, protocol = await start_vm(store)
            protocol.late["a"] = 1.5
            await asyncio.sleep(1.0)
            write_target(store, "a", is_draining=True)
            await asyncio.sleep(1.0)
            protocol.late.clear()
            await wait_until(lambda: have_all_holders(protocol))
            await asyncio.sleep(1.5)
            vm.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())


class TestRenewals:
    """Renewals, while the same keys move or others are granted."""

    def test_renewal_in_transit_does_not_return_moved_keys(self, store):
        # Hot keys move while a renewal of their whole range is in transit to the
        # previous owner and arrives after the release. If the previous owner accepted
        # it, two targets would serve the same keys, and two callers would book one
        # seat.
        async def scenario():
            vm, protocol = await start_vm(store)
            protocol.grant_delay = 0.3
            for round_number in range(24):
                vm.grant_controller.add_key_counts(
                    "s", {100 + round_number: 40, 140 + round_number: 40, 180: 40}
                )
                await asyncio.sleep(0.15)
                assert not protocol.overlapping_grants(), round_number
            vm.kill()
            assert len(vm.store_watcher.assignments["s"].ranges) > 3

        asyncio.run(scenario())

    def test_move_waits_for_renewals_made_while_it_is_stored(self, store):
        # Storing a move takes longer than a grant, and the previous owner is
        # renewed meanwhile, since the write may fail. Then that owner becomes
        # unresponsive. Its keys must wait for the last of these renewals, not only for
        # those known when the move was decided.
        async def scenario():
            vm, protocol = await start_vm(store)
            store.late_writes = 6.0
            write_target(store, "a", is_draining=True)
            await asyncio.sleep(3.4)
            protocol.silent.add("a")
            await asyncio.sleep(1.6)
            store.late_writes = 0.0
            await wait_until(lambda: "a" not in assigned_owners(vm), 12.0)
            await asyncio.sleep(2.0)
            await wait_until(lambda: have_all_holders(protocol), 12.0)
            vm.kill()
            assert not protocol.overlapping_grants()

        asyncio.run(scenario())

    def test_new_range_does_not_renew_the_other_ranges_of_its_owner(self, store):
        # A few keys move every tenth of a second. If each move renewed all ranges of
        # the owner, the coordinator would do little else (590 grants per second).
        async def scenario():
            vm, protocol = await start_vm(store)
            vm.grant_controller.add_key_counts(
                "s", dict.fromkeys(range(100, 400, 50), 60)
            )
            await wait_until(lambda: len(vm.store_watcher.assignments["s"].ranges) > 3)
            before = len(protocol.ordered)
            await asyncio.sleep(2.0)
            grants = len(protocol.ordered) - before
            ranges = len(vm.store_watcher.assignments["s"].ranges)
            vm.kill()
            # Three rounds of renewals, and the grants of the moves themselves.
            assert grants < 3.5 * ranges + 20

        asyncio.run(scenario())


class TestMoves:
    """Moves of keys to another owner."""

    def test_new_owner_that_drains_during_a_move_gets_no_keys(self, store):
        # A move waits for requests at the previous owner to complete. Its new owner
        # starts to drain, so the keys go to a third target. If the first move still
        # ended with a grant, two targets would hold the keys.
        async def scenario():
            vm, protocol = await start_vm(store)
            protocol.release_delay = 0.4
            vm.grant_controller.add_key_counts(
                "s", {k: 60 for k in range(100, 400, 50)}
            )
            await wait_until(lambda: moving_ranges(vm))
            write_target(store, moving_ranges(vm)[0].owner, is_draining=True)
            await wait_until(
                lambda: not moving_ranges(vm) and have_all_holders(protocol, (100, 300))
            )
            vm.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_completed_move_is_not_repeated(self, store):
        # The end of a move is not stored yet because the store is slow. If the move
        # were started again, it would cost more grants, and with many moves the
        # coordinator would have no time for anything else.
        async def scenario():
            vm, protocol = await start_vm(store)
            before = len(protocol.ordered)
            store.write_delay = 0.25
            write_target(store, "a", is_draining=True)
            await wait_until(lambda: "a" not in assigned_owners(vm))
            moved = {(r.owner, r.first, r.fence) for r in moving_ranges(vm)}
            await wait_until(lambda: not moving_ranges(vm))
            ordered = protocol.ordered[before:]
            vm.kill()
            assert moved
            assert [ordered.count(order) for order in moved] == [1] * len(moved)

        with virtual_loop() as loop:
            loop.run_until_complete(scenario())

    def test_keys_of_a_draining_target_move(self, store):
        async def scenario():
            vm, protocol = await start_vm(store)
            write_target(store, "a", is_draining=True)
            start_time = now()
            await wait_until(lambda: not protocol.holds.get("a"))
            await wait_until(lambda: have_all_holders(protocol))
            vm.kill()
            assert now() - start_time < 2.0
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_ranges_are_merged_while_keys_are_hot(self):
        # Different keys are hot for three seconds each, for half a minute, and each
        # round of moves splits ranges. When ranges were only merged once no key was
        # hot, there were 600 of them for 22 targets: 750 grants per second, which left
        # the coordinator no time for anything else.
        with virtual_loop() as loop:
            cluster = ClusterSimulation(loop)
            counts = []
            for group in range(12):
                for _ in range(10):
                    cluster.report_hot_keys((group * 5711) % 60000, 9)
                    cluster.run(0.3)
                vm = next(iter(cluster.vms.values()))
                counts.append(len(vm.store_watcher.assignments["s"].ranges))
            for name in VMS:
                cluster.kill(name)
            assert not cluster.violations()
            # As many ranges as two groups of hot keys leave, besides those that are
            # never merged.
            assert max(counts) <= MAX_RANGES_PER_TARGET * 3 + 2 * 4 * 9
            assert max(counts[6:]) <= 1.5 * max(counts[:6])


class TestUnresponsiveTargets:
    """Keys of targets that do not answer or have ended."""

    @pytest.mark.parametrize("offset", [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])
    def test_unresponsive_target_that_answers_as_its_keys_move_gets_none(self, offset):
        # An unresponsive target answers a probe at the moment when its keys are moved
        # without a release. A renewal prepared before the probe and sent after it would
        # give the keys two owners, each of which would book the same seat.
        with virtual_loop() as loop:
            cluster = ClusterSimulation(loop)
            cluster.run(offset)
            cluster.protocol.probe_delay = 0.35
            cluster.protocol.silent.add("a")

            def moved():
                return any(
                    r.previous_owner == "a"
                    for vm in cluster.vms.values()
                    for r in vm.store_watcher.assignments["s"].ranges
                )

            end = now() + 8.0
            while not moved():
                assert now() < end
                cluster.run(0.01)
            cluster.protocol.silent.clear()
            cluster.run(2.0)
            for name in VMS:
                cluster.kill(name)
            assert not cluster.violations()

    def test_keys_of_an_unresponsive_target_wait_for_its_grant_to_expire(self, store):
        # An unresponsive target may still be serving. Its keys must not move while its
        # grant may be valid, and must move soon after that, because callers of these
        # keys get no answer until then.
        async def scenario():
            vm, protocol = await start_vm(store)
            protocol.silent.add("a")
            start_time = now()
            await wait_until(lambda: "a" not in assigned_owners(vm))
            await wait_until(lambda: have_all_holders(protocol))
            vm.kill()
            assert now() - start_time < 5.0
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_keys_of_a_terminated_target_do_not_wait_for_its_grants(self, store):
        # A data centre lost power, and its targets restarted under other names at the
        # same addresses before their records were removed. The old targets hold no keys
        # any more, so their keys need not wait for grants to expire.
        async def scenario():
            vm, protocol = await start_vm(store)
            protocol.ended.add("a")
            protocol._take("a", 0, 65535)
            start_time = now()
            await wait_until(lambda: "a" not in assigned_owners(vm))
            await wait_until(lambda: have_all_holders(protocol))
            vm.kill()
            assert now() - start_time < 1.5
            assert_grants_in_order(protocol)

        asyncio.run(scenario())


class TestStoreOutages:
    """The store fails, or the outcome of a write is unknown."""

    def test_nothing_is_granted_while_the_outcome_of_a_write_is_unknown(self, store):
        # The answer to a write of the assignment is lost, and the write is applied a
        # second later. A VM that went on from the previous assignment would grant by
        # one assignment while the store has another.
        async def scenario():
            vm, protocol = await start_vm(store)
            store.late_writes = 1.0
            write_target(store, "a", is_draining=True)
            await asyncio.sleep(2.5)
            store.late_writes = 0.0
            await wait_until(
                lambda: not protocol.holds.get("a") and have_all_holders(protocol)
            )
            stored = store.items["berylstage/keys/s"].value
            vm.kill()
            assert stored == vm.store_watcher.assignments["s"].encode()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_unknown_write_outcome_does_not_block_moves_of_other_keys(self, store):
        # The store fails while keys are moving and the next round of moves is being
        # written, so the outcome of that write is unknown during the outage. The moving
        # keys must reach their new owner nevertheless, or they have no owner until the
        # store is back (for 1.5 s, until another VM became coordinator).
        async def scenario():
            vm, protocol = await start_vm(store)
            protocol.release_delay = 0.3
            keys = range(100, 400, 50)
            vm.grant_controller.add_key_counts("s", dict.fromkeys(keys, 60))
            await wait_until(lambda: moving_ranges(vm))
            moved, owner = moving_ranges(vm)[0].first, moving_ranges(vm)[0].owner
            store.is_unreachable = True
            vm.grant_controller.add_key_counts(
                "s", dict.fromkeys(range(40000, 40400, 50), 90)
            )
            await wait_until(lambda: protocol.holder(moved) == [owner], 1.0)
            assert vm.election.is_coordinator()
            vm.kill()
            assert not protocol.overlapping_grants()

        asyncio.run(scenario())

    def test_no_key_loses_its_owner_in_a_store_outage(self, store):
        async def scenario():
            vm, protocol = await start_vm(store)
            store.is_unreachable = True
            end = now() + 9.0
            while now() < end:
                assert have_all_holders(protocol)
                await asyncio.sleep(0.05)
            store.is_unreachable = False
            await asyncio.sleep(3.0)
            assert have_all_holders(protocol)
            vm.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_keys_stay_held_after_the_return_of_the_store(self, store):
        # The store is unavailable for nine seconds. All grants were extended at the
        # start and expire within 1.5 s of its return, and the coordinator's lease has
        # expired too. If there is no coordinator by then, no key has an owner, and
        # requests to the whole service are rejected.
        async def scenario():
            vm, protocol = await start_vm(store)
            store.is_unreachable = True
            await asyncio.sleep(9.0)
            store.is_unreachable = False
            end = now() + 4.0
            while now() < end:
                assert have_all_holders(protocol)
                await asyncio.sleep(0.05)
            vm.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())


class TestCoordinatorChanges:
    """Another VM becomes coordinator."""

    def test_no_key_loses_its_owner_when_the_coordinator_fails(self, store):
        # The coordinator fails. Another VM becomes coordinator within the store lease
        # and renews the grants before they expire, so no key loses its owner.
        async def scenario():
            first, second, protocol = await start_first_vm(store, store)
            second.start()
            await asyncio.sleep(0.5)
            first.kill()
            end = now() + 4.0
            while now() < end:
                assert have_all_holders(protocol)
                await asyncio.sleep(0.02)
            assert second.election.is_coordinator()
            second.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    @pytest.mark.parametrize("answers", [True, False])
    def test_move_whose_end_was_not_stored_is_not_undone(self, store, answers):
        # A coordinator moves keys and loses the store before it can store the end of
        # the move. Its successor finds the move incomplete. If it revoked the keys from
        # their previous owner by a grant, that target would get the keys while the new
        # owner serves them.
        async def scenario():
            store_view = StoreView(store)
            first, second, protocol = await start_first_vm(store_view, store)
            second.start()
            await asyncio.sleep(0.4)
            protocol.release_delay = 0.3
            first.grant_controller.add_key_counts(
                "s", {k: 60 for k in range(100, 400, 50)}
            )
            await wait_until(lambda: moving_ranges(first))
            store_view.is_unreachable = True
            if not answers:
                await asyncio.sleep(1.0)
                first.kill()
            await wait_until(
                lambda: not moving_ranges(second),
                30.0,
            )
            await asyncio.sleep(0.5)
            assert have_all_holders(protocol, (100, 150, 300))
            first.kill()
            second.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_unresponsive_target_when_the_coordinator_fails(self, store):
        # The coordinator and a target fail at once. The new coordinator has had contact
        # with the store all the time, so no grants were extended, and the target's
        # keys move as soon as its short grant has expired.
        async def scenario():
            first, second, protocol = await start_first_vm(store, store)
            second.start()
            await asyncio.sleep(4.0)
            first.kill()
            protocol.silent.add("a")
            start_time = now()
            await wait_until(lambda: second.election.is_coordinator(), 4.0)
            await wait_until(lambda: "a" not in assigned_owners(second), 8.0)
            await wait_until(lambda: have_all_holders(protocol))
            second.kill()
            assert now() - start_time < 8.0
            assert_grants_in_order(protocol)

        asyncio.run(scenario())

    def test_restarted_process_exports_no_state(self, store):
        # The coordinator is killed while a target is unresponsive, and restarts at its
        # address before another VM takes over. It knows nothing of its earlier grants,
        # by which the target may still hold keys.
        async def scenario():
            first, second, protocol = await start_first_vm(store, store)
            first.kill()
            protocol.silent.add("a")
            restarted = Vm("vm-1", store, protocol)
            second.peers.vms[first.cfg.control_address] = restarted
            second.start()
            await wait_until(second.election.is_coordinator)
            # Nobody renews the target's grant; until it has expired, its keys must not
            # move.
            protocol.holds["a"][0].end = now() + 2.0
            while now() < protocol.holds["a"][0].end:
                assert "a" in assigned_owners(second)
                await asyncio.sleep(0.02)
            second.kill()
            assert not protocol.overlapping_grants()

        asyncio.run(scenario())

    def test_coordinator_that_alone_loses_the_store_extends_no_grants(self, store):
        # Only the coordinator loses the store. If it extended grants, the next
        # coordinator could not move the keys of a failed target for ten seconds.
        async def scenario():
            store_view = StoreView(store)
            first, second, protocol = await start_first_vm(store_view, store)
            second.start()
            await asyncio.sleep(0.5)
            store_view.is_unreachable = True
            end = now() + 4.0
            while now() < end:
                assert not first.election.extends_grants
                assert have_all_holders(protocol)
                await asyncio.sleep(0.02)
            assert second.election.is_coordinator()
            first.kill()
            second.kill()
            assert_grants_in_order(protocol)

        asyncio.run(scenario())


class TestTargetNotices:
    """Busy keys move away from an owner that asks for less."""

    def move_keys(self, store, vms, act):
        """Return whether busy keys move within two seconds of a notice."""

        async def scenario():
            protocol = FencedTargets()
            vm = Vm("vm-1", store, protocol)
            notices = TargetNotices(vm.cluster_view)
            notices.set_vm_count(vms)
            vm.grant_controller.target_notices = notices
            vm.start()
            await wait_until(lambda: have_all_holders(protocol))
            owner = vm.store_watcher.assignments["s"].find(100).owner
            act(notices, target(owner))
            end, is_moved = now() + 2.0, False
            while now() < end and not is_moved:
                vm.grant_controller.add_key_counts("s", {100: 1, 140: 1})
                await asyncio.sleep(0.4)
                found = vm.store_watcher.assignments["s"].find(100)
                is_moved = found.owner != owner and not found.previous_owner
            vm.kill()
            return is_moved

        return asyncio.run(scenario())

    def test_owner_that_names_a_limit(self, store):
        # Guards against a limit that is kept by refusing the callers of its keys.
        def name_limit(notices, owner):
            notices.limits.record_notice(owner, TargetNotice(2.0), now())

        assert self.move_keys(store, 3, name_limit)

    def test_owner_that_asks_all_vms_for_rest(self, store):
        # Guards against keys that nobody serves for as long as their owner rests.
        def ask_for_rest(notices, owner):
            notices.rests.record(owner, 9.0)

        assert self.move_keys(store, 1, ask_for_rest)

    def test_owner_that_says_that_it_leaves(self, store):
        # Guards against keys that stay with a target until its record is gone.
        def leave(notices, owner):
            notices.record_control_answer(owner, TargetNotice(is_leaving=True))

        assert self.move_keys(store, 3, leave)

    def test_owner_that_asks_one_vm_of_many_for_rest(self, store):
        # Guards against moving keys from an owner that serves nearly all callers.
        def ask_for_rest(notices, owner):
            notices.rests.record(owner, 9.0)

        assert not self.move_keys(store, 20, ask_for_rest)


class TestStop:
    """The coordinator stops while its calls are in progress."""

    @pytest.mark.parametrize("offset", [0.0, 0.4, 0.6, 0.8, 1.0])
    def test_new_coordinator_reads_an_unannounced_assignment_at_once(self, offset):
        # Guards against a new coordinator that uses an outdated assignment until its
        # next read, while keys have no owner.
        with virtual_loop() as loop:
            cluster = ClusterSimulation(loop)
            cluster.run(offset)
            (vm,) = [vm for vm in cluster.vms.values() if vm.election.is_coordinator()]
            vm.grant_controller.writer._store = LateAnswers(cluster.store)
            before = cluster.store.items["berylstage/keys/s"].revision
            cluster.write_record("a", is_draining=True)
            while cluster.store.items["berylstage/keys/s"].revision == before:
                cluster.run(0.01)
            loop.run_until_complete(vm.election.resign())
            vm.grant_controller.stop()
            assert cluster.measure_unavailability(6.0) < 1.0
            assert not cluster.violations()
            for name in VMS:
                cluster.kill(name)
