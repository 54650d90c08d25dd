"""Client side of the quota protocol: a token for each request that a quota covers.

Requests that arrive while the quota server is being asked share the next question, so
that the number of datagrams doesn't grow with the load of a quota.
"""

from __future__ import annotations

import asyncio
from collections import deque
from itertools import count
from typing import TYPE_CHECKING

from berylstage_policy.candidates import Candidate
from berylstage_policy.queue_assignment import eligible_vms
from berylstage_policy.quota_shares import (
    GROUPS,
    RENEWAL_SECONDS,
    ShareLender,
    choose_servers,
    group_of,
    rank_for_group,
)
from berylstage_policy.token_bucket import TokenBucket
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, Refused
from berylstage_entry.permit_messages import REQUEST_NUMBERS
from berylstage_entry.quota_messages import Loan, LoanReply, Stamp, TokenReply
from berylstage_entry.quotas import Token
from berylstage_entry.reply_timeout import ReplyTimeout
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable, Iterable
    from random import Random

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.membership import Membership
    from berylstage_entry.quotas import Quota

# Requests for tokens that are sent before the quota server counts as lost.
MAX_ATTEMPTS = 3
# Renewals of loans that a quota server may leave unanswered before it counts as lost.
MAX_UNANSWERED_RENEWALS = 3
# Time for which requests wait for a quota server, or for the first tokens of a new one,
# and the interval at which it is asked.
MAX_UNSERVED_SECONDS = 0.3
UNSERVED_POLL_SECONDS = 0.05
# Time for which a token may be used by another request of its quota, counted from its
# grant, if its own request was refused before it was sent.
TOKEN_SECONDS = 0.4
INCARNATIONS = 1 << 32

log = Logger(__name__)


class _ServerLost(Exception):
    """The quota server does not respond."""


class _WaitingRequest:
    """A request that waits for a token, and since when."""

    __slots__ = ("began", "fut")

    def __init__(self) -> None:
        self.began = now()
        self.fut: asyncio.Future[TokenReply] = (
            asyncio.get_running_loop().create_future()
        )


class _Waiting:
    """Requests of one quota that wait for a token, and unused tokens."""

    __slots__ = ("quota", "requests", "spare", "task")

    def __init__(self, quota: Quota) -> None:
        # With the limits in force.
        self.quota = quota
        self.requests: deque[_WaitingRequest] = deque()
        self.spare: deque[Token] = deque()
        self.task: asyncio.Task | None = None

    def take_spare(self, moment: float) -> Token | None:
        """Return an unused token that is recent enough, or None."""
        while self.spare:
            token = self.spare.popleft()
            if moment - token.granted_at <= TOKEN_SECONDS:
                return token
        return None


