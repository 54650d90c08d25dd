"""VMs, targets and a store in virtual time, with fault injection."""

from __future__ import annotations

import asyncio
import json
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.coordinator_election import CoordinatorElection
from berylstage_entry.grant_controller import GrantController
from berylstage_entry.store_watcher import StoreWatcher
from berylstage_policy.candidates import Candidate
from berylstage_policy.standby import is_standby
from fakes import (
    FencedTargets,
    JsonRecords,
    MemoryStore,
    StoreView,
    configuration,
    settings,
)
from granting_vms import answer_peer_call

VMS = ("vm-1", "vm-2", "vm-3")
TARGETS = ("a", "b", "c", "d")
# Keys whose owners are checked.
SAMPLED_KEYS = (0, 20, 40, 60, 77, 9000, 20000, 40000, 65535)
# Seconds after which everything must have recovered: the longest grant, the store
# lease, and the time in which missing records may return.
RECOVERY_SECONDS = 20.0


class _FakePeers:
    """Other VMs, called without a network."""

    def __init__(self, cluster, own):
        self._cluster = cluster
        self._own = own

    def other_addresses(self):
        return sorted(str(n) for n in VMS if n != self._own)

    async def call(self, address, path, body=b""):
        vm = self._cluster.vms.get(address)
        if vm is None:
            return None
        return await answer_peer_call(vm, path, body)

    async def call_all(self, path):
        return [await self.call(address, path) for address in self.other_addresses()]


class SimulatedVm:
    """The parts of a VM that grant keys."""

    def __init__(self, name, cluster):
        self.view = StoreView(cluster.store)
        cluster_view = ClusterView()
        self.store_watcher = StoreWatcher(
            self.view, JsonRecords({1: configuration()}), cluster_view
        )
        cfg = settings(name, 1)
        # The address at which other VMs call it.
        cfg.control_address = name
        peers = _FakePeers(cluster, name)
        self.election = CoordinatorElection(
            cfg, self.view, self.store_watcher, peers, Random(name)
        )
        self.grant_controller = GrantController(
            self.view, self.store_watcher, cluster_view, self.election, cluster.protocol
        )
        self.election.import_state = self.grant_controller.import_state
        self.store_watcher.is_publisher = self.election.is_coordinator
        self.store_watcher.is_standby = lambda: self._stands_by(cluster, name)
        self.store_watcher.start()
        self.election.start()
        self.grant_controller.start()

    def _stands_by(self, cluster, name):
        holder = self.election.coordinator_address()
        others = [Candidate(vm, 1.0) for vm in cluster.vms if vm != holder]
        return is_standby(name, others)

    def kill(self):
        self.store_watcher.stop()
        self.grant_controller.stop()
        self.election._task.cancel()


