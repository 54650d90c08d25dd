"""The way of a caller's request: to the right VM, again if that may help."""

from __future__ import annotations

import asyncio
from random import SystemRandom
from typing import TYPE_CHECKING

from berylstage_policy.choice import TargetChoice
from berylstage_policy.retries import RetryPolicy, RetryVerdict
from berylstage_policy.thresholds import Thresholds
from berylstage_policy.tickets import Outcome as Ended
from berylstage_sheet.configuration import Ownership
from logbook import Logger

from berylstage_daemon.answers import Answer, Outcome, not_run
from berylstage_daemon.clock import now
from berylstage_daemon.forwarding import forward
from berylstage_daemon.thresholds import thresholds_of

if TYPE_CHECKING:
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

ENDED = {
    Outcome.ANSWERED: Ended.ANSWERED,
    Outcome.NOT_RUN: Ended.NOT_RUN,
    Outcome.UNKNOWN: Ended.UNKNOWN,
    Outcome.IN_PROGRESS: Ended.ANSWERED,
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
        self._thresholds = Thresholds()
        self._retries: dict[str, RetryPolicy] = {}
        self._choices: dict[str, TargetChoice] = {}
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
        while True:
            answer = await self._attempt(req)
            if answer.reason in ROUTE_REASONS and answer.outcome is Outcome.NOT_RUN:
                if now() + ROUTE_PAUSE >= give_up:
                    return answer
                await asyncio.sleep(ROUTE_PAUSE)
                continue
            pause = self._pause(req, answer)
            if pause is None:
                return answer
            self._app.metrics.count("retried")
            await asyncio.sleep(pause)
            req.attempt += 1

    def _pause(self, req: CallerRequest, answer: Answer) -> float | None:
        """Return the seconds to wait before a retry, or None when there is none."""
        policy = self._retries[req.service.name]
        if answer.outcome is Outcome.ANSWERED:
            policy.succeeded()
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
            return await self._attempt_free(req)
        routes = self._app.control.routes
        shard = routes.shard(req.service.name, req.key)
        route = routes.route(req.service.name, shard)
        if route is None:
            return not_run("no-owner")
        return await self._pass(req, route.vm, route.peer_address, "")

    async def _attempt_free(self, req: CallerRequest) -> Answer:
        """Choose a target that any key may go to."""
        routes = self._app.control.routes
        willing = routes.willing(req.service.name)
        if not willing:
            return not_run("target-down")
        choice = self._choices[req.service.name]
        target = choice.choose(willing, now())
        route = routes.lead_route(target)
        if route is None:
            return not_run("no-owner")
        attempt_id = f"{req.request_id}#{req.attempt}"
        choice.sent(target, attempt_id, now())
        is_answer = False
        try:
            answer = await self._pass(req, route.vm, route.peer_address, target)
            is_answer = answer.outcome is Outcome.ANSWERED
        finally:
            choice.ended(target, attempt_id, now(), is_answer)
        return answer

    async def _pass(
        self,
        req: CallerRequest,
        vm: str,
        address: str,
        target: str,
    ) -> Answer:
        """Serve here or pass the request to the VM that leads."""
        if vm == self._app.cfg.vm:
            return await self._app.leaders.serve(req, target)
        self._app.metrics.count("forwarded")
        return await forward(self._app.links.link(address), req, target)

    def _configured(self, cfg: Configuration) -> None:
        """Take in services, targets and thresholds."""
        self._thresholds = thresholds_of(cfg)
        for name in cfg.services:
            if name not in self._retries:
                self._retries[name] = RetryPolicy(self._thresholds, self._rng)
                self._choices[name] = TargetChoice(self._thresholds, self._rng)
            for target in cfg.targets_of(name):
                self._choices[name].set_target(target.name, target.slots)

    def _record(self, req: CallerRequest, answer: Answer, seconds: float) -> None:
        """Write metrics and the request log."""
        request_class = req.kind.request_class.value
        outcome = answer.outcome.value
        metrics = self._app.metrics
        metrics.request(req.service.tenant, request_class, outcome, seconds)
        if answer.outcome is not Outcome.ANSWERED:
            metrics.count(f"refused.{answer.reason}")
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
