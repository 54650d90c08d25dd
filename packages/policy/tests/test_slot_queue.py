"""Tests of the one queue before the slots of some targets."""

from __future__ import annotations

from random import Random

from berylstage_policy.slot_queue import (
    ADMITTED_WITHIN,
    PLACE_MEMORY,
    UNDER_WAY,
    Place,
    RequestId,
    Say,
    ServiceTimes,
    SlotQueue,
    TargetReport,
)

WORK = 0.1
OBJECTIVE = 0.3
DEADLINE = 0.8


class Times(ServiceTimes):
    """All requests take the same, times the pace of the target."""

    def __init__(self):
        self.paces = {}
        self.far = {}

    def seconds(self, target, kind):
        return WORK * self.paces.get(target, 1.0)

    def distance(self, target, origin, kind):
        return self.far.get((target, origin), 0.0)


def place(number, now, priority=1, objective=OBJECTIVE, host="vm-1"):
    wanted, deadline = now + objective, now + DEADLINE
    ident = RequestId(host, number)
    return Place(ident, "kind", "dc-1", priority, wanted, objective, deadline, now)


def queue(slots=2, **targets):
    each = SlotQueue(Times())
    each.know(targets or {"a": slots})
    return each


def said(verdicts, say):
    return [v.ident.number for v in verdicts if v.say is say]


def number(n, host="vm-1"):
    return RequestId(host, n)


class TestEnd:
    def test_all_that_wait_are_sent_away_and_those_that_went_are_not(self):
        # Guards against a queue whose VM stops while requests wait in it for nothing.
        each = queue(slots=1)
        for n in range(3):
            each.ask(place(n, 0.0), 0.0)
        assert said(each.send_away(), Say.ELSEWHERE) == [1, 2]
        assert len(each) == 0
        assert each.returned(number(0), 0.1) == []


class TestOrder:
    def test_as_many_go_as_there_are_slots(self):
        # Nine VMs that each see a free slot send nine requests to a target with two.
        each = queue()
        verdicts = [v for n in range(4) for v in each.ask(place(n, 0.0), 0.0)]
        assert said(verdicts, Say.GO) == [0, 1]
        assert said(verdicts, Say.WAIT) == [2, 3]
        assert said(each.returned(number(1), 0.05), Say.GO) == [2]

    def test_more_urgent_request_goes_first(self):
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0, priority=2), 0.0)
        each.ask(place(2, 0.01, priority=0), 0.01)
        assert said(each.returned(number(0), 0.1), Say.GO) == [2]

    def test_least_time_left_goes_first_among_equals(self):
        # A caller that was refused before has less time left than one that has just
        # come.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0, objective=0.32), 0.0)
        each.ask(place(2, 0.01, objective=0.25), 0.01)
        assert said(each.returned(number(0), 0.1), Say.GO) == [2]

    def test_request_that_will_be_late_gives_way_and_is_told(self):
        # A neighbour slows the target, and the first of its queue would be late. Served
        # in turn, each later one would be late as well.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0), 0.0)
        each.ask(place(2, 0.1), 0.1)
        verdicts = each.returned(number(0), 0.25)
        assert said(verdicts, Say.REFUSED) == [1]
        assert said(verdicts, Say.GO) == [2]

    def test_late_request_is_served_when_nothing_better_waits(self):
        # A late answer is better than none, and the slot stands idle.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0), 0.0)
        assert said(each.returned(number(0), 0.25), Say.GO) == [1]

    def test_nearest_of_the_fastest_free_targets_is_taken(self):
        each = queue(a=1, b=1, c=1)
        for name in ("a", "b", "c"):
            each._slots[name].given_at = 0.0
        each._times.paces = {"a": 1.0, "b": 1.2, "c": 3.0}
        each._times.far = {("a", "dc-1"): 0.08}
        verdicts = [v for n in range(3) for v in each.ask(place(n, 0.0), 0.0)]
        assert [v.target for v in verdicts] == ["b", "a", "c"]

    def test_idle_target_gets_a_request_now_and_then(self):
        # A target has just come, or was slow when it was heard of last, and the others
        # have slots free all the time. It would stand idle for ever.
        each = queue(a=2, b=2)
        each._times.paces = {"b": 1.5}
        told = []
        for n in range(40):
            now = n * 0.2
            told += [v.target for v in each.ask(place(n, now), now)]
            each.returned(number(n), now + 0.1)
        assert 4 <= told.count("b") <= 12

    def test_idle_target_elsewhere_is_left_to_its_own_data_centre(self):
        # Bytes that cross are paid for, and the requests of its own data centre will
        # tell how it is.
        each = queue(a=2, b=2)
        each._times.far = {("b", "dc-1"): 0.3}
        for n in range(20):
            now = n * 0.2
            assert [v.target for v in each.ask(place(n, now), now)] == ["a"]
            each.returned(number(n), now + 0.1)

    def test_idle_target_is_not_tried_where_it_would_be_too_slow(self):
        each = queue(a=2, b=2)
        each._times.paces = {"b": 4.0}
        told = [v.target for v in each.ask(place(0, 0.0), 0.0)]
        assert told == ["a"]


