"""Tests of the retry delays of refused callers."""

from __future__ import annotations

from random import Random

from berylstage_policy.backoff import RetryAfter
from berylstage_policy.thresholds import DEFAULTS


class TestRetryAfter:
    def test_retries_fit_the_capacity(self):
        # A target that serves 100 requests per second refuses a burst of 500 at once.
        # Callers that return together would be refused again.
        retry_after = RetryAfter(Random(1), DEFAULTS)
        delays = [retry_after.next_delay(0.0, 0.0, 0.01) for _ in range(500)]
        per_second = [sum(s <= d < s + 1 for d in delays) for s in range(6)]
        assert max(per_second) <= 110
        assert min(delays) >= DEFAULTS["retry_after_floor"] / 2

    def test_schedule_is_free_again_after_a_while(self):
        retry_after = RetryAfter(Random(1), DEFAULTS)
        for _ in range(500):
            retry_after.next_delay(0.0, 0.0, 0.01)
        assert retry_after.next_delay(60.0, 0.0, 0.01) < 1.0

    def test_delays_under_sustained_refusal_stay_below_the_ceiling(self):
        # Hours of overload fill the schedule. The delays must stay bounded, and the
        # callers must still not return at the same time.
        retry_after = RetryAfter(Random(1), DEFAULTS)
        delays = [retry_after.next_delay(i * 0.001, 0.0, 0.01) for i in range(20000)]
        assert max(delays) <= DEFAULTS["retry_after_ceiling"]
        late = delays[-1000:]
        assert max(late) - min(late) > 10.0
        assert min(late) >= DEFAULTS["retry_after_ceiling"] / 2

    def test_delay_includes_the_excess_wait(self):
        retry_after = RetryAfter(Random(1), DEFAULTS)
        assert retry_after.next_delay(0.0, 4.0, 0.01) > 2.0
