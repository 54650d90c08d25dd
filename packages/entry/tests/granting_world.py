"""VMs, targets and a store in virtual time, and everything that may befall them."""

from __future__ import annotations

import asyncio
import json
from random import Random

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.coordinator_election import CONTACT_PATH, CoordinatorElection
from berylstage_entry.grant_controller import GrantController
from berylstage_entry.store_watcher import StoreWatcher
from berylstage_policy.candidates import Candidate
from berylstage_policy.standby import stands_by
from fakes import (
    FencedTargets,
    JsonRecords,
    MemoryStore,
    StoreView,
    configuration,
    settings,
)

VMS = ("vm-1", "vm-2", "vm-3")
TARGETS = ("a", "b", "c", "d")
# Keys that are looked at for an owner in the end.
SAMPLES = (0, 20, 40, 60, 77, 9000, 20000, 40000, 65535)
# Seconds after which everything must be well again: the longest hold, the lease, and
# the time in which lapsed records may come back.
HEALING = 20.0


class _Peers:
    """Other VMs, asked without a network."""

    def __init__(self, world, own):
        self._world = world
        self._own = own

    def others(self):
        return sorted(str(n) for n in VMS if n != self._own)

    async def ask(self, address, path, body=b""):
        vm = self._world.vms.get(address)
        if vm is None:
            return None
        if path == CONTACT_PATH:
            return str(await vm.feed.contact()).encode()
        return vm.granting.handed_on() if vm.office.may_hand_on(body) else None

    async def ask_all(self, path):
        return [await self.ask(address, path) for address in self.others()]


class WorldVm:
    """The parts of one VM that have to do with grants."""

    def __init__(self, name, world):
        self.view = StoreView(world.store)
        directory = ClusterView()
        self.feed = StoreWatcher(
            self.view, JsonRecords({1: configuration()}), directory
        )
        cfg = settings(name, 1)
        # The address by which peers ask it.
        cfg.control = name
        peers = _Peers(world, name)
        self.office = CoordinatorElection(
            cfg, self.view, self.feed, peers, Random(name)
        )
        self.granting = GrantController(
            self.view, self.feed, directory, self.office, world.wire
        )
        self.office.inherit = self.granting.inherit
        self.feed.is_teller = self.office.holds
        self.feed.is_standby = lambda: self._stands_by(world, name)
        self.feed.start()
        self.office.start()
        self.granting.start()

    def _stands_by(self, world, name):
        holder = self.office.holder_address()
        others = [Candidate(vm, 1.0) for vm in world.vms if vm != holder]
        return stands_by(name, others)

    def kill(self):
        self.feed.stop()
        self.granting.stop()
        self.office._task.cancel()


class World:
    """Everything, in one event loop of virtual time.

    Parameters
    ----------
    loop : VirtualLoop
    """

    def __init__(self, loop):
        self._loop = loop
        self.store = MemoryStore()
        self.wire = FencedTargets()
        self.wire.delay = 0.02
        self.lives = dict.fromkeys(TARGETS, 1)
        self.records: dict[str, dict] = {}
        self.vms: dict[str, WorldVm] = {}
        # Targets that have ended; what they held serves nobody.
        self.dead: set[str] = set()
        self.store.put("cfg", b"1")
        for name in TARGETS[:3]:
            self.put(name)
        for name in VMS:
            self.start(name)
        # Long enough for VMs to count as steady when the lease of a lost one ends.
        self.run(4.0)

    def run(self, seconds):
        """Let time pass, with the reports of targets that go on."""

        async def pass_time():
            end = now() + seconds
            while now() < end:
                await asyncio.sleep(min(0.5, end - now()))
                if not self.store.away:
                    for name, fields in self.records.items():
                        self._write(name, fields)

        self._loop.run_until_complete(pass_time())

    def watch(self, seconds):
        """Let time pass and return the longest time that a key had no live holder."""
        worst, since = 0.0, {}
        end = now() + seconds
        while now() < end:
            self.run(0.02)
            for key in SAMPLES:
                if self.is_served(key):
                    since.pop(key, None)
                else:
                    worst = max(worst, now() - since.setdefault(key, now() - 0.02))
        return worst

    def is_served(self, key):
        """Tell whether a live target holds a key and VMs send its requests there."""
        holders = [n for n in self.wire.holder(key) if n not in self.dead]
        ranges = [
            vm.feed.assignments["s"].find(key)
            for vm in self.vms.values()
            if "s" in vm.feed.assignments
        ]
        if not ranges:
            return bool(holders)
        newest = max(ranges, key=lambda r: r.fence)
        return newest.owner in holders and not newest.former

    def crash(self, name):
        """Have a target end without a word; its record goes three reports later."""
        self.dead.add(name)
        self.wire.silent.add(name)

    def put(self, name, **fields):
        """Have a target's record say something."""
        self.records[name] = fields | {"life": self.lives[name]}
        self._write(name, self.records[name])

    def _write(self, name, fields):
        self.store.put(f"t/{name}", json.dumps(fields).encode())

    def drop(self, name):
        """Have a target's record go, though it may go on to serve."""
        if self.records.pop(name, None) is not None:
            self.store.put(f"t/{name}", None)

    def start(self, name):
        """Start a VM that does not run."""
        if name not in self.vms:
            self._loop.run_until_complete(self._start(name))

    async def _start(self, name):
        self.vms[name] = WorldVm(name, self)

    def kill(self, name):
        """Kill a VM that runs."""
        vm = self.vms.pop(name, None)
        if vm is not None:
            vm.kill()

    def stop(self, name):
        """Stop a VM that runs in an orderly way."""
        vm = self.vms.get(name)
        if vm is not None:
            self._loop.run_until_complete(vm.office.resign())
            self.kill(name)

    def stop_process(self, name):
        """Have a target's process end: it holds nothing, and nothing listens."""
        self.wire.process_ends(name)

    def reborn(self, name):
        """Have a target start again under its name: it holds and knows nothing."""
        self.stop_process(name)
        self.wire.down.discard(name)
        self.lives[name] += 1
        if name in self.records:
            self.put(name)

    def busy(self, first, count):
        """Tell all VMs of busy neighbouring keys."""
        for vm in self.vms.values():
            counts = dict.fromkeys(range(first, first + 20 * count, 20), 30)
            vm.granting.counted("s", counts)

    def heal(self):
        """End all troubles."""
        self.store.away = False
        self.store.late_writes = 0.0
        self.wire.silent.clear()
        self.wire.unreachable.clear()
        self.wire.down.clear()
        self.wire.late.clear()
        self.wire.release_delay = 0.0
        for name in VMS:
            self.start(name)
            self.vms[name].view.away = False
        if not any(not r.get("leaving") for r in self.records.values()):
            self.put("a")
        self.run(HEALING)

    def faults(self):
        """Return what must never be: two holders, or fences that do not grow."""
        return [*self.wire.doubly_held(), *self.wire.low_fences]

    def ownerless(self):
        """Return the sampled keys that nobody holds."""
        return [key for key in SAMPLES if len(self.wire.holder(key)) != 1]
