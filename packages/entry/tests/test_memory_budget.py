"""Tests of the decisions on buffered bytes."""

from __future__ import annotations

from itertools import pairwise

import pytest
from berylstage_entry.memory.budget import (
    FREED_RATE_SECONDS,
    MAX_BUDGET_BYTES,
    MAX_WAIT_SHARE,
    MEMORY_PER_BUFFERED_BYTE,
    MIN_BUDGET_BYTES,
    MIN_FREED_BYTES_PER_SECOND,
    PROCESS_BYTES,
    UPLOAD_SHARE,
    FreedRate,
    MemoryBudget,
    compute_budget_bytes,
)
from berylstage_entry.memory.untaken_answers import (
    LATE_SECONDS,
    STALLED_SECONDS,
    UntakenAnswer,
    choose_disconnects,
)
from berylstage_entry.memory.upload_times import (
    compute_link_bytes_per_second,
    compute_link_seconds,
    compute_work_seconds,
)

MB = 1_000_000
UPLOAD = 360_000


class TestBudgetBytes:
    @pytest.mark.parametrize("memory_bytes", [None, 300 * MB, 552 * MB])
    def test_vms_with_enough_memory_keep_the_former_limit(self, memory_bytes):
        # Deployments without a memory limit, and those of 300 MB, are served as before.
        assert compute_budget_bytes(memory_bytes) == 100 * 1024 * 1024
        assert MAX_BUDGET_BYTES == 100 * 1024 * 1024

    @pytest.mark.parametrize("megabytes", [160, 200])
    def test_full_budget_leaves_a_quarter_of_a_small_vm_free(self, megabytes):
        # A VM that exceeds its memory is killed, and all its requests are lost.
        budget = compute_budget_bytes(megabytes * MB)
        used = PROCESS_BYTES + MEMORY_PER_BUFFERED_BYTE * budget
        assert used < 0.75 * megabytes * MB

    def test_budget_grows_with_memory_and_has_a_minimum(self):
        budgets = [compute_budget_bytes(mb * MB) for mb in range(1, 400, 10)]
        assert budgets == sorted(budgets)
        assert budgets[0] == MIN_BUDGET_BYTES


class TestMemoryBudget:
    def test_uploads_leave_the_reserved_part_to_small_requests(self):
        # Without the reserved part, small requests were refused beside 400 uploads.
        budget = MemoryBudget(compute_budget_bytes(160 * MB))
        admitted = 0
        while not budget.missing_bytes(UPLOAD, True):
            budget.add(UPLOAD, True)
            admitted += 1
        assert admitted == int(budget.capacity * UPLOAD_SHARE) // UPLOAD
        assert not budget.missing_bytes(int(budget.capacity * (1 - UPLOAD_SHARE)), 0)
        budget.remove(UPLOAD, True)
        assert not budget.missing_bytes(UPLOAD, True)

    def test_small_requests_may_use_all_and_uploads_then_nothing(self):
        budget = MemoryBudget(1000)
        budget.add(1000)
        assert budget.is_full
        assert budget.missing_bytes(1, True) == budget.missing_bytes(1, False) == 1


class TestFreedRate:
    def test_refused_callers_come_back_one_after_the_other(self):
        # All callers that were told the same time returned together, and most of them
        # were refused again.
        rate = FreedRate(1.25 * MB)
        waits = [rate.promise(UPLOAD, 11.4, 0.0) for _ in range(5)]
        steps = [b - a for a, b in pairwise(waits)]
        assert steps == pytest.approx([UPLOAD / (1.25 * MB)] * 4)

    def test_time_follows_the_rate_at_which_uploads_free_memory(self):
        slow, fast = FreedRate(1.0), FreedRate(1.0)
        for n in range(100):
            slow.record(20_000, n * 0.1)
            fast.record(200_000, n * 0.1)
        assert fast.bytes_per_second(10.0) == pytest.approx(2 * MB, rel=0.1)
        assert slow.promise(UPLOAD, 99.0, 10.0) == pytest.approx(
            10 * fast.promise(UPLOAD, 99.0, 10.0), rel=0.1
        )

    def test_no_caller_waits_longer_than_a_third_of_its_time(self):
        # Callers honour up to a third of the time that they have left.
        rate = FreedRate(1.25 * MB)
        waits = [rate.promise(UPLOAD, 6.0, 0.0) for _ in range(100)]
        assert max(waits) == 6.0 * MAX_WAIT_SHARE
        # The promises that were not made do not delay later callers.
        assert rate.promise(UPLOAD, 6.0, 6.0) < 0.5

    def test_rate_stays_above_a_minimum_when_nothing_is_freed(self):
        rate = FreedRate(1.25 * MB)
        rate.record(UPLOAD, 0.0)
        later = 100 * FREED_RATE_SECONDS
        assert rate.bytes_per_second(later) == MIN_FREED_BYTES_PER_SECOND


class TestUntakenAnswers:
    def test_longest_stalled_callers_are_chosen_first_until_enough_is_free(self):
        answers = [
            UntakenAnswer(1, 100, 8.0, 0.0),
            UntakenAnswer(2, 100, 2.0, 0.0),
            UntakenAnswer(3, 100, 5.0, 0.0),
        ]
        chosen = choose_disconnects(answers, 150, 20.0)
        assert [answer.connection for answer in chosen] == [2, 3]

    def test_nobody_is_chosen_while_there_is_memory(self):
        assert not choose_disconnects([UntakenAnswer(1, 100, 0.0, 0.0)], 0, 1000.0)

    @pytest.mark.parametrize(
        ("last_taken_at", "deadline", "is_chosen"),
        [
            (10.0 - STALLED_SECONDS, 10.0 - LATE_SECONDS, True),
            (10.1 - STALLED_SECONDS, 10.0 - LATE_SECONDS, False),
            (10.0 - STALLED_SECONDS, 10.1 - LATE_SECONDS, False),
        ],
    )
    def test_callers_that_may_still_take_answers_are_kept(
        self, last_taken_at, deadline, is_chosen
    ):
        # A late answer still has worth; one that is being taken must not be cut.
        answer = UntakenAnswer(1, 100, last_taken_at, deadline)
        assert bool(choose_disconnects([answer], 1, 10.0)) is is_chosen


class TestUploadTimes:
    def test_link_time_of_the_largest_upload_exceeds_the_work_on_it(self):
        assert compute_link_seconds(UPLOAD, 10.0) == pytest.approx(0.288)
        assert compute_link_bytes_per_second(10.0) == 1.25 * MB

    def test_unknown_bandwidth_adds_no_time(self):
        assert compute_link_seconds(UPLOAD, 0.0) == 0.0

    def test_link_time_is_not_counted_twice(self):
        # The measured time of an upload includes its time on the link.
        assert compute_work_seconds(0.518, 0.288) == pytest.approx(0.23)
        assert compute_work_seconds(0.23, 0.288) > 0.05
