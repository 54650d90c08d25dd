"""Tests of the store watcher."""

from __future__ import annotations

import asyncio
import json

import pytest
from berylstage_entry.assignment import unassigned
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import StoreUnavailable
from berylstage_entry.store import Item
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_access.read_timing import (
    OUTAGE_CALLS_PER_SECOND,
    RETRY_SECONDS,
)
from berylstage_entry.store_delta import MAX_INLINE_VALUE_BYTES, StoreDelta
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX, COORDINATOR_KEY
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, configuration
from fleet import CountingView, Fleet
from virtual_time import virtual_loop

VMS = 63


@pytest.fixture
def running_watchers():
    with virtual_loop() as loop:
        store, calls = MemoryStore(), []
        store.put("cfg", b"1")
        store.put(COORDINATOR_KEY, b'{"control": "vm-0:1"}')
        records = JsonRecords({1: configuration()})
        watchers = []
        for n in range(VMS):
            store_watcher = StoreWatcher(
                CountingView(store, calls), records, ClusterView()
            )
            store_watcher.vm_count = VMS
            store_watcher.is_standby = lambda n=n: n < 3
            watchers.append(store_watcher)

        async def start():
            for store_watcher in watchers:
                store_watcher.start()
            await asyncio.sleep(2.0)

        loop.run_until_complete(start())
        yield loop, store, calls, watchers
        for store_watcher in watchers:
            store_watcher.stop()


class TestOutage:
    def test_calls_to_an_unavailable_store_do_not_grow_with_the_vms(
        self, running_watchers
    ):
        # Guards against a load that grows with the number of VMs: 63 VMs that retry
        # three times a second make more calls in ten seconds than in the rest of a day.
        loop, store, calls, _ = running_watchers
        store.is_unreachable = True
        before = len(calls)
        loop.run_until_complete(asyncio.sleep(10.0))
        standby_calls = 3 * 2 * 10 / RETRY_SECONDS
        assert len(calls) - before < 1.2 * (
            10 * OUTAGE_CALLS_PER_SECOND + VMS + standby_calls
        )

    def test_standbys_notice_soon_that_the_store_has_recovered(self, running_watchers):
        loop, store, _, watchers = running_watchers
        store.is_unreachable = True
        loop.run_until_complete(asyncio.sleep(5.0))
        store.is_unreachable = False
        loop.run_until_complete(asyncio.sleep(RETRY_SECONDS + 0.05))
        assert all(store_watcher.is_up_to_date() for store_watcher in watchers[:3])

    def test_all_vms_notice_that_the_store_has_recovered(self, running_watchers):
        loop, store, _, watchers = running_watchers
        store.is_unreachable = True
        loop.run_until_complete(asyncio.sleep(5.0))
        store.is_unreachable = False
        loop.run_until_complete(asyncio.sleep(1.5 * VMS / OUTAGE_CALLS_PER_SECOND))
        assert all(store_watcher.is_up_to_date() for store_watcher in watchers)


class TestContact:
    def test_store_that_has_just_failed_is_not_called_again(self):
        # The coordinator has lost the store and asks all VMs whether they have too.
        # Most of them have just made a call that failed.
        with virtual_loop() as loop:
            store, calls = MemoryStore(), []
            store_watcher = StoreWatcher(
                CountingView(store, calls), JsonRecords(), ClusterView()
            )
            store_watcher.record_failure(StoreUnavailable("store unavailable"))
            assert loop.run_until_complete(store_watcher.probe_store()) == 0
            assert calls == []