class ClusterSimulation:
    """VMs, targets and a store in one event loop of virtual time.

    Parameters
    ----------
    loop : VirtualLoop
    """

    def __init__(self, loop):
        self._loop = loop
        self.store = MemoryStore()
        self.protocol = FencedTargets()
        self.protocol.delay = 0.02
        self.incarnations = dict.fromkeys(TARGETS, 1)
        self.records: dict[str, dict] = {}
        self.vms: dict[str, SimulatedVm] = {}
        # Targets that have failed; no key counts as served by them.
        self.failed_targets: set[str] = set()
        self.store.put("cfg", b"1")
        for name in TARGETS[:3]:
            self.write_record(name)
        for name in VMS:
            self.start(name)
        # Long enough for VMs to have had unbroken contact with the store when the lease
        # of a failed one expires.
        self.run(4.0)

    def run(self, seconds):
        """Advance the time; live targets report."""

        async def pass_time():
            end = now() + seconds
            while now() < end:
                await asyncio.sleep(min(0.5, end - now()))
                if not self.store.is_unreachable:
                    for name, fields in self.records.items():
                        self._write(name, fields)

        self._loop.run_until_complete(pass_time())

    def measure_unavailability(self, seconds):
        """Advance the time and return the longest time that a key had no live owner."""
        worst, since = 0.0, {}
        end = now() + seconds
        while now() < end:
            self.run(0.02)
            for key in SAMPLED_KEYS:
                if self.is_served(key):
                    since.pop(key, None)
                else:
                    worst = max(worst, now() - since.setdefault(key, now() - 0.02))
        return worst

    def is_served(self, key):
        """Tell whether a live target holds a key and VMs send its requests there."""
        holders = [n for n in self.protocol.holder(key) if n not in self.failed_targets]
        ranges = [
            vm.store_watcher.assignments["s"].find(key)
            for vm in self.vms.values()
            if "s" in vm.store_watcher.assignments
        ]
        if not ranges:
            return bool(holders)
        newest = max(ranges, key=lambda r: r.fence)
        return newest.owner in holders and not newest.previous_owner

    def fail_target(self, name):
        """Have a target fail silently; its record is removed three reports later."""
        self.failed_targets.add(name)
        self.protocol.silent.add(name)

    def move_keys_of_unreachable_target(self, name):
        """Have no VM reach a target until others get the first of its keys."""
        # The other VMs then read the store some 0.3 s after the move.
        self.run(0.6)
        keys = [key for key in SAMPLED_KEYS if self.protocol.holder(key) == [name]]
        self.protocol.unreachable.add(name)
        for _ in range(1000):
            self.run(0.01)
            holders = [holder for key in keys for holder in self.protocol.holder(key)]
            if any(holder != name for holder in holders):
                return
        raise AssertionError("no key has moved")

    def write_record(self, name, **fields):
        """Set fields of a target's record."""
        self.records[name] = fields | {"incarnation": self.incarnations[name]}
        self._write(name, self.records[name])

    def _write(self, name, fields):
        self.store.put(f"t/{name}", json.dumps(fields).encode())

    def remove_record(self, name):
        """Remove a target's record, although the target may continue to serve."""
        if self.records.pop(name, None) is not None:
            self.store.put(f"t/{name}", None)

    def start(self, name):
        """Start a VM that is not running."""
        if name not in self.vms:
            self._loop.run_until_complete(self._start(name))

    async def _start(self, name):
        self.vms[name] = SimulatedVm(name, self)

    def kill(self, name):
        """Kill a running VM."""
        vm = self.vms.pop(name, None)
        if vm is not None:
            vm.kill()

    def stop(self, name):
        """Stop a running VM gracefully."""
        vm = self.vms.get(name)
        if vm is not None:
            self._loop.run_until_complete(vm.election.resign())
            self.kill(name)

    def stop_process(self, name):
        """End a target's process: it holds no keys, and its port is closed."""
        self.protocol.end_process(name)

    def leave(self, name, seconds):
        """Have a target close its port, complete its requests, and then end."""
        if name in self.protocol.down or name in self.protocol.completing:
            return
        self.protocol.completing.add(name)
        self._loop.call_later(seconds, self._end_completing, name)

    def _end_completing(self, name):
        if name in self.protocol.completing:
            self.protocol.end_process(name)

    def restart_target(self, name):
        """Restart a target under its name, without any state."""
        self.stop_process(name)
        self.protocol.down.discard(name)
        self.incarnations[name] += 1
        if name in self.records:
            self.write_record(name)

    def report_hot_keys(self, first, count):
        """Report requests for adjacent hot keys to all VMs."""
        for vm in self.vms.values():
            counts = dict.fromkeys(range(first, first + 20 * count, 20), 30)
            vm.grant_controller.add_key_counts("s", counts)

    def clear_faults(self):
        """Remove all injected faults."""
        self.store.is_unreachable = False
        self.store.late_writes = 0.0
        self.protocol.silent.clear()
        self.protocol.unreachable.clear()
        self.protocol.refusing.clear()
        for name in list(self.protocol.completing):
            self.protocol.end_process(name)
        self.protocol.down.clear()
        self.protocol.late.clear()
        self.protocol.release_delay = 0.0
        for name in VMS:
            self.start(name)
            self.vms[name].view.is_unreachable = False
        if not any(not r.get("is_draining") for r in self.records.values()):
            self.write_record("a")
        self.run(RECOVERY_SECONDS)

    def violations(self):
        """Return violations: keys with two holders, and fences that do not increase."""
        return [*self.protocol.overlapping_grants(), *self.protocol.stale_grants]

    def keys_without_holder(self):
        """Return the checked keys that do not have exactly one holder."""
        return [key for key in SAMPLED_KEYS if len(self.protocol.holder(key)) != 1]
