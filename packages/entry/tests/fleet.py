"""VMs that follow one store and tell each other, in virtual time."""

from __future__ import annotations

import asyncio
import json

from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import DUTY_KEY
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, StoreView, configuration


class CountingView(StoreView):
    """The store as one VM sees it, with the calls of all VMs counted."""

    def __init__(self, store, calls):
        super().__init__(store)
        self._calls = calls

    def _reach(self):
        self._calls.append(now())
        super()._reach()


class Fleet:
    """VMs of which the first tells the others, and any may be cut off.

    Parameters
    ----------
    loop : VirtualLoop
    vms : int
    """

    def __init__(self, loop, vms):
        self.loop = loop
        self.store = MemoryStore()
        self.calls = []
        self.store.put("cfg", b"1")
        self.store.put(DUTY_KEY, b'{"control": "vm-0:1"}')
        # VMs that neither reach the store nor hear others.
        self.cut = set()
        self.reports = {}
        self.views, self.feeds = [], []
        records = JsonRecords({1: configuration(1), 2: configuration(2)})
        for n in range(vms):
            view = CountingView(self.store, self.calls)
            feed = StoreWatcher(view, records, ClusterView())
            feed.vms = vms
            feed.is_teller = lambda n=n: n == 0
            feed.is_standby = lambda n=n: n < 3
            feed.tell = self.tell
            self.views.append(view)
            self.feeds.append(feed)

    def tell(self, told):
        for n, feed in enumerate(self.feeds):
            if n and n not in self.cut:
                for part in told.parts():
                    feed.take_news(StoreDelta.decode(part.encode()))

    def cut_off(self, numbers, but_told=False):
        """Cut VMs off from the store, and from the others unless they are told."""
        for n in numbers:
            self.views[n].away = True
        if not but_told:
            self.cut |= set(numbers)

    def heal(self):
        self.cut.clear()
        for view in self.views:
            view.away = False

    def start(self):
        async def start():
            for feed in self.feeds:
                feed.start()
            await asyncio.sleep(5.0)

        self.loop.run_until_complete(start())

    def put(self, name, **fields):
        self.reports[name] = fields
        self.store.put(f"t/{name}", json.dumps(fields).encode())

    def drop(self, name):
        del self.reports[name]
        self.store.put(f"t/{name}", None)

    def run(self, seconds):
        """Let time pass, in which targets report."""

        async def pass_time():
            end = now() + seconds
            while now() < end:
                await asyncio.sleep(min(0.2, end - now()))
                # Other parts of a VM make calls of their own, as for its lease.
                for view, feed in zip(self.views, self.feeds, strict=True):
                    if view.away:
                        await feed.contact()
                for name, fields in self.reports.items():
                    self.put(name, **fields)

        self.loop.run_until_complete(pass_time())

    def until(self, holds, most):
        """Return the seconds until something holds."""
        began = now()
        while not holds() and now() - began < most:
            self.run(0.05)
        return now() - began
