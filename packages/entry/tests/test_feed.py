"""Tests of following the store."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.directory import Directory
from berylstage_entry.errors import StoreSilent
from berylstage_entry.feed import DUTY_KEY, RATE_AWAY, RETRY, Feed
from fakes import JsonRecords, MemoryStore, StoreView, configuration
from virtual_time import virtual_loop

VMS = 63


class CountingView(StoreView):
    """The store as one VM sees it, with the calls of all VMs counted."""

    def __init__(self, store, calls):
        super().__init__(store)
        self._calls = calls

    def _reach(self):
        self._calls.append(now())
        super()._reach()


@pytest.fixture
def feeds():
    with virtual_loop() as loop:
        store, calls = MemoryStore(), []
        store.put("cfg", b"1")
        store.put(DUTY_KEY, b'{"control": "vm-0:1"}')
        records = JsonRecords({1: configuration()})
        found = []
        for n in range(VMS):
            feed = Feed(CountingView(store, calls), records, Directory())
            feed.vms = VMS
            feed.is_standby = lambda n=n: n < 3
            found.append(feed)

        async def start():
            for feed in found:
                feed.start()
            await asyncio.sleep(2.0)

        loop.run_until_complete(start())
        yield loop, store, calls, found
        for feed in found:
            feed.stop()


class TestOutage:
    def test_calls_to_a_store_that_is_away_do_not_grow_with_the_vms(self, feeds):
        # The store is down for ten seconds. When each of 63 VMs tries three times a
        # second, the calls of this time are more than all others of the day.
        loop, store, calls, _ = feeds
        store.away = True
        before = len(calls)
        loop.run_until_complete(asyncio.sleep(10.0))
        standbys = 3 * 2 * 10 / RETRY
        assert len(calls) - before < 1.2 * (10 * RATE_AWAY + VMS + standbys)

    def test_vms_that_stand_by_know_soon_that_the_store_is_back(self, feeds):
        loop, store, _, found = feeds
        store.away = True
        loop.run_until_complete(asyncio.sleep(5.0))
        store.away = False
        loop.run_until_complete(asyncio.sleep(RETRY + 0.05))
        assert all(feed.is_in_touch() for feed in found[:3])

    def test_all_know_in_the_end(self, feeds):
        loop, store, _, found = feeds
        store.away = True
        loop.run_until_complete(asyncio.sleep(5.0))
        store.away = False
        loop.run_until_complete(asyncio.sleep(1.5 * VMS / RATE_AWAY))
        assert all(feed.is_in_touch() for feed in found)


class TestContact:
    def test_store_that_has_just_failed_is_not_asked_again(self):
        # The holder of the duty has lost the store and asks all VMs whether they have.
        # Most of them have just found that out for themselves.
        with virtual_loop() as loop:
            store, calls = MemoryStore(), []
            feed = Feed(CountingView(store, calls), JsonRecords(), Directory())
            feed.note_failure(StoreSilent("away"))
            assert loop.run_until_complete(feed.contact()) == 0
            assert calls == []
