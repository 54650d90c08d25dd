"""Tests of the token bucket."""

from __future__ import annotations

from berylstage_policy.token_bucket import TokenBucket


class TestTokenBucket:
    def test_fills_at_its_rate_up_to_its_capacity(self):
        bucket = TokenBucket(10.0, 5.0, 0.0, 100.0)
        assert bucket.take(9, 100.25) == 2
        assert bucket.take(9, 200.0) == 5

    def test_tells_when_tokens_will_be_there(self):
        bucket = TokenBucket(10.0, 5.0, 0.0, 100.0)
        assert bucket.seconds_until(2, 100.0) == 0.2
        assert bucket.seconds_until(1, 101.0) == 0.0
        assert TokenBucket(0.0, 5.0, 0.0, 0.0).seconds_until(1, 9.0) == float("inf")

    def test_lower_limit_counts_since_the_last_call(self):
        # Guards against tokens that accrue at a rate which has been lowered meanwhile.
        bucket = TokenBucket(100.0, 500.0, 0.0, 100.0)
        bucket.set_limits(1.0, 500.0, 102.0)
        assert bucket.take(500, 102.0) == 2

    def test_higher_limit_counts_from_now(self):
        bucket = TokenBucket(1.0, 500.0, 0.0, 100.0)
        bucket.set_limits(100.0, 500.0, 102.0)
        assert bucket.take(500, 102.0) == 2
        assert bucket.take(500, 103.0) == 100

    def test_lower_capacity_takes_tokens_away(self):
        bucket = TokenBucket(1.0, 50.0, 50.0, 100.0)
        bucket.set_limits(1.0, 10.0, 100.0)
        assert bucket.take(50, 100.0) == 10

    def test_clock_that_does_not_advance_adds_nothing(self):
        bucket = TokenBucket(10.0, 5.0, 1.0, 100.0)
        assert bucket.take(5, 99.0) == 1
        assert bucket.take(5, 100.0) == 0