class TestLocalPublishers:
    """One VM of each data centre publishes while the publisher is lost."""

    DATA_CENTRES = 3

    def data_centre(self, n):
        return n % self.DATA_CENTRES

    @pytest.fixture
    def publishing_watchers(self, running_watchers):
        """Return VMs with one publisher and one local publisher per data centre."""
        _, _, _, watchers = running_watchers
        watchers[0].is_publisher = lambda: self.has_publisher

        def publish(publisher, delta):
            for n, store_watcher in enumerate(watchers):
                same_data_centre = self.data_centre(n) == self.data_centre(publisher)
                if n != publisher and (
                    watchers[publisher].is_publisher() or same_data_centre
                ):
                    for part in delta.split():
                        store_watcher.apply_delta(StoreDelta.decode(part.encode()))

        for n, store_watcher in enumerate(watchers):
            store_watcher.publish = lambda delta, n=n: publish(n, delta)
            store_watcher.is_local_publisher = lambda n=n: (
                self.DATA_CENTRES <= n < 2 * self.DATA_CENTRES
            )
            # The watch of the coordinator key is not counted here.
            store_watcher.is_standby = lambda: False
        self.has_publisher = True
        return running_watchers

    def report(self, store, seconds):
        async def report_for_a_while():
            for n in range(int(seconds / 0.1)):
                store.put("t/a", json.dumps({"incarnation": n}).encode())
                await asyncio.sleep(0.1)

        return report_for_a_while()

    def test_loss_of_the_publisher_causes_no_rush_to_the_store(
        self, publishing_watchers
    ):
        # Guards against 63 VMs that each read the store twice while there is no
        # publisher, which is when the election of a coordinator needs the store.
        loop, store, calls, watchers = publishing_watchers
        loop.run_until_complete(self.report(store, 3.0))
        self.has_publisher = False
        watchers[0].stop()
        before = len(calls)
        loop.run_until_complete(self.report(store, 3.0))
        assert len(calls) - before <= self.DATA_CENTRES * (3.0 / 0.7 + 1)
        newest = max(store_watcher._revision for store_watcher in watchers)
        assert (
            min(store_watcher._revision for store_watcher in watchers[1:]) > newest - 10
        )

    def test_next_publisher_leaves_no_gap(self, publishing_watchers):
        # The last update of the lost publisher did not reach all VMs. Unless the next
        # publisher includes these changes, every VM that missed them reads the store.
        loop, store, calls, watchers = publishing_watchers
        loop.run_until_complete(self.report(store, 1.0))
        missing, next_publisher = watchers[10], watchers[4]
        original = missing.apply_delta
        missing.apply_delta = lambda delta: False
        loop.run_until_complete(self.report(store, 0.5))
        missing.apply_delta = original
        self.has_publisher = False
        watchers[0].stop()
        next_publisher.is_publisher = lambda: True
        before = len(calls)
        loop.run_until_complete(self.report(store, 1.0))
        assert missing._revision >= next_publisher._revision - 5
        assert len(calls) - before <= 2 * self.DATA_CENTRES + 3

    def test_data_centre_without_a_local_publisher_reads_the_store(
        self, publishing_watchers
    ):
        loop, store, _, watchers = publishing_watchers
        for store_watcher in watchers:
            store_watcher.is_local_publisher = lambda: False
        self.has_publisher = False
        watchers[0].stop()
        loop.run_until_complete(self.report(store, 1.5))
        store.put("t/b", b"{}")
        loop.run_until_complete(self.report(store, 1.5))
        assert all(
            "b" in store_watcher._cluster_view.known for store_watcher in watchers[1:]
        )


class TestReadUntil:
    """What a new coordinator must know before its term begins."""

    def test_assignment_that_a_delta_lists_by_revision_only(self):
        # Guards against a term that begins with an assignment from before the last
        # move, although this VM has reached the term's revision.
        with virtual_loop() as loop:
            store = MemoryStore()
            store.put("cfg", b"1")
            key = ASSIGNMENT_PREFIX + "s"
            store.put(key, unassigned().encode())
            records = JsonRecords({1: configuration(1)})
            store_watcher = StoreWatcher(store, records, ClusterView())

            async def step():
                await store_watcher._read_all()
                after = store_watcher.revision
                moved = store.put(key, unassigned().encode())
                delta = StoreDelta(after, moved, [], {key: moved})
                assert store_watcher.apply_delta(delta)
                assert store_watcher.revision == moved
                assert not store_watcher.knows_changes_until(moved)
                await store_watcher.read_until(moved)
                assert store_watcher.knows_changes_until(moved)
                assert store_watcher.assignment_revisions["s"] == moved
                store_watcher.stop()

            loop.run_until_complete(step())


