"""Tests of confirming the configuration among VMs, in virtual time."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.configuration_confirmer import ConfigurationConfirmer
from berylstage_entry.errors import StoreUnavailable
from berylstage_entry.protocols import Record
from berylstage_entry.services import Configuration, Service
from berylstage_entry.workspaces import Workspace, WorkspaceDirectory
from fakes import LIMITS
from virtual_time import virtual_loop

REVOCATION_SECONDS = 5.0
VMS = 40


def configuration(version, keys):
    workspaces = WorkspaceDirectory([Workspace("north", keys)])
    service = Service("s", "/", 50, 3.0, 5.0, False)
    return Configuration(version, [], [service], LIMITS, workspaces)


class Member:
    def __init__(self, host):
        self.host = host


class Membership:
    def __init__(self, hosts):
        self._members = [Member(host) for host in hosts]

    def members(self):
        return self._members


class StoreWatcher:
    """Reads the configuration of a store that may be out of reach."""

    def __init__(self, fleet, view):
        self._fleet = fleet
        self._view = view
        self.is_unreachable = False
        self.refresh_count = 0

    async def read_configuration(self):
        self._fleet.reads += 1
        # The answer may take long, and shows the store at the time of the call.
        seen = self._fleet.stored
        await asyncio.sleep(self._fleet.read_seconds)
        if self.is_unreachable or self._fleet.is_store_away:
            raise StoreUnavailable("store unavailable")
        self._view.apply(Record(configuration=seen), now(), False)
        return True

    def is_up_to_date(self):
        return not self.is_unreachable and not self._fleet.is_store_away

    def record_failure(self, exc):
        pass

    def request_refresh(self, cause=""):
        self.refresh_count += 1


class Fleet:
    """VMs of which the first is the coordinator."""

    def __init__(self, loop, vms=VMS):
        self.loop = loop
        self.reads = 0
        self.datagrams = 0
        self.read_seconds = 0.004
        self.is_store_away = False
        self.stored = configuration(1, ["key"])
        self.coordinator = "vm-0"
        # Hosts that neither send nor receive datagrams, and the delay of all others.
        self.isolated = set()
        self.delay = 0.001
        hosts = [f"vm-{n}" for n in range(vms)]
        self.views, self.watchers, self.confirmers = {}, {}, {}
        for host in hosts:
            view = self.views[host] = ClusterView()
            watcher = self.watchers[host] = StoreWatcher(self, view)
            confirmer = ConfigurationConfirmer(
                watcher, view, Membership(hosts), host, REVOCATION_SECONDS, Random(host)
            )
            confirmer.is_coordinator = lambda host=host: self.coordinator == host
            confirmer.coordinator_address = lambda: f"{self.coordinator}:1"
            confirmer.is_standby = lambda host=host: host in ("vm-1", "vm-2")
            confirmer.send = lambda to, data, host=host: self.send(host, to, data)
            self.confirmers[host] = confirmer

    def send(self, sender, receiver, data):
        self.datagrams += 1
        if {sender, receiver} & self.isolated:
            return
        confirmer = self.confirmers[receiver]
        handle = confirmer.receive_request if data[0] == 24 else confirmer.receive_reply
        self.loop.call_later(self.delay, handle, data, sender)

    def take_key_away(self, hosts=()):
        """Store a configuration without the key; the given VMs learn of it."""
        self.stored = configuration(2, [])
        for host in hosts:
            self.views[host].apply(Record(configuration=self.stored), now(), False)

    def serves(self, host):
        """Return whether a VM would serve a request with the key."""
        view = self.views[host]
        found = view.configuration and view.configuration.workspaces.find("key")
        return bool(found) and self.confirmers[host].may_serve_keys()

    def start(self):
        async def start():
            for confirmer in self.confirmers.values():
                confirmer.start()

        for view in self.views.values():
            view.apply(Record(configuration=self.stored), now(), False)
        self.loop.run_until_complete(start())
        self.run(3.0)

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))


@pytest.fixture
def fleet():
    with virtual_loop() as loop:
        fleet = Fleet(loop)
        fleet.start()
        yield fleet


class TestConfigurationConfirmer:
    def test_all_vms_serve_keys_and_one_reads_the_store(self, fleet):
        before, began = fleet.reads, fleet.datagrams
        for _ in range(20):
            fleet.run(0.5)
            assert all(fleet.serves(host) for host in fleet.views)
        assert fleet.reads - before <= 12
        # A question and an answer a second for each VM.
        assert fleet.datagrams - began <= 2.4 * 10 * VMS

    def test_vm_that_missed_the_change_stops_serving_the_key_in_time(self, fleet):
        # Guards against a VM that is told of changes by others, and missed one.
        fleet.take_key_away(["vm-0"])
        fleet.run(REVOCATION_SECONDS)
        assert not any(fleet.serves(host) for host in fleet.views)
        assert fleet.watchers["vm-9"].refresh_count > 0

    def test_isolated_vm_stops_serving_the_key_in_time(self, fleet):
        # Guards against a VM that is cut off and serves keys that were taken away.
        fleet.isolated = {"vm-9"}
        fleet.watchers["vm-9"].is_unreachable = True
        fleet.take_key_away([h for h in fleet.views if h != "vm-9"])
        fleet.run(3.0)
        assert fleet.serves("vm-9")
        fleet.run(REVOCATION_SECONDS - 3.0)
        assert not fleet.serves("vm-9")

    def test_vm_without_the_store_serves_keys_that_others_confirm(self, fleet):
        fleet.watchers["vm-9"].is_unreachable = True
        fleet.run(20.0)
        assert fleet.serves("vm-9")

    def test_all_vms_serve_keys_after_the_coordinator_is_lost(self, fleet):
        fleet.isolated = {"vm-0"}
        fleet.watchers["vm-0"].is_unreachable = True
        for _ in range(20):
            fleet.run(0.5)
            assert all(fleet.serves(host) for host in fleet.views if host != "vm-0")

    def test_all_vms_serve_keys_soon_after_the_store_is_back(self, fleet):
        fleet.is_store_away = True
        fleet.run(8.0)
        assert not any(fleet.serves(host) for host in fleet.views)
        fleet.is_store_away = False
        fleet.run(1.2)
        assert all(fleet.serves(host) for host in fleet.views)

    def test_late_answer_of_the_store_does_not_count_from_its_arrival(self, fleet):
        # Guards against a slow store whose answers show what was in force before.
        fleet.read_seconds = 4.0
        fleet.run(10.0)
        ages = [fleet.confirmers[host].age() for host in fleet.views]
        assert min(ages) >= 4.0

    def test_request_waits_for_a_vm_that_stood_still(self, fleet):
        confirmer = fleet.confirmers["vm-9"]
        fleet.run(0.1)
        fleet.loop._virtual_selector.current_time += 20.0
        for other in ("vm-0",):
            fleet.confirmers[other]._confirmation.record_reading(now())
        assert not confirmer.may_serve_keys()
        assert fleet.loop.run_until_complete(confirmer.wait_until_recent())

    def test_request_does_not_wait_when_others_have_not_answered(self, fleet):
        fleet.isolated = {"vm-9"}
        fleet.watchers["vm-9"].is_unreachable = True
        fleet.run(8.0)
        began = now()
        confirmer = fleet.confirmers["vm-9"]
        assert not fleet.loop.run_until_complete(confirmer.wait_until_recent())
        assert now() - began < 0.01
