"""Tests of load probes."""

from __future__ import annotations

import asyncio
from random import Random

from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.membership import Member
from berylstage_entry.permit_client import PermitClient
from berylstage_entry.probes import LoadProbes
from berylstage_entry.protocols import Record
from berylstage_entry.router import Router
from berylstage_entry.target_clients import TargetClients
from berylstage_entry.targets import LoadReport
from fakes import BOUNDS, FencedTargets, configuration, target

NAMES = ("a", "b", "c", "d", "e", "f")


class Members:
    """Membership with fixed VMs."""

    def __init__(self, *members):
        self.revision = 1
        self._members = list(members)

    def members(self):
        return self._members


def new_probes(vm, members, records, protocol, owns_keys=False):
    cluster_view = ClusterView()
    cfg = configuration(owns_keys=owns_keys)
    cluster_view.apply(Record(configuration=cfg), 0.0, False)
    for record in records:
        cluster_view.apply(Record(target=record), 0.0, False)
    router = Router(cluster_view, None, TargetClients(None), BOUNDS, Random(1))
    permit_client = PermitClient(members, vm)
    return router, LoadProbes(router.loads, cluster_view, permit_client, protocol)


def run_probes(probes, seconds=0.2):
    async def run():
        probes.start()
        await asyncio.sleep(seconds)
        probes.stop()

    asyncio.run(run())


def protocol(**reports):
    targets = FencedTargets()
    targets.reports = reports or {n: LoadReport(1, 0, 2, 1.5) for n in NAMES}
    return targets


class TestLoadProbes:
    def test_new_targets_are_probed_once_before_any_request(self):
        # Keys are distributed before the first request. Without any load report the
        # slowest machine would get as many as the fastest.
        targets = protocol()
        records = [target(n) for n in NAMES]
        router, probes = new_probes("10.0.0.1", Members(), records, targets)
        run_probes(probes)
        assert sorted(targets.probed) == list(NAMES)
        assert router.loads.for_service("s").service_time_ratio() == dict.fromkeys(
            NAMES, 1.5
        )

    def members(self):
        return Members(
            Member("vm-1", "10.0.0.1:1", "dc-1", 1.0),
            Member("vm-2", "10.0.0.2:1", "dc-1", 1.0),
            Member("vm-3", "10.0.0.3:1", "dc-2", 1.0),
        )

    def probed_by_vm(self, owns_keys):
        probed = {}
        for vm in ("10.0.0.1", "10.0.0.2", "10.0.0.3"):
            targets = protocol()
            records = [
                target(n, data_centre="dc-1" if n < "d" else "dc-2") for n in NAMES
            ]
            run_probes(new_probes(vm, self.members(), records, targets, owns_keys)[1])
            probed[vm] = set(targets.probed)
        return probed

    def test_each_owner_of_keys_is_probed_by_one_vm_of_its_data_centre(self):
        # The permit server of its queue needs to know how fast it is.
        probed_by_vm = self.probed_by_vm(owns_keys=True)
        assert probed_by_vm["10.0.0.3"] == {"d", "e", "f"}
        assert probed_by_vm["10.0.0.1"] | probed_by_vm["10.0.0.2"] == {"a", "b", "c"}
        assert not probed_by_vm["10.0.0.1"] & probed_by_vm["10.0.0.2"]

    def test_all_targets_of_a_service_are_probed_by_one_vm(self):
        probed_by_vm = self.probed_by_vm(owns_keys=False)
        assert sorted(len(names) for names in probed_by_vm.values()) == [0, 0, 6]

    def test_cold_and_draining_targets_are_not_probed(self):
        # A probe counts as a request, and a cold target handles only a few per second.
        targets = protocol()
        records = [
            target("a", cold_seconds_left=1e9),
            target("b", is_draining=True),
            target("c"),
        ]
        _, probes = new_probes("10.0.0.1", Members(), records, targets)
        run_probes(probes)
        assert targets.probed == ["c"]

    def test_target_that_wants_rest_is_not_probed(self):
        targets = protocol()
        records = [target("a"), target("b")]
        _, probes = new_probes("10.0.0.1", Members(), records, targets)
        probes.rest_seconds = {"a": 3.0, "b": 0.0}.__getitem__
        run_probes(probes)
        assert targets.probed == ["b"]

    def test_unresponsive_target_is_probed_rarely(self):
        # A target hangs. Probed every few milliseconds, it would get a connection each
        # time until none is left for requests.
        targets = protocol()
        targets.silent.add("a")
        _, probes = new_probes("10.0.0.1", Members(), [target("a")], targets)
        run_probes(probes, 0.8)
        assert targets.probed == ["a"]

    def test_target_without_load_reports_is_probed_rarely(self):
        targets = protocol(a=None)
        _, probes = new_probes("10.0.0.1", Members(), [target("a")], targets)
        run_probes(probes, 0.5)
        assert targets.probed == ["a"]
