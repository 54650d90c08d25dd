"""Limits that targets name in their answers, as known to this VM.

A VM tells the others what it has heard. The limit must hold without that, since a VM
that has not heard of a limit hears of it with its first answer; but until then the
target would get what it does not want.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.target_limits import TargetLimit
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, Refused
from berylstage_entry.log_rate_limiter import LogRateLimiter
from berylstage_entry.notice_messages import LimitNotice
from berylstage_entry.permit_messages import checksum
from berylstage_entry.quota_messages import TargetTokenRequest
from berylstage_entry.quotas import Quota

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.targets import Target, TargetNotice

# Log lines per second about limits.
LIMIT_LINES_PER_SECOND = 5.0
# Longest delay after which a caller may retry: a token that another VM does not use, or
# another owner of the key, may be there sooner than the limit alone says.
MAX_RETRY_SECONDS = 1.0

# Source of what this VM has learned from an answer, in the log.
OWN_ANSWER = "answer"

log = Logger(__name__)


class TargetQuota(Quota):
    """Limit of a target, kept by all VMs together.

    Parameters
    ----------
    target : Target
    rate : float
        Requests per second.
    """

    __slots__ = ("_target", "burst", "name", "rate")

    def __init__(self, target: Target, rate: float):
        self._target = target
        self.name = target.name
        self.rate = rate
        self.burst = 0.0

    @property
    def identity(self) -> tuple[str, int]:  # noqa: D102
        return self._target.identity

    def encode_request(self, number: int, count: int) -> bytes:  # noqa: D102
        return TargetTokenRequest(
            number, checksum(self.name), count, self.rate
        ).encode()

    def build_refusal(self, retry_after: float, version: int) -> Refused:  # noqa: D102
        detail = f"target {self.name} limit {self.rate:g}"
        return Refused("target-limit", min(MAX_RETRY_SECONDS, retry_after), detail)


class TargetLimits:
    """The limits of targets that are in need.

    Parameters
    ----------
    cluster_view : ClusterView
    """

    def __init__(self, cluster_view: ClusterView):
        self._cluster_view = cluster_view
        # By the name and incarnation of a target.
        self._limits: dict[tuple[str, int], TargetLimit] = {}
        self._log_limiter = LogRateLimiter(LIMIT_LINES_PER_SECOND)
        # Number of known VMs, this one included.
        self.vm_count = 1
        # Sends a datagram to all other VMs.
        self.send: Callable[[bytes], None] = lambda data: None
        # Called with the identity of a target whose limit has ended.
        self.on_end: Callable[[tuple[str, int]], None] = lambda identity: None

    def has_any(self) -> bool:
        """Return whether a target has a limit."""
        return bool(self._limits)

    def prune(self) -> None:
        """Drop the limits of targets that are gone for long, or have started again."""
        for identity, limit in list(self._limits.items()):
            is_known = self._cluster_view.is_current(identity)
            if not is_known and limit.is_outdated(now()):
                self._drop(identity)

    def find_quota(self, name: str) -> TargetQuota | None:
        """Return the quota of a target that has a limit, or None."""
        limit = self._find(name)
        if limit is None:
            return None
        target = self._cluster_view.known[name].target
        return TargetQuota(target, limit.usable_rate)

    def rate(self, name: str) -> float | None:
        """Return the requests per second that a target accepts; None for no limit."""
        limit = self._find(name)
        return None if limit is None else limit.usable_rate

    def block(self, name: str, seconds: float) -> None:
        """Record that there is no token of a target for some seconds."""
        limit = self._find(name)
        if limit is not None:
            limit.block(seconds, now())

    def blocked_seconds(self, name: str) -> float:
        """Return the seconds until a target may have a token; 0 without a limit."""
        limit = self._find(name)
        return 0.0 if limit is None else limit.blocked_seconds(now())

    def record_notice(
        self, target: Target, notice: TargetNotice, sent_at: float
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        Parameters
        ----------
        target : Target
        notice : TargetNotice
        sent_at : float
            Monotonic seconds at which the answered request was sent.
        """
        limit = self._limits.get(target.identity)
        if notice.is_limit_invalid:
            if self._log_limiter.take():
                log.warning(
                    "invalid limit of a target ignored", extra={"target": target.name}
                )
            return
        if notice.limit is not None:
            self._confirm(target, notice.limit, OWN_ANSWER)
        elif limit is not None and limit.is_ended_by(sent_at):
            self._end(target, OWN_ANSWER)
            self._tell(target, None)

    def receive_notice(self, data: bytes, host: str = "") -> None:
        """Take what another VM tells of a target's limit."""
        try:
            notice = LimitNotice.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid limit notice ignored", extra={"cause": str(exc)})
            return
        target = self._cluster_view.find_target(notice.target, notice.incarnation)
        if target is None:
            return
        if notice.rate is None:
            self._end(target, host)
        else:
            self._confirm(target, notice.rate, host)

    def _find(self, name: str) -> TargetLimit | None:
        if not self._limits:
            return None
        known = self._cluster_view.known.get(name)
        return None if known is None else self._limits.get(known.target.identity)

    def _confirm(self, target: Target, rate: float, source: str) -> None:
        """Record a limit that an answer or another VM names."""
        moment = now()
        limit = self._limits.get(target.identity)
        before = None if limit is None else limit.rate
        if limit is None:
            limit = self._limits[target.identity] = TargetLimit(rate, moment)
        limit.confirm(rate, moment)
        if rate != before:
            self._log_change(target, before, rate, source)
        if source != OWN_ANSWER:
            limit.record_told(moment)
        elif limit.must_be_told(self.vm_count, moment):
            limit.record_told(moment)
            self._tell(target, rate)

    def _end(self, target: Target, source: str) -> None:
        limit = self._limits.get(target.identity)
        if limit is not None:
            self._drop(target.identity)
            self._log_change(target, limit.rate, None, source)

    def _drop(self, identity: tuple[str, int]) -> None:
        del self._limits[identity]
        self.on_end(identity)

    def _tell(self, target: Target, rate: float | None) -> None:
        notice = LimitNotice(checksum(target.name), target.incarnation, rate)
        self.send(notice.encode())

    def _log_change(
        self, target: Target, before: float | None, after: float | None, source: str
    ) -> None:
        if self._log_limiter.take():
            log.info(
                "limit of a target changed",
                extra={
                    "target": target.name,
                    "before": before,
                    "limit": after,
                    "source": source,
                    "left_out": self._log_limiter.take_suppressed_count(),
                },
            )
