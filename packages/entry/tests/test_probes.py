"""Tests of asking targets for their load."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.directory import Directory
from berylstage_entry.membership import Member
from berylstage_entry.probes import LoadProbes
from berylstage_entry.router import Router
from berylstage_entry.senders import Senders
from berylstage_entry.targets import LoadReport
from berylstage_entry.turns import Turns
from berylstage_entry.wire import Record
from fakes import BOUNDS, FencedTargets, configuration, target

NAMES = ("a", "b", "c", "d", "e", "f")


class Members:
    """VMs as a membership knows them."""

    def __init__(self, *members):
        self.revision = 1
        self._members = list(members)

    def members(self):
        return self._members


def installation(vm, members, records, wire, owns_keys=False):
    directory = Directory()
    cfg = configuration(owns_keys=owns_keys)
    directory.apply(Record(configuration=cfg), 0.0, False)
    for record in records:
        directory.apply(Record(target=record), 0.0, False)
    router = Router(directory, None, Senders(None), BOUNDS, Random(1))
    turns = Turns(members, vm)
    return router, LoadProbes(router.loads, directory, turns, wire)


def play(probes, seconds=0.2):
    async def run():
        probes.start()
        await asyncio.sleep(seconds)
        probes.stop()

    asyncio.run(run())


def wire(**reports):
    found = FencedTargets()
    found.reports = reports or {n: LoadReport(1, 0, 2, 1.5) for n in NAMES}
    return found


class TestLoadProbes:
    def test_new_targets_are_asked_once_before_any_request(self):
        # Keys are dealt out before the first request. Without a word of the targets the
        # slowest machine gets as many as the fastest.
        targets = wire()
        records = [target(n) for n in NAMES]
        router, probes = installation("10.0.0.1", Members(), records, targets)
        play(probes)
        assert sorted(targets.probed) == list(NAMES)
        assert router.loads.for_service("s").slowness() == dict.fromkeys(NAMES, 1.5)

    def members(self):
        return Members(
            Member("vm-1", "10.0.0.1:1", "dc-1", 1.0),
            Member("vm-2", "10.0.0.2:1", "dc-1", 1.0),
            Member("vm-3", "10.0.0.3:1", "dc-2", 1.0),
        )

    def asked(self, owns_keys):
        found = {}
        for vm in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
            targets = wire()
            records = [
                target(n, data_centre="dc-1" if n < "d" else "dc-2") for n in NAMES
            ]
            play(installation(vm, self.members(), records, targets, owns_keys)[1])
            found[vm] = set(targets.probed)
        return found

    def test_each_owner_of_keys_is_asked_by_one_vm_of_its_data_centre(self):
        # The VM that keeps the queue before it has to know how fast it is.
        asked = self.asked(owns_keys=True)
        assert asked["10.0.0.3"] == {"d", "e", "f"}
        assert asked["10.0.0.1"] | asked["10.0.0.2"] == {"a", "b", "c"}
        assert not asked["10.0.0.1"] & asked["10.0.0.2"]

    def test_all_targets_of_a_service_are_asked_by_one_vm(self):
        asked = self.asked(owns_keys=False)
        assert sorted(len(names) for names in asked.values()) == [0, 0, 6]

    def test_cold_and_leaving_targets_are_left_alone(self):
        # A question counts as a request, and a cold target bears only a few a second.
        targets = wire()
        records = [target("a", cold_left=1e9), target("b", leaving=True), target("c")]
        _, probes = installation("10.0.0.1", Members(), records, targets)
        play(probes)
        assert targets.probed == ["c"]

    def test_silent_target_is_not_pressed(self):
        # A target hangs. Asked every few milliseconds, it would get a connection each
        # time until it can open no more for requests.
        targets = wire()
        targets.silent.add("a")
        _, probes = installation("10.0.0.1", Members(), [target("a")], targets)
        play(probes, 0.8)
        assert targets.probed == ["a"]

    def test_target_without_a_report_is_not_asked_all_the_time(self):
        targets = wire(a=None)
        _, probes = installation("10.0.0.1", Members(), [target("a")], targets)
        play(probes, 0.5)
        assert targets.probed == ["a"]
