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
from berylstage_policy.slot_requests import PermitStatus
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, KeyMoved, PermitRefused
from berylstage_entry.log_rate_limiter import LogRateLimiter
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
# Log lines per second about requests that leave a queue. A move of busy keys takes
# dozens of requests from one queue at once.
MOVE_LINES_PER_SECOND = 2.0
# Key for the eligible hosts of all data centres.
ALL_DATA_CENTRES = ""

log = Logger(__name__)


class _ServerLost(Exception):
    """The permit server does not respond, or no longer serves the queue."""


class _Waiting:
    """A request that waits for the replies of a permit server."""

    __slots__ = ("ctx", "queue", "replies")

    def __init__(self, ctx: RequestContext, queue: str):
        self.ctx = ctx
        self.queue = queue
        # None tells the request to leave the queue.
        self.replies: asyncio.Queue[PermitReply | None] = asyncio.Queue()


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
        # Requests that wait for a reply, by number.
        self._waiting: dict[int, _Waiting] = {}
        self._servers: dict[str, list[str]] = {}
        # Hosts eligible as permit servers, for each data centre and for all.
        self._eligible_hosts: dict[str, list[str]] = {}
        self._members_revision = -1
        self._revision = 0
        self._lost_servers: dict[str, float] = {}
        self._reply_timeout = ReplyTimeout()
        self._move_limiter = LogRateLimiter(MOVE_LINES_PER_SECOND)
        # Tells whether a queue is still the right one for a request.
        self.is_current: Callable[[RequestContext, str], bool] = lambda ctx, _: True
        # Counts an event, by name.
        self.count_event: Callable[[str], None] = lambda name: None
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
        KeyMoved
            The queue is no longer the right one for the request.
        """
        for server in self.servers_for(queue, data_centre):
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

    def leave_former_owners(self) -> None:
        """Take the requests whose keys have another owner from their queues.

        The load is a busy range of keys that moves to an idle target while dozens of
        requests for it wait at the former owner.
        """
        for waiting in self._waiting.values():
            if not self.is_current(waiting.ctx, waiting.queue):
                waiting.replies.put_nowait(None)

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
        waiting = self._waiting.get(reply.number)
        if waiting is not None:
            waiting.replies.put_nowait(reply)

    async def _acquire_from(
        self, ctx: RequestContext, queue: str, server: str
    ) -> Permit:
        number = next(self._request_numbers) % REQUEST_NUMBERS
        permit = Permit(number, queue, server)
        waiting = self._waiting[number] = _Waiting(ctx, queue)
        began = now()
        try:
            permit.target = await self._await_grant(permit, waiting)
            return permit
        except KeyMoved:
            self._record_move(permit, now() - began)
            raise
        finally:
            del self._waiting[number]
            if not permit.target:
                # Refused, moved or cancelled: the slot or queue position becomes free.
                self.release(permit)

    def _record_move(self, permit: Permit, waited: float) -> None:
        self.count_event("left queue of former owner")
        if self._move_limiter.take():
            log.info(
                "left queue of former owner",
                extra={
                    "queue": permit.queue,
                    "keeper": permit.server,
                    "number": permit.number,
                    "waited": round(waited, 3),
                    "left_out": self._move_limiter.take_suppressed_count(),
                },
            )

    async def _await_grant(self, permit: Permit, waiting: _Waiting) -> int:
        """Return the checksum of the target for which the permit is granted."""
        ctx = waiting.ctx
        unanswered, is_measured = 0, False
        first_sent_at = now()
        while True:
            if not self.is_current(ctx, permit.queue):
                # An owner that starts draining causes no call of `leave_former_owners`.
                raise KeyMoved(permit.describe())
            self.send_request(permit.server, self._build_request(ctx, permit))
            is_answered, timeout = False, self._reply_timeout.timeout
            while True:
                reply = await _next_reply(waiting.replies, timeout)
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
        return self.servers_for(queue, data_centre)[:1] in ([], [self._host])

    def servers_for(self, queue: str, data_centre: str = "") -> list[str]:
        """Return the hosts of the permit servers of a queue, in order of preference.

        Parameters
        ----------
        queue, data_centre : str
            As for :meth:`acquire`.
        """
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
    replies: asyncio.Queue[PermitReply | None], timeout: float
) -> PermitReply | None:
    """Return the next reply, or None after the timeout."""
    try:
        async with asyncio.timeout(timeout):
            reply = await replies.get()
    except TimeoutError:
        return None
    if reply is None:
        raise KeyMoved
    return reply
