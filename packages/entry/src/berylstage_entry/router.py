"""Routes requests: chooses a target, sends, and retries."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from berylstage_policy.completion import OTHER_DATA_CENTRE
from berylstage_policy.weighted_round_robin import WeightedRoundRobin
from berylstage_transfers.errors import AnswerLost, NeverSent

from berylstage_entry.caller_times import CallerTimes
from berylstage_entry.clock import now
from berylstage_entry.cold_targets import ColdTargets
from berylstage_entry.errors import (
    BadRequest,
    EntryError,
    KeyMoved,
    NoOwner,
    PermitRefused,
    Refused,
    Unanswered,
)
from berylstage_entry.hedge_admission import HedgeAdmission
from berylstage_entry.memory.upload_times import (
    compute_link_seconds,
    compute_work_seconds,
)
from berylstage_entry.owners import OwnerResolver
from berylstage_entry.request_authenticator import RequestAuthenticator
from berylstage_entry.request_context import RequestContext
from berylstage_entry.request_errors import MAX_RETRY_AFTER_SECONDS, RequestErrors
from berylstage_entry.retry_budgets import RetryBudgets
from berylstage_entry.routed_answer import RoutedAnswer
from berylstage_entry.suspect_guard import SuspectGuard
from berylstage_entry.target_admission import TargetAdmission
from berylstage_entry.target_limits import MAX_RETRY_SECONDS
from berylstage_entry.target_links import TargetLinks
from berylstage_entry.target_loads import (
    SERVER_ERROR,
    TargetLoads,
    build_load_report,
    is_failure,
)
from berylstage_entry.target_notices import TargetNotices
from berylstage_entry.target_sender import TargetSender

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.permit_client import PermitClient
    from berylstage_entry.protocols import CallerRequest, TargetAnswer
    from berylstage_entry.quota_client import QuotaClient
    from berylstage_entry.relay_messages import RelayRequest
    from berylstage_entry.routes import Route
    from berylstage_entry.services import Configuration, Service
    from berylstage_entry.settings import Bounds
    from berylstage_entry.store_watcher import StoreWatcher
    from berylstage_entry.target_clients import Attempt, TargetClients
    from berylstage_entry.targets import LoadReport, Target
    from berylstage_entry.workspaces import Workspace

# Seconds of a request's time limit reserved for returning the answer to the caller.
ANSWER_DELIVERY_SECONDS = 0.02
# Minimum seconds left for an attempt; a request with less is not sent.
MIN_ATTEMPT_SECONDS = 0.02
# A request is refused if the owner of its key is expected to complete it later than
# this multiple of the route's objective. With 1.0, requests were refused for which a
# slot became free a moment later; without a limit, all requests for a key that needs
# more than its owner's capacity were late.
OWNER_WAIT = 1.4
NOT_FOUND = 404


class Router:
    """Routes callers' requests to targets.

    Parameters
    ----------
    cluster_view : ClusterView
    store_watcher : StoreWatcher
    target_clients : TargetClients
    bounds : Bounds
    rng : Random
    data_centre : str
        Data centre of this VM.
    vm : str
        Name of this VM.

    Attributes
    ----------
    loads : TargetLoads
    links : TargetLinks
    suspect_guard : SuspectGuard
    sender : TargetSender
    authenticator : RequestAuthenticator
    cold_targets : ColdTargets
    target_notices : TargetNotices
    target_admission : TargetAdmission
    caller_times : CallerTimes
    retry_budgets : RetryBudgets
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        store_watcher: StoreWatcher,
        target_clients: TargetClients,
        bounds: Bounds,
        rng: Random,
        data_centre: str = "",
        vm: str = "",
    ):
        self._cluster_view = cluster_view
        self._owner_resolver = OwnerResolver(store_watcher, cluster_view)
        self._clients = target_clients
        self.links = TargetLinks(cluster_view, target_clients, rng)
        self.sender = TargetSender(self.links, vm)
        self._bounds = bounds
        self._rng = rng
        self._errors = RequestErrors(rng)
        self.suspect_guard = SuspectGuard(self.links, self._errors, self._find_owner)
        self.authenticator = RequestAuthenticator(cluster_view, self._errors)
        self._data_centre = data_centre
        self.loads = TargetLoads(cluster_view, rng)
        self.cold_targets = ColdTargets(cluster_view, bounds, vm)
        self.target_notices = TargetNotices(cluster_view)
        self.target_admission = TargetAdmission(cluster_view, self.target_notices)
        self.caller_times = CallerTimes()
        self.retry_budgets = RetryBudgets(bounds)
        self._hedge_admission = HedgeAdmission(
            cluster_view,
            self._owner_resolver,
            self.target_notices,
            self.cold_targets,
            self.suspect_guard,
            self.retry_budgets,
        )
        self._splits: dict[str, tuple[tuple, WeightedRoundRobin]] = {}
        self._seen_revision = -1
        # Bandwidth of this VM's link in Mbit/s; 0 if it is not known.
        self.link_mbps = 0.0
        # Acquires permits for targets from the permit servers.
        self.permit_client: PermitClient | None = None
        # Counts an event, by name.
        self.count_event: Callable[[str], None] = lambda name: None
        # Acquires a token for each request of a workspace that has a quota.
        self.quota_client: QuotaClient | None = None
        # Requests by service and key since the last report to the coordinator.
        self._key_counts: dict[str, dict[int, int]] = {}
        # Set while there are counts to report.
        self.has_key_counts = asyncio.Event()

    @property
    def vm_count(self) -> int:
        """Number of known VMs, plus some that may be starting."""
        return self.retry_budgets.vm_count

    @vm_count.setter
    def vm_count(self, count: int) -> None:
        self.retry_budgets.vm_count = count

    async def serve(self, req: CallerRequest) -> RoutedAnswer:
        """Route one request and return its answer.

        Raises
        ------
        BadRequest, Refused, Unanswered
        """
        if self._seen_revision != self._cluster_view.revision:
            self._drop_removed_targets()
        arrived_at = now() - req.waited
        cfg = self._cluster_view.configuration
        if cfg is None:
            raise Refused("no-configuration", MAX_RETRY_AFTER_SECONDS)
        route = cfg.table.find(req.host, req.path.partition("?")[0])
        if route is None:
            raise BadRequest(
                NOT_FOUND, "no route; add one for this host and path to the sheet"
            )
        workspace = await self.authenticator.authenticate(req, route, cfg)
        if workspace is None or self.quota_client is None:
            return await self._route(req, route, cfg, workspace, arrived_at)
        token = await self.quota_client.acquire(workspace)
        try:
            return await self._route(req, route, cfg, workspace, arrived_at)
        except Refused:
            # It has not run.
            if token is not None:
                self.quota_client.give_back(token)
            raise

    async def _route(
        self,
        req: CallerRequest,
        route: Route,
        cfg: Configuration,
        workspace: Workspace | None,
        arrived_at: float,
    ) -> RoutedAnswer:
        """Route a request that may be served."""
        service = cfg.services.get(self._choose_service(route))
        if service is None:
            raise Refused("no-service", MAX_RETRY_AFTER_SECONDS)
        wait = min(req.time_left - ANSWER_DELIVERY_SECONDS, route.timeout)
        times = self.caller_times
        may_return = times.may_return(req, route, service, cfg, arrived_at)
        age = times.least_age(req, route, arrived_at) if may_return else 0.0
        if age:
            self.count_event("attempt of earlier request")
        soft_deadline = arrived_at - age + route.objective - ANSWER_DELIVERY_SECONDS
        priority = route.priority
        if workspace is not None and workspace.priority is not None:
            priority = workspace.priority
        link_seconds = 0.0
        if route.is_upload:
            link_seconds = compute_link_seconds(len(req.body), self.link_mbps)
        ctx = RequestContext(
            req,
            route,
            service,
            arrived_at + wait,
            soft_deadline,
            priority,
            link_seconds,
        )
        ctx.age = age
        ctx.caller_may_return = may_return
        self.retry_budgets.record_request(service.name)
        self.loads.record_request(service.name)
        if service.owns_keys and req.key is not None:
            counts = self._key_counts.setdefault(service.name, {})
            counts[req.key] = counts.get(req.key, 0) + 1
            self.has_key_counts.set()
        return await self._forward(ctx)

    def take_key_counts(self) -> dict[str, dict[int, int]]:
        """Return the requests by service and key since the last call."""
        counts, self._key_counts = self._key_counts, {}
        self.has_key_counts.clear()
        return counts

    def _drop_removed_targets(self) -> None:
        self._seen_revision = self._cluster_view.revision
        names = set(self._cluster_view.known)
        self._clients.retain(names)
        self.cold_targets.retain(names)
        self.target_notices.prune()

    async def _forward(self, ctx: RequestContext) -> RoutedAnswer:
        """Send until there is an answer to return, or no further attempt is allowed."""
        try:
            while True:
                await self.suspect_guard.admit(ctx)
                name = await self._choose_target(ctx)
                if not self.suspect_guard.is_admitted(ctx):
                    self._withdraw(ctx)
                    continue
                try:
                    self._check_time_left(ctx, name)
                    self.authenticator.check_before_attempt(ctx)
                except EntryError:
                    self._withdraw(ctx)
                    raise
                answer = await self._attempt(ctx, name)
                self.suspect_guard.release(ctx)
                if answer is not None:
                    attempts, waited = ctx.attempts, ctx.waited
                    return RoutedAnswer(answer, name, attempts, waited, ctx.relay)
        except (Refused, Unanswered):
            if ctx.failed_answer is None:
                raise
            return ctx.failed_answer
        finally:
            self.suspect_guard.release(ctx)

    async def _find_owner(self, ctx: RequestContext) -> str:
        try:
            return await self._owner_resolver.find(ctx)
        except NoOwner as exc:
            raise self._errors.build_error(ctx, "no-owner", str(exc)) from exc

    def _check_time_left(self, ctx: RequestContext, name: str) -> None:
        """Refuse an order that its target is unlikely to complete in time.

        Its caller would learn that the outcome is unknown, although it could have been
        told that the order has not run. A VM that was suspended for a moment sends many
        requests in their last milliseconds. Without a permit the choice by load has
        checked as much.
        """
        if ctx.route.idempotent:
            return
        expected = self.loads.service_seconds(ctx.service.name, name, ctx.route.name)
        expected += ctx.link_seconds
        if ctx.seconds_left(now()) < expected:
            detail = f"target {name} takes {expected:.3f} s"
            raise self._errors.build_error(ctx, "no-time", detail)

    async def _choose_target(self, ctx: RequestContext) -> str:
        """Return the target for the next attempt."""
        if ctx.seconds_left(now()) < MIN_ATTEMPT_SECONDS:
            raise self._errors.build_error(ctx, "no-time")
        if ctx.service.owns_keys and ctx.req.key is not None:
            name = await self._choose_owner(ctx)
        else:
            name = await self._choose_without_key(ctx)
        if ctx.attempts:
            try:
                self._check_retry_limits(ctx, name)
            except EntryError:
                self._withdraw(ctx)
                raise
        return name

    def _check_retry_limits(self, ctx: RequestContext, name: str) -> None:
        if ctx.attempts >= ctx.route.attempts and name not in ctx.tried_targets:
            raise self._errors.build_error(ctx, "attempts")
        if name in ctx.tried_targets:
            self.count_event("sent again to the same target")
        if not self.retry_budgets.try_withdraw(ctx.service.name):
            raise self._errors.build_error(ctx, "budget")

    async def _choose_owner(self, ctx: RequestContext) -> str:
        """Return the owner of the key, unless it is overloaded.

        The load is a range of keys that moves while requests for it wait at its former
        owner. A refusal there says nothing of the new owner, which may be idle, so it
        is not returned to the caller. Each further pass needs a change of the
        assignment, and the number of passes is limited by the request's time.
        """
        while True:
            if ctx.seconds_left(now()) < MIN_ATTEMPT_SECONDS:
                raise self._errors.build_error(ctx, "no-time")
            name = await self._find_owner(ctx)
            if not self.cold_targets.may_send(name, ctx.service):
                raise self._errors.build_error(ctx, "cold")
            data_centre = self._cluster_view.known[name].target.data_centre
            await self._admit(ctx, name)
            try:
                await self._acquire_permit(ctx, name, data_centre)
                is_owner = self._owner_resolver.is_owner(ctx, name)
                if is_owner and ctx.permit is None:
                    self._check_owner_load(ctx, name)
            except KeyMoved:
                is_owner = False
            except BaseException:
                self._withdraw(ctx)
                raise
            if is_owner and self.target_admission.is_valid(ctx, name):
                return name
            # The key moved, or its owner asked for less, during the wait.
            self._withdraw(ctx)

    async def _acquire_permit(
        self, ctx: RequestContext, queue: str, data_centre: str = ""
    ) -> None:
        """Wait for a permit from a queue; set none if no VM serves the queue."""
        if self.permit_client is None:
            return
        started_at = now()
        try:
            ctx.permit = await self.permit_client.acquire(ctx, queue, data_centre)
        except KeyMoved:
            ctx.waited += now() - started_at
            raise
        except PermitRefused as exc:
            ctx.waited += now() - started_at
            if not self.is_current_queue(ctx, queue):
                self.count_event("refusal of former owner ignored")
                raise KeyMoved(exc.permit) from exc
            reason = "owner-busy" if data_centre else "no-room"
            raise self._errors.build_error(
                ctx, reason, exc.permit, exc.retry_after, ctx.caller_may_return
            ) from exc
        ctx.waited += now() - started_at
        if ctx.seconds_left(now()) < MIN_ATTEMPT_SECONDS:
            self._release_permit(ctx)
            raise self._errors.build_error(ctx, "no-time")

    def is_current_queue(self, ctx: RequestContext, queue: str) -> bool:
        """Tell whether a request may be sent with a permit from a queue.

        The queue of an owner of keys is the right one only while it owns the request's
        key.
        """
        if ctx.service.owns_keys and ctx.req.key is not None:
            return self._owner_resolver.is_owner(ctx, queue)
        return True

    def _release_permit(
        self,
        ctx: RequestContext,
        failed: bool = False,
        load: LoadReport | None = None,
    ) -> None:
        if ctx.permit is not None and self.permit_client is not None:
            self.permit_client.release(ctx.permit, failed, load)
        ctx.permit = None

    def _release_unjudged(self, ctx: RequestContext) -> None:
        """Release a permit without a word on whether its target has failed.

        The permit server ejects targets that fail requests of any VM. A VM that has
        lost its own links would take the targets from the callers of all others.
        """
        if ctx.permit is not None:
            ctx.permit.target = 0
        self._release_permit(ctx)

    async def _admit(self, ctx: RequestContext, name: str) -> None:
        """Wait until the target accepts the request.

        Raises
        ------
        Refused, Unanswered
            It accepts no further request for some time.
        """
        try:
            await self.target_admission.admit(ctx, name)
        except Refused as exc:
            raise self._errors.build_error(
                ctx, exc.reason, exc.detail, exc.retry_after
            ) from exc

    def _withdraw(self, ctx: RequestContext) -> None:
        """Release the permit and the token of a request that is not sent."""
        self._release_permit(ctx)
        self.target_admission.withdraw(ctx)

    def _check_owner_load(self, ctx: RequestContext, name: str) -> None:
        """Refuse a request if this VM's data shows that the owner is overloaded."""
        loads = self.loads.for_service(ctx.service.name)
        loads.load(name, self._cluster_view.known[name].target.slots)
        expected = loads.expected_seconds(name, ctx.route.name, now())
        expected += ctx.link_seconds
        limit = min(OWNER_WAIT * ctx.route.objective, ctx.seconds_left(now()))
        if expected > limit:
            detail = loads.describe(name, now())
            raise self._errors.build_error(ctx, "owner-busy", detail)

    async def _choose_without_key(self, ctx: RequestContext) -> str:
        """Return the target of a request without a key, with a token if it needs one.

        A target whose limit has no token left is not eligible any more, so that another
        one is chosen.
        """
        while True:
            name = await self._choose_among_eligible(ctx)
            try:
                await self._admit(ctx, name)
            except (Refused, Unanswered):
                self._withdraw(ctx)
                if not self.target_notices.blocked_seconds(name):
                    raise
                continue
            except BaseException:
                self._withdraw(ctx)
                raise
            if self.target_admission.is_valid(ctx, name):
                return name
            self._withdraw(ctx)

    async def _choose_among_eligible(self, ctx: RequestContext) -> str:
        """Return the target of a request without a key, with a permit if possible."""
        names = self._eligible_targets(ctx)
        limited = [n for n in names if self._is_limited(n, ctx.service)]
        if ctx.attempts or len(limited) == len(names):
            # A retry avoids the targets that have failed it.
            return self._choose_by_load(ctx, names)
        if limited:
            # Requests to cold targets are limited per VM, those to targets with a limit
            # by tokens, and both need no permit.
            name = self._choose_by_load(ctx, names)
            if name in limited:
                return name
        await self._acquire_permit(ctx, ctx.service.name)
        name = ""
        if ctx.permit is not None:
            name = self._cluster_view.target_name(ctx.permit.target)
        # Targets may have become unusable or asked for rest during the wait.
        names = [
            n
            for n in names
            if self._cluster_view.is_usable(n)
            and not self.target_notices.blocked_seconds(n)
        ]
        if name in names:
            return name
        # The permit server learns of a removed target later or earlier than this VM.
        self._release_permit(ctx)
        if not names:
            raise self._errors.build_error(ctx, "no-target")
        return self._choose_by_load(ctx, names)

    def _eligible_targets(self, ctx: RequestContext) -> list[str]:
        """Return the targets that may receive a request without a key."""
        names = self._cluster_view.usable_targets(ctx.service.name)
        loads = self.loads.for_service(ctx.service.name)
        known = self._cluster_view.known
        eligible = []
        blocked_seconds = []
        for name in names:
            seconds = self.target_notices.blocked_seconds(name)
            if seconds:
                blocked_seconds.append(seconds)
                continue
            if name in ctx.tried_targets or not self.cold_targets.may_send(
                name, ctx.service
            ):
                continue
            target = known[name].target
            load = loads.load(name, target.slots)
            if target.data_centre != self._data_centre:
                load.locality_penalty = OTHER_DATA_CENTRE
            eligible.append(name)
        if not eligible and blocked_seconds:
            wait = min(MAX_RETRY_SECONDS, *blocked_seconds)
            raise self._errors.build_error(ctx, "targets-ask-for-less", "", wait)
        if not eligible:
            raise self._errors.build_error(ctx, "no-target")
        return eligible

    def _is_limited(self, name: str, service: Service) -> bool:
        """Tell whether requests to a target are limited by more than its slots."""
        is_cold = self.cold_targets.limiter(name, service) is not None
        return is_cold or self.target_notices.limits.rate(name) is not None

    def _choose_by_load(self, ctx: RequestContext, eligible: list[str]) -> str:
        """Return the target with the earliest completion by this VM's data."""
        loads = self.loads.for_service(ctx.service.name)
        kind = ctx.route.name
        name = loads.choose(eligible, kind, now())
        expected = loads.expected_seconds(name, kind, now()) + ctx.link_seconds
        if expected > ctx.seconds_left(now()):
            raise self._errors.build_error(ctx, "no-room", loads.describe(name, now()))
        return name

    async def _attempt(self, ctx: RequestContext, name: str) -> TargetAnswer | None:
        """Send once; return None if the request may be sent again."""
        target = self._cluster_view.known[name].target
        loads = self.loads.for_service(ctx.service.name)
        load = loads.load(name, target.slots)
        self.cold_targets.record_request(name, ctx.service)
        token, ctx.target_token = ctx.target_token, None
        load.inflight += 1
        started_at = now()
        failed, report, had_permit = True, None, ctx.permit is not None
        kind, service = ctx.route.name, ctx.service.name
        expected = loads.service_seconds(name, kind, started_at)
        try:
            answer = await self.sender.send(
                ctx,
                target,
                expected,
                lambda: self._release_unjudged(ctx),
                lambda: self._hedge_admission.try_admit(ctx, name, expected),
                lambda: self._hedge_admission.withdraw(ctx),
            )
            failed, report = is_failure(answer), build_load_report(answer)
        except asyncio.CancelledError:
            # The caller has disconnected, which is no failure of the target.
            self._release_unjudged(ctx)
            raise
        except NeverSent as exc:
            ctx.target_token = token
            self.target_admission.withdraw(ctx)
            if self.sender.is_reachable_by_others_only(name):
                self._release_unjudged(ctx)
            else:
                load.record_failure(now())
            ctx.tried_targets.add(name)
            self._owner_resolver.turned_away(ctx, name)
            if ctx.seconds_left(now()) < MIN_ATTEMPT_SECONDS:
                raise self._errors.build_error(ctx, "unreachable") from exc
            return None
        except AnswerLost as exc:
            await self.suspect_guard.record_loss(ctx, target, exc)
            if self.sender.is_reachable_by_others_only(name):
                self._release_unjudged(ctx)
            self._handle_lost_answer(ctx, name, exc)
            return None
        finally:
            load.inflight -= 1
            self._release_permit(ctx, failed, report)
        if ctx.relay:
            # The first attempt may have hung before.
            started_at = max(started_at, ctx.hedged_at)
        self.target_notices.record_answer(target, answer, started_at)
        seconds = compute_work_seconds(now() - started_at, ctx.link_seconds)
        self.loads.record_answer(name, kind, service, answer, seconds)
        if not answer.not_run and not answer.misdirected:
            self.suspect_guard.record_answer(ctx)
        if answer.not_run and not answer.misdirected and had_permit:
            ctx.rejections += 1
        return self._handle_answer(ctx, name, answer)

    async def send_for_other(
        self, request: RelayRequest, target: Target, service: Service
    ) -> TargetAnswer:
        """Send a request to a target for a VM that does not reach it.

        That VM has chosen the target, and has all permits and tokens for the request.

        Raises
        ------
        NeverSent, AnswerLost
        """
        loads = self.loads.for_service(service.name)
        load = loads.load(target.name, target.slots)
        load.inflight += 1
        started_at = now()
        req, kind = request.req, request.kind
        try:
            answer = await self.links.send(
                req,
                target,
                service.max_connections_per_target,
                req.time_left,
                loads.service_seconds(target.name, kind, started_at),
                self._end_hanging if request.is_repeatable else lambda attempt: None,
            )
        except AnswerLost as exc:
            lost_answers = self.suspect_guard.lost_answers
            raise await lost_answers.explain(req, service, target, exc) from exc
        finally:
            load.inflight -= 1
        self.target_notices.record_answer(target, answer, started_at)
        seconds = now() - started_at
        self.loads.record_answer(target.name, kind, service.name, answer, seconds)
        return answer

    def _end_hanging(self, attempt: Attempt) -> None:
        """End a request of another VM, which may have a way that works.

        A VM that stops ends none: a target may be at work on it.
        """
        if not self.links.is_stopping:
            attempt.abort("the link to the target is lost")

    def _handle_lost_answer(
        self, ctx: RequestContext, name: str, exc: AnswerLost
    ) -> None:
        ctx.attempts += 1
        ctx.tried_targets.add(name)
        moment = now()
        late = ctx.seconds_left(moment) < MIN_ATTEMPT_SECONDS
        ctx.lost_reason = "timeout" if late else "answer-lost"
        is_link_lost = self.sender.is_reachable_by_others_only(name)
        if not is_link_lost:
            loads = self.loads.for_service(ctx.service.name)
            loads.load(name, 1).record_failure(moment)
        if not ctx.route.idempotent or late:
            detail = f"target {name} attempts {ctx.attempts}: {exc}"
            raise Unanswered(ctx.lost_reason, late, detail) from exc
        if not is_link_lost:
            # Some targets reset connections when they are full.
            self._owner_resolver.turned_away(ctx, name)

    def _handle_answer(
        self, ctx: RequestContext, name: str, answer: TargetAnswer
    ) -> TargetAnswer | None:
        ctx.attempts += 1
        if answer.misdirected:
            # The keys have moved, or another target now uses the address. The owner may
            # be asked again once this VM has learned of the move.
            self._owner_resolver.turned_away(ctx, name)
            return None
        ctx.tried_targets.add(name)
        if answer.not_run:
            # The target is full. Without a delay its owner would be asked again within
            # a millisecond, and the retry budget would be spent on attempts that fail.
            # A target that rejects a request with a permit has free slots, and a delay
            # would only make the answer late.
            if ctx.rejections != 1:
                self._owner_resolver.turned_away(ctx, name)
            return None
        failed = answer.status >= SERVER_ERROR
        if failed and ctx.route.idempotent and self._can_retry(ctx):
            ctx.failed_answer = RoutedAnswer(answer, name, ctx.attempts)
            return None
        return answer

    def _can_retry(self, ctx: RequestContext) -> bool:
        has_time = ctx.seconds_left(now()) > ctx.route.objective / 2
        return has_time and ctx.attempts < ctx.route.attempts

    def _choose_service(self, route: Route) -> str:
        if len(route.weighted_services) == 1:
            return route.weighted_services[0].service
        weights = tuple((s.service, s.weight) for s in route.weighted_services)
        known = self._splits.get(route.name)
        if known is None or known[0] != weights:
            split = WeightedRoundRobin([w for _, w in weights], self._rng.random())
            known = self._splits[route.name] = (weights, split)
        return route.weighted_services[known[1].pick()].service