class TestWriteDuringRead:
    """Writes of a VM that reads all of the store meanwhile."""

    def test_newer_items_stay(self):
        # Guards against a coordinator that forgets its own term, which is then never
        # stored as settled, because a read of all records began before its election.
        with virtual_loop() as loop:
            store = MemoryStore()
            store.put("cfg", b"1")
            store.put("berylstage/old", b"{}")
            records = JsonRecords({1: configuration(1)})
            store_watcher = StoreWatcher(store, records, ClusterView())
            published = []
            store_watcher.publish = published.append
            store_watcher.is_publisher = lambda: True

            async def step():
                await store_watcher._read_all()
                read = store.read

                async def slow_read(prefix):
                    changes = await read(prefix)
                    await asyncio.sleep(0.3)
                    return changes

                store.read = slow_read
                store.put("berylstage/old", None)
                reading = asyncio.create_task(store_watcher._read_all())
                await asyncio.sleep(0.1)
                revision = store.put(COORDINATOR_KEY, b"{}")
                item = Item(COORDINATOR_KEY, b"{}", revision)
                store_watcher.apply_written_item(item)
                await reading
                assert store_watcher.internal_items == {COORDINATOR_KEY: item}
                assert [(i.key, i.value) for i in published[0].items] == [
                    ("berylstage/old", None)
                ]

            loop.run_until_complete(step())


class TestUpdateDuringRead:
    def test_read_that_lacks_a_concurrent_update_is_not_published(self):
        # During a slow read, a VM receives a configuration and a draining target from
        # another VM. Its own read then has nothing new. Published as the complete list
        # of changes, it hides both from the data centre's other VMs for eight seconds.
        with virtual_loop() as loop:
            store = MemoryStore()
            store.put("cfg", b"1")
            store.put("t/a", b"{}")
            records = JsonRecords({1: configuration(1), 2: configuration(2)})
            store_watcher = StoreWatcher(store, records, ClusterView())
            published = []
            store_watcher.publish = published.append
            store_watcher.is_local_publisher = lambda: True

            async def step():
                await store_watcher._read_all()
                first_revision = store_watcher._revision
                watch = store.watch

                async def slow_watch(*args):
                    changes = await watch(*args)
                    await asyncio.sleep(0.3)
                    return changes

                store.watch = slow_watch
                store.put("cfg", b"2")
                store.put("t/a", json.dumps({"is_draining": True}).encode())
                reading = asyncio.create_task(
                    store_watcher._watch_all(CallCause.OTHER, 1.0)
                )
                await asyncio.sleep(0.1)
                items = [item for item in store.log if item.revision > first_revision]
                store_watcher.apply_delta(
                    StoreDelta(first_revision, store.revision, items)
                )
                await reading
                assert published == []
                store.put("t/b", b"{}")
                await store_watcher._watch_all(CallCause.OTHER, 1.0)
                assert [item.key for item in published[0].items][-1] == "t/b"

            loop.run_until_complete(step())


@pytest.fixture
def make_fleet():
    """Return a factory of fleets with three targets."""
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
        for store_watcher in (f for fleet in fleets for f in fleet.watchers):
            store_watcher.stop()


