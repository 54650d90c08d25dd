"""Tests of the requests that all VMs together send to a cold target."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.cold_targets import ColdTargets
from berylstage_entry.membership import ASSUMED_STARTING_VMS
from berylstage_entry.protocols import Record
from berylstage_entry.services import Service
from fakes import BOUNDS, target
from virtual_time import virtual_loop

COLD_SECONDS = 20.0
SERVICE = Service("s", "/", 50, 3.0, 5.3, False)


class ColdFleet:
    """VMs that offer more requests than a cold target bears."""

    def __init__(self, vms, known_at_start):
        self.vms = []
        for number in range(vms):
            view = ClusterView()
            cold = target("t", cold_seconds_left=COLD_SECONDS)
            view.apply(Record(target=cold), now(), False)
            vm = ColdTargets(view, BOUNDS, f"vm-{number}")
            self.tell(vm, known_at_start)
            self.vms.append(vm)
        self.arrivals = []

    def tell(self, vm, known):
        """Let a VM know a number of VMs."""
        vm.vm_count = known + ASSUMED_STARTING_VMS
        vm.vm_names = [f"vm-{number}" for number in range(known)]

    async def play(self, seconds):
        end = now() + seconds
        while now() < end:
            for vm in self.vms:
                if vm.may_send("t", SERVICE):
                    vm.record_request("t", SERVICE)
                    self.arrivals.append(now())
            await asyncio.sleep(0.01)

    def max_per_second(self, since):
        arrivals = [moment for moment in self.arrivals if moment >= since]
        return max(
            sum(first <= a <= first + 1.0 for a in arrivals) for first in arrivals
        )


class TestColdTargets:
    @pytest.mark.parametrize("vms", [6, 8])
    def test_vms_that_knew_few_others_stay_within_the_bound(self, vms):
        # Guards against shares of the bound that are sized by the one VM that each knew
        # when it saw the target first, as after a loss of all VMs.
        with virtual_loop() as loop:
            fleet = ColdFleet(vms, known_at_start=1)
            loop.run_until_complete(fleet.play(0.5))
            learned_at = now()
            for vm in fleet.vms:
                fleet.tell(vm, vms)
            loop.run_until_complete(fleet.play(10.0))
        bound = BOUNDS.max_cold_requests(SERVICE.cold_requests_per_second)
        assert fleet.max_per_second(learned_at) <= bound
