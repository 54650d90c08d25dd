"""Tests of telling other VMs what one has read in the store."""

from __future__ import annotations

import asyncio
import json
from itertools import accumulate, pairwise

import pytest
from berylstage_entry.assignment import KeyRange, nobody
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store import Item
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import DUTY_KEY
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, StoreView, configuration
from hypothesis import given
from hypothesis import strategies as st


class CountingView(StoreView):
    """The store as one VM sees it, with the readings counted."""

    def __init__(self, store):
        super().__init__(store)
        self.readings = 0
        self.duty_watches = 0
        self.read_prefixes = []

    async def read(self, prefix):
        self.read_prefixes.append(prefix)
        return await super().read(prefix)

    async def watch(self, prefix, after, wait):
        if not prefix:
            self.readings += 1
        if prefix == DUTY_KEY:
            self.duty_watches += 1
        return await super().watch(prefix, after, wait)


class Vm:
    """A feed with its own view of the store."""

    def __init__(self, store):
        self.store = CountingView(store)
        self.directory = ClusterView()
        records = JsonRecords({n: configuration(n) for n in (1, 2)})
        self.feed = StoreWatcher(self.store, records, self.directory)

    def version(self):
        return self.directory.configuration.version


def put_target(store, name, **changes):
    store.put(f"t/{name}", json.dumps(changes).encode())


def play(steps, lose=lambda: False, set_up=lambda feed: None):
    """Run steps with one VM that tells and one that is told."""

    async def run():
        store = MemoryStore()
        store.put("cfg", b"1")
        put_target(store, "a")
        teller, told = Vm(store), Vm(store)
        teller.feed.is_teller = lambda: True

        def tell(news):
            for part in news.parts():
                data = part.encode()
                if data is not None and not lose():
                    told.feed.take_news(StoreDelta.decode(data))

        teller.feed.tell = tell
        set_up(told.feed)
        teller.feed.start()
        told.feed.start()
        await asyncio.sleep(0.5)
        reporting = asyncio.create_task(report(store))
        await steps(store, teller, told)
        reporting.cancel()
        teller.feed.stop()
        told.feed.stop()

    asyncio.run(run())


async def report(store):
    """A target's reports go on, as they do on the platform."""
    while True:
        put_target(store, "a")
        await asyncio.sleep(0.1)


async def until(condition, seconds=2.0):
    end = now() + seconds
    while not condition():
        assert now() < end, "it did not come about in time"
        await asyncio.sleep(0.02)


