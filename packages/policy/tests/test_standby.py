"""Tests of which VMs stand by for a duty."""

from __future__ import annotations

from berylstage_policy.standby import stands_by

VMS = [f"vm-{n}" for n in range(18)]


class TestStandsBy:
    def test_one_vm_of_a_data_centre(self):
        assert sum(stands_by(vm, VMS) for vm in VMS) == 1

    def test_vm_that_is_not_known_yet(self):
        # All VMs start at once, and none has heard of another. Somebody has to take the
        # duty, or no key gets an owner.
        assert stands_by("vm-1", [])
        assert stands_by("new", VMS)

    def test_only_the_place_of_a_lost_one_changes_hands(self):
        first = next(vm for vm in VMS if stands_by(vm, VMS))
        for lost in VMS:
            left = [vm for vm in VMS if vm != lost]
            if lost != first:
                assert stands_by(first, left)
            assert sum(stands_by(vm, left) for vm in left) == 1
