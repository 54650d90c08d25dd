"""The way of a caller's request: to the right VM, again if that may help."""

from __future__ import annotations

import asyncio
from random import SystemRandom
from typing import TYPE_CHECKING

from berylstage_policy.retries import RetryPolicy, RetryVerdict
from berylstage_policy.tickets import AttemptOutcome
from berylstage_sheet.configuration import Ownership
from logbook import Logger

from berylstage_daemon.answers import Answer, Outcome, not_run, reason_label, settled
from berylstage_daemon.clock import now
from berylstage_daemon.forwarding import forward
from berylstage_daemon.free import FreeServices
from berylstage_daemon.thresholds import thresholds_of

if TYPE_CHECKING:
    from berylstage_ownership.routing import Route
    from berylstage_sheet.configuration import Configuration

    from berylstage_daemon.application import Application
    from berylstage_daemon.requests import CallerRequest

log = Logger("router")

# Refusals that say nothing of the target's load, only that VMs disagree for a moment
# on who leads: another look at the route helps, and the target is not loaded by it.
ROUTE_REASONS = frozenset(
    {
        "no-owner",
        "not-leader",
        "leader-unreachable",
        "no-lease",
        "target-down",
        "moved",
        "moving",
        "fence",
        "draining",
        "unwilling",
        "connect",
        "no-service",
        "no-kind",
    }
)
# A take-over takes a lease time and a write; longer than this it does not last unless
# something else is wrong, and the caller does better to come back.
ROUTE_WAIT = 2.5
# Twice the time in which a new assignment reaches a VM on the same network.
ROUTE_PAUSE = 0.03
# While a target is lost, each of its requests asks again and again. At a steady 30 ms
# a few hundred of them would cost a VM more than all its other work; doubled up to
# this they ask eight times a second, and a key is found that much after its return.
ROUTE_PAUSE_LIMIT = 0.12

ENDED = {
    Outcome.ANSWERED: AttemptOutcome.ANSWERED,
    Outcome.NOT_RUN: AttemptOutcome.NOT_RUN,
    Outcome.UNKNOWN: AttemptOutcome.UNKNOWN,
    Outcome.IN_PROGRESS: AttemptOutcome.ANSWERED,
}


