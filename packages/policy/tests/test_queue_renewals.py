"""Tests of the cost and the effect of renewing many queued requests."""

from __future__ import annotations

from berylstage_policy.retry_promises import SCHEDULE_SECONDS
from berylstage_policy.slot_queue import SlotQueue
from berylstage_policy.slot_requests import PermitStatus
from test_slot_queue import Times, numbers_with, queued_request

TARGETS, SLOTS, QUEUED = 46, 6, 200
# Length of the queue in seconds, with 276 slots and 0.1 s of work.
OBJECTIVE_SECONDS = 0.6


class CountingTimes(Times):
    """Counts how often a service time is looked up."""

    def __init__(self):
        super().__init__()
        self.lookups = 0

    def seconds(self, target, kind):
        self.lookups += 1
        return super().seconds(target, kind)


def full_queue():
    """Return a queue of 46 targets in which 200 requests wait, and their numbers."""
    times = CountingTimes()
    queue = SlotQueue(times)
    queue.set_targets({f"t{n}": SLOTS for n in range(TARGETS)})
    waiting = []
    for n in range(TARGETS * SLOTS + QUEUED):
        request = queued_request(n, 0.0, objective=OBJECTIVE_SECONDS)
        waiting += numbers_with(queue.request(request, 0.0), PermitStatus.QUEUED)
    assert len(waiting) == QUEUED
    return queue, times, waiting


class TestRenewals:
    def test_renewals_of_a_long_queue_use_one_schedule(self):
        # Guards against a permit server that spends a core on renewals: 200 requests
        # are renewed 2000 times a second, and each computed the use of 276 slots.
        queue, times, waiting = full_queue()
        times.lookups = 0
        for n in waiting:
            decisions = queue.request(queued_request(n, 0.0), 0.05)
            assert numbers_with(decisions, PermitStatus.QUEUED) == [n]
        assert times.lookups <= 2 * QUEUED

    def test_schedule_is_computed_anew_after_a_while(self):
        # All machines become ten times slower. The requests that can no longer be
        # answered in time must be refused at their next renewal.
        queue, times, waiting = full_queue()
        last = waiting[-1]
        queue.request(queued_request(last, 0.0), 0.05)
        times.factors = {f"t{n}": 10.0 for n in range(TARGETS)}
        moment = 0.05 + SCHEDULE_SECONDS
        decisions = queue.request(queued_request(last, 0.0), moment)
        assert numbers_with(decisions, PermitStatus.REFUSED) == [last]