class QuotaClient:
    """Acquires tokens for the requests of one VM, and lends its shares.

    Parameters
    ----------
    cluster_view : ClusterView
    membership : Membership
    host : str
        Host of this VM.
    rng : Random
    """

    def __init__(
        self,
        cluster_view: ClusterView,
        membership: Membership,
        host: str,
        rng: Random,
    ):
        self._cluster_view = cluster_view
        self._membership = membership
        self._host = host
        self._rng = rng
        self._lender = ShareLender(now())
        self._incarnation = rng.randrange(INCARNATIONS)
        # Quota servers that hold no loan of an earlier process of this VM.
        self._cleared: set[str] = set()
        self._request_numbers = count(rng.randrange(REQUEST_NUMBERS))
        self._replies: dict[int, asyncio.Future[TokenReply]] = {}
        self._waiting: dict[Hashable, _Waiting] = {}
        # Tokens of this VM's own shares, by quota, and the group of each.
        self._own_buckets: dict[Hashable, TokenBucket] = {}
        self._own_groups: dict[Hashable, int] = {}
        self._servers: list[str] = []
        self._members_revision = -1
        self._ranked: list[list[str]] = [[] for _ in range(GROUPS)]
        # Quota servers that do not respond, until they answer a renewal.
        self._lost: set[str] = set()
        # Newest stamp of each quota server, and renewals since its last reply.
        self._stamps: dict[str, Stamp] = {}
        self._unanswered: dict[str, int] = {}
        self._reply_timeout = ReplyTimeout()
        self._task: asyncio.Task | None = None
        # Number of VMs that own a share, this one included.
        self.vm_count = 1
        # Sends a datagram to a VM, which may be this one.
        self.send: Callable[[str, bytes], None] = lambda host, data: None
        # Tells whether a target has a limit.
        self.has_target_limits: Callable[[], bool] = lambda: False

    def start(self) -> None:
        """Start to lend the shares of this VM."""
        self._task = supervise("quota loans", self._run)

    def stop(self) -> None:
        """Stop lending; requests that still wait use this VM's own shares."""
        if self._task is not None:
            self._task.cancel()

    async def acquire(self, quota: Quota) -> Token | None:
        """Wait for a token of a quota; return None if it has no limit.

        Raises
        ------
        Refused
            The quota is used up, or no quota server is known yet.
        """
        if not quota.is_limited:
            return None
        waiting = self._waiting.setdefault(quota.identity, _Waiting(quota))
        waiting.quota = quota
        token = waiting.take_spare(now())
        if token is not None:
            return token
        req = _WaitingRequest()
        waiting.requests.append(req)
        if waiting.task is None or waiting.task.done():
            waiting.task = asyncio.create_task(self._serve_waiting(waiting))
        reply = await req.fut
        if reply.count:
            return Token(quota.identity, now())
        if not reply.is_served:
            raise Refused("quota-unknown", reply.retry_after)
        cfg = self._cluster_view.configuration
        version = cfg.version if cfg is not None else 0
        raise quota.build_refusal(reply.retry_after, version)

    def give_back(self, token: Token) -> None:
        """Let another request use the token of one that was not sent."""
        waiting = self._waiting.get(token.quota)
        if waiting is not None:
            waiting.spare.append(token)

    def forget(self, identity: Hashable) -> None:
        """Drop what is kept for a quota that does not exist any more."""
        waiting = self._waiting.get(identity)
        if waiting is not None and (waiting.task is None or waiting.task.done()):
            del self._waiting[identity]
        self._own_buckets.pop(identity, None)
        self._own_groups.pop(identity, None)

    def receive_reply(self, data: bytes, host: str = "") -> None:
        """Take a quota server's reply to a request for tokens."""
        try:
            reply = TokenReply.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid token reply ignored", extra={"cause": str(exc)})
            return
        fut = self._replies.get(reply.number)
        if fut is not None and not fut.done():
            fut.set_result(reply)

    def receive_loan_reply(self, data: bytes, host: str) -> None:
        """Take a quota server's reply to the renewal of a loan."""
        try:
            reply = LoanReply.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid loan reply ignored", extra={"cause": str(exc)})
            return
        self._unanswered[host] = 0
        if reply.is_closed:
            self._handle_closed(host)
            return
        self._lost.discard(host)
        is_first = host not in self._stamps
        self._stamps[host] = reply.stamp
        if is_first:
            # Nothing was lent before there was a stamp to repeat.
            self._send_loan(host, 0)
        elif reply.is_accepted and reply.lender == self._incarnation:
            self._mark_cleared(host)

    def _handle_closed(self, host: str) -> None:
        """Lend to another server what one that stops does not use any more."""
        self._stamps.pop(host, None)
        self._lost.add(host)
        if self._lender.has_lent(host):
            self._lender.take_back(host, now())
            self._renew_loans()

    def _mark_cleared(self, host: str) -> None:
        """Record that a server has replaced the loan of an earlier process."""
        if host in self._cleared:
            return
        self._cleared.add(host)
        if self._cleared.issuperset(self._servers):
            self._lender.free_unlent(now())
            self._renew_loans()

    async def _serve_waiting(self, waiting: _Waiting) -> None:
        """Ask for tokens until no request of the quota waits."""
        while waiting.requests:
            requests = [req for req in waiting.requests if not req.fut.done()]
            waiting.requests.clear()
            if not requests:
                return
            reply = TokenReply(0, 0, RENEWAL_SECONDS, False)
            try:
                reply = await self._request_tokens(waiting.quota, len(requests))
            finally:
                waiting.requests.extendleft(reversed(_settle(requests, reply)))
            if waiting.requests and not reply.count:
                await asyncio.sleep(UNSERVED_POLL_SECONDS)

    async def _request_tokens(self, quota: Quota, wanted: int) -> TokenReply:
        """Return tokens from a quota server or, without one, from this VM's share."""
        for server in self._servers_for(quota.name):
            if server in self._lost:
                continue
            try:
                reply = await self._request_from(server, quota, wanted)
            except _ServerLost:
                self._mark_lost(server)
                continue
            # A server that has just come back has not been lent any share yet.
            if reply.is_served:
                return reply
        return self._take_own(quota, wanted)

    async def _request_from(self, server: str, quota: Quota, wanted: int) -> TokenReply:
        number = next(self._request_numbers) % REQUEST_NUMBERS
        data = quota.encode_request(number, wanted)
        fut = self._replies[number] = asyncio.get_running_loop().create_future()
        began = now()
        try:
            for _ in range(MAX_ATTEMPTS):
                self.send(server, data)
                try:
                    async with asyncio.timeout(self._reply_timeout.timeout):
                        reply = await asyncio.shield(fut)
                except TimeoutError:
                    continue
                return reply
            raise _ServerLost
        finally:
            self._reply_timeout.record(now() - began)
            del self._replies[number]

    def _take_own(self, quota: Quota, wanted: int) -> TokenReply:
        """Take tokens from this VM's own share, once no other VM can use it."""
        moment = now()
        share = 1.0 / max(1, self.vm_count)
        rate, burst = share * quota.rate, share * quota.burst
        if not self._lender.is_free(group_of(quota.name), moment):
            return TokenReply(0, 0, RENEWAL_SECONDS, False)
        bucket = self._own_buckets.get(quota.identity)
        if bucket is None:
            # The server may have handed out the burst a moment ago. Small shares become
            # tokens at the VMs one after the other.
            level = self._rng.random()
            bucket = TokenBucket(rate, max(1.0, burst), level, moment)
            self._own_buckets[quota.identity] = bucket
            self._own_groups[quota.identity] = group_of(quota.name)
        bucket.set_limits(rate, max(1.0, burst), moment)
        taken = bucket.take(wanted, moment)
        retry_after = bucket.seconds_until(1, moment) if taken < wanted else 0.0
        return TokenReply(0, taken, retry_after)

    def _mark_lost(self, server: str) -> None:
        if server not in self._lost:
            self._lost.add(server)
            log.info("quota server lost", extra={"server": server})

    def _servers_for(self, quota: str) -> list[str]:
        self._refresh_servers()
        return self._ranked[group_of(quota)]

    def _refresh_servers(self) -> None:
        """Update the quota servers after a change of the known VMs."""
        if self._members_revision == self._membership.revision:
            return
        self._members_revision = self._membership.revision
        members = self._membership.members()
        candidates = [Candidate(m.host, m.relative_capacity) for m in members]
        servers = choose_servers(eligible_vms(candidates), len(members))
        if servers != self._servers:
            self._servers = servers
            self._ranked = [rank_for_group(group, servers) for group in range(GROUPS)]

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(RENEWAL_SECONDS * self._rng.uniform(0.9, 1.0))
            if self._has_quotas():
                self._renew_loans()

    def _has_quotas(self) -> bool:
        cfg = self._cluster_view.configuration
        has_workspaces = cfg is not None and cfg.workspaces is not None
        return has_workspaces or self.has_target_limits()

    def _renew_loans(self) -> None:
        """Lend the shares of each group to its first quota server that responds."""
        self._refresh_servers()
        moment = now()
        wanted = [
            next((s for s in ranked if s not in self._lost), "")
            for ranked in self._ranked
        ]
        masks = self._lender.renew(wanted, moment)
        self._drop_own_buckets(masks.values())
        for server in self._servers:
            unanswered = self._unanswered.get(server, 0)
            if unanswered >= MAX_UNANSWERED_RENEWALS:
                self._mark_lost(server)
            self._unanswered[server] = unanswered + 1
            self._send_loan(server, masks.get(server, 0))

    def _drop_own_buckets(self, masks: Iterable[int]) -> None:
        """Drop the tokens of shares that another VM uses now."""
        lent = 0
        for mask in masks:
            lent |= mask
        for identity, group in list(self._own_groups.items()):
            if lent >> group & 1:
                del self._own_buckets[identity]
                del self._own_groups[identity]

    def _send_loan(self, server: str, groups: int) -> None:
        stamp = self._stamps.get(server, Stamp())
        self.send(server, Loan(stamp, groups, self._incarnation).encode())


def _settle(
    requests: list[_WaitingRequest], reply: TokenReply
) -> list[_WaitingRequest]:
    """Give the requests their share of a reply, and return those that wait on.

    After the loss of a quota server there is none for a moment, and the next one has no
    tokens from before. A request that waits shortly is answered sooner than one that is
    refused and sent again.
    """
    moment = now()
    waiting_on = []
    for index, req in enumerate(requests):
        has_token = index < reply.count
        may_wait = reply.is_filling or not reply.is_served
        if not has_token and may_wait and moment - req.began < MAX_UNSERVED_SECONDS:
            waiting_on.append(req)
        elif not req.fut.done():
            share = TokenReply(
                reply.number, int(has_token), reply.retry_after, reply.is_served
            )
            req.fut.set_result(share)
    return waiting_on
