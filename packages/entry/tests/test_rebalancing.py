"""Tests of which keys go to which target."""

from __future__ import annotations

from random import Random

from berylstage_entry.assignment import LAST_KEY, Assignment, KeyRange
from berylstage_entry.rebalancing import (
    CALM_PERIOD,
    LEAST_MOVES,
    Rebalancer,
    most_moves,
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
        rounds = Rebalancer(100.0)
        assert rounds.moves(100.0, even(NAMES), skewed(100), capacities)
        assert rounds.moves(100.1, even(NAMES), skewed(100), capacities)

    def test_mild_differences_wait_for_a_calm_round(self):
        # Each round costs two calls to the store and interrupts the moving keys.
        # Differences that make nobody wait are evened out once a second.
        capacities = dict.fromkeys(NAMES, 40.0)
        rates = [(key, rate / 3) for key, rate in skewed(100)]
        found = levels(even(NAMES), rates, capacities)
        assert 0.6 < max(found.values()) < 0.8
        rounds = Rebalancer(100.0)
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
        rounds = Rebalancer(100.0)
        assert rounds.moves(100.0, even(NAMES), rates, capacities)
        assert not rounds.moves(100.5, even(NAMES), rates, capacities)

    def test_hopeless_key_does_not_hold_up_the_relief_of_others(self):
        # One key asks for more than any target can do; another target, a little faster,
        # would be nearly as full with it. Beside it neighbouring keys become busy. As
        # long as the hopeless target was the busiest, those queues grew for a second at
        # a time, and a fifth of all lookups were refused.
        capacities = dict.fromkeys(NAMES, 20.0) | {"t7": 23.0}
        busy = [(10000 + n, 0.26) for n in range(100)]
        rates = [*busy, (60000, 30.0)]
        found = levels(even(NAMES), rates, capacities)
        assert max(found, key=found.get) == "t10"
        moved_at = 100.0
        rounds = Rebalancer(moved_at + CALM_PERIOD)
        moves = rounds.moves(moved_at + 0.1, even(NAMES), rates, capacities)
        found = levels(apply(even(NAMES), moves), rates, capacities)
        assert found["t1"] < 1.0

    def test_round_of_many_targets_has_more_moves(self):
        # A stretch of busy keys wants a fifth of all targets for owners, whether there
        # are twelve of them or a hundred and twenty.
        assert most_moves(12) == most_moves(44) == LEAST_MOVES
        assert most_moves(120) == 12
