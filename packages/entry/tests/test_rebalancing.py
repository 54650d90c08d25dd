"""Tests of moving keys for balance."""

from __future__ import annotations

from random import Random

from berylstage_entry.assignment import LAST_KEY, Assignment, KeyRange
from berylstage_entry.placement.rebalancing import (
    MIN_MOVES_PER_ROUND,
    MIN_ROUND_INTERVAL_SECONDS,
    Rebalancer,
    max_moves_per_round,
    rebalance,
)


def divide_evenly(names):
    width = (LAST_KEY + 1) // len(names)
    ranges = [
        KeyRange(i * width, (i + 1) * width - 1, name, 1, i + 1)
        for i, name in enumerate(names)
    ]
    ranges[-1].last = LAST_KEY
    return Assignment(ranges, 100)


def apply_moves(assignment, moves):
    new = []
    fence = assignment.next_fence
    for m in moves:
        fence += 1
        new.append(KeyRange(m.first, m.last, m.owner, 1, fence))
    return assignment.replace(new, fence + 1)


def compute_utilizations(assignment, rates, capacities):
    loads = dict.fromkeys(capacities, 0.0)
    for key, rate in rates:
        loads[assignment.find(key).owner] += rate
    return {name: loads[name] / capacities[name] for name in capacities}


def run_rounds(assignment, rates, capacities, count):
    for _ in range(count):
        assignment = apply_moves(assignment, rebalance(assignment, rates, capacities))
    return assignment


def skewed_rates(total, seed=1):
    rng = Random(seed)
    weights = [(9000 + i, (i + 1) ** -0.7) for i in range(3000)]
    scale = total / sum(w for _, w in weights)
    chosen = sorted(rng.sample(weights, 700))
    return [(key, weight * scale * 4) for key, weight in chosen]


TARGET_NAMES = [f"t{i}" for i in range(12)]


class TestRebalance:
    def test_hot_neighbouring_keys_are_spread(self):
        # Half of all requests are for adjacent keys of one target of twelve with two
        # slots: callers wait in its queue while eleven targets are idle.
        capacities = dict.fromkeys(TARGET_NAMES, 20.0)
        rates = skewed_rates(100)
        assignment = run_rounds(divide_evenly(TARGET_NAMES), rates, capacities, 8)
        utilizations = compute_utilizations(assignment, rates, capacities)
        mean = sum(utilizations.values()) / len(utilizations)
        assert max(utilizations.values()) < 1.6 * mean

    def test_one_hot_key_does_not_keep_others_from_moving(self):
        # One key has more requests than any target can serve and cannot be split. The
        # other targets must be balanced nevertheless; they stayed overloaded next to
        # idle ones when the search stopped at the hot key's target.
        capacities = dict.fromkeys(TARGET_NAMES, 18.0)
        rates = sorted([*skewed_rates(120), (40000, 45.0)])
        assignment = run_rounds(divide_evenly(TARGET_NAMES), rates, capacities, 6)
        utilizations = compute_utilizations(assignment, rates, capacities)
        hot = assignment.find(40000).owner
        rest = [level for name, level in utilizations.items() if name != hot]
        assert utilizations[hot] <= 46 / 18
        assert max(rest) < 1.5 * sum(rest) / len(rest)

    def test_hot_key_goes_to_the_fastest_target(self):
        capacities = dict.fromkeys(TARGET_NAMES, 15.0) | {"t7": 35.0}
        rates = sorted([*skewed_rates(60), (40001, 30.0)])
        assignment = run_rounds(divide_evenly(TARGET_NAMES), rates, capacities, 6)
        assert assignment.find(40001).owner == "t7"

    def test_balanced_targets_keep_their_keys(self):
        capacities = dict.fromkeys(TARGET_NAMES, 20.0)
        rates = [(i * 500, 1.0) for i in range(130)]
        assert rebalance(divide_evenly(TARGET_NAMES), rates, capacities) == []


