"""Tests of when refused callers may come back."""

from __future__ import annotations

from random import Random

from berylstage_policy.backoff import RetryAfter
from berylstage_policy.thresholds import DEFAULTS


class TestRetryAfter:
    def test_returns_fit_the_capacity(self):
        # A burst of 500 is turned away within the same moment by a target that serves
        # 100 a second. If they returned together they would be turned away again.
        spread = RetryAfter(Random(1), DEFAULTS)
        delays = [spread.after(0.0, 0.0, 0.01) for _ in range(500)]
        per_second = [sum(s <= d < s + 1 for d in delays) for s in range(6)]
        assert max(per_second) <= 110
        assert min(delays) >= DEFAULTS["retry_after_floor"] / 2

    def test_calendar_is_free_again_after_a_while(self):
        spread = RetryAfter(Random(1), DEFAULTS)
        for _ in range(500):
            spread.after(0.0, 0.0, 0.01)
        assert spread.after(60.0, 0.0, 0.01) < 1.0

    def test_sustained_refusal_never_tells_more_than_the_ceiling(self):
        # Under hours of overload the calendar fills up. The wish to stay away stays
        # bounded, and callers still don't return at the same moment.
        spread = RetryAfter(Random(1), DEFAULTS)
        delays = [spread.after(i * 0.001, 0.0, 0.01) for i in range(20000)]
        assert max(delays) <= DEFAULTS["retry_after_ceiling"]
        late = delays[-1000:]
        assert max(late) - min(late) > 10.0
        assert min(late) >= DEFAULTS["retry_after_ceiling"] / 2

    def test_long_queue_is_told(self):
        spread = RetryAfter(Random(1), DEFAULTS)
        assert spread.after(0.0, 4.0, 0.01) > 2.0
