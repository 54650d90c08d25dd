"""Tests of becoming coordinator and of stepping down."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_entry.clock import now
from berylstage_entry.coordinator_election import LEASE_SECONDS, MIN_TERM_SECONDS
from berylstage_entry.errors import StoreUnavailable
from berylstage_entry.store_keys import COORDINATOR_KEY
from berylstage_entry.store_watcher import StoreWatcher
from cluster_simulation import VMS, ClusterSimulation
from fakes import LateAnswers, StoreView
from virtual_time import virtual_loop


@pytest.fixture
def cluster():
    with virtual_loop() as loop:
        simulation = ClusterSimulation(loop)
        yield simulation
        for name in VMS:
            simulation.kill(name)


def coordinators(cluster):
    return [name for name, vm in cluster.vms.items() if vm.election.is_coordinator()]


class TestYielding:
    def test_stepping_down_for_a_larger_vm_leaves_no_key_without_owner(self, cluster):
        # A small VM became coordinator while the larger ones were starting. Under load
        # it grants keys late; when it steps down, no key loses its owner.
        (small,) = coordinators(cluster)
        large = next(name for name in VMS if name != small)
        cluster.vms[small].election.preferred_coordinator = lambda: large
        assert (
            cluster.measure_unavailability(MIN_TERM_SECONDS + LEASE_SECONDS + 1.0) == 0
        )
        assert coordinators(cluster) not in ([], [small])
        assert not cluster.violations()

    def test_coordinator_stays_while_the_larger_vm_has_failed(self, cluster):
        # A VM's record remains for the duration of its lease. A coordinator that
        # stepped down for a VM that has failed would do so again and again.
        (small,) = coordinators(cluster)
        large = next(name for name in VMS if name != small)
        cluster.vms[small].election.preferred_coordinator = lambda: large
        cluster.kill(large)
        cluster.run(2 * MIN_TERM_SECONDS)
        assert coordinators(cluster) == [small]

    def test_coordinator_stays_while_the_larger_vm_has_lost_the_store(self, cluster):
        (small,) = coordinators(cluster)
        large = next(name for name in VMS if name != small)
        cluster.vms[small].election.preferred_coordinator = lambda: large
        cluster.vms[large].view.is_unreachable = True
        cluster.run(2 * MIN_TERM_SECONDS)
        assert coordinators(cluster) == [small]


class TestLostLinks:
    """A coordinator that has lost its links to targets."""

    def test_another_vm_takes_over_before_grants_expire(self, cluster):
        # Guards against keys without an owner at all VMs, because one has lost its
        # links.
        (name,) = coordinators(cluster)
        cluster.vms[name].election.count_lost_links = lambda: 3
        assert cluster.measure_unavailability(6.0) == 0
        assert coordinators(cluster) not in ([], [name])
        assert not cluster.violations()

    def test_vm_that_is_refused_new_connections_lets_others_go_first(self, cluster):
        # Guards against a successor whose open connections hide that it is cut off.
        async def has_no_links():
            return False

        (name,) = coordinators(cluster)
        others = [vm for vm in VMS if vm != name]
        cluster.vms[name].election.count_lost_links = lambda: 1
        cluster.vms[others[0]].election.has_links = has_no_links
        assert cluster.measure_unavailability(6.0) == 0
        assert coordinators(cluster) == [others[1]]

    def test_coordinator_stays_while_others_have_lost_as_many(self, cluster):
        (name,) = coordinators(cluster)
        for vm in cluster.vms.values():
            vm.election.count_lost_links = lambda: 2
        cluster.run(6.0)
        assert coordinators(cluster) == [name]

    def test_all_vms_have_lost_their_links(self, cluster):
        for vm in cluster.vms.values():
            vm.election.count_lost_links = lambda: 3
        cluster.run(10.0)
        for vm in cluster.vms.values():
            vm.election.count_lost_links = lambda: 0
        cluster.run(6.0)
        assert len(coordinators(cluster)) == 1
        assert not cluster.violations()

    def test_coordinator_does_not_yield_to_a_larger_vm_without_links(self, cluster):
        (small,) = coordinators(cluster)
        large = next(name for name in VMS if name != small)
        cluster.vms[small].election.preferred_coordinator = lambda: large
        cluster.vms[large].election.count_lost_links = lambda: 3
        cluster.run(2 * MIN_TERM_SECONDS)
        assert coordinators(cluster) == [small]


class TestRefusedConnections:
    """A target that refuses the connections of all VMs, as over links that are cut."""

    @pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0, 8.0])
    def test_keys_are_not_given_on_while_the_target_may_hold_them(
        self, cluster, seconds
    ):
        # Guards against two holders of the same keys, because the connections to one of
        # them are refused for a while.
        cluster.protocol.refusing.add("a")
        cluster.run(seconds)
        cluster.protocol.refusing.clear()
        cluster.run(5.0)
        assert not cluster.violations()

    @pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0])
    def test_target_that_leaves_meanwhile(self, cluster, seconds):
        # Guards against taking a removed record and a refused connection together for
        # the end of a process.
        cluster.protocol.refusing.add("a")
        cluster.remove_record("a")
        cluster.run(seconds)
        cluster.protocol.refusing.clear()
        cluster.run(5.0)
        assert not cluster.violations()

    @pytest.mark.parametrize("seconds", [0.3, 1.0, 3.0])
    def test_coordinator_that_changes_meanwhile(self, cluster, seconds):
        # Guards against a new coordinator that gives on the keys of such a target.
        cluster.protocol.refusing.add("a")
        cluster.run(0.2)
        cluster.stop(coordinators(cluster)[0])
        cluster.run(seconds)
        cluster.protocol.refusing.clear()
        cluster.run(5.0)
        assert not cluster.violations()


class TestTakeover:
    """A VM becomes coordinator ahead of its predecessor's last changes."""

    @pytest.mark.parametrize("seconds", [0.0, 0.05, 0.1, 0.2, 0.4])
    def test_grants_of_keys_that_have_moved_are_not_renewed(self, cluster, seconds):
        # Guards against keys with two owners, because a new coordinator renews grants
        # by an assignment from before its predecessor's last moves.
        cluster.move_keys_of_unreachable_target("a")
        cluster.run(seconds)
        cluster.protocol.unreachable.clear()
        cluster.stop(coordinators(cluster)[0])
        cluster.run(6.0)
        assert len(coordinators(cluster)) == 1
        assert not cluster.violations()
        assert not cluster.keys_without_holder()

    def test_nothing_is_granted_while_earlier_changes_cannot_be_read(
        self, cluster, monkeypatch
    ):
        # Guards against a term that begins although the store answers no read.
        async def fail(self, revision):
            raise StoreUnavailable("no answer")

        cluster.move_keys_of_unreachable_target("a")
        cluster.protocol.unreachable.clear()
        with monkeypatch.context() as patch:
            patch.setattr(StoreWatcher, "read_until", fail)
            patch.setattr(StoreWatcher, "knows_changes_until", lambda *_: False)
            cluster.stop(coordinators(cluster)[0])
            cluster.run(1.0)
            assert not coordinators(cluster)
        cluster.run(6.0)
        assert len(coordinators(cluster)) == 1
        assert not cluster.violations()

    def test_changes_that_the_store_has_compacted(self, cluster):
        # Guards against a new coordinator that never begins, or begins too early.
        cluster.move_keys_of_unreachable_target("a")
        cluster.protocol.unreachable.clear()
        cluster.store.compacted = cluster.store.revision
        cluster.stop(coordinators(cluster)[0])
        cluster.run(6.0)
        assert len(coordinators(cluster)) == 1
        assert not cluster.violations()


