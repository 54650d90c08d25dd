"""Tests of the bookkeeping of grants."""

from __future__ import annotations

from berylstage_entry.holds import TargetHold


class TestRefusals:
    def test_one_refusal_ends_nothing(self):
        hold = TargetHold()
        hold.refused(10.0)
        assert not hold.has_ended

    def test_refusals_for_a_while_end_a_life(self):
        hold = TargetHold()
        hold.refused(10.0)
        hold.refused(11.0)
        assert hold.has_ended
        assert hold.probed_at == 11.0

    def test_life_that_goes_on_is_no_more_silent(self):
        # Guards against a target that is never assigned keys again because its port
        # once refused connections.
        hold = TargetHold()
        hold.refused(10.0)
        hold.refused(11.0)
        hold.came_back()
        assert not hold.has_ended
        assert not hold.silent_since
        hold.refused(20.0)
        assert not hold.has_ended