class TestNews:
    def test_vm_that_is_told_does_not_read(self):
        async def steps(store, teller, told):
            before = told.store.readings
            put_target(store, "b")
            await until(lambda: "b" in told.directory.known)
            put_target(store, "b", leaving=True)
            await until(lambda: told.directory.known["b"].target.leaving)
            store.put("t/b", None)
            await until(lambda: "b" not in told.directory.known)
            assert told.store.readings - before <= 1

        play(steps)

    def test_vm_reads_for_itself_when_nothing_is_told(self):
        # The VM that tells is lost. A target begins to leave, and a VM that went on
        # waiting for news would send work to it until it is gone.
        async def steps(store, teller, told):
            await asyncio.sleep(1.0)
            teller.feed.stop()
            put_target(store, "b", leaving=True)
            await until(lambda: "b" in told.directory.known, 1.3)

        play(steps)

    def test_gap_in_what_is_told_is_closed_by_reading(self):
        # One datagram in two is lost. A change that was told in a lost one must be
        # known as soon as the next one shows the gap.
        lost = iter([False, True] * 100)

        async def steps(store, teller, told):
            for n in range(4):
                put_target(store, f"b{n}")
                name = f"b{n}"
                await until(lambda name=name: name in told.directory.known, 1.3)

        play(steps, lambda: next(lost))

    def test_lost_datagram_is_made_up_for_by_the_next(self):
        # One datagram in two is lost, as on a link that is full. A VM that reads for
        # itself at each gap gets all reports of all targets since, on the same link:
        # it took seconds, and the changes came into force as late.
        lost = iter([False, True] * 100)

        async def steps(store, teller, told):
            before = told.store.readings
            for n in range(4):
                name = f"b{n}"
                put_target(store, name)
                await until(lambda name=name: name in told.directory.known, 1.5)
            assert told.store.readings - before <= 1

        play(steps, lambda: next(lost))

    def test_what_is_found_after_history_is_lost_is_told(self):
        # The store forgets its history, and the VM that tells reads everything anew.
        # When it tells nothing of that, each of 63 VMs has to, on whatever link it has.
        async def steps(store, teller, told):
            put_target(store, "c")
            await until(lambda: "c" in told.directory.known)
            readings = told.store.readings, list(told.store.read_prefixes)
            put_target(store, "b")
            store.put("t/c", None)
            store.compacted = store.revision + 1
            store.revision += 2
            await until(lambda: "b" in told.directory.known)
            await until(lambda: "c" not in told.directory.known)
            assert told.store.readings == readings[0]
            assert "" not in told.store.read_prefixes[len(readings[1]) :]

        play(steps)

    def test_named_value_is_read_alone(self):
        # An assignment has changed, and the datagram that told how was lost. Read with
        # all records, it comes with 100 kB that this VM knows already.
        async def steps(store, teller, told):
            await asyncio.sleep(0.6)
            before = told.store.readings
            store.put("cfg", b"2" + b" " * 600)
            await until(lambda: told.version() == 2, 1.3)
            assert told.store.readings == before
            assert told.store.read_prefixes[1:] == ["cfg"]

        play(steps)

    def test_vm_that_is_far_behind_reads_records_rather_than_changes(self):
        # A VM was cut off for some seconds. All reports since are many times as much as
        # the records, and more at each try.
        async def steps(store, teller, told):
            await asyncio.sleep(0.3)
            teller.feed.stop()
            told.store.away = True
            put_target(store, "b")
            await asyncio.sleep(3.0)
            told.store.away = False
            reads = len(told.store.read_prefixes)
            await until(lambda: "b" in told.directory.known)
            assert told.store.read_prefixes[reads:] == [""]

        play(steps)

    def test_record_that_lapsed_and_came_back_is_told(self):
        # The VM that tells is just out of an outage and keeps a target whose record has
        # lapsed; another VM has dropped it. The record comes back unchanged.
        async def steps(store, teller, told):
            put_target(store, "b")
            await until(lambda: "b" in told.directory.known)
            teller.feed.note_failure(OSError("an outage"))
            store.put("t/b", None)
            await until(lambda: "b" not in told.directory.known)
            put_target(store, "b")
            await until(lambda: "b" in told.directory.known)

        play(steps)

    def test_large_value_is_read_where_it_is_needed(self):
        async def steps(store, teller, told):
            await asyncio.sleep(0.6)
            store.put("cfg", b"2" + b" " * 600)
            await until(lambda: told.version() == 2, 1.3)

        play(steps)

    def test_large_value_that_is_told_before_is_not_read(self):
        # A configuration changes. When each of 76 VMs reads it for itself, the store is
        # called 76 times within half a second.
        async def steps(store, teller, told):
            def tell(news):
                for item in news.large:
                    assert told.feed.take_told(item)
                told.feed.take_news(StoreDelta.decode(news.encode()))

            teller.feed.tell = tell
            await asyncio.sleep(0.6)
            before = told.store.readings
            store.put("cfg", b"2" + b" " * 600)
            await until(lambda: told.version() == 2, 1.3)
            await asyncio.sleep(1.0)
            assert told.store.readings == before

        play(steps)

    def test_late_news_does_not_count_as_fresh(self):
        # A VM stood still between its reading and its telling. What it tells then is
        # older than what the other one has read meanwhile.
        async def steps(store, teller, told):
            teller.feed.stop()
            late = StoreDelta(0, 3, [Item("t/a", None, 3)])
            await asyncio.sleep(1.2)
            assert not told.feed.take_news(late)
            assert "a" in told.directory.known

        play(steps)

    def test_what_was_told_long_after_its_reading_does_not_put_off_the_next(self):
        # The VM that tells stood still for seconds in the midst of a call. The store
        # has not changed for the other VM, so the news fits, but it is old.
        async def steps(store, teller, told):
            teller.feed.stop()
            readings = told.store.readings
            end = now() + 1.5
            while now() < end:
                told.feed.take_news(StoreDelta(0, told.feed._revision, [], {}, 3.0))
                await asyncio.sleep(0.1)
            assert told.store.readings > readings

        play(steps)

    def test_vm_that_is_told_of_no_change_does_not_read(self):
        async def steps(store, teller, told):
            before = told.store.readings
            end = now() + 2.0
            while now() < end:
                news = StoreDelta(0, told.feed._revision, [], {}, 0.01)
                told.feed.take_news(news)
                await asyncio.sleep(0.1)
            assert told.store.readings == before

        play(steps)

    def test_damaged_datagram_is_told_from_news(self):
        data = StoreDelta(1, 2, []).encode()
        for damaged in (data[:-3], data[:1], b"\x10" + b"[]"):
            with pytest.raises(InvalidRecord):
                StoreDelta.decode(damaged)

    def test_news_too_large_for_a_datagram_is_not_sent(self):
        items = [Item(f"t/{n}", str(n**99).encode(), n) for n in range(60)]
        assert StoreDelta(1, 99, items).encode() is None

    def test_many_changes_at_once_are_told_in_several_datagrams(self):
        # Hundreds of targets start within a moment. What did not fit into one datagram
        # was not told at all, and every VM read all records in the store, for 1.2 s in
        # the last case and one call each in any.
        async def steps(store, teller, told):
            before = told.store.readings
            for n in range(200):
                put_target(store, f"b{n:03}x{n**20}")
            await until(lambda: len(told.directory.known) == 201)
            assert told.store.readings == before

        play(steps)

    def test_lost_part_is_made_up_for_by_reading(self):
        lost = iter([False, True] + [False] * 999)

        async def steps(store, teller, told):
            for n in range(200):
                put_target(store, f"b{n:03}x{n**20}")
            await until(lambda: len(told.directory.known) == 201)

        play(steps, lambda: next(lost))

    def test_named_value_is_not_missed_with_a_lost_part(self):
        # A configuration of 230 routes comes among many changes of targets, and the
        # last datagram is lost. The VM went on with the configuration before, for as
        # long as no other came: it believed to know everything up to that moment.
        lost = iter([False, False, False, True] + [False] * 999)

        async def steps(store, teller, told):
            put_target(store, "large", address="x" * 900)
            revision = store.revision
            for n in range(200):
                put_target(store, f"b{n:03}x{n**20}")
            await until(lambda: told.feed._named.known("t/large") == revision)

        play(steps, lambda: next(lost))

    @given(st.lists(st.integers(1, 9), max_size=60), st.integers(5, 300))
    def test_parts_tell_the_same_in_order(self, steps, at):
        # Changes that one write brought must not be torn apart: a VM that knows one of
        # them takes the others for known.
        # Nor may a key be named later than with its revision: whoever misses that part
        # believes to know it.
        revisions = list(accumulate(steps, lambda at, step: at + (step > 4), initial=5))
        newest = revisions[-1] + 3
        named = min(at, newest)
        items = [
            Item(f"t/{n}", str(n**250).encode()[:490], at)
            for n, at in enumerate(revisions)
        ]
        parts = StoreDelta(4, newest, items, {"k": named}).parts()
        assert [i.key for part in parts for i in part.items] == [i.key for i in items]
        assert parts[0].after == 4
        assert parts[-1].revision == newest
        for part in parts:
            reaches = part.after < named <= part.revision
            assert part.named == ({"k": named} if reaches else {})
        for one, other in pairwise(parts):
            assert one.revision == other.after
            assert all(item.revision <= one.revision for item in one.items)
            assert all(item.revision > other.after for item in other.items)

    def test_assignments_are_told_once(self):
        # The VM that writes an assignment tells what has changed in it. Told again with
        # the news, three of them filled a datagram, nothing was told, and every VM read
        # the store at each round of moves.
        async def steps(store, teller, told):
            put_target(store, "a")
            await asyncio.sleep(0.5)
            before = told.store.readings
            assignment = nobody()
            for n in range(12):
                moved = [KeyRange(n * 9, n * 9 + 8, f"t{n**30}", 1, n + 1)]
                assignment = assignment.replace(moved, n + 2)
                revision = store.put("berylstage/keys/s", assignment.encode())
                for vm in (teller, told):
                    vm.feed.take_assignment("s", assignment, revision)
                await asyncio.sleep(0.1)
            assert told.store.readings == before
            assert told.store.read_prefixes == [""]

        play(steps)


