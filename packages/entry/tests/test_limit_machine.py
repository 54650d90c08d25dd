"""A target that names limits, and VMs under any sequence of faults, in virtual time."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule
from limit_fleet import LimitFleet
from virtual_time import virtual_loop

VMS = 8
# Requests per second of all callers, more than any limit.
REQUESTS_PER_SECOND = 40.0
# Examples per test run, always the same ones. BERYLSTAGE_EXPLORE asks for more, chosen
# at random.
EXAMPLES = 20
EXPLORED_EXAMPLES = int(os.environ.get("BERYLSTAGE_EXPLORE", "0"))

vms = st.sampled_from([f"vm-{number}" for number in range(VMS)])
seconds = st.sampled_from([0.1, 0.5, 1.5, 4.0])
# Weighted towards limits: without one there is nothing to keep.
limits = st.sampled_from([None, 0.0, 0.5, 2.0, 2.0, 5.0, 15.0])


class LimitMachine(RuleBasedStateMachine):
    """Checks after each step that the target has got no more than it accepts."""

    def __init__(self):
        super().__init__()
        self._scope = virtual_loop()
        self.fleet = LimitFleet(self._scope.__enter__(), VMS)
        self.fleet.start()

    def advance(self, seconds_to_run):
        fleet = self.fleet
        fleet.run(seconds_to_run, REQUESTS_PER_SECOND)
        if fleet.limit is not None:
            assert fleet.most_in_a_window() <= fleet.allowed_in_a_window()

    @rule(limit=limits, seconds_to_run=seconds)
    def target_names_a_limit_or_none(self, limit, seconds_to_run):
        self.fleet.set_limit(limit)
        self.advance(seconds_to_run)

    @rule(seconds_to_run=seconds)
    def time_passes(self, seconds_to_run):
        self.advance(seconds_to_run)

    @rule(vm=vms, seconds_to_run=seconds)
    def vm_starts_again(self, vm, seconds_to_run):
        self.fleet.restart([vm])
        self.advance(seconds_to_run)

    @rule(seconds_to_run=seconds)
    def quota_server_starts_again(self, seconds_to_run):
        client = next(iter(self.fleet.running.values())).client
        self.fleet.restart(client._servers_for("a")[:1])
        self.advance(seconds_to_run)

    @rule(vm=vms, part=st.sampled_from([0, 1, 2]), seconds_to_run=seconds)
    def vm_is_cut_off_or_comes_back(self, vm, part, seconds_to_run):
        self.fleet.cut_off([vm], part)
        self.advance(seconds_to_run)

    @rule(vm=vms, seconds_to_run=seconds)
    def vm_is_suspended(self, vm, seconds_to_run):
        self.fleet.suspend(vm)
        self.advance(seconds_to_run)
        self.fleet.resume(vm)
        self.advance(0.1)

    @rule(
        delay=st.sampled_from([0.002, 0.1]),
        lost=st.sampled_from([0.0, 0.5]),
        slowest=st.sampled_from([0.3, 3.0]),
        seconds_to_run=seconds,
    )
    def network_and_answers_change(self, delay, lost, slowest, seconds_to_run):
        self.fleet.max_delay = delay
        self.fleet.lost_answer_share = lost
        self.fleet.answer_seconds = (0.02, slowest)
        self.advance(seconds_to_run)

    def teardown(self):
        for vm in list(self.fleet.running):
            self.fleet.kill(vm)
        self._scope.__exit__(None, None, None)


TestLimits = LimitMachine.TestCase
TestLimits.settings = settings(
    max_examples=EXPLORED_EXAMPLES or EXAMPLES,
    stateful_step_count=15,
    derandomize=not EXPLORED_EXAMPLES,
    database=None,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
