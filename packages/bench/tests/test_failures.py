"""Failures of real processes under load, judged by the targets' ledgers.

``make failures`` runs all of them and ``make failures-ci`` the fixed part that CI runs.
"""

from __future__ import annotations

import asyncio
import json
from signal import SIGCONT, SIGSTOP

import pytest
from berylstage_standins.call_record import CallOutcome

pytestmark = pytest.mark.failures
in_ci = pytest.mark.failures_ci

VM = "almaty-b-1"
TARGET = "field-log-01"
# Three times the lease time, so that everything the holder held has lapsed.
PAST_THE_LEASE = 3.0
# Longer than the deadline of any kind in the demo's mix, and what callers add to it.
PAST_THE_PATIENCE = 7.0
# Long enough that work is in the slots of the targets at any moment, and short enough
# that the few slots of the demo bear the load.
LONG_WORK = {"record-visit": 100.0, "dispatch": 100.0}


def in_centre(cfg, target):
    """Tell whether a target stands in the data centre of the VM that is lost."""
    return cfg.targets[target].data_centre == cfg.vms[VM].data_centre


class TestLostVm:
    @in_ci
    def test_its_keys_are_served_by_others(self, trial):
        # A machine goes away with requests half done. Technicians whose requests
        # went through it get no answer and ask again through another VM; the keys of
        # the targets that it led are served by the VM that leads them next.
        async def scenario(played):
            await asyncio.sleep(1.0)
            played.installation.kill(VM)
            assert await played.unserved() == []
            await asyncio.to_thread(played.installation.start_vm, VM)
            await played.installation.await_ready()
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)

    def test_all_at_once(self, trial):
        # Every VM is lost at the same moment, as after a bad roll-out. The store and
        # the targets are all that is left; nothing is served until the VMs are back,
        # and what ran before must not run again for a caller's retry.
        async def scenario(played):
            await asyncio.sleep(1.0)
            for name in played.installation.vms:
                played.installation.kill(name)
            for name in played.installation.vms:
                await asyncio.to_thread(played.installation.start_vm, name)
            await played.installation.await_ready()
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)


class TestPausedVm:
    @in_ci
    def test_it_returns_with_requests_half_sent(self, trial):
        # A VM is paused for longer than its lease while requests wait in it and at
        # its targets, then goes on as if nothing had happened. Were it to send what
        # it holds, two targets would work on one key, or an order would run twice.
        async def scenario(played):
            await asyncio.sleep(1.0)
            played.installation.signal(VM, SIGSTOP)
            await asyncio.sleep(PAST_THE_LEASE)
            assert await played.unserved() == []
            played.installation.signal(VM, SIGCONT)
            await asyncio.sleep(1.0)
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)

    def test_its_callers_ask_again_elsewhere(self, trial):
        # A VM stops right after its targets took orders from it. The orders run, but no
        # answer comes, so that the callers repeat them with the same key through other
        # VMs. A motor that is shipped twice is what a user would notice.
        async def scenario(played):
            await asyncio.sleep(1.0)
            played.installation.signal(VM, SIGSTOP)
            await asyncio.sleep(PAST_THE_PATIENCE)
            assert await played.unserved() == []
            played.installation.signal(VM, SIGCONT)
            await asyncio.sleep(1.0)

        trial(scenario, work_ms=LONG_WORK)

    def test_short_pauses_one_after_the_other(self, trial):
        # Noisy neighbours stop a VM for about a lease time, again and again. Each
        # time it may or may not still be the holder of what it held.
        async def scenario(played):
            for _ in range(4):
                played.installation.signal(VM, SIGSTOP)
                await asyncio.sleep(1.0)
                played.installation.signal(VM, SIGCONT)
                await asyncio.sleep(1.0)
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)


class TestLostTarget:
    @in_ci
    def test_its_keys_are_served_by_others(self, trial):
        # A target dies with work in its slots. Its keys go to other targets; orders
        # that were in work there end as unknown and never run a second time.
        async def scenario(played):
            await asyncio.sleep(1.0)
            played.installation.kill(TARGET)
            assert await played.unserved() == []
            await asyncio.to_thread(played.installation.start_target, TARGET)
            await asyncio.sleep(1.0)
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)


class TestLostDataCentre:
    def test_its_keys_are_served_elsewhere(self, trial):
        # A data centre loses its power: its VM and its targets are gone at one moment,
        # with work in their slots. The VMs that take the leads over find the targets
        # lost as well, and their keys go to other data centres.
        async def scenario(played):
            await asyncio.sleep(1.0)
            lost = [VM, *(t for t in played.cfg.targets if in_centre(played.cfg, t))]
            for name in lost:
                played.installation.kill(name)
            assert await played.unserved() == []
            for target in lost[1:]:
                await asyncio.to_thread(played.installation.start_target, target)
            await asyncio.to_thread(played.installation.start_vm, VM)
            await played.installation.await_ready()
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)


