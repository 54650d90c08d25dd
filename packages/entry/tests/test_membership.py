"""Tests of the membership of the VMs."""

from __future__ import annotations

import asyncio
import json

from berylstage_entry import membership as module
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.membership import RENEWAL_INTERVAL_SECONDS, VMS_PREFIX, Membership
from berylstage_entry.store import Item
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, LateAnswers, MemoryStore, settings
from virtual_time import virtual_loop

VMS = ("vm-1", "vm-2", "vm-3", "vm-4")


def make_membership(vm):
    """Return the membership as one of four VMs of a data centre sees it."""
    store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
    membership = Membership(settings(vm), None, store_watcher)
    for revision, name in enumerate(VMS, 1):
        doc = {"control": f"{name}:1", "data_centre": "dc-1", "power": 1.0}
        value = json.dumps(doc).encode()
        store_watcher.apply_written_item(Item(VMS_PREFIX + name, value, revision))
    return membership


class TestMembership:
    def test_knows_all_vms(self):
        assert sorted(make_membership("vm-1").names()) == list(VMS)

    def test_coordinator_is_not_its_own_standby(self):
        # All VMs are in one data centre, and the standby has become coordinator. Unless
        # another VM becomes the standby, the loss of the coordinator is noticed 0.9 s
        # later, by a read, and keys have no owner meanwhile.
        first = next(vm for vm in VMS if make_membership(vm).is_standby(""))
        others = [vm for vm in VMS if vm != first]
        assert sum(make_membership(vm).is_standby(f"{first}:1") for vm in others) == 1

    def test_each_record_is_decoded_once_however_many_vms_start(self, monkeypatch):
        # Hundreds of VMs start together, or return after an outage. Guards against VMs
        # that decode all records at each change of one, which keeps them busy for their
        # first seconds and delays their first callers.
        decoded = []
        loads = module.json.loads
        monkeypatch.setattr(
            module.json, "loads", lambda value: decoded.append(value) or loads(value)
        )
        store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
        membership = Membership(settings("vm-0"), None, store_watcher)
        for n in range(200):
            doc = {"control": f"10.0.0.{n}:1", "data_centre": "dc-1", "power": 1.0}
            value = json.dumps(doc).encode()
            store_watcher.apply_written_item(Item(f"{VMS_PREFIX}vm-{n}", value, n + 1))
        store_watcher._applied.notify_listeners("read")
        assert len(membership.members()) == 200
        assert len(decoded) == 200

    def test_full_read_without_changes_changes_nothing(self):
        # Each change causes everything derived from the members to be recomputed.
        store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
        membership = Membership(settings("vm-0"), None, store_watcher)
        doc = {"control": "10.0.0.1:1", "data_centre": "dc-1", "power": 1.0}
        item = Item(VMS_PREFIX + "vm-1", json.dumps(doc).encode(), 1)
        store_watcher.apply_written_item(item)
        before = membership.revision
        store_watcher._applied.notify_listeners("read")
        assert membership.revision == before
        store_watcher.apply_written_item(Item(item.key, None, 2))
        assert membership.members() == []
        assert membership.revision > before


class TestStop:
    def test_key_that_is_being_written_is_removed(self):
        # Guards against a VM that remains a member until its lease expires, and gets
        # permit requests, because it stopped before the answer to its write arrived.
        async def scenario():
            store = MemoryStore()
            store_watcher = StoreWatcher(store, JsonRecords(), ClusterView())
            membership = Membership(settings("vm-1"), LateAnswers(store), store_watcher)
            membership.start()
            await asyncio.sleep(0.1)
            assert VMS_PREFIX + "vm-1" in store.items
            await membership.stop()
            assert VMS_PREFIX + "vm-1" not in store.items
            # The record does not return either.
            await asyncio.sleep(RENEWAL_INTERVAL_SECONDS + 1.0)
            assert VMS_PREFIX + "vm-1" not in store.items

        with virtual_loop() as loop:
            loop.run_until_complete(scenario())
