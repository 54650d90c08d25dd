"""Tests of telling an outage of the store from a VM that is cut off from it."""

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

    def test_failure_alone_may_be_an_outage(self):
        assert self.failed(100.0).in_outage(100.0 + OUTAGE_MEMORY_SECONDS / 2)

    def test_outage_is_over_some_time_after_the_last_failure(self):
        assert not self.failed(100.0).in_outage(100.1 + OUTAGE_MEMORY_SECONDS)

    def test_news_of_a_vm_in_touch_shows_that_only_this_one_is_cut_off(self):
        connectivity = self.failed(100.0)
        connectivity.mark_peer_contact(100.0, 2 * OUTAGE_MEMORY_SECONDS)
        assert not connectivity.in_outage(100.1)

    def test_news_of_a_vm_that_has_just_regained_the_store_shows_nothing(self):
        # Records that lapsed in the outage may yet come back.
        connectivity = self.failed(100.0)
        connectivity.mark_peer_contact(100.0, OUTAGE_MEMORY_SECONDS / 2)
        assert connectivity.in_outage(100.1)

    def test_news_are_of_their_moment(self):
        # The store may have gone away from the one who told as well.
        connectivity = self.failed(100.0)
        connectivity.mark_peer_contact(100.0, 2 * OUTAGE_MEMORY_SECONDS)
        assert connectivity.in_outage(100.1 + PEER_CONTACT_VALID_SECONDS)

    def test_first_answer_after_failures_is_a_return(self):
        connectivity = StoreConnectivity(0.0)
        assert not connectivity.is_failing()
        connectivity.mark_failure(1.0)
        assert connectivity.is_failing()
        connectivity.mark_success(2.0)
        assert not connectivity.is_failing()

    def test_time_away_begins_with_the_first_call_that_fails(self):
        # Guards against a long pause after one call that fails alone.
        connectivity = StoreConnectivity(0.0)
        connectivity.mark_success(10.0)
        connectivity.mark_failure(15.0)
        connectivity.mark_failure(16.0)
        assert connectivity.outage_seconds(17.0) == 2.0
