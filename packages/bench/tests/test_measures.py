"""Tests of what is read from the callers' records."""

from __future__ import annotations

import pytest
from berylstage_bench.measures import longest_gap
from berylstage_standins.call_record import CallOutcome, CallRecord

ANSWERED = CallOutcome.ANSWERED
NOT_RUN = CallOutcome.NOT_RUN


def record(key, start, end, outcome=ANSWERED):
    """Return one attempt."""
    return CallRecord(
        service="field-log",
        kind="visit-history",
        key=key,
        digest="",
        idempotency_key="",
        vm="almaty-a-1",
        outcome=outcome,
        status=200,
        reason="",
        own=True,
        start=start,
        end=end,
    )


class TestLongestGap:
    def test_a_refusal_counts_until_the_next_answer(self):
        records = [
            record("a", 0.0, 0.1),
            record("a", 1.0, 1.1, NOT_RUN),
            record("a", 2.0, 2.5),
            record("b", 0.0, 0.2),
        ]
        gap = longest_gap(records)
        assert (gap.key, gap.begin) == ("field-log/a", 1.0)
        assert gap.seconds == pytest.approx(1.5)

    def test_an_answer_to_an_earlier_request_ends_no_gap(self):
        # An answer that was sent for before the refusal says nothing of the key at
        # the time of the refusal.
        records = [
            record("a", 0.0, 5.0),
            record("a", 1.0, 1.1, NOT_RUN),
            record("a", 6.0, 6.5),
        ]
        assert longest_gap(records).seconds == pytest.approx(5.5)

    def test_a_key_that_is_never_answered_counts_to_the_end(self):
        records = [record("a", 0.0, 0.1, NOT_RUN), record("a", 3.0, 4.0, NOT_RUN)]
        assert longest_gap(records).seconds == pytest.approx(4.0)
