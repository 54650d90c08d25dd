"""Rate-limited log of requests, and their metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.metrics import Metrics
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.request_context import RoutedAnswer

# Log lines per second for failed or rejected requests, and for successful ones. A line
# takes about 60 us of processor time, so that both together use less than 0.3% of a
# core. Suppressed lines are counted.
FAILURE_LINES_PER_SECOND = 40.0
SUCCESS_LINES_PER_SECOND = 3.0
# Seconds worth of lines that may be written in one burst.
BURST_SECONDS = 2.0
SERVER_ERROR = 500

log = Logger(__name__)


class LogRateLimiter:
    """Token bucket that limits the rate of log lines.

    Parameters
    ----------
    rate : float
        Lines per second.

    Attributes
    ----------
    suppressed : int
        Lines suppressed since they were last reported.
    """

    __slots__ = ("_rate", "_refilled_at", "_tokens", "suppressed")

    def __init__(self, rate: float):
        self._rate = rate
        self._tokens = rate * BURST_SECONDS
        self._refilled_at = now()
        self.suppressed = 0

    def take(self) -> bool:
        """Take a token and return True, or count a suppressed line."""
        moment = now()
        filled = self._tokens + (moment - self._refilled_at) * self._rate
        self._tokens = min(self._rate * BURST_SECONDS, filled)
        self._refilled_at = moment
        if self._tokens < 1:
            self.suppressed += 1
            return False
        self._tokens -= 1
        return True

    def take_suppressed_count(self) -> int:
        """Return and reset the number of suppressed lines."""
        suppressed, self.suppressed = self.suppressed, 0
        return suppressed


class RequestLog:
    """Logs the outcomes of requests and records their metrics.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._failure_limiter = LogRateLimiter(FAILURE_LINES_PER_SECOND)
        self._success_limiter = LogRateLimiter(SUCCESS_LINES_PER_SECOND)

    def log_answered(
        self, req: CallerRequest, result: RoutedAnswer, seconds: float
    ) -> None:
        """Log a target's answer that is returned to the caller."""
        answer = result.answer
        outcome = "failed" if answer.status >= SERVER_ERROR else "answered"
        self._metrics.record_request(req.host, outcome, seconds)
        failed = outcome == "failed"
        limiter = self._failure_limiter if failed else self._success_limiter
        if not limiter.take():
            return
        log.info(
            "request answered",
            extra={
                "id": req.request_id,
                "status": answer.status,
                "workspace": req.workspace,
                "target": result.target,
                "attempts": result.attempts,
                "seconds": round(seconds, 4),
                "waited": round(req.waited + result.waited, 4),
                "left_out": limiter.take_suppressed_count(),
            },
        )

    def log_unanswered(
        self,
        req: CallerRequest,
        status: int,
        reason: str,
        seconds: float,
        detail: str = "",
    ) -> None:
        """Log a request that ended without a target's answer.

        Parameters
        ----------
        req : CallerRequest
        status : int
            HTTP status of the response; 0 if the caller had left.
        reason : str
            Reason, which is also the outcome label of the metrics.
        seconds : float
            Seconds since the request arrived.
        detail : str
            Facts that led to this outcome, and their age.
        """
        self._metrics.record_request(req.host, reason, seconds)
        if not self._failure_limiter.take():
            return
        log.info(
            "request ended",
            extra={
                "id": req.request_id,
                "status": status,
                "reason": reason,
                "detail": detail,
                "workspace": req.workspace,
                "path": req.path,
                "seconds": round(seconds, 4),
                "time_left": round(req.time_left - seconds, 4),
                "left_out": self._failure_limiter.take_suppressed_count(),
            },
        )

    def log_malformed(self, cause: str) -> None:
        """Log a request that could not be parsed or was rejected before routing."""
        self._metrics.increment("malformed")
        if self._failure_limiter.take():
            log.info("request malformed", extra={"cause": cause})