class TestPartition:
    """Some VMs lose the store while others still reach it."""

    # Time after the end of a partition within which a VM must apply what it missed: a
    # third of the time for which it may serve requests from an outdated view.
    CATCH_UP_SECONDS = 1.0

    @pytest.fixture
    def cut(self):
        return range(3, 8)

    def vms_using(self, fleet, name):
        return [
            n for n, f in enumerate(fleet.watchers) if f._cluster_view.is_usable(name)
        ]

    def test_vms_that_receive_updates_stop_using_a_removed_target(
        self, make_fleet, cut
    ):
        # Guards against requests to a target that left 12 s ago. VMs that had lost the
        # store, though not their peers, considered its record merely expired.
        fleet = make_fleet(9)
        fleet.cut_off(cut, gets_updates=True)
        fleet.run(4.0)
        fleet.drop("a")
        fleet.run(1.0)
        assert self.vms_using(fleet, "a") == []

    def test_target_whose_record_expires_in_an_outage_is_kept(self, make_fleet, cut):
        # Guards against dropping all targets when no VM reached the store.
        fleet = make_fleet(9)
        fleet.store.is_unreachable = True
        fleet.run(4.0)
        fleet.store.is_unreachable = False
        fleet.drop("a")
        fleet.run(1.0)
        assert len(self.vms_using(fleet, "a")) == 9

    def test_delayed_delta_says_nothing_about_the_store(self, make_fleet):
        # Guards against dropping targets in an outage because a delta from before the
        # outage arrived late.
        fleet = make_fleet(9)
        late = StoreDelta(0, 1, [], contact=60.0)
        fleet.store.is_unreachable = True
        fleet.run(4.0)
        store_watcher = fleet.watchers[7]
        store_watcher.apply_delta(late)
        assert store_watcher.in_outage()

    def test_gaps_for_hours_do_not_stop_the_reads(self, make_fleet):
        # Guards against a VM that never reads again because the delay that doubles with
        # each failed read overflows.
        fleet = make_fleet(9)
        fleet.views[7].is_unreachable = True
        store_watcher = fleet.watchers[7]

        async def deliver_gaps(times):
            for n in range(times):
                store_watcher.apply_delta(StoreDelta(10_000 + n, 20_000 + n, []))
                await asyncio.sleep(1.0)

        fleet.loop.run_until_complete(deliver_gaps(1200))
        fleet.heal()
        fleet.run(3.0)
        assert store_watcher.is_up_to_date()

    @pytest.mark.parametrize("vms", [9, 63, 195])
    def test_missed_changes_are_applied_soon_after_a_partition(
        self, make_fleet, cut, vms
    ):
        # Guards against VMs that use an outdated view for seconds after they reconnect.
        fleet = make_fleet(vms)
        fleet.cut_off(cut)
        fleet.run(4.0)
        fleet.drop("a")
        fleet.put("b", is_draining=True)
        fleet.store.put("cfg", b"2")
        fleet.run(8.0)
        fleet.heal()

        def is_applied():
            versions = {f._cluster_view.configuration.version for f in fleet.watchers}
            users = self.vms_using(fleet, "a") + self.vms_using(fleet, "b")
            return not users and versions == {2}

        assert fleet.seconds_until(is_applied, 8.0) <= self.CATCH_UP_SECONDS

    def test_reconnecting_data_centre_does_not_overload_the_store(self, make_fleet):
        # Guards against a thundering herd of 33 VMs that reconnect at the same moment.
        fleet = make_fleet(195)
        fleet.cut_off(range(3, 36))
        fleet.run(12.0)
        fleet.heal()
        before = len(fleet.calls)
        fleet.run(2.0)
        assert len(fleet.calls) - before <= 3 * 33 + 2 * 2 / RETRY_SECONDS + 2 / 0.45


class TestSingleFailedCall:
    """A VM that makes few calls, since it receives updates, loses one of them."""

    def test_failed_read_of_a_configuration_is_retried_soon(self, make_fleet):
        # Guards against a configuration that is in force 5 s late. One call was lost on
        # a saturated link, and the retry delay was as long as the time since the last
        # call, which had succeeded.
        fleet = make_fleet(195)
        store_watcher, view = fleet.watchers[7], fleet.views[7]
        # A configuration is too large for the delta, so each VM reads it itself.
        fleet.store.put("cfg", b"2" + b" " * MAX_INLINE_VALUE_BYTES)
        read, failures = view.read, []

        async def fail_first_read(prefix):
            if prefix == "cfg" and not failures:
                failures.append(now())
                raise StoreUnavailable("the link is saturated")
            return await read(prefix)

        view.read = fail_first_read

        def is_applied():
            return store_watcher._cluster_view.configuration.version == 2

        fleet.seconds_until(is_applied, 10.0)
        assert now() - failures[0] <= 2 * RETRY_SECONDS

    def test_configuration_does_not_wait_for_another_large_value(self, make_fleet):
        # Guards against a configuration that is in force late because it waits for the
        # read of another value, which hangs until the timeout on a dead connection.
        fleet = make_fleet(63)
        store_watcher, view = fleet.watchers[7], fleet.views[7]
        read = view.read

        async def read_assignments_slowly(prefix):
            if prefix.startswith(ASSIGNMENT_PREFIX):
                await asyncio.sleep(2.5)
                raise StoreUnavailable("timed out")
            return await read(prefix)

        view.read = read_assignments_slowly
        large = b" " * MAX_INLINE_VALUE_BYTES
        fleet.store.put(ASSIGNMENT_PREFIX + "s", unassigned().encode() + large)
        fleet.run(0.6)
        fleet.store.put("cfg", b"2" + large)

        def is_applied():
            return store_watcher._cluster_view.configuration.version == 2

        assert fleet.seconds_until(is_applied, 5.0) <= 1.0

    def test_configuration_does_not_wait_for_all_records(self, make_fleet):
        # Guards against a configuration that is in force late at a VM that has missed
        # changes, because it waits until all records are read over a saturated link.
        fleet = make_fleet(63)
        store_watcher, view = fleet.watchers[7], fleet.views[7]
        read, watch = view.read, view.watch

        async def slow(*args):
            await asyncio.sleep(2.5)
            raise StoreUnavailable("timed out")

        view.read = lambda prefix: read(prefix) if prefix else slow()
        fleet.cut_off([7])
        fleet.run(4.0)
        fleet.heal()
        view.watch = lambda prefix, *rest: watch(prefix, *rest) if prefix else slow()
        fleet.store.put("cfg", b"2" + b" " * MAX_INLINE_VALUE_BYTES)

        def is_applied():
            return store_watcher._cluster_view.configuration.version == 2

        assert fleet.seconds_until(is_applied, 5.0) <= 1.0


