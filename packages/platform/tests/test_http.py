"""Contract tests of the platform client."""

from __future__ import annotations

import asyncio

import pytest
from berylstage_platform.errors import (
    RateLimited,
    StoreUnavailable,
    ValueTooLarge,
    VersionConflict,
)

KEY = "berylstage/assignment/cell-1"

# Faults under which no call is answered or takes effect.
OUTAGES = [{"down": "closed"}, {"down": "error"}, {"down": "silent"}]

# Faults under which a write takes effect and its answer is lost.
LOST_ANSWERS = [
    {"lose_answers": 1},
    {"lose_answers": 1, "lose_by_close": True},
    {"slow_answer_ms": 60_000},
]


def run(scenario):
    """Run a test's coroutine to completion."""
    return asyncio.run(asyncio.wait_for(scenario(), 30))


class TestStore:
    def test_a_missing_key_has_version_0(self, open_store):
        async def scenario():
            async with open_store() as rig:
                entry = await rig.store.read(KEY)
                assert (entry.key, entry.value, entry.version) == (KEY, b"", 0)

        run(scenario)

    @pytest.mark.parametrize(
        "key", [KEY, "ключ", "a b", "../x", "a//b", "50%", "a?after=1#x"]
    )
    def test_a_value_comes_back_whole_under_any_key(self, open_store, key):
        async def scenario():
            async with open_store() as rig:
                value = bytes(range(256))
                version = await rig.store.write(key, value, 0)
                entry = await rig.store.read(key)
                assert (entry.value, entry.version) == (value, version)

        run(scenario)

    def test_versions_grow_and_name_the_value(self, open_store):
        async def scenario():
            async with open_store() as rig:
                first = await rig.store.write(KEY, b"1", 0)
                second = await rig.store.write(KEY, b"2", first)
                entry = await rig.store.read(KEY)
                assert 0 < first < second == entry.version
                assert entry.value == b"2"

        run(scenario)

    def test_an_empty_value_exists(self, open_store):
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"", 0)
                assert (await rig.store.read(KEY)).version == version

        run(scenario)

    @pytest.mark.parametrize("expected", [0, 99])
    def test_the_second_of_two_writers_gets_a_conflict(self, open_store, expected):
        # Two operators export a sheet at the same time, based on the same revision. A
        # second write that succeeded would silently overwrite the first operator's
        # sheet.
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"first", 0)
                with pytest.raises(VersionConflict):
                    await rig.store.write(KEY, b"second", expected)
                entry = await rig.store.read(KEY)
                assert (entry.value, entry.version) == (b"first", version)

        run(scenario)

    def test_of_many_writers_at_once_one_wins(self, open_store):
        # Eight VMs see at the same time that a target has no leader, and all write the
        # next assignment. Two successful writes would give the target two leaders.
        async def scenario():
            async with open_store() as rig:
                writes = [rig.store.write(KEY, b"%d" % n, 0) for n in range(8)]
                results = await asyncio.gather(*writes, return_exceptions=True)
                assert sum(isinstance(end, int) for end in results) == 1
                assert sum(isinstance(end, VersionConflict) for end in results) == 7

        run(scenario)

    def test_a_value_over_the_limit_is_refused(self, open_store):
        # A sheet grows until it exceeds the limit. The operator must get an error, and
        # the previous sheet must stay in force.
        async def scenario():
            async with open_store() as rig:
                await rig.store.write(KEY, b"x" * 1_000_000, 0)
                with pytest.raises(ValueTooLarge):
                    await rig.store.write("other", b"x" * 1_000_001, 0)
                assert (await rig.store.read("other")).version == 0

        run(scenario)

    def test_a_call_over_the_rate_does_nothing(self, open_store):
        # All VMs restart at the same time and use the store. Calls over the rate limit
        # must be distinguishable from calls whose effect is unknown.
        async def scenario():
            async with open_store(writes_per_second=2, reads_per_second=2) as rig:
                version = await rig.store.write(KEY, b"1", 0)
                version = await rig.store.write(KEY, b"2", version)
                with pytest.raises(RateLimited):
                    await rig.store.write(KEY, b"3", version)
                assert (await rig.store.read(KEY)).value == b"2"
                await rig.store.read(KEY)
                with pytest.raises(RateLimited):
                    await rig.store.read(KEY)

        run(scenario)


