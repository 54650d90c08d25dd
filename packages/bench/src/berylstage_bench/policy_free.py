"""Free services under test: choice, declined requests, retries elsewhere, hedges."""

from __future__ import annotations

from berylstage_policy.health import HealthState
from berylstage_policy.retries import HedgePolicy
from berylstage_policy.target_choice import TargetChoice
from berylstage_policy.tickets import AttemptOutcome

from berylstage_bench.policy_player import Request
from berylstage_bench.policy_router import Attempt, LedTarget, PolicyRouter


class FreeRouter(PolicyRouter):
    """Any willing target may answer: choice, retries elsewhere, hedges."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        count = self.deployment.vms
        self.choices = [TargetChoice(self.thresholds, self.rng) for _ in range(count)]
        self.hedges = [HedgePolicy(self.thresholds) for _ in range(count)]
        self.hedged = 0
        for choice in self.choices:
            for target in self.targets:
                choice.set_target(target.name, target.slots)
        self.usable = self.willing
        self.led_by: list[list[str]] = [[] for _ in range(count)]
        for name, led in self.led.items():
            self.led_by[led.leader].append(name)
        self.lies: set[str] = set()

    def arrive(self, req: Request) -> None:
        """Take a request in and see to its hedge."""
        self.attempt(req)
        hedge = self.hedges[req.vm]
        delay = hedge.delay(req.kind != "order", len(self.usable))
        if delay is not None:
            self.player.at(self.player.now + delay, self._hedge, req)

    def _hedge(self, req: Request) -> None:
        """Send a second attempt when the first is late."""
        if req.status or not self.hedges[req.vm].acquire_hedge():
            return
        self.hedged += 1
        self.attempt(req, is_hedge=True)

    def attempt(
        self,
        req: Request,
        previous: Attempt | None = None,
        is_hedge: bool = False,
        tries: int = 0,
    ) -> None:
        """Choose a target and forward."""
        choice, now = self.choices[req.vm], self.player.now
        others = [name for name in self.usable if name not in req.attempts]
        others = others or self.usable
        idle = [
            name
            for name in self.led_by[req.vm]
            if name in others and self.led[name].queue.has_free_slot(now)
        ]
        target = choice.choose(others, now, idle)
        req.attempts = [*req.attempts, target]
        number = len(req.attempts)
        may_decline = is_hedge or number <= self.thresholds["choice_declines"]
        attempt = Attempt(req, number, target, may_decline, is_hedge)
        attempt.hedge_tries = tries
        choice.record_sent(target, attempt.id, now, req.kind)
        self._forward(attempt)

    def declined(self, attempt: Attempt) -> None:
        """Choose again."""
        req = attempt.req
        self.choices[req.vm].record_withdrawn(attempt.target, attempt.id)
        if attempt.is_hedge:
            self._decline_hedge(attempt)
        elif not req.status:
            self.attempt(req, attempt)

    def _decline_hedge(self, attempt: Attempt) -> None:
        """Look for an idle target once more, but never queue a hedge."""
        req = attempt.req
        attempt.hedge_tries += 1
        if req.status or attempt.hedge_tries > self.thresholds["choice_declines"]:
            self.hedges[req.vm].refund()
        else:
            self.attempt(req, is_hedge=True, tries=attempt.hedge_tries)

    def attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Tell the choice and the hedge what was seen."""
        req, now = attempt.req, self.player.now
        if outcome is AttemptOutcome.CANCELLED:
            self.choices[req.vm].record_withdrawn(attempt.target, attempt.id)
            return
        is_answer = outcome is AttemptOutcome.ANSWERED
        self.choices[req.vm].record_end(attempt.target, attempt.id, now, is_answer)
        if is_answer and not req.status:
            self.hedges[req.vm].record_answer(now - req.arrived)

    def judged(self) -> None:
        """Spread digests of queue lengths and leave out what is down."""
        down = {n for n in self.willing if self.verdict(n) is HealthState.DOWN}
        self.usable = [name for name in self.willing if name not in down]
        for name, led in self.led.items():
            if self.verdict(name) in (HealthState.STALLED, HealthState.DOWN):
                self._hand_back(led)
        for name, led in self.led.items():
            queue = 0 if name in self.lies else led.queue.waiting + led.queue.running
            self.player.at(self.player.now + self.digest_lag, self._digest, name, queue)

    def _hand_back(self, led: LedTarget) -> None:
        """Send what waits for a stalled target to other targets."""
        for ticket in led.queue.remove_waiting():
            self.declined(led.attempts.pop(ticket.id))

    def _digest(self, name: str, queue: int) -> None:
        """Take a digest in at all VMs."""
        for choice in self.choices:
            choice.update_queue_length(name, queue)

    def set_willing(self, names: list[str]) -> None:
        """Take in a configuration."""
        super().set_willing(names)
        self.usable = names
