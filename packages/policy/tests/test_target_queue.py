"""Tests of admission, queueing and slots, by what callers get."""

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
    def test_burst_that_fits_the_deadlines_is_all_answered(self, make_player):
        # Forty technicians open a history within the same moment. The target could
        # serve them all in time, so turning any of them away would be our fault.
        player = make_player()
        names = [player.arrive(0.001 * i, 0.02, caller=f"c{i}") for i in range(40)]
        player.run()
        assert player.in_time(names) == 1.0
        assert player.most_running == 2

    def test_burst_beyond_the_deadlines_is_turned_away_at_once(self, make_player):
        # A thousand requests arrive within a tenth of a second, ten times what can be
        # answered in time. Callers that can't be served have to learn it at once.
        player = make_player()
        names = [player.arrive(0.0001 * i, 0.02, caller=f"c{i}") for i in range(1000)]
        player.run()
        waits = sorted(
            at - player.tickets[name].arrived
            for name, (at, _) in player.refusals.items()
        )
        assert len(player.refusals) > 800
        assert waits[int(0.9 * len(waits))] == 0.0
        assert player.in_time(names) > 0.05

    def test_refused_callers_do_not_return_together(self, make_player):
        # Callers obey the time to come back. If all were told the same, the burst
        # would return whole, and be turned away again.
        player = make_player()
        for i in range(1000):
            player.arrive(0.0001 * i, 0.02, caller=f"c{i}")
        player.run()
        returns = sorted(at + r.retry_after for at, r in player.refusals.values())
        per_second = [sum(int(t) == s for t in returns) for s in range(30)]
        # The target serves 100 a second.
        assert max(per_second) <= 200


class TestSaturation:
    def test_goodput_stays_at_capacity(self, make_player):
        # Twice as much arrives as the target can do, for twenty seconds. Without
        # deadlines in the queue it works on requests whose callers have gone.
        player = make_player()
        names = player.stream(0, 20, 200, 0.02)
        player.run()
        answered = [n for n in names if n in player.answers]
        work = sum(player.demands[n] for n in answered if player.answers[n] <= 1 + 20)
        assert player.in_time(answered) > 0.98
        assert work / (2 * 20) > 0.95

    def test_no_class_is_starved(self, make_player):
        # People, standard work and batch polls each bring as much as the target can
        # bear. Batch waits, but a class that got nothing would never be done.
        player = make_player()
        names = {
            name: player.stream(
                0, 20, 100, 0.02, seed=i, request_class=name, caller=name, kind=name
            )
            for i, name in enumerate(("interactive", "standard", "batch"))
        }
        player.run()
        shares = {name: player.in_time(found) for name, found in names.items()}
        assert shares["interactive"] > shares["standard"] > shares["batch"] > 0.03

    def test_queue_is_bounded(self, make_player, make_ticket):
        thresholds = DEFAULTS.replaced(queue_limit=10)
        queue = TargetQueue(1, thresholds, Random(1), 0.0)
        queue.offer(make_ticket("first", deadline=1000.0), 0.0)
        for i in range(10):
            ticket = make_ticket(str(i), deadline=1000.0)
            assert isinstance(queue.offer(ticket, 0.0), Wait)
        decision = queue.offer(make_ticket("last", deadline=1000.0), 0.0)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefuseReason.QUEUE_FULL

    def test_full_queue_makes_room_for_a_light_caller(self, make_ticket):
        # One caller has filled the queue. If the next caller were refused for it, one
        # flooding script would lock everybody else out.
        thresholds = DEFAULTS.replaced(queue_limit=10)
        queue = TargetQueue(1, thresholds, Random(1), 0.0)
        for i in range(11):
            queue.offer(make_ticket(f"flood-{i}", deadline=1000.0), 0.0)
        light = make_ticket("light", caller="light", deadline=1000.0)
        assert isinstance(queue.offer(light, 0.0), Wait)
        assert queue.next_expiry() == float("-inf")
        assert [r.ticket_id for r in queue.expired(0.0)] == ["flood-10"]
        started = queue.finished("flood-0", 0.1, 0.1, AttemptOutcome.ANSWERED)
        started += queue.finished(started[0].id, 0.2, 0.1, AttemptOutcome.ANSWERED)
        assert "light" in [ticket.id for ticket in started]