class TestIdleVm:
    def test_other_vms_sleep_while_nothing_changes(self, cluster):
        # Hundreds of VMs serve besides the coordinator. Each that checked the election
        # and the grants ten times a second spent more time on that than on requests.
        (coordinator,) = coordinators(cluster)
        idle = cluster.vms[next(name for name in VMS if name != coordinator)]
        checks = []
        for part, name in (
            (idle.election, "_lacks_coordinator"),
            (idle.grant_controller, "_reconcile"),
        ):
            real = getattr(part, name)
            setattr(part, name, lambda real=real: checks.append(1) or real())
        real_holds = idle.election.is_coordinator
        idle.election.is_coordinator = lambda: checks.append(1) or real_holds()
        seconds = 20.0
        cluster.run(seconds)
        # The remaining checks come with the reads of the store.
        assert len(checks) / seconds < 5

    def test_idle_vm_takes_over_when_the_coordinator_fails(self, cluster):
        # A VM that sleeps until the coordinator's key changes must not miss the change:
        # grants would expire, and no key would have an owner.
        (coordinator,) = coordinators(cluster)
        cluster.kill(coordinator)
        cluster.run(LEASE_SECONDS + 1.0)
        (successor,) = coordinators(cluster)
        cluster.kill(successor)
        cluster.run(LEASE_SECONDS + 1.0)
        assert len(coordinators(cluster)) == 1


class SlowWrites(StoreView):
    """A store that applies writes late, except those that are cancelled."""

    async def write(self, conditions, writes, removals=()):
        await asyncio.sleep(0.2)
        return await super().write(conditions, writes, removals)


def is_stored_coordinator(cluster, name):
    """Tell whether the store names a VM as the coordinator."""
    item = cluster.store.items.get(COORDINATOR_KEY)
    return item is not None and json.loads(item.value)["vm"] == name


def run_until(cluster, condition):
    """Advance the time until a condition holds."""
    for _ in range(500):
        if condition():
            return
        cluster.run(0.02)
    raise AssertionError("condition not met in time")


def stop(cluster, name):
    """Stop a VM gracefully; return the seconds until another is coordinator."""
    start_time = now()
    cluster._loop.run_until_complete(cluster.vms[name].election.resign())
    cluster.kill(name)
    run_until(cluster, lambda: coordinators(cluster))
    return now() - start_time


class TestStop:
    """A VM stops while its calls to the store are in progress."""

    def test_lease_being_acquired_is_revoked_on_stop(self, cluster):
        # Guards against a coordinator's lease that stays with a stopped VM until it
        # expires, because the VM stopped before it knew that it had become coordinator.
        (predecessor,) = coordinators(cluster)
        name, other = [candidate for candidate in VMS if candidate != predecessor]
        vm = cluster.vms[name]
        vm.election._store = LateAnswers(cluster.store)
        # This VM becomes coordinator; the other follows later.
        cluster.vms[other].view.is_unreachable = True
        cluster._loop.run_until_complete(cluster.vms[predecessor].election.resign())
        cluster.kill(predecessor)
        run_until(cluster, lambda: is_stored_coordinator(cluster, name))
        assert not vm.election.is_coordinator()
        cluster.vms[other].view.is_unreachable = False
        assert stop(cluster, name) < LEASE_SECONDS / 2

    def test_lease_being_given_up_is_revoked_on_stop(self, cluster):
        # Guards against having no coordinator until the lease expires, because the
        # coordinator stopped while it was stepping down for another VM.
        (name,) = coordinators(cluster)
        vm = cluster.vms[name]
        vm.election._store = SlowWrites(cluster.store)
        vm.election.preferred_coordinator = lambda: next(
            candidate for candidate in VMS if candidate != name
        )
        run_until(cluster, lambda: not vm.election.is_coordinator())
        assert stop(cluster, name) < LEASE_SECONDS / 2
