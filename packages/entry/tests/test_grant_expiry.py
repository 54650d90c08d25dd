"""Tests of the bookkeeping of grants."""

from __future__ import annotations

from berylstage_entry.grant_expiry import TargetGrants


class TestTermination:
    def test_terminated_target_is_unresponsive(self):
        grants = TargetGrants()
        grants.record_termination(11.0)
        assert grants.is_terminated
        assert grants.unresponsive_since == 11.0
        assert grants.probed_at == 11.0

    def test_recovered_target_is_responsive(self):
        # Guards against a target that is never assigned keys again because another one
        # once seemed to have its address.
        grants = TargetGrants()
        grants.record_failure(10.0)
        grants.record_termination(11.0)
        grants.record_recovery()
        assert not grants.is_terminated
        assert not grants.unresponsive_since
