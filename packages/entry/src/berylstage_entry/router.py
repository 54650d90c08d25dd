"""The way of one request: its route, its target, and whether it is tried again."""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

from berylstage_policy.completion import OTHER_DATA_CENTRE
from berylstage_policy.retries import RetryBudget
from berylstage_policy.weighted_round_robin import WeightedRoundRobin
from berylstage_transfers.errors import AnswerLost, NeverSent

from berylstage_entry.clock import now
from berylstage_entry.cold_targets import ColdTargets
from berylstage_entry.errors import (
    BadRequest,
    NoOwner,
    PermitRefused,
    Refused,
    Unanswered,
)
from berylstage_entry.owners import Owners
from berylstage_entry.request_context import RequestContext, RoutedAnswer
from berylstage_entry.target_loads import (
    SERVER_ERROR,
    TargetLoads,
    has_failed,
    report_of,
)

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.permit_client import PermitClient
    from berylstage_entry.protocols import CallerRequest, TargetAnswer
    from berylstage_entry.routes import Route
    from berylstage_entry.settings import Bounds
    from berylstage_entry.store_watcher import StoreWatcher
    from berylstage_entry.target_clients import TargetClients
    from berylstage_entry.targets import LoadReport

# Seconds of a request's time that are kept for the way of the answer to the caller.
ANSWER_WAY = 0.02
# Seconds within which a target's answer must be expected for it to be worth sending.
LEAST_TIME = 0.02
# Seconds after which a caller may come back when a service has no room. Callers take up
# to a third of their time for it; the spread keeps them from coming all at once.
SHORTEST_RETURN = 0.05
LONGEST_RETURN = 0.25
# The same for callers whose target turned them away though it had room.
RETURN_AT_ONCE = 0.01
# Times the wait until there is room over which refused callers are spread.
RETURN_SPREAD = 1.25
# Share of the bound on repeats that is used; the rest is for the clocks of the VMs,
# which do not cut time into the same windows.
BUDGET_USE = 0.8
# Time until the owner of a key would be done with one more request, as a share of the
# route's objective, above which the request is refused at once. At 1.0 requests were
# refused that a moment later had room; without a limit those for a key that asks for
# more than its owner can do were all late.
OWNER_WAIT = 1.4
NOT_FOUND = 404


