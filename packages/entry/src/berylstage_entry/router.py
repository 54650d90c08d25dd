"""The way of one request: its route, its target, and whether it is tried again."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from berylstage_policy.cold_pace import ColdPace, may_warm_up
from berylstage_policy.completion import OTHER_DATA_CENTRE, ServiceLoads
from berylstage_policy.retries import Budget
from berylstage_policy.shares import WeightedTurns
from berylstage_transfers.errors import AnswerLost, NeverSent

from berylstage_entry.clock import now
from berylstage_entry.errors import BadRequest, NoOwner, Refused, Unanswered
from berylstage_entry.journey import Answered, Journey
from berylstage_entry.owners import Owners

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.directory import Directory
    from berylstage_entry.feed import Feed
    from berylstage_entry.routes import Route
    from berylstage_entry.senders import Senders
    from berylstage_entry.services import Service
    from berylstage_entry.settings import Bounds
    from berylstage_entry.targets import LoadReport, Target
    from berylstage_entry.wire import CallerRequest, TargetAnswer

# Seconds of a request's time that are kept for the way of the answer to the caller.
ANSWER_WAY = 0.02
# Seconds within which a target's answer must be expected for it to be worth sending.
LEAST_TIME = 0.02
# Seconds after which a caller may come back when a service has no room. Callers take up
# to a third of their time for it; the spread keeps them from coming all at once.
SHORTEST_RETURN = 0.05
LONGEST_RETURN = 0.25
# Share of the bound on repeats that is used; the rest is for the clocks of the VMs,
# which do not cut time into the same windows.
BUDGET_USE = 0.8
# Time until the owner of a key would be done with one more request, as a share of the
# route's objective, above which the request is refused at once. At 1.0 requests were
# refused that a moment later had room; without a limit those for a key that asks for
# more than its owner can do were all late.
OWNER_WAIT = 1.4
# Status of an answer that tells of the target's own failure.
SERVER_ERROR = 500
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
    """

    def __init__(
        self,
        directory: Directory,
        feed: Feed,
        senders: Senders,
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
        self._vm = vm
        self._loads: dict[str, ServiceLoads] = {}
        self._budgets: dict[str, Budget] = {}
        self._turns: dict[str, tuple[tuple, WeightedTurns]] = {}
        self._paces: dict[tuple[str, int], ColdPace] = {}
        self._seen_revision = -1
        # VMs that are known, and their number with some that may be starting.
        self.vms = 10
        self.vm_names: list[str] = []
        # Called with each report of load that a target gives.
        self.listeners: list[Callable[[str, int, float], None]] = []
        # When a request for each service came last.
        self._asked: dict[str, float] = {}
        # Requests for each key since the last report to the granting VM.
        self._key_counts: dict[str, dict[int, int]] = {}

    async def serve(self, req: CallerRequest) -> Answered:
        """Serve one request.

        Raises
        ------
        BadRequest, Refused, Unanswered
        """
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
        journey = Journey(req, route, service, now() + wait)
        self._budget(service.name).earn()
        self._asked[service.name] = now()
        if service.owns_keys and req.key is not None:
            counts = self._key_counts.setdefault(service.name, {})
            counts[req.key] = counts.get(req.key, 0) + 1
        return await self._travel(journey)

    def take_key_counts(self) -> dict[str, dict[int, int]]:
        """Return the requests for each key, by service, since the last call."""
        counts, self._key_counts = self._key_counts, {}
        return counts

    def ages(self, target: Target, moment: float) -> tuple[float, float]:
        """Return the seconds since a target told its load, and since it mattered.

        Parameters
        ----------
        target : Target
        moment : float
            Monotonic seconds.

        Returns
        -------
        tuple of float
            Since its last report, and since this VM had a request for its service.
        """
        loads = self._service_loads(target.service)
        load = loads.load(target.name, target.slots)
        asked = self._asked.get(target.service, float("-inf"))
        return moment - load.reported, moment - asked

    def heard(self, target: Target, busy: int, report: LoadReport) -> None:
        """Take in what a target has told this VM of its load, and pass it on.

        Parameters
        ----------
        target : Target
        busy : int
            Requests that run or wait there, one that was just answered not counted.
        report : LoadReport
        """
        loads = self._service_loads(target.service)
        load = loads.load(target.name, target.slots)
        load.told(busy, report.slots, report.pace, now())
        loads.told(load)
        for listener in self.listeners:
            listener(target.name, busy, report.pace)

    def unheard(self, target: Target) -> None:
        """Note that a target did not answer when it was asked for its load."""
        loads = self._service_loads(target.service)
        loads.load(target.name, target.slots).failed(now())

    def told_of(self, name: str, busy: int, pace: float, at: float) -> None:
        """Take in what another VM has heard of the load of a target.

        Parameters
        ----------
        name : str
        busy : int
            Requests that run or wait there.
        pace : float
        at : float
            When it was heard. What is older than what this VM knows is passed over.
        """
        known = self._directory.known.get(name)
        loads = self._loads.get(known.target.service) if known else None
        if known is None or loads is None:
            return
        load = loads.load(name, known.target.slots)
        if at <= load.reported:
            return
        load.told(busy, known.target.slots, pace, at)
        loads.told(load)

    def service_loads(self, service: str) -> ServiceLoads | None:
        """Return what this VM has seen of the targets of a service."""
        return self._loads.get(service)

    async def _travel(self, journey: Journey) -> Answered:
        """Send until there is an answer to give, or no way to get one."""
        try:
            while True:
                name = await self._choose(journey)
                answer = await self._attempt(journey, name)
                if answer is not None:
                    return Answered(answer, name, journey.attempts)
        except (Refused, Unanswered):
            if journey.failure is None:
                raise
            return journey.failure

    async def _choose(self, journey: Journey) -> str:
        """Return the target for the next attempt."""
        if journey.left(now()) < LEAST_TIME:
            raise self._given_up(journey, "no-time")
        if journey.service.owns_keys and journey.req.key is not None:
            name = await self._owner(journey)
        else:
            name = self._free_target(journey)
        if journey.attempts:
            self._may_repeat(journey, name)
        return name

    def _may_repeat(self, journey: Journey, name: str) -> None:
        if journey.attempts >= journey.route.attempts and name not in journey.tried:
            raise self._given_up(journey, "attempts")
        if not self._budget(journey.service.name).spend():
            raise self._given_up(journey, "budget")

    async def _owner(self, journey: Journey) -> str:
        """Return the owner of the key, unless it has enough to do."""
        try:
            name = await self._owners.find(journey)
        except NoOwner as exc:
            raise self._given_up(journey, "no-owner", str(exc)) from exc
        return self._paced(journey, name)

    def _paced(self, journey: Journey, name: str) -> str:
        """Let the owner of a key get no more than it can bear."""
        if not self._may_send(name, journey.service):
            raise self._given_up(journey, "cold")
        loads = self._service_loads(journey.service.name)
        loads.load(name, self._directory.known[name].target.slots)
        expected = loads.expected(name, journey.route.name, now())
        if expected > OWNER_WAIT * journey.route.objective:
            detail = loads.describe(name, now())
            raise self._given_up(journey, "owner-busy", detail)
        return name

    def _free_target(self, journey: Journey) -> str:
        names = self._directory.usable(journey.service.name)
        loads = self._service_loads(journey.service.name)
        known = self._directory.known
        fit = []
        for name in names:
            if name in journey.tried or not self._may_send(name, journey.service):
                continue
            target = known[name].target
            load = loads.load(name, target.slots)
            if target.data_centre != self._data_centre:
                load.distance = OTHER_DATA_CENTRE
            fit.append(name)
        if not fit:
            raise self._given_up(journey, "no-target")
        kind = journey.route.name
        name = loads.choose(fit, kind, now())
        if loads.expected(name, kind, now()) > journey.left(now()):
            raise self._given_up(journey, "no-room", loads.describe(name, now()))
        return name

    async def _attempt(self, journey: Journey, name: str) -> TargetAnswer | None:
        """Send once; None when it may be tried again."""
        target = self._directory.known[name].target
        sender = self._senders.to(target, journey.service.connections)
        loads = self._service_loads(journey.service.name)
        load = loads.load(name, target.slots)
        self._note_sent(name, journey.service)
        load.inflight += 1
        began = now()
        try:
            answer = await sender.send(journey.req, journey.left(began))
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
        self._learn(loads, journey.route.name, name, answer, now() - began)
        return self._judge(journey, name, answer)

    def _lost(self, journey: Journey, name: str, exc: AnswerLost) -> None:
        journey.attempts += 1
        journey.tried.add(name)
        moment = now()
        late = journey.left(moment) < LEAST_TIME
        journey.lost = "timeout" if late else "answer-lost"
        self._service_loads(journey.service.name).load(name, 1).failed(moment)
        if not journey.route.idempotent or late:
            detail = f"target {name} attempts {journey.attempts}: {exc}"
            raise Unanswered(journey.lost, late, detail) from exc
        # Some targets reset connections when they are full.
        self._owners.turned_away(journey, name)

    def _learn(
        self,
        loads: ServiceLoads,
        kind: str,
        name: str,
        answer: TargetAnswer,
        seconds: float,
    ) -> None:
        load = loads.load(name, 1)
        moment = now()
        known = self._directory.known.get(name)
        if answer.load is not None and known is not None:
            told = answer.load
            # Its target counts the answered request as still running.
            busy = max(0, told.running + told.waiting - 1)
            self.heard(known.target, busy, told)
        if answer.not_run or answer.misdirected or answer.status >= SERVER_ERROR:
            load.failed(moment)
            return
        load.worked(moment)
        if answer.load is None or not answer.load.waiting:
            loads.answered(name, kind, seconds / load.pace)

    def _judge(
        self, journey: Journey, name: str, answer: TargetAnswer
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
            self._owners.turned_away(journey, name)
            return None
        failed = answer.status >= SERVER_ERROR
        if failed and journey.route.idempotent and self._can_repeat(journey):
            journey.failure = Answered(answer, name, journey.attempts)
            return None
        return answer

    def _can_repeat(self, journey: Journey) -> bool:
        enough = journey.left(now()) > journey.route.objective / 2
        return enough and journey.attempts < journey.route.attempts

    def _given_up(
        self, journey: Journey, reason: str, detail: str = ""
    ) -> Refused | Unanswered:
        detail = f"{detail} attempts {journey.attempts} {journey.trace()}".strip()
        if journey.lost:
            return Unanswered(journey.lost, False, detail)
        back = self._rng.uniform(SHORTEST_RETURN, LONGEST_RETURN)
        return Refused(reason, back, detail)

    def _service_of(self, route: Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = tuple((s.service, s.weight) for s in route.shares)
        known = self._turns.get(route.name)
        if known is None or known[0] != weights:
            turns = WeightedTurns([w for _, w in weights], self._rng.random())
            known = self._turns[route.name] = (weights, turns)
        return route.shares[known[1].take()].service

    def _service_loads(self, service: str) -> ServiceLoads:
        if self._seen_revision != self._directory.revision:
            self._forget_gone()
        loads = self._loads.get(service)
        if loads is None:
            loads = self._loads[service] = ServiceLoads(self._rng)
        return loads

    def _forget_gone(self) -> None:
        self._seen_revision = self._directory.revision
        names = set(self._directory.known)
        for loads in self._loads.values():
            loads.keep(names)
        self._senders.keep(names)

    def _budget(self, service: str) -> Budget:
        budget = self._budgets.get(service)
        if budget is None:
            share = self._bounds.retry_ratio * BUDGET_USE
            reserve = self._bounds.retry_allowance / (2 * self.vms)
            budget = self._budgets[service] = Budget(share, max(1.0, reserve))
        return budget

    def _pace(self, name: str, service: Service) -> ColdPace | None:
        """Return the pace towards a target that is cold; None for a warm one."""
        known = self._directory.known[name]
        if known.cold_until <= now():
            return None
        identity = known.target.identity
        pace = self._paces.get(identity)
        if pace is None:
            bound = self._bounds.cold_bound(service.cold_rate)
            pace = ColdPace(bound, self.vms, now())
            self._paces[identity] = pace
        return pace

    def _may_send(self, name: str, service: Service) -> bool:
        pace = self._pace(name, service)
        if pace is None:
            return True
        bound = self._bounds.cold_bound(service.cold_rate)
        mine = may_warm_up(name, self._vm, self.vm_names, bound)
        return mine and pace.may_send(now())

    def _note_sent(self, name: str, service: Service) -> None:
        pace = self._pace(name, service)
        if pace is not None:
            pace.sent(now())
