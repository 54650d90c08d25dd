"""Client side of trials: holds back requests that are suspected of ending targets."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from berylstage_policy.queue_assignment import SERVER_BACKOFF_SECONDS
from berylstage_policy.suspects import (
    SuspectRegistry,
    SuspectState,
    TargetEnd,
    TrialStatus,
)
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, RequestConvicted, TrialTimedOut
from berylstage_entry.permit_messages import REQUEST_NUMBERS, checksum
from berylstage_entry.suspect_messages import (
    NO_END,
    NO_TRIAL,
    Outcome,
    OutcomeReport,
    TrialReply,
    TrialRequestMessage,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.targets import Target

# Requests sent before a VM counts as lost, and the seconds that each waits for a reply.
MAX_ATTEMPTS = 2
REPLY_TIMEOUT_SECONDS = 0.06
# Seconds after which a trial that must wait is asked for again.
POLL_SECONDS = 0.03
# Least time that a request needs after its trial has been granted.
MIN_TRIAL_SECONDS = 0.02

log = Logger(__name__)


class _ServerLost(Exception):
    """The VM that decides about a suspect does not reply."""


class SuspectTrial:
    """Trial of a request, to be ended by its outcome.

    Parameters
    ----------
    server : str
        Host of the VM that has granted it.
    number : int
    ends : tuple of TargetEnd
        Ends of targets that were known when it was granted.
    """

    __slots__ = ("ends", "number", "server")

    def __init__(self, server: str, number: int, ends: tuple[TargetEnd, ...]):
        self.server = server
        self.number = number
        self.ends = ends


class SuspectClient:
    """Asks for trials of suspects, and reports what attempts show.

    Parameters
    ----------
    registry : SuspectRegistry
        What this VM knows of suspects.
    host : str
        Host of this VM.
    """

    def __init__(self, registry: SuspectRegistry, host: str = ""):
        self._registry = registry
        self._host = host
        self._numbers = count(1)
        self._replies: dict[int, asyncio.Queue[TrialReply]] = {}
        self._lost_servers: dict[str, float] = {}
        # Returns the hosts of the VMs that decide for a service, the first one first.
        self.servers_for: Callable[[str], list[str]] = lambda service: []
        # Sends a datagram to the VM of a host, which may be this one.
        self.send: Callable[[str, bytes], None] = lambda host, data: None

    def needs_trial(self, ctx: RequestContext) -> bool:
        """Tell whether a request must not be sent without a trial, or another one.

        A trial is over when targets have ended since it was granted.
        """
        # The fingerprint is only computed while there are suspects.
        if not len(self._registry):
            return False
        ends = self._find_state(ctx).ends
        return bool(ends) and (ctx.trial is None or ctx.trial.ends != ends)

    async def acquire_trial(self, ctx: RequestContext, owner: str = "") -> None:
        """Wait until a suspect may be sent, and set its trial.

        Parameters
        ----------
        ctx : RequestContext
        owner : str
            Name of the owner of its key; empty if it has none.

        Raises
        ------
        RequestConvicted, TrialTimedOut
            It must not be sent.
        """
        for server in self._servers(ctx.service.name):
            try:
                ctx.trial = await self._acquire_from(server, ctx, owner)
                return
            except _ServerLost:
                self._lost_servers[server] = now() + SERVER_BACKOFF_SECONDS
                log.info("server of trials lost", extra={"server": server})
        raise TrialTimedOut("no VM decides about its trial; send it again later")

    def record_answer(self, ctx: RequestContext) -> None:
        """Clear a request that a target has answered."""
        if ctx.trial is None and not self.needs_trial(ctx):
            return
        self._registry.record_answer(ctx.fingerprint)
        self._report(ctx, Outcome.ANSWERED)

    def record_end(self, ctx: RequestContext, target: Target) -> None:
        """Record that a target has ended while it ran a request."""
        end = TargetEnd(checksum(target.name), target.incarnation)
        if self._find_server(ctx) != self._host:
            self._registry.record_end(ctx.fingerprint, end, None, now())
        self._report(ctx, Outcome.TARGET_ENDED, end)

    def release(self, ctx: RequestContext) -> None:
        """End a trial that has shown nothing, if there is one."""
        if ctx.trial is not None:
            self._report(ctx, Outcome.NOTHING)

    def receive_reply(self, data: bytes, host: str) -> None:
        """Handle the datagram of a decision."""
        try:
            reply = TrialReply.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid trial reply ignored", extra={"cause": str(exc)})
            return
        self._lost_servers.pop(host, None)
        replies = self._replies.get(reply.number)
        if replies is not None:
            replies.put_nowait(reply)

    def _find_state(self, ctx: RequestContext) -> SuspectState:
        return self._registry.describe(ctx.fingerprint, now())

    def _servers(self, service: str) -> list[str]:
        """Return the VMs to ask; this one decides for itself if no other replies."""
        moment = now()
        servers = [
            host
            for host in self.servers_for(service)
            if moment >= self._lost_servers.get(host, 0.0) and host != self._host
        ]
        if self.servers_for(service)[:1] == [self._host]:
            return [self._host]
        return [*servers, self._host]

    def _find_server(self, ctx: RequestContext) -> str:
        if ctx.trial is not None:
            return ctx.trial.server
        return self._servers(ctx.service.name)[0]

    def _report(
        self, ctx: RequestContext, outcome: Outcome, end: TargetEnd = NO_END
    ) -> None:
        """Report an outcome, which ends the trial."""
        server = self._find_server(ctx)
        number = ctx.trial.number if ctx.trial is not None else NO_TRIAL
        ctx.trial = None
        report = OutcomeReport(outcome, ctx.fingerprint, number, end)
        self.send(server, report.encode())

    async def _acquire_from(
        self, server: str, ctx: RequestContext, owner: str
    ) -> SuspectTrial | None:
        """Wait for a trial; return None if the request is no suspect any more."""
        number = next(self._numbers) % REQUEST_NUMBERS
        lane = checksum(owner or ctx.service.name)
        self._replies[number] = asyncio.Queue()
        has_asked = is_granted = False
        try:
            while (state := self._find_state(ctx)).ends:
                if state.seconds > 0:
                    raise RequestConvicted(state.seconds)
                left = ctx.seconds_left(now())
                if left < MIN_TRIAL_SECONDS:
                    raise TrialTimedOut("another attempt of it is on trial")
                message = TrialRequestMessage(number, lane, left, bool(owner), state)
                has_asked = True
                reply = await self._ask(server, message)
                if reply.status is TrialStatus.GRANTED:
                    is_granted = True
                    return SuspectTrial(server, number, state.ends)
                self._adopt(ctx.fingerprint, state, reply)
                if reply.status is TrialStatus.WAIT:
                    await asyncio.sleep(POLL_SECONDS)
            return None
        finally:
            del self._replies[number]
            if has_asked and not is_granted:
                # It may have been granted by a reply that was lost.
                report = OutcomeReport(Outcome.NOTHING, ctx.fingerprint, number)
                self.send(server, report.encode())

    def _adopt(self, fingerprint: int, state: SuspectState, reply: TrialReply) -> None:
        """Take over what a decision says of the request."""
        if reply.status is TrialStatus.CLEARED:
            self._registry.record_answer(fingerprint)
        elif reply.status is TrialStatus.CONVICTED:
            convictions = max(1, state.convictions)
            convicted = SuspectState(
                fingerprint, state.ends, convictions, reply.seconds
            )
            self._registry.adopt(convicted, now())

    async def _ask(self, server: str, message: TrialRequestMessage) -> TrialReply:
        replies = self._replies[message.number]
        for _ in range(MAX_ATTEMPTS):
            self.send(server, message.encode())
            try:
                async with asyncio.timeout(REPLY_TIMEOUT_SECONDS):
                    return await replies.get()
            except TimeoutError:
                continue
        raise _ServerLost
