"""Tests of publishing the changes of the store to other VMs."""

from __future__ import annotations

import asyncio
import json
from itertools import accumulate, pairwise

import pytest
from berylstage_entry.assignment import KeyRange, unassigned
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store import Item
from berylstage_entry.store_delta import StoreDelta
from berylstage_entry.store_keys import COORDINATOR_KEY
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, StoreView, configuration
from hypothesis import given
from hypothesis import strategies as st


class CountingView(StoreView):
    """The store as one VM sees it; counts watches and records reads."""

    def __init__(self, store):
        super().__init__(store)
        self.watch_calls = 0
        self.coordinator_watches = 0
        self.read_prefixes = []

    async def read(self, prefix):
        self.read_prefixes.append(prefix)
        return await super().read(prefix)

    async def watch(self, prefix, after, wait):
        if not prefix:
            self.watch_calls += 1
        if prefix == COORDINATOR_KEY:
            self.coordinator_watches += 1
        return await super().watch(prefix, after, wait)


class Vm:
    """A store watcher with its own connection to the store."""

    def __init__(self, store):
        self.store = CountingView(store)
        self.cluster_view = ClusterView()
        records = JsonRecords({n: configuration(n) for n in (1, 2)})
        self.store_watcher = StoreWatcher(self.store, records, self.cluster_view)

    def version(self):
        return self.cluster_view.configuration.version


def put_target(store, name, **changes):
    store.put(f"t/{name}", json.dumps(changes).encode())


def run_scenario(scenario, is_lost=lambda: False, set_up=lambda store_watcher: None):
    """Run a scenario with a publisher and a receiver."""

    async def run():
        store = MemoryStore()
        store.put("cfg", b"1")
        put_target(store, "a")
        publisher, receiver = Vm(store), Vm(store)
        publisher.store_watcher.is_publisher = lambda: True

        def tell(delta):
            for part in delta.split():
                data = part.encode()
                if data is not None and not is_lost():
                    receiver.store_watcher.apply_delta(StoreDelta.decode(data))

        publisher.store_watcher.publish = tell
        set_up(receiver.store_watcher)
        publisher.store_watcher.start()
        receiver.store_watcher.start()
        await asyncio.sleep(0.5)
        reporter = asyncio.create_task(report_forever(store))
        await scenario(store, publisher, receiver)
        reporter.cancel()
        publisher.store_watcher.stop()
        receiver.store_watcher.stop()

    asyncio.run(run())


async def report_forever(store):
    """Repeat a target's reports, as on the platform."""
    while True:
        put_target(store, "a")
        await asyncio.sleep(0.1)


async def wait_until(condition, seconds=2.0):
    end = now() + seconds
    while not condition():
        assert now() < end, "condition did not hold in time"
        await asyncio.sleep(0.02)


