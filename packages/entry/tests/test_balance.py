"""Tests of which keys go to which target."""

from __future__ import annotations

from itertools import pairwise
from random import Random

from berylstage_entry.assignment import LAST_KEY, Assignment, KeyRange
from berylstage_entry.balance import (
    CALM_PERIOD,
    KeyLoads,
    Rounds,
    deal,
    mend,
    rebalance,
)


def even(names):
    width = (LAST_KEY + 1) // len(names)
    ranges = [
        KeyRange(i * width, (i + 1) * width - 1, name, 1, i + 1)
        for i, name in enumerate(names)
    ]
    ranges[-1].last = LAST_KEY
    return Assignment(ranges, 100)


def apply(assignment, moves):
    new = []
    fence = assignment.next_fence
    for m in moves:
        fence += 1
        new.append(KeyRange(m.first, m.last, m.owner, 1, fence))
    return assignment.replace(new, fence + 1)


def levels(assignment, rates, capacities):
    loads = dict.fromkeys(capacities, 0.0)
    for key, rate in rates:
        loads[assignment.find(key).owner] += rate
    return {name: loads[name] / capacities[name] for name in capacities}


def rounds(assignment, rates, capacities, count):
    for _ in range(count):
        assignment = apply(assignment, rebalance(assignment, rates, capacities))
    return assignment


def skewed(total, seed=1):
    rng = Random(seed)
    weights = [(9000 + i, (i + 1) ** -0.7) for i in range(3000)]
    scale = total / sum(w for _, w in weights)
    chosen = sorted(rng.sample(weights, 700))
    return [(key, weight * scale * 4) for key, weight in chosen]


NAMES = [f"t{i}" for i in range(12)]


class TestRebalance:
    def test_busy_neighbours_are_spread_within_rounds(self):
        # Half of all requests are for neighbouring keys of one target of twelve. It has
        # two slots: callers wait in its queue while eleven targets are idle.
        capacities = dict.fromkeys(NAMES, 20.0)
        rates = skewed(100)
        assignment = rounds(even(NAMES), rates, capacities, 8)
        found = levels(assignment, rates, capacities)
        mean = sum(found.values()) / len(found)
        assert max(found.values()) < 1.6 * mean

    def test_one_hot_key_does_not_keep_others_from_moving(self):
        # One key asks for more than any target can do and cannot be divided. The other
        # targets must still be evened out; they stayed full beside idle ones when the
        # search ended at the hopeless one.
        capacities = dict.fromkeys(NAMES, 18.0)
        rates = sorted([*skewed(120), (40000, 45.0)])
        assignment = rounds(even(NAMES), rates, capacities, 6)
        found = levels(assignment, rates, capacities)
        hot = assignment.find(40000).owner
        rest = [level for name, level in found.items() if name != hot]
        assert found[hot] <= 46 / 18
        assert max(rest) < 1.5 * sum(rest) / len(rest)

    def test_hot_key_goes_to_the_fastest_target(self):
        capacities = dict.fromkeys(NAMES, 15.0) | {"t7": 35.0}
        rates = sorted([*skewed(60), (40001, 30.0)])
        assignment = rounds(even(NAMES), rates, capacities, 6)
        assert assignment.find(40001).owner == "t7"

    def test_balanced_targets_keep_their_keys(self):
        capacities = dict.fromkeys(NAMES, 20.0)
        rates = [(i * 500, 1.0) for i in range(130)]
        assert rebalance(even(NAMES), rates, capacities) == []


class TestRounds:
    def test_target_with_a_growing_queue_is_relieved_at_once(self):
        # Keys became busy a moment after a round. Half of all requests wait for one
        # target until the next one.
        capacities = dict.fromkeys(NAMES, 20.0)
        rounds = Rounds(100.0)
        assert rounds.moves(100.0, even(NAMES), skewed(100), capacities)
        assert rounds.moves(100.1, even(NAMES), skewed(100), capacities)

    def test_mild_differences_wait_for_a_calm_round(self):
        # Each round costs two calls to the store and interrupts the moving keys.
        # Differences that make nobody wait are evened out once a second.
        capacities = dict.fromkeys(NAMES, 40.0)
        rates = [(key, rate / 3) for key, rate in skewed(100)]
        found = levels(even(NAMES), rates, capacities)
        assert 0.6 < max(found.values()) < 0.8
        rounds = Rounds(100.0)
        assert rounds.moves(100.0, even(NAMES), rates, capacities)
        assert not rounds.moves(
            100.0 + 0.9 * CALM_PERIOD, even(NAMES), rates, capacities
        )
        assert rounds.moves(100.0 + CALM_PERIOD, even(NAMES), rates, capacities)

    def test_targets_that_are_all_full_wait_for_a_calm_round(self):
        # More is asked for than all targets can do. Moves from one full target to
        # another serve nobody; they interrupt requests and cost calls to the store.
        capacities = dict.fromkeys(NAMES, 8.0)
        rates = [(i * 500, 1.0 + 0.3 * (i < 11)) for i in range(131)]
        found = levels(even(NAMES), rates, capacities)
        assert 1.2 < min(found.values()) < max(found.values()) < 2.0
        rounds = Rounds(100.0)
        assert rounds.moves(100.0, even(NAMES), rates, capacities)
        assert not rounds.moves(100.5, even(NAMES), rates, capacities)


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


class TestKeyLoads:
    def rate_after(self, seconds, begin=100.0):
        loads = KeyLoads(begin)
        for tick in range(round(seconds / 0.05)):
            loads.fade(begin + tick * 0.05)
            loads.add(7, 1.5)
        loads.fade(begin + seconds)
        return dict(loads.rates())[7]

    def test_rate_is_known_within_a_second_of_the_first_request(self):
        # Thirty requests a second come for one key from the first moment on. Taken for
        # a quarter of that, its owner seems idle while a queue grows before it.
        for seconds in (0.7, 1.0, 3.0, 20.0):
            assert 25 < self.rate_after(seconds) < 36

    def test_single_requests_are_no_rate(self):
        loads = KeyLoads(100.0)
        loads.fade(100.0)
        loads.add(7, 1)
        loads.fade(100.1)
        assert dict(loads.rates())[7] < 2

    def test_rate_of_what_begins_after_a_pause(self):
        loads = KeyLoads(100.0)
        loads.add(9, 1)
        for tick in range(1000):
            loads.fade(100.0 + tick * 0.05)
        begin = 150.0
        for tick in range(20):
            loads.fade(begin + tick * 0.05)
            loads.add(7, 1.5)
        loads.fade(begin + 1.0)
        assert 25 < dict(loads.rates())[7] < 36


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
        assert [m.first for m in moves] == [30000]

    def test_keys_on_the_move_are_left_alone(self):
        moving = KeyRange(100, 120, "t1", 1, 21, "t0", 1)
        assignment = self.cut().replace([moving], 22)
        moves = mend(assignment, [], dict.fromkeys(NAMES[:3], 20.0))
        assert [m.first for m in moves] == [30000]

    def test_target_that_may_not_take_keys_gets_none(self):
        moves = mend(self.cut(), [], {"t1": 20.0})
        assert [m.owner for m in moves] == ["t1"]

    def test_ranges_of_one_owner_do_not_move_to_it(self):
        # Three ranges of one target have three fences. Moved to the target that has
        # them, they were taken from it and given back once a second, and callers were
        # turned away each time.
        piece = KeyRange(100, 120, "t0", 1, 11)
        assignment = even(NAMES[:3]).replace([piece], 12)
        assert len(assignment.ranges) == 5
        assert mend(assignment, [], dict.fromkeys(NAMES[:3], 20.0)) == []
