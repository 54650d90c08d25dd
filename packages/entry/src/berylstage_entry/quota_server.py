"""Server side of the quota protocol: tokens from the shares lent to this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.quota_shares import (
    GROUPS,
    JITTER_SHARE,
    START_SHARE,
    SharePool,
)
from berylstage_policy.target_limits import TARGET_LIMIT_BOUNDS
from berylstage_policy.token_bucket import TokenBucket
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.permit_messages import checksum
from berylstage_entry.quota_messages import (
    Loan,
    LoanReply,
    Stamp,
    TargetTokenRequest,
    TokenReply,
    TokenRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylstage_policy.quota_shares import QuotaBounds

    from berylstage_entry.cluster_view import ClusterView

# Time for which a reply is repeated when the same request arrives again.
REPLY_MEMORY_SECONDS = 2.0
# Time after which the unused bucket of a target's limit is dropped. A new one has fewer
# tokens than any that has been unused for so long.
UNUSED_BUCKET_SECONDS = 30.0
# Bounds of the delay after which a caller over its quota may retry.
MIN_RETRY_SECONDS = 0.05
MAX_RETRY_SECONDS = 5.0
# Callers are spread from the expected delay to this multiple of it.
RETRY_SPREAD = 1.5
# Time for which a new bucket may have fewer tokens than its workspace is owed: by then
# one that is within its quota has what it needs.
FILLING_SECONDS = 2.0
INCARNATIONS = 1 << 32

log = Logger(__name__)


class _Terms:
    """Limits of a quota, as a request for its tokens finds them.

    Parameters
    ----------
    number : int
        Checksum of the quota's name.
    rate, burst : float
        Requests per second over all VMs, and those that may come at once beyond.
    tolerance : float
        Requests tolerated in a window beyond the quota.
    is_target : bool
        Whether it is the limit of a target, which needs no burst to be kept for it.
    """

    __slots__ = ("burst", "is_target", "number", "rate", "tolerance")

    def __init__(
        self,
        number: int,
        rate: float,
        burst: float,
        tolerance: float,
        is_target: bool = False,
    ):
        self.number = number
        self.rate = rate
        self.burst = burst
        self.tolerance = tolerance
        self.is_target = is_target

    @property
    def group(self) -> int:
        """Group of shares to which the quota belongs."""
        return self.number % GROUPS

    @property
    def key(self) -> tuple[bool, int]:
        """Value that distinguishes the quota from all others."""
        return self.is_target, self.number


class _Quota:
    """Tokens of one quota."""

    __slots__ = ("bucket", "created_at", "used_at")

    def __init__(self, bucket: TokenBucket, created_at: float):
        self.bucket = bucket
        self.created_at = self.used_at = created_at


class _SentReply:
    """The last reply to a VM about a quota."""

    __slots__ = ("reply", "sent_at")

    def __init__(self, reply: TokenReply, sent_at: float):
        self.reply = reply
        self.sent_at = sent_at


class QuotaServer:
    """Hands out tokens of the quotas whose shares were lent to this VM.

    Parameters
    ----------
    cluster_view : ClusterView
    bounds : QuotaBounds
    rng : Random
    """

    def __init__(self, cluster_view: ClusterView, bounds: QuotaBounds, rng: Random):
        self._cluster_view = cluster_view
        self._bounds = bounds
        self._rng = rng
        self._incarnation = rng.randrange(1, INCARNATIONS)
        self._pool = SharePool()
        self._quotas: dict[tuple[bool, int], _Quota] = {}
        self._configuration_version = -1
        # Names of workspaces by checksum.
        self._names: dict[int, str] = {}
        self._sent: dict[tuple[str, bool, int], _SentReply] = {}
        self._pruned_at = now()
        # Number of VMs that own a share, this one included.
        self.vm_count = 1
        # Sends a datagram to a VM, which may be this one.
        self.send: Callable[[str, bytes], None] = lambda host, data: None

    def stop(self) -> None:
        """Hand out no more tokens, and return all shares."""
        hosts = self._pool.hosts()
        self._pool.close()
        for host in hosts:
            self.send(host, LoanReply(self._stamp(), 0, False, True).encode())

    def receive_loan(self, data: bytes, host: str) -> None:
        """Take or renew a VM's loan."""
        try:
            loan = Loan.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid loan ignored", extra={"cause": str(exc)})
            return
        is_own_stamp = loan.stamp.incarnation == self._incarnation
        is_accepted = is_own_stamp and self._pool.renew(
            host, loan.groups, loan.stamp.seconds, now()
        )
        reply = LoanReply(self._stamp(), loan.lender, is_accepted, self._pool.is_closed)
        self.send(host, reply.encode())

    def receive_request(self, data: bytes, host: str) -> None:
        """Answer a VM's request for tokens of a workspace."""
        try:
            request = TokenRequest.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid token request ignored", extra={"cause": str(exc)})
            return
        key = (host, False, request.workspace)
        terms = self._workspace_terms(request.workspace)
        self._answer(key, request.number, request.count, terms)

    def receive_target_request(self, data: bytes, host: str) -> None:
        """Answer a VM's request for tokens of a target's limit."""
        try:
            request = TargetTokenRequest.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid token request ignored", extra={"cause": str(exc)})
            return
        tolerance = TARGET_LIMIT_BOUNDS.tolerance(request.rate, 0.0)
        terms = _Terms(request.quota, request.rate, 0.0, tolerance, True)
        self._answer((host, True, request.quota), request.number, request.count, terms)

    def _answer(
        self, key: tuple[str, bool, int], number: int, count: int, terms: _Terms | None
    ) -> None:
        moment = now()
        self._prune(moment)
        sent = self._sent.get(key)
        # A request that arrives twice must not take its tokens twice.
        if sent is None or sent.reply.number != number:
            sent = _SentReply(self._grant(number, count, terms, moment), moment)
            self._sent[key] = sent
        self.send(key[0], sent.reply.encode())

    def _stamp(self) -> Stamp:
        return Stamp.at(self._incarnation, now())

    def _grant(
        self, number: int, count: int, terms: _Terms | None, moment: float
    ) -> TokenReply:
        quota = self._find_quota(terms, moment) if terms is not None else None
        if terms is None or quota is None:
            return TokenReply(number, 0, 0.0, False)
        quota.used_at = moment
        taken = quota.bucket.take(count, moment)
        retry_after = 0.0
        if taken < count:
            retry_after = self._draw_retry_after(quota, moment)
        is_filling = not terms.is_target and moment - quota.created_at < FILLING_SECONDS
        return TokenReply(number, taken, retry_after, True, is_filling)

    def _draw_retry_after(self, quota: _Quota, moment: float) -> float:
        """Return the delay until the next token, at different times for callers.

        A caller that comes back as soon as there may be room can still be answered
        within its objective. One that waits for a place behind all others that were
        refused would be answered late, with a token that another request could have
        used in time.
        """
        earliest = quota.bucket.seconds_until(1, moment)
        delay = MIN_RETRY_SECONDS + earliest * self._rng.uniform(1, RETRY_SPREAD)
        return min(MAX_RETRY_SECONDS, delay)

    def _workspace_terms(self, number: int) -> _Terms | None:
        """Return the limits of a workspace in force, or None if it is unknown."""
        cfg = self._cluster_view.configuration
        if cfg is None or cfg.workspaces is None:
            return None
        if self._configuration_version != cfg.version:
            self._configuration_version = cfg.version
            self._names = {checksum(name): name for name in cfg.workspaces.by_name}
        name = self._names.get(number)
        if name is None:
            return None
        workspace = cfg.workspaces.by_name[name]
        tolerance = self._bounds.tolerance(workspace.rate, workspace.burst)
        return _Terms(number, workspace.rate, workspace.burst, tolerance)

    def _find_quota(self, terms: _Terms, moment: float) -> _Quota | None:
        """Return a quota with the limits in force; None if no share was lent."""
        lenders = self._pool.lenders(terms.group, moment)
        if not lenders:
            return None
        share = min(1.0, lenders / max(1, self.vm_count))
        rate = share * terms.rate
        capacity = share * terms.burst + JITTER_SHARE * terms.tolerance
        quota = self._quotas.get(terms.key)
        if quota is None or quota.created_at < self._pool.held_since(terms.group):
            # Another server may have handed out the whole burst a moment ago.
            level = share * START_SHARE * terms.tolerance
            bucket = TokenBucket(rate, capacity, level, moment)
            quota = self._quotas[terms.key] = _Quota(bucket, moment)
        quota.bucket.set_limits(rate, capacity, moment)
        return quota

    def _prune(self, moment: float) -> None:
        """Drop old replies, and the buckets of targets that have no limit any more."""
        if moment - self._pruned_at < REPLY_MEMORY_SECONDS:
            return
        self._pruned_at = moment
        for key, sent in list(self._sent.items()):
            if moment - sent.sent_at > REPLY_MEMORY_SECONDS:
                del self._sent[key]
        for number, quota in list(self._quotas.items()):
            is_target, _ = number
            if is_target and moment - quota.used_at > UNUSED_BUCKET_SECONDS:
                del self._quotas[number]