class TestFairness:
    def test_flooding_caller_does_not_delay_the_others(self, make_player):
        # A script sends three times what the target bears, ten others send a little.
        # In a first-in-first-out queue the others would wait behind the script.
        player = make_player()
        player.stream(0, 10, 300, 0.02, caller="script")
        others = []
        for i in range(10):
            others += player.stream(0, 10, 4, 0.02, seed=i + 2, caller=f"c{i}")
        player.run()
        assert player.in_time(others) > 0.98
        assert player.p99(others) < 0.3

    def test_heavy_callers_share_evenly(self, make_player):
        player = make_player()
        names = [
            player.stream(0, 20, 100, 0.02, seed=i, caller=f"c{i}") for i in range(3)
        ]
        player.run()
        done = [sum(player.demands[n] for n in f if n in player.answers) for f in names]
        assert max(done) / mean(done) < 1.1


class TestLongAmongShort:
    def play(self, make_player, slots, has_long, **changed):
        player = make_player(slots, DEFAULTS.replaced(**changed))
        short = player.stream(0, 60, 30, 0.015)
        long = []
        if has_long:
            long = [
                player.arrive(
                    5.0 + 0.1 * i,
                    3.0,
                    caller="finance",
                    kind="reconcile",
                    request_class="batch",
                    deadline=120.0,
                )
                for i in range(12)
            ]
        player.run()
        return player, short, long

    def test_short_work_keeps_its_wait(self, make_player):
        # The contract reconciliation runs for seconds a piece behind the morning's
        # lookups. Once it holds all slots, technicians wait for seconds.
        player, short, long = self.play(make_player, 3, has_long=True)
        alone, names, _ = self.play(make_player, 3, has_long=False)
        assert player.p99(short) <= 2 * alone.p99(names)
        assert player.in_time(long) == 1.0

    def test_with_two_slots_short_work_waits_as_with_one(self, make_player):
        # Of two slots one is left while the reconciliation runs. Nothing short of
        # stopping it can give short work more, so that is the bound.
        player, short, long = self.play(make_player, 2, has_long=True)
        bound, names, _ = self.play(make_player, 1, has_long=False)
        assert player.p99(short) <= 1.05 * bound.p99(names)
        assert player.in_time(long) == 1.0

    def test_without_the_reserve_short_work_waits_for_seconds(self, make_player):
        # What goes wrong without the rule: this keeps the tests above honest.
        player, short, _ = self.play(make_player, 2, True, short_presence=0.0)
        assert player.in_time(short) < 0.9

    def test_long_work_alone_gets_all_slots(self, make_player):
        player = make_player()
        for i in range(4):
            player.arrive(
                0.1 * i, 3.0, kind="reconcile", request_class="batch", deadline=60.0
            )
        player.run()
        assert player.most_running == 2

    def test_unlabelled_long_kind_is_learned(self, make_player):
        # Operators forgot to call an export batch work. It shows by its time.
        player = make_player()
        player.stream(0, 60, 30, 0.015)
        for i in range(20):
            player.arrive(2.0 * i, 2.0, kind="export", caller="e", deadline=120.0)
        late = player.stream(20, 60, 10, 0.015, seed=9, caller="live")
        player.run()
        assert player.queue.costs.is_long("export")
        assert player.in_time(late) > 0.99


class TestSlowTarget:
    def test_waiting_requests_are_refused_when_it_becomes_certain(self, make_player):
        # The target stalls with a full queue. What waits is refused as soon as it
        # can't be answered in time, and before its deadline.
        player = make_player()
        player.stream(0, 2, 80, 0.02)
        stuck = [player.arrive(2.0 + 0.001 * i, 10.0, caller="s") for i in range(2)]
        waiting = [player.arrive(2.1 + i * 0.01, 0.02, caller="w") for i in range(20)]
        player.run()
        assert not any(name in player.answers for name in waiting)
        for name in waiting:
            at, refusal = player.refusals[name]
            assert at < player.tickets[name].deadline
            assert refusal.retry_after > 0
        assert all(name in player.started for name in stuck)

    def test_recovered_target_is_used_again(self, make_player):
        # Every answer was slower than the deadlines for a while. If the learned cost
        # alone turned everything away, nobody would see that it has recovered.
        player = make_player()
        player.stream(0, 2, 80, 0.02)
        player.run(until=2.0)
        player.slowdown = 100.0
        player.stream(2, 10, 80, 0.02, seed=2)
        player.run(until=10.0)
        player.slowdown = 1.0
        after = player.stream(14, 20, 50, 0.02, seed=3)
        player.run()
        assert player.in_time(after) > 0.95


