"""Decides whether a request that hangs may be sent to its target a second time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.cold_targets import ColdTargets
    from berylstage_entry.owners import OwnerResolver
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.retry_budgets import RetryBudgets
    from berylstage_entry.suspect_guard import SuspectGuard
    from berylstage_entry.target_notices import TargetNotices


class HedgeAdmission:
    """Admits second attempts within the limits that hold for other repeats.

    Parameters
    ----------
    cluster_view : ClusterView
    owner_resolver : OwnerResolver
    target_notices : TargetNotices
    cold_targets : ColdTargets
    suspect_guard : SuspectGuard
    retry_budgets : RetryBudgets
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        owner_resolver: OwnerResolver,
        target_notices: TargetNotices,
        cold_targets: ColdTargets,
        suspect_guard: SuspectGuard,
        retry_budgets: RetryBudgets,
    ):
        self._cluster_view = cluster_view
        self._owner_resolver = owner_resolver
        self._notices = target_notices
        self._cold_targets = cold_targets
        self._suspect_guard = suspect_guard
        self._retry_budgets = retry_budgets

    def try_admit(
        self, ctx: RequestContext, name: str, expected_seconds: float
    ) -> bool:
        """Take what a second attempt needs; return False if it may not be made.

        Parameters
        ----------
        ctx : RequestContext
        name : str
            Name of the target.
        expected_seconds : float
            Seconds that the target is expected to take.
        """
        if not ctx.route.idempotent or ctx.seconds_left(now()) < expected_seconds:
            return False
        if ctx.trial is not None or not self._suspect_guard.is_admitted(ctx):
            return False
        if not self._accepts_repeats(ctx, name):
            return False
        if not self._retry_budgets.try_withdraw(ctx.service.name):
            return False
        ctx.attempts += 1
        ctx.hedged_at = now()
        return True

    def withdraw(self, ctx: RequestContext) -> None:
        """Give back what a second attempt took that no other VM could send."""
        ctx.attempts -= 1
        self._retry_budgets.refund(ctx.service.name)

    def _accepts_repeats(self, ctx: RequestContext, name: str) -> bool:
        """Tell whether the target may be sent a request without a token for it."""
        if not self._cluster_view.is_usable(name):
            return False
        if self._notices.blocked_seconds(name) or self._has_limit(ctx, name):
            return False
        if ctx.service.owns_keys and ctx.req.key is not None:
            return self._owner_resolver.is_owner(ctx, name)
        return True

    def _has_limit(self, ctx: RequestContext, name: str) -> bool:
        is_cold = self._cold_targets.limiter(name, ctx.service) is not None
        return is_cold or self._notices.limits.rate(name) is not None
