"""Tests of VMs that ask the publisher for changes they have missed."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from asking_fleet import AskingFleet
from berylstage_entry.assignment import KeyRange, unassigned
from berylstage_entry.clock import now
from berylstage_entry.store import Item
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_access.missed_changes import (
    ANSWER_TIMEOUT_SECONDS,
    ChangeServer,
)
from berylstage_entry.store_access.read_timing import REQUESTED_READ_INTERVAL_SECONDS
from berylstage_entry.store_delta import MAX_INLINE_VALUE_BYTES, StoreDelta
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX
from virtual_time import virtual_loop


@pytest.fixture
def make_fleet():
    fleets = []
    with virtual_loop() as loop:

        def make(vms):
            fleet = AskingFleet(loop, vms)
            fleets.append(fleet)
            fleet.put("a")
            fleet.put("b")
            fleet.start()
            return fleet

        yield make
        for fleet in fleets:
            for store_watcher in fleet.watchers:
                store_watcher.stop()


def versions(fleet):
    return {w._cluster_view.configuration.version for w in fleet.watchers}


class TestLoad:
    @pytest.mark.parametrize("vms", [9, 81])
    def test_lost_datagrams_cause_no_reads(self, make_fleet, vms):
        # Guards against a read of the store by each VM for each gap: with a third of
        # all datagrams lost, 81 VMs made hundreds of calls a second.
        fleet = make_fleet(vms)
        rng = Random(1)
        fleet.is_lost = lambda n: rng.random() < 0.33
        before = len(fleet.calls)
        fleet.run(10.0)
        # The publisher reads twice a second, and so do the two standbys that watch the
        # coordinator's key.
        assert len(fleet.calls) - before < 10 * 4 * 3
        assert all(w.is_kept_up_to_date() for w in fleet.watchers)

    def test_vms_without_any_datagrams_ask_rather_than_read(self, make_fleet):
        fleet = make_fleet(81)
        fleet.is_lost = lambda n: n >= 3
        before = len(fleet.calls)
        fleet.run(10.0)
        assert len(fleet.calls) - before < 10 * 4 * 3
        fleet.store.put("cfg", b"2")
        assert fleet.seconds_until(lambda: versions(fleet) == {2}, 8.0) < 2.0

    def test_requests_that_wait_for_owners_cause_reads_of_the_publisher_only(
        self, make_fleet
    ):
        # Guards against four reads a second of each VM while keys have no owner.
        fleet = make_fleet(81)
        before = len(fleet.calls)

        async def wait_for_owners():
            for _ in range(100):
                await asyncio.sleep(0.05)
                for store_watcher in fleet.watchers[3:]:
                    store_watcher.request_refresh(CallCause.WAIT_FOR_OWNER)

        fleet.loop.run_until_complete(wait_for_owners())
        assert len(fleet.calls) - before < 5 * (4 + 3 * 4)


class TestAnswers:
    def test_gap_is_closed_by_the_answer(self, make_fleet):
        fleet = make_fleet(9)
        receiver = fleet.watchers[7]
        fleet.is_lost = lambda n: n == 7
        fleet.run(0.9)
        fleet.put("c")
        fleet.run(0.6)
        calls = fleet.views[7]._calls = []
        gap = StoreDelta(fleet.watchers[0].revision, fleet.watchers[0].revision, [])
        receiver.apply_delta(gap)
        fleet.loop.run_until_complete(asyncio.sleep(0.02))
        assert receiver._cluster_view.is_usable("c")
        assert calls == []

    def test_answer_contains_assignments_that_were_only_written(self, make_fleet):
        # Guards against a VM that learns a move later than by a read of the store: the
        # coordinator has written it, and has not read it yet.
        fleet = make_fleet(9)
        publisher, receiver = fleet.watchers[0], fleet.watchers[7]
        written = unassigned().replace([KeyRange(0, 9, "a", 1, 1)], 2)
        at = fleet.store.put(ASSIGNMENT_PREFIX + "s", written.encode())
        publisher.apply_assignment("s", written, at)
        receiver.request_refresh(CallCause.WAIT_FOR_OWNER)
        fleet.loop.run_until_complete(asyncio.sleep(0.05))
        assert receiver.assignments["s"].find(5).owner == "a"

    def test_small_assignment_that_was_missed_is_not_read_from_the_store(
        self, make_fleet
    ):
        # Deltas list assignments by revision only. Guards against a VM that has reached
        # this revision, does not apply the answer and reads the store.
        fleet = make_fleet(9)
        receiver = fleet.watchers[7]
        fleet.run(0.6)
        calls = fleet.views[7]._calls = []
        written = unassigned().replace([KeyRange(0, 9, "a", 1, 1)], 2)
        at = fleet.store.put(ASSIGNMENT_PREFIX + "s", written.encode())
        fleet.watchers[0].apply_assignment("s", written, at)
        fleet.run(0.6)
        assert receiver.assignment_revisions["s"] == at
        assert calls == []

    def test_answer_contains_a_large_configuration(self, make_fleet):
        # Guards against a read of the store by each VM that has missed its push.
        fleet = make_fleet(9)
        reads = fleet.watchers[7]
        fleet.is_lost = lambda n: n == 7
        fleet.store.put("cfg", b"2" + b" " * MAX_INLINE_VALUE_BYTES)
        fleet.run(0.6)
        reads.request_refresh(CallCause.MISSED_CONFIGURATION)
        fleet.loop.run_until_complete(asyncio.sleep(0.3))
        assert reads._cluster_view.configuration.version == 2

    def test_value_above_the_size_that_is_pushed_is_listed_only(self, make_fleet):
        fleet = make_fleet(3)
        value = b"2" + Random(1).randbytes(5000)
        fleet.store.put(ASSIGNMENT_PREFIX + "x", unassigned().encode())
        publisher = fleet.watchers[0]
        revision = publisher.revision
        at = revision + 1
        publisher._publication.memory.extend(
            StoreDelta(revision, at, [Item("cfg", value, at)]), now()
        )
        response = ChangeServer(publisher).handle(str(revision).encode())
        delta = StoreDelta.decode(response.body)
        assert delta.items == []
        assert delta.large_revisions == {"cfg": at}


class TestFailures:
    def test_silent_publisher_delays_one_read_by_the_limit_only(self, make_fleet):
        # The publisher stops or is cut off in the middle of its answer. Guards against
        # VMs that keep asking instead of reading the store.
        fleet = make_fleet(9)
        receiver = fleet.watchers[7]
        fleet.is_lost = lambda n: n == 7
        fleet.run(0.6)
        fleet.is_publisher_silent = True
        fleet.put("c")
        receiver.request_refresh(CallCause.MISSED_CHANGES)
        # The question before may have been asked just now.
        wait = REQUESTED_READ_INTERVAL_SECONDS + ANSWER_TIMEOUT_SECONDS + 0.06
        fleet.loop.run_until_complete(asyncio.sleep(wait))
        assert receiver._cluster_view.is_usable("c")
        fleet.put("d")
        fleet.loop.run_until_complete(asyncio.sleep(0.3))
        receiver.request_refresh(CallCause.MISSED_CHANGES)
        fleet.loop.run_until_complete(asyncio.sleep(0.02))
        assert receiver._cluster_view.is_usable("d")

    def test_silent_publisher_does_not_delay_due_reads(self, make_fleet):
        fleet = make_fleet(9)
        fleet.is_lost = lambda n: n == 7
        fleet.is_publisher_silent = True
        fleet.run(2.0)
        fleet.put("c", is_draining=True)
        assert (
            fleet.seconds_until(
                lambda: "c" in fleet.watchers[7]._cluster_view.known, 5.0
            )
            < 1.4
        )

    def test_former_coordinator_does_not_answer(self, make_fleet):
        # Guards against a VM that takes the view of a former coordinator for recent.
        fleet = make_fleet(9)
        fleet.publisher = 5
        receiver = fleet.watchers[7]
        fleet.is_lost = lambda n: n == 7
        fleet.put("c")
        fleet.run(0.3)
        calls = fleet.views[7]._calls = []
        receiver.request_refresh(CallCause.MISSED_CHANGES)
        fleet.loop.run_until_complete(asyncio.sleep(0.1))
        assert receiver._cluster_view.is_usable("c")
        assert len(calls) == 1

    def test_publisher_that_lost_the_store_does_not_keep_others_from_reading(
        self, make_fleet
    ):
        # Guards against VMs that stay with the old view of a publisher that is cut off
        # from the store alone.
        fleet = make_fleet(9)
        fleet.views[0].is_unreachable = True
        fleet.run(2.0)
        fleet.drop("a")
        fleet.run(2.0)
        assert not any(w._cluster_view.is_usable("a") for w in fleet.watchers[1:])

    def test_delayed_answer_does_not_replace_a_newer_view(self, make_fleet):
        fleet = make_fleet(9)
        receiver = fleet.watchers[7]
        fleet.run(0.6)
        late = fleet.watchers[0].changes_since(receiver.revision - 1)
        late.items = [Item("t/a", b'{"is_draining": true}', receiver.revision)]
        fleet.run(1.0)
        revision = receiver.revision

        async def answer_late(_):
            return late

        receiver.ask_publisher = answer_late
        assert not fleet.loop.run_until_complete(receiver._catch_up())
        assert receiver.revision == revision
        assert receiver._cluster_view.is_usable("a")

    def test_revision_that_is_too_old_is_refused(self, make_fleet):
        fleet = make_fleet(3)
        assert ChangeServer(fleet.watchers[0]).handle(b"0").status == 410
        assert ChangeServer(fleet.watchers[0]).handle(b"x").status == 400
        assert ChangeServer(fleet.watchers[1]).handle(b"9").status == 503
