"""Tests of when targets are probed for their load."""

from __future__ import annotations

from berylstage_policy.probing import is_due

INF = float("inf")


class TestIsDue:
    def test_busy_target_is_not_probed(self):
        assert not is_due(0.05, 0.0, False)

    def test_target_with_an_old_report_is_probed(self):
        # A machine was slow at its last report, so no VM sends there. It has recovered
        # and is idle while other targets have queues.
        assert is_due(0.35, 0.0, False)

    def test_owner_of_keys_is_probed_rarely(self):
        assert not is_due(0.5, 0.0, True)
        assert is_due(1.5, 0.0, True)

    def test_target_of_a_service_without_requests_is_not_probed(self):
        assert not is_due(60.0, 60.0, False)

    def test_new_target_is_probed_before_the_first_request(self):
        assert is_due(INF, INF, True)