class TestPausedTarget:
    def test_it_returns_as_if_nothing_had_happened(self, trial):
        # A target freezes with work in its slots and returns when its keys have
        # another owner. Its grant has lapsed by then, so that its work of before takes
        # no effect; a technician would see a visit recorded in two places.
        async def scenario(played):
            await asyncio.sleep(1.0)
            played.installation.signal(TARGET, SIGSTOP)
            await asyncio.sleep(PAST_THE_LEASE)
            assert await played.unserved() == []
            played.installation.signal(TARGET, SIGCONT)
            await asyncio.sleep(1.0)
            assert await played.unserved() == []

        trial(scenario, work_ms=LONG_WORK)


class TestStoreOutage:
    @in_ci
    def test_keys_stay_served(self, trial):
        # The platform's store is down for a long while. Nobody may notice: leases are
        # kept without it, and no key is without an owner because of the outage. VMs
        # are ready before the first keys have owners, so these are waited for: in an
        # outage that begins earlier no key can get one, since no assignment can be
        # written.
        async def scenario(played):
            assert await played.unserved() == []
            await played.set_platform_faults(down="closed")
            await asyncio.sleep(PAST_THE_LEASE)
            assert await played.unserved() == []
            await played.set_platform_faults(down="")

        verdict = trial(scenario)
        assert verdict.ends[CallOutcome.ANSWERED] == len(verdict.requests)

    def test_a_vm_is_lost_meanwhile(self, trial):
        # A VM is lost while the store is down. Its targets' leads can only change
        # hands through the store, so that their keys wait; all others are served,
        # and all are once the store is back.
        async def scenario(played):
            await played.set_platform_faults(down="silent")
            played.installation.kill(VM)
            await asyncio.sleep(PAST_THE_LEASE)
            await played.set_platform_faults(down="")
            assert await played.unserved() == []

        trial(scenario)

    def test_a_vm_starts_meanwhile(self, trial):
        # A VM is replaced while the store is down. It has no configuration of its
        # own and must take it from its peers, or the balancer would run out of VMs
        # in a long outage.
        async def scenario(played):
            played.installation.kill(VM)
            await asyncio.sleep(1.0)
            await played.set_platform_faults(down="closed", down_for="/kv")
            await asyncio.to_thread(played.installation.start_vm, VM)
            await played.installation.await_ready()
            await played.set_platform_faults(down="")
            assert await played.unserved() == []

        trial(scenario)


class TestOperators:
    @in_ci
    def test_a_lost_answer_is_settled(self, trial):
        # The store takes the sheet and its answer gets lost. The operator is told
        # that it is accepted, and it is there once.
        async def scenario(played):
            sheet = await played.operator.edited("shymkent-a", "closed")
            await played.set_platform_faults(lose_answers=1, lose_by_close=True)
            assert await played.operator.apply(sheet) == 2
            history = (await played.operator.document("history"))["revisions"]
            assert [summary["revision"] for summary in history] == [2, 1]

        trial(scenario)

    @in_ci
    def test_two_race(self, trial):
        # Two operators edit the same sheet and apply at the same moment. One wins; the
        # other is told what it would have undone, and nothing of its sheet is in force.
        async def scenario(played):
            sheets = [
                await played.operator.edited(name, "closed")
                for name in ("shymkent-a", "taraz-a")
            ]
            done = await asyncio.gather(
                *(
                    played.operator.run("apply", str(sheet), "--yes", "--json")
                    for sheet in sheets
                )
            )
            by_code = {each.returncode: json.loads(each.stdout) for each in done}
            assert sorted(by_code) == [0, 3]
            assert by_code[0]["accepted"] == by_code[3]["winner"]["revision"] == 2
            shown = await played.operator.document("export")
            closed = [row for row in shown["sheet"].splitlines() if "closed" in row]
            assert len(closed) == 1

        trial(scenario)


class TestGracefulStop:
    @in_ci
    def test_no_request_is_cut(self, trial):
        # A VM is taken away in the ordinary way while callers use it. Requests that it
        # has taken in get their answers; it hands its leads over and ends by itself.
        async def scenario(played):
            await asyncio.sleep(1.0)
            stop = played.installation.stop_gracefully
            assert await asyncio.to_thread(stop, VM) == 0
            assert await played.unserved() == []

        verdict = trial(scenario, work_ms=LONG_WORK)
        cut = [r for r in verdict.records if r.outcome is CallOutcome.LOST]
        assert [(record.vm, record.reason) for record in cut] == []

    def test_the_last_one_ends_too(self, trial):
        # All VMs are replaced one after the other, and none comes up meanwhile. The
        # last has nobody to hand its leads to, and must not hang until it is killed.
        async def scenario(played):
            await played.callers.pause()
            for name in played.installation.vms:
                stop = played.installation.stop_gracefully
                assert await asyncio.to_thread(stop, name) == 0
            for name in played.installation.vms:
                await asyncio.to_thread(played.installation.start_vm, name)
            await played.installation.await_ready()
            assert await played.unserved() == []

        trial(scenario)
