"""Client side of the permit protocol.

A VM knows little about what other VMs send to the same target, so it asks the permit
server of the target's queue for a permit, in a round trip of less than a millisecond.
If the permit server is lost, the request is routed without a permit by this VM's own
data: a request must never wait for a VM that is gone.
"""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from berylstage_policy.candidates import Candidate
from berylstage_policy.queue_assignment import (
    SERVER_BACKOFF_SECONDS,
    eligible_vms,
    rank_servers,
)
from berylstage_policy.slot_queue import PermitStatus
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, PermitRefused
from berylstage_entry.permit_messages import (
    REQUEST_NUMBERS,
    PermitRelease,
    PermitReply,
    PermitRequest,
    checksum,
)
from berylstage_entry.permits import Permit
from berylstage_entry.reply_timeout import ReplyTimeout

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.membership import Membership
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.targets import LoadReport

# Requests sent before a permit server counts as lost: a datagram may be lost.
MAX_ATTEMPTS = 3
# Interval at which a queued request is renewed at its permit server.
RENEWAL_SECONDS = 0.1
# Key for the eligible hosts of all data centres.
ALL_DATA_CENTRES = ""

log = Logger(__name__)


class _ServerLost(Exception):
    """The permit server does not respond, or no longer serves the queue."""


class PermitClient:
    """Acquires permits for the requests of one VM.

    Parameters
    ----------
    membership : Membership
    host : str
        Host of this VM.
    """

    def __init__(self, membership: Membership, host: str):
        self._membership = membership
        self._host = host
        self._request_numbers = count(1)
        # Replies to the requests that wait for one, by number.
        self._replies: dict[int, asyncio.Queue[PermitReply]] = {}
        self._servers: dict[str, list[str]] = {}
        # Hosts eligible as permit servers, for each data centre and for all.
        self._eligible_hosts: dict[str, list[str]] = {}
        self._members_revision = -1
        self._revision = 0
        self._lost_servers: dict[str, float] = {}
        self._reply_timeout = ReplyTimeout()
        # Send a message to the VM of a host, which may be this one.
        self.send_request: Callable[[str, PermitRequest], None] = lambda host, ask: None
        self.send_release: Callable[[str, PermitRelease], None] = lambda host, _: None

    async def acquire(
        self, ctx: RequestContext, queue: str, data_centre: str = ""
    ) -> Permit | None:
        """Wait for a permit for a request.

        Parameters
        ----------
        ctx : RequestContext
        queue : str
            Name of a target that owns keys, or of a service without owned keys.
        data_centre : str
            Data centre of the targets; empty for all.

        Returns
        -------
        Permit or None
            None if no VM serves the queue; the request is then sent without a permit.

        Raises
        ------
        PermitRefused
            The request would be answered too late.
        """
        for server in self._servers_for(queue, data_centre):
            if now() < self._lost_servers.get(server, 0.0):
                continue
            try:
                return await self._acquire_from(ctx, queue, server)
            except _ServerLost:
                self._lost_servers[server] = now() + SERVER_BACKOFF_SECONDS
                log.info(
                    "permit server lost",
                    extra={"keeper": server, "queue": queue},
                )
        return None

    def release(
        self, permit: Permit, failed: bool = False, load: LoadReport | None = None
    ) -> None:
        """Release a permit.

        Parameters
        ----------
        permit : Permit
        failed : bool
            Whether the target failed the request or did not answer.
        load : LoadReport, optional
            Load of the target without the answered request.
        """
        queue = checksum(permit.queue)
        release = PermitRelease(permit.number, queue, permit.target, failed, load)
        self.send_release(permit.server, release)

    def receive_reply(self, data: bytes, host: str) -> None:
        """Handle the datagram of a permit server's reply."""
        try:
            reply = PermitReply.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid permit reply ignored", extra={"cause": str(exc)})
            return
        # The permit server was late, not lost.
        self._lost_servers.pop(host, None)
        self.handle_reply(reply)

    def handle_reply(self, reply: PermitReply) -> None:
        """Handle a permit server's reply."""
        replies = self._replies.get(reply.number)
        if replies is not None:
            replies.put_nowait(reply)

    async def _acquire_from(
        self, ctx: RequestContext, queue: str, server: str
    ) -> Permit:
        number = next(self._request_numbers) % REQUEST_NUMBERS
        permit = Permit(number, queue, server)
        replies = self._replies[number] = asyncio.Queue()
        try:
            permit.target = await self._await_grant(ctx, permit, replies)
            return permit
        finally:
            del self._replies[number]
            if not permit.target:
                # Refused or cancelled: the slot or queue position becomes free.
                self.release(permit)

    async def _await_grant(
        self, ctx: RequestContext, permit: Permit, replies: asyncio.Queue[PermitReply]
    ) -> int:
        """Return the checksum of the target for which the permit is granted."""
        unanswered, is_measured = 0, False
        first_sent_at = now()
        while True:
            self.send_request(permit.server, self._build_request(ctx, permit))
            is_answered, timeout = False, self._reply_timeout.timeout
            while True:
                reply = await _next_reply(replies, timeout)
                if reply is None:
                    break
                if not is_measured:
                    is_measured = True
                    self._reply_timeout.record(now() - first_sent_at)
                is_answered, unanswered, timeout = True, 0, RENEWAL_SECONDS
                if reply.status == PermitStatus.GRANTED.value:
                    return reply.target
                if reply.status == PermitStatus.REFUSED.value:
                    raise PermitRefused(reply.retry_after, permit.describe())
                if reply.status == PermitStatus.QUEUE_CLOSED.value:
                    raise _ServerLost
            if ctx.seconds_left(now()) <= 0:
                raise PermitRefused(0.0, permit.describe())
            if not is_answered:
                unanswered += 1
            if unanswered >= MAX_ATTEMPTS:
                if not is_measured:
                    self._reply_timeout.record(now() - first_sent_at)
                raise _ServerLost

    def _build_request(self, ctx: RequestContext, permit: Permit) -> PermitRequest:
        moment = now()
        route = ctx.route
        return PermitRequest(
            permit.number,
            checksum(permit.queue),
            checksum(route.name),
            # The target can begin only when the body has crossed this VM's link.
            ctx.soft_deadline - ctx.link_seconds - moment,
            route.objective,
            # Not shortened, because the permit server frees the slot at this time.
            ctx.seconds_left(moment),
            ctx.priority,
        )

    @property
    def revision(self) -> int:
        """Revision that grows with each change of the eligible permit servers."""
        self._refresh_servers()
        return self._revision

    def serves(self, queue: str, data_centre: str = "") -> bool:
        """Tell whether this VM is the permit server of a queue.

        Parameters
        ----------
        queue, data_centre : str
            As for :meth:`acquire`.
        """
        # Until any VM is known, each VM serves its own requests.
        return self._servers_for(queue, data_centre)[:1] in ([], [self._host])

    def _servers_for(self, queue: str, data_centre: str) -> list[str]:
        self._refresh_servers()
        known = self._servers.get(queue)
        if known is None:
            hosts = (
                self._eligible_hosts.get(data_centre)
                or self._eligible_hosts[ALL_DATA_CENTRES]
            )
            known = self._servers[queue] = rank_servers(queue, hosts)
        return known

    def _refresh_servers(self) -> None:
        """Update the eligible permit servers after a change of the known VMs.

        Of hundreds of VMs most are too small to be eligible. When some of these start
        or are lost, no queue moves, and the assignments of hundreds of queues need not
        be computed again.
        """
        if self._members_revision == self._membership.revision:
            return
        self._members_revision = self._membership.revision
        by_data_centre: dict[str, list[Candidate]] = {ALL_DATA_CENTRES: []}
        for member in self._membership.members():
            candidate = Candidate(member.host, member.relative_capacity)
            by_data_centre[ALL_DATA_CENTRES].append(candidate)
            by_data_centre.setdefault(member.data_centre, []).append(candidate)
        hosts = {centre: eligible_vms(vms) for centre, vms in by_data_centre.items()}
        if hosts != self._eligible_hosts:
            self._eligible_hosts = hosts
            self._servers.clear()
            self._revision += 1


async def _next_reply(
    replies: asyncio.Queue[PermitReply], timeout: float
) -> PermitReply | None:
    try:
        async with asyncio.timeout(timeout):
            return await replies.get()
    except TimeoutError:
        return None
