"""Tests of what is known of the holds of a target."""

from __future__ import annotations

from berylstage_entry.grant_expiry import TargetGrants


class TestRefusals:
    def test_one_refusal_ends_nothing(self):
        hold = TargetGrants()
        hold.refused(10.0)
        assert not hold.has_ended

    def test_refusals_for_a_while_end_a_life(self):
        hold = TargetGrants()
        hold.refused(10.0)
        hold.refused(11.0)
        assert hold.has_ended
        assert hold.probed_at == 11.0

    def test_life_that_goes_on_is_no_more_silent(self):
        # Guards against a target that gets no key for as long as it lives, since its
        # port once refused connections.
        hold = TargetGrants()
        hold.refused(10.0)
        hold.refused(11.0)
        hold.came_back()
        assert not hold.has_ended
        assert not hold.silent_since
        hold.refused(20.0)
        assert not hold.has_ended