class TestRounds:
    def test_target_with_a_growing_queue_is_relieved_at_once(self):
        # Keys became hot just after a round. Without an urgent round, half of all
        # requests would wait for one target until the next regular one.
        capacities = dict.fromkeys(TARGET_NAMES, 20.0)
        rebalancer = Rebalancer(100.0)
        assert rebalancer.due_moves(
            100.0, divide_evenly(TARGET_NAMES), skewed_rates(100), capacities
        )
        assert rebalancer.due_moves(
            100.1, divide_evenly(TARGET_NAMES), skewed_rates(100), capacities
        )

    def test_small_differences_wait_for_the_next_round(self):
        # Each round costs two calls to the store and interrupts the moving keys.
        # Differences that do not cause queues are evened out once a second.
        capacities = dict.fromkeys(TARGET_NAMES, 40.0)
        rates = [(key, rate / 3) for key, rate in skewed_rates(100)]
        utilizations = compute_utilizations(
            divide_evenly(TARGET_NAMES), rates, capacities
        )
        assert 0.6 < max(utilizations.values()) < 0.8
        rebalancer = Rebalancer(100.0)
        assert rebalancer.due_moves(
            100.0, divide_evenly(TARGET_NAMES), rates, capacities
        )
        assert not rebalancer.due_moves(
            100.0 + 0.9 * MIN_ROUND_INTERVAL_SECONDS,
            divide_evenly(TARGET_NAMES),
            rates,
            capacities,
        )
        assert rebalancer.due_moves(
            100.0 + MIN_ROUND_INTERVAL_SECONDS,
            divide_evenly(TARGET_NAMES),
            rates,
            capacities,
        )

    def test_overloaded_targets_wait_for_the_next_round(self):
        # There are more requests than all targets can serve. Moves between overloaded
        # targets do not help; they interrupt requests and cost calls to the store.
        capacities = dict.fromkeys(TARGET_NAMES, 8.0)
        rates = [(i * 500, 1.0 + 0.3 * (i < 11)) for i in range(131)]
        utilizations = compute_utilizations(
            divide_evenly(TARGET_NAMES), rates, capacities
        )
        assert 1.2 < min(utilizations.values()) < max(utilizations.values()) < 2.0
        rebalancer = Rebalancer(100.0)
        assert rebalancer.due_moves(
            100.0, divide_evenly(TARGET_NAMES), rates, capacities
        )
        assert not rebalancer.due_moves(
            100.5, divide_evenly(TARGET_NAMES), rates, capacities
        )

    def test_unservable_hot_key_does_not_block_other_moves(self):
        # One key has more requests than any target can serve; a slightly faster target
        # would be almost as overloaded with it. Other adjacent keys become hot as well.
        # As long as only the busiest target was considered, their queues grew for a
        # second at a time, and a fifth of all lookups were rejected.
        capacities = dict.fromkeys(TARGET_NAMES, 20.0) | {"t7": 23.0}
        busy = [(10000 + n, 0.26) for n in range(100)]
        rates = [*busy, (60000, 30.0)]
        utilizations = compute_utilizations(
            divide_evenly(TARGET_NAMES), rates, capacities
        )
        assert max(utilizations, key=utilizations.get) == "t10"
        moved_at = 100.0
        rebalancer = Rebalancer(moved_at + MIN_ROUND_INTERVAL_SECONDS)
        moves = rebalancer.due_moves(
            moved_at + 0.1, divide_evenly(TARGET_NAMES), rates, capacities
        )
        utilizations = compute_utilizations(
            apply_moves(divide_evenly(TARGET_NAMES), moves), rates, capacities
        )
        assert utilizations["t1"] < 1.0

    def test_round_of_many_targets_has_more_moves(self):
        # A run of hot keys needs a fifth of all targets as owners, both for twelve
        # targets and for a hundred and twenty.
        assert max_moves_per_round(12) == max_moves_per_round(44) == MIN_MOVES_PER_ROUND
        assert max_moves_per_round(120) == 12
