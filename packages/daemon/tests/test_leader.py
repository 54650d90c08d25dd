"""Tests of the only sender to a target."""

from __future__ import annotations

import asyncio
import time

import pytest
from berylstage_daemon.answers import Outcome, not_run
from berylstage_daemon.clock import now
from berylstage_ownership.routing import Permit
from berylstage_targets.errors import NotRun


class TestSending:
    def test_request_carries_fence_epoch_and_id(self, make_rig, let_run):
        async def play():
            rig = make_rig()
            task = rig.run(rig.request("r1"))
            await let_run()
            rig.target.answer()
            return rig, await task

        rig, answer = asyncio.run(play())
        (sent,) = rig.target.sent
        assert (sent.fence, sent.epoch, sent.shard) == (7, 3, "field-log/7")
        assert answer.outcome is Outcome.ANSWERED
        assert answer.body == b"done"
        assert rig.control.in_flight == 0

    def test_work_that_may_not_be_repeated_gets_a_new_connection(
        self, make_rig, let_run
    ):
        # A connection in the pool has gone silent: a firewall forgot it. A dispatch
        # sent on it would end as unknown, and somebody would have to look up by hand
        # whether the motor was shipped.
        async def play():
            rig = make_rig()
            task = rig.run(rig.request(repeatable=False))
            await let_run()
            rig.target.answer()
            await task
            return rig.target.sent[0]

        assert asyncio.run(play()).fresh_connection

    def test_repeatable_work_is_given_up_before_its_deadline(self, make_rig, let_run):
        # A lookup goes out on a connection that has gone silent. With the whole
        # deadline as its time-out the technician would wait it out for nothing.
        async def play():
            rig = make_rig()
            task = rig.run(rig.request())
            await let_run()
            rig.target.answer()
            await task
            return rig.target.sent[0]

        assert asyncio.run(play()).timeout < 5.0

    def test_permit_is_asked_for_after_the_wait(self, make_rig, let_run):
        # A request waits for a slot while this VM's lease lapses and another VM takes
        # over. Sent with the permit of its arrival it would run beside the key's new
        # owner, and a visit would be recorded twice.
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            rig.permit = not_run("no-lease")
            rig.target.answer()
            await first
            return rig, await second

        rig, answer = asyncio.run(play())
        assert len(rig.target.sent) == 1
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason == "no-lease"
        assert rig.leader.queue.running == 0

    def test_draining_target_is_reported_to_the_core(self, make_rig, let_run):
        # A target begins to drain before the sheet says so. Unless the core hears of
        # it, its keys stay there and every request for them is refused.
        async def play():
            rig = make_rig()
            task = rig.run(rig.request())
            await let_run()
            rig.target.fail(NotRun("it drains", "draining"))
            return rig, await task

        rig, answer = asyncio.run(play())
        assert rig.control.unwilling == [("field-log-01", "draining")]
        assert answer.outcome is Outcome.NOT_RUN


class TestSlots:
    def test_unanswered_work_keeps_its_slot_until_the_target_confirms(
        self, make_rig, let_run
    ):
        # The answer to a request is lost while the target still works on it. Given on
        # at once, the slot would put two requests on a target that bears one.
        async def play():
            rig = make_rig()
            rig.target.confirms = False
            first, second = await rig.two()
            rig.target.fail(rig.lost())
            answer = await first
            await let_run()
            second.cancel()
            return rig, answer

        rig, answer = asyncio.run(play())
        assert answer.outcome is Outcome.UNKNOWN
        assert rig.target.cancelled == [rig.target.sent[0].request_id]
        assert len(rig.target.sent) == 1
        assert rig.control.in_flight == 1

    def test_confirmed_cancellation_frees_the_slot(self, make_rig, let_run):
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            rig.target.fail(rig.lost())
            await first
            await let_run()
            rig.target.answer(1)
            return rig, await second

        rig, answer = asyncio.run(play())
        assert answer.outcome is Outcome.ANSWERED
        assert rig.control.in_flight == 0

    def test_caller_that_goes_away_is_cancelled_at_the_target(self, make_rig, let_run):
        # A technician closes the app while a lookup runs. Unless the target is told,
        # it works for nobody while others wait for the slot.
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            first.cancel()
            await let_run()
            rig.target.answer(1)
            return rig, await second

        rig, answer = asyncio.run(play())
        assert rig.target.cancelled == [rig.target.sent[0].request_id]
        assert answer.outcome is Outcome.ANSWERED

    def test_waiting_caller_that_goes_away_leaves_the_queue(self, make_rig, let_run):
        # Callers give up while they wait. Left in the queue they would be sent later,
        # one after the other, for nobody.
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            second.cancel()
            await let_run()
            rig.target.answer()
            await first
            await let_run()
            return rig

        rig = asyncio.run(play())
        assert len(rig.target.sent) == 1
        assert rig.leader.queue.waiting == 0
        assert rig.leader.queue.running == 0

    def test_replaced_target_turns_away_who_waits_at_once(self, make_rig, let_run):
        # A target is replaced at another address while requests wait for the old one.
        # Left alone they would wait for a slot that never comes, until their deadline.
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            rig.leader.retire()
            answer = await second
            rig.target.answer()
            await first
            return answer

        answer = asyncio.run(play())
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.retry_after > 0


