"""The way of a caller's request: to the right VM, again if that may help."""

from __future__ import annotations

import asyncio
import itertools
from random import SystemRandom
from typing import TYPE_CHECKING

from berylstage_policy.choice import TargetChoice
from berylstage_policy.retries import RetryPolicy, RetryVerdict
from berylstage_policy.tickets import Outcome as Ended
from berylstage_sheet.configuration import Ownership
from logbook import Logger

from berylstage_daemon.answers import Answer, Outcome, not_run, reason_label
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
# While a target is lost, each of its requests asks again and again. At a steady 30 ms
# a few hundred of them would cost a VM more than all its other work; doubled up to
# this they ask eight times a second, and a key is found that much after its return.
ROUTE_PAUSE_LIMIT = 0.12

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
        self._overrides: dict[str, float] = {}
        self._targets: dict[str, set[str]] = {}
        self._retries: dict[str, RetryPolicy] = {}
        self._choices: dict[str, TargetChoice] = {}
        self._numbers = itertools.count()
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
                    return _settled(answer, doubt)
                await asyncio.sleep(pause)
                continue
            retry = self._pause(req, answer)
            if retry is None:
                return _settled(answer, doubt)
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
        target = self._choices[req.service.name].choose(willing, now())
        return await self._send_free(req, target)

    async def _send_free(self, req: CallerRequest, target: str) -> Answer:
        """Bring a request to a chosen target and learn from how it ends."""
        choice = self._choices[req.service.name]
        route = self._app.control.routes.lead_route(target)
        if route is None:
            return not_run("no-owner")
        attempt_id = f"{req.request_id}#{next(self._numbers)}"
        choice.sent(target, attempt_id, now(), req.kind.name)
        try:
            answer = await self._pass(req, route.vm, route.peer_address, target)
        except BaseException:
            # A caller that goes away says nothing of the target. Counted against it,
            # a few impatient callers would empty a healthy target.
            choice.withdrawn(target, attempt_id)
            raise
        if _is_misrouted(req, answer):
            choice.withdrawn(target, attempt_id)
        is_answer = answer.outcome is Outcome.ANSWERED
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
        self._forget_removed(cfg)
        for name in cfg.services:
            if name not in self._retries:
                thresholds = thresholds_of(cfg)
                self._retries[name] = RetryPolicy(thresholds, self._rng)
                self._choices[name] = TargetChoice(thresholds, self._rng)
                self._targets[name] = set()
            for target in cfg.targets_of(name):
                self._choices[name].set_target(target.name, target.slots)
                self._targets[name].add(target.name)

    def _forget_removed(self, cfg: Configuration) -> None:
        """Forget targets that the sheet names no more, and all under new thresholds.

        Targets are replaced all day, each under a new name. Kept, they would fill the
        memory, and lower the occupancy against which the others are measured.
        """
        if cfg.thresholds != self._overrides:
            # Policies are built with their thresholds. What they have learned is
            # learned again within a hundred answers.
            self._overrides = dict(cfg.thresholds)
            self._retries.clear()
            self._choices.clear()
            self._targets.clear()
        for name, targets in self._targets.items():
            kept = {target.name for target in cfg.targets_of(name)}
            for target in targets - kept:
                self._choices[name].remove_target(target)
            targets &= kept

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


def _settled(answer: Answer, doubt: Answer | None) -> Answer:
    """Return the end of a request over all its attempts.

    An earlier attempt that was sent and not answered may have run, whatever became of
    a later one. Told "not run", a caller would rely on something that is not so.
    """
    if doubt is not None and answer.outcome is Outcome.NOT_RUN:
        return doubt
    return answer
