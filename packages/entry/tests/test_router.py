"""Tests of the way of one request."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry import cold_targets
from berylstage_entry.assignment import Assignment, KeyRange
from berylstage_entry.clock import now
from berylstage_entry.directory import Directory
from berylstage_entry.errors import BadRequest, Refused, TurnRefused, Unanswered
from berylstage_entry.router import Router
from berylstage_entry.routes import Route, Share
from berylstage_entry.services import Configuration, Service
from berylstage_entry.targets import LoadReport
from berylstage_entry.turn_messages import checksum
from berylstage_entry.turns import Turn
from berylstage_entry.wire import CallerRequest, Record, TargetAnswer
from berylstage_transfers.errors import AnswerLost, NeverSent
from fakes import BOUNDS, LIMITS, target


class Feed:
    """Assignments as a feed keeps them."""

    def __init__(self, owner="a", former=""):
        self.revisions = {"s": 4}
        self.hurried = 0
        self.assignments = {
            "s": Assignment([KeyRange(0, 65535, owner, 1, 5, former)], 9)
        }

    def hurry(self):
        self.hurried += 1

    def move_to(self, owner):
        self.revisions = {"s": 5}
        self.assignments = {"s": Assignment([KeyRange(0, 65535, owner, 1, 6)], 9)}


class Sender:
    """Answers as a script says, one entry for each attempt."""

    def __init__(self, name, senders):
        self.name = name
        self._senders = senders

    async def send(self, req, seconds, fresh=False):
        self._senders.sent.append(self.name)
        step = self._senders.script.pop(0) if self._senders.script else "ok"
        if callable(step):
            step = step()
        if isinstance(step, Exception):
            raise step
        return ANSWERS[step]


class Senders:
    def __init__(self, script):
        self.script = list(script)
        self.sent = []

    def get(self, target, connections):
        return Sender(target.name, self)

    def retain(self, names):
        pass


def answer(status, not_run=False, misdirected=False, load=None):
    return TargetAnswer(status, [], b"", not_run, misdirected, not not_run, load, False)


ANSWERS = {
    "ok": answer(200),
    "full": answer(503, not_run=True),
    "elsewhere": answer(421, not_run=True, misdirected=True),
    "failed": answer(500),
}
LOST = AnswerLost("reset")
UNSENT = NeverSent("refused")


def play(
    script,
    idempotent=True,
    owns_keys=False,
    names=("a", "b", "c"),
    feed=None,
    turns=None,
    time_left=1.0,
    beside=None,
    directory=None,
    **assignment,
):
    """Serve one request; return how it ended and where it was sent."""
    route = Route("r", "h", "/a/", [Share("s", 1.0)], idempotent, 3, 1.0, 0.3, 1)
    service = Service("s", "/", 50, 3.0, 5.0, owns_keys)
    directory = directory or Directory()
    cfg = Configuration(1, [route], [service], LIMITS)
    directory.apply(Record(configuration=cfg), now(), False)
    for name in names:
        directory.apply(Record(target=target(name)), now(), False)
    senders = Senders(script)
    feed = feed or Feed(**assignment)
    router = Router(directory, feed, senders, BOUNDS, Random(1))
    router.turns = turns
    key = 7 if owns_keys else None
    req = CallerRequest("id", "GET", "h", "/a/x?y", {}, time_left, key)

    async def serve():
        task = asyncio.create_task(beside()) if beside is not None else None
        try:
            return await router.serve(req)
        finally:
            if task is not None:
                task.cancel()

    try:
        done = asyncio.run(serve())
    except (BadRequest, Refused, Unanswered) as exc:
        return exc, senders.sent
    return done.answer.status, senders.sent


class TestRouter:
    def test_full_target_gives_way_to_another(self):
        status, sent = play(["full", "ok"], idempotent=False)
        assert status == 200
        assert len(set(sent)) == 2

    def test_order_whose_answer_was_lost_is_not_sent_again(self):
        # An order was sent and the connection broke before its answer. It may have been
        # carried out; sent again it would ship a second motor.
        ended, sent = play([LOST, "ok"], idempotent=False)
        assert isinstance(ended, Unanswered)
        assert len(sent) == 1

    def test_order_that_never_left_is_sent_elsewhere(self):
        status, sent = play([UNSENT, "ok"], idempotent=False)
        assert status == 200
        assert len(sent) == 2

    def test_lookup_whose_answer_was_lost_is_sent_again(self):
        status, sent = play([LOST, "ok"])
        assert status == 200
        assert len(set(sent)) == 2

    def test_refusal_is_never_given_for_what_may_have_run(self):
        # The first target broke off and the others are full. A refusal would promise
        # that the request has not run.
        ended, _ = play([LOST, "full", "full", "full"])
        assert isinstance(ended, Unanswered)

    def test_target_failure_is_passed_on_when_nothing_better_comes(self):
        status, sent = play(["failed", "full", "full"])
        assert status == 500
        assert len(sent) == 3

    def test_attempts_are_bounded(self):
        ended, sent = play(["full"] * 9, names=("a", "b", "c", "d", "e", "f"))
        assert isinstance(ended, Refused)
        assert len(sent) == 3

    def test_owner_of_the_key_gets_the_request(self):
        assert play(["ok"], owns_keys=True, owner="b") == (200, ["b"])

    def test_key_on_the_move_is_refused_rather_than_held_to_the_end(self):
        began = now()
        ended, sent = play([], owns_keys=True, owner="b", former="a")
        assert isinstance(ended, Refused)
        # Whoever reads the log sees which move the request waited for.
        assert "owner b former a assignment 4" in ended.detail
        assert not sent
        assert now() - began < 0.7

    def test_owner_that_cannot_be_reached_is_not_asked_without_a_pause(self):
        # The owner of a key has crashed and its port resets each connection within a
        # millisecond. Its keys move a moment later. Asked without a pause, it gets
        # hundreds of connections for one request, and the VM has no time for others.
        _, sent = play([UNSENT] * 500, owns_keys=True, owner="b")
        assert len(sent) <= 6

    def test_owner_that_does_not_hold_the_key_is_asked_again_after_a_pause(self):
        # The grant of a key that has just moved is still on its way to its new owner,
        # which turns two requests away within a few milliseconds. Asked again at once,
        # the request has used up its attempts before the grant is there.
        began = now()
        assert play(["elsewhere", "ok"], owns_keys=True, owner="b")[0] == 200
        assert now() - began >= 0.04

    @pytest.mark.parametrize("full", ["full", LOST])
    def test_full_owner_is_asked_again_after_a_pause(self, full):
        # The owner of busy keys is full, and says so or resets the connection. A lookup
        # that is sent again within a millisecond is turned away again, and each time
        # takes a repeat from all other requests of the service.
        began = now()
        assert play([full, "ok"], owns_keys=True, owner="b")[0] == 200
        assert now() - began >= 0.04

    def test_new_owner_is_asked_at_once(self):
        # The owner turns a request away since the key has moved. The VM reads the new
        # assignment a moment later; the request has nothing to wait for any more.
        feed = Feed("b")

        def move(step):
            feed.move_to("c")
            return step

        began = now()
        script = [lambda: move("elsewhere"), "ok"]
        status, sent = play(script, owns_keys=True, feed=feed)
        assert (status, sent) == (200, ["b", "c"])
        assert now() - began < 0.04

    def test_caller_that_comes_back_waits_for_a_move_that_is_nearly_done(self):
        # A lookup was refused since its key was on the move. Its caller comes back with
        # less than half of the usual time, and the move ends a moment later: turned
        # away at once again, it would be lost.
        feed = Feed("a", former="b")

        async def end_of_move():
            await asyncio.sleep(0.1)
            feed.move_to("a")

        status, sent = play(
            ["ok"], owns_keys=True, feed=feed, time_left=0.45, beside=end_of_move
        )
        assert (status, sent) == (200, ["a"])

    def test_unknown_owner_has_the_store_read_sooner(self):
        feed = Feed("")
        play([], owns_keys=True, feed=feed)
        assert feed.hurried

    def test_unknown_route_is_told_from_a_missing_configuration(self):
        directory = Directory()
        router = Router(directory, Feed(), Senders([]), BOUNDS, Random(1))
        req = CallerRequest("id", "GET", "h", "/none/", {}, 1.0, None)
        with pytest.raises(Refused):
            asyncio.run(router.serve(req))
        cfg = Configuration(1, [], [], LIMITS)
        directory.apply(Record(configuration=cfg), now(), False)
        with pytest.raises(BadRequest):
            asyncio.run(router.serve(req))

    def owned(self, objective):
        """Return a router to one target with owned keys, and what it sends with."""
        route = Route("r", "h", "/a/", [Share("s", 1.0)], True, 3, 1.0, objective, 1)
        directory = Directory()
        cfg = Configuration(1, [route], [Service("s", "/", 50, 3.0, 5.0, True)], LIMITS)
        directory.apply(Record(configuration=cfg), now(), False)
        directory.apply(Record(target=target("a")), now(), False)
        senders = Senders(["ok"] * 9)
        return Router(directory, Feed(), senders, BOUNDS, Random(1)), senders

    def test_busy_owner_is_not_given_more_than_it_can_do_in_time(self):
        # Many VMs send to the owner of one key that asks for more than it can do. Its
        # reports tell of a long queue; one more request would wait there and be late.
        router, senders = self.owned(objective=0.3)
        req = CallerRequest("id", "GET", "h", "/a/", {}, 1.0, 7)
        asyncio.run(router.serve(req))
        router.loads.apply_remote_report("a", 12, 1.0, now())
        with pytest.raises(Refused):
            asyncio.run(router.serve(req))
        assert senders.sent == ["a"]

    def test_busy_owner_gets_nothing_that_it_cannot_do_in_the_time_left(self):
        # The same, with less of a queue, for a caller that was refused before: it would
        # wait for its answer until its time is over.
        router, senders = self.owned(objective=0.8)
        asyncio.run(router.serve(CallerRequest("1", "GET", "h", "/a/", {}, 1.0, 7)))
        loads = router.loads.for_service("s")
        router.loads.apply_remote_report("a", 4, 1.0, now())
        expected = loads.expected("a", "r", now())
        assert 0.05 < expected < 0.8
        with pytest.raises(Refused):
            short = CallerRequest("2", "GET", "h", "/a/", {}, 0.8 * expected, 7)
            asyncio.run(router.serve(short))
        assert senders.sent == ["a"]


class TestLoadReport:
    def test_holds_what_it_was_given(self):
        report = LoadReport(1, 2, 3, 1.5)
        assert (report.running, report.waiting, report.slots) == (1, 2, 3)


class GivenTurns:
    """Gives turns as a script says: a target, a refusal, or nothing."""

    def __init__(self, *script):
        self._script = list(script)
        self.asked = []
        self.given_back = []
        self.targets = []

    async def take(self, journey, queue, data_centre=""):
        self.asked.append(queue)
        step = self._script.pop(0)
        if isinstance(step, Exception):
            raise step
        if step is None:
            return None
        turn = Turn(len(self.asked), queue, "10.0.0.1")
        turn.target = checksum(step)
        return turn

    def done(self, turn, failed=False, load=None):
        self.given_back.append((turn.number, failed, load))
        self.targets.append(turn.target)


class TestTurns:
    def test_request_without_a_key_goes_where_its_turn_is(self):
        for name in ("a", "b", "c"):
            turns = GivenTurns(name)
            status, sent = play(["ok"], turns=turns)
            assert (status, sent) == (200, [name])
            assert turns.asked == ["s"]
            assert turns.given_back == [(1, False, None)]

    def test_request_without_a_turn_goes_by_what_its_vm_knows(self):
        # Nobody keeps the queue: its keeper is lost, or VMs are just starting.
        assert play(["ok"], turns=GivenTurns(None))[0] == 200
        assert play(["ok"], owns_keys=True, turns=GivenTurns(None))[0] == 200

    def test_turn_at_a_target_that_is_gone_is_given_back(self):
        turns = GivenTurns("z")
        assert play(["ok"], turns=turns)[0] == 200
        assert turns.given_back == [(1, False, None)]

    @pytest.mark.parametrize("given", ["a", None])
    def test_target_that_leaves_while_a_request_waits_gets_it_no_more(self, given):
        # Guards against requests at a target that left while they waited for their
        # turn, which takes as long as their objective.
        directory = Directory()

        class Leaving(GivenTurns):
            async def take(self, journey, queue, data_centre=""):
                for name in ("a", "b"):
                    record = Record(target=target(name, leaving=True))
                    directory.apply(record, now(), False)
                return await super().take(journey, queue, data_centre)

        _, sent = play([], turns=Leaving(given), directory=directory)
        assert sent == ["c"]

    def test_repeat_goes_around_what_failed_it(self):
        # The keeper does not know which target lost this request.
        turns = GivenTurns("a")
        status, sent = play([LOST, "ok"], turns=turns)
        assert status == 200
        assert sent[0] == "a" != sent[1]
        assert turns.given_back == [(1, True, None)]

    def test_target_that_sheds_requests_with_a_turn_is_asked_again_at_once(self):
        # Targets turn away half of the requests though they have slots free. A pause
        # before each repeat, and before the caller comes back, makes the answer late.
        turns = GivenTurns("a", "a")
        began = now()
        status, sent = play(["full", "ok"], owns_keys=True, turns=turns)
        assert (status, sent) == (200, ["a", "a"])
        assert now() - began < 0.04

    def test_caller_of_a_target_that_sheds_may_come_back_at_once(self):
        turns = GivenTurns("a", "a", TurnRefused(0.0))
        ended, _ = play(["full", "full"], owns_keys=True, turns=turns)
        assert isinstance(ended, Refused)
        assert ended.retry_after < 0.05

    def test_caller_that_leaves_says_nothing_about_the_target(self):
        # Callers leave while they wait. Told as failures of the target, they had it
        # left out for all requests.
        turns = GivenTurns("a")

        def leave():
            raise asyncio.CancelledError

        with pytest.raises(asyncio.CancelledError):
            play([leave], turns=turns)
        ((_, _, load),) = turns.given_back
        assert load is None
        assert turns.targets == [0]

    def test_refused_turn_tells_when_to_come_back(self):
        # The owner has enough to do. Its caller is told when there will be room, at
        # once, and all those refused at a time don't come back at the same moment.
        turns = GivenTurns(TurnRefused(0.2))
        ended, sent = play(["ok"], owns_keys=True, turns=turns)
        assert sent == []
        assert ended.reason == "owner-busy"
        assert 0.2 <= ended.retry_after <= 0.25

    def test_owner_that_left_while_nobody_gave_a_turn(self):
        # Guards against a request at a target that has left, or a fault where nothing
        # is known of it any more: the VM that keeps the queue is lost, and finding that
        # out takes time.
        feed, directory = Feed(), Directory()

        class Lost(GivenTurns):
            async def take(self, journey, queue, data_centre=""):
                if queue == "a":
                    directory.apply(Record(gone="a"), now(), False)
                    feed.move_to("b")
                return await super().take(journey, queue, data_centre)

        turns = Lost(None, None)
        status, sent = play(
            [], owns_keys=True, feed=feed, turns=turns, directory=directory
        )
        assert (status, sent) == (200, ["b"])

    def test_key_that_moved_while_its_request_waited(self):
        # The keys of a request go to another target while it waits for its turn at the
        # former one, which would turn it away.
        feed = Feed("a")

        class Moving(GivenTurns):
            async def take(self, journey, queue, data_centre=""):
                feed.move_to("b")
                return await super().take(journey, queue, data_centre)

        turns = Moving("a", "b")
        status, sent = play(["ok"], owns_keys=True, feed=feed, turns=turns)
        assert (status, sent) == (200, ["b"])
        assert turns.asked == ["a", "b"]
        assert [number for number, *_ in turns.given_back] == [1, 2]


class TestColdTargets:
    def test_who_warms_targets_up_is_worked_out_once(self, monkeypatch):
        # A data centre is added, and 36 of 120 targets are cold. Each request looked at
        # all of 195 VMs for each cold target: answers took longer the more VMs there
        # were.
        asked = []
        real = cold_targets.is_cold_sender
        monkeypatch.setattr(
            cold_targets,
            "is_cold_sender",
            lambda name, *rest: asked.append(name) or real(name, *rest),
        )
        service = Service("s", "/", 50, 3.0, 5.0, False)
        directory = Directory()
        for name in ("a", "b", "c"):
            cold = target(name, cold_left=9.0)
            directory.apply(Record(target=cold), now(), False)
        router = Router(directory, Feed(), Senders([]), BOUNDS, Random(1), "", "vm-1")
        router.cold.vm_names = [f"vm-{n}" for n in range(200)]
        first = [
            router.cold.may_send(name, service) for name in "abc" for _ in range(50)
        ]
        assert asked == ["a", "b", "c"]
        # It is worked out anew when VMs have come or gone.
        router.cold.vm_names = [*router.cold.vm_names, "vm-200"]
        again = [
            router.cold.may_send(name, service) for name in "abc" for _ in range(50)
        ]
        assert asked == ["a", "b", "c"] * 2
        assert len(first) == len(again)