class TestDeltas:
    def test_vm_that_receives_deltas_does_not_read(self):
        async def scenario(store, publisher, receiver):
            before = receiver.store.watch_calls
            put_target(store, "b")
            await wait_until(lambda: "b" in receiver.cluster_view.known)
            put_target(store, "b", is_draining=True)
            await wait_until(
                lambda: receiver.cluster_view.known["b"].target.is_draining
            )
            store.put("t/b", None)
            await wait_until(lambda: "b" not in receiver.cluster_view.known)
            assert receiver.store.watch_calls - before <= 1

        run_scenario(scenario)

    def test_vm_reads_the_store_when_no_delta_arrives(self):
        # Guards against a VM that waits for deltas after the publisher is lost, and
        # sends requests to a draining target until it is gone.
        async def scenario(store, publisher, receiver):
            await asyncio.sleep(1.0)
            publisher.store_watcher.stop()
            put_target(store, "b", is_draining=True)
            await wait_until(lambda: "b" in receiver.cluster_view.known, 1.3)

        run_scenario(scenario)

    def test_gap_between_deltas_is_closed_by_a_read(self):
        # Every second datagram is lost. The changes of a lost one must be applied as
        # soon as the next one reveals the gap.
        lost = iter([False, True] * 100)

        async def scenario(store, publisher, receiver):
            for n in range(4):
                put_target(store, f"b{n}")
                name = f"b{n}"
                await wait_until(
                    lambda name=name: name in receiver.cluster_view.known, 1.3
                )

        run_scenario(scenario, lambda: next(lost))

    def test_next_datagram_repeats_the_changes_of_a_lost_one(self):
        # Every second datagram is lost, as on a saturated link. A VM that reads the
        # store at each gap gets all reports of all targets over the same link, which
        # takes seconds and delays the changes as long.
        lost = iter([False, True] * 100)

        async def scenario(store, publisher, receiver):
            before = receiver.store.watch_calls
            for n in range(4):
                name = f"b{n}"
                put_target(store, name)
                await wait_until(
                    lambda name=name: name in receiver.cluster_view.known, 1.5
                )
            assert receiver.store.watch_calls - before <= 1

        run_scenario(scenario, lambda: next(lost))

    def test_changes_found_after_a_compaction_are_published(self):
        # The store compacts its history, and the publisher reads all records. Unless it
        # publishes what has changed, each of 63 VMs reads all records over its link.
        async def scenario(store, publisher, receiver):
            put_target(store, "c")
            await wait_until(lambda: "c" in receiver.cluster_view.known)
            watch_calls = receiver.store.watch_calls, list(receiver.store.read_prefixes)
            put_target(store, "b")
            store.put("t/c", None)
            store.compacted = store.revision + 1
            store.revision += 2
            await wait_until(lambda: "b" in receiver.cluster_view.known)
            await wait_until(lambda: "c" not in receiver.cluster_view.known)
            assert receiver.store.watch_calls == watch_calls[0]
            assert "" not in receiver.store.read_prefixes[len(watch_calls[1]) :]

        run_scenario(scenario)

    def test_large_value_is_read_by_itself(self):
        # The datagram with the change of an assignment is lost. Reading the assignment
        # with all records transfers 100 kB that this VM already has.
        async def scenario(store, publisher, receiver):
            await asyncio.sleep(0.6)
            before = receiver.store.watch_calls
            store.put("cfg", b"2" + b" " * 600)
            await wait_until(lambda: receiver.version() == 2, 1.3)
            assert receiver.store.watch_calls == before
            assert receiver.store.read_prefixes[1:] == ["cfg"]

        run_scenario(scenario)

    def test_vm_with_an_old_view_reads_records_rather_than_changes(self):
        # A VM was partitioned for some seconds. All reports since are many times the
        # size of the records, and grow with each retry.
        async def scenario(store, publisher, receiver):
            await asyncio.sleep(0.3)
            publisher.store_watcher.stop()
            receiver.store.is_unreachable = True
            put_target(store, "b")
            await asyncio.sleep(3.0)
            receiver.store.is_unreachable = False
            reads = len(receiver.store.read_prefixes)
            await wait_until(lambda: "b" in receiver.cluster_view.known)
            assert receiver.store.read_prefixes[reads:] == [""]

        run_scenario(scenario)

    def test_record_that_expired_and_returned_is_published(self):
        # After an outage the publisher keeps a target whose record has expired, while
        # another VM has dropped it. The record then returns unchanged.
        async def scenario(store, publisher, receiver):
            put_target(store, "b")
            await wait_until(lambda: "b" in receiver.cluster_view.known)
            publisher.store_watcher.record_failure(OSError("an outage"))
            store.put("t/b", None)
            await wait_until(lambda: "b" not in receiver.cluster_view.known)
            put_target(store, "b")
            await wait_until(lambda: "b" in receiver.cluster_view.known)

        run_scenario(scenario)

    def test_receiver_reads_a_large_value(self):
        async def scenario(store, publisher, receiver):
            await asyncio.sleep(0.6)
            store.put("cfg", b"2" + b" " * 600)
            await wait_until(lambda: receiver.version() == 2, 1.3)

        run_scenario(scenario)

    def test_large_value_that_was_pushed_is_not_read(self):
        # Guards against 76 calls to the store within half a second, when each of 76 VMs
        # reads a new configuration itself.
        async def scenario(store, publisher, receiver):
            def tell(delta):
                for item in delta.large_items:
                    assert receiver.store_watcher.apply_pushed_item(item)
                receiver.store_watcher.apply_delta(StoreDelta.decode(delta.encode()))

            publisher.store_watcher.publish = tell
            await asyncio.sleep(0.6)
            before = receiver.store.watch_calls
            store.put("cfg", b"2" + b" " * 600)
            await wait_until(lambda: receiver.version() == 2, 1.3)
            await asyncio.sleep(1.0)
            assert receiver.store.watch_calls == before

        run_scenario(scenario)

    def test_delayed_delta_is_not_applied(self):
        # A VM was suspended between its read and the publication. Its delta is older
        # than what the receiver has read meanwhile.
        async def scenario(store, publisher, receiver):
            publisher.store_watcher.stop()
            late = StoreDelta(0, 3, [Item("t/a", None, 3)])
            await asyncio.sleep(1.2)
            assert not receiver.store_watcher.apply_delta(late)
            assert "a" in receiver.cluster_view.known

        run_scenario(scenario)

    def test_delta_published_long_after_its_read_does_not_defer_the_next_read(self):
        # The publisher was suspended for seconds during a call. The receiver has the
        # delta's base revision, so the delta applies, but it is old.
        async def scenario(store, publisher, receiver):
            publisher.store_watcher.stop()
            watch_calls = receiver.store.watch_calls
            end = now() + 1.5
            while now() < end:
                receiver.store_watcher.apply_delta(
                    StoreDelta(0, receiver.store_watcher._revision, [], {}, 3.0)
                )
                await asyncio.sleep(0.1)
            assert receiver.store.watch_calls > watch_calls

        run_scenario(scenario)

    def test_vm_that_receives_empty_deltas_does_not_read(self):
        async def scenario(store, publisher, receiver):
            before = receiver.store.watch_calls
            end = now() + 2.0
            while now() < end:
                delta = StoreDelta(0, receiver.store_watcher._revision, [], {}, 0.01)
                receiver.store_watcher.apply_delta(delta)
                await asyncio.sleep(0.1)
            assert receiver.store.watch_calls == before

        run_scenario(scenario)

    def test_damaged_datagram_is_rejected(self):
        data = StoreDelta(1, 2, []).encode()
        for damaged in (data[:-3], data[:1], b"\x10" + b"[]"):
            with pytest.raises(InvalidRecord):
                StoreDelta.decode(damaged)

    def test_delta_too_large_for_a_datagram_is_not_encoded(self):
        items = [Item(f"t/{n}", str(n**99).encode(), n) for n in range(60)]
        assert StoreDelta(1, 99, items).encode() is None

    def test_many_changes_at_once_are_split_into_several_datagrams(self):
        # Hundreds of targets start at once. Guards against dropping a delta too large
        # for one datagram: every VM then read all records, which cost one call each
        # and took up to 1.2 s.
        async def scenario(store, publisher, receiver):
            before = receiver.store.watch_calls
            for n in range(200):
                put_target(store, f"b{n:03}x{n**20}")
            await wait_until(lambda: len(receiver.cluster_view.known) == 201)
            assert receiver.store.watch_calls == before

        run_scenario(scenario)

    def test_lost_part_is_recovered_by_a_read(self):
        lost = iter([False, True] + [False] * 999)

        async def scenario(store, publisher, receiver):
            for n in range(200):
                put_target(store, f"b{n:03}x{n**20}")
            await wait_until(lambda: len(receiver.cluster_view.known) == 201)

        run_scenario(scenario, lambda: next(lost))

    def test_large_value_listed_in_a_lost_part_is_not_missed(self):
        # A configuration of 230 routes arrives among many changes of targets, and the
        # last datagram is lost. Guards against a VM that considers itself up to date
        # and uses the previous configuration until the next one arrives.
        lost = iter([False, False, False, True] + [False] * 999)

        async def scenario(store, publisher, receiver):
            put_target(store, "large", address="x" * 900)
            revision = store.revision
            for n in range(200):
                put_target(store, f"b{n:03}x{n**20}")
            await wait_until(
                lambda: (
                    receiver.store_watcher._large_values.known_revision("t/large")
                    == revision
                )
            )

        run_scenario(scenario, lambda: next(lost))

    @given(st.lists(st.integers(1, 9), max_size=60), st.integers(5, 300))
    def test_parts_contain_the_same_changes_in_order(self, revision_steps, at):
        # Changes of one write must stay in one part: a VM that has applied one of them
        # considers the others applied.
        # A key must not be listed later than in the part that reaches its revision: a
        # VM that misses the later part considers the value applied.
        revisions = list(
            accumulate(revision_steps, lambda at, step: at + (step > 4), initial=5)
        )
        newest = revisions[-1] + 3
        named = min(at, newest)
        items = [
            Item(f"t/{n}", str(n**250).encode()[:490], at)
            for n, at in enumerate(revisions)
        ]
        parts = StoreDelta(4, newest, items, {"k": named}).split()
        assert [i.key for part in parts for i in part.items] == [i.key for i in items]
        assert parts[0].after == 4
        assert parts[-1].revision == newest
        for part in parts:
            reaches = part.after < named <= part.revision
            assert part.large_revisions == ({"k": named} if reaches else {})
        for one, other in pairwise(parts):
            assert one.revision == other.after
            assert all(item.revision <= one.revision for item in one.items)
            assert all(item.revision > other.after for item in other.items)

    def test_assignments_are_published_once(self):
        # The VM that writes an assignment sends its change. If the delta contained the
        # assignment as well, three of them would fill a datagram, nothing would be
        # published, and every VM would read the store at each rebalancing.
        async def scenario(store, publisher, receiver):
            put_target(store, "a")
            await asyncio.sleep(0.5)
            before = receiver.store.watch_calls
            assignment = unassigned()
            for n in range(12):
                moved = [KeyRange(n * 9, n * 9 + 8, f"t{n**30}", 1, n + 1)]
                assignment = assignment.replace(moved, n + 2)
                revision = store.put("berylstage/keys/s", assignment.encode())
                for vm in (publisher, receiver):
                    vm.store_watcher.apply_assignment("s", assignment, revision)
                await asyncio.sleep(0.1)
            assert receiver.store.watch_calls == before
            assert receiver.store.read_prefixes == [""]

        run_scenario(scenario)


