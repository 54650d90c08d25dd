"""Tests of the first assignment of a service's keys."""

from __future__ import annotations

import asyncio

from berylstage_entry.assignment import KEY_COUNT
from berylstage_entry.placement.initial_assignment import (
    MAX_WAIT_SECONDS,
    AssignmentCause,
    InitialAssignment,
)
from berylstage_entry.placement.machine_speeds import REPORTS, MachineSpeeds
from berylstage_entry.targets import LoadReport
from berylstage_transfers.errors import AnswerLost
from fakes import MemoryStore, target
from granting_vms import FencedTargets, Vm, have_all_holders, wait_until, write_target
from virtual_time import virtual_loop

REPORT_INTERVAL = 0.87


class SlowMachines(FencedTargets):
    """Targets whose machines need a given multiple of the usual time."""

    def __init__(self, slowdowns):
        super().__init__()
        self.slowdowns = slowdowns

    async def probe(self, target, path, timeout):
        reports = self.slowdowns[target.name]
        if not reports:
            raise AnswerLost("no answer")
        return LoadReport(0, 0, 4, reports.pop(0))


class TestCause:
    """The moment at which keys without an owner are assigned."""

    def test_waits_while_targets_still_report(self):
        initial = InitialAssignment(REPORT_INTERVAL)
        assert initial.find_cause(0.0, [], False) is None
        for i in range(3):
            names = [f"t{n}" for n in range(2 + 20 * i)]
            assert initial.find_cause(1.4 * i, names, False) is None
        assert initial.find_cause(2.8 + 1.9, names, False) is None
        cause = initial.find_cause(2.8 + 2.1, names, False)
        assert cause is AssignmentCause.SETTLED

    def test_targets_added_all_the_time_do_not_keep_the_service_from_starting(self):
        initial = InitialAssignment(REPORT_INTERVAL)
        names, moment = [], 0.0
        while True:
            names.append(f"t{len(names)}")
            cause = initial.find_cause(moment, names, False)
            if cause is not None:
                break
            moment += 0.5
        assert cause is AssignmentCause.WAITED
        assert MAX_WAIT_SECONDS <= moment < MAX_WAIT_SECONDS + 0.5

    def test_first_request_is_not_refused_for_the_wait(self):
        initial = InitialAssignment(REPORT_INTERVAL)
        assert initial.find_cause(0.0, ["t0"], True) is AssignmentCause.REQUESTED

    def test_without_a_report_interval_the_first_target_gets_the_keys(self):
        initial = InitialAssignment(0.0)
        assert initial.find_cause(0.0, ["t0"], False) is AssignmentCause.SETTLED


class TestSpread:
    """Keys of a new installation whose targets report one after the other."""

    def test_first_requests_meet_all_targets_by_speed(self):
        # Two targets report a second before the others. When all keys were assigned to
        # these two, the first requests met two of 65 targets and were refused.
        names = [f"t{n}" for n in range(12)]
        fast = names[:3]
        protocol = SlowMachines(
            {n: [1.5, 0.5, 0.5] if n in fast else [1.0, 3.0, 3.0] for n in names}
        )

        async def scenario():
            store = MemoryStore()
            store.put("cfg", b"1")
            for name in names[:2]:
                write_target(store, name)
            vm = Vm("vm-1", store, protocol, REPORT_INTERVAL)
            vm.store_watcher.is_publisher = lambda: True
            vm.start()
            await asyncio.sleep(1.0)
            for name in names[2:]:
                write_target(store, name)
            await wait_until(lambda: have_all_holders(protocol))
            vm.kill()
            return vm.store_watcher.assignments["s"]

        with virtual_loop() as loop:
            assignment = loop.run_until_complete(scenario())
        widths = dict.fromkeys(names, 0)
        for r in assignment.ranges:
            widths[r.owner] += r.last - r.first + 1
        # Three targets of twice the speed of nine count as six.
        for name, width in widths.items():
            share = (2 if name in fast else 1) / 15
            assert abs(width / KEY_COUNT - share) < 0.5 * share


class TestSpeeds:
    """Reports of targets that are taken before they get keys."""

    def test_target_that_does_not_answer_counts_as_usual(self):
        protocol = SlowMachines({"a": [], "b": [0.6] * REPORTS})
        results = {}

        async def scenario():
            speeds = MachineSpeeds(protocol)
            for name in ("a", "b", "b"):
                speeds.measure(target(name), "/health", results.__setitem__)
            await asyncio.sleep(2.0)

        with virtual_loop() as loop:
            loop.run_until_complete(scenario())
        assert results == {"b": 0.6}
        assert not protocol.slowdowns["b"]