class TestAdmission:
    def test_request_that_cannot_be_in_time_is_refused_at_once(self):
        # More requests than slots for seconds. One that waits for nothing costs its
        # caller the time in which it could be served elsewhere or later.
        each = queue(1)
        verdicts = [v for n in range(9) for v in each.ask(place(n, 0.0), 0.0)]
        refused = [v for v in verdicts if v.say is Say.REFUSED]
        assert said(verdicts, Say.GO) == [0]
        assert len(said(verdicts, Say.WAIT)) == int(ADMITTED_WITHIN * 3) - 1
        # There is room when what is ahead of it has gone.
        assert all(0.04 < v.seconds < 0.2 for v in refused)

    def test_urgent_request_is_let_in_before_others_that_wait(self):
        each = queue(1)
        for n in range(9):
            each.ask(place(n, 0.0), 0.0)
        verdicts = each.ask(place(10, 0.0, priority=0), 0.0)
        assert said(verdicts, Say.WAIT) == [10]

    def test_slots_that_others_use_are_not_given_out(self):
        # Some VMs have lost the keeper and send without turns. What the target tells
        # shows them.
        each = queue(2)
        each.ask(place(0, 0.0), 0.0)
        verdicts = each.returned(number(0), 0.1, TargetReport("a", 2))
        assert verdicts == []
        assert said(each.ask(place(1, 0.11), 0.11), Say.WAIT) == [1]
        assert said(each.due(0.3), Say.GO) == []
        # What others did a while ago says nothing any more.
        assert said(each.due(0.5), Say.GO) == [1]

    def test_nobody_waits_for_a_target_that_has_fallen_silent(self):
        # A target takes requests and answers none. Those that came after would wait for
        # its slots until their time is over, and could be told at once.
        each = queue(2)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0), 0.0)
        assert said(each.ask(place(2, 0.7), 0.7), Say.REFUSED) == [2]

    def test_kind_that_once_took_long_is_not_refused_before_idle_slots(self):
        # The first requests of a kind met slow machines, and it is believed to take far
        # longer than its objective. All of them were refused for a whole day, before
        # targets that stood idle: none went to show how long they take now.
        each = queue()
        each._times.paces["a"] = 2 * ADMITTED_WITHIN * OBJECTIVE / WORK
        assert said(each.ask(place(0, 0.0), 0.0), Say.GO) == [0]
        assert said(each.ask(place(1, 0.0), 0.0), Say.GO) == [1]
        assert said(each.ask(place(2, 0.0), 0.0), Say.REFUSED) == [2]

    def test_request_with_little_time_left_is_refused_rather_than_held(self):
        # A caller that was refused before comes back with less time than its answer
        # would take. Held until that is over, it gets neither an answer nor the word
        # that it had better go elsewhere.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        short = place(1, 0.0)
        short.deadline = 1.5 * WORK
        assert said(each.ask(short, 0.0), Say.REFUSED) == [1]

    def test_request_that_waits_is_told_when_there_is_no_hope_left(self):
        # A target falls silent, or its machine turns slow, after requests were let in
        # behind its work. They waited until their deadlines.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        waiting = place(1, 0.0)
        assert said(each.ask(waiting, 0.0), Say.WAIT) == [1]
        moment, told = 0.0, []
        while not told and moment < DEADLINE:
            moment += 0.1
            told = said(each.ask(place(1, 0.0), moment), Say.REFUSED)
        assert told == [1]
        assert moment < DEADLINE - WORK

    def test_slot_goes_to_a_late_answer_that_somebody_waits_for(self):
        # Two requests are late. One of them could be answered before its caller has
        # gone; a slot spent on the other serves nobody.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        hopeless, late = place(1, 0.0), place(2, 0.0)
        each.ask(hopeless, 0.0)
        each.ask(late, 0.0)
        for waiting in (hopeless, late):
            waiting.wanted = 0.05
            waiting.heard = 0.15
        hopeless.deadline = 0.2
        assert said(each.returned(number(0), 0.15), Say.GO) == [2]

    def test_tells_what_a_refusal_was_decided_by(self):
        each = queue(2)
        each.ask(place(0, 0.0), 0.0)
        each.returned(number(9), 0.0, TargetReport("a", 2))
        assert each.describe(0.1) == "a slots 2 permits 1 others 1"

    def test_no_target_is_no_room(self):
        each = SlotQueue(Times())
        assert said(each.ask(place(0, 0.0), 0.0), Say.REFUSED) == [0]


