"""Tests of admission, queueing and slots, measured by what callers get."""

from __future__ import annotations

from random import Random
from statistics import mean

from berylstage_policy.target_queue import TargetQueue
from berylstage_policy.thresholds import DEFAULTS
from berylstage_policy.tickets import (
    AttemptOutcome,
    Decline,
    Refuse,
    RefuseReason,
    Start,
    Wait,
)


class TestBurst:
    def test_burst_that_fits_the_deadlines_is_all_answered(self, make_simulation):
        # Forty callers arrive within the same moment, and the target can serve all of
        # them in time. No request may be refused.
        simulation = make_simulation()
        names = [
            simulation.add_arrival(0.001 * i, 0.02, caller=f"c{i}") for i in range(40)
        ]
        simulation.run()
        assert simulation.in_time_share(names) == 1.0
        assert simulation.max_running == 2

    def test_burst_beyond_the_deadlines_is_refused_at_once(self, make_simulation):
        # A thousand requests arrive within 0.1 s, ten times what can be answered in
        # time. Callers that cannot be served must be refused immediately.
        simulation = make_simulation()
        names = [
            simulation.add_arrival(0.0001 * i, 0.02, caller=f"c{i}")
            for i in range(1000)
        ]
        simulation.run()
        waits = sorted(
            at - simulation.tickets[name].arrived
            for name, (at, _) in simulation.refusals.items()
        )
        assert len(simulation.refusals) > 800
        assert waits[int(0.9 * len(waits))] == 0.0
        assert simulation.in_time_share(names) > 0.05

    def test_refused_callers_do_not_return_together(self, make_simulation):
        # Callers obey the retry delay. If all got the same one, the whole burst would
        # return at once and be refused again.
        simulation = make_simulation()
        for i in range(1000):
            simulation.add_arrival(0.0001 * i, 0.02, caller=f"c{i}")
        simulation.run()
        returns = sorted(at + r.retry_after for at, r in simulation.refusals.values())
        per_second = [sum(int(t) == s for t in returns) for s in range(30)]
        # The target serves 100 requests per second.
        assert max(per_second) <= 200


class TestSaturation:
    def test_goodput_stays_at_capacity(self, make_simulation):
        # Requests arrive at twice the target's capacity for twenty seconds. If the
        # queue ignored deadlines, the target would work on requests whose callers have
        # gone.
        simulation = make_simulation()
        names = simulation.add_poisson_arrivals(0, 20, 200, 0.02)
        simulation.run()
        answered = [n for n in names if n in simulation.answers]
        work = sum(
            simulation.demands[n] for n in answered if simulation.answers[n] <= 1 + 20
        )
        assert simulation.in_time_share(answered) > 0.98
        assert work / (2 * 20) > 0.95

    def test_no_class_is_starved(self, make_simulation):
        # Interactive, standard and batch requests each arrive at the target's capacity.
        # Batch requests wait, but no class may be starved.
        simulation = make_simulation()
        names = {
            name: simulation.add_poisson_arrivals(
                0, 20, 100, 0.02, seed=i, request_class=name, caller=name, kind=name
            )
            for i, name in enumerate(("interactive", "standard", "batch"))
        }
        simulation.run()
        shares = {
            name: simulation.in_time_share(found) for name, found in names.items()
        }
        assert shares["interactive"] > shares["standard"] > shares["batch"] > 0.03

    def test_queue_is_bounded(self, make_simulation, make_ticket):
        thresholds = DEFAULTS.with_values(queue_limit=10)
        queue = TargetQueue(1, thresholds, Random(1), 0.0)
        queue.offer(make_ticket("first", deadline=1000.0), 0.0)
        for i in range(10):
            ticket = make_ticket(str(i), deadline=1000.0)
            assert isinstance(queue.offer(ticket, 0.0), Wait)
        decision = queue.offer(make_ticket("last", deadline=1000.0), 0.0)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefuseReason.QUEUE_FULL

    def test_full_queue_evicts_for_a_light_caller(self, make_ticket):
        # One caller has filled the queue. If the next caller were refused for that, a
        # single flooding client would lock out everybody else.
        thresholds = DEFAULTS.with_values(queue_limit=10)
        queue = TargetQueue(1, thresholds, Random(1), 0.0)
        for i in range(11):
            queue.offer(make_ticket(f"flood-{i}", deadline=1000.0), 0.0)
        light = make_ticket("light", caller="light", deadline=1000.0)
        assert isinstance(queue.offer(light, 0.0), Wait)
        assert queue.next_expiry() == float("-inf")
        assert [r.ticket_id for r in queue.pop_expired(0.0)] == ["flood-10"]
        started = queue.finish("flood-0", 0.1, 0.1, AttemptOutcome.ANSWERED)
        started += queue.finish(started[0].id, 0.2, 0.1, AttemptOutcome.ANSWERED)
        assert "light" in [ticket.id for ticket in started]


