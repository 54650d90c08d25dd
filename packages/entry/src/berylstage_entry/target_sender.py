"""Sends a request to a target, directly or through another VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.link_health import Way
from berylstage_transfers.errors import AnswerLost, NeverSent

from berylstage_entry.clock import now
from berylstage_entry.hedge import Hedge
from berylstage_entry.relay_client import NoRelay, RelayClient, TargetDown
from berylstage_entry.relay_messages import RelayRequest

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.protocols import TargetAnswer
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.target_clients import Attempt
    from berylstage_entry.target_links import TargetLinks
    from berylstage_entry.targets import Target


class TargetSender:
    """Sends requests to targets over whatever way works.

    Parameters
    ----------
    links : TargetLinks
    vm : str
        Name of this VM.

    Attributes
    ----------
    relay_client : RelayClient or None
        None while this VM has no way to ask others.
    """

    def __init__(self, links: TargetLinks, vm: str):
        self._links = links
        self._vm = vm
        self.relay_client: RelayClient | None = None

    def is_reachable_by_others_only(self, name: str) -> bool:
        """Tell whether failures of a target say nothing about the target itself."""
        return self._links.choose_way(name) is Way.RELAY

    async def send(
        self,
        ctx: RequestContext,
        target: Target,
        expected_seconds: float,
        on_hang: Callable[[], None],
        may_repeat: Callable[[], bool] = lambda: False,
        on_unrepeated: Callable[[], None] = lambda: None,
    ) -> TargetAnswer:
        """Send a request and return the target's answer.

        A request that hangs at a link that seems to be lost is sent through another VM
        as well, if it may be repeated. It is not given up: a delay of this VM looks the
        same, and the caller of a request that may not be repeated would get nothing.

        Parameters
        ----------
        ctx : RequestContext
        target : Target
        expected_seconds : float
            Seconds that the target is expected to take.
        on_hang : callable
            Called once if the request hangs at a link that is lost and is not repeated,
            or no other VM could make the repeat.
        may_repeat : callable
            Takes what a repeat needs and returns whether it may be made.
        on_unrepeated : callable
            Called if no other VM could make the repeat.

        Raises
        ------
        NeverSent, AnswerLost
        """
        way = self._links.choose_way(target.name)
        if way is Way.NONE:
            raise TargetDown("neither this VM nor others reach the target")
        ctx.relay = ""
        if way is Way.RELAY:
            try:
                return await self._relay(ctx, target)
            except NoRelay:
                if self._links.is_cut_off:
                    raise

        def handle_unsent() -> None:
            on_unrepeated()
            on_hang()

        hedge = Hedge(lambda: self._relay(ctx, target), handle_unsent)

        def handle_hang(attempt: Attempt) -> None:
            if self.relay_client is not None and may_repeat():
                hedge.start(attempt)
            else:
                on_hang()

        try:
            first = await self._links.send(
                ctx.req,
                target,
                ctx.service.max_connections_per_target,
                ctx.seconds_left(now()),
                expected_seconds,
                handle_hang,
            )
            answer = await hedge.confirm(first)
            if answer is first:
                ctx.relay = ""
            return answer
        except NeverSent as exc:
            if hedge.is_started:
                return await hedge.wait(exc)
            # A relay that has just failed is not asked again for the same request.
            if way is Way.RELAY or not self.is_reachable_by_others_only(target.name):
                raise
        except AnswerLost as exc:
            return await hedge.wait(exc)
        finally:
            hedge.cancel()
        return await self._relay(ctx, target)

    async def _relay(self, ctx: RequestContext, target: Target) -> TargetAnswer:
        if self.relay_client is None:
            raise NoRelay("no other VM is known")
        request = RelayRequest(
            self._vm,
            target.name,
            target.incarnation,
            ctx.route.name,
            ctx.route.idempotent,
            ctx.req,
        )
        try:
            reply, vm = await self.relay_client.send(request, ctx.seconds_left(now()))
        except TargetDown:
            self._links.health.record_down(target.name, now())
            raise
        assert reply.answer is not None
        self._links.health.record_reached_by_other(target.name)
        ctx.relay = vm
        return reply.answer
