"""Tests of routing and retrying requests."""

from __future__ import annotations

import asyncio
from random import Random

import pytest
from berylstage_entry import cold_targets, permit_client
from berylstage_entry.assignment import Assignment, KeyRange
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.errors import (
    BadRequest,
    OverQuota,
    PermitRefused,
    Refused,
    Unanswered,
    UnknownApiKey,
)
from berylstage_entry.permit_messages import checksum
from berylstage_entry.permits import Permit
from berylstage_entry.protocols import CallerRequest, Record, TargetAnswer
from berylstage_entry.router import Router
from berylstage_entry.routes import Route, WeightedService
from berylstage_entry.services import Configuration, Service
from berylstage_entry.targets import LoadReport
from berylstage_entry.workspaces import Workspace, WorkspaceDirectory
from berylstage_transfers.errors import AnswerLost, NeverSent
from fakes import BOUNDS, LIMITS, target


class StoreWatcher:
    """Provides the assignments that a store watcher would have read."""

    def __init__(self, owner="a", previous_owner=""):
        self.assignment_revisions = {"s": 4}
        self.refresh_count = 0
        self.assignments = {
            "s": Assignment([KeyRange(0, 65535, owner, 1, 5, previous_owner)], 9)
        }

    def request_refresh(self, cause=""):
        self.refresh_count += 1

    def move_to(self, owner):
        self.assignment_revisions = {"s": 5}
        self.assignments = {"s": Assignment([KeyRange(0, 65535, owner, 1, 6)], 9)}


class TargetClient:
    """Returns scripted answers, one for each attempt."""

    def __init__(self, name, clients):
        self.name = name
        self._clients = clients

    async def send(self, req, seconds, fresh=False, attempt=None):
        self._clients.sent.append(self.name)
        result = self._clients.script.pop(0) if self._clients.script else "ok"
        if callable(result):
            result = result()
        if isinstance(result, Exception):
            raise result
        return ANSWERS[result]


class TargetClients:
    def __init__(self, script):
        self.script = list(script)
        self.sent = []

    def get(self, target, connections):
        return TargetClient(target.name, self)

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


def fill_retry_budget(router):
    """Fill the budget of a router that has served its service for a while."""
    for _ in range(20):
        router.retry_budgets.record_request("s")


def serve_request(
    script,
    idempotent=True,
    owns_keys=False,
    names=("a", "b", "c"),
    store_watcher=None,
    permit_client=None,
    time_left=1.0,
    concurrently=None,
    cluster_view=None,
    **assignment,
):
    """Serve one request; return its result and the targets it was sent to."""
    route = Route(
        "r", "h", "/a/", [WeightedService("s", 1.0)], idempotent, 3, 1.0, 0.3, 1
    )
    service = Service("s", "/", 50, 3.0, 5.0, owns_keys)
    cluster_view = cluster_view or ClusterView()
    cfg = Configuration(1, [route], [service], LIMITS)
    cluster_view.apply(Record(configuration=cfg), now(), False)
    for name in names:
        cluster_view.apply(Record(target=target(name)), now(), False)
    clients = TargetClients(script)
    store_watcher = store_watcher or StoreWatcher(**assignment)
    router = Router(cluster_view, store_watcher, clients, BOUNDS, Random(1))
    router.permit_client = permit_client
    fill_retry_budget(router)
    key = 7 if owns_keys else None
    req = CallerRequest("id", "GET", "h", "/a/x?y", {}, time_left, key)

    async def serve():
        task = asyncio.create_task(concurrently()) if concurrently is not None else None
        try:
            return await router.serve(req)
        finally:
            if task is not None:
                task.cancel()

    try:
        done = asyncio.run(serve())
    except (BadRequest, Refused, Unanswered) as exc:
        return exc, clients.sent
    return done.answer.status, clients.sent


