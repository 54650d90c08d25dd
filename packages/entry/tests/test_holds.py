"""Tests of the bookkeeping of grants."""

from __future__ import annotations

from berylstage_entry.holds import TargetGrants


class TestRefusals:
    def test_one_refusal_ends_nothing(self):
        hold = TargetGrants()
        hold.record_refusal(10.0)
        assert not hold.is_terminated

    def test_refusals_for_a_while_end_a_life(self):
        hold = TargetGrants()
        hold.record_refusal(10.0)
        hold.record_refusal(11.0)
        assert hold.is_terminated
        assert hold.probed_at == 11.0

    def test_life_that_goes_on_is_no_more_silent(self):
        # Guards against a target that is never assigned keys again because its port
        # once refused connections.
        hold = TargetGrants()
        hold.record_refusal(10.0)
        hold.record_refusal(11.0)
        hold.record_recovery()
        assert not hold.is_terminated
        assert not hold.unresponsive_since
        hold.record_refusal(20.0)
        assert not hold.is_terminated