class TestFairness:
    def test_flooding_caller_does_not_delay_the_others(self, make_simulation):
        # One client sends three times the target's capacity and ten others send little.
        # In a FIFO queue the others would wait behind it.
        simulation = make_simulation()
        simulation.add_poisson_arrivals(0, 10, 300, 0.02, caller="script")
        others = []
        for i in range(10):
            others += simulation.add_poisson_arrivals(
                0, 10, 4, 0.02, seed=i + 2, caller=f"c{i}"
            )
        simulation.run()
        assert simulation.in_time_share(others) > 0.98
        assert simulation.p99(others) < 0.3

    def test_heavy_callers_share_evenly(self, make_simulation):
        simulation = make_simulation()
        names = [
            simulation.add_poisson_arrivals(0, 20, 100, 0.02, seed=i, caller=f"c{i}")
            for i in range(3)
        ]
        simulation.run()
        done = [
            sum(simulation.demands[n] for n in f if n in simulation.answers)
            for f in names
        ]
        assert max(done) / mean(done) < 1.1


class TestLongAmongShort:
    def simulate_mix(self, make_simulation, slots, has_long, **changed):
        simulation = make_simulation(slots, DEFAULTS.with_values(**changed))
        short = simulation.add_poisson_arrivals(0, 60, 30, 0.015)
        long = []
        if has_long:
            long = [
                simulation.add_arrival(
                    5.0 + 0.1 * i,
                    3.0,
                    caller="finance",
                    kind="reconcile",
                    request_class="batch",
                    deadline=120.0,
                )
                for i in range(12)
            ]
        simulation.run()
        return simulation, short, long

    def test_short_work_keeps_its_wait(self, make_simulation):
        # Batch requests of several seconds run behind interactive lookups. If they
        # occupied all slots, lookups would wait for seconds.
        simulation, short, long = self.simulate_mix(make_simulation, 3, has_long=True)
        alone, names, _ = self.simulate_mix(make_simulation, 3, has_long=False)
        assert simulation.p99(short) <= 2 * alone.p99(names)
        assert simulation.in_time_share(long) == 1.0

    def test_with_two_slots_short_work_waits_as_with_one(self, make_simulation):
        # One of two slots is left while long requests run. Short requests cannot get
        # more without preemption, so a target with one slot is the bound.
        simulation, short, long = self.simulate_mix(make_simulation, 2, has_long=True)
        bound, names, _ = self.simulate_mix(make_simulation, 1, has_long=False)
        assert simulation.p99(short) <= 1.05 * bound.p99(names)
        assert simulation.in_time_share(long) == 1.0

    def test_without_the_reserve_short_work_waits_for_seconds(self, make_simulation):
        # Control: without the reserve the failure occurs, so the tests above are able
        # to detect it.
        simulation, short, _ = self.simulate_mix(
            make_simulation, 2, True, short_presence=0.0
        )
        assert simulation.in_time_share(short) < 0.9

    def test_long_work_alone_gets_all_slots(self, make_simulation):
        simulation = make_simulation()
        for i in range(4):
            simulation.add_arrival(
                0.1 * i, 3.0, kind="reconcile", request_class="batch", deadline=60.0
            )
        simulation.run()
        assert simulation.max_running == 2

    def test_unlabelled_long_kind_is_learned(self, make_simulation):
        # An export is not labelled as batch and is recognized by its service time.
        simulation = make_simulation()
        simulation.add_poisson_arrivals(0, 60, 30, 0.015)
        for i in range(20):
            simulation.add_arrival(
                2.0 * i, 2.0, kind="export", caller="e", deadline=120.0
            )
        late = simulation.add_poisson_arrivals(20, 60, 10, 0.015, seed=9, caller="live")
        simulation.run()
        assert simulation.queue.costs.is_long("export")
        assert simulation.in_time_share(late) > 0.99