def make_slow_router(idempotent):
    """Return the router of a service whose targets take 0.2 s for each request."""
    route = Route(
        "r", "h", "/a/", [WeightedService("s", 1.0)], idempotent, 3, 1.0, 0.3, 1
    )
    service = Service("s", "/", 50, 3.0, 5.0, False)
    view = ClusterView()
    cfg = Configuration(1, [route], [service], LIMITS)
    view.apply(Record(configuration=cfg), now(), False)
    view.apply(Record(target=target("a")), now(), False)
    router = Router(view, StoreWatcher(), TargetClients([]), BOUNDS, Random(1))
    for _ in range(20):
        router.loads.record_answer("a", "r", "s", answer(200, load=None), 0.2)
    return router


class TestRouter:
    def test_request_rejected_by_a_full_target_is_sent_to_another(self):
        status, sent = serve_request(["full", "ok"], idempotent=False)
        assert status == 200
        assert len(set(sent)) == 2

    def test_order_whose_answer_was_lost_is_not_sent_again(self):
        # An order was sent and the connection broke before its answer. It may have been
        # executed; sent again, it would ship a second motor.
        error, sent = serve_request([LOST, "ok"], idempotent=False)
        assert isinstance(error, Unanswered)
        assert len(sent) == 1

    def test_order_that_was_not_sent_is_sent_to_another_target(self):
        status, sent = serve_request([UNSENT, "ok"], idempotent=False)
        assert status == 200
        assert len(sent) == 2

    @pytest.mark.parametrize(
        ("idempotent", "time_left", "is_sent"),
        [(False, 0.08, False), (False, 0.25, True), (True, 0.08, True)],
    )
    def test_order_with_too_little_time_is_not_sent(
        self, idempotent, time_left, is_sent
    ):
        # Guards against an unknown outcome for an order that could have been refused: a
        # VM that was suspended sends it in its last milliseconds.
        router = make_slow_router(idempotent)
        router.permit_client = ScriptedPermits("a")
        req = CallerRequest("id", "GET", "h", "/a/", {}, time_left, None)
        try:
            asyncio.run(router.serve(req))
        except Refused as exc:
            assert exc.reason == "no-time"
        assert bool(router._clients.sent) is is_sent

    def test_lookup_whose_answer_was_lost_is_sent_again(self):
        status, sent = serve_request([LOST, "ok"])
        assert status == 200
        assert len(set(sent)) == 2

    def test_request_that_may_have_run_is_never_refused(self):
        # The first target broke the connection and the others are full. A refusal would
        # promise that the request has not run.
        error, _ = serve_request([LOST, "full", "full", "full"])
        assert isinstance(error, Unanswered)
        # Guards against a log that doesn't say why it was not sent again.
        assert "not sent again (no-target)" in error.detail

    def test_server_error_is_returned_if_no_retry_succeeds(self):
        status, sent = serve_request(["failed", "full", "full"])
        assert status == 500
        assert len(sent) == 3

    def test_number_of_attempts_is_limited(self):
        error, sent = serve_request(["full"] * 9, names=("a", "b", "c", "d", "e", "f"))
        assert isinstance(error, Refused)
        assert len(sent) == 3

    def test_request_is_sent_to_the_owner_of_its_key(self):
        assert serve_request(["ok"], owns_keys=True, owner="b") == (200, ["b"])

    def test_request_for_a_moving_key_is_refused_before_its_deadline(self):
        started_at = now()
        error, sent = serve_request([], owns_keys=True, owner="b", previous_owner="a")
        assert isinstance(error, Refused)
        # The log shows which move the request waited for.
        assert "owner b former a assignment 4" in error.detail
        assert not sent
        assert now() - started_at < 0.7

    def test_unreachable_owner_is_retried_with_a_delay(self):
        # The owner of a key has crashed and its port resets each connection within a
        # millisecond. Its keys move a moment later. Without a delay, one request opens
        # hundreds of connections to it, and the VM has no time for other requests.
        _, sent = serve_request([UNSENT] * 500, owns_keys=True, owner="b")
        assert len(sent) <= 6

    def test_owner_that_rejects_the_key_is_retried_with_a_delay(self):
        # The grant of a moved key is still in transit to its new owner, which rejects
        # two requests within a few milliseconds. Without a delay, the request has used
        # all its attempts before the grant arrives.
        started_at = now()
        assert serve_request(["elsewhere", "ok"], owns_keys=True, owner="b")[0] == 200
        assert now() - started_at >= 0.04

    @pytest.mark.parametrize("full", ["full", LOST])
    def test_full_owner_is_retried_with_a_delay(self, full):
        # The owner of busy keys is full, and rejects requests or resets connections. A
        # lookup that is sent again within a millisecond is rejected again, and each
        # retry takes from the budget of all other requests of the service.
        started_at = now()
        assert serve_request([full, "ok"], owns_keys=True, owner="b")[0] == 200
        assert now() - started_at >= 0.04

    def test_new_owner_is_asked_without_a_delay(self):
        # The owner rejects a request because the key has moved. The VM reads the new
        # assignment a moment later, and the request need not wait any longer.
        store_watcher = StoreWatcher("b")

        def move(result):
            store_watcher.move_to("c")
            return result

        started_at = now()
        script = [lambda: move("elsewhere"), "ok"]
        status, sent = serve_request(
            script, owns_keys=True, store_watcher=store_watcher
        )
        assert (status, sent) == (200, ["b", "c"])
        assert now() - started_at < 0.04

    def test_retried_request_waits_for_the_end_of_a_move(self):
        # A lookup was refused because its key was moving. Its caller retries with less
        # than half of the usual time, and the move ends a moment later. A second
        # immediate refusal would fail it.
        store_watcher = StoreWatcher("a", previous_owner="b")

        async def end_of_move():
            await asyncio.sleep(0.1)
            store_watcher.move_to("a")

        status, sent = serve_request(
            ["ok"],
            owns_keys=True,
            store_watcher=store_watcher,
            time_left=0.45,
            concurrently=end_of_move,
        )
        assert (status, sent) == (200, ["a"])

    def test_unknown_owner_causes_a_refresh_from_the_store(self):
        store_watcher = StoreWatcher("")
        serve_request([], owns_keys=True, store_watcher=store_watcher)
        assert store_watcher.refresh_count

    def test_unknown_route_and_missing_configuration_are_different_errors(self):
        cluster_view = ClusterView()
        router = Router(
            cluster_view, StoreWatcher(), TargetClients([]), BOUNDS, Random(1)
        )
        req = CallerRequest("id", "GET", "h", "/none/", {}, 1.0, None)
        with pytest.raises(Refused):
            asyncio.run(router.serve(req))
        cfg = Configuration(1, [], [], LIMITS)
        cluster_view.apply(Record(configuration=cfg), now(), False)
        with pytest.raises(BadRequest):
            asyncio.run(router.serve(req))

    def new_owner_router(self, objective):
        """Return a router to one target with owned keys, and its target clients."""
        route = Route(
            "r", "h", "/a/", [WeightedService("s", 1.0)], True, 3, 1.0, objective, 1
        )
        cluster_view = ClusterView()
        cfg = Configuration(1, [route], [Service("s", "/", 50, 3.0, 5.0, True)], LIMITS)
        cluster_view.apply(Record(configuration=cfg), now(), False)
        cluster_view.apply(Record(target=target("a")), now(), False)
        clients = TargetClients(["ok"] * 9)
        return Router(cluster_view, StoreWatcher(), clients, BOUNDS, Random(1)), clients

    def test_overloaded_owner_receives_no_request_that_would_be_late(self):
        # Many VMs send to the owner of one key that needs more than its capacity. Its
        # reports show a long queue, in which one more request would be late.
        router, clients = self.new_owner_router(objective=0.3)
        req = CallerRequest("id", "GET", "h", "/a/", {}, 1.0, 7)
        asyncio.run(router.serve(req))
        router.loads.apply_remote_report("a", 12, 1.0, now())
        with pytest.raises(Refused):
            asyncio.run(router.serve(req))
        assert clients.sent == ["a"]

    def test_overloaded_owner_receives_no_request_with_too_little_time(self):
        # The owner has a shorter queue, and the caller was refused before: the answer
        # would come after its deadline.
        router, clients = self.new_owner_router(objective=0.8)
        asyncio.run(router.serve(CallerRequest("1", "GET", "h", "/a/", {}, 1.0, 7)))
        loads = router.loads.for_service("s")
        router.loads.apply_remote_report("a", 4, 1.0, now())
        expected = loads.expected_seconds("a", "r", now())
        assert 0.05 < expected < 0.8
        with pytest.raises(Refused):
            short = CallerRequest("2", "GET", "h", "/a/", {}, 0.8 * expected, 7)
            asyncio.run(router.serve(short))
        assert clients.sent == ["a"]


