"""Tests of which VMs there are."""

from __future__ import annotations

import asyncio
import json

from berylstage_entry import membership as module
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.membership import KEEP, VMS_PREFIX, Membership
from berylstage_entry.store import Item
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, LateAnswers, MemoryStore, settings
from virtual_time import virtual_loop

VMS = ("vm-1", "vm-2", "vm-3", "vm-4")


def member(vm):
    """Return what a VM knows of four of one data centre, by their records."""
    feed = StoreWatcher(None, JsonRecords(), ClusterView())
    membership = Membership(settings(vm), None, feed)
    for revision, name in enumerate(VMS, 1):
        doc = {"control": f"{name}:1", "data_centre": "dc-1", "power": 1.0}
        value = json.dumps(doc).encode()
        feed.take_written(Item(VMS_PREFIX + name, value, revision))
    return membership


class TestMembership:
    def test_knows_all_vms(self):
        assert sorted(member("vm-1").names()) == list(VMS)

    def test_holder_of_the_duty_does_not_stand_by_for_itself(self):
        # All VMs are in one data centre, and the one that stands by has taken the duty.
        # When it is lost the others find that by reading, 0.9 s later, and keys are
        # without an owner meanwhile.
        first = next(vm for vm in VMS if member(vm).stands_by(""))
        others = [vm for vm in VMS if vm != first]
        assert sum(member(vm).stands_by(f"{first}:1") for vm in others) == 1

    def test_each_key_is_read_once_however_many_vms_start(self, monkeypatch):
        # Hundreds of VMs start together, or come back after a loss. Each that read all
        # keys again at every change of one was busy with that for its first seconds,
        # and its first callers waited.
        read = []
        loads = module.json.loads
        monkeypatch.setattr(
            module.json, "loads", lambda value: read.append(value) or loads(value)
        )
        feed = StoreWatcher(None, JsonRecords(), ClusterView())
        membership = Membership(settings("vm-0"), None, feed)
        for n in range(200):
            doc = {"control": f"10.0.0.{n}:1", "data_centre": "dc-1", "power": 1.0}
            value = json.dumps(doc).encode()
            feed.take_written(Item(f"{VMS_PREFIX}vm-{n}", value, n + 1))
        feed._tell("read")
        assert len(membership.members()) == 200
        assert len(read) == 200

    def test_reading_without_news_changes_nothing(self):
        # What is worked out from the known VMs is worked out anew at each change.
        feed = StoreWatcher(None, JsonRecords(), ClusterView())
        membership = Membership(settings("vm-0"), None, feed)
        doc = {"control": "10.0.0.1:1", "data_centre": "dc-1", "power": 1.0}
        item = Item(VMS_PREFIX + "vm-1", json.dumps(doc).encode(), 1)
        feed.take_written(item)
        before = membership.revision
        feed._tell("read")
        assert membership.revision == before
        feed.take_written(Item(item.key, None, 2))
        assert membership.members() == []
        assert membership.revision > before


class TestStop:
    def test_key_that_is_being_written_is_removed(self):
        # Guards against a VM that counts as there for the length of its lease, and is
        # asked for turns, because it stopped before it knew that its key was written.
        async def play():
            store = MemoryStore()
            feed = StoreWatcher(store, JsonRecords(), ClusterView())
            membership = Membership(settings("vm-1"), LateAnswers(store), feed)
            membership.start()
            await asyncio.sleep(0.1)
            assert VMS_PREFIX + "vm-1" in store.items
            await membership.stop()
            assert VMS_PREFIX + "vm-1" not in store.items
            # Nor does it come back.
            await asyncio.sleep(KEEP + 1.0)
            assert VMS_PREFIX + "vm-1" not in store.items

        with virtual_loop() as loop:
            loop.run_until_complete(play())
