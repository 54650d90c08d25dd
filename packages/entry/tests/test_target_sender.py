"""Tests of the way that a request takes, and of what others are told about it."""

from __future__ import annotations

import asyncio
from math import inf
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import Refused, Unanswered
from berylstage_entry.permit_messages import checksum
from berylstage_entry.permits import Permit
from berylstage_entry.protocols import CallerRequest, Record, TargetAnswer
from berylstage_entry.relay_client import NoRelay, TargetDown
from berylstage_entry.relay_messages import RelayOutcome, RelayReply
from berylstage_entry.retry_budgets import RetryBudgets
from berylstage_entry.router import Router
from berylstage_transfers.errors import AnswerLost, NotConnected
from berylstage_transfers.send_queue import SendQueue
from fakes import BOUNDS, configuration, target
from virtual_time import virtual_loop

# Seconds for which the bytes of a late request wait behind others on the VM's own link,
# and for which its target works on it.
ACKNOWLEDGED_SECONDS = 0.45
SERVICE_SECONDS = 0.1
ANSWER = TargetAnswer(200, [], b"", False, False, True, None, False)
REJECTION = TargetAnswer(503, [], b"", True, False, True, None, False)


class StoreWatcher:
    """Knows no assignments: no service owns keys."""

    assignment_revisions: dict[str, int] = {}


class Client:
    """Connections to a target, which fail in one way or hang."""

    def __init__(self, clients):
        self._clients = clients
        self.status = 0
        self.acknowledged_at = inf

    async def send(self, req, seconds, fresh=False, attempt=None):
        self._clients.sent += 1
        outcome = self._clients.outcome
        if outcome in ("late", "late, rejected"):
            attempt.start(self, self)
            self.ended = asyncio.get_running_loop().create_future()
            self.acknowledged_at = now() + ACKNOWLEDGED_SECONDS
            try:
                async with asyncio.timeout(ACKNOWLEDGED_SECONDS + SERVICE_SECONDS):
                    await self.ended
            except TimeoutError:
                return ANSWER if outcome == "late" else REJECTION
        if outcome == "hang":
            attempt.start(self, self)
            self.ended = asyncio.get_running_loop().create_future()
            try:
                async with asyncio.timeout(seconds):
                    await self.ended
            except TimeoutError:
                raise AnswerLost("timed out") from None
        if isinstance(outcome, Exception):
            raise outcome
        return ANSWER

    def has_unacknowledged_bytes(self, call):
        return now() < self.acknowledged_at

    def find_send_queue(self, call):
        return SendQueue(0, 400)

    def abort(self, call, cause):
        if not self.ended.done():
            self.ended.set_exception(AnswerLost(cause))


class Clients:
    def __init__(self, outcome):
        self.outcome = outcome
        self.sent = 0

    def get(self, target, connections):
        return Client(self)

    def fail_queued(self, name, cause):
        pass

    def retain(self, names):
        pass


class Relay:
    """Another VM, which sends every request or fails in one way."""

    def __init__(self, failure=None, answer=ANSWER):
        self._failure = failure
        self._answer = answer
        self.asked = 0

    async def send(self, request, seconds):
        self.asked += 1
        if self._failure is not None:
            raise self._failure
        return RelayReply(RelayOutcome.ANSWERED, answer=self._answer), "vm-2"


class Permits:
    """Grants a permit for the target a, and keeps what is told at its release."""

    def __init__(self):
        self.told = []
        self.released_at = 0.0

    async def acquire(self, ctx, queue, data_centre=""):
        permit = Permit(1, queue, "10.0.0.1")
        permit.target = checksum("a")
        return permit

    def release(self, permit, failed=False, load=None):
        self.told.append((bool(permit.target), failed))
        self.released_at = now()


def serve(outcome, relay=None, method="GET", idempotent=True, run=asyncio.run):
    """Serve one request for the only target; return the result and the fakes."""
    view, clients, permits = ClusterView(), Clients(outcome), Permits()
    cfg = configuration(owns_keys=False)
    cfg.routes[0].idempotent = idempotent
    view.apply(Record(configuration=cfg), now(), False)
    view.apply(Record(target=target("a")), now(), False)
    req = CallerRequest("id", method, "h", "/a/x", {}, 0.8, None)

    async def scenario():
        router = Router(view, StoreWatcher(), clients, BOUNDS, Random(1))
        router.permit_client = permits
        router.sender.relay_client = relay
        router.links.start()
        try:
            return await router.serve(req)
        except (Refused, Unanswered) as exc:
            return exc
        finally:
            router.links.stop()

    return run(scenario()), clients, permits


class TestWay:
    def test_request_whose_target_answers_is_sent_directly(self):
        relay = Relay()
        result, clients, permits = serve(None, relay)
        assert (result.relay, clients.sent, relay.asked) == ("", 1, 0)
        assert permits.told == [(True, False)]

    def test_request_that_could_not_be_sent_goes_through_another_vm(self):
        result, clients, _ = serve(NotConnected("refused"), Relay())
        assert (result.relay, clients.sent) == ("vm-2", 1)

    def test_order_that_may_have_run_is_sent_by_nobody_else(self):
        # Guards against an order that runs twice.
        relay = Relay()
        result, _, _ = serve(AnswerLost("reset"), relay, "POST", idempotent=False)
        assert isinstance(result, Unanswered)
        assert relay.asked == 0

    @pytest.mark.parametrize("failure", [NoRelay("busy"), TargetDown("down")])
    def test_nobody_can_send_it(self, failure):
        result, _, _ = serve(NotConnected("refused"), Relay(failure))
        assert isinstance(result, Refused)

    def test_there_is_no_other_vm(self):
        result, clients, _ = serve(NotConnected("refused"))
        assert isinstance(result, Refused)
        assert clients.sent == 1