class Router:
    """Serves callers' requests.

    Parameters
    ----------
    directory : Directory
    feed : Feed
    senders : Senders
    bounds : Bounds
    rng : Random
    data_centre : str
        Of this VM.
    vm : str
        Its name.

    Attributes
    ----------
    loads : TargetLoads
    cold : ColdTargets
    """

    def __init__(
        self,
        directory: ClusterView,
        feed: StoreWatcher,
        senders: TargetClients,
        bounds: Bounds,
        rng: Random,
        data_centre: str = "",
        vm: str = "",
    ):
        self._directory = directory
        self._owners = Owners(feed, directory)
        self._senders = senders
        self._bounds = bounds
        self._rng = rng
        self._data_centre = data_centre
        self.loads = TargetLoads(directory, rng)
        self.cold = ColdTargets(directory, bounds, vm)
        self._budgets: dict[str, RetryBudget] = {}
        self._turns: dict[str, tuple[tuple, WeightedRoundRobin]] = {}
        self._seen_revision = -1
        # VMs that are known, and some that may be starting.
        self.vms = 10
        # Gets turns at targets from who keeps the queues before them.
        self.turns: PermitClient | None = None
        # Requests for each key since the last report to the granting VM.
        self._key_counts: dict[str, dict[int, int]] = {}
        # Set while there are any.
        self.has_counted = asyncio.Event()

    async def serve(self, req: CallerRequest) -> RoutedAnswer:
        """Serve one request.

        Raises
        ------
        BadRequest, Refused, Unanswered
        """
        if self._seen_revision != self._directory.revision:
            self._forget_gone()
        cfg = self._directory.configuration
        if cfg is None:
            raise Refused("no-configuration", LONGEST_RETURN)
        route = cfg.table.find(req.host, req.path.partition("?")[0])
        if route is None:
            raise BadRequest(
                NOT_FOUND, "no route; add one for this host and path to the sheet"
            )
        service = cfg.services.get(self._service_of(route))
        if service is None:
            raise Refused("no-service", LONGEST_RETURN)
        wait = min(req.time_left - ANSWER_WAY, route.timeout)
        moment = now() - req.waited
        wanted = moment + route.objective - ANSWER_WAY
        journey = RequestContext(req, route, service, moment + wait, wanted)
        self._budget(service.name).earn()
        self.loads.asked(service.name)
        if service.owns_keys and req.key is not None:
            counts = self._key_counts.setdefault(service.name, {})
            counts[req.key] = counts.get(req.key, 0) + 1
            self.has_counted.set()
        return await self._travel(journey)

    def take_key_counts(self) -> dict[str, dict[int, int]]:
        """Return the requests for each key, by service, since the last call."""
        counts, self._key_counts = self._key_counts, {}
        self.has_counted.clear()
        return counts

    def _forget_gone(self) -> None:
        self._seen_revision = self._directory.revision
        names = set(self._directory.known)
        self._senders.keep(names)
        self.cold.keep(names)

    async def _travel(self, journey: RequestContext) -> RoutedAnswer:
        """Send until there is an answer to give, or no way to get one."""
        try:
            while True:
                name = await self._choose(journey)
                answer = await self._attempt(journey, name)
                if answer is not None:
                    attempts, waited = journey.attempts, journey.waited
                    return RoutedAnswer(answer, name, attempts, waited)
        except (Refused, Unanswered):
            if journey.failure is None:
                raise
            return journey.failure

    async def _choose(self, journey: RequestContext) -> str:
        """Return the target for the next attempt."""
        if journey.left(now()) < LEAST_TIME:
            raise self._given_up(journey, "no-time")
        if journey.service.owns_keys and journey.req.key is not None:
            name = await self._owner(journey)
        else:
            name = await self._free(journey)
        if journey.attempts:
            self._may_repeat(journey, name)
        return name

    def _may_repeat(self, journey: RequestContext, name: str) -> None:
        if journey.attempts >= journey.route.attempts and name not in journey.tried:
            raise self._given_up(journey, "attempts")
        if not self._budget(journey.service.name).spend():
            raise self._given_up(journey, "budget")

    async def _owner(self, journey: RequestContext) -> str:
        """Return the owner of the key, unless it has enough to do."""
        while True:
            try:
                name = await self._owners.find(journey)
            except NoOwner as exc:
                raise self._given_up(journey, "no-owner", str(exc)) from exc
            if not self.cold.may_send(name, journey.service):
                raise self._given_up(journey, "cold")
            centre = self._directory.known[name].target.data_centre
            await self._await_turn(journey, name, centre)
            if not self._owners.holds(journey, name):
                # The key has moved, or its owner has left, while the request waited.
                self._end_turn(journey)
                continue
            if journey.turn is None:
                return self._paced(journey, name)
            return name

    async def _await_turn(
        self, journey: RequestContext, queue: str, data_centre: str = ""
    ) -> None:
        """Wait for the turn of a request in a queue; none when nobody gives any."""
        if self.turns is None:
            return
        began = now()
        try:
            journey.turn = await self.turns.take(journey, queue, data_centre)
        except PermitRefused as exc:
            journey.waited += now() - began
            reason = "owner-busy" if data_centre else "no-room"
            raise self._given_up(journey, reason, exc.turn, exc.retry_after) from exc
        journey.waited += now() - began
        if journey.left(now()) < LEAST_TIME:
            self._end_turn(journey)
            raise self._given_up(journey, "no-time")

    def _end_turn(
        self,
        journey: RequestContext,
        failed: bool = False,
        load: LoadReport | None = None,
    ) -> None:
        if journey.turn is not None and self.turns is not None:
            self.turns.done(journey.turn, failed, load)
        journey.turn = None

    def _paced(self, journey: RequestContext, name: str) -> str:
        """Let the owner of a key get no more than this VM believes it can bear."""
        loads = self.loads.of(journey.service.name)
        loads.load(name, self._directory.known[name].target.slots)
        expected = loads.expected(name, journey.route.name, now())
        limit = min(OWNER_WAIT * journey.route.objective, journey.left(now()))
        if expected > limit:
            detail = loads.describe(name, now())
            raise self._given_up(journey, "owner-busy", detail)
        return name

    async def _free(self, journey: RequestContext) -> str:
        """Return the target of a request without a key, when it has its turn there."""
        names = self._fit(journey)
        cold = [n for n in names if self.cold.pace(n, journey.service) is not None]
        if journey.attempts or len(cold) == len(names):
            # Repeats go around what has failed them.
            return self._free_target(journey, names)
        if cold:
            # What a cold target may get is shared out among the VMs, without turns.
            name = self._free_target(journey, names)
            if name in cold:
                return name
        await self._await_turn(journey, journey.service.name)
        name = ""
        if journey.turn is not None:
            name = self._directory.named(journey.turn.target)
        # Targets may have left while the request waited.
        names = [n for n in names if self._directory.may_use(n)]
        if name in names:
            return name
        # The keeper does not know yet that it is gone, or knows it before this VM.
        self._end_turn(journey)
        if not names:
            raise self._given_up(journey, "no-target")
        return self._free_target(journey, names)

    def _fit(self, journey: RequestContext) -> list[str]:
        """Return the targets that a request without a key may go to."""
        names = self._directory.usable(journey.service.name)
        loads = self.loads.of(journey.service.name)
        known = self._directory.known
        fit = []
        for name in names:
            if name in journey.tried or not self.cold.may_send(name, journey.service):
                continue
            target = known[name].target
            load = loads.load(name, target.slots)
            if target.data_centre != self._data_centre:
                load.distance = OTHER_DATA_CENTRE
            fit.append(name)
        if not fit:
            raise self._given_up(journey, "no-target")
        return fit

    def _free_target(self, journey: RequestContext, fit: list[str]) -> str:
        """Return the target that this VM believes will be done first."""
        loads = self.loads.of(journey.service.name)
        kind = journey.route.name
        name = loads.choose(fit, kind, now())
        if loads.expected(name, kind, now()) > journey.left(now()):
            raise self._given_up(journey, "no-room", loads.describe(name, now()))
        return name

    async def _attempt(self, journey: RequestContext, name: str) -> TargetAnswer | None:
        """Send once; None when it may be tried again."""
        target = self._directory.known[name].target
        sender = self._senders.to(target, journey.service.connections)
        loads = self.loads.of(journey.service.name)
        load = loads.load(name, target.slots)
        self.cold.sent(name, journey.service)
        load.inflight += 1
        began = now()
        failed, report, had_turn = True, None, journey.turn is not None
        try:
            answer = await sender.send(journey.req, journey.left(began))
            failed, report = has_failed(answer), report_of(answer)
        except asyncio.CancelledError:
            # Its caller has left, which says nothing about the target.
            if journey.turn is not None:
                journey.turn.target = 0
            raise
        except NeverSent as exc:
            load.failed(now())
            journey.tried.add(name)
            self._owners.turned_away(journey, name)
            if journey.left(now()) < LEAST_TIME:
                raise self._given_up(journey, "unreachable") from exc
            return None
        except AnswerLost as exc:
            self._lost(journey, name, exc)
            return None
        finally:
            load.inflight -= 1
            self._end_turn(journey, failed, report)
        kind, service = journey.route.name, journey.service.name
        self.loads.learn(name, kind, service, answer, now() - began)
        if answer.not_run and not answer.misdirected and had_turn:
            journey.shed += 1
        return self._judge(journey, name, answer)

    def _lost(self, journey: RequestContext, name: str, exc: AnswerLost) -> None:
        journey.attempts += 1
        journey.tried.add(name)
        moment = now()
        late = journey.left(moment) < LEAST_TIME
        journey.lost = "timeout" if late else "answer-lost"
        self.loads.of(journey.service.name).load(name, 1).failed(moment)
        if not journey.route.idempotent or late:
            detail = f"target {name} attempts {journey.attempts}: {exc}"
            raise Unanswered(journey.lost, late, detail) from exc
        # Some targets reset connections when they are full.
        self._owners.turned_away(journey, name)

    def _judge(
        self, journey: RequestContext, name: str, answer: TargetAnswer
    ) -> TargetAnswer | None:
        journey.attempts += 1
        if answer.misdirected:
            # The keys have moved, or the address has another target now. The owner may
            # be asked again once this VM has heard of the move.
            self._owners.turned_away(journey, name)
            return None
        journey.tried.add(name)
        if answer.not_run:
            # It is full. Without a pause its owner was asked again within a
            # millisecond, and repeats ran out for requests that they would have served.
            # One that turns away a request which has its turn has slots free, and a
            # pause would only make the answer late.
            if journey.shed != 1:
                self._owners.turned_away(journey, name)
            return None
        failed = answer.status >= SERVER_ERROR
        if failed and journey.route.idempotent and self._can_repeat(journey):
            journey.failure = RoutedAnswer(answer, name, journey.attempts)
            return None
        return answer

    def _can_repeat(self, journey: RequestContext) -> bool:
        enough = journey.left(now()) > journey.route.objective / 2
        return enough and journey.attempts < journey.route.attempts

    def _given_up(
        self, journey: RequestContext, reason: str, detail: str = "", after: float = 0.0
    ) -> Refused | Unanswered:
        detail = f"{detail} attempts {journey.attempts} {journey.trace()}".strip()
        if journey.lost:
            return Unanswered(journey.lost, False, detail)
        back = self._rng.uniform(SHORTEST_RETURN, LONGEST_RETURN)
        if journey.shed:
            # There is room; waiting would not make the next try any better.
            back = RETURN_AT_ONCE
        if after:
            back = max(SHORTEST_RETURN, after) * self._rng.uniform(1, RETURN_SPREAD)
        return Refused(reason, back, detail)

    def _service_of(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = tuple((s.service, s.weight) for s in route.shares)
        known = self._turns.get(route.name)
        if known is None or known[0] != weights:
            turns = WeightedRoundRobin([w for _, w in weights], self._rng.random())
            known = self._turns[route.name] = (weights, turns)
        return route.shares[known[1].take()].service

    def _budget(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            share = self._bounds.retry_ratio * BUDGET_USE
            reserve = self._bounds.retry_allowance / (2 * self.vms)
            budget = self._budgets[service] = RetryBudget(share, max(1.0, reserve))
        return budget
