"""Several cores together: how soon keys are served again, and what it costs."""

from __future__ import annotations

import pytest
from berylstage_ownership.actions import DocumentUnreadable
from ownership_fakes import FakeVm
from ownership_setting import CENTRES, build_world, close, drop, retire

KEYS = [f"key-{number}" for number in range(12)]
SERVED_AGAIN = 2.0
GRACE = 3.0


def unserved(world, seconds):
    """Return for how many seconds some key was not served."""
    dark = 0
    for _ in range(int(seconds / 0.05)):
        world.run(0.05)
        dark += not all(world.served("visits", key) for key in KEYS)
    return dark * 0.05


def lose_vm(world):
    world.kill("vm-0")


def lose_target(world):
    world.targets["visits-1"].alive = False


def freeze_target(world):
    world.targets["visits-1"].frozen_until = world.time + 6.0


def lose_data_centre(world):
    world.lose_data_centre("almaty-a")


def pause_vm(world):
    world.pause("vm-1", 4.0)


def restart_all(world):
    for name in list(world.vms):
        world.kill(name)
        world.start(name)


LOSSES = [lose_vm, lose_target, freeze_target, lose_data_centre, pause_vm, restart_all]


class TestStart:
    def test_keys_are_served(self):
        world = build_world(settle=0)
        assert world.until_served("visits", KEYS) < 6
        assert world.faults == []

    @pytest.mark.parametrize("lost", range(4))
    def test_a_loss_right_after_a_start_is_borne(self, lost):
        # The platform's list is late, so that VMs that start together do not see
        # each other at first. The first to write must not become the only elector: when
        # one of the first two went, nobody would hold a lease, and users would get
        # no answer for any key until that VM returned.
        world = build_world(vms=4, settle=0, list_lag=2.0)
        world.until_served("visits", KEYS)
        world.kill(f"vm-{lost}")
        assert world.until_served("visits", KEYS) < 4.0
        assert world.faults == []

    def test_of_many_vms_begins_with_a_full_electorate(self):
        # More VMs start together than one of them turns to. The one that nobody hears
        # must not make itself the only elector, which would lead every target.
        world = build_world(vms=24, settle=4.0, targets=24)
        assignment = world.vms["vm-0"].node.assignment
        assert len(assignment.electorate) == 5
        leads = [lead.vm for lead in assignment.leaders.values()]
        assert max(leads.count(vm) for vm in leads) == 1


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


class TestLoss:
    @pytest.mark.parametrize("checks", [True, False])
    @pytest.mark.parametrize("vms", [5, 11])
    @pytest.mark.parametrize("lose", LOSSES)
    def test_keys_are_served_again(self, lose, vms, checks):
        # A VM, a target or a whole data centre goes away without a word. Callers with
        # keys there are refused until others have taken over.
        for seed in (1, 2):
            world = build_world(vms=vms, seed=seed, checks=checks)
            lose(world)
            assert world.until_served("visits", KEYS) <= SERVED_AGAIN
            world.run(5.0)
            assert world.faults == []

    def test_of_most_electors_is_mended_by_the_platforms_word(self):
        # Three of five electors go at once, beyond what a majority bears. The
        # platform's list tells after a while that they are gone for certain.
        world = build_world(vms=11)
        for name in world.vms["vm-0"].node.assignment.electorate[:3]:
            world.kill(name)
        assert world.until_served("visits", KEYS, limit=20.0) < 12.0
        assert world.faults == []

    def test_of_all_vms_is_mended_by_others(self):
        # Every VM is replaced by one of another name at the same moment.
        world = build_world()
        for name in list(world.vms):
            world.kill(name)
        for number, centre in enumerate(CENTRES):
            name = f"new-{number}"
            world.vms[name] = FakeVm(name, centre, 1.0, 5.0)
            world.start(name)
        assert world.until_served("visits", KEYS, limit=20.0) < 12.0
        assert world.faults == []


class TestOutageOfTheStore:
    def test_leaves_all_keys_served(self):
        # The store is down for minutes. Nobody should notice.
        world = build_world()
        world.store.mode = "down"
        assert unserved(world, 120.0) == 0

    def test_lets_an_elector_restart(self):
        # An elector restarts in the outage: it learns from the others what was
        # promised, and confirms again. Its own targets wait for the store.
        world = build_world()
        world.store.mode = "down"
        world.kill("vm-2")
        world.start("vm-2")
        world.run(3.0)
        vm = world.vms["vm-2"]
        assert not vm.node.status(vm.local(world.time)).muted
        assert vm.node.ready(vm.local(world.time))

    def test_lets_a_new_vm_forward(self):
        # A VM starts in the outage and gets both documents from its peers.
        world = build_world()
        world.store.mode = "down"
        world.vms["vm-9"] = FakeVm("vm-9", "almaty-b", 1.0, 5.0)
        world.start("vm-9")
        world.run(1.0)
        vm = world.vms["vm-9"]
        assert vm.node.ready(vm.local(world.time))
        assert all(vm.node.shard_of("visits", key) for key in KEYS)

    def test_ends_with_the_keys_of_a_lost_proposer(self):
        # The VM that proposes changes is lost in the outage. Its own keys wait; with
        # the store they come back at once, through the next elector.
        world = build_world()
        world.store.mode = "down"
        world.run(1.0)
        world.kill("vm-0")
        world.run(10.0)
        dark = [key for key in KEYS if not world.served("visits", key)]
        assert 0 < len(dark) < len(KEYS)
        world.store.mode = "up"
        assert world.until_served("visits", KEYS) <= SERVED_AGAIN
        assert world.faults == []


