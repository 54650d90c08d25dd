"""Sends requests to targets directly, and watches the links to them.

A VM that loses its links to targets cannot tell from one request whether the target or
the link has failed. It watches what all its requests, grants and probes show, checks
the links of targets that have failed, and reports requests that hang at a lost link.
"""

from __future__ import annotations

import asyncio
from math import inf
from typing import TYPE_CHECKING

from berylstage_policy.acknowledgements import AcknowledgementWatch
from berylstage_policy.link_health import LinkHealth, Way
from berylstage_transfers.errors import NotConnected
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.link_check import CheckResult, check_link
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.supervision import supervise
from berylstage_entry.target_clients import Attempt

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from random import Random

    from berylstage_transfers.errors import CallFailed
    from berylstage_transfers.send_queue import SendQueue

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import CallerRequest, TargetAnswer
    from berylstage_entry.target_clients import TargetClients
    from berylstage_entry.targets import Target

# Interval at which requests in flight and failed links are looked at.
WATCH_INTERVAL_SECONDS = 0.1
# Time without a sign of life of any target after which requests of a VM that is cut off
# hang, although their bytes were acknowledged.
HANG_SECONDS = 1.0
# Targets that are checked before this VM takes on grants to all of them.
SAMPLE_SIZE = 3
# Time for which no target may have shown a sign of life, with an answer overdue by as
# much, before the link of the overdue target is checked.
SILENCE_SECONDS = 0.3
# Log lines per second about failed links.
LINES_PER_SECOND = 5.0
MAX_CAUSE_LENGTH = 200

log = Logger(__name__)


