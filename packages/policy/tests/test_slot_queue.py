"""Tests of the shared admission queue for slots."""

from __future__ import annotations

from random import Random

from berylstage_policy.service_times import ServiceTimes
from berylstage_policy.slot_admission import ADMISSION_OBJECTIVE_FACTOR
from berylstage_policy.slot_queue import QUEUED_REQUEST_TTL_SECONDS, SlotQueue
from berylstage_policy.slot_requests import PermitStatus, QueuedRequest, RequestId
from berylstage_policy.target_slots import PERMIT_ARRIVAL_SECONDS, TargetReport

WORK_SECONDS = 0.1
OBJECTIVE_SECONDS = 0.3
DEADLINE_SECONDS = 0.8


class Times(ServiceTimes):
    """Give all requests one service time, scaled by a factor for each target."""

    def __init__(self):
        self.factors = {}
        self.penalties = {}

    def seconds(self, target, kind):
        return WORK_SECONDS * self.factors.get(target, 1.0)

    def locality_penalty(self, target, origin, kind):
        return self.penalties.get((target, origin), 0.0)


def queued_request(number, now, priority=1, objective=OBJECTIVE_SECONDS, host="vm-1"):
    soft_deadline, deadline = now + objective, now + DEADLINE_SECONDS
    request_id = RequestId(host, number)
    return QueuedRequest(
        request_id, "kind", "dc-1", priority, soft_deadline, objective, deadline, now
    )


def slot_queue(slots=2, **targets):
    queue = SlotQueue(Times())
    queue.set_targets(targets or {"a": slots})
    return queue


def numbers_with(decisions, status):
    return [d.request_id.number for d in decisions if d.status is status]


def request_id(n, host="vm-1"):
    return RequestId(host, n)


class TestEnd:
    def test_closing_rejects_queued_requests_but_not_granted_ones(self):
        # Guards against requests that stay in the queue of a VM that stops.
        queue = slot_queue(slots=1)
        for n in range(3):
            queue.request(queued_request(n, 0.0), 0.0)
        assert numbers_with(queue.close(), PermitStatus.QUEUE_CLOSED) == [1, 2]
        assert len(queue) == 0
        assert queue.release(request_id(0), 0.1) == []


class TestOrder:
    def test_as_many_permits_are_granted_as_there_are_slots(self):
        # Nine VMs that each see a free slot send nine requests to a target with two.
        queue = slot_queue()
        decisions = [
            d for n in range(4) for d in queue.request(queued_request(n, 0.0), 0.0)
        ]
        assert numbers_with(decisions, PermitStatus.GRANTED) == [0, 1]
        assert numbers_with(decisions, PermitStatus.QUEUED) == [2, 3]
        assert numbers_with(
            queue.release(request_id(1), 0.05), PermitStatus.GRANTED
        ) == [2]

    def test_higher_priority_is_granted_first(self):
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0, priority=2), 0.0)
        queue.request(queued_request(2, 0.01, priority=0), 0.01)
        assert numbers_with(
            queue.release(request_id(0), 0.1), PermitStatus.GRANTED
        ) == [2]

    def test_earlier_soft_deadline_is_granted_first_at_equal_priority(self):
        # A request that was refused before has less time left than a new one.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0, objective=0.32), 0.0)
        queue.request(queued_request(2, 0.01, objective=0.25), 0.01)
        assert numbers_with(
            queue.release(request_id(0), 0.1), PermitStatus.GRANTED
        ) == [2]

    def test_request_that_would_be_late_is_refused_for_one_in_time(self):
        # A noisy neighbour slows the target, so the first queued request would be late.
        # Served in order, each later one would be late as well.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0), 0.0)
        queue.request(queued_request(2, 0.1), 0.1)
        decisions = queue.release(request_id(0), 0.25)
        assert numbers_with(decisions, PermitStatus.REFUSED) == [1]
        assert numbers_with(decisions, PermitStatus.GRANTED) == [2]

    def test_late_request_is_granted_when_no_other_is_queued(self):
        # A late answer is better than none, and the slot would be idle.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0), 0.0)
        assert numbers_with(
            queue.release(request_id(0), 0.25), PermitStatus.GRANTED
        ) == [1]

    def test_fastest_free_target_is_chosen_with_its_locality_penalty(self):
        queue = slot_queue(a=1, b=1, c=1)
        for name in ("a", "b", "c"):
            queue._targets[name].last_granted_at = 0.0
        queue._times.factors = {"a": 1.0, "b": 1.2, "c": 3.0}
        queue._times.penalties = {("a", "dc-1"): 0.08}
        decisions = [
            d for n in range(3) for d in queue.request(queued_request(n, 0.0), 0.0)
        ]
        assert [d.target for d in decisions] == ["b", "a", "c"]

    def test_idle_target_receives_occasional_requests(self):
        # A target has just joined, or was slow when last measured, and the others
        # always have free slots. Without such requests it would stay idle for ever.
        queue = slot_queue(a=2, b=2)
        queue._times.factors = {"b": 1.5}
        chosen = []
        for n in range(40):
            now = n * 0.2
            chosen += [d.target for d in queue.request(queued_request(n, now), now)]
            queue.release(request_id(n), now + 0.1)
        assert 4 <= chosen.count("b") <= 12

    def test_idle_target_in_another_data_centre_receives_none(self):
        # Traffic between data centres is paid for, and the requests of the target's own
        # data centre measure it.
        queue = slot_queue(a=2, b=2)
        queue._times.penalties = {("b", "dc-1"): 0.3}
        for n in range(20):
            now = n * 0.2
            assert [d.target for d in queue.request(queued_request(n, now), now)] == [
                "a"
            ]
            queue.release(request_id(n), now + 0.1)

    def test_idle_target_is_not_tried_if_it_would_be_too_slow(self):
        queue = slot_queue(a=2, b=2)
        queue._times.factors = {"b": 4.0}
        chosen = [d.target for d in queue.request(queued_request(0, 0.0), 0.0)]
        assert chosen == ["a"]