class TestPermits:
    """Permit servers eject targets that fail requests, for the callers of all VMs."""

    def test_lost_link_is_no_failure_of_the_target(self):
        # Guards against a VM with lost links that takes targets from all others.
        _, _, permits = serve(NotConnected("refused"), Relay(NoRelay("busy")))
        assert permits.told == [(False, False)]

    def test_target_that_others_do_not_reach_either_has_failed(self):
        _, _, permits = serve(NotConnected("refused"), Relay(TargetDown("down")))
        assert permits.told == [(True, True)]

    def test_order_that_hangs_gives_its_permit_back(self):
        # Guards against slots that are kept until the deadlines of lost requests.
        with virtual_loop() as loop:
            began = now()
            result, _, permits = serve(
                "hang", Relay(), "POST", idempotent=False, run=loop.run_until_complete
            )
        assert isinstance(result, Unanswered)
        assert permits.told == [(False, False)]
        assert permits.released_at - began < 0.6


class TestDelaysOfTheVm:
    """Bytes wait behind others on the VM's own link while its targets are sound."""

    @pytest.mark.parametrize("relay", [None, NoRelay("busy"), AnswerLost("reset")])
    def test_lookup_that_nobody_else_can_send_is_waited_for(self, relay):
        # Guards against a 502 for a lookup that its target was about to run.
        relay = relay and Relay(relay)
        with virtual_loop() as loop:
            result, _, _ = serve("late", relay, run=loop.run_until_complete)
        assert result.answer is ANSWER

    def test_lookup_beyond_the_retry_budget_is_waited_for(self, monkeypatch):
        # Guards against a 502 for a lookup that may not be sent again.
        monkeypatch.setattr(RetryBudgets, "try_withdraw", lambda budgets, name: False)
        relay = Relay()
        with virtual_loop() as loop:
            result, _, _ = serve("late", relay, run=loop.run_until_complete)
        assert (result.answer, relay.asked) == (ANSWER, 0)


class TestHangingLookups:
    """A lookup that hangs is sent through another VM; the first answer counts."""

    def play(self, outcome, relay, **options):
        with virtual_loop() as loop:
            began = now()
            found = serve(outcome, relay, run=loop.run_until_complete, **options)
            return *found, now() - began

    def test_another_vm_answers(self):
        # Guards against waiting for a lost answer until the caller gives up.
        result, _, permits, seconds = self.play("hang", Relay())
        assert (result.relay, result.attempts) == ("vm-2", 2)
        assert permits.told == [(True, False)]
        assert seconds < 0.5

    def test_first_attempt_answers_before_the_second_one(self):
        # Guards against a second attempt that outlives its request.
        class SlowRelay(Relay):
            ended = False

            async def send(self, request, seconds):
                try:
                    await asyncio.sleep(seconds)
                finally:
                    self.ended = True

        relay = SlowRelay()
        result, _, _, _ = self.play("late", relay)
        assert (result.answer, result.relay) == (ANSWER, "")
        assert relay.ended

    def test_neither_answers(self):
        # Guards against a refusal for a lookup that may have run.
        result, _, _, _ = self.play("hang", Relay(NoRelay("busy")))
        assert isinstance(result, Unanswered)

    @pytest.mark.parametrize(
        ("failure", "refunds"), [(NoRelay("busy"), 1), (AnswerLost("reset"), 0)]
    )
    def test_second_attempt_that_nobody_made_is_paid_back(
        self, monkeypatch, failure, refunds
    ):
        # Guards against a retry budget that is used up by attempts that were not made.
        refunded = []
        monkeypatch.setattr(
            RetryBudgets, "refund", lambda _, name: refunded.append(name)
        )
        result, _, _, _ = self.play("late", Relay(failure))
        assert result.answer is ANSWER
        assert len(refunded) == refunds
        assert result.attempts == 2 - refunds

    def test_order_is_not_sent_twice(self):
        # Guards against an order that runs twice.
        relay = Relay()
        result, _, _, _ = self.play("late", relay, method="POST", idempotent=False)
        assert (result.answer, relay.asked) == (ANSWER, 0)

    def test_second_attempt_that_nobody_made_gives_the_permit_back(self):
        # Guards against a slot that is held until the deadline of a lookup that hangs.
        with virtual_loop() as loop:
            began = now()
            relay = Relay(NoRelay("busy"))
            _, _, permits = serve("hang", relay, run=loop.run_until_complete)
        assert permits.released_at - began < ACKNOWLEDGED_SECONDS

    def test_rejection_of_the_second_attempt_does_not_end_the_first(self):
        # Guards against a refusal, which says that the lookup has not run, while its
        # target works on the first attempt.
        relay = Relay(answer=REJECTION)
        result, _, _, _ = self.play("late", relay)
        assert (result.answer, result.relay, relay.asked) == (ANSWER, "", 1)

    def test_lost_first_attempt_with_a_rejected_second_one(self):
        # Guards against a refusal for a lookup whose first attempt may have run.
        result, _, _, _ = self.play("hang", Relay(answer=REJECTION))
        assert isinstance(result, Unanswered)

    def test_rejection_of_the_first_attempt_while_the_second_one_runs(self):
        # Guards against a refusal for a lookup that the second attempt has begun.
        class SlowRelay(Relay):
            async def send(self, request, seconds):
                await asyncio.sleep(ACKNOWLEDGED_SECONDS)
                return await super().send(request, seconds)

        relay = SlowRelay()
        result, _, _, _ = self.play("late, rejected", relay)
        assert (result.answer, result.relay, relay.asked) == (ANSWER, "vm-2", 1)