class TestCompactedHistory:
    """The store compacts its history."""

    def compact_history(self, fleet, reconnects=True):
        """Compact changes that one VM has not received, and have that VM read."""
        fleet.partitioned.add(7)
        fleet.run(0.5)
        fleet.store.compacted = fleet.store.revision
        fleet.watchers[7].request_refresh()
        fleet.run(0.3)
        if reconnects:
            fleet.heal()

    def test_vm_that_receives_updates_needs_no_full_read(self, make_fleet):
        # Guards against a configuration that is in force 5 s late. A VM that found the
        # history compacted ignored all deltas until it had read all records, which
        # takes seconds on a saturated link.
        fleet = make_fleet(63)
        store_watcher, view = fleet.watchers[7], fleet.views[7]
        read = view.read

        async def read_all_slowly(prefix):
            if not prefix:
                await asyncio.sleep(2.5)
                raise StoreUnavailable("timed out")
            return await read(prefix)

        view.read = read_all_slowly
        self.compact_history(fleet)
        fleet.store.put("cfg", b"2" + b" " * MAX_INLINE_VALUE_BYTES)

        def is_applied():
            return store_watcher._cluster_view.configuration.version == 2

        assert store_watcher.has_synced
        assert fleet.seconds_until(is_applied, 5.0) <= 1.0

    def test_vm_that_needs_a_full_read_does_not_become_coordinator(self, make_fleet):
        # Guards against keys that return to a previous owner: a VM that does not know
        # the latest moves becomes coordinator and renews the old grants.
        fleet = make_fleet(9)
        store_watcher, view = fleet.watchers[7], fleet.views[7]

        async def fail(prefix):
            raise StoreUnavailable("timed out")

        view.read = fail
        self.compact_history(fleet, reconnects=False)
        # Another call of this VM succeeds.
        store_watcher.record_success()
        assert store_watcher.has_synced
        assert not store_watcher.is_up_to_date()

    def test_full_read_does_not_overwrite_a_concurrent_update(self, make_fleet):
        # Guards against a draining target that is used again, because a slow read of
        # all records returned an older state than the delta applied meanwhile.
        fleet = make_fleet(9)
        store_watcher, view = fleet.watchers[7], fleet.views[7]
        read = view.read

        async def read_slowly(prefix):
            changes = await read(prefix)
            if not prefix:
                await asyncio.sleep(1.0)
            return changes

        view.read = read_slowly
        self.compact_history(fleet)
        fleet.put("a", is_draining=True)
        fleet.run(0.6)
        assert not store_watcher._cluster_view.is_usable("a")
        for _ in range(20):
            fleet.run(0.1)
            assert not store_watcher._cluster_view.is_usable("a")
