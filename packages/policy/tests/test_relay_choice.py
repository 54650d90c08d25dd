"""Tests of the choice of the VM that sends for another one."""

from __future__ import annotations

from collections import Counter
from random import Random

from berylstage_policy.relay_choice import (
    MAX_LOCAL_IN_FLIGHT,
    RelayCandidate,
    choose_relay,
)


def candidates(count, local=(), **fields):
    values = {"relative_capacity": 1.0, "in_flight": 0} | fields
    return [
        RelayCandidate(f"vm-{n}", is_local=n in local, **values) for n in range(count)
    ]


class TestChooseRelay:
    def test_there_is_no_other_vm(self):
        assert choose_relay([], Random(1)) == ""

    def test_vm_of_the_same_data_centre_is_preferred(self):
        drawn = {choose_relay(candidates(9, local={3}), Random(n)) for n in range(50)}
        assert drawn == {"vm-3"}

    def test_busy_vm_of_the_same_data_centre_gets_no_more(self):
        # Guards against one VM that sends for all others of its data centre.
        vms = candidates(9, local={3})
        vms[3].in_flight = int(MAX_LOCAL_IN_FLIGHT)
        drawn = {choose_relay(vms, Random(n)) for n in range(50)}
        assert len(drawn) > 5

    def test_vms_that_are_known_to_reach_targets(self):
        # Guards against asking VMs by chance when most of them are cut off.
        vms = candidates(20)
        for n in (2, 5, 9):
            vms[n].is_proven = True
        drawn = {choose_relay(vms, Random(n)) for n in range(50)}
        assert drawn == {"vm-2", "vm-5", "vm-9"}

    def test_few_vms_are_known_to_reach_targets(self):
        vms = candidates(20)
        vms[2].is_proven = True
        drawn = {choose_relay(vms, Random(n)) for n in range(50)}
        assert len(drawn) > 10

    def test_requests_are_spread(self):
        # Guards against hundreds of VMs that all choose the same one.
        rng = Random(1)
        drawn = Counter(choose_relay(candidates(20), rng) for _ in range(2000))
        assert max(drawn.values()) < 2 * 2000 / 20

    def test_large_vms_get_more(self):
        vms = candidates(2)
        vms[0].relative_capacity = 0.2
        vms[0].in_flight, vms[1].in_flight = 1, 4
        assert choose_relay(vms, Random(1)) == "vm-1"