class TestColdTarget:
    def test_never_more_than_one_at_first(self, make_player):
        player = make_player(is_warm=False)
        player.stream(0, 0.1, 500, 0.02)
        player.run(until=0.1)
        assert player.most_running == 1

    def test_answers_of_a_cold_target_are_not_taken_for_its_pace(self, make_player):
        # A new lead finds the target cold, three times slower. Learned as its pace,
        # that would make every cold answer look warm.
        player = make_player(is_warm=False)
        player.slowdown = 3.0
        player.stream(0, 3, 15, 0.02)
        player.run()
        assert player.most_running == 1
        player.queue.costs.observe("lookup", 0.02, True)
        assert player.queue.costs.mean("lookup") == 0.02
        player.queue.costs.observe("lookup", 0.06, True, is_warm=False)
        assert player.queue.costs.mean("lookup") == 0.02

    def test_cold_again_with_a_full_queue_turns_away_at_once(self, make_player):
        # The target restarts without warning while fifty wait. At one slot most of
        # them can't be answered, and they hear of it now rather than at the deadline.
        player = make_player(slots=4)
        player.queue.costs.observe("lookup", 0.04, True)
        for i in range(80):
            player.arrive(0.0001 * i, 0.04, caller=f"c{i}", deadline=1.6)
        player.run(until=0.1)
        before = player.queue.waiting
        player.queue.seen("another", 0.1)
        assert player.queue.next_expiry() == float("-inf")
        refusals = player.queue.expired(0.1)
        assert before / 3 < len(refusals) < before
        assert player.queue.ramp.limit(0.1) == 1


class TestTicketLife:
    def test_cancelled_while_waiting_never_starts(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        queue.offer(make_ticket("a"), 0.0)
        queue.offer(make_ticket("b"), 0.0)
        assert not queue.cancelled("b", 0.0)
        assert queue.finished("a", 0.1, 0.1, AttemptOutcome.ANSWERED) == []
        assert queue.next_expiry() is None

    def test_cancelled_in_a_slot_keeps_the_slot(self, make_ticket):
        # The caller has gone but the target still works. Giving the slot away before
        # the target has confirmed would put one too many on it.
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        queue.offer(make_ticket("a"), 0.0)
        assert queue.cancelled("a", 0.0)
        assert isinstance(queue.offer(make_ticket("b"), 0.0), Wait)
        assert [
            t.id for t in queue.finished("a", 0.1, 0.1, AttemptOutcome.CANCELLED)
        ] == ["b"]

    def test_finished_twice_frees_one_slot(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        for name in "abc":
            queue.offer(make_ticket(name), 0.0)
        assert len(queue.finished("a", 0.1, 0.1, AttemptOutcome.ANSWERED)) == 1
        assert queue.finished("a", 0.1, 0.1, AttemptOutcome.ANSWERED) == []

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
    def test_hands_out_what_waits_and_refuses_the_rest(self, make_ticket):
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        for name in "abc":
            queue.offer(make_ticket(name), 0.0)
        assert [ticket.id for ticket in queue.drain()] == ["b", "c"]
        decision = queue.offer(make_ticket("d"), 0.0)
        assert isinstance(decision, Refuse)
        assert decision.reason is RefuseReason.DRAINING
        assert queue.finished("a", 0.1, 0.1, AttemptOutcome.ANSWERED) == []


class TestPause:
    def test_paused_queue_keeps_its_tickets(self, make_ticket):
        # The target's process is gone and connections are refused. Sending on would
        # burn the whole queue in the moment before the keys move.
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        queue.pause(0.4)
        assert isinstance(queue.offer(make_ticket("a"), 0.0), Wait)
        assert queue.seen("x", 0.1) == []
        assert [ticket.id for ticket in queue.resume(0.2)] == ["a"]


def values(thing):
    """Return what a decision keeps in its slots, as text."""
    names = getattr(type(thing), "__slots__", None) or vars(thing)
    return {name: str(getattr(thing, name)) for name in names}


class TestThresholds:
    def test_of_a_later_sheet_hold_for_what_comes(self):
        # Operators raise the share of batch work in the sheet of the afternoon. The
        # sheet is in force on every VM, but a queue that has been there since the
        # morning would go on by the old share until its target changes hands.
        changed = DEFAULTS.replaced(
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
            found, wanted = values(getattr(old, part)), values(getattr(new, part))
            for fields in (found, wanted):
                fields.pop("_rng", None)
                fields.pop("_load", None)
            assert found == wanted, part
        assert old._queue_limit == new._queue_limit
        assert old._wait_share == new._wait_share
        assert old._fair._returning == new._fair._returning

    def test_weight_of_a_flow_that_waits_changes(self):
        # The same, for a class whose work waits already.
        queue = TargetQueue(1, DEFAULTS, Random(1), 0.0)
        leaf = queue._fair.leaf((("short", 1.0), ("batch", 1.0)))
        assert queue._fair.leaf((("short", 1.0), ("batch", 7.0))) is leaf
        assert leaf.weight == 7.0
