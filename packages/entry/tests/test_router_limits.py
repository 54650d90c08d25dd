"""Tests of routing requests to targets that name a limit."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import PermitRefused, Refused, Unanswered
from berylstage_entry.permit_server import PermitServer
from berylstage_entry.protocols import CallerRequest, Record
from berylstage_entry.router import Router
from berylstage_entry.targets import TargetNotice
from fakes import BOUNDS, configuration, target
from test_router import LOST, UNSENT, ScriptedPermits, StoreWatcher, TargetClients


class QuotaClient:
    """Grants tokens while there are any."""

    def __init__(self, tokens):
        self.tokens = tokens
        self.asked = []
        self.returned = []

    async def acquire(self, quota):
        self.asked.append(quota.name)
        if not self.tokens:
            raise quota.build_refusal(0.4, 1)
        self.tokens -= 1
        return f"token {quota.name}"

    def give_back(self, token):
        self.returned.append(token)


class RouterOf:
    """A router with targets of which some have named a limit."""

    def __init__(self, limited, tokens, names=("a", "b"), owns_keys=False, script=()):
        self.view = ClusterView()
        cfg = configuration(1, owns_keys)
        self.view.apply(Record(configuration=cfg), now(), False)
        for name in names:
            self.view.apply(Record(target=target(name)), now(), False)
        self.clients = TargetClients(script)
        self.store_watcher = StoreWatcher()
        self.router = Router(
            self.view, self.store_watcher, self.clients, BOUNDS, Random(1)
        )
        self.quota_client = QuotaClient(tokens)
        self.router.target_admission.quota_client = self.quota_client
        for name in limited:
            self.name_limit(name, 3.0)
        self.key = 7 if owns_keys else None

    def name_limit(self, name, limit):
        self.router.target_notices.limits.record_notice(
            target(name), TargetNotice(limit), now()
        )

    def serve(self, requests=1):
        """Return the statuses or errors of requests, sent one after the other."""

        async def serve_all():
            outcomes = []
            for number in range(requests):
                req = CallerRequest(str(number), "GET", "h", "/a/", {}, 1.0, self.key)
                try:
                    done = await self.router.serve(req)
                    outcomes.append(done.answer.status)
                except Refused as exc:
                    outcomes.append(exc)
            return outcomes

        return asyncio.run(serve_all())


class TestOwnerWithALimit:
    def test_request_within_the_limit_is_sent(self):
        play = RouterOf(["a"], 1, owns_keys=True)
        assert play.serve() == [200]
        assert play.quota_client.asked == ["a"]
        assert play.quota_client.returned == []

    def test_request_beyond_the_limit_is_refused_at_once(self):
        # Guards against callers that wait for a target which accepts no more.
        play = RouterOf(["a"], 0, owns_keys=True)
        began = now()
        (exc,) = play.serve()
        assert now() - began < 0.1
        assert (exc.reason, exc.status) == ("target-limit", 503)
        assert 0.4 <= exc.retry_after <= 0.5
        assert play.clients.sent == []

    def test_quota_server_is_not_asked_again_before_there_is_a_token(self):
        play = RouterOf(["a"], 0, owns_keys=True)
        assert [exc.reason for exc in play.serve(5)] == ["target-limit"] * 5
        assert play.quota_client.asked == ["a"]

    def test_second_attempt_needs_a_token_of_its_own(self):
        # Guards against attempts that go past the limit.
        play = RouterOf(["a"], 1, owns_keys=True, script=[LOST, "ok"])
        with pytest.raises(Unanswered, match="answer-lost"):
            play.serve()
        assert play.quota_client.asked == ["a", "a"]
        assert play.clients.sent == ["a"]

    def test_limit_that_is_named_during_the_wait_for_a_permit(self):
        # Guards against a crowd of waiting requests that goes past a new limit.
        play = RouterOf([], 0, owns_keys=True)

        class Waiting(ScriptedPermits):
            async def acquire(self, ctx, queue, data_centre=""):
                play.name_limit("a", 3.0)
                return await super().acquire(ctx, queue, data_centre)

        play.router.permit_client = permits = Waiting("a")
        (exc,) = play.serve()
        assert exc.reason == "target-limit"
        assert play.clients.sent == []
        assert permits.released == [(1, False, None)]

    @pytest.mark.parametrize(
        "script", [[UNSENT], []], ids=["never sent", "permit refused"]
    )
    def test_token_of_a_request_that_was_not_sent_is_given_back(self, script):
        play = RouterOf(["a"], 1, owns_keys=True, script=script)
        if not script:
            play.router.permit_client = ScriptedPermits(PermitRefused(0.2))
        play.serve()
        assert play.quota_client.returned[0] == "token a"

    def test_token_of_a_request_that_may_have_run_is_kept(self):
        play = RouterOf(["a"], 2, owns_keys=True, script=[LOST, "ok"])
        assert play.serve() == [200]
        assert play.quota_client.returned == []

    def test_answer_without_a_limit_lets_all_requests_through(self):
        play = RouterOf(["a"], 1, owns_keys=True)
        assert play.serve(3) == [200] * 3
        assert play.quota_client.asked == ["a"]


class TestWaitForAToken:
    """What happens at a target while a request waits for its token."""

    def play(self, act, owns_keys):
        """Serve a request; `act` runs while it waits, and may raise."""
        play = RouterOf(["a"], 9, ["a"], owns_keys)
        play.permits = play.router.permit_client = ScriptedPermits("a", "a")

        async def acquire(quota):
            act(play)
            return f"token {quota.name}"

        play.quota_client.acquire = acquire
        return play

    @pytest.mark.parametrize("owns_keys", [True, False])
    def test_target_that_is_gone(self, owns_keys):
        # Guards against an error in place of a refusal.
        def remove(play):
            play.view.apply(Record(removed_target="a"), now(), False)

        play = self.play(remove, owns_keys)
        (exc,) = play.serve()
        assert exc.reason in ("no-owner", "no-target")
        assert play.clients.sent == []
        assert play.quota_client.returned == ["token a"]

    @pytest.mark.parametrize("owns_keys", [True, False])
    def test_target_that_asks_for_rest(self, owns_keys):
        def rest(play):
            play.router.target_notices.rests.record(target("a"), 3.0)

        play = self.play(rest, owns_keys)
        (exc,) = play.serve()
        assert exc.reason in ("target-rest", "targets-ask-for-less")
        assert play.clients.sent == []
        assert play.quota_client.returned == ["token a"]

    def test_caller_that_disconnects_holds_no_permit(self):
        # Guards against slots that nobody uses until their permits expire.
        def disconnect(play):
            raise asyncio.CancelledError

        play = self.play(disconnect, False)
        play.view.apply(Record(target=target("b")), now(), False)
        play.name_limit("a", None)
        play.router.permit_client = permits = ScriptedPermits("a")
        acquire = permits.acquire

        async def acquire_late(ctx, queue, data_centre=""):
            play.name_limit("a", 3.0)
            return await acquire(ctx, queue, data_centre)

        permits.acquire = acquire_late
        with pytest.raises(asyncio.CancelledError):
            play.serve()
        assert permits.released == [(1, False, None)]


class TestServiceWithALimitedTarget:
    def test_request_goes_to_a_target_that_has_no_limit(self):
        # Guards against refusing requests that another target would serve.
        play = RouterOf(["a"], 0)
        assert play.serve(6) == [200] * 6
        assert set(play.clients.sent) == {"b"}

    def test_target_with_a_limit_is_used_within_it(self):
        play = RouterOf(["a"], 1, names=["a"])
        assert play.serve() == [200]

    def test_permit_for_a_target_with_a_limit_needs_a_token(self):
        # The permit server may not have heard of the limit.
        play = RouterOf(["a"], 0)
        play.router.permit_client = permits = ScriptedPermits(*["a"] * 9)
        assert play.serve(3) == [200] * 3
        assert set(play.clients.sent) == {"b"}
        assert len(permits.released) == len(permits.queues)

    def test_second_attempt_needs_a_token(self):
        play = RouterOf(["b"], 0, script=["full"])
        play.router.permit_client = ScriptedPermits("a")
        (exc,) = play.serve()
        assert exc.reason == "targets-ask-for-less"
        assert play.clients.sent == ["a"]

    def test_all_targets_at_their_limits(self):
        play = RouterOf(["a", "b"], 0)
        outcomes = play.serve(4)
        assert {exc.reason for exc in outcomes} == {"targets-ask-for-less"}
        assert all(0.05 <= exc.retry_after <= 1.25 for exc in outcomes)
        assert play.clients.sent == []


class TestPermitServer:
    def test_target_with_a_limit_gets_no_permits(self):
        # Guards against permits that a target with a limit leaves unused for long.
        play = RouterOf(["a"], 0)
        server = PermitServer(play.router.loads, play.view, None)
        server.target_limits = play.router.target_notices.limits
        service = play.view.configuration.services["s"]
        assert set(server._target_slots("s", service)) == {"b"}
        play.name_limit("a", None)
        assert set(server._target_slots("s", service)) == {"a", "b"}
