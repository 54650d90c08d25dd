"""Keeps requests that end targets from being sent to one target after the other."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from berylstage_policy.suspects import SuspectRegistry

from berylstage_entry.errors import Refused, RequestConvicted, TrialTimedOut
from berylstage_entry.lost_answers import LossCause, LostAnswers
from berylstage_entry.suspect_client import SuspectClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_transfers.errors import AnswerLost

    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.request_errors import RequestErrors
    from berylstage_entry.target_links import TargetLinks
    from berylstage_entry.targets import Target


class SuspectGuard:
    """Holds back suspected requests, and judges answers that were lost.

    Parameters
    ----------
    links : TargetLinks
    errors : RequestErrors
    find_owner : callable
        Waits for the owner of a request's key and returns its name.

    Attributes
    ----------
    lost_answers : LostAnswers
    suspects : SuspectClient
        Decides alone until it is replaced by one that asks other VMs.
    """

    def __init__(
        self,
        links: TargetLinks,
        errors: RequestErrors,
        find_owner: Callable[[RequestContext], Awaitable[str]],
    ):
        self.lost_answers = LostAnswers(links)
        self.suspects = SuspectClient(SuspectRegistry())
        self._errors = errors
        self._find_owner = find_owner
        # References that keep tasks from being collected.
        self._tasks: set[asyncio.Task] = set()

    async def admit(self, ctx: RequestContext) -> None:
        """Wait until a request may be sent, if it is suspected of ending targets.

        Raises
        ------
        Refused, Unanswered
        """
        self.suspects.release(ctx)
        if not self.suspects.needs_trial(ctx):
            return
        owner = ""
        if ctx.service.owns_keys and ctx.req.key is not None:
            owner = await self._find_owner(ctx)
        try:
            await self.suspects.acquire_trial(ctx, owner)
        except RequestConvicted as exc:
            if ctx.lost_reason:
                raise self._errors.build_error(ctx, "ends-targets", str(exc)) from exc
            raise Refused("ends-targets", exc.seconds, ctx.describe()) from exc
        except TrialTimedOut as exc:
            raise self._errors.build_error(ctx, "on-trial", str(exc)) from exc

    def is_admitted(self, ctx: RequestContext) -> bool:
        """Tell whether a request may still be sent.

        Another VM may have lost a target to it since it was admitted.
        """
        return not self.suspects.needs_trial(ctx)

    def release(self, ctx: RequestContext) -> None:
        """End the trial of a request that was sent or has been given up."""
        self.suspects.release(ctx)

    def record_answer(self, ctx: RequestContext) -> None:
        """Record that a target has run a request and answered."""
        self.suspects.record_answer(ctx)

    async def record_loss(
        self, ctx: RequestContext, target: Target, exc: AnswerLost
    ) -> None:
        """Find out whether a target has ended under a request.

        Nothing waits for that but an attempt that is on trial or may be repeated. It
        goes on if the caller leaves.
        """
        task = asyncio.create_task(self._judge(ctx, target, exc))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if ctx.route.idempotent or ctx.trial is not None:
            await asyncio.shield(task)

    async def _judge(
        self, ctx: RequestContext, target: Target, exc: AnswerLost
    ) -> None:
        cause = await self.lost_answers.find_cause(
            ctx.req, ctx.fingerprint, target, exc
        )
        if cause is LossCause.TARGET_ENDED:
            self.suspects.record_end(ctx, target)