class TestDutyWatch:
    def test_vm_that_does_not_stand_by_watches_only_while_the_duty_is_vacant(self):
        # Every VM watches the duty's key. Each change of its holder, and each end of a
        # watch's wait, costs a call of every VM.
        async def steps(store, teller, told):
            told.feed.is_standby = lambda: False
            store.put(DUTY_KEY, b"{}")
            await until(lambda: DUTY_KEY in told.feed.own)
            await asyncio.sleep(0.5)
            before = told.store.duty_watches
            await asyncio.sleep(1.0)
            assert told.store.duty_watches == before
            store.put(DUTY_KEY, None)
            await until(lambda: told.feed.own[DUTY_KEY].value is None)
            await until(lambda: told.store.duty_watches > before)

        play(steps)

    def test_small_vm_leaves_a_vacant_duty_to_larger_ones(self):
        # 195 VMs start together, and the duty is vacant. Each that watches its key
        # makes a call for it, though eighteen of them are large enough to have it.
        async def steps(store, teller, told):
            store.put(DUTY_KEY, b"{}")
            await until(lambda: DUTY_KEY in told.feed.own)
            watches = told.store.duty_watches
            store.put(DUTY_KEY, None)
            await until(lambda: told.feed.own[DUTY_KEY].value is None)
            await asyncio.sleep(0.6)
            assert told.store.duty_watches == watches

        def small(feed):
            feed.is_standby = lambda: False
            feed.leaves_duty = lambda: True

        play(steps, set_up=small)

    def test_holder_of_the_duty_does_not_watch_it(self):
        async def steps(store, teller, told):
            store.put(DUTY_KEY, b"{}")
            await asyncio.sleep(0.5)
            before = teller.store.duty_watches
            await asyncio.sleep(1.0)
            assert teller.store.duty_watches == before

        play(steps)
