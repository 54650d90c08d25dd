"""Finds out whether an answer was lost because its target has ended."""

from __future__ import annotations

import asyncio
from enum import Enum
from typing import TYPE_CHECKING

from berylstage_transfers.errors import (
    AnswerLost,
    AnswerMalformed,
    AnswerMismatched,
    ConnectionClosed,
)
from logbook import Logger

from berylstage_entry.link_check import CheckResult
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.request_fingerprint import (
    compute_fingerprint,
    format_fingerprint,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.services import Service
    from berylstage_entry.target_links import TargetLinks
    from berylstage_entry.targets import Target

# Log lines per second about lost answers.
LINES_PER_SECOND = 10.0
MAX_REASON_LENGTH = 200

log = Logger(__name__)


class TargetEnded(AnswerLost):
    """The target has ended before a complete answer, as another VM has found out."""


class LossCause(Enum):
    """Why an answer was lost, as far as the VM that sent the request can tell."""

    TARGET_ENDED = "target ended"
    # The target lives on: it or a link has closed the connection.
    CONNECTION_CLOSED = "connection closed"
    # A target has repeated an answer, or mixed up its answers.
    OTHER_ANSWER = "answer to another request"
    # A target has sent bytes that are no valid answer.
    MALFORMED_ANSWER = "malformed answer"
    UNKNOWN = "unknown"


class LostAnswers:
    """Tells ends of targets from connections that were cut.

    Parameters
    ----------
    links : TargetLinks
    """

    def __init__(self, links: TargetLinks):
        self._links = links
        self._log_limiter = LogRateLimiter(LINES_PER_SECOND)
        # Checks in progress, by identity of the target.
        self._checks: dict[tuple[str, int], asyncio.Task[LossCause]] = {}
        # Counts an event, by name.
        self.count_event: Callable[[str], None] = lambda name: None

    async def find_cause(
        self, req: CallerRequest, fingerprint: int, target: Target, exc: AnswerLost
    ) -> LossCause:
        """Return why an answer was lost, and log it.

        A process that has ended refuses connections, and a target that has closed one
        connection accepts the next. A VM that has lost its links is refused by other
        targets too.

        Parameters
        ----------
        req : CallerRequest
        fingerprint : int
        target : Target
        exc : AnswerLost
        """
        cause = LossCause.UNKNOWN
        if isinstance(exc, TargetEnded):
            cause = LossCause.TARGET_ENDED
        elif isinstance(exc, AnswerMismatched):
            cause = LossCause.OTHER_ANSWER
        elif isinstance(exc, AnswerMalformed):
            cause = LossCause.MALFORMED_ANSWER
        elif isinstance(exc, ConnectionClosed):
            cause = await self._check(target)
        self.count_event(f"answer lost: {cause.value}")
        if self._log_limiter.take():
            log.info(
                "answer lost",
                extra={
                    "id": req.request_id,
                    "fingerprint": format_fingerprint(fingerprint),
                    "target": target.name,
                    "incarnation": target.incarnation,
                    "cause": cause.value,
                    "answered": getattr(exc, "answered_id", ""),
                    "ended_by": exc.ended_by.value,
                    "reason": exc.cause[:MAX_REASON_LENGTH],
                    "left_out": self._log_limiter.take_suppressed_count(),
                },
            )
        return cause

    async def explain(
        self, req: CallerRequest, service: Service, target: Target, exc: AnswerLost
    ) -> AnswerLost:
        """Return the error of a request of another VM, which says if the target ended.

        Parameters
        ----------
        req : CallerRequest
        service : Service
        target : Target
        exc : AnswerLost
        """
        fingerprint = compute_fingerprint(service.name, req)
        cause = await self.find_cause(req, fingerprint, target, exc)
        return TargetEnded(str(exc)) if cause is LossCause.TARGET_ENDED else exc

    async def _check(self, target: Target) -> LossCause:
        """Check a target once for all requests that it has lost at this moment."""
        task = self._checks.get(target.identity)
        if task is None:
            task = asyncio.create_task(self._connect(target))
            self._checks[target.identity] = task
            task.add_done_callback(lambda _: self._checks.pop(target.identity, None))
        return await asyncio.shield(task)

    async def _connect(self, target: Target) -> LossCause:
        result = await self._links.check_link(target.address)
        if result is CheckResult.ACCEPTED:
            return LossCause.CONNECTION_CLOSED
        if result is CheckResult.REFUSED and await self._links.reaches_others(target):
            return LossCause.TARGET_ENDED
        return LossCause.UNKNOWN
