"""Tests of the watch of the coordinator's key at the start of a VM."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.coordinator_watch import START_DELAY_SECONDS
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import COORDINATOR_KEY
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, StoreView, configuration
from virtual_time import virtual_loop


class WatchTimes(StoreView):
    """Records when the coordinator's key is watched."""

    def __init__(self, store):
        super().__init__(store)
        self.times = []

    async def watch(self, prefix, after, wait):
        if prefix == COORDINATOR_KEY:
            self.times.append(now())
        return await super().watch(prefix, after, wait)


def watch_times(defers, elected_after):
    """Return the seconds from the start at which a new VM watches the key.

    Parameters
    ----------
    defers : bool
        Whether the VM lets others become coordinator first.
    elected_after : float
        Seconds until a coordinator is published.
    """
    with virtual_loop() as loop:
        store = MemoryStore()
        store.put("cfg", b"1")
        view = WatchTimes(store)
        store_watcher = StoreWatcher(
            view, JsonRecords({1: configuration()}), ClusterView()
        )
        store_watcher.defers_coordination = lambda: defers

        def is_standby():
            item = store_watcher.internal_items.get(COORDINATOR_KEY)
            return item is None

        store_watcher.is_standby = is_standby
        began = now()

        async def scenario():
            store_watcher.start()
            await asyncio.sleep(elected_after)
            revision = store_watcher.revision
            store.put(COORDINATOR_KEY, b"{}")
            item = store.items[COORDINATOR_KEY]
            store_watcher.apply_delta(StoreDelta(revision, item.revision, [item]))
            await asyncio.sleep(2.0)
            store_watcher.stop()

        loop.run_until_complete(scenario())
    return [moment - began for moment in view.times]


class TestStart:
    def test_small_vm_does_not_watch_if_a_coordinator_is_found_soon(self):
        # 81 VMs start together. Guards against a watch by each of those that will not
        # be coordinator.
        assert watch_times(defers=True, elected_after=0.3) == []

    def test_small_vm_watches_if_there_is_no_coordinator(self):
        # Guards against an installation of small VMs without a coordinator.
        first = watch_times(defers=True, elected_after=3.0)[0]
        assert START_DELAY_SECONDS <= first < START_DELAY_SECONDS + 0.4

    @pytest.mark.parametrize("elected_after", [0.8, 3.0])
    def test_large_vm_watches_at_once(self, elected_after):
        assert watch_times(defers=False, elected_after=elected_after)[0] < 0.4
