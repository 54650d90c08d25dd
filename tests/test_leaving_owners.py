"""Tests with real processes of owners of keys that leave, crash or are cut off."""

from __future__ import annotations

import asyncio
import time
from random import Random

import pytest
from soak.callers import Request
from soak.installation import Installation
from soak.target_links import CutMode

VMS = 3
# The owner's requests take most of their route's timeout of 1.2 s.
SERVICE_SECONDS = 1.0
# Seconds for which owners are cut off, one after the other.
CUT_SECONDS = (1.0, 0.3, 2.5)
# Seconds after which no grant from before a cut is valid any more.
MAX_GRANT_SECONDS = 3.5
# Longest grant, with what may pass until it is known to have expired, and a move.
MAX_SECONDS_AFTER_LOSS = 5.0


def owners(installation, key):
    """Return the running targets that hold a key."""
    return [
        target
        for target in installation.targets
        if target.is_running and target.holds_key(key)
    ]


async def wait_for_owner(installation, key):
    """Return the target that holds a key, once all targets of the service hold some."""
    keyed = [t for t in installation.targets if t.service == "s"]
    while not owners(installation, key) or not all(t.holds for t in keyed):
        await asyncio.sleep(0.05)
    # The first moves for balance are over by then.
    await asyncio.sleep(2.0)
    return owners(installation, key)[0]


async def send_lookup(installation, vm_number, request_id, key):
    """Send a lookup to a VM."""
    request = Request(request_id, key)
    await installation.send_requests(installation.vms[vm_number], [request], 0.0)


async def lose_owner(folder, vms, lose, busy_vms):
    """Lose the owner of a key that VMs have requests for.

    Returns
    -------
    tuple of (list of str, float)
        Violations, and the seconds until the key had another owner.
    """
    installation = Installation(folder, Random(1), vms)
    key = 1000
    try:
        for vm in installation.vms:
            await installation.wait_until_ready(vm)
        owner = await wait_for_owner(installation, key)
        owner.min_service_seconds = SERVICE_SECONDS
        lookups = [
            asyncio.create_task(send_lookup(installation, n, f"lookup-{n}", key))
            for n in busy_vms
        ]
        while len(installation.ledger.running_keys(owner)) < len(busy_vms):
            await asyncio.sleep(0.01)
        began = time.monotonic()
        ending = asyncio.create_task(lose(owner))
        while not owners(installation, key):
            await asyncio.sleep(0.01)
        seconds = time.monotonic() - began
        await asyncio.gather(ending, *lookups)
        return installation.ledger.find_violations(), seconds
    finally:
        installation.stop()


def play(folder, lose, busy_vms, vms=VMS):
    return asyncio.run(
        asyncio.wait_for(lose_owner(folder, vms, lose, busy_vms), timeout=60.0)
    )


async def cut_owners_off(folder, mode):
    """Cut off one owner after the other from all VMs, and return the violations."""
    installation = Installation(folder, Random(1), VMS, has_target_links=True)
    try:
        for vm in installation.vms:
            await installation.wait_until_ready(vm)
        await wait_for_owner(installation, 1000)
        keyed = [t for t in installation.targets if t.service == "s"]
        for owner, seconds in zip(keyed, CUT_SECONDS, strict=False):
            for link in owner.links:
                link.cut(mode)
            await asyncio.sleep(seconds)
            for link in owner.links:
                link.heal()
            # Its grants from before the cut would have expired by then.
            await asyncio.sleep(MAX_GRANT_SECONDS)
        return installation.ledger.find_violations()
    finally:
        installation.stop()


async def crash(owner):
    # The requests that it runs are lost with it.
    moment = time.monotonic()
    owner.ledger.record_unplanned_fault(moment, moment)
    await owner.crash()


async def leave(owner):
    await owner.leave()


@pytest.mark.failures
@pytest.mark.failures_ci
class TestLostOwners:
    @pytest.mark.parametrize("busy_vms", [(0,), (0, 1), (2,)])
    def test_leaving_owner_keeps_keys_that_it_works_on(self, tmp_path, busy_vms):
        # Guards against giving keys on because their owner has closed its port, while
        # requests for them go on over the connections that it has.
        violations, seconds = play(tmp_path, leave, busy_vms)
        assert violations == []
        assert seconds <= MAX_SECONDS_AFTER_LOSS

    @pytest.mark.parametrize("busy_vms", [(), (0, 1)])
    def test_keys_of_a_crashed_owner_have_another_one(self, tmp_path, busy_vms):
        # Guards against keys that wait for longer than the grants of a process that has
        # ended.
        violations, seconds = play(tmp_path, crash, busy_vms)
        assert violations == []
        assert seconds <= MAX_SECONDS_AFTER_LOSS


@pytest.mark.failures
class TestOwnersCutOff:
    @pytest.mark.parametrize(
        "mode",
        [
            pytest.param(CutMode.RESET, marks=pytest.mark.failures_ci),
            CutMode.REFUSING,
            CutMode.SILENT,
        ],
    )
    def test_owners_that_are_cut_off_keep_their_keys(self, tmp_path, mode):
        # Guards against taking the refused connections of a cut for the owner's end.
        violations = asyncio.run(
            asyncio.wait_for(cut_owners_off(tmp_path, mode), timeout=60.0)
        )
        assert violations == []