class TestCoordinatorWatch:
    def test_vm_that_is_no_standby_watches_only_while_there_is_no_coordinator(self):
        # Guards against a watch of the coordinator key by every VM: each change of the
        # coordinator, and each timeout of a watch, would cost one call per VM.
        async def scenario(store, publisher, receiver):
            receiver.store_watcher.is_standby = lambda: False
            store.put(COORDINATOR_KEY, b"{}")
            await wait_until(
                lambda: COORDINATOR_KEY in receiver.store_watcher.internal_items
            )
            await asyncio.sleep(0.5)
            before = receiver.store.coordinator_watches
            await asyncio.sleep(1.0)
            assert receiver.store.coordinator_watches == before
            store.put(COORDINATOR_KEY, None)
            await wait_until(
                lambda: (
                    receiver.store_watcher.internal_items[COORDINATOR_KEY].value is None
                )
            )
            await wait_until(lambda: receiver.store.coordinator_watches > before)

        run_scenario(scenario)

    def test_small_vm_leaves_the_election_to_larger_ones(self):
        # 195 VMs start together without a coordinator. Guards against a watch of the
        # coordinator key by all of them, though only 18 are large enough for it.
        async def scenario(store, publisher, receiver):
            store.put(COORDINATOR_KEY, b"{}")
            await wait_until(
                lambda: COORDINATOR_KEY in receiver.store_watcher.internal_items
            )
            watches = receiver.store.coordinator_watches
            store.put(COORDINATOR_KEY, None)
            await wait_until(
                lambda: (
                    receiver.store_watcher.internal_items[COORDINATOR_KEY].value is None
                )
            )
            await asyncio.sleep(0.6)
            assert receiver.store.coordinator_watches == watches

        def make_small(store_watcher):
            store_watcher.is_standby = lambda: False
            store_watcher.yields_coordination = lambda: True

        run_scenario(scenario, set_up=make_small)

    def test_coordinator_does_not_watch_its_own_key(self):
        async def scenario(store, publisher, receiver):
            store.put(COORDINATOR_KEY, b"{}")
            await asyncio.sleep(0.5)
            before = publisher.store.coordinator_watches
            await asyncio.sleep(1.0)
            assert publisher.store.coordinator_watches == before

        run_scenario(scenario)
