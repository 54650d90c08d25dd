"""Decides whether a request may be sent to a target that asks for less."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.errors import Refused

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.quota_client import QuotaClient
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.target_notices import TargetNotices

# Longest retry delay of a caller whose key is owned by a target that rests: meanwhile
# the key may move, and other VMs may still send to the target.
MAX_REST_RETRY_SECONDS = 0.3


class TargetAdmission:
    """Admits requests to targets that rest or have a limit.

    Parameters
    ----------
    cluster_view : ClusterView
    notices : TargetNotices

    Attributes
    ----------
    quota_client : QuotaClient or None
        Acquires the tokens of limits; without it, limits are not kept.
    """

    def __init__(self, cluster_view: ClusterView, notices: TargetNotices):
        self._cluster_view = cluster_view
        self._notices = notices
        self.quota_client: QuotaClient | None = None

    async def admit(self, ctx: RequestContext, name: str) -> None:
        """Wait until a request may be sent to a target, and set its token.

        Parameters
        ----------
        ctx : RequestContext
        name : str
            Name of the target.

        Raises
        ------
        Refused
            The target accepts no further request for some time.
        """
        self._check_rest(name)
        quota = self._notices.limits.find_quota(name)
        if quota is None or self.quota_client is None:
            return
        blocked_seconds = self._notices.limits.blocked_seconds(name)
        if blocked_seconds:
            raise quota.build_refusal(blocked_seconds, 0)
        try:
            ctx.target_token = await self.quota_client.acquire(quota)
        except Refused as exc:
            self._notices.limits.block(name, exc.retry_after)
            raise

    def is_valid(self, ctx: RequestContext, name: str) -> bool:
        """Tell whether a target still accepts a request that it was chosen for.

        While the request waited, the target may have left, asked for rest or named a
        limit.
        """
        if not self._cluster_view.is_usable(name):
            return False
        if self._notices.rests.seconds_left(name):
            return False
        has_limit = self._notices.limits.rate(name) is not None
        return not has_limit or ctx.target_token is not None or not self.quota_client

    def withdraw(self, ctx: RequestContext) -> None:
        """Give back the token of a request that is not sent."""
        if ctx.target_token is not None and self.quota_client is not None:
            self.quota_client.give_back(ctx.target_token)
        ctx.target_token = None

    def _check_rest(self, name: str) -> None:
        seconds = self._notices.rests.seconds_left(name)
        if seconds:
            retry_after = min(seconds, MAX_REST_RETRY_SECONDS)
            detail = f"target {name} rest {seconds:.2f} s"
            raise Refused("target-rest", retry_after, detail)
