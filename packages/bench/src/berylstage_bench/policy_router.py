"""The router under test: every decision is one of `berylstage_policy`."""

from __future__ import annotations

from random import Random

from berylstage_policy.costs import CostModel
from berylstage_policy.health import HealthState, TargetHealth
from berylstage_policy.retries import RetryPolicy, RetryVerdict
from berylstage_policy.target_queue import TargetQueue
from berylstage_policy.thresholds import DEFAULTS, Thresholds
from berylstage_policy.tickets import AttemptOutcome, Decline, Refuse, Start, Ticket

from berylstage_bench.policy_baselines import Router
from berylstage_bench.policy_player import ANSWERED, LOST, REFUSED, Request

HEARTBEAT = 0.25
# Seconds by which the targets' load reports lag.
REPORT_LAG = 0.5


class Attempt:
    """One sending of a request to one target."""

    __slots__ = (
        "req",
        "number",
        "target",
        "id",
        "may_decline",
        "is_hedge",
        "hedge_tries",
    )

    def __init__(
        self,
        req: Request,
        number: int,
        target: str,
        may_decline: bool = False,
        is_hedge: bool = False,
    ):
        self.req = req
        self.number = number
        self.target = target
        self.id = f"{req.id}#{number}"
        self.may_decline = may_decline
        self.is_hedge = is_hedge
        self.hedge_tries = 0


class LedTarget:
    """A target as its leading VM sees it."""

    __slots__ = (
        "target",
        "leader",
        "queue",
        "health",
        "attempts",
        "armed",
        "gone_until",
    )

    def __init__(self, target, leader: int, queue: TargetQueue, health: TargetHealth):
        self.target = target
        self.leader = leader
        self.queue = queue
        self.health = health
        self.attempts: dict[str, Attempt] = {}
        self.armed = float("inf")
        self.gone_until = 0.0