class TestPermit:
    @pytest.mark.parametrize(
        ("checks", "longest"), [(True, float("inf")), (False, 0.4)]
    )
    def test_bounds_work_at_targets_that_do_not_check(self, checks, longest):
        # A caller gives its request a minute, at a target that checks no fences. Its VM
        # is lost, and the next owner waits for the service's longest deadline only. The
        # permit says so, or two targets would work on the key for the rest of it.
        world = build_world(checks=checks)
        node = world.vms["vm-0"].node
        shard = node.shard_of("visits", KEYS[0])
        holder = world.vms[node.route("visits", shard).vm]
        permit = holder.node.admission(holder.local(world.time), "visits", shard)
        assert permit.longest == longest


class TestDocuments:
    def test_an_unreadable_sheet_changes_nothing(self):
        # A release that nobody else runs wrote a sheet that cannot be read here. The
        # one in force stays, keys are served, and the log says what to do.
        world = build_world()
        _, version = world.store.values["berylstage/configuration"]
        world.store.write("berylstage/configuration", b'{"revision": 9}', version)
        assert unserved(world, 3.0) == 0
        told = [n for vm in world.vms.values() for _, n in vm.notices]
        assert any(isinstance(notice, DocumentUnreadable) for notice in told)

    def test_an_unreadable_assignment_is_not_written_over(self):
        # The same with the assignment: it may be what a later release decided.
        world = build_world()
        key = "berylstage/assignment/cell-1"
        _, version = world.store.values[key]
        world.store.write(key, b"[]", version)
        world.kill("vm-3")
        world.run(5.0)
        assert world.store.values[key][0] == b"[]"
        assert world.faults == []

    def test_a_clock_set_back_does_not_lock_a_vm_out(self):
        # A VM restarts after its wall clock was set back, so that its new run has a
        # smaller number than its last. It must be let in again all the same.
        world = build_world()
        world.kill("vm-1")
        world.vms["vm-1"].incarnation = -1
        world.start("vm-1")
        assert world.until_served("visits", KEYS) <= SERVED_AGAIN
        world.run(4.0)
        vm = world.vms["vm-1"]
        assert vm.node.led_targets(vm.local(world.time))


class TestSheet:
    def test_is_in_force_everywhere_soon(self):
        world = build_world(vms=11)
        for _ in range(5):
            world.run(0.37)
            world.edit(lambda cfg: None)
            world.run(2.0)
            nodes = [vm.node for vm in world.vms.values()]
            assert {n.configuration.revision for n in nodes} == {world.cfg.revision}

    @pytest.mark.parametrize("edit", [close("almaty-b"), retire("visits-1")])
    def test_closing_moves_all_work_within_the_grace(self, edit):
        # Operators close a data centre or a target; nothing new goes there, and the
        # keys are away for a moment only.
        world = build_world()
        world.edit(edit)
        closed = {
            t.name for t in world.cfg.targets.values() if not world.cfg.takes_work(t)
        }
        dark = unserved(world, GRACE)
        assert dark < 0.5
        assert not any(targets & closed for targets in world.working().values())

    def test_a_dropped_target_is_let_go(self):
        # The sheet does not name a target any more. Its keys go elsewhere at once, and
        # the VM that led it can shut down.
        world = build_world()
        holder = world.vms["vm-0"].node.leader_of("visits-1").vm
        world.edit(drop("visits-1"))
        assert unserved(world, 2.0) < 0.5
        assert world.vms["vm-0"].node.leader_of("visits-1") is None
        world.vms[holder].node.leave()
        world.run(1.0)
        assert not world.vms[holder].node.leads_anything()
        assert world.faults == []

    def test_closing_is_honoured_when_nothing_can_move(self):
        # The store answers reads but takes no writes, so that no shard can move. The
        # closed data centre gets no work all the same.
        world = build_world()
        world.store.mode = "refusing writes"
        world.edit(close("almaty-b"))
        world.run(GRACE)
        world.ran.clear()
        for key in KEYS:
            world.request("visits", key)
        world.run(0.5)
        closed = {
            t.name for t in world.cfg.targets.values() if not world.cfg.takes_work(t)
        }
        assert world.ran
        assert not any(target in closed for _, target, _, _ in world.ran)


class TestShutdown:
    def test_hands_over_before_it_stops(self):
        # A VM shuts down on purpose. It may stop once nothing of it is in flight, and
        # callers hardly notice.
        world = build_world()
        vm = world.vms["vm-1"]
        for key in KEYS:
            world.request("visits", key, length=0.3)
        vm.node.leave()
        world.run(0.15)
        assert vm.in_flight == 0 or vm.node.leads_anything()
        assert unserved(world, 3.0) < 0.5
        assert not vm.node.leads_anything()

    def test_hands_the_records_over(self):
        # The same request that may not be repeated comes again after a planned move
        # and gets its first answer; new ones are not refused meanwhile.
        world = build_world()
        world.run(3.0)
        issued = 1_000_000 + int(world.time * 1000)
        for key in KEYS:
            world.request_once(key, f"once-{key}", issued)
        world.run(0.3)
        world.vms["vm-1"].node.leave()
        world.run(1.0)
        issued += 1300
        for key in KEYS:
            world.request_once(key, f"once-{key}", issued - 1300)
            world.request_once(key, f"again-{key}", issued)
        world.run(0.5)
        assert len(world.runs) == 2 * len(KEYS)
        assert set(world.runs.values()) == {1}


class TestCost:
    def test_of_an_idle_cell_does_not_grow_with_its_vms(self):
        # The store counts each call; 2,000 VMs may not each call it every second.
        calls = []
        for vms in (5, 11, 22):
            world = build_world(vms=vms, settle=8.0)
            before = world.sent_store
            world.run(20.0)
            calls.append((world.sent_store - before) / 20.0)
        assert max(calls) < 5.0
        assert max(calls) - min(calls) < 0.5