class TestLoadReport:
    def test_holds_its_arguments(self):
        report = LoadReport(1, 2, 3, 1.5)
        assert (report.running, report.waiting, report.slots) == (1, 2, 3)


class ScriptedPermits:
    """Grants permits by a script: a target, a refusal, or None for no permit."""

    def __init__(self, *script):
        self._script = list(script)
        self.queues = []
        self.released = []
        self.targets = []

    async def acquire(self, ctx, queue, data_centre=""):
        self.queues.append(queue)
        result = self._script.pop(0)
        if isinstance(result, Exception):
            raise result
        if result is None:
            return None
        permit = Permit(len(self.queues), queue, "10.0.0.1")
        permit.target = checksum(result)
        return permit

    def release(self, permit, failed=False, load=None):
        self.released.append((permit.number, failed, load))
        self.targets.append(permit.target)


class TestTurns:
    def test_request_without_a_key_is_sent_to_the_permitted_target(self):
        for name in ("a", "b", "c"):
            permit_client = ScriptedPermits(name)
            status, sent = serve_request(["ok"], permit_client=permit_client)
            assert (status, sent) == (200, [name])
            assert permit_client.queues == ["s"]
            assert permit_client.released == [(1, False, None)]

    def test_request_without_a_permit_is_routed_by_local_data(self):
        # No VM serves the queue: its permit server is lost, or VMs are just starting.
        assert serve_request(["ok"], permit_client=ScriptedPermits(None))[0] == 200
        assert (
            serve_request(["ok"], owns_keys=True, permit_client=ScriptedPermits(None))[
                0
            ]
            == 200
        )

    def test_permit_for_a_removed_target_is_released(self):
        permit_client = ScriptedPermits("z")
        assert serve_request(["ok"], permit_client=permit_client)[0] == 200
        assert permit_client.released == [(1, False, None)]

    @pytest.mark.parametrize("granted", ["a", None])
    def test_target_that_starts_draining_during_the_wait_is_avoided(self, granted):
        # Guards against requests to a target that left while they waited for their
        # permit, which takes as long as their objective.
        cluster_view = ClusterView()

        class Leaving(ScriptedPermits):
            async def acquire(self, ctx, queue, data_centre=""):
                for name in ("a", "b"):
                    record = Record(target=target(name, is_draining=True))
                    cluster_view.apply(record, now(), False)
                return await super().acquire(ctx, queue, data_centre)

        _, sent = serve_request(
            [], permit_client=Leaving(granted), cluster_view=cluster_view
        )
        assert sent == ["c"]

    def test_retry_avoids_the_target_that_failed(self):
        # The permit server does not know which target lost this request.
        permit_client = ScriptedPermits("a")
        status, sent = serve_request([LOST, "ok"], permit_client=permit_client)
        assert status == 200
        assert sent[0] == "a" != sent[1]
        assert permit_client.released == [(1, True, None)]

    def test_target_that_rejects_permitted_requests_is_retried_immediately(self):
        # Targets reject half of the requests although they have free slots. A delay
        # before each retry, and before the caller's retry, makes the answer late.
        permit_client = ScriptedPermits("a", "a")
        started_at = now()
        status, sent = serve_request(
            ["full", "ok"], owns_keys=True, permit_client=permit_client
        )
        assert (status, sent) == (200, ["a", "a"])
        assert now() - started_at < 0.04

    def test_caller_may_retry_immediately_if_the_target_had_free_slots(self):
        permit_client = ScriptedPermits("a", "a", PermitRefused(0.0))
        error, _ = serve_request(
            ["full", "full"], owns_keys=True, permit_client=permit_client
        )
        assert isinstance(error, Refused)
        assert error.retry_after < 0.05

    def test_disconnected_caller_is_no_failure_of_the_target(self):
        # Callers disconnect while they wait. Reported as failures of the target, these
        # caused its ejection for all requests.
        permit_client = ScriptedPermits("a")

        def leave():
            raise asyncio.CancelledError

        with pytest.raises(asyncio.CancelledError):
            serve_request([leave], permit_client=permit_client)
        ((_, _, load),) = permit_client.released
        assert load is None
        assert permit_client.targets == [0]

    def test_refused_permit_determines_the_retry_delay(self):
        # The owner is overloaded. Its callers are refused immediately with the expected
        # wait, spread so that those refused together do not retry at the same moment.
        permit_client = ScriptedPermits(PermitRefused(0.2))
        error, sent = serve_request(["ok"], owns_keys=True, permit_client=permit_client)
        assert sent == []
        assert error.reason == "owner-busy"
        assert 0.2 <= error.retry_after <= 0.25

    def test_owner_removed_during_the_wait_for_no_permit(self):
        # Guards against a request to a target that has left, or an error because it is
        # no longer known: the permit server of the queue is lost, and detecting this
        # takes time.
        store_watcher, cluster_view = StoreWatcher(), ClusterView()

        class Lost(ScriptedPermits):
            async def acquire(self, ctx, queue, data_centre=""):
                if queue == "a":
                    cluster_view.apply(Record(removed_target="a"), now(), False)
                    store_watcher.move_to("b")
                return await super().acquire(ctx, queue, data_centre)

        permit_client = Lost(None, None)
        status, sent = serve_request(
            [],
            owns_keys=True,
            store_watcher=store_watcher,
            permit_client=permit_client,
            cluster_view=cluster_view,
        )
        assert (status, sent) == (200, ["b"])

    def test_key_that_moves_during_the_wait_for_a_permit(self):
        # The key of a request moves to another target while it waits for a permit at
        # the previous owner, which would reject it.
        store_watcher = StoreWatcher("a")

        class Moving(ScriptedPermits):
            async def acquire(self, ctx, queue, data_centre=""):
                store_watcher.move_to("b")
                return await super().acquire(ctx, queue, data_centre)

        permit_client = Moving("a", "b")
        status, sent = serve_request(
            ["ok"],
            owns_keys=True,
            store_watcher=store_watcher,
            permit_client=permit_client,
        )
        assert (status, sent) == (200, ["b"])
        assert permit_client.queues == ["a", "b"]
        assert [number for number, *_ in permit_client.released] == [1, 2]


