"""Tests of the platform's values, leases and rate limits."""

from __future__ import annotations

import pytest
from berylstage_platform.errors import VersionConflict
from berylstage_standins.key_values import KeyValues
from berylstage_standins.platform import RateLimit, VmLog


class Clock:
    """Clock with a settable time in seconds."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        return self.now


class TestLeases:
    def test_an_expired_lease_deletes_its_keys(self):
        # The holder of a lease is paused for longer than the lease. The keys that it
        # wrote under the lease must be deleted, so that another holder can write them.
        clock = Clock()
        values = KeyValues(clock)
        lease = values.create_lease(1.0)
        version = values.write("k", b"held", 0, lease)
        clock.now = 0.9
        assert values.renew_lease(lease)
        clock.now = 1.8
        assert values.read("k").version == version
        clock.now = 1.9
        assert values.read("k").version == 0
        assert not values.renew_lease(lease)

    def test_a_key_rewritten_without_the_lease_is_kept(self):
        values = KeyValues(Clock())
        lease = values.create_lease(1.0)
        version = values.write("k", b"held", 0, lease)
        version = values.write("k", b"free", version)
        values.expire_all_leases()
        assert values.read("k").version == version

    def test_a_recreated_key_gets_a_new_version(self):
        # A holder paused past the expiry of its lease writes with the old version.
        # If that version were reused, the write would overwrite its successor's.
        values = KeyValues(Clock())
        old = values.write("k", b"1", 0, values.create_lease(1.0))
        values.expire_all_leases()
        values.write("k", b"2", 0)
        with pytest.raises(VersionConflict):
            values.write("k", b"3", old)


class TestRateLimit:
    def test_calls_are_limited_in_any_one_second(self):
        clock = Clock()
        limit = RateLimit(2, clock)
        assert [limit.admit() for _ in range(3)] == [True, True, False]
        clock.now = 0.9
        assert not limit.admit()
        clock.now = 1.0
        assert limit.admit()


class TestVmLog:
    def test_a_removed_vm_stays_listed_for_the_lag(self):
        clock = Clock()
        log = VmLog(2.0, clock)
        log.record("vm-1", {"name": "vm-1"})
        clock.now = 2.0
        log.record("vm-1", None)
        assert log.vms() == [{"name": "vm-1"}]
        clock.now = 4.0
        assert log.vms() == []
