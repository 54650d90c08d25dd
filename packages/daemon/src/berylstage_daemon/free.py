"""Requests of free services: which target, another one when it is busy or late."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

from berylstage_policy.retries import HedgePolicy
from berylstage_policy.target_choice import TargetChoice

from berylstage_daemon.answers import BUSY, Answer, Outcome, not_run, settled
from berylstage_daemon.clock import now
from berylstage_daemon.thresholds import thresholds_of

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from berylstage_ownership.routing import Route
    from berylstage_sheet.configuration import Configuration

    from berylstage_daemon.application import Application
    from berylstage_daemon.requests import CallerRequest

# Reasons of refusals that say nothing of the target: VMs disagree on who leads it, or
# it has no slot free.
NOT_OF_TARGET = frozenset(
    {"closed", "no-owner", "not-leader", "leader-unreachable", "no-lease", BUSY}
)


class FreeService:
    """What one VM knows of one free service."""

    __slots__ = ("choice", "hedge", "targets", "declines")

    def __init__(self, cfg: Configuration, rng: Random):
        thresholds = thresholds_of(cfg)
        self.choice = TargetChoice(thresholds, rng)
        self.hedge = HedgePolicy(thresholds)
        self.targets: set[str] = set()
        self.declines = int(thresholds["choice_declines"])

    def set_targets(self, cfg: Configuration, name: str) -> None:
        """Take in the targets of a sheet and forget those that it names no more.

        Targets are replaced all day, each under a new name. Kept, they would fill the
        memory, and lower the occupancy against which the others are measured.
        """
        kept = {target.name: target.slots for target in cfg.targets_of(name)}
        for target in self.targets - kept.keys():
            self.choice.remove_target(target)
        for target, slots in kept.items():
            self.choice.set_target(target, slots)
        self.targets = set(kept)


class FreeServices:
    """Brings requests that any target may answer to a good one.

    Parameters
    ----------
    app : Application
    send : callable
        Brings a request to the VM that leads a target: gets the request, the route
        and whether a busy target may hand it back.
    rng : Random
    """

    def __init__(
        self,
        app: Application,
        send: Callable[[CallerRequest, Route, bool], Awaitable[Answer]],
        rng: Random,
    ):
        self._app = app
        self._send = send
        self._rng = rng
        self._services: dict[str, FreeService] = {}
        self._numbers = itertools.count()
        self._losers: set[asyncio.Task] = set()

    def configured(self, cfg: Configuration, is_new: bool) -> None:
        """Take in services and targets.

        Parameters
        ----------
        cfg : Configuration
        is_new : bool
            Whether the thresholds changed, under which all is learned anew.
        """
        if is_new:
            self._services.clear()
        for name in cfg.services:
            if name not in self._services:
                self._services[name] = FreeService(cfg, self._rng)
        for name, service in self._services.items():
            service.set_targets(cfg, name)

    async def attempt(self, req: CallerRequest) -> Answer:
        """Send a request once, and a second time beside it when it is late.

        Parameters
        ----------
        req : CallerRequest

        Returns
        -------
        Answer
        """
        service = self._services[req.service.name]
        willing = self._app.control.routes.willing(req.service.name)
        delay = service.hedge.delay(req.kind.repeatable, len(willing))
        tried: list[str] = []
        started = now()
        if delay is None:
            answer = await self._patient(req, tried)
        else:
            answer = await self._hedged(req, tried, delay)
        if answer.outcome is Outcome.ANSWERED:
            service.hedge.record_answer(now() - started)
        return answer

    async def _hedged(
        self, req: CallerRequest, tried: list[str], delay: float
    ) -> Answer:
        """Return the first of two answers, the second asked for after a delay."""
        hedge = self._services[req.service.name].hedge
        tasks = [asyncio.ensure_future(self._patient(req, tried))]
        try:
            await asyncio.wait(tasks, timeout=delay)
            if not tasks[0].done() and hedge.acquire_hedge():
                self._app.metrics.count("hedged")
                tasks.append(asyncio.ensure_future(self._impatient(req, tried)))
            return await _first_answer(tasks)
        finally:
            # The loser, or both when the caller went away, must not hold a slot for
            # nobody; cancelled here, it is cancelled at its target.
            for task in tasks:
                self._let_go(task)

    def _let_go(self, task: asyncio.Task) -> None:
        """Cancel a task and keep hold of it until it has ended."""
        task.cancel()
        self._losers.add(task)
        task.add_done_callback(self._forget)

    def _forget(self, task: asyncio.Task) -> None:
        """Let go of a task that ended; its error came too late for anybody."""
        self._losers.discard(task)
        if not task.cancelled():
            task.exception()

    async def _patient(self, req: CallerRequest, tried: list[str]) -> Answer:
        """Go on from busy targets for a while, then wait at one."""
        declines = self._services[req.service.name].declines
        for number in itertools.count(1):
            willing = self._app.control.routes.willing(req.service.name)
            if not willing:
                return not_run("target-down")
            others = [name for name in willing if name not in tried]
            may_decline = number <= declines and len(others) > 1
            answer = await self._try(req, others or willing, tried, may_decline)
            if answer.reason != BUSY:
                return answer
            if not may_decline:
                break
        return not_run("queue-full")

    async def _impatient(self, req: CallerRequest, tried: list[str]) -> Answer:
        """Look for a target with a free slot, but never wait at one.

        A hedge that waits helps nobody and delays others.
        """
        service = self._services[req.service.name]
        for _ in range(1 + service.declines):
            willing = self._app.control.routes.willing(req.service.name)
            others = [name for name in willing if name not in tried]
            if not others:
                break
            answer = await self._try(req, others, tried, True)
            if answer.reason != BUSY:
                return answer
        service.hedge.refund()
        return not_run(BUSY)

    async def _try(
        self,
        req: CallerRequest,
        names: list[str],
        tried: list[str],
        may_decline: bool,
    ) -> Answer:
        """Send a request to the best of some targets and learn from its end."""
        choice = self._services[req.service.name].choice
        target = choice.choose(names, now(), self._app.leaders.idle(names))
        tried.append(target)
        route = self._app.control.routes.lead_route(target)
        if route is None:
            return not_run("no-owner")
        number = f"{req.request_id}#{next(self._numbers)}"
        choice.record_sent(target, number, now(), req.kind.name)
        try:
            answer = await self._send(req, route, may_decline)
        except BaseException:
            # A caller that goes away says nothing of the target. Counted against it,
            # a few impatient callers would empty a healthy target.
            choice.record_withdrawn(target, number)
            raise
        if answer.outcome is Outcome.NOT_RUN and answer.reason in NOT_OF_TARGET:
            choice.record_withdrawn(target, number)
        choice.record_end(target, number, now(), answer.outcome is Outcome.ANSWERED)
        return answer


async def _first_answer(tasks: list[asyncio.Task]) -> Answer:
    """Return the first whole answer, or what all ends together mean.

    Parameters
    ----------
    tasks : list of asyncio.Task
        The first attempt, and its hedge if there is one.
    """
    pending = set(tasks)
    while pending:
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            is_sound = task.exception() is None
            if is_sound and task.result().outcome is Outcome.ANSWERED:
                return task.result()
    answer = tasks[0].result()
    doubts = [task.result() for task in tasks[1:]]
    unknown = [end for end in doubts if end.outcome is Outcome.UNKNOWN]
    return settled(answer, unknown[0] if unknown else None)