class TestAdmission:
    def test_request_that_cannot_be_in_time_is_refused_immediately(self):
        # More requests than slots arrive for seconds. A request that waits in vain
        # loses the time in which another target or a retry could have answered it.
        queue = slot_queue(1)
        decisions = [
            d for n in range(9) for d in queue.request(queued_request(n, 0.0), 0.0)
        ]
        refused = [d for d in decisions if d.status is PermitStatus.REFUSED]
        assert numbers_with(decisions, PermitStatus.GRANTED) == [0]
        assert (
            len(numbers_with(decisions, PermitStatus.QUEUED))
            == int(ADMISSION_OBJECTIVE_FACTOR * 3) - 1
        )
        # The retry comes when the requests ahead have completed.
        assert all(0.04 < d.retry_after < 0.2 for d in refused)

    def test_urgent_request_is_admitted_ahead_of_queued_ones(self):
        queue = slot_queue(1)
        for n in range(9):
            queue.request(queued_request(n, 0.0), 0.0)
        decisions = queue.request(queued_request(10, 0.0, priority=0), 0.0)
        assert numbers_with(decisions, PermitStatus.QUEUED) == [10]

    def test_slots_used_by_foreign_requests_are_not_granted(self):
        # Some VMs have lost the permit server and send without permits. The target's
        # report shows their requests.
        queue = slot_queue(2)
        queue.request(queued_request(0, 0.0), 0.0)
        decisions = queue.release(request_id(0), 0.1, TargetReport("a", 2))
        assert decisions == []
        assert numbers_with(
            queue.request(queued_request(1, 0.11), 0.11), PermitStatus.QUEUED
        ) == [1]
        assert numbers_with(queue.grant_due(0.3), PermitStatus.GRANTED) == []
        # An old report of foreign requests no longer counts.
        assert numbers_with(queue.grant_due(0.5), PermitStatus.GRANTED) == [1]

    def test_no_request_is_queued_for_a_target_that_stopped_responding(self):
        # A target accepts requests and answers none. Later requests would wait for its
        # slots until their deadlines instead of being refused immediately.
        queue = slot_queue(2)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0), 0.0)
        assert numbers_with(
            queue.request(queued_request(2, 0.7), 0.7), PermitStatus.REFUSED
        ) == [2]

    def test_kind_that_was_slow_is_not_refused_while_slots_are_free(self):
        # The first requests of a kind ran on slow machines, and its estimate is far
        # above its objective. All of them were refused for a whole day while targets
        # were idle, because none was sent that would have corrected the estimate.
        queue = slot_queue()
        queue._times.factors["a"] = (
            2 * ADMISSION_OBJECTIVE_FACTOR * OBJECTIVE_SECONDS / WORK_SECONDS
        )
        assert numbers_with(
            queue.request(queued_request(0, 0.0), 0.0), PermitStatus.GRANTED
        ) == [0]
        assert numbers_with(
            queue.request(queued_request(1, 0.0), 0.0), PermitStatus.GRANTED
        ) == [1]
        assert numbers_with(
            queue.request(queued_request(2, 0.0), 0.0), PermitStatus.REFUSED
        ) == [2]

    def test_request_with_little_time_left_is_refused_rather_than_queued(self):
        # A retried request has less time left than its answer takes. Queued until its
        # deadline, it would get neither an answer nor a refusal that lets its caller
        # try elsewhere.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        short = queued_request(1, 0.0)
        short.deadline = 1.5 * WORK_SECONDS
        assert numbers_with(queue.request(short, 0.0), PermitStatus.REFUSED) == [1]

    def test_queued_request_is_refused_once_it_cannot_be_answered(self):
        # A target stops responding, or its machine slows down, after requests were
        # queued for its slots. They stayed queued until their deadlines.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        waiting = queued_request(1, 0.0)
        assert numbers_with(queue.request(waiting, 0.0), PermitStatus.QUEUED) == [1]
        moment, chosen = 0.0, []
        while not chosen and moment < DEADLINE_SECONDS:
            moment += 0.1
            chosen = numbers_with(
                queue.request(queued_request(1, 0.0), moment), PermitStatus.REFUSED
            )
        assert chosen == [1]
        assert moment < DEADLINE_SECONDS - WORK_SECONDS

    def test_slot_is_granted_to_a_late_request_that_meets_its_deadline(self):
        # Two requests are late. Only one can be answered before its caller stops
        # waiting; a slot granted to the other is wasted.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        hopeless, late = queued_request(1, 0.0), queued_request(2, 0.0)
        queue.request(hopeless, 0.0)
        queue.request(late, 0.0)
        for waiting in (hopeless, late):
            waiting.soft_deadline = 0.05
            waiting.last_seen = 0.15
        hopeless.deadline = 0.2
        assert numbers_with(
            queue.release(request_id(0), 0.15), PermitStatus.GRANTED
        ) == [2]

    def test_description_shows_the_basis_of_a_refusal(self):
        queue = slot_queue(2)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.release(request_id(9), 0.0, TargetReport("a", 2))
        assert queue.describe(0.1) == "a slots 2 permits 1 others 1"

    def test_queue_without_targets_refuses_requests(self):
        queue = SlotQueue(Times())
        assert numbers_with(
            queue.request(queued_request(0, 0.0), 0.0), PermitStatus.REFUSED
        ) == [0]


