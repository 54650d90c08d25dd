"""Tests of telling an outage of the store from a VM that is cut off from it."""

from __future__ import annotations

from berylstage_entry.store_connectivity import OUTAGE_MEMORY, TOLD_COUNTS, StoreContact


class TestStoreContact:
    def failed(self, moment):
        contact = StoreContact(0.0)
        contact.answered(moment - 1.0)
        contact.failed(moment)
        return contact

    def test_failure_alone_may_be_an_outage(self):
        assert self.failed(100.0).in_outage(100.0 + OUTAGE_MEMORY / 2)

    def test_outage_is_over_some_time_after_the_last_failure(self):
        assert not self.failed(100.0).in_outage(100.1 + OUTAGE_MEMORY)

    def test_news_of_a_vm_in_touch_shows_that_only_this_one_is_cut_off(self):
        contact = self.failed(100.0)
        contact.told(100.0, 2 * OUTAGE_MEMORY)
        assert not contact.in_outage(100.1)

    def test_news_of_a_vm_that_has_just_regained_the_store_shows_nothing(self):
        # Records that lapsed in the outage may yet come back.
        contact = self.failed(100.0)
        contact.told(100.0, OUTAGE_MEMORY / 2)
        assert contact.in_outage(100.1)

    def test_news_are_of_their_moment(self):
        # The store may have gone away from the one who told as well.
        contact = self.failed(100.0)
        contact.told(100.0, 2 * OUTAGE_MEMORY)
        assert contact.in_outage(100.1 + TOLD_COUNTS)

    def test_first_answer_after_failures_is_a_return(self):
        contact = StoreContact(0.0)
        assert not contact.was_lost()
        contact.failed(1.0)
        assert contact.was_lost()
        contact.answered(2.0)
        assert not contact.was_lost()

    def test_time_away_begins_with_the_first_call_that_fails(self):
        # Guards against a long pause after one call that fails alone.
        contact = StoreContact(0.0)
        contact.answered(10.0)
        contact.failed(15.0)
        contact.failed(16.0)
        assert contact.away(17.0) == 2.0
