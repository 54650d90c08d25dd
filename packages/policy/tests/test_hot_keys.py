"""Tests of hot key detection in bounded memory."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.hot_keys import MAX_SCALE, HotKeyDetector, KeySketch
from berylstage_policy.thresholds import DEFAULTS


class TestKeySketch:
    def test_finds_heavy_keys_in_bounded_memory(self):
        sketch = KeySketch(64, 10.0)
        rng = Random(1)
        for i in range(50000):
            is_hot = rng.random() < 0.2
            key = f"hot-{rng.randrange(5)}" if is_hot else f"k-{rng.randrange(10**6)}"
            sketch.add(key, 1.0, i * 0.001)
        assert len(sketch) == 64
        top = sketch.heaviest(5, 50.0)
        assert {key for key, _ in top} == {f"hot-{i}" for i in range(5)}
        # Each has 40 per second.
        assert all(30 < rate < 45 for _, rate in top)

    def test_rare_key_that_takes_over_a_counter_is_not_hot(self):
        # In a full sketch, a new key inherits the weight of the counter that it takes
        # over. If that counted as its own weight, every rare key would be set apart in
        # turn.
        sketch = KeySketch(4, 10.0)
        for i in range(400):
            sketch.add(f"k-{i % 4}", 1.0, 0.0)
        sketch.add("rare", 1.0, 0.0)
        assert sketch.rate("rare", 0.0) == pytest.approx(0.0693, abs=0.001)

    def test_rate_fades_by_half_life(self):
        sketch = KeySketch(8, 10.0)
        sketch.add("a", 100.0, 0.0)
        assert sketch.rate("a", 10.0) == pytest.approx(sketch.rate("a", 0.0) / 2)

    def test_weeks_of_decay_do_not_overflow(self):
        # Stored weights grow with the decay. After a few hours they would exceed the
        # range of a float, and every rate would be nan.
        sketch = KeySketch(8, 1.0)
        for now in range(0, 5000, 5):
            sketch.add("a", 1.0, float(now))
            sketch.add("b", 0.5, float(now))
        assert sketch.rate("a", 4995.0) == pytest.approx(
            2 * sketch.rate("b", 4995.0), rel=1e-6
        )
        assert sketch._total < MAX_SCALE * 10


class TestHotKeys:
    def add_load(self, hot, key, share, start, end, slots=2.0):
        """Give one key a share of a target's slots, among many light keys."""
        rng = Random(int(start))
        steps = int((end - start) * 20)
        for i in range(steps):
            now = start + i * 0.05
            hot.observe(key, share * slots * 0.05, now)
            hot.observe(f"k-{rng.randrange(10**5)}", 0.02, now)

    def test_hot_key_is_set_apart_within_seconds(self):
        hot = HotKeyDetector(DEFAULTS)
        self.add_load(hot, "a", 0.5, 0.0, 15.0)
        assert hot.plan_changes(2.0, 15.0).set_apart == ["a"]

    def test_light_key_is_not_set_apart(self):
        hot = HotKeyDetector(DEFAULTS)
        self.add_load(hot, "a", 0.1, 0.0, 60.0)
        assert hot.plan_changes(2.0, 60.0).set_apart == []

    def test_idle_hot_key_is_not_given_back_at_once(self):
        # A hot key has no requests for half a minute. If it were given back and set
        # apart again, it would move twice and be unavailable each time.
        hot = HotKeyDetector(DEFAULTS)
        self.add_load(hot, "a", 0.5, 0.0, 30.0)
        hot.set_apart({"a"})
        for now in range(30, 100, 5):
            assert hot.plan_changes(2.0, float(now)).give_back == []
        self.add_load(hot, "a", 0.5, 100.0, 110.0)
        assert hot.plan_changes(2.0, 110.0).give_back == []

    def test_cooled_key_is_given_back(self):
        hot = HotKeyDetector(DEFAULTS)
        self.add_load(hot, "a", 0.5, 0.0, 30.0)
        hot.set_apart({"a"})
        given = [
            hot.plan_changes(2.0, float(now)).give_back for now in range(30, 200, 5)
        ]
        assert given[-1] == ["a"]

    def test_hottest_fifty_change_within_minutes(self):
        # Fifty keys take most of the load, and a different fifty two minutes later.
        hot = HotKeyDetector(DEFAULTS)
        rng = Random(5)
        apart = set()
        for step in range(240 * 20):
            now = step * 0.05
            first = 0 if now < 120 else 50
            for _ in range(4):
                hot.observe(f"hot-{first + rng.randrange(50)}", 1.0, now)
            if step % 100 == 99:
                changes = hot.plan_changes(2.0, now)
                apart |= set(changes.set_apart)
                apart -= set(changes.give_back)
                hot.set_apart(apart)
                assert len(apart) <= DEFAULTS["hot_most"]
        new = {f"hot-{i}" for i in range(50, 100)}
        assert len(apart & new) == 50