class TestLosses:
    def test_lost_grant_is_repeated(self):
        # The datagram that granted the permit is lost, and the VM asks again.
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        assert numbers_with(
            queue.request(queued_request(0, 0.03), 0.03), PermitStatus.GRANTED
        ) == [0]

    def test_lost_release_does_not_block_a_slot(self):
        # A bad link loses five in two hundred datagrams. Each lost release would keep a
        # slot idle until the request's deadline.
        queue = slot_queue(2)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0), 0.0)
        queue.request(queued_request(2, 0.0), 0.0)
        decisions = queue.release(request_id(1), 0.1, TargetReport("a", 0))
        assert numbers_with(decisions, PermitStatus.GRANTED) == [2]
        queue.request(queued_request(3, 0.1), 0.1)
        assert len(queue) == 0

    def test_request_in_transit_is_not_taken_for_completed(self):
        queue = slot_queue(2)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.1), 0.1)
        queue.release(
            request_id(0), 0.1 + PERMIT_ARRIVAL_SECONDS / 2, TargetReport("a", 0)
        )
        queue.request(queued_request(2, 0.12), 0.12)
        assert numbers_with(
            queue.request(queued_request(3, 0.12), 0.12), PermitStatus.QUEUED
        ) == [3]

    def test_large_body_in_transit_keeps_its_slot(self):
        # Guards against a third body at a target with two slots, which ends when its
        # memory is exceeded: it reports an upload only when the body has arrived.
        queue = slot_queue(2)
        queue.request(queued_request(0, 0.0), 0.0)
        upload = queued_request(1, 0.0)
        upload.has_large_body = True
        queue.request(upload, 0.0)
        queue.release(request_id(0), 0.4, TargetReport("a", 0))
        queue.request(queued_request(2, 0.4), 0.4)
        decisions = queue.request(queued_request(3, 0.4), 0.4)
        assert numbers_with(decisions, PermitStatus.QUEUED) == [3]

    def test_queued_request_of_a_lost_vm_is_dropped(self):
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        queue.request(queued_request(1, 0.0, host="vm-2"), 0.0)
        queue.grant_due(QUEUED_REQUEST_TTL_SECONDS + 0.01)
        assert len(queue) == 0

    def test_permit_expires_at_its_deadline(self):
        queue = slot_queue(1)
        queue.request(queued_request(0, 0.0), 0.0)
        later = DEADLINE_SECONDS + 0.01
        assert numbers_with(
            queue.request(queued_request(1, later), later), PermitStatus.GRANTED
        ) == [1]

    def test_removed_target_receives_no_request(self):
        queue = slot_queue(a=1, b=1)
        queue.set_targets({"b": 1})
        assert queue.request(queued_request(0, 0.0), 0.0)[0].target == "b"
        assert numbers_with(
            queue.request(queued_request(1, 0.0), 0.0), PermitStatus.QUEUED
        ) == [1]