class Router:
    """Brings each request to the VM that leads its target.

    Parameters
    ----------
    app : Application
    """

    def __init__(self, app: Application):
        self._app = app
        self._rng = SystemRandom()
        self._overrides: dict[str, float] = {}
        self._retries: dict[str, RetryPolicy] = {}
        self._free = FreeServices(app, self._pass, self._rng)
        app.events.connect("configuration-adopted", self._configured)

    async def serve(self, req: CallerRequest) -> Answer:
        """Serve a request from arrival to its end.

        Parameters
        ----------
        req : CallerRequest

        Returns
        -------
        Answer
        """
        answer = await self._attempts(req)
        seconds = now() - req.arrived
        self._record(req, answer, seconds)
        self._app.events.emit("request-finished", req, answer, seconds)
        return answer

    async def _attempts(self, req: CallerRequest) -> Answer:
        """Try until there is an answer or another attempt is of no use."""
        give_up = min(req.deadline, req.arrived + ROUTE_WAIT)
        route_pause = ROUTE_PAUSE
        doubt: Answer | None = None
        while True:
            answer = await self._attempt(req)
            if answer.outcome is Outcome.UNKNOWN:
                doubt = answer
            if _is_misrouted(req, answer):
                pause = self._rng.uniform(0.5, 1.0) * route_pause
                route_pause = min(2 * route_pause, ROUTE_PAUSE_LIMIT)
                if now() + pause >= give_up:
                    return settled(answer, doubt)
                await asyncio.sleep(pause)
                continue
            retry = self._pause(req, answer)
            if retry is None:
                return settled(answer, doubt)
            self._app.metrics.count("retried")
            await asyncio.sleep(retry)
            req.attempt += 1

    def _pause(self, req: CallerRequest, answer: Answer) -> float | None:
        """Return the seconds to wait before a retry, or None when there is none."""
        policy = self._retries.get(req.service.name)
        if policy is None:
            # The sheet has just removed the service.
            return None
        if answer.outcome is Outcome.ANSWERED:
            policy.record_success()
        if answer.outcome is Outcome.NOT_RUN and answer.reason not in ("cold", "shed"):
            # Our own queue turned it away for want of time or room: the same queue
            # would say the same again, and its caller is told when to come back.
            return None
        decision = policy.decide(
            req.kind.repeatable,
            ENDED[answer.outcome],
            req.deadline - now(),
            req.attempt + 1,
            0.0,
        )
        if decision.verdict is RetryVerdict.RETRY:
            return decision.delay
        return None

    async def _attempt(self, req: CallerRequest) -> Answer:
        """Bring the request once to where it belongs."""
        if req.service.ownership is Ownership.FREE:
            return await self._free.attempt(req)
        routes = self._app.control.routes
        shard = routes.shard(req.service.name, req.key)
        route = routes.route(req.service.name, shard)
        if route is None:
            return not_run("no-owner")
        return await self._pass(req, route, False)

    async def _pass(
        self, req: CallerRequest, route: Route, may_decline: bool
    ) -> Answer:
        """Serve here or pass the request to the VM that leads."""
        target = route.target if req.service.ownership is Ownership.FREE else ""
        if route.vm == self._app.cfg.vm:
            return await self._app.leaders.serve(req, target, may_decline)
        self._app.metrics.count("forwarded")
        link = self._app.links.link(route.peer_address)
        return await forward(link, req, target, may_decline)

    def _configured(self, cfg: Configuration) -> None:
        """Take in services, targets and thresholds."""
        # Policies are built with their thresholds. What they have learned is learned
        # again within a hundred answers.
        is_new = cfg.thresholds != self._overrides
        if is_new:
            self._overrides = dict(cfg.thresholds)
            self._retries.clear()
        for name in cfg.services:
            if name not in self._retries:
                self._retries[name] = RetryPolicy(thresholds_of(cfg), self._rng)
        self._free.configured(cfg, is_new)

    def _record(self, req: CallerRequest, answer: Answer, seconds: float) -> None:
        """Write metrics and the request log."""
        request_class = req.kind.request_class.value
        outcome = answer.outcome.value
        metrics = self._app.metrics
        metrics.request(req.service.tenant, request_class, outcome, seconds)
        if answer.outcome is not Outcome.ANSWERED:
            metrics.count(f"refused.{reason_label(answer.reason)}")
        wanted = self._app.cfg.request_log
        if wanted == "none":
            return
        if wanted == "failed" and answer.outcome is Outcome.ANSWERED:
            return
        log.info("request", extra=self._fields(req, answer, seconds))

    def _fields(self, req: CallerRequest, answer: Answer, seconds: float) -> dict:
        """Return the fields of the request log."""
        return {
            "request_id": req.request_id,
            "tenant": req.service.tenant,
            "service": req.service.name,
            "kind": req.kind.name,
            "shard": self._app.control.routes.shard(req.service.name, req.key),
            "target": answer.target,
            "epoch": answer.epoch,
            "outcome": answer.outcome.value,
            "reason": answer.reason,
            "attempts": req.attempt + 1,
            "ms": round(seconds * 1000, 3),
        }


def _is_misrouted(req: CallerRequest, answer: Answer) -> bool:
    """Tell whether another look at the route may help a request that did not run."""
    if answer.outcome is not Outcome.NOT_RUN:
        return False
    if answer.reason == "closed":
        # The VM that leads knows a newer sheet. Where keys are not owned another
        # target can answer at once; an owned key has to wait for its move.
        return req.service.ownership is Ownership.FREE
    return answer.reason in ROUTE_REASONS
