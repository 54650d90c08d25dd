"""VMs, targets and a store under any sequence of faults, in virtual time."""

from __future__ import annotations

import os

import pytest
from granting_world import TARGETS, VMS, World
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from virtual_time import virtual_loop

# Examples per test run, always the same ones. BERYLSTAGE_EXPLORE asks for more, chosen
# at random.
EXAMPLES = 12
EXPLORED = int(os.environ.get("BERYLSTAGE_EXPLORE", "0"))

vms = st.sampled_from(VMS)
targets = st.sampled_from(TARGETS)
seconds = st.sampled_from([0.1, 0.4, 1.0, 2.5, 5.0])


class OwnershipMachine(RuleBasedStateMachine):
    """Checks after each step that no key has two holders and that fences increase."""

    def __init__(self):
        super().__init__()
        self._scope = virtual_loop()
        self.world = World(self._scope.__enter__())

    def after(self, moment):
        self.world.run(moment)
        assert not self.world.faults()

    @rule(moment=seconds)
    def time_passes(self, moment):
        self.after(moment)

    @rule(away=st.booleans(), moment=seconds)
    def store_goes_or_returns(self, away, moment):
        self.world.store.away = away
        self.after(moment)

    @rule(late=st.sampled_from([0.0, 1.0, 3.0]), moment=seconds)
    def writes_are_carried_out_late(self, late, moment):
        self.world.store.late_writes = late
        self.after(moment)

    @rule(vm=vms, away=st.booleans(), moment=seconds)
    def vm_is_cut_off_from_the_store(self, vm, away, moment):
        if vm in self.world.vms:
            self.world.vms[vm].view.away = away
        self.after(moment)

    @rule(vm=vms, moment=seconds)
    def vm_is_killed(self, vm, moment):
        self.world.kill(vm)
        self.after(moment)

    @rule(vm=vms, moment=seconds)
    def vm_stops(self, vm, moment):
        self.world.stop(vm)
        self.after(moment)

    @rule(vm=vms, moment=seconds)
    def vm_starts(self, vm, moment):
        self.world.start(vm)
        self.after(moment)

    @rule(name=targets, silent=st.booleans(), moment=seconds)
    def target_is_silent(self, name, silent, moment):
        self.world.wire.silent.discard(name)
        if silent:
            self.world.wire.silent.add(name)
        self.after(moment)

    @rule(name=targets, cut=st.booleans(), moment=seconds)
    def target_is_cut_off(self, name, cut, moment):
        self.world.wire.unreachable.discard(name)
        if cut:
            self.world.wire.unreachable.add(name)
        self.after(moment)

    @rule(name=targets, late=st.sampled_from([0.0, 0.6, 2.5]), moment=seconds)
    def orders_are_carried_out_late(self, name, late, moment):
        self.world.wire.late.pop(name, None)
        if late:
            self.world.wire.late[name] = late
        self.after(moment)

    @rule(name=targets, moment=seconds)
    def target_comes_or_stays(self, name, moment):
        self.world.put(name)
        self.after(moment)

    @rule(name=targets, moment=seconds)
    def target_leaves(self, name, moment):
        self.world.put(name, leaving=True)
        self.after(moment)

    @rule(name=targets, moment=seconds)
    def record_goes(self, name, moment):
        self.world.drop(name)
        self.after(moment)

    @rule(name=targets, moment=seconds)
    def process_of_a_target_ends(self, name, moment):
        self.world.stop_process(name)
        self.after(moment)

    @rule(name=targets, moment=seconds)
    def target_starts_again(self, name, moment):
        self.world.reborn(name)
        self.after(moment)

    @rule(
        first=st.sampled_from([0, 9000, 40000]), count=st.integers(1, 9), moment=seconds
    )
    def keys_are_busy(self, first, count, moment):
        self.world.busy(first, count)
        self.after(moment)

    @rule(delay=st.sampled_from([0.0, 0.5, 1.5]), moment=seconds)
    def work_on_released_keys_goes_on(self, delay, moment):
        self.world.wire.release_delay = delay
        self.after(moment)

    def teardown(self):
        try:
            self.world.heal()
            assert not self.world.faults()
            assert not self.world.ownerless()
        finally:
            for vm in VMS:
                self.world.kill(vm)
            self._scope.__exit__(None, None, None)


class TestFixedSteps:
    """Sequences of steps that violated an invariant."""

    @pytest.fixture
    def world(self):
        with virtual_loop() as loop:
            world = World(loop)
            yield world
            for vm in VMS:
                world.kill(vm)

    def test_targets_whose_ports_refuse_for_a_while_get_keys_again(self, world):
        # Guards against keys that stay without an owner although their targets live:
        # connections to the targets were refused for seconds, and they still report
        # under the same incarnation.
        for name in TARGETS[:3]:
            world.stop_process(name)
        world.run(3.0)
        world.heal()
        assert not world.faults()
        assert not world.ownerless()

    def test_grant_on_its_way_to_a_process_that_ends(self, world):
        # Guards against keys with two holders, one of which is a terminated process.
        for moment in (0.1, 0.4, 0.1):
            world.stop_process("a")
            world.run(moment)
        world.run(0.1)
        world.stop_process("b")
        world.run(1.0)
        assert not world.faults()
        world.heal()
        assert not world.faults()
        assert not world.ownerless()


TestOwnership = OwnershipMachine.TestCase
TestOwnership.settings = settings(
    max_examples=EXPLORED or EXAMPLES,
    stateful_step_count=15,
    derandomize=not EXPLORED,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
