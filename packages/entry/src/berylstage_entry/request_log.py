"""Log lines about requests, bounded in number, and their counts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.metrics import Metrics
    from berylstage_entry.protocols import CallerRequest
    from berylstage_entry.request_context import RoutedAnswer

# Lines a second about requests that failed or were refused, and about those that went
# well. One line costs about 60 us of processor time, so both together stay below 0.3%
# of a core; what is left out is counted.
FAILURE_LINES = 40.0
SUCCESS_LINES = 3.0
# Times the lines of a second that may come at once.
BURST = 2.0
SERVER_ERROR = 500

log = Logger(__name__)


class LogRateLimiter:
    """Lines that may be written, filled up at a steady rate.

    Parameters
    ----------
    rate : float
        Lines a second.
    """

    __slots__ = ("_at", "_rate", "_tokens", "left_out")

    def __init__(self, rate: float):
        self._rate = rate
        self._tokens = rate * BURST
        self._at = now()
        self.left_out = 0

    def take(self) -> bool:
        """Tell whether one more line may be written, and count it."""
        moment = now()
        filled = self._tokens + (moment - self._at) * self._rate
        self._tokens = min(self._rate * BURST, filled)
        self._at = moment
        if self._tokens < 1:
            self.left_out += 1
            return False
        self._tokens -= 1
        return True

    def take_left_out(self) -> int:
        """Return the lines left out since the last call."""
        left_out, self.left_out = self.left_out, 0
        return left_out


class RequestLog:
    """Writes what became of requests.

    Parameters
    ----------
    metrics : Metrics
    """

    def __init__(self, metrics: Metrics):
        self._metrics = metrics
        self._failures = LogRateLimiter(FAILURE_LINES)
        self._successes = LogRateLimiter(SUCCESS_LINES)

    def answered(self, req: CallerRequest, done: RoutedAnswer, seconds: float) -> None:
        """Note a target's answer that went to the caller."""
        answer = done.answer
        outcome = "failed" if answer.status >= SERVER_ERROR else "answered"
        self._metrics.request(req.host, outcome, seconds)
        failed = outcome == "failed"
        budget = self._failures if failed else self._successes
        if not budget.take():
            return
        log.info(
            "request answered",
            extra={
                "id": req.request_id,
                "status": answer.status,
                "target": done.target,
                "attempts": done.attempts,
                "seconds": round(seconds, 4),
                "waited": round(req.waited + done.waited, 4),
                "left_out": budget.take_left_out(),
            },
        )

    def ended(
        self,
        req: CallerRequest,
        status: int,
        reason: str,
        seconds: float,
        detail: str = "",
    ) -> None:
        """Note the end of a request that no target's answer ended.

        Parameters
        ----------
        req : CallerRequest
        status : int
            0 when nobody was there to take it.
        reason : str
        seconds : float
            From its arrival.
        detail : str
            What decided it, and how old that was.
        """
        self._metrics.request(req.host, reason, seconds)
        if not self._failures.take():
            return
        log.info(
            "request ended",
            extra={
                "id": req.request_id,
                "status": status,
                "reason": reason,
                "detail": detail,
                "path": req.path,
                "seconds": round(seconds, 4),
                "time_left": round(req.time_left - seconds, 4),
                "left_out": self._failures.take_left_out(),
            },
        )

    def malformed(self, cause: str) -> None:
        """Note a request that could not be read."""
        self._metrics.count("malformed")
        if self._failures.take():
            log.info("request malformed", extra={"cause": cause})
