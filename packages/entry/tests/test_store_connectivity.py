"""Tests of telling an outage of the store from a partition of one VM."""

from __future__ import annotations

from berylstage_entry.store_connectivity import (
    OUTAGE_MEMORY_SECONDS,
    PEER_CONTACT_VALID_SECONDS,
    StoreConnectivity,
)


class TestStoreConnectivity:
    def failed(self, moment):
        connectivity = StoreConnectivity(0.0)
        connectivity.mark_success(moment - 1.0)
        connectivity.mark_failure(moment)
        return connectivity

    def test_failed_call_may_be_an_outage(self):
        assert self.failed(100.0).in_outage(100.0 + OUTAGE_MEMORY_SECONDS / 2)

    def test_outage_is_over_some_time_after_the_last_failure(self):
        assert not self.failed(100.0).in_outage(100.1 + OUTAGE_MEMORY_SECONDS)

    def test_report_of_a_connected_vm_shows_that_only_this_vm_is_cut_off(self):
        connectivity = self.failed(100.0)
        connectivity.mark_peer_contact(100.0, 2 * OUTAGE_MEMORY_SECONDS)
        assert not connectivity.in_outage(100.1)

    def test_report_of_a_vm_that_has_just_reconnected_shows_nothing(self):
        # Records that expired in the outage may still be renewed.
        connectivity = self.failed(100.0)
        connectivity.mark_peer_contact(100.0, OUTAGE_MEMORY_SECONDS / 2)
        assert connectivity.in_outage(100.1)

    def test_report_becomes_invalid(self):
        # The VM that reported may have lost the store since.
        connectivity = self.failed(100.0)
        connectivity.mark_peer_contact(100.0, 2 * OUTAGE_MEMORY_SECONDS)
        assert connectivity.in_outage(100.1 + PEER_CONTACT_VALID_SECONDS)

    def test_success_ends_the_failure(self):
        connectivity = StoreConnectivity(0.0)
        assert not connectivity.is_failing()
        connectivity.mark_failure(1.0)
        assert connectivity.is_failing()
        connectivity.mark_success(2.0)
        assert not connectivity.is_failing()

    def test_outage_begins_with_the_first_failed_call(self):
        # Guards against a long retry delay after a single failed call.
        connectivity = StoreConnectivity(0.0)
        connectivity.mark_success(10.0)
        connectivity.mark_failure(15.0)
        connectivity.mark_failure(16.0)
        assert connectivity.outage_seconds(17.0) == 2.0

    def test_contact_counts_from_the_first_success_after_a_failure(self):
        # Guards against a VM that makes a call every 9 s only, because the publisher
        # serves it, and reports these 9 s as unbroken contact. The next coordinator
        # would conclude that the store was available, and would not wait for extended
        # grants to expire.
        connectivity = StoreConnectivity(0.0)
        assert connectivity.unbroken_seconds(5.0) == 5.0
        connectivity.mark_failure(5.0)
        assert connectivity.unbroken_seconds(5.0) == 0.0
        connectivity.mark_success(14.0)
        assert connectivity.unbroken_seconds(14.0) == 0.0
        connectivity.mark_success(16.0)
        assert connectivity.unbroken_seconds(16.0) == 2.0
