"""VMs that grant keys over stand-ins for store and targets."""

from __future__ import annotations

import asyncio
import json
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.coordinator_election import (
    LINKS_PATH,
    STORE_CONTACT_PATH,
    CoordinatorElection,
)
from berylstage_entry.grant_controller import GrantController
from berylstage_entry.store_watcher import StoreWatcher
from fakes import FencedTargets, JsonRecords, configuration, settings


async def answer_peer_call(vm, path, body):
    """Return what a VM answers to another one; None for a refusal."""
    if path == LINKS_PATH:
        return str(vm.election.count_lost_links()).encode()
    if path == STORE_CONTACT_PATH:
        return str(await vm.store_watcher.probe_store()).encode()
    if not vm.election.may_export_state(body):
        return None
    return vm.grant_controller.export_state()


class FakePeers:
    """Other VMs by address, called without a network."""

    def __init__(self):
        self.vms = {}

    def other_addresses(self):
        return sorted(self.vms)

    async def call(self, address, path, body=b""):
        vm = self.vms.get(address)
        if vm is None or vm.is_dead:
            return None
        return await answer_peer_call(vm, path, body)

    async def call_all(self, path):
        return [await self.call(address, path) for address in self.other_addresses()]


def connect_peers(*vms):
    """Let VMs call each other."""
    for vm in vms:
        others = {v.cfg.control_address: v for v in vms if v is not vm}
        vm.peers.vms.update(others)


class Vm:
    """The parts of a VM that grant keys."""

    def __init__(self, name, store, protocol, report_interval=0.0):
        records = JsonRecords({1: configuration()})
        self.cluster_view = ClusterView()
        self.store_watcher = StoreWatcher(store, records, self.cluster_view)
        self.cfg = cfg = settings(name, int(name[-1]))
        self.is_dead = False
        self.peers = FakePeers()
        self.election = CoordinatorElection(
            cfg, store, self.store_watcher, self.peers, Random(1)
        )
        self.grant_controller = GrantController(
            store,
            self.store_watcher,
            self.cluster_view,
            self.election,
            protocol,
            report_interval,
        )
        self.election.import_state = self.grant_controller.import_state

    def start(self):
        self.store_watcher.start()
        self.election.start()
        self.grant_controller.start()

    def kill(self):
        self.is_dead = True
        self.store_watcher.stop()
        self.grant_controller.stop()
        self.election._task.cancel()


def write_target(store, name, **changes):
    """Write the record of a target."""
    store.put(f"t/{name}", json.dumps(changes).encode())


async def wait_until(condition, seconds=8.0):
    """Wait until a condition holds; fail after ``seconds``."""
    end = now() + seconds
    while not condition():
        assert now() < end, "condition not met in time"
        await asyncio.sleep(0.02)


def assigned_owners(vm):
    """Return the owners in a VM's assignment."""
    return {r.owner for r in vm.store_watcher.assignments["s"].ranges}


def have_all_holders(protocol, keys=(0, 9000, 20000, 40000, 65535)):
    """Tell whether each of some keys has one holder."""
    return all(len(protocol.holder(key)) == 1 for key in keys)


def moving_ranges(vm):
    """Return the ranges that a VM's assignment moves."""
    return [r for r in vm.store_watcher.assignments["s"].ranges if r.previous_owner]


async def start_vm(store):
    """Start a VM; return it and its targets once all keys are granted."""
    protocol = FencedTargets()
    vm = Vm("vm-1", store, protocol)
    vm.start()
    await wait_until(lambda: have_all_holders(protocol))
    return vm, protocol


async def start_first_vm(first_store, second_store):
    """Start one of two VMs; return both and their targets once all keys are granted."""
    protocol = FencedTargets()
    first = Vm("vm-1", first_store, protocol)
    second = Vm("vm-2", second_store, protocol)
    connect_peers(first, second)
    first.start()
    await wait_until(lambda: have_all_holders(protocol))
    return first, second, protocol


def assert_grants_in_order(protocol):
    """Check that no key had two holders and that no fence was below an earlier one."""
    assert not protocol.overlapping_grants()
    assert not protocol.stale_grants
