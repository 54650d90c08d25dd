"""Tests of the supervision of tasks that must run as long as the process."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.membership import VMS_PREFIX, Membership
from berylstage_entry.store_watcher import StoreWatcher
from berylstage_entry.supervision import (
    MAX_RESTART_DELAY_SECONDS,
    MIN_RESTART_DELAY_SECONDS,
    STABLE_RUN_SECONDS,
    log_loop_error,
    log_task_failure,
    supervise,
)
from fakes import JsonRecords, MemoryStore, configuration, settings
from logbook import TestHandler as LogHandler
from virtual_time import virtual_loop


class FailingStore(MemoryStore):
    """A store whose next watch and renewal fail with errors that nobody expects."""

    def __init__(self):
        super().__init__()
        self.fails_watch = self.fails_renewal = False

    async def watch(self, prefix, after, wait):
        if self.fails_watch:
            self.fails_watch = False
            raise RecursionError("unexpected")
        return await super().watch(prefix, after, wait)

    async def renew_lease(self, lease):
        if self.fails_renewal:
            self.fails_renewal = False
            raise RecursionError("unexpected")
        await super().renew_lease(lease)


@pytest.fixture
def loop():
    with virtual_loop() as loop:
        yield loop


class TestSupervise:
    def test_failed_task_is_restarted_and_logged(self, loop):
        # Guards against a duty that ends in silence while the VM counts as ready.
        runs = []

        async def run():
            runs.append(now())
            if len(runs) < 3:
                raise RecursionError("too deep")

        async def play():
            await supervise("duty", run)

        with LogHandler() as handler:
            loop.run_until_complete(play())
        assert len(runs) == 3
        assert runs[1] - runs[0] == pytest.approx(MIN_RESTART_DELAY_SECONDS)
        records = [r for r in handler.records if r.extra["task"] == "duty"]
        assert [r.extra["cause"] for r in records] == ["RecursionError: too deep"] * 2
        assert all(r.exc_info for r in records)

    def test_task_that_fails_at_once_is_restarted_less_and_less(self, loop):
        # Guards against a VM that spends its processor on restarts.
        runs = []

        async def run():
            runs.append(now())
            raise MemoryError

        async def play():
            task = supervise("duty", run)
            await asyncio.sleep(60.0)
            task.cancel()

        with LogHandler():
            loop.run_until_complete(play())
        assert 60 / MAX_RESTART_DELAY_SECONDS <= len(runs) < 40

    def test_first_restart_after_a_long_run_is_early(self, loop):
        # Guards against a lease that expires during the delay of a restart.
        runs = []

        async def run():
            runs.append(now())
            await asyncio.sleep(STABLE_RUN_SECONDS)
            raise ValueError

        async def play():
            task = supervise("duty", run)
            await asyncio.sleep(10.5 * STABLE_RUN_SECONDS)
            task.cancel()

        with LogHandler():
            loop.run_until_complete(play())
        assert len(runs) == 11

    def test_cancelled_task_is_not_restarted(self, loop):
        # Guards against duties of a VM that has stopped.
        runs = []

        async def run():
            runs.append(now())
            await asyncio.sleep(1.0)

        async def play():
            task = supervise("duty", run)
            await asyncio.sleep(0.5)
            task.cancel()
            await asyncio.sleep(5.0)
            assert task.cancelled()

        loop.run_until_complete(play())
        assert len(runs) == 1


class TestDuties:
    def test_store_is_read_on_after_an_unexpected_error(self, loop):
        # Guards against a VM that never takes in another configuration.
        store = FailingStore()
        store.put("cfg", b"1")
        view = ClusterView()
        records = JsonRecords({n: configuration(n) for n in (1, 2)})
        store_watcher = StoreWatcher(store, records, view)

        async def play():
            store_watcher.start()
            await asyncio.sleep(2.0)
            store.fails_watch = True
            await asyncio.sleep(2.0)
            assert not store.fails_watch
            store.put("cfg", b"2")
            await asyncio.sleep(2.0)
            store_watcher.stop()

        with LogHandler():
            loop.run_until_complete(play())
        assert view.configuration.version == 2

    def test_lease_of_a_vm_is_renewed_after_an_unexpected_error(self, loop):
        # Guards against a VM that vanishes from the members although it serves.
        store = FailingStore()
        store_watcher = StoreWatcher(store, JsonRecords(), ClusterView())
        membership = Membership(settings(), store, store_watcher)

        async def play():
            membership.start()
            await asyncio.sleep(2.0)
            store.fails_renewal = True
            await asyncio.sleep(20.0)
            assert not store.fails_renewal
            (record,) = (await store.read(VMS_PREFIX)).items
            await membership.stop()
            return record.key

        with LogHandler():
            assert loop.run_until_complete(play()) == VMS_PREFIX + "vm-1"


class TestLogs:
    def test_failure_of_a_task_is_logged(self, loop):
        # Guards against a fault that leaves no trace in the logs.
        async def fail():
            raise KeyError("slots")

        async def play():
            task = asyncio.create_task(fail(), name="move")
            await asyncio.wait([task])
            log_task_failure(task)

        with LogHandler() as handler:
            loop.run_until_complete(play())
        assert handler.records[0].extra["cause"] == "KeyError: 'slots'"

    def test_error_in_a_callback_is_logged(self, loop):
        # Guards against a fault that leaves no trace in the logs.
        async def play():
            asyncio.get_running_loop().set_exception_handler(log_loop_error)
            asyncio.get_running_loop().call_soon(int, "x")
            await asyncio.sleep(0.1)

        with LogHandler() as handler:
            loop.run_until_complete(play())
        assert "invalid literal" in handler.records[0].formatted_exception
