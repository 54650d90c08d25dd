"""VMs, targets and a store under any sequence of faults, in virtual time."""

from __future__ import annotations

import os

import pytest
from cluster_simulation import TARGETS, VMS, ClusterSimulation
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from virtual_time import virtual_loop

# Examples per test run, always the same ones. BERYLSTAGE_EXPLORE asks for more, chosen
# at random.
EXAMPLES = 12
EXPLORED_EXAMPLES = int(os.environ.get("BERYLSTAGE_EXPLORE", "0"))

vms = st.sampled_from(VMS)
targets = st.sampled_from(TARGETS)
seconds = st.sampled_from([0.1, 0.4, 1.0, 2.5, 5.0])


class OwnershipMachine(RuleBasedStateMachine):
    """Checks after each step that no key has two holders and that fences increase."""

    def __init__(self):
        super().__init__()
        self._scope = virtual_loop()
        self.cluster = ClusterSimulation(self._scope.__enter__())

    def advance(self, seconds_to_run):
        self.cluster.run(seconds_to_run)
        assert not self.cluster.violations()

    @rule(seconds_to_run=seconds)
    def time_passes(self, seconds_to_run):
        self.advance(seconds_to_run)

    @rule(away=st.booleans(), seconds_to_run=seconds)
    def store_goes_or_returns(self, away, seconds_to_run):
        self.cluster.store.is_unreachable = away
        self.advance(seconds_to_run)

    @rule(late=st.sampled_from([0.0, 1.0, 3.0]), seconds_to_run=seconds)
    def writes_are_carried_out_late(self, late, seconds_to_run):
        self.cluster.store.late_writes = late
        self.advance(seconds_to_run)

    @rule(vm=vms, away=st.booleans(), seconds_to_run=seconds)
    def vm_is_cut_off_from_the_store(self, vm, away, seconds_to_run):
        if vm in self.cluster.vms:
            self.cluster.vms[vm].view.is_unreachable = away
        self.advance(seconds_to_run)

    @rule(vm=vms, seconds_to_run=seconds)
    def vm_is_killed(self, vm, seconds_to_run):
        self.cluster.kill(vm)
        self.advance(seconds_to_run)

    @rule(vm=vms, seconds_to_run=seconds)
    def vm_stops(self, vm, seconds_to_run):
        self.cluster.stop(vm)
        self.advance(seconds_to_run)

    @rule(vm=vms, seconds_to_run=seconds)
    def vm_starts(self, vm, seconds_to_run):
        self.cluster.start(vm)
        self.advance(seconds_to_run)

    @rule(name=targets, silent=st.booleans(), seconds_to_run=seconds)
    def target_is_silent(self, name, silent, seconds_to_run):
        self.cluster.protocol.silent.discard(name)
        if silent:
            self.cluster.protocol.silent.add(name)
        self.advance(seconds_to_run)

    @rule(name=targets, cut=st.booleans(), seconds_to_run=seconds)
    def target_is_cut_off(self, name, cut, seconds_to_run):
        self.cluster.protocol.unreachable.discard(name)
        if cut:
            self.cluster.protocol.unreachable.add(name)
        self.advance(seconds_to_run)

    @rule(name=targets, refuses=st.booleans(), seconds_to_run=seconds)
    def target_refuses_connections(self, name, refuses, seconds_to_run):
        self.cluster.protocol.refusing.discard(name)
        if refuses:
            self.cluster.protocol.refusing.add(name)
        self.advance(seconds_to_run)

    @rule(name=targets, late=st.sampled_from([0.0, 0.6, 2.5]), seconds_to_run=seconds)
    def orders_are_carried_out_late(self, name, late, seconds_to_run):
        self.cluster.protocol.late.pop(name, None)
        if late:
            self.cluster.protocol.late[name] = late
        self.advance(seconds_to_run)

    @rule(name=targets, seconds_to_run=seconds)
    def target_comes_or_stays(self, name, seconds_to_run):
        self.cluster.write_record(name)
        self.advance(seconds_to_run)

    @rule(name=targets, seconds_to_run=seconds)
    def target_leaves(self, name, seconds_to_run):
        self.cluster.write_record(name, is_draining=True)
        self.advance(seconds_to_run)

    @rule(name=targets, seconds_to_run=seconds)
    def record_goes(self, name, seconds_to_run):
        self.cluster.remove_record(name)
        self.advance(seconds_to_run)

    @rule(name=targets, work=st.sampled_from([0.3, 1.5, 6.0]), seconds_to_run=seconds)
    def target_closes_its_port_and_completes(self, name, work, seconds_to_run):
        self.cluster.leave(name, work)
        self.advance(seconds_to_run)

    @rule(name=targets, seconds_to_run=seconds)
    def process_of_a_target_ends(self, name, seconds_to_run):
        self.cluster.stop_process(name)
        self.advance(seconds_to_run)

    @rule(name=targets, seconds_to_run=seconds)
    def target_starts_again(self, name, seconds_to_run):
        self.cluster.restart_target(name)
        self.advance(seconds_to_run)

    @rule(
        first=st.sampled_from([0, 9000, 40000]),
        count=st.integers(1, 9),
        seconds_to_run=seconds,
    )
    def keys_are_busy(self, first, count, seconds_to_run):
        self.cluster.report_hot_keys(first, count)
        self.advance(seconds_to_run)

    @rule(delay=st.sampled_from([0.0, 0.5, 1.5]), seconds_to_run=seconds)
    def work_on_released_keys_goes_on(self, delay, seconds_to_run):
        self.cluster.protocol.release_delay = delay
        self.advance(seconds_to_run)

    def teardown(self):
        try:
            self.cluster.clear_faults()
            assert not self.cluster.violations()
            assert not self.cluster.keys_without_holder()
        finally:
            for vm in VMS:
                self.cluster.kill(vm)
            self._scope.__exit__(None, None, None)


class TestRegressions:
    """Sequences of steps that violated an invariant."""

    @pytest.fixture
    def cluster(self):
        with virtual_loop() as loop:
            cluster = ClusterSimulation(loop)
            yield cluster
            for vm in VMS:
                cluster.kill(vm)

    def test_targets_get_keys_again_after_refused_connections(self, cluster):
        # Guards against keys that stay without an owner although their targets live:
        # connections to the targets were refused for seconds, and they still report
        # under the same incarnation.
        for name in TARGETS[:3]:
            cluster.stop_process(name)
        cluster.run(3.0)
        cluster.clear_faults()
        assert not cluster.violations()
        assert not cluster.keys_without_holder()

    def test_grant_in_transit_to_a_terminating_process(self, cluster):
        # Guards against keys with two holders, one of which is a terminated process.
        for seconds_to_run in (0.1, 0.4, 0.1):
            cluster.stop_process("a")
            cluster.run(seconds_to_run)
        cluster.run(0.1)
        cluster.stop_process("b")
        cluster.run(1.0)
        assert not cluster.violations()
        cluster.clear_faults()
        assert not cluster.violations()
        assert not cluster.keys_without_holder()


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(
    max_examples=EXPLORED_EXAMPLES or EXAMPLES,
    stateful_step_count=15,
    derandomize=not EXPLORED_EXAMPLES,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