class TestColdTargets:
    def test_senders_to_cold_targets_are_computed_once(self, monkeypatch):
        # A data centre is added, and 36 of 120 targets are cold. When each request
        # checked all of 195 VMs for each cold target, answers took longer the more VMs
        # there were.
        queues = []
        real = cold_targets.is_cold_sender
        monkeypatch.setattr(
            cold_targets,
            "is_cold_sender",
            lambda name, *rest: queues.append(name) or real(name, *rest),
        )
        service = Service("s", "/", 50, 3.0, 5.0, False)
        cluster_view = ClusterView()
        for name in ("a", "b", "c"):
            cold = target(name, cold_seconds_left=9.0)
            cluster_view.apply(Record(target=cold), now(), False)
        router = Router(
            cluster_view,
            StoreWatcher(),
            TargetClients([]),
            BOUNDS,
            Random(1),
            "",
            "vm-1",
        )
        router.cold_targets.vm_names = [f"vm-{n}" for n in range(200)]
        first = [
            router.cold_targets.may_send(name, service)
            for name in "abc"
            for _ in range(50)
        ]
        assert queues == ["a", "b", "c"]
        # A change of the known VMs causes a new computation.
        router.cold_targets.vm_names = [*router.cold_targets.vm_names, "vm-200"]
        second = [
            router.cold_targets.may_send(name, service)
            for name in "abc"
            for _ in range(50)
        ]
        assert queues == ["a", "b", "c"] * 2
        assert len(first) == len(second)