class FirstComeFirstServed:
    """A target's own FIFO queue, which admits requests up to 1.4 objectives."""

    def __init__(self):
        self.free = [0.0] * 4

    def done(self, now, work):
        start = max(now, min(self.free))
        if start + WORK_SECONDS - now > 1.4 * OBJECTIVE_SECONDS:
            return None
        self.free.remove(min(self.free))
        self.free.append(start + work)
        return start + work


def simulate_fifo(load, seconds=30.0):
    """Return the share of slot time that yields answers in time."""
    rng, now, good, queue = Random(1), 0.0, 0, FirstComeFirstServed()
    while now < seconds:
        now += rng.expovariate(load * 4 / WORK_SECONDS)
        done = queue.done(now, WORK_SECONDS * rng.uniform(0.5, 1.5))
        good += done is not None and done - now <= OBJECTIVE_SECONDS
    return good / (seconds * 4 / WORK_SECONDS)


def simulate(load, seconds=30.0):
    """Return the shares of requests and of slot time with answers in time."""
    rng, queue = Random(1), slot_queue(4)
    events = [(0.0, "come", 0)]
    arrivals, good = {}, 0
    while events[0][0] < seconds:
        now, event, n = events.pop(0)
        if event == "come":
            arrivals[n] = now
            decisions = queue.request(queued_request(n, now), now)
            gap = rng.expovariate(load * 4 / WORK_SECONDS)
            events.append((now + gap, "come", n + 1))
        else:
            good += now - arrivals[n] <= OBJECTIVE_SECONDS
            decisions = queue.release(request_id(n), now)
        for waiting in queue._queued:
            waiting.last_seen = now
        for gone in numbers_with(decisions, PermitStatus.GRANTED):
            events.append((now + WORK_SECONDS * rng.uniform(0.5, 1.5), "done", gone))
        events.sort()
    return good / len(arrivals), good / (seconds * 4 / WORK_SECONDS)


class TestOverload:
    def test_slots_are_used_for_answers_in_time(self):
        # 1.3 times as many requests as the slots can serve, for half a minute. A FIFO
        # queue fills up, and most of its answers come just too late.
        assert simulate(1.3)[1] > 2 * simulate_fifo(1.3)

    def test_nearly_all_requests_are_in_time_below_capacity(self):
        assert simulate(0.7)[0] > 0.97


class TestBytesUnderWay:
    def test_permits_bound_the_bytes_of_bodies_on_the_way_to_a_target(self):
        # 81 VMs have an upload of 360 kB each for a target with 4 slots, and one in ten
        # is released, renewed or given up at a time. More than 4 bodies at once would
        # end a small target for its memory use.
        slots, body_bytes = 4, 360_000
        queue = slot_queue(slots=slots)
        rng = Random(4)
        running, waiting, most = set(), set(), 0
        moment = 0.0
        for step in range(400):
            moment += 0.01
            decisions = []
            if step < 81:
                waiting.add(step)
                request = queued_request(step, moment, host=f"vm-{step}")
                decisions += queue.request(request, moment)
            for number in rng.sample(sorted(running), len(running) // 4):
                running.discard(number)
                decisions += queue.release(request_id(number, f"vm-{number}"), moment)
            decisions += queue.grant_due(moment)
            for decision in decisions:
                number = decision.request_id.number
                if decision.status is PermitStatus.GRANTED:
                    running.add(number)
                if decision.status is not PermitStatus.QUEUED:
                    waiting.discard(number)
            most = max(most, len(running) * body_bytes)
            assert len(running) * body_bytes <= slots * body_bytes
        assert most == slots * body_bytes == 1_440_000