class TestSlowTarget:
    def test_waiting_requests_are_refused_once_they_cannot_succeed(
        self, make_simulation
    ):
        # The target stalls with a full queue. Waiting requests are refused as soon as
        # they cannot be answered in time, before their deadlines.
        simulation = make_simulation()
        simulation.add_poisson_arrivals(0, 2, 80, 0.02)
        stuck = [
            simulation.add_arrival(2.0 + 0.001 * i, 10.0, caller="s") for i in range(2)
        ]
        waiting = [
            simulation.add_arrival(2.1 + i * 0.01, 0.02, caller="w") for i in range(20)
        ]
        simulation.run()
        assert not any(name in simulation.answers for name in waiting)
        for name in waiting:
            at, refusal = simulation.refusals[name]
            assert at < simulation.tickets[name].deadline
            assert refusal.retry_after > 0
        assert all(name in simulation.started for name in stuck)

    def test_recovered_target_is_used_again(self, make_simulation):
        # Every answer exceeded the deadlines for a while. If the learned cost alone
        # refused everything, the recovery would never be detected.
        simulation = make_simulation()
        simulation.add_poisson_arrivals(0, 2, 80, 0.02)
        simulation.run(until=2.0)
        simulation.slowdown_factor = 100.0
        simulation.add_poisson_arrivals(2, 10, 80, 0.02, seed=2)
        simulation.run(until=10.0)
        simulation.slowdown_factor = 1.0
        after = simulation.add_poisson_arrivals(14, 20, 50, 0.02, seed=3)
        simulation.run()
        assert simulation.in_time_share(after) > 0.95


class TestColdTarget:
    def test_never_more_than_one_at_first(self, make_simulation):
        simulation = make_simulation(is_warm=False)
        simulation.add_poisson_arrivals(0, 0.1, 500, 0.02)
        simulation.run(until=0.1)
        assert simulation.max_running == 1

    def test_answers_of_a_cold_target_are_not_learned_as_warm(self, make_simulation):
        # A new leader finds the target cold and three times slower. If that were
        # learned as its warm service time, every cold answer would look warm.
        simulation = make_simulation(is_warm=False)
        simulation.slowdown_factor = 3.0
        simulation.add_poisson_arrivals(0, 3, 15, 0.02)
        simulation.run()
        assert simulation.max_running == 1
        simulation.queue.costs.observe("lookup", 0.02, True)
        assert simulation.queue.costs.mean("lookup") == 0.02
        simulation.queue.costs.observe("lookup", 0.06, True, is_warm=False)
        assert simulation.queue.costs.mean("lookup") == 0.02

    def test_restart_with_a_full_queue_refuses_at_once(self, make_simulation):
        # The target restarts without notice while fifty requests wait. With one slot
        # most of them cannot be answered, and they are refused now rather than at the
        # deadline.
        simulation = make_simulation(slots=4)
        simulation.queue.costs.observe("lookup", 0.04, True)
        for i in range(80):
            simulation.add_arrival(0.0001 * i, 0.04, caller=f"c{i}", deadline=1.6)
        simulation.run(until=0.1)
        before = simulation.queue.waiting
        simulation.queue.observe_incarnation("another", 0.1)
        assert simulation.queue.next_expiry() == float("-inf")
        refusals = simulation.queue.pop_expired(0.1)
        assert before / 3 < len(refusals) < before
        assert simulation.queue.ramp.limit(0.1) == 1