class TestApiKeys:
    """Whose request it is decides before anything is sent."""

    def make_router(self, is_public=False, priority=None):
        split = [WeightedService("s", 1.0)]
        route = Route("r", "h", "/a/", split, True, 3, 1.0, 0.3, 4, is_public)
        service = Service("s", "/", 50, 3.0, 5.0, False)
        workspaces = WorkspaceDirectory([Workspace("north", ["key-1"], priority)])
        cluster_view = ClusterView()
        cfg = Configuration(1, [route], [service], LIMITS, workspaces)
        cluster_view.apply(Record(configuration=cfg), now(), False)
        cluster_view.apply(Record(target=target("a")), now(), False)
        self.clients = TargetClients([])
        return Router(cluster_view, StoreWatcher(), self.clients, BOUNDS, Random(1))

    class Confirmer:
        """Confirms the configuration until it is told otherwise."""

        def __init__(self, is_recent=True):
            self.is_recent = is_recent

        def may_serve_keys(self):
            return self.is_recent

        async def wait_until_recent(self):
            return self.is_recent

        def age(self):
            return 9.0

    def request(self, api_key=""):
        return CallerRequest("id", "GET", "h", "/a/x", {}, 1.0, None, api_key)

    @pytest.mark.parametrize("api_key", ["", "key-2", "key-1, key-1"])
    def test_request_without_a_known_key_is_not_sent(self, api_key):
        router = self.make_router()
        with pytest.raises(UnknownApiKey) as caught:
            asyncio.run(router.serve(self.request(api_key)))
        assert caught.value.status == 401
        assert "configuration 1" in caught.value.detail
        assert self.clients.sent == []

    def test_known_key_sets_the_workspace(self):
        req = self.request("key-1")
        asyncio.run(self.make_router().serve(req))
        assert req.workspace == "north"

    @pytest.mark.parametrize(
        ("api_key", "name"), [("", ""), ("x", ""), ("key-1", "north")]
    )
    def test_public_route_needs_no_key(self, api_key, name):
        req = self.request(api_key)
        req.workspace = "forged"
        asyncio.run(self.make_router(is_public=True).serve(req))
        assert self.clients.sent == ["a"]
        assert req.workspace == name

    @pytest.mark.parametrize(("priority", "expected"), [(None, 4), (0, 0), (7, 7)])
    def test_priority_of_the_workspace_replaces_that_of_the_route(
        self, priority, expected
    ):
        router = self.make_router(priority=priority)
        seen = []

        class PermitClient:
            async def acquire(self, ctx, queue, data_centre=""):
                seen.append(ctx.priority)

        router.permit_client = PermitClient()
        asyncio.run(router.serve(self.request("key-1")))
        assert seen == [expected]

    def test_key_is_refused_at_once_while_the_configuration_may_be_too_old(self):
        # Guards against a VM that is cut off and serves keys that were taken away.
        router = self.make_router()
        router.authenticator.confirmer = self.Confirmer(is_recent=False)
        with pytest.raises(Refused) as caught:
            asyncio.run(router.serve(self.request("key-1")))
        assert caught.value.reason == "stale-configuration"
        assert "configuration 1 age 9.0 s" in caught.value.detail
        assert self.clients.sent == []

    def test_public_route_is_served_whatever_the_age_of_the_configuration(self):
        router = self.make_router(is_public=True)
        router.authenticator.confirmer = self.Confirmer(is_recent=False)
        asyncio.run(router.serve(self.request("key-1")))
        assert self.clients.sent == ["a"]

    @pytest.mark.parametrize("change", ["taken", "stale"])
    def test_key_is_checked_again_after_a_wait(self, change):
        # Guards against a request that waited for a permit while its key was taken
        # away, or while its VM stood still.
        router = self.make_router()
        router.authenticator.confirmer = self.Confirmer()
        released = []

        class PermitClient:
            async def acquire(self, ctx, queue, data_centre=""):
                if change == "stale":
                    router.authenticator.confirmer.is_recent = False
                else:
                    workspaces = WorkspaceDirectory([Workspace("north", [])])
                    old = router._cluster_view.configuration
                    cfg = Configuration(
                        2, old.routes, old.services.values(), LIMITS, workspaces
                    )
                    router._cluster_view.apply(Record(configuration=cfg), now(), False)
                permit = Permit(1, queue, "vm")
                permit.target = checksum("a")
                return permit

            def release(self, permit, failed=False, load=None):
                released.append(permit.number)

        router.permit_client = PermitClient()
        with pytest.raises(UnknownApiKey if change == "taken" else Refused):
            asyncio.run(router.serve(self.request("key-1")))
        assert self.clients.sent == []
        assert released == [1]

    @pytest.mark.parametrize(
        ("script", "returned"), [(["full"] * 9, 1), (["ok"], 0), ([LOST], 0)]
    )
    def test_token_is_given_back_only_if_the_request_has_not_run(
        self, script, returned
    ):
        # Guards against a quota that is used up by requests which were refused, and
        # against a token that is used by two requests which ran.
        router = self.make_router()
        self.clients.script = script
        tokens = []

        class QuotaClient:
            async def acquire(self, workspace):
                return workspace.name

            def give_back(self, token):
                tokens.append(token)

        router.quota_client = QuotaClient()
        req = self.request("key-1")
        try:
            asyncio.run(router.serve(req))
        except (Refused, Unanswered):
            pass
        assert tokens == ["north"] * returned

    def test_request_over_the_quota_is_refused_before_anything_else(self):
        router = self.make_router()

        class QuotaClient:
            async def acquire(self, workspace):
                raise OverQuota(0.2, "workspace north")

        router.quota_client = QuotaClient()
        with pytest.raises(OverQuota) as caught:
            asyncio.run(router.serve(self.request("key-1")))
        assert caught.value.status == 429
        assert self.clients.sent == []


