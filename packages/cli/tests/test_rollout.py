"""Tests of waiting until a revision is in force."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_cli.rollout import wait_in_force
from berylstage_cli.vms import VmFault, VmStatus
from berylstage_platform.errors import StoreUnavailable

TIMEOUT = 10.0
SILENT = VmFault("no answer (timeout)")


@pytest.fixture
def cfg(configuration):
    cfg = configuration()
    cfg.revision = 2
    return cfg


@pytest.fixture
def wait(conns, cfg, vms):
    """Return a function that waits; VMs have revision 2 unless a test says else."""
    for record in vms.records:
        answer = VmStatus(record.name, record.data_centre, 2)
        vms.answers[record.name] = [answer]
    return lambda: asyncio.run(wait_in_force(conns, cfg, TIMEOUT))


class TestWaitInForce:
    def test_waits_for_the_last_vm(self, wait, vms, fake_time):
        old, new = VmStatus("south-1", "south", 1), VmStatus("south-1", "south", 3)
        vms.answers["south-1"] = [old, SILENT, new]
        assert wait().complete
        assert fake_time.now < TIMEOUT

    @pytest.mark.parametrize(
        ("answer", "problem"),
        [
            (VmStatus("south-1", "south", 1), "revision 1 is in force"),
            (SILENT, "no answer (timeout)"),
            (VmStatus("north-9", "south", 2), "north-9 answers at its address"),
        ],
    )
    def test_names_the_vm_that_lacks_it(self, wait, vms, fake_time, answer, problem):
        # A VM is cut off, or its address went to another one while the platform's
        # list lags. The operator must not take the sheet for being in force there.
        vms.answers["south-1"] = [answer]
        rollout = wait()
        assert [vm.name for vm in rollout.missing] == ["south-1"]
        assert problem in rollout.missing[0].problem
        assert not rollout.complete
        assert fake_time.now == pytest.approx(TIMEOUT)

    def test_vm_that_has_left(self, wait, vms):
        # The platform takes a VM away and its list still shows it as leaving. Nobody
        # is there to have the sheet in force, so nobody waits for it.
        vms.records[1].leaving = True
        vms.answers["south-1"] = [SILENT]
        assert wait().complete

    def test_leaving_vm_that_still_works(self, wait, vms):
        # A VM that is being replaced still answers callers under the old revision.
        vms.records[1].leaving = True
        vms.answers["south-1"] = [VmStatus("south-1", "south", 1)]
        assert not wait().complete

    def test_vm_that_the_platform_does_not_list(self, wait, vms):
        # A VM failed and the platform dropped it, but the sheet still has it. It is
        # named, and does not hold up the morning's change.
        vms.records.pop()
        rollout = wait()
        assert rollout.complete
        assert rollout.unlisted == ["south-1"]

    def test_no_vm_at_all(self, wait, vms):
        # No VM runs yet: the sheet is accepted but in force nowhere.
        vms.records.clear()
        assert not wait().complete

    def test_list_cannot_be_read(self, wait, vms):
        # The platform goes down after it has taken the sheet.
        vms.listing_fault = StoreUnavailable("no answer")
        assert "could not be read" in wait().problem
