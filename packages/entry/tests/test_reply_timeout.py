"""Tests of the timeout for replies of other VMs."""

from __future__ import annotations

from berylstage_entry.reply_timeout import (
    MAX_REPLY_TIMEOUT_SECONDS,
    MIN_REPLY_TIMEOUT_SECONDS,
    ReplyTimeout,
)


class TestReplyTimes:
    def test_timeout_is_minimal_for_fast_replies(self):
        times = ReplyTimeout()
        for _ in range(50):
            times.record(0.001)
        assert times.timeout == MIN_REPLY_TIMEOUT_SECONDS

    def test_timeout_covers_replies_that_wait_behind_large_answers(self):
        # A VM with a link of 10 Mbit/s forwards answers of 90 kB. Each of its 100
        # permit servers counted as lost some times a minute, and requests were sent
        # without permits.
        times = ReplyTimeout()
        for n in range(50):
            times.record(0.002 if n % 3 else 0.07)
        assert times.timeout > 0.07

    def test_timeout_is_bounded_for_a_lost_permit_server(self):
        times = ReplyTimeout()
        for _ in range(50):
            times.record(3.0)
        assert times.timeout == MAX_REPLY_TIMEOUT_SECONDS
