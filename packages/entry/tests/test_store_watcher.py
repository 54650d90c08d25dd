"""Tests of following the store."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_entry.assignment import nobody
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import StoreUnavailable
from berylstage_entry.store_delta import LARGEST_VALUE, StoreDelta
from berylstage_entry.store_keys import DUTY_KEY, KEYS_PREFIX
from berylstage_entry.store_watcher import RATE_AWAY, RETRY, StoreWatcher
from fakes import JsonRecords, MemoryStore, configuration
from fleet import CountingView, Fleet
from virtual_time import virtual_loop

VMS = 63


@pytest.fixture
def feeds():
    with virtual_loop() as loop:
        store, calls = MemoryStore(), []
        store.put("cfg", b"1")
        store.put(DUTY_KEY, b'{"control": "vm-0:1"}')
        records = JsonRecords({1: configuration()})
        found = []
        for n in range(VMS):
            feed = StoreWatcher(CountingView(store, calls), records, ClusterView())
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
            feed = StoreWatcher(
                CountingView(store, calls), JsonRecords(), ClusterView()
            )
            feed.note_failure(StoreUnavailable("away"))
            assert loop.run_until_complete(feed.contact()) == 0
            assert calls == []


class TestDeputies:
    """One VM of each data centre, while the one that tells all is lost."""

    CENTRES = 3

    def centre(self, n):
        return n % self.CENTRES

    @pytest.fixture
    def told_feeds(self, feeds):
        """Return VMs of which the first tells all, and one each its data centre."""
        _, _, _, found = feeds
        found[0].is_teller = lambda: self.alive

        def tell(teller, told):
            for n, feed in enumerate(found):
                near = self.centre(n) == self.centre(teller)
                if n != teller and (found[teller].is_teller() or near):
                    for part in told.parts():
                        feed.take_news(StoreDelta.decode(part.encode()))

        for n, feed in enumerate(found):
            feed.tell = lambda told, n=n: tell(n, told)
            feed.is_deputy = lambda n=n: self.CENTRES <= n < 2 * self.CENTRES
            # The watch of the duty's key is not what is counted here.
            feed.is_standby = lambda: False
        self.alive = True
        return feeds

    def report(self, store, seconds):
        async def go_on():
            for n in range(int(seconds / 0.1)):
                store.put("t/a", json.dumps({"life": n}).encode())
                await asyncio.sleep(0.1)

        return go_on()

    def test_loss_of_the_vm_that_tells_sends_nobody_else_to_the_store(self, told_feeds):
        # Nobody tells for three seconds. 63 VMs that read the store for themselves make
        # two calls each, in the moment in which it is wanted for the duty.
        loop, store, calls, found = told_feeds
        loop.run_until_complete(self.report(store, 3.0))
        self.alive = False
        found[0].stop()
        before = len(calls)
        loop.run_until_complete(self.report(store, 3.0))
        assert len(calls) - before <= self.CENTRES * (3.0 / 0.7 + 1)
        newest = max(feed._revision for feed in found)
        assert min(feed._revision for feed in found[1:]) > newest - 10

    def test_next_vm_that_tells_leaves_no_gap(self, told_feeds):
        # The last telling of the lost VM did not reach all. The next one tells of that
        # time as well, or all who missed it read the store.
        loop, store, calls, found = told_feeds
        loop.run_until_complete(self.report(store, 1.0))
        missing, successor = found[10], found[4]
        taken = missing.take_news
        missing.take_news = lambda news: False
        loop.run_until_complete(self.report(store, 0.5))
        missing.take_news = taken
        self.alive = False
        found[0].stop()
        successor.is_teller = lambda: True
        before = len(calls)
        loop.run_until_complete(self.report(store, 1.0))
        assert missing._revision >= successor._revision - 5
        assert len(calls) - before <= 2 * self.CENTRES + 3

    def test_data_centre_without_a_deputy_reads_for_itself(self, told_feeds):
        loop, store, _, found = told_feeds
        for feed in found:
            feed.is_deputy = lambda: False
        self.alive = False
        found[0].stop()
        loop.run_until_complete(self.report(store, 1.5))
        store.put("t/b", b"{}")
        loop.run_until_complete(self.report(store, 1.5))
        assert all("b" in feed._directory.known for feed in found[1:])


class TestToldWhileReading:
    def test_reading_is_not_told_that_lacks_what_came_meanwhile(self):
        # The store is slow. A VM reads it, and is told meanwhile of a configuration
        # and of a target that leaves. Its own reading has nothing new then; told as all
        # that has changed, it kept both from the others of its data centre for eight
        # seconds.
        with virtual_loop() as loop:
            store = MemoryStore()
            store.put("cfg", b"1")
            store.put("t/a", b"{}")
            records = JsonRecords({1: configuration(1), 2: configuration(2)})
            feed = StoreWatcher(store, records, ClusterView())
            told = []
            feed.tell = told.append
            feed.is_deputy = lambda: True

            async def step():
                await feed._read_all()
                begin = feed._revision
                watch = store.watch

                async def slow_watch(*args):
                    changes = await watch(*args)
                    await asyncio.sleep(0.3)
                    return changes

                store.watch = slow_watch
                store.put("cfg", b"2")
                store.put("t/a", json.dumps({"leaving": True}).encode())
                reading = asyncio.create_task(feed._watch_all())
                await asyncio.sleep(0.1)
                items = [item for item in store.log if item.revision > begin]
                feed.take_news(StoreDelta(begin, store.revision, items))
                await reading
                assert told == []
                store.put("t/b", b"{}")
                await feed._watch_all()
                assert [item.key for item in told[0].items][-1] == "t/b"

            loop.run_until_complete(step())


@pytest.fixture
def make_fleet():
    """Return how to make VMs that tell each other, with three targets."""
    with virtual_loop() as loop:
        fleets = []

        def make(vms):
            fleet = Fleet(loop, vms)
            for name in ("a", "b", "c"):
                fleet.put(name)
            fleet.start()
            fleet.run(5.0)
            fleets.append(fleet)
            return fleet

        yield make
        for feed in (f for fleet in fleets for f in fleet.feeds):
            feed.stop()


class TestCutOff:
    """VMs that lose the store alone, while others have it."""

    # Seconds after the end of a cut within which a VM must know what it missed: a third
    # of the time in which it may handle requests by what it knew.
    CAUGHT_UP = 1.0

    @pytest.fixture
    def cut(self):
        return range(3, 8)

    def users_of(self, fleet, name):
        return [n for n, f in enumerate(fleet.feeds) if f._directory.may_use(name)]

    def test_target_that_left_is_used_no_more_by_vms_that_are_told(
        self, make_fleet, cut
    ):
        # Guards against requests to a target that left 12 s ago: its record was taken
        # for one that had lapsed, by VMs that had lost the store, though not others.
        fleet = make_fleet(9)
        fleet.cut_off(cut, but_told=True)
        fleet.run(4.0)
        fleet.drop("a")
        fleet.run(1.0)
        assert self.users_of(fleet, "a") == []

    def test_record_that_lapses_in_an_outage_is_kept(self, make_fleet, cut):
        # Guards against dropping all targets when the store was away for everybody.
        fleet = make_fleet(9)
        fleet.store.away = True
        fleet.run(4.0)
        fleet.store.away = False
        fleet.drop("a")
        fleet.run(1.0)
        assert len(self.users_of(fleet, "a")) == 9

    def test_late_news_tell_nothing_of_the_store(self, make_fleet):
        # Guards against dropping targets in an outage, because a telling from before it
        # was held up on its way.
        fleet = make_fleet(9)
        late = StoreDelta(0, 1, [], contact=60.0)
        fleet.store.away = True
        fleet.run(4.0)
        feed = fleet.feeds[7]
        feed.take_news(late)
        assert feed.in_outage()

    def test_gaps_for_hours_do_not_end_the_reading(self, make_fleet):
        # Guards against a VM that never reads again: the pause that doubled with each
        # failed reading was more than a number holds.
        fleet = make_fleet(9)
        fleet.views[7].away = True
        feed = fleet.feeds[7]

        async def miss_something(times):
            for n in range(times):
                feed.take_news(StoreDelta(10_000 + n, 20_000 + n, []))
                await asyncio.sleep(1.0)

        fleet.loop.run_until_complete(miss_something(1200))
        fleet.heal()
        fleet.run(3.0)
        assert feed.is_in_touch()

    @pytest.mark.parametrize("vms", [9, 63, 195])
    def test_what_was_missed_is_known_soon_after_the_cut(self, make_fleet, cut, vms):
        # Guards against VMs that go on with what they last knew for seconds after they
        # are back in touch.
        fleet = make_fleet(vms)
        fleet.cut_off(cut)
        fleet.run(4.0)
        fleet.drop("a")
        fleet.put("b", leaving=True)
        fleet.store.put("cfg", b"2")
        fleet.run(8.0)
        fleet.heal()

        def is_known():
            versions = {f._directory.configuration.version for f in fleet.feeds}
            users = self.users_of(fleet, "a") + self.users_of(fleet, "b")
            return not users and versions == {2}

        assert fleet.until(is_known, 8.0) <= self.CAUGHT_UP

    def test_data_centre_that_is_back_asks_the_store_no_more_than_it_bears(
        self, make_fleet
    ):
        # Guards against a rush: 33 VMs learn in the same moment that they may read.
        fleet = make_fleet(195)
        fleet.cut_off(range(3, 36))
        fleet.run(12.0)
        fleet.heal()
        before = len(fleet.calls)
        fleet.run(2.0)
        assert len(fleet.calls) - before <= 3 * 33 + 2 * 2 / RETRY + 2 / 0.45


class TestCallThatFailsAlone:
    """A call of a VM that makes few, since others tell it what they read."""

    def test_named_configuration_is_read_again_soon(self, make_fleet):
        # Guards against a configuration that is in force 5 s late: one call was lost on
        # a link that was full, and the pause after it was as long as the time since the
        # last call, which had gone well.
        fleet = make_fleet(195)
        feed, view = fleet.feeds[7], fleet.views[7]
        # Configurations are large: they are named, and each VM reads them.
        fleet.store.put("cfg", b"2" + b" " * LARGEST_VALUE)
        read, failures = view.read, []

        async def read_once_in_vain(prefix):
            if prefix == "cfg" and not failures:
                failures.append(now())
                raise StoreUnavailable("the link is full")
            return await read(prefix)

        view.read = read_once_in_vain

        def is_known():
            return feed._directory.configuration.version == 2

        fleet.until(is_known, 10.0)
        assert now() - failures[0] <= 2 * RETRY

    def test_configuration_does_not_wait_for_another_value(self, make_fleet):
        # Guards against a configuration that is in force late, since the value that was
        # named before it takes as long as a call may, on a connection that went silent.
        fleet = make_fleet(63)
        feed, view = fleet.feeds[7], fleet.views[7]
        read = view.read

        async def slow_for_assignments(prefix):
            if prefix.startswith(KEYS_PREFIX):
                await asyncio.sleep(2.5)
                raise StoreUnavailable("timed out")
            return await read(prefix)

        view.read = slow_for_assignments
        large = b" " * LARGEST_VALUE
        fleet.store.put(KEYS_PREFIX + "s", nobody().encode() + large)
        fleet.run(0.6)
        fleet.store.put("cfg", b"2" + large)

        def is_known():
            return feed._directory.configuration.version == 2

        assert fleet.until(is_known, 5.0) <= 1.0

    def test_configuration_does_not_wait_for_all_records(self, make_fleet):
        # Guards against a configuration that is in force late at a VM that has missed
        # something: it waited until all records were read over a link that is full.
        fleet = make_fleet(63)
        feed, view = fleet.feeds[7], fleet.views[7]
        read, watch = view.read, view.watch

        async def slow(*args):
            await asyncio.sleep(2.5)
            raise StoreUnavailable("timed out")

        view.read = lambda prefix: read(prefix) if prefix else slow()
        fleet.cut_off([7])
        fleet.run(4.0)
        fleet.heal()
        view.watch = lambda prefix, *rest: watch(prefix, *rest) if prefix else slow()
        fleet.store.put("cfg", b"2" + b" " * LARGEST_VALUE)

        def is_known():
            return feed._directory.configuration.version == 2

        assert fleet.until(is_known, 5.0) <= 1.0


class TestLostHistory:
    """The store forgets what it had kept of its changes."""

    def forget(self, fleet, heals=True):
        """Have it forget what one VM has not been told yet, and that VM read it."""
        fleet.cut.add(7)
        fleet.run(0.5)
        fleet.store.compacted = fleet.store.revision
        fleet.feeds[7].hurry()
        fleet.run(0.3)
        if heals:
            fleet.heal()

    def test_vm_that_is_told_needs_no_reading(self, make_fleet):
        # Guards against a configuration that is in force 5 s late: a VM that found the
        # history gone took nothing from others until it had read all records, which
        # takes seconds on a link that is full.
        fleet = make_fleet(63)
        feed, view = fleet.feeds[7], fleet.views[7]
        read = view.read

        async def slow_for_all(prefix):
            if not prefix:
                await asyncio.sleep(2.5)
                raise StoreUnavailable("timed out")
            return await read(prefix)

        view.read = slow_for_all
        self.forget(fleet)
        fleet.store.put("cfg", b"2" + b" " * LARGEST_VALUE)

        def is_known():
            return feed._directory.configuration.version == 2

        assert feed.complete
        assert fleet.until(is_known, 5.0) <= 1.0

    def test_vm_that_must_read_all_takes_no_duty(self, make_fleet):
        # Guards against keys that go back to a former owner: a VM that does not know of
        # the last moves takes the duty and renews grants as they were.
        fleet = make_fleet(9)
        feed, view = fleet.feeds[7], fleet.views[7]

        async def fail(prefix):
            raise StoreUnavailable("timed out")

        view.read = fail
        self.forget(fleet, heals=False)
        # Another call of this VM goes well.
        feed.note_answer()
        assert feed.complete
        assert not feed.is_in_touch()

    def test_reading_does_not_undo_what_was_told_meanwhile(self, make_fleet):
        # Guards against a target that is used again after it said that it leaves, since
        # a slow reading of all records was older than what was told.
        fleet = make_fleet(9)
        feed, view = fleet.feeds[7], fleet.views[7]
        read = view.read

        async def slowly(prefix):
            changes = await read(prefix)
            if not prefix:
                await asyncio.sleep(1.0)
            return changes

        view.read = slowly
        self.forget(fleet)
        fleet.put("a", leaving=True)
        fleet.run(0.6)
        assert not feed._directory.may_use("a")
        for _ in range(20):
            fleet.run(0.1)
            assert not feed._directory.may_use("a")
