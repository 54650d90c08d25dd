"""Tests of the counts of calls to the store."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import Conflict, StoreRefused, StoreUnavailable
from berylstage_entry.metrics import Metrics
from berylstage_entry.store import Condition
from berylstage_entry.store_access.call_counts import (
    LOG_INTERVAL_SECONDS,
    CallCause,
    CountedStore,
    StoreCallCounts,
    StoreCallLog,
    classify_outcome,
)
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, MemoryStore, configuration
from virtual_time import virtual_loop


class TestOutcomes:
    @pytest.mark.parametrize(
        ("exc", "outcome"),
        [
            (StoreRefused("429"), "refused"),
            (StoreUnavailable("silent"), "unanswered"),
            (Conflict("k"), "conflict"),
            (asyncio.CancelledError(), "cancelled"),
            (ValueError("x"), "failed"),
        ],
    )
    def test_outcome_follows_from_the_error(self, exc, outcome):
        # Guards against refusals and silence counted as one: the store bills both, but
        # only silence costs the time of a timeout.
        assert classify_outcome(exc) == outcome


class TestCountedStore:
    def test_calls_are_counted_by_kind_cause_and_outcome(self):
        # Guards against a wrapper that counts under the cause of another component.
        with virtual_loop() as loop:
            counts = StoreCallCounts()
            inner = MemoryStore()
            store = CountedStore(inner, counts).for_cause(CallCause.MEMBERSHIP)

            async def scenario():
                await store.create_lease(5.0)
                with pytest.raises(Conflict):
                    await store.write([Condition("k", 7)], [])
                inner.is_unreachable = True
                with pytest.raises(StoreUnavailable):
                    await store.for_cause(CallCause.PROBE).read("k")

            loop.run_until_complete(scenario())
        assert counts.take_recent() == {
            "create_lease membership ok": 1,
            "read probe unanswered": 1,
            "write membership conflict": 1,
        }
        assert counts.total(cause="membership") == 2

    def test_watcher_tells_why_it_reads(self):
        # Guards against reads of all VMs that appear under one cause, which hides the
        # behaviour that makes them.
        with virtual_loop() as loop:
            counts, inner = StoreCallCounts(), MemoryStore()
            inner.put("cfg", b"1")
            store_watcher = StoreWatcher(
                CountedStore(inner, counts),
                JsonRecords({1: configuration()}),
                ClusterView(),
            )
            store_watcher.is_standby = lambda: False

            async def scenario():
                store_watcher.start()
                await asyncio.sleep(0.5)
                store_watcher.request_refresh(CallCause.WAIT_FOR_OWNER)
                await asyncio.sleep(0.3)
                store_watcher.stop()

            loop.run_until_complete(scenario())
        assert counts.total("read", CallCause.FIRST_READ) == 1
        assert counts.total("watch", CallCause.WAIT_FOR_OWNER) == 1


class TestReports:
    def test_counts_appear_in_the_metrics(self):
        metrics = Metrics()
        metrics.store_calls.record("read", "first", "ok")
        line = (
            'berylstage_store_calls_total{kind="read",cause="first",outcome="ok"} 1\n'
        )
        assert line in metrics.text()

    def test_one_log_line_per_interval_with_calls(self, monkeypatch):
        # Guards against a line for each call, which costs more than the call, and
        # against lines of idle VMs.
        with virtual_loop() as loop:
            counts = StoreCallCounts()
            call_log = StoreCallLog(counts)
            lines = []
            monkeypatch.setattr(
                "berylstage_entry.store_access.call_counts.log.info",
                lambda message, extra: lines.append((message, extra)),
            )

            async def scenario():
                call_log.start()
                for _ in range(50):
                    counts.record("read", "first", "ok")
                await asyncio.sleep(2.5 * LOG_INTERVAL_SECONDS)
                counts.record("watch", "publisher", "ok")
                call_log.stop()

            loop.run_until_complete(scenario())
        assert [(m, e["calls"]) for m, e in lines] == [
            ("store calls", 50),
            ("store calls", 1),
        ]