class TargetLinks:
    """Links from this VM to all targets.

    Parameters
    ----------
    cluster_view : ClusterView
    clients : TargetClients
    rng : Random

    Attributes
    ----------
    health : LinkHealth
    is_stopping : bool
        Whether this VM stops and must end no request at which a target may be at work.
    """

    def __init__(self, cluster_view: ClusterView, clients: TargetClients, rng: Random):
        self._rng = rng
        # Checks whether a target's machine accepts connections.
        self.check_link: Callable[[str], Awaitable[CheckResult]] = check_link
        self._cluster_view = cluster_view
        self._clients = clients
        self.health = LinkHealth()
        self.is_stopping = False
        self._acknowledgements = AcknowledgementWatch()
        self._attempts: set[Attempt] = set()
        self._seen_revision = -1
        self._was_cut_off = False
        # Seconds by which the loop was late when the links were last looked at.
        self._lag = 0.0
        self._log_limiter = LogRateLimiter(LINES_PER_SECOND)
        self._checks: dict[str, asyncio.Task] = {}
        self._task: asyncio.Task | None = None
        # Set while there are requests in flight or failed links.
        self._has_work = asyncio.Event()

    def start(self) -> None:
        """Start to watch the links."""
        self._task = supervise("link checks", self._run)

    def stop(self) -> None:
        """Stop watching the links."""
        if self._task is not None:
            self._task.cancel()
        for task in self._checks.values():
            task.cancel()

    @property
    def is_cut_off(self) -> bool:
        """Whether this VM has lost its links to all targets."""
        return self.health.is_cut_off

    async def accept_new_connections(self) -> bool:
        """Tell whether most of a few targets accept a new connection.

        The connections that a VM has may live on although new ones are refused.
        """
        addresses = self._sample_addresses(list(self._cluster_view.known))
        results = await asyncio.gather(*(self.check_link(a) for a in addresses))
        failed = sum(result is not CheckResult.ACCEPTED for result in results)
        return 2 * failed <= len(results)

    async def reaches_others(self, target: Target) -> bool:
        """Tell whether any of a few other targets accepts a new connection.

        True if there is no other target.
        """
        names = [name for name in self._cluster_view.known if name != target.name]
        for address in self._sample_addresses(names):
            if await self.check_link(address) is CheckResult.ACCEPTED:
                return True
        return not names

    def _sample_addresses(self, names: list[str]) -> list[str]:
        """Return the addresses of a few of some targets."""
        sample = self._rng.sample(names, min(SAMPLE_SIZE, len(names)))
        return [self._cluster_view.known[name].target.address for name in sample]

    def choose_way(self, name: str) -> Way:
        """Return how requests should be sent to a target."""
        return self.health.choose_way(name, now())

    async def send(
        self,
        req: CallerRequest,
        target: Target,
        connections: int,
        seconds: float,
        expected_seconds: float,
        on_hang: Callable[[Attempt], None] = lambda attempt: None,
    ) -> TargetAnswer:
        """Send a request to a target directly and return its answer.

        Parameters
        ----------
        req : CallerRequest
        target : Target
        connections : int
            Number of connections that the target accepts from all VMs.
        seconds : float
            Seconds until the answer must have arrived.
        expected_seconds : float
            Seconds that the target is expected to take.
        on_hang : callable
            Called once if the request hangs at a link that seems to be lost.

        Raises
        ------
        NeverSent, AnswerLost
        """
        client = self._clients.get(target, connections)
        moment = now()
        overdue_at = moment + expected_seconds + SILENCE_SECONDS
        attempt = Attempt(target.name, moment, overdue_at, on_hang)
        self._attempts.add(attempt)
        self._has_work.set()
        try:
            answer = await client.send(req, seconds, attempt=attempt)
        except NotConnected as exc:
            self.record_failure(target, exc)
            raise
        finally:
            self._attempts.discard(attempt)
        if attempt.unacknowledged_since < inf:
            # The answer shows that the target's machine has got the request.
            self._acknowledgements.record_acknowledged(attempt.unacknowledged_since)
        self.record_answer(target)
        return answer

    def record_answer(self, target: Target) -> None:
        """Record that a target has answered a request, a grant or a probe."""
        self.health.record_alive(target.name, now())
        self._log_change()

    def record_failure(self, target: Target, exc: CallFailed) -> None:
        """Record that a request, a grant or a probe to a target has failed."""
        if isinstance(exc, NotConnected):
            self._mark_failed(target.name, str(exc))

    def _mark_failed(
        self, name: str, cause: str, queue: SendQueue | None = None
    ) -> None:
        self.health.record_failure(name, now())
        if self._log_limiter.take():
            log.info(
                "link to target failed",
                extra={
                    "target": name,
                    "cause": cause[:MAX_CAUSE_LENGTH],
                    "unsent": queue.unsent if queue else None,
                    "unacknowledged": queue.unacknowledged if queue else None,
                    "lag": round(self._lag, 3),
                    "silent": self._find_silent_seconds(),
                    "left_out": self._log_limiter.take_suppressed_count(),
                },
            )
        self._has_work.set()
        self._log_change()
        if self.choose_way(name) is not Way.DIRECT:
            # They would wait behind requests that hang.
            self._clients.fail_queued(name, "the link to the target is lost")

    def _find_silent_seconds(self) -> float | None:
        """Return the seconds since any target has shown a sign of life, for the log."""
        if self.health.alive_at == -inf:
            return None
        return round(now() - self.health.alive_at, 3)

    def _log_change(self) -> None:
        if self.is_cut_off == self._was_cut_off:
            return
        self._was_cut_off = self.is_cut_off
        if self.is_cut_off:
            log.info("links to targets lost")
        else:
            log.info("links to targets back")

    async def _run(self) -> None:
        while True:
            await self._has_work.wait()
            started_at = now()
            await asyncio.sleep(WATCH_INTERVAL_SECONDS)
            self._lag = now() - started_at - WATCH_INTERVAL_SECONDS
            if self._seen_revision != self._cluster_view.revision:
                self._seen_revision = self._cluster_view.revision
                self.health.retain(set(self._cluster_view.known))
            self._watch_attempts(now())
            self._start_due_check(now())
            if self.health.is_suspect(now()):
                self._check_another_target()
            if not self._attempts and not self.health.has_failed_links:
                self._has_work.clear()

    def _watch_attempts(self, moment: float) -> None:
        for attempt in self._attempts:
            if attempt.take_progress():
                self.health.record_alive(attempt.target, moment)
        self._acknowledgements.look(moment, self.health.alive_at)
        for attempt in list(self._attempts):
            is_lost = self._is_unacknowledged_for_long(attempt)
            if is_lost:
                cause = "sent bytes are not acknowledged"
                self._mark_failed(attempt.target, cause, attempt.find_send_queue())
            elif self._is_suspect(attempt, moment):
                self._start_check(attempt.target)
            if is_lost or self._is_silent(attempt, moment):
                self._report_if_hanging(attempt)

    def _is_suspect(self, attempt: Attempt, moment: float) -> bool:
        """Tell whether an answer is overdue while no target at all answers."""
        return (
            moment >= attempt.overdue_at
            and moment - self.health.alive_at >= SILENCE_SECONDS
            and not attempt.has_begun_answer()
        )

    def _is_silent(self, attempt: Attempt, moment: float) -> bool:
        """Tell whether no target has shown a sign of life since a request was sent.

        A VM without a free core reads answers late, and its connections time out while
        targets run its requests. So this takes longer than to find another way.
        """
        silent_since = max(self.health.alive_at, attempt.sent_at)
        return self.is_cut_off and moment - silent_since >= HANG_SECONDS

    def _is_unacknowledged_for_long(self, attempt: Attempt) -> bool:
        """Tell whether a target's machine has left bytes unacknowledged for long.

        The time counts from when they are seen first: a request may have waited for a
        connection until just before.
        """
        if not attempt.is_unacknowledged():
            if attempt.unacknowledged_since < inf:
                self._acknowledgements.record_acknowledged(attempt.unacknowledged_since)
            attempt.unacknowledged_since = inf
            return False
        attempt.unacknowledged_since = min(
            attempt.unacknowledged_since, self._acknowledgements.seconds
        )
        return self._acknowledgements.is_lost(attempt.unacknowledged_since)

    def _report_if_hanging(self, attempt: Attempt) -> None:
        """Report a request that hangs at a link that seems to be lost.

        It may have run, so its answer is waited for; but another VM can be asked, and
        the slot that its permit stands for is needed by callers of other VMs.
        """
        if attempt.is_hanging or attempt.has_begun_answer():
            return
        if self.choose_way(attempt.target) is Way.DIRECT:
            return
        attempt.is_hanging = True
        attempt.on_hang(attempt)

    def _start_due_check(self, moment: float) -> None:
        name = self.health.take_due_check(moment)
        if name:
            self._start_check(name)

    def _check_another_target(self) -> None:
        """Check one more target, to learn whether one link or all have failed."""
        if self._checks:
            return
        names = [n for n in self._cluster_view.known if not self.health.has_failed(n)]
        if names:
            self._start_check(self._rng.choice(names))

    def _start_check(self, name: str) -> None:
        known = self._cluster_view.known.get(name)
        if known is None or name in self._checks:
            return
        task = asyncio.create_task(self._check(known.target))
        self._checks[name] = task
        task.add_done_callback(lambda _: self._checks.pop(name, None))

    async def _check(self, target: Target) -> None:
        result = await self.check_link(target.address)
        if result is CheckResult.ACCEPTED:
            self.record_answer(target)
        else:
            self._mark_failed(target.name, f"check: {result.value}")
