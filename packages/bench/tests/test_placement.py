"""Tests of the model of free targets, and of what its rules earn."""

from __future__ import annotations

from berylstage_bench.placement import VARIATIONS, measure

BY_NAME = {variation.name: variation for variation in VARIATIONS}
SEEDS = (1, 2)


def credit(name, load=1.3):
    return measure(BY_NAME[name], load, SEEDS)[0]


class TestPlacement:
    def test_questions_for_load_earn_more_than_they_cost(self):
        # Neighbours slow a machine for a moment. Without questions nobody hears that it
        # is fast again, and requests queue before the others.
        assert credit("as it is") > credit("no questions for load") + 0.005

    def test_two_compared_targets_are_too_few(self):
        assert credit("as it is") > credit("two targets compared") + 0.005

    def test_preference_nearby_costs_callers_nothing(self):
        kept, crossed = measure(BY_NAME["as it is"], 0.7, SEEDS)
        free, crossed_before = measure(BY_NAME["no preference nearby"], 0.7, SEEDS)
        assert kept > free - 0.01
        assert crossed < crossed_before / 2

    def test_one_play_repeats(self):
        assert measure(BY_NAME["as it is"], 1.0, (5,)) == measure(
            BY_NAME["as it is"], 1.0, (5,)
        )
