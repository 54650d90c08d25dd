"""Tests of which targets get keys that need another owner."""

from __future__ import annotations

from itertools import pairwise

from berylstage_entry.assignment import KeyRange
from berylstage_entry.range_placement import deal, mend
from test_rebalancing import NAMES, even, skewed


class TestDeal:
    def test_keys_of_a_lost_target_are_spread(self):
        capacities = dict.fromkeys(NAMES[1:], 20.0)
        rates = skewed(60)
        assignment = even(NAMES)
        moves = deal([assignment.ranges[0]], assignment, rates, capacities, 12)
        assert moves[0].first == 0
        assert moves[-1].last == assignment.ranges[0].last
        for one, other in pairwise(moves):
            assert other.first == one.last + 1


class TestMend:
    def cut(self):
        """Return an assignment of three targets, of which two pieces were cut out."""
        pieces = [KeyRange(100, 120, "t1", 1, 11), KeyRange(30000, 30400, "t0", 1, 12)]
        return even(NAMES[:3]).replace(pieces, 13)

    def test_narrow_ranges_go_back_to_the_owner_around_them(self):
        # Busy keys were spread, and are quiet again. Each of the ranges that are left
        # costs a grant every 0.8 s until the end of days.
        assignment = self.cut()
        moves = mend(assignment, [(40000, 9.0)], dict.fromkeys(NAMES[:3], 20.0))
        assert [(m.first, m.last, m.owner) for m in moves] == [
            (100, 120, "t0"),
            (30000, 30400, "t1"),
        ]

    def test_busy_keys_stay_where_they_are(self):
        moves = mend(self.cut(), [(110, 5.0)], dict.fromkeys(NAMES[:3], 20.0))
        assert 30000 in [m.first for m in moves]
        assert not any(m.first <= 110 <= m.last for m in moves)

    def test_narrow_range_between_two_owners_goes_to_one_of_them(self):
        # Twenty targets take busy keys from each other, and hardly a range lies between
        # two of one owner. 600 ranges were left of 22 targets.
        pieces = [KeyRange(100, 120, "t1", 1, 11), KeyRange(121, 140, "t2", 1, 12)]
        assignment = even(NAMES[:3]).replace(pieces, 13)
        moves = mend(assignment, [(110, 5.0)], dict.fromkeys(NAMES[:3], 20.0))
        assert [(m.first, m.owner) for m in moves if m.first == 121] == [(121, "t0")]

    def test_keys_on_the_move_are_left_alone(self):
        moving = KeyRange(100, 120, "t1", 1, 21, "t0", 1)
        assignment = self.cut().replace([moving], 22)
        moves = mend(assignment, [], dict.fromkeys(NAMES[:3], 20.0))
        assert [m.first for m in moves] == [30000]

    def test_target_that_may_not_take_keys_gets_none(self):
        moves = mend(self.cut(), [], {"t1": 20.0})
        assert moves
        assert {m.owner for m in moves} == {"t1"}

    def test_ranges_of_one_owner_do_not_move_to_it(self):
        # Three ranges of one target have three fences. Moved to the target that has
        # them, they were taken from it and given back once a second, and callers were
        # turned away each time.
        piece = KeyRange(100, 120, "t0", 1, 11)
        assignment = even(NAMES[:3]).replace([piece], 12)
        assert len(assignment.ranges) == 5
        assert mend(assignment, [], dict.fromkeys(NAMES[:3], 20.0)) == []
