"""Tests of weighted round robin over a traffic split."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.weighted_round_robin import WeightedRoundRobin


class TestWeightedTurns:
    @pytest.mark.parametrize("weights", [(90, 10), (1, 1, 1), (70, 20, 10), (5, 0.1)])
    def test_each_part_gets_its_weight(self, weights):
        turns = WeightedRoundRobin(weights)
        counts = [0] * len(weights)
        for _ in range(1000):
            counts[turns.pick()] += 1
        for count, weight in zip(counts, weights, strict=True):
            assert abs(count - 1000 * weight / sum(weights)) <= 1

    def test_vms_with_few_requests_each_keep_the_weights_together(self):
        # Each of many VMs gets three requests of a 90 to 10 split. If all began with
        # the same service, the smaller one would get nothing.
        rng = Random(1)
        small = 0
        for _ in range(400):
            turns = WeightedRoundRobin((90, 10), rng.random())
            small += sum(turns.pick() == 1 for _ in range(3))
        assert 0.04 * 1200 < small < 0.16 * 1200