class TestWatch:
    def test_a_newer_value_is_returned_at_once(self, open_store):
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"1", 0)
                entry = await rig.store.watch(KEY, 0, 10.0)
                assert (entry.value, entry.version) == (b"1", version)

        run(scenario)

    def test_a_change_ends_the_wait(self, open_store):
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"1", 0)
                watching = asyncio.ensure_future(rig.store.watch(KEY, version, 10.0))
                while not rig.platform.counts["watch"]:
                    await asyncio.sleep(0.001)
                await rig.store.write(KEY, b"2", version)
                assert (await watching).value == b"2"
                assert rig.platform.counts["watch"] == 1

        run(scenario)

    def test_no_change_is_none(self, open_store):
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"1", 0)
                assert await rig.store.watch(KEY, version, 0.05) is None

        run(scenario)

    def test_a_deleted_key_is_returned_with_version_0(self, open_store):
        # A lease expires while its holder is paused, and the store deletes its keys. A
        # watcher that missed the deletion would keep using the old value.
        async def scenario():
            async with open_store() as rig:
                values = rig.platform.values
                lease = values.create_lease(60.0)
                version = values.write(KEY, b"held", 0, lease)
                watching = asyncio.ensure_future(rig.store.watch(KEY, version, 10.0))
                while not rig.platform.counts["watch"]:
                    await asyncio.sleep(0.001)
                values.expire_all_leases()
                assert (await watching).version == 0

        run(scenario)

    def test_waiting_watches_delay_no_read(self, open_store):
        # A VM watches more keys than it has connections for watches. Its reads and
        # writes must not queue behind them, or the VM could not become a leader.
        async def scenario():
            async with open_store() as rig:
                watches = [
                    asyncio.ensure_future(rig.store.watch(f"key-{n}", 0, 10.0))
                    for n in range(20)
                ]
                await asyncio.sleep(0)
                version = await rig.store.write(KEY, b"1", 0)
                assert (await rig.store.read(KEY)).version == version
                for watch in watches:
                    watch.cancel()
                await asyncio.gather(*watches, return_exceptions=True)
                assert (await rig.store.watch(KEY, 0, 10.0)).version == version

        run(scenario)

    def test_an_unanswered_watch_times_out(self, open_platform):
        # A middlebox loses the state of the connection on which the watch waits.
        # Without a timeout the VM would wait forever and keep using an old sheet while
        # operators believe that the new one is in force.
        async def scenario():
            async with open_platform() as rig:
                rig.platform.faults.set({"watch_silent": True})
                with pytest.raises(StoreUnavailable):
                    await rig.store.watch(KEY, 0, 0.05)
                rig.platform.faults.set({"watch_silent": False})
                await rig.store.write(KEY, b"1", 0)
                assert (await rig.store.watch(KEY, 0, 1.0)).value == b"1"

        run(scenario)


class TestOutage:
    @pytest.mark.parametrize("faults", OUTAGES)
    @pytest.mark.parametrize("warm", [True, False], ids=["kept", "new"])
    def test_every_call_fails_as_unavailable_and_works_after(
        self, open_store, faults, warm
    ):
        # The platform is down, with or without open connections. Every kind of outage
        # must raise the same error, and the first call after it must succeed.
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"1", 0) if warm else 0
                rig.platform.faults.set(faults)
                with pytest.raises(StoreUnavailable):
                    await rig.store.read(KEY)
                with pytest.raises(StoreUnavailable):
                    await rig.store.write(KEY, b"2", version)
                with pytest.raises(StoreUnavailable):
                    await rig.store.watch(KEY, version, 0.05)
                rig.platform.faults.set({"down": ""})
                assert (await rig.store.read(KEY)).version == version
                await rig.store.write(KEY, b"3", version)

        run(scenario)

    @pytest.mark.parametrize("faults", LOST_ANSWERS)
    @pytest.mark.parametrize("warm", [True, False], ids=["kept", "new"])
    def test_a_lost_answer_is_not_a_conflict(self, open_store, faults, warm):
        # The write takes effect and its answer is lost. A client that retried it would
        # conflict with its own write. A conflict means that nothing was written, so
        # the writer would give up what it holds.
        async def scenario():
            async with open_store() as rig:
                version = await rig.store.write(KEY, b"1", 0) if warm else 0
                rig.platform.faults.set(faults)
                with pytest.raises(StoreUnavailable):
                    await rig.store.write(KEY, b"2", version)
                rig.platform.faults.set({"slow_answer_ms": 0})
                entry = await rig.store.read(KEY)
                assert entry.value == b"2"
                assert entry.version > version
                assert rig.platform.counts["write"] == 1 + warm

        run(scenario)

    def test_a_slow_platform_is_unavailable(self, open_store):
        # The platform answers only after the caller's timeout.
        async def scenario():
            async with open_store() as rig:
                rig.platform.faults.set({"slow_ms": 60_000})
                with pytest.raises(StoreUnavailable):
                    await rig.store.read(KEY)

        run(scenario)

    def test_a_refused_connection_is_unavailable(self, open_platform):
        # The platform's process has ended, and the connection is refused.
        async def scenario():
            async with open_platform() as rig:
                rig.store._calls.base = "http://127.0.0.1:1"
                with pytest.raises(StoreUnavailable):
                    await rig.store.read(KEY)

        run(scenario)


class TestVmList:
    VM = {"data_centre": "almaty-a", "http_address": "a:1", "peer_address": "a:2"}

    def test_the_list_lags(self, open_platform):
        async def scenario():
            now = 0.0
            async with open_platform(vm_lag=2.0, clock=lambda: now) as rig:
                doc = {**self.VM, "name": "vm-1", "leaving": False}
                rig.platform.vm_log.record("vm-1", doc)
                assert await rig.vm_list.vms() == []
                now = 2.0
                (vm,) = await rig.vm_list.vms()
                assert (vm.name, vm.data_centre, vm.leaving) == (
                    "vm-1",
                    "almaty-a",
                    False,
                )

        run(scenario)

    @pytest.mark.parametrize("faults", OUTAGES)
    def test_an_outage_is_unavailable(self, open_platform, faults):
        # The list fails together with the store. A VM that treated the error as an
        # empty list would consider all other VMs gone.
        async def scenario():
            async with open_platform() as rig:
                rig.platform.faults.set(faults)
                with pytest.raises(StoreUnavailable):
                    await rig.vm_list.vms()

        run(scenario)