class TestDeclines:
    def test_busy_target_hands_it_back_at_once(self, make_rig, let_run):
        # All slots are taken, and the request could go to another target. Held here it
        # would wait while the other one idles.
        async def play():
            rig = make_rig()
            first = rig.run(rig.request("first"))
            await let_run()
            answer = await rig.leader.run(
                rig.request("second"), "", lambda: rig.permit, may_decline=True
            )
            rig.target.answer()
            await first
            return answer, rig

        answer, rig = asyncio.run(play())
        assert answer.outcome is Outcome.NOT_RUN
        assert answer.reason == "busy"
        assert len(rig.target.sent) == 1
        assert rig.leader.queue.waiting == rig.leader.queue.running == 0


class TestUnforeseenErrors:
    def test_client_that_fails_frees_its_slot_in_the_end(self, make_rig, let_run):
        # The HTTP library raises an error that nobody foresaw. A slot that is lost
        # each time leaves a target idle while its callers are turned away.
        async def play():
            rig = make_rig()
            task = rig.run(rig.request())
            await let_run()
            rig.target.fail(RuntimeError("no such option"))
            await asyncio.wait([task])
            await let_run()
            return rig

        rig = asyncio.run(play())
        assert rig.leader.queue.running == 0
        assert rig.control.in_flight == 0

    def test_permit_that_fails_frees_its_slot(self, make_rig):
        # The question whether a request may be sent fails: the sheet has just removed
        # the target.
        async def play():
            rig = make_rig()

            def permit():
                raise KeyError("field-log-01")

            work = rig.leader.run(rig.request(), "field-log/7", permit)
            await asyncio.wait([asyncio.ensure_future(work)])
            return rig.leader.queue.running

        assert asyncio.run(play()) == 0

    def test_cancellation_that_fails_is_waited_out(self, make_rig, let_run):
        # The order to cancel cannot even be made. The slot must come back with the
        # deadline that the target was told.
        async def play():
            rig = make_rig()

            async def cancel(request_id):
                raise RuntimeError("no file descriptors left")

            rig.target.cancel = cancel
            task = rig.run(rig.request(seconds=0.05))
            await let_run()
            rig.target.fail(rig.lost())
            await task
            async with asyncio.timeout(5.0):
                while rig.leader.queue.running:
                    await asyncio.sleep(0.01)
            return rig.control.in_flight

        assert asyncio.run(play()) == 0


class TestCrowds:
    def test_hundreds_of_callers_leave_at_once(self, make_rig, let_run):
        # A VM is lost, and with it all callers that it passed on. Their places in the
        # queue are passed over at the next answer, which must still reach its caller.
        async def play():
            rig = make_rig()
            rig.leader.queue._queue_limit = 2000
            first = rig.run(rig.request("first"))
            await let_run()
            crowd = [rig.run(rig.request(f"r{n}")) for n in range(1500)]
            await let_run()
            rig.target.answer()
            for task in crowd:
                task.cancel()
            return await first, rig

        answer, rig = asyncio.run(play())
        assert answer.outcome is Outcome.ANSWERED
        assert rig.leader.queue.running == 0


class TestIds:
    def test_two_leads_never_use_the_same_id(self, make_rig, let_run):
        # Two callers number their requests from one, and the lead of their target has
        # moved in between. A late cancellation of the first must not hit the second.
        async def play():
            ids = []
            for _ in range(2):
                rig = make_rig()
                task = rig.run(rig.request("1"))
                await let_run()
                ids.append(rig.target.sent[0].request_id)
                rig.target.answer()
                await task
            return ids

        first, second = asyncio.run(play())
        assert first != second
        assert first.partition("#")[0] == "1"


