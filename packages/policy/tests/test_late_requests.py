"""Tests of requests that are late, and of callers that return to a full queue."""

from __future__ import annotations

import pytest
from berylstage_policy.slot_admission import ADMISSION_OBJECTIVE_FACTOR
from berylstage_policy.slot_requests import LATE_PRIORITY, PermitStatus
from returning_callers import Load
from test_retry_promises import play
from test_slot_queue import (
    OBJECTIVE_SECONDS,
    WORK_SECONDS,
    numbers_with,
    queued_request,
    request_id,
    slot_queue,
)


def patient_queue(slots=1):
    queue = slot_queue(slots)
    queue.callers_may_return = True
    return queue


def late_request(number, now, priority=1):
    """Return a request whose caller began so long ago that it will be late."""
    request = queued_request(number, now, priority)
    request.soft_deadline = now - 1.0
    request.rank = (priority, request.soft_deadline)
    request.deadline = now + 3.0
    return request


class TestLateRequests:
    def test_late_request_waits_behind_those_that_can_be_in_time(self):
        # A caller returns after 1.3 s to a queue that new requests fill. Ordered by
        # the time until which answers have their full worth, it would be the first.
        queue = patient_queue()
        queue.request(queued_request(0, 0.0), 0.0)
        decisions = queue.request(late_request(1, 0.0, priority=0), 0.0)
        assert numbers_with(decisions, PermitStatus.QUEUED) == [1]
        queue.request(queued_request(2, 0.01), 0.01)
        order = []
        for n, now in ((0, 0.1), (2, 0.2)):
            order += numbers_with(
                queue.release(request_id(n), now), PermitStatus.GRANTED
            )
        assert order == [2, 1]

    def test_late_request_does_not_delay_the_admission_of_others(self):
        # Guards against new requests that are refused because of late ones.
        queue = patient_queue()
        queue.request(queued_request(0, 0.0), 0.0)
        for n in range(1, 3):
            queue.request(late_request(n, 0.0), 0.0)
        fresh = [queue.request(queued_request(n, 0.0), 0.0) for n in range(10, 13)]
        assert [numbers_with(d, PermitStatus.QUEUED) for d in fresh] == [
            [10],
            [11],
            [12],
        ]

    def test_late_requests_beyond_the_admission_limit_are_refused(self):
        # Guards against a queue of late requests that grows for as long as an overload
        # lasts; each of them is renewed ten times a second.
        queue = patient_queue()
        decisions = [
            decision
            for n in range(20)
            for decision in queue.request(late_request(n, 0.0), 0.0)
        ]
        limit = ADMISSION_OBJECTIVE_FACTOR * OBJECTIVE_SECONDS / WORK_SECONDS
        assert len(numbers_with(decisions, PermitStatus.QUEUED)) <= limit
        refused = [d for d in decisions if d.status is PermitStatus.REFUSED]
        assert len(refused) >= 20 - limit - 1
        assert all(d.retry_after <= 1.0 for d in refused)

    def test_request_that_becomes_late_gives_way_without_a_refusal(self):
        # The target was slow, and the first queued request would be late. Its caller
        # has three seconds left, and an answer after the next one is worth more to it
        # than a refusal.
        queue = patient_queue()
        queue.request(queued_request(0, 0.0), 0.0)
        waiting = queued_request(1, 0.0)
        waiting.deadline = 3.0
        queue.request(waiting, 0.0)
        queue.request(queued_request(2, 0.1), 0.1)
        decisions = queue.release(request_id(0), 0.25)
        assert numbers_with(decisions, PermitStatus.GRANTED) == [2]
        assert numbers_with(decisions, PermitStatus.REFUSED) == []
        assert waiting.rank[0] >= LATE_PRIORITY
        assert numbers_with(
            queue.release(request_id(2), 0.35), PermitStatus.GRANTED
        ) == [1]

    def test_late_request_is_granted_a_free_slot(self):
        queue = patient_queue()
        decisions = queue.request(late_request(0, 0.0), 0.0)
        assert numbers_with(decisions, PermitStatus.GRANTED) == [0]

    def test_late_request_is_refused_as_before_where_callers_have_little_time(self):
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        assert numbers_with(
            queue.request(late_request(1, 0.0), 0.0), PermitStatus.REFUSED
        ) == [1]


class TestAgeUnderLoad:
    # Slots, work, objective and deadline in seconds, and the worth of a late answer, of
    # the two installations.
    LOADS = ((6, 0.24, 0.62, 5.15, 0.1), (4, 0.19, 0.88, 6.55, 0.5))

    @pytest.mark.parametrize("setup", LOADS)
    def test_returning_callers_take_no_place_of_new_ones(self, setup):
        # 2.5 times the capacity for 3 s, and a fifth of callers that do not wait as
        # they are told. Guards against slots for answers whose full worth is lost.
        *times, late_worth = setup
        load = Load(*times, [(2.0, 0.6), (3.0, 2.5), (5.0, 0.6)], impatient=0.2)
        before = play(load, 4, keeps_promises=False)
        without_age = play(load, 4, keeps_promises=True)
        after = play(load, 4, keeps_promises=True, counts_age=True)
        assert after.in_time > 1.1 * without_age.in_time
        assert after.worth(late_worth) > without_age.worth(late_worth) + 0.02
        assert after.worth(late_worth) > before.worth(late_worth) + 0.02
        served = after.in_time + after.late
        assert served > 1.08 * (before.in_time + before.late)
        assert after.refusals < 0.85 * before.refusals