class TestLinkTime:
    """An upload of 360 kB takes 0.29 s on a link of 10 Mbit/s."""

    def build_context(self, is_upload, link_mbps, time_left, body_bytes=360_000):
        route = Route(
            "r",
            "h",
            "/a/",
            [WeightedService("s", 1.0)],
            False,
            3,
            1.0,
            0.3,
            1,
            is_upload=is_upload,
        )
        cluster_view = ClusterView()
        cfg = Configuration(
            1, [route], [Service("s", "/", 50, 3.0, 5.0, False)], LIMITS
        )
        cluster_view.apply(Record(configuration=cfg), now(), False)
        cluster_view.apply(Record(target=target("a")), now(), False)
        clients = TargetClients(["ok"])
        router = Router(cluster_view, StoreWatcher(), clients, BOUNDS, Random(1))
        router.link_mbps = link_mbps
        req = CallerRequest("id", "POST", "h", "/a/x", {}, time_left, None)
        req.body = b"u" * body_bytes
        return router, clients, req

    @pytest.mark.parametrize(
        ("is_upload", "link_mbps", "is_sent"),
        [
            (True, 10.0, False),
            (True, 1000.0, True),
            (True, 0.0, True),
            (False, 10.0, True),
        ],
    )
    def test_upload_that_cannot_cross_the_link_in_time_is_refused(
        self, is_upload, link_mbps, is_sent
    ):
        # Its caller would learn that the outcome is unknown, although it could have
        # been told that the upload has not run.
        router, clients, req = self.build_context(is_upload, link_mbps, 0.25)
        if is_sent:
            assert asyncio.run(router.serve(req)).answer.status == 200
            assert clients.sent == ["a"]
            return
        with pytest.raises(Refused) as caught:
            asyncio.run(router.serve(req))
        assert caught.value.reason in ("no-time", "no-room")
        assert clients.sent == []

    def test_queue_is_told_the_time_left_after_the_link(self):
        router, _, req = self.build_context(True, 10.0, 1.0)
        contexts = []

        class PermitClient:
            async def acquire(self, ctx, queue, data_centre=""):
                contexts.append(ctx)

        router.permit_client = PermitClient()
        asyncio.run(router.serve(req))
        assert contexts[0].link_seconds == pytest.approx(0.288)
        client = permit_client.PermitClient(None, "h")
        ask = client._build_request(contexts[0], Permit(1, "s", "h"))
        # The deadline stays, because the permit server frees the slot at that time.
        assert ask.deadline - ask.soft_deadline == pytest.approx(
            contexts[0].deadline - contexts[0].soft_deadline + 0.288
        )