class PolicyRouter(Router):
    """Queues, slots and heartbeats, shared by free and owned services."""

    name = "ours"

    def __init__(
        self,
        player,
        deployment,
        targets,
        streams,
        thresholds: Thresholds = DEFAULTS,
        seed: int = 3,
        has_history: bool = True,
        one_caller: bool = False,
        fixed_return: float | None = None,
        lies_warm: bool = False,
    ):
        super().__init__(player, deployment, targets, streams)
        self.thresholds = thresholds
        self.rng = Random(seed)
        # Takes all requests for those of one caller: without turns of callers.
        self.one_caller = one_caller
        # Seconds that every refused caller is told instead of its own.
        self.fixed_return = fixed_return
        self.digest_lag = 0.25
        # Whether the targets' reports say that they are warm, whatever they are.
        self.lies_warm = lies_warm
        self.retries = RetryPolicy(thresholds, self.rng)
        self.led = {
            target.name: LedTarget(
                target,
                index % deployment.vms,
                self._queue(target.slots, has_history),
                TargetHealth(thresholds, player.now),
            )
            for index, target in enumerate(targets)
        }
        player.at(0.0, player.every, HEARTBEAT, self._heartbeat, 1e9)

    def _queue(self, slots: int, has_history: bool) -> TargetQueue:
        """Return a new lead's queue; it may know the service from other targets."""
        costs = CostModel(self.thresholds)
        if has_history:
            for stream in self.streams:
                is_short = stream.request_class != "batch"
                costs.observe(stream.kind, stream.demand, is_short)
        return TargetQueue(slots, self.thresholds, self.rng, self.player.now, costs)

    def _hop(self, vm: int, led: LedTarget) -> float:
        """Return the seconds one way from a VM to the one that leads a target."""
        return self.deployment.hop / 2 if vm != led.leader else 0.0

    def _forward(self, attempt: Attempt) -> None:
        """Send an attempt to the VM that leads its target."""
        led = self.led[attempt.target]
        hop = self._hop(attempt.req.vm, led)
        if hop:
            self.player.at(self.player.now + hop, self._offer, attempt)
        else:
            self._offer(attempt)

    def _offer(self, attempt: Attempt) -> None:
        """Put an attempt before its target's queue."""
        led, req, now = self.led[attempt.target], attempt.req, self.player.now
        if led.gone_until > now:
            self.unreachable(attempt, led)
            return
        ticket = Ticket(
            attempt.id,
            req.tenant,
            req.request_class,
            "all" if self.one_caller else req.caller,
            self.deployment.name,
            req.kind,
            req.key,
            now,
            req.deadline,
        )
        led.attempts[attempt.id] = attempt
        decision = led.queue.offer(ticket, now, attempt.may_decline)
        if isinstance(decision, Start):
            self._send(led, attempt)
        elif isinstance(decision, Refuse):
            self._refused(led, decision)
        elif isinstance(decision, Decline):
            del led.attempts[attempt.id]
            back = now + self._hop(req.vm, led)
            self.player.at(back, self.declined, attempt)
        self._arm(led)

    def _send(self, led: LedTarget, attempt: Attempt) -> None:
        """Send work to the target."""

        def done(status: str, seconds: float) -> None:
            self._done(led, attempt, status, seconds)

        led.target.submit(attempt.req, done)

    def _done(self, led: LedTarget, attempt: Attempt, status: str, seconds: float):
        """Take in what the target made of an attempt."""
        now = self.player.now
        if led.attempts.pop(attempt.id, None) is None:
            return
        is_answer = status == ANSWERED
        outcome = AttemptOutcome.ANSWERED if is_answer else AttemptOutcome.UNKNOWN
        if status == LOST and led.target.is_down:
            led.health.record_connection_refused(now)
            self._pause(led)
            outcome = (
                AttemptOutcome.NOT_RUN if seconds == 0.0 else AttemptOutcome.UNKNOWN
            )
        incarnation = str(led.target.incarnation) if is_answer else ""
        started = led.queue.finish(attempt.id, now, seconds, outcome, incarnation)
        self._start_all(led, started)
        self._arm(led)
        self.player.at(
            now + self._hop(attempt.req.vm, led), self._returned, attempt, outcome
        )
        if is_answer:
            self.worked(attempt.req, seconds)

    def _pause(self, led: LedTarget) -> None:
        """Hold the queue of a target that refuses connections."""
        led.queue.pause(self.player.now + self.thresholds["refused_down_after"])

    def _start_all(self, led: LedTarget, tickets: list[Ticket]) -> None:
        """Send what the queue has started."""
        for ticket in tickets:
            self._send(led, led.attempts[ticket.id])

    def _refused(self, led: LedTarget, refusal: Refuse) -> None:
        """Hand a refusal back to the VM of the caller."""
        attempt = led.attempts.pop(refusal.ticket_id)
        retry_after = self.fixed_return or refusal.retry_after
        delay = self._hop(attempt.req.vm, led)
        self.player.at(
            self.player.now + delay,
            self._returned,
            attempt,
            AttemptOutcome.SHED,
            retry_after,
        )

    def _arm(self, led: LedTarget) -> None:
        """Make sure that expired tickets are turned away at once."""
        due = led.queue.next_expiry()
        if due is not None and due < led.armed:
            led.armed = max(due, self.player.now)
            self.player.at(due, self._expire, led)

    def _expire(self, led: LedTarget) -> None:
        """Turn away what can't make its deadline any more."""
        led.armed = float("inf")
        for refusal in led.queue.pop_expired(self.player.now):
            self._refused(led, refusal)
        self._arm(led)

    def _returned(
        self, attempt: Attempt, outcome: AttemptOutcome, retry_after: float = 0.0
    ) -> None:
        """Take in the end of an attempt at the VM of the caller."""
        req, now = attempt.req, self.player.now
        self.attempt_ended(attempt, outcome)
        if req.status:
            return
        if outcome is AttemptOutcome.ANSWERED:
            self.retries.record_success()
            req.end(now, ANSWERED)
            self._cancel_others(attempt)
            return
        decision = self.retries.decide(
            req.kind != "order", outcome, req.deadline - now, attempt.number, req.demand
        )
        if decision.verdict is RetryVerdict.RETRY and self.may_retry(outcome):
            self.player.at(now + decision.delay, self.attempt, req, attempt)
            return
        req.end(now, REFUSED if outcome is AttemptOutcome.SHED else LOST, retry_after)

    def _cancel_others(self, winner: Attempt) -> None:
        """Take the request's other attempts out of the queues they wait in."""
        for number, name in enumerate(winner.req.attempts, 1):
            if number == winner.number:
                continue
            led, ticket_id = self.led[name], f"{winner.req.id}#{number}"
            is_known = ticket_id in led.attempts
            if is_known and not led.queue.cancel(ticket_id, self.player.now):
                self.attempt_ended(
                    led.attempts.pop(ticket_id), AttemptOutcome.CANCELLED
                )

    def _heartbeat(self) -> None:
        """Renew grants, which doubles as a probe, and judge health."""
        now = self.player.now
        for led in self.led.values():
            target = led.target
            is_stalled = any(
                p.start <= now < p.end and not p.speed for p in target.phases
            )
            if target.is_down:
                led.health.record_connection_refused(now)
                self._pause(led)
            elif not is_stalled:
                led.health.record_answer(now)
                self.player.at(now + REPORT_LAG, self._reported, led, target.is_cold)
                started = led.queue.observe_incarnation(str(target.incarnation), now)
                started += led.queue.resume(now)
                self._start_all(led, started)
            self._arm(led)
        self.judged()

    def _reported(self, led: LedTarget, is_cold: bool) -> None:
        """Take in a load report that has lagged."""
        led.queue.set_reported_cold(
            is_cold and not self.lies_warm, self.player.now, REPORT_LAG
        )
        self._arm(led)

    def lose_vm(self, vm: int, seconds: float) -> None:
        """Lose a VM: what it led is led by nobody for so long, then by another."""
        now = self.player.now
        for led in self.led.values():
            if led.leader != vm:
                continue
            attempts = list(led.attempts.values())
            led.attempts.clear()
            led.leader = (vm + 1) % self.deployment.vms
            led.gone_until = now + seconds
            led.queue = self._queue(led.target.slots, True)
            led.armed = float("inf")
            for attempt in attempts:
                self._returned(attempt, AttemptOutcome.UNKNOWN)

    def unreachable(self, attempt: Attempt, led: LedTarget) -> None:
        """Deal with an attempt whose target nobody leads at the moment."""
        self._returned(attempt, AttemptOutcome.NOT_RUN)

    def verdict(self, name: str) -> HealthState:
        """Return the verdict on a target."""
        return self.led[name].health.verdict(self.player.now)

    def attempt(self, req: Request, previous: Attempt | None = None) -> None:
        """Send a request once more."""
        raise NotImplementedError

    def may_retry(self, outcome: AttemptOutcome) -> bool:
        """Tell whether another attempt could fare better."""
        return True

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Note the end of an attempt."""

    def worked(self, req: Request, seconds: float) -> None:
        """Note the slot time of an answer."""

    def declined(self, attempt: Attempt) -> None:
        """Try another target."""

    def judged(self) -> None:
        """Act on the verdicts after a heartbeat."""
