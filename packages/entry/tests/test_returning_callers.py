"""Tests of callers that have much more time than an answer takes."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import PermitRefused, Refused
from berylstage_entry.protocols import CallerRequest, Record
from berylstage_entry.request_errors import RETRY_AFTER_SPREAD
from berylstage_entry.router import ANSWER_DELIVERY_SECONDS, Router
from berylstage_entry.routes import Route, WeightedService
from berylstage_entry.services import Configuration, Service
from berylstage_policy.remaining_times import MIN_REQUESTS
from berylstage_policy.retry_promises import MAX_WAIT_SHARE
from fakes import BOUNDS, LIMITS, target
from test_permit_client import Network, Vm, permit_servers
from test_router import ScriptedPermits, StoreWatcher, TargetClients
from virtual_time import virtual_loop

OBJECTIVE_SECONDS = 0.3
LARGEST_SECONDS = 6.0


def make_configuration(timeout=LARGEST_SECONDS):
    split = [WeightedService("s", 1.0)]
    route = Route("r", "h", "/a/", split, True, 3, timeout, OBJECTIVE_SECONDS, 1)
    return Configuration(1, [route], [Service("s", "/", 50, 3.0, 5.0, True)], LIMITS)


class Permits(ScriptedPermits):
    """Grants permits, and keeps the time to each request's soft deadline."""

    def __init__(self, *script):
        super().__init__(*script)
        self.soft_seconds = []

    async def acquire(self, ctx, queue, data_centre=""):
        self.soft_seconds.append(ctx.soft_deadline - now())
        return await super().acquire(ctx, queue, data_centre)


def make_router(permit_client, largest=LARGEST_SECONDS, timeout=LARGEST_SECONDS):
    """Return a router that knows the largest remaining time of its route."""
    view = ClusterView()
    view.apply(Record(configuration=make_configuration(timeout)), now(), False)
    view.apply(Record(target=target("a")), now(), False)
    router = Router(view, StoreWatcher(), TargetClients([]), BOUNDS, Random(1))
    for _ in range(MIN_REQUESTS):
        router.caller_times.limited.record("r", min(largest, timeout), now())
        router.caller_times.unlimited.record("r", largest, now())
    router.permit_client = permit_client
    return router


def serve(router, time_left):
    """Serve one request, and return its refusal or None."""
    req = CallerRequest("id", "GET", "h", "/a/", {}, time_left, 7)
    try:
        asyncio.run(router.serve(req))
    except Refused as exc:
        return exc
    return None


class EventList:
    """Metrics that keep the names of what is counted."""

    def __init__(self):
        self.events = []

    def increment(self, name, amount=1):
        self.events += [name] * amount


class TestRetryAfter:
    @pytest.mark.parametrize("left", [3.0, 1.0, 0.3])
    def test_refusal_names_no_longer_time_than_its_caller_honours(self, left):
        router = make_router(ScriptedPermits(PermitRefused(2.0)))
        error = serve(router, left)
        assert error.retry_after < left / 3
        assert error.retry_after == pytest.approx(
            MAX_WAIT_SHARE * (left - ANSWER_DELIVERY_SECONDS), abs=0.01
        )

    def test_time_of_a_promised_slot_is_passed_on(self):
        # Guards against callers that miss the slot which only they have been told.
        router = make_router(ScriptedPermits(*[PermitRefused(0.4)] * 20))
        told = {serve(router, 3.0).retry_after for _ in range(20)}
        assert told == {0.4}

    def test_callers_with_little_time_are_spread_as_before(self):
        # Other installations: an objective of 0.3 s, and callers with 0.8 s.
        router = make_router(ScriptedPermits(*[PermitRefused(0.4)] * 20), largest=0.8)
        told = {serve(router, 0.8).retry_after for _ in range(20)}
        assert len(told) > 10
        assert min(told) >= 0.4
        assert max(told) <= 0.4 * RETRY_AFTER_SPREAD


