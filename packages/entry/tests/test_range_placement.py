"""Tests of assigning keys that need another owner, and of merging ranges."""

from __future__ import annotations

from itertools import pairwise

from berylstage_entry.assignment import KeyRange
from berylstage_entry.placement.range_placement import merge_ranges, place_ranges
from test_rebalancing import TARGET_NAMES, divide_evenly, skewed_rates


class TestPlaceRanges:
    def test_keys_of_a_lost_target_are_spread(self):
        capacities = dict.fromkeys(TARGET_NAMES[1:], 20.0)
        rates = skewed_rates(60)
        assignment = divide_evenly(TARGET_NAMES)
        moves = place_ranges([assignment.ranges[0]], assignment, rates, capacities, 12)
        assert moves[0].first == 0
        assert moves[-1].last == assignment.ranges[0].last
        for one, other in pairwise(moves):
            assert other.first == one.last + 1


class TestMergeRanges:
    def split_assignment(self):
        """Return an assignment to three targets with two small ranges split off."""
        split_ranges = [
            KeyRange(100, 120, "t1", 1, 11),
            KeyRange(30000, 30400, "t0", 1, 12),
        ]
        return divide_evenly(TARGET_NAMES[:3]).replace(split_ranges, 13)

    def test_narrow_ranges_return_to_the_surrounding_owner(self):
        # Hot keys were spread and are no longer hot. Each of the remaining ranges costs
        # a grant every 0.8 s for as long as it exists.
        assignment = self.split_assignment()
        moves = merge_ranges(
            assignment, [(40000, 9.0)], dict.fromkeys(TARGET_NAMES[:3], 20.0)
        )
        assert [(m.first, m.last, m.owner) for m in moves] == [
            (100, 120, "t0"),
            (30000, 30400, "t1"),
        ]

    def test_hot_keys_do_not_move(self):
        moves = merge_ranges(
            self.split_assignment(), [(110, 5.0)], dict.fromkeys(TARGET_NAMES[:3], 20.0)
        )
        assert 30000 in [m.first for m in moves]
        assert not any(m.first <= 110 <= m.last for m in moves)

    def test_narrow_range_between_two_owners_goes_to_one_of_them(self):
        # With twenty targets that take over each other's hot keys, hardly any range
        # lies between two of one owner. 600 ranges were left for 22 targets.
        split_ranges = [
            KeyRange(100, 120, "t1", 1, 11),
            KeyRange(121, 140, "t2", 1, 12),
        ]
        assignment = divide_evenly(TARGET_NAMES[:3]).replace(split_ranges, 13)
        moves = merge_ranges(
            assignment, [(110, 5.0)], dict.fromkeys(TARGET_NAMES[:3], 20.0)
        )
        assert [(m.first, m.owner) for m in moves if m.first == 121] == [(121, "t0")]

    def test_moving_keys_are_skipped(self):
        moving = KeyRange(100, 120, "t1", 1, 21, "t0", 1)
        assignment = self.split_assignment().replace([moving], 22)
        moves = merge_ranges(assignment, [], dict.fromkeys(TARGET_NAMES[:3], 20.0))
        assert [m.first for m in moves] == [30000]

    def test_target_that_may_not_take_keys_gets_none(self):
        moves = merge_ranges(self.split_assignment(), [], {"t1": 20.0})
        assert moves
        assert {m.owner for m in moves} == {"t1"}

    def test_ranges_of_one_owner_do_not_move_to_it(self):
        # Three adjacent ranges of one target have three fences. When they were moved to
        # the target that owned them already, they were revoked and granted again once a
        # second, and requests were rejected each time.
        key_range = KeyRange(100, 120, "t0", 1, 11)
        assignment = divide_evenly(TARGET_NAMES[:3]).replace([key_range], 12)
        assert len(assignment.ranges) == 5
        assert merge_ranges(assignment, [], dict.fromkeys(TARGET_NAMES[:3], 20.0)) == []
