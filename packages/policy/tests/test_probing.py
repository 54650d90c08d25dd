"""Tests of asking targets for their load."""

from __future__ import annotations

from berylstage_policy.probing import is_due

INF = float("inf")


class TestIsDue:
    def test_busy_target_is_not_asked(self):
        assert not is_due(0.05, 0.0, False)

    def test_target_of_which_nothing_was_heard_for_long_is_asked(self):
        # A machine was slow when it was heard of last, so nobody sends there. It has
        # been fast again for a while and stands idle beside targets with queues.
        assert is_due(0.35, 0.0, False)

    def test_owner_of_keys_is_asked_rarely(self):
        assert not is_due(0.5, 0.0, True)
        assert is_due(1.5, 0.0, True)

    def test_service_without_requests_costs_nothing(self):
        assert not is_due(60.0, 60.0, False)

    def test_new_target_is_asked_before_the_first_request(self):
        assert is_due(INF, INF, True)