class TestMoves:
    def test_shard_that_went_to_another_target_is_not_sent_here(
        self, make_rig, let_run
    ):
        # A VM leads two targets, and a shard moves from one to the other while its
        # request waits. Sent to the old one it would run where the key lives no more.
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            rig.permit = Permit("field-log-02", 9, 3)
            rig.target.answer()
            await first
            await let_run()
            return second.done() and second.result(), rig

        answer, rig = asyncio.run(play())
        assert answer and answer.outcome is Outcome.NOT_RUN
        assert answer.reason == "moved"
        assert len(rig.target.sent) == 1
        assert rig.leader.queue.running == 0

    @pytest.mark.parametrize(
        "leave, reason",
        [
            (Permit("field-log-02", 9, 3), "moved"),
            (not_run("not-leader"), "not-leader"),
        ],
    )
    def test_who_waits_for_a_lost_shard_is_turned_away_first(
        self, make_rig, let_run, leave, reason
    ):
        # An order waits for a slot when its shard moves. It was never sent; kept in
        # the queue it would be handed to the new VM as one that may have run.
        async def play():
            rig = make_rig()
            first = rig.run(rig.request("first"))
            await let_run()
            second = rig.run(rig.request("second", repeatable=False))
            await let_run()
            rig.permit = leave
            rig.leader.look_again()
            await let_run()
            waiting = rig.leader.queue.waiting
            answer = second.done() and second.result()
            rig.target.answer()
            await first
            return answer, waiting

        answer, waiting = asyncio.run(play())
        assert answer and answer.reason == reason
        assert answer.outcome is Outcome.NOT_RUN
        assert waiting == 0

    @pytest.mark.parametrize("reason", ["no-lease", "moving", "target-down"])
    def test_who_waits_stays_while_it_may_pass(self, make_rig, let_run, reason):
        # A lease is confirmed again within milliseconds. Turned away, all who wait
        # would come back at once.
        async def play():
            rig = make_rig()
            first, second = await rig.two()
            kept, rig.permit = rig.permit, not_run(reason)
            rig.leader.look_again()
            await let_run()
            rig.permit = kept
            rig.target.answer()
            await first
            await let_run()
            rig.target.answer(1)
            return await second

        assert asyncio.run(play()).outcome is Outcome.ANSWERED


class TestDeadlines:
    def test_target_is_told_no_later_deadline_than_the_permit_says(
        self, make_rig, let_run
    ):
        # A caller asks for two minutes at a target that checks no fence tokens. Who
        # takes the shard over from a lost VM waits for the sheet's longest deadline,
        # and would begin while the target still works on this one.
        async def play():
            rig = make_rig()
            rig.permit = Permit("field-log-01", 7, 3, 2.0)
            ends = []
            rig.control.work_started = lambda target, shard, end: ends.append(end)
            task = rig.run(rig.request(seconds=120.0))
            await let_run()
            (sent,) = rig.target.sent
            latest = time.time() + 2.0, now() + 2.0
            rig.target.answer()
            await task
            return sent, ends, latest

        sent, (end,), (latest, latest_end) = asyncio.run(play())
        assert sent.deadline <= latest
        assert sent.timeout <= 2.0
        assert end <= latest_end

    def test_time_out_a_hair_before_the_deadline_is_the_deadline(
        self, make_rig, let_run
    ):
        # The time-out of a call is cut to whole milliseconds, so that it fires just
        # before the deadline. The caller must not read that the target gave no answer
        # in time that it still had.
        async def play():
            rig = make_rig()
            task = rig.run(rig.request(repeatable=False, seconds=0.015))
            await let_run()
            rig.target.fail(rig.lost())
            return await task

        answer = asyncio.run(play())
        assert (answer.reason, answer.status) == ("deadline", 504)


class TestColdStart:
    def test_word_of_cold_counts_before_the_sign_of_life(self, make_rig, let_run):
        # A request got no answer, so that the leader doubts the target and holds the
        # others back. The target's next answer to a grant ends the doubt and says that
        # it has turned cold. Read in that order, two requests would start at a target
        # that bears one, and it would fall over.
        async def play():
            rig = make_rig(slots=2)
            await rig.warm_up()
            rig.leader.queue.ramp.suspect_restart(now())
            before = len(rig.target.sent)
            tasks = [rig.run(rig.request(str(number))) for number in range(3)]
            await let_run()
            rig.leader.seen("run-1", True)
            await let_run()
            for task in tasks:
                task.cancel()
            return len(rig.target.sent) - before

        assert asyncio.run(play()) == 1
