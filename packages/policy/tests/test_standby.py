"""Tests of the selection of standby VMs."""

from __future__ import annotations

from berylstage_policy.candidates import Candidate, compute_relative_capacity
from berylstage_policy.standby import election_delay, is_standby, should_yield

VMS = [f"vm-{n}" for n in range(18)]


def equal_candidates(vms):
    return [Candidate(vm, 1.0) for vm in vms]


class TestStandsBy:
    def test_one_vm_of_a_data_centre(self):
        assert sum(is_standby(vm, equal_candidates(VMS)) for vm in VMS) == 1

    def test_vm_that_is_not_known_yet(self):
        # All VMs start at once and do not know each other yet. One of them has to
        # become coordinator, or no key gets an owner.
        assert is_standby("vm-1", [])
        assert is_standby("new", equal_candidates(VMS))

    def test_only_the_place_of_a_lost_one_changes_hands(self):
        first = next(vm for vm in VMS if is_standby(vm, equal_candidates(VMS)))
        for lost in VMS:
            left = [vm for vm in VMS if vm != lost]
            if lost != first:
                assert is_standby(first, equal_candidates(left))
            assert sum(is_standby(vm, equal_candidates(left)) for vm in left) == 1

    def test_vm_with_room_comes_before_small_ones(self):
        # A VM with half a core and 10 Mbit/s became coordinator for 165 targets. Its
        # grants were late, so targets counted as unresponsive and their keys moved, and
        # sending that to 62 VMs saturated its link.
        mixed = [*(Candidate(vm, 0.1) for vm in VMS[:-1]), Candidate(VMS[-1], 1.0)]
        assert [vm for vm in VMS if is_standby(vm, mixed)] == [VMS[-1]]


class TestWait:
    def test_vm_with_all_it_takes_waits_for_nobody(self):
        assert election_delay(compute_relative_capacity(2.0, 200.0)) == 0

    def test_small_vm_waits_for_better_ones(self):
        assert election_delay(compute_relative_capacity(0.43, 10.0)) > 0.4

    def test_duty_is_left_to_a_much_better_vm_only(self):
        assert should_yield(
            compute_relative_capacity(0.43, 10.0), compute_relative_capacity(2.0, 200.0)
        )
        assert not should_yield(
            compute_relative_capacity(0.7, 1000.0),
            compute_relative_capacity(2.0, 200.0),
        )
