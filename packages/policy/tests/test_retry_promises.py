"""Tests of the times at which refused requests are told to return."""

from __future__ import annotations

import heapq

import pytest
from berylstage_policy.retry_promises import (
    MAX_PROMISES,
    MAX_WAIT_SHARE,
    MIN_RETRY_AFTER_SECONDS,
    PROMISE_GRACE_SECONDS,
    SCHEDULE_SECONDS,
    RetryPromises,
)
from berylstage_policy.slot_requests import PermitStatus
from returning_callers import Load, Outcome, Play
from test_slot_queue import numbers_with, queued_request, slot_queue

WORK_SECONDS = 0.2


def make_promises(*free_times):
    """Return the promises of slots that become free at some times."""

    def build_heap(now, kind):
        slots = [(max(now, at), f"t{n}") for n, at in enumerate(free_times)]
        heapq.heapify(slots)
        return slots

    return RetryPromises(build_heap, lambda target, kind: WORK_SECONDS)


def play(load, seeds, keeps_promises, counts_age=False):
    """Return the summed outcome of a load over some seeds."""
    total = Outcome()
    for seed in range(seeds):
        outcome = Play(load, seed, keeps_promises, counts_age).run()
        for name, value in vars(outcome).items():
            setattr(total, name, getattr(total, name) + value)
    return total


class TestPromises:
    def test_each_refused_request_is_told_another_slot(self):
        # Guards against dozens of callers that return for the same slot.
        promises = make_promises(0.5, 0.6)
        told = [promises.promise("kind", 9.0, 0.0)[0] for _ in range(5)]
        assert told == pytest.approx([0.5, 0.6, 0.7, 0.8, 0.9])

    def test_promises_hold_when_the_schedule_is_computed_anew(self):
        promises = make_promises(0.5)
        later = SCHEDULE_SECONDS
        assert promises.promise("kind", 9.0, 0.0)[0] == pytest.approx(0.5)
        assert promises.promise("kind", 9.0, later)[0] + later == pytest.approx(0.7)

    def test_promise_expires(self):
        # Guards against slots that are counted twice: the caller has returned and its
        # request is part of the queue, or it never returns.
        promises = make_promises(0.5)
        promises.promise("kind", 9.0, 0.0)
        promises.promise("kind", 9.0, 0.5 + PROMISE_GRACE_SECONDS)
        assert len(promises) == 1

    def test_no_longer_wait_than_callers_honour(self):
        # A caller that is told more than a third of its time returns when it likes.
        promises = make_promises(2.0)
        retry_after, is_promised = promises.promise("kind", 3.0, 0.0)
        assert (retry_after, is_promised) == (pytest.approx(0.99), False)
        assert retry_after < 3.0 / 3
        # The slot remains for a caller that can wait for it.
        assert promises.promise("kind", 9.0, 0.0) == (pytest.approx(2.0), True)

    def test_free_slot_is_told_with_a_pause(self):
        promises = make_promises(0.0)
        assert promises.promise("kind", 9.0, 0.0)[0] == MIN_RETRY_AFTER_SECONDS

    def test_queue_without_slots_and_request_without_time(self):
        assert make_promises().promise("kind", 3.0, 0.0) == (
            MAX_WAIT_SHARE * 3.0,
            False,
        )
        assert make_promises(0.5).promise("kind", -1.0, 0.0) == (0.0, False)

    def test_number_of_promises_is_limited(self):
        # Guards against memory and time that grow with the number of refusals.
        promises = make_promises(*[0.5] * (2 * MAX_PROMISES))
        told = [promises.promise("kind", 9.0, 0.0)[1] for _ in range(MAX_PROMISES + 1)]
        assert told == [True] * MAX_PROMISES + [False]
        assert len(promises) == MAX_PROMISES

    def test_request_queue_promises_what_follows_its_queued_requests(self):
        # Two slots, four requests of 0.1 s queued or running and one refused.
        queue = slot_queue(2)
        queue.callers_may_return = True
        for n in range(8):
            queue.request(queued_request(n, 0.0), 0.0)
        refused = [
            decision
            for n in range(8, 10)
            for decision in queue.request(queued_request(n, 0.0), 0.0)
        ]
        assert numbers_with(refused, PermitStatus.REFUSED) == [8, 9]
        # All slots are taken for 0.4 s, longer than a third of the time left.
        assert [d.is_promised for d in refused] == [False, False]
        assert refused[0].retry_after == pytest.approx(MAX_WAIT_SHARE * 0.8)
        patient = queued_request(10, 0.0)
        patient.deadline = 3.0
        (decision,) = queue.request(patient, 0.0)
        assert decision.is_promised
        assert decision.retry_after == pytest.approx(0.4)

    def test_next_permit_server_starts_without_promises(self):
        # The permit server is lost, or closes its queues. Its successor promises the
        # same slots again; the first one makes no use of its promises any more.
        queue = slot_queue(1)
        queue.callers_may_return = True
        for n in range(6):
            request = queued_request(n, 0.0)
            request.deadline = 9.0
            queue.request(request, 0.0)
        assert queue.promised == 2
        queue.close()
        assert queue.promised == 0


class TestReturningCallers:
    # 6 slots, 0.24 s of work, an objective of 0.62 s and 5.15 s for the caller.
    def load(self, *phases):
        return Load(6, 0.24, 0.62, 5.15, phases)

    def test_promises_hold_after_a_short_burst(self):
        # Six times the capacity for 0.5 s. Guards against callers that return too early
        # and are refused again: 1264 refusals, and 346 of 1169 callers never served,
        # when each was told by how much it was late.
        load = self.load((1.0, 0.5), (0.5, 6.0), (4.0, 0.4))
        outcome = play(load, 10, keeps_promises=True)
        assert outcome.promises > 200
        assert outcome.broken <= 0.15 * outcome.promises, outcome
        assert outcome.in_time + outcome.late >= 0.98 * outcome.callers, outcome
        assert outcome.refusals < 500

    def test_more_are_served_with_fewer_refusals_in_a_burst(self):
        # 2.5 times the capacity for a second.
        load = self.load((1.0, 0.5), (1.0, 2.5), (4.0, 0.5))
        before = play(load, 5, keeps_promises=False)
        after = play(load, 5, keeps_promises=True)
        assert after.refusals < 0.4 * before.refusals
        assert after.in_time >= before.in_time
        assert after.in_time + after.late > 0.99 * after.callers
        assert before.in_time + before.late < 0.9 * before.callers
