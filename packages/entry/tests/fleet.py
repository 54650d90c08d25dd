"""VMs that watch one store and publish changes to each other, in virtual time."""

from __future__ import annotations

import asyncio
import json

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import COORDINATOR_KEY
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, StoreView, configuration


class CountingView(StoreView):
    """The store as one VM sees it; records the time of every call of all VMs."""

    def __init__(self, store, calls):
        super().__init__(store)
        self._calls = calls

    def _check_connection(self):
        self._calls.append(now())
        super()._check_connection()


class Fleet:
    """VMs of which the first is the publisher, and any may be partitioned.

    Parameters
    ----------
    loop : VirtualLoop
    vms : int
        Number of VMs.
    """

    def __init__(self, loop, vms):
        self.loop = loop
        self.store = MemoryStore()
        self.calls = []
        self.store.put("cfg", b"1")
        self.store.put(COORDINATOR_KEY, b'{"control": "vm-0:1"}')
        # VMs that neither reach the store nor receive updates.
        self.partitioned = set()
        self.reports = {}
        self.views, self.watchers = [], []
        records = JsonRecords({1: configuration(1), 2: configuration(2)})
        for n in range(vms):
            view = CountingView(self.store, self.calls)
            store_watcher = StoreWatcher(view, records, ClusterView())
            store_watcher.vm_count = vms
            store_watcher.is_publisher = lambda n=n: n == 0
            store_watcher.is_standby = lambda n=n: n < 3
            store_watcher.publish = self.tell
            self.views.append(view)
            self.watchers.append(store_watcher)

    def tell(self, delta):
        for n, store_watcher in enumerate(self.watchers):
            if n and n not in self.partitioned:
                for part in delta.split():
                    store_watcher.apply_delta(StoreDelta.decode(part.encode()))

    def cut_off(self, indexes, gets_updates=False):
        """Cut VMs off from the store, and by default from the publisher as well."""
        for n in indexes:
            self.views[n].is_unreachable = True
        if not gets_updates:
            self.partitioned |= set(indexes)

    def heal(self):
        self.partitioned.clear()
        for view in self.views:
            view.is_unreachable = False

    def start(self):
        async def start():
            for store_watcher in self.watchers:
                store_watcher.start()
            await asyncio.sleep(5.0)

        self.loop.run_until_complete(start())

    def put(self, name, **fields):
        self.reports[name] = fields
        self.store.put(f"t/{name}", json.dumps(fields).encode())

    def drop(self, name):
        del self.reports[name]
        self.store.put(f"t/{name}", None)

    def run(self, seconds):
        """Run for some seconds, in which targets report."""

        async def report_and_sleep():
            end = now() + seconds
            while now() < end:
                await asyncio.sleep(min(0.2, end - now()))
                # Other parts of a VM call the store too, for example for its lease.
                for view, store_watcher in zip(self.views, self.watchers, strict=True):
                    if view.is_unreachable:
                        await store_watcher.probe_store()
                for name, fields in self.reports.items():
                    self.put(name, **fields)

        self.loop.run_until_complete(report_and_sleep())

    def seconds_until(self, condition, max_seconds):
        """Return the seconds until a condition holds, or until the time limit."""
        began = now()
        while not condition() and now() - began < max_seconds:
            self.run(0.05)
        return now() - began
