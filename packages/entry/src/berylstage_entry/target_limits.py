"""Limits that targets name in their answers, as known to this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.request_log import LogRateLimiter

if TYPE_CHECKING:
    from berylstage_entry.protocols import TargetAnswer
    from berylstage_entry.targets import Target

# Log lines per second about limits.
LIMIT_LINES_PER_SECOND = 5.0

log = Logger(__name__)


class TargetLimits:
    """The limits of targets that are in need."""

    def __init__(self) -> None:
        # Requests per second by the name and incarnation of a target.
        self._rates: dict[tuple[str, int], float] = {}
        self._log_limiter = LogRateLimiter(LIMIT_LINES_PER_SECOND)

    def retain(self, identities: set[tuple[str, int]]) -> None:
        """Remove all targets except the given ones."""
        for identity in [key for key in self._rates if key not in identities]:
            del self._rates[identity]

    def record_answer(self, target: Target, answer: TargetAnswer) -> None:
        """Record the limit that an answer names, or that it names none.

        Parameters
        ----------
        target : Target
        answer : TargetAnswer
        """
        if answer.misdirected:
            # Another target may have answered.
            return
        notice = answer.notice
        before = self._rates.get(target.identity)
        if notice.is_limit_invalid:
            self._log("invalid limit of a target ignored", target.name, before, before)
            return
        if notice.limit == before:
            return
        if notice.limit is None:
            del self._rates[target.identity]
        else:
            self._rates[target.identity] = notice.limit
        self._log("limit of a target changed", target.name, before, notice.limit)

    def _log(
        self, message: str, name: str, before: float | None, after: float | None
    ) -> None:
        if self._log_limiter.take():
            log.info(
                message,
                extra={
                    "target": name,
                    "before": before,
                    "limit": after,
                    "left_out": self._log_limiter.take_suppressed_count(),
                },
            )