class TestAge:
    @pytest.mark.parametrize(
        ("left", "age"), [(6.0, 0.0), (5.1, 0.0), (4.0, 1.04), (2.0, 3.04)]
    )
    def test_full_worth_is_counted_from_the_beginning_of_the_caller(self, left, age):
        # Guards against a caller that gets the same place in the queue for each of its
        # attempts, and takes it from one that can still be served in time.
        permit_client = Permits("a")
        router = make_router(permit_client)
        events = []
        router.count_event = events.append
        assert serve(router, left) is None
        expected = OBJECTIVE_SECONDS - ANSWER_DELIVERY_SECONDS - age
        assert permit_client.soft_seconds == [pytest.approx(expected, abs=0.01)]
        assert events == ["attempt of earlier request"] * bool(age)

    def test_timeout_of_the_route_does_not_hide_the_age(self):
        # The route keeps requests for 2 s, while its callers wait for 6 s.
        permit_client = Permits("a")
        assert serve(make_router(permit_client, timeout=2.0), 4.0) is None
        expected = OBJECTIVE_SECONDS - ANSWER_DELIVERY_SECONDS - 1.04
        assert permit_client.soft_seconds == [pytest.approx(expected, abs=0.01)]

    def test_age_of_a_refused_attempt_is_logged(self):
        router = make_router(Permits(PermitRefused(0.4)))
        assert "age 1.04 s" in serve(router, 4.0).detail

    def test_callers_with_little_time_have_no_age(self):
        permit_client = Permits("a")
        assert serve(make_router(permit_client, largest=0.8), 0.4) is None
        expected = OBJECTIVE_SECONDS - ANSWER_DELIVERY_SECONDS
        assert permit_client.soft_seconds == [pytest.approx(expected, abs=0.01)]


class TestPermitServer:
    def play(self, scenario, monkeypatch):
        monkeypatch.setattr("test_permit_client.configuration", make_configuration)
        with virtual_loop() as loop:

            async def run_scenario():
                network = Network()
                vms = [Vm(f"10.0.0.{n}", network) for n in (1, 2, 3)]
                for vm in vms:
                    vm.server.start()
                try:
                    await scenario(network, vms)
                finally:
                    for vm in vms:
                        vm.server.stop()

            loop.run_until_complete(run_scenario())

    async def refuse(self, vm, requests):
        """Return the retry times of requests that arrive together."""
        tasks = [asyncio.create_task(vm.take(LARGEST_SECONDS)) for _ in range(requests)]
        await asyncio.sleep(0.05)
        told = []
        for task in tasks:
            if task.done() and isinstance(task.exception(), PermitRefused):
                told.append(task.exception().retry_after)
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return told

    def test_refused_requests_of_all_vms_are_told_different_slots(self, monkeypatch):
        # 60 requests of 0.1 s arrive at once for two slots.
        async def scenario(network, vms):
            server = next(vm for vm in vms if vm.host == permit_servers(vms)[0]).server
            await self.refuse(vms[0], MIN_REQUESTS)
            await asyncio.sleep(1.0)
            server.metrics = EventList()
            told = await asyncio.gather(*[self.refuse(vm, 20) for vm in vms])
            promised = sorted(each for part in told for each in part if each < 1.97)
            assert len(promised) > 5
            assert len(set(promised)) >= len(promised) / 2, promised
            expected = ["slot promised to refused request"] * len(promised)
            assert server.metrics.events == expected

        self.play(scenario, monkeypatch)

    def test_lost_permit_server_takes_its_promises_along(self, monkeypatch):
        # The next permit server knows nothing of them, and of no queued request. It
        # must serve requests at once instead of promising slots that are free.
        async def scenario(network, vms):
            first, second = permit_servers(vms)
            client = next(vm for vm in vms if vm.host not in (first, second))
            assert await self.refuse(client, 40)
            network.lost_hosts.add(first)
            permit = await client.take(LARGEST_SECONDS)
            assert permit.server == second
            successor = next(vm for vm in vms if vm.host == second).server
            assert [q.promised for q in successor._queues.values()] == [0]

        self.play(scenario, monkeypatch)
