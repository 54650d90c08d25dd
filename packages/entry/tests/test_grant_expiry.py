"""Tests of the bookkeeping of grants."""

from __future__ import annotations

from berylstage_entry.grant_expiry import TargetGrants


class TestRefusals:
    def test_one_refusal_is_not_enough(self):
        grants = TargetGrants()
        assert not grants.record_refusal(10.0)
        assert not grants.record_refusal(10.05)
        assert not grants.is_terminated

    def test_repeated_refusals_have_to_be_confirmed(self):
        # Guards against a VM with lost links that gives the keys of a target to another
        # one while the target still holds them.
        grants = TargetGrants()
        grants.record_refusal(10.0)
        assert grants.record_refusal(11.0)
        assert not grants.is_terminated
        grants.record_termination(11.0)
        assert grants.is_terminated
        assert grants.probed_at == 11.0
        assert not grants.record_refusal(12.0)

    def test_recovered_target_is_responsive(self):
        # Guards against a target that is never assigned keys again because its port
        # once refused connections.
        grants = TargetGrants()
        grants.record_refusal(10.0)
        grants.record_termination(11.0)
        grants.record_recovery()
        assert not grants.is_terminated
        assert not grants.unresponsive_since
        grants.record_refusal(20.0)
        assert not grants.is_terminated
