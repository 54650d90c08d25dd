"""Server side of the quota protocol: tokens from the shares lent to this VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.quota_shares import (
    JITTER_SHARE,
    START_SHARE,
    SharePool,
    group_of,
)
from berylstage_policy.token_bucket import TokenBucket
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.permit_messages import checksum
from berylstage_entry.quota_messages import (
    Loan,
    LoanReply,
    Stamp,
    TokenReply,
    TokenRequest,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from berylstage_policy.quota_shares import QuotaBounds

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.workspaces import Workspace

# Time for which a reply is repeated when the same request arrives again.
REPLY_MEMORY_SECONDS = 2.0
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


class _Quota:
    """Tokens of one workspace.

    Parameters
    ----------
    workspace : Workspace
    bucket : TokenBucket
    """

    __slots__ = ("bucket", "created_at", "workspace")

    def __init__(self, workspace: Workspace, bucket: TokenBucket, created_at: float):
        self.workspace = workspace
        self.bucket = bucket
        self.created_at = created_at


class _SentReply:
    """The last reply to a VM about a workspace."""

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
        self._quotas: dict[str, _Quota] = {}
        self._configuration_version = -1
        # Names of workspaces by checksum.
        self._names: dict[int, str] = {}
        self._sent: dict[tuple[str, int], _SentReply] = {}
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
        """Answer a VM's request for tokens."""
        try:
            request = TokenRequest.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid token request ignored", extra={"cause": str(exc)})
            return
        moment = now()
        self._prune_replies(moment)
        key = (host, request.workspace)
        sent = self._sent.get(key)
        # A request that arrives twice must not take its tokens twice.
        if sent is None or sent.reply.number != request.number:
            sent = _SentReply(self._grant(request, moment), moment)
            self._sent[key] = sent
        self.send(host, sent.reply.encode())

    def _stamp(self) -> Stamp:
        return Stamp.at(self._incarnation, now())

    def _grant(self, request: TokenRequest, moment: float) -> TokenReply:
        quota = self._find_quota(request.workspace, moment)
        if quota is None:
            return TokenReply(request.number, 0, 0.0, False)
        taken = quota.bucket.take(request.count, moment)
        retry_after = 0.0
        if taken < request.count:
            retry_after = self._draw_retry_after(quota, moment)
        is_filling = moment - quota.created_at < FILLING_SECONDS
        return TokenReply(request.number, taken, retry_after, True, is_filling)

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

    def _find_quota(self, number: int, moment: float) -> _Quota | None:
        """Return the quota of a workspace with the limits in force, or None."""
        cfg = self._cluster_view.configuration
        if cfg is None or cfg.workspaces is None:
            return None
        if self._configuration_version != cfg.version:
            self._configuration_version = cfg.version
            self._names = {checksum(name): name for name in cfg.workspaces.by_name}
        name = self._names.get(number)
        if name is None:
            return None
        group = group_of(name)
        lenders = self._pool.lenders(group, moment)
        if not lenders:
            return None
        workspace = cfg.workspaces.by_name[name]
        share = min(1.0, lenders / max(1, self.vm_count))
        tolerance = self._bounds.tolerance(workspace.rate, workspace.burst)
        rate = share * workspace.rate
        capacity = share * workspace.burst + JITTER_SHARE * tolerance
        quota = self._quotas.get(name)
        if quota is None or quota.created_at < self._pool.held_since(group):
            # Another server may have handed out the whole burst a moment ago.
            level = share * START_SHARE * tolerance
            bucket = TokenBucket(rate, capacity, level, moment)
            quota = self._quotas[name] = _Quota(workspace, bucket, moment)
        quota.workspace = workspace
        quota.bucket.set_limits(rate, capacity, moment)
        return quota

    def _prune_replies(self, moment: float) -> None:
        if moment - self._pruned_at < REPLY_MEMORY_SECONDS:
            return
        self._pruned_at = moment
        for key, sent in list(self._sent.items()):
            if moment - sent.sent_at > REPLY_MEMORY_SECONDS:
                del self._sent[key]