class TestTicketLife:
    def test_cancelled_while_waiting_never_starts(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        queue.offer(make_ticket("a"), 0.0)
        queue.offer(make_ticket("b"), 0.0)
        assert not queue.cancel("b", 0.0)
        assert queue.finish("a", 0.1, 0.1, AttemptOutcome.ANSWERED) == []
        assert queue.next_expiry() is None

    def test_cancelled_in_a_slot_keeps_the_slot(self, make_ticket):
        # The caller has gone but the target still works on the request. Freeing the
        # slot before the target confirms would exceed its concurrency limit.
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        queue.offer(make_ticket("a"), 0.0)
        assert queue.cancel("a", 0.0)
        assert isinstance(queue.offer(make_ticket("b"), 0.0), Wait)
        assert [
            t.id for t in queue.finish("a", 0.1, 0.1, AttemptOutcome.CANCELLED)
        ] == ["b"]

    def test_finished_twice_frees_one_slot(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        for name in "abc":
            queue.offer(make_ticket(name), 0.0)
        assert len(queue.finish("a", 0.1, 0.1, AttemptOutcome.ANSWERED)) == 1
        assert queue.finish("a", 0.1, 0.1, AttemptOutcome.ANSWERED) == []

    def test_past_deadline_is_refused(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        decision = queue.offer(make_ticket(deadline=0.0), 0.5)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefuseReason.DEADLINE

    def test_busy_queue_declines_when_asked(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        assert isinstance(queue.offer(make_ticket("a"), 0.0, True), Start)
        decision = queue.offer(make_ticket("b"), 0.0, True)
        assert isinstance(decision, Decline)
        assert queue.waiting == 0


class TestDrain:
    def test_returns_waiting_requests_and_refuses_new_ones(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        for name in "abc":
            queue.offer(make_ticket(name), 0.0)
        assert [ticket.id for ticket in queue.drain()] == ["b", "c"]
        decision = queue.offer(make_ticket("d"), 0.0)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefuseReason.DRAINING
        assert queue.finish("a", 0.1, 0.1, AttemptOutcome.ANSWERED) == []


class TestPause:
    def test_paused_queue_keeps_its_tickets(self, make_ticket):
        # The target's process is gone and connections are refused. Sending on would
        # lose the whole queue in the moment before the keys move.
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        queue.pause(0.4)
        assert isinstance(queue.offer(make_ticket("a"), 0.0), Wait)
        assert queue.observe_incarnation("x", 0.1) == []
        assert [ticket.id for ticket in queue.resume(0.2)] == ["a"]


def read_slots(thing):
    """Return the slot values of an object as text."""
    names = getattr(type(thing), "__slots__", None) or vars(thing)
    return {name: str(getattr(thing, name)) for name in names}


class TestThresholds:
    def test_changed_thresholds_apply_to_new_requests(self):
        # Operators change the thresholds in the sheet. If a queue kept the old ones,
        # VMs would use different values until the target's leader changes.
        changed = DEFAULTS.with_values(
            queue_limit=1.0,
            wait_share=0.5,
            weight_batch=7.0,
            short_weight=3.0,
            short_presence=1.0,
            returning_work=9.0,
            ramp_completions=3.0,
            cost_gain=0.7,
            retry_after_floor=0.4,
        )
        old = TargetQueue(2, DEFAULTS, Random(1), 0.0)
        new = TargetQueue(2, changed, Random(1), 0.0)
        old.set_thresholds(changed)
        for part in ("ramp", "costs", "_retry_after", "_lanes"):
            found, wanted = (
                read_slots(getattr(old, part)),
                read_slots(getattr(new, part)),
            )
            for fields in (found, wanted):
                fields.pop("_rng", None)
                fields.pop("_load", None)
            assert found == wanted, part
        assert old._queue_limit == new._queue_limit
        assert old._wait_share == new._wait_share
        assert old._fair_queue._overtaking_factor == new._fair_queue._overtaking_factor

    def test_changed_weight_applies_to_a_waiting_flow(self):
        # The new weight also applies to a flow that already has waiting requests.
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        leaf = queue._fair_queue.leaf((("short", 1.0), ("batch", 1.0)))
        assert queue._fair_queue.leaf((("short", 1.0), ("batch", 7.0))) is leaf
        assert leaf.weight == 7.0
