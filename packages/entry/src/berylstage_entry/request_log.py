"""Rate-limited log of requests, and their metrics."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.log_rate_limiter import LogRateLimiter

if TYPE_CHECKING:
    from berylstage_entry.metrics import Metrics
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.routed_answer import RoutedAnswer

# Log lines per second for failed or rejected requests, and for successful ones. A line
# takes about 60 us of processor time, so that both together use less than 0.3% of a
# core. Suppressed lines are counted.
FAILURE_LINES_PER_SECOND = 40.0
SUCCESS_LINES_PER_SECOND = 3.0
SERVER_ERROR = 500

log = Logger(__name__)


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
        if result.relay:
            self._metrics.increment("sent through other VM")
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
                "via": result.relay,
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