class TestLosses:
    def test_lost_word_to_go_is_said_again(self):
        # The datagram that told a request to go is lost, and the VM asks again.
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        assert said(each.ask(place(0, 0.03), 0.03), Say.GO) == [0]

    def test_lost_return_does_not_take_a_slot_out_of_use(self):
        # Five in two hundred datagrams are lost on a bad link. Each lost word that a
        # request is done would keep a slot idle until the request's deadline.
        each = queue(2)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0), 0.0)
        each.ask(place(2, 0.0), 0.0)
        verdicts = each.returned(number(1), 0.1, TargetReport("a", 0))
        assert said(verdicts, Say.GO) == [2]
        each.ask(place(3, 0.1), 0.1)
        assert len(each) == 0

    def test_request_on_its_way_is_not_taken_for_done(self):
        each = queue(2)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.1), 0.1)
        each.returned(number(0), 0.1 + UNDER_WAY / 2, TargetReport("a", 0))
        each.ask(place(2, 0.12), 0.12)
        assert said(each.ask(place(3, 0.12), 0.12), Say.WAIT) == [3]

    def test_place_of_a_lost_vm_is_given_up(self):
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        each.ask(place(1, 0.0, host="vm-2"), 0.0)
        each.due(PLACE_MEMORY + 0.01)
        assert len(each) == 0

    def test_permit_ends_with_its_deadline(self):
        each = queue(1)
        each.ask(place(0, 0.0), 0.0)
        later = DEADLINE + 0.01
        assert said(each.ask(place(1, later), later), Say.GO) == [1]

    def test_target_that_is_gone_gets_nothing(self):
        each = queue(a=1, b=1)
        each.know({"b": 1})
        assert each.ask(place(0, 0.0), 0.0)[0].target == "b"
        assert said(each.ask(place(1, 0.0), 0.0), Say.WAIT) == [1]


class FirstComeFirstServed:
    """The target's own queue, with requests let in up to 1.4 objectives."""

    def __init__(self):
        self.free = [0.0] * 4

    def done(self, now, work):
        start = max(now, min(self.free))
        if start + WORK - now > 1.4 * OBJECTIVE:
            return None
        self.free.remove(min(self.free))
        self.free.append(start + work)
        return start + work


def play_plain(load, seconds=30.0):
    """Return the share of the slots' time that brings answers in time."""
    rng, now, good, each = Random(1), 0.0, 0, FirstComeFirstServed()
    while now < seconds:
        now += rng.expovariate(load * 4 / WORK)
        done = each.done(now, WORK * rng.uniform(0.5, 1.5))
        good += done is not None and done - now <= OBJECTIVE
    return good / (seconds * 4 / WORK)


def play(load, seconds=30.0):
    """Return the shares of requests and of slots' time with answers in time."""
    rng, each = Random(1), queue(4)
    events = [(0.0, "come", 0)]
    came, good = {}, 0
    while events[0][0] < seconds:
        now, what, n = events.pop(0)
        if what == "come":
            came[n] = now
            verdicts = each.ask(place(n, now), now)
            gap = rng.expovariate(load * 4 / WORK)
            events.append((now + gap, "come", n + 1))
        else:
            good += now - came[n] <= OBJECTIVE
            verdicts = each.returned(number(n), now)
        for waiting in each._waiting:
            waiting.heard = now
        for gone in said(verdicts, Say.GO):
            events.append((now + WORK * rng.uniform(0.5, 1.5), "done", gone))
        events.sort()
    return good / len(came), good / (seconds * 4 / WORK)


class TestOverload:
    def test_slots_are_spent_on_answers_in_time(self):
        # 1.3 times as many requests as the slots can serve, for half a minute. First
        # come, first served fills the queue, and most answers come just too late.
        assert play(1.3)[1] > 2 * play_plain(1.3)

    def test_nearly_all_are_served_in_time_below_capacity(self):
        assert play(0.7)[0] > 0.97
