"""Asks the keeper of a queue for the turn of a request, and waits for it.

The load it answers: a request that comes to a VM which knows little of what the
others have sent to the same target. Asking takes a way to another VM and back, less
than a millisecond. When the keeper is lost, the request goes on without a turn, by what
this VM knows itself: it must never wait for a VM that is gone.
"""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from berylstage_policy.candidates import Candidate
from berylstage_policy.keepers import SERVER_BACKOFF_SECONDS, eligible_vms, rank_servers
from berylstage_policy.slot_queue import PermitStatus
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import TurnRefused, UnreadableRecord
from berylstage_entry.turn_messages import Ask, Reply, Return, checksum

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.journey import Journey
    from berylstage_entry.membership import Membership
    from berylstage_entry.targets import LoadReport

# Seconds for the first reply of a keeper, at least and at most, and how often it is
# asked before it counts as lost: a datagram may be, and a VM may be busy for some
# milliseconds.
MIN_REPLY_TIMEOUT_SECONDS = 0.03
MAX_REPLY_TIMEOUT_SECONDS = 0.15
MAX_ATTEMPTS = 3
# Weights of a new reply in the mean time of replies and in its spread, and the spreads
# beyond the mean that are waited: as TCP does it.
MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
DEVIATION_FACTOR = 4.0
# Seconds between two words to a keeper of a request that waits there.
RENEWAL_SECONDS = 0.1
# Stands for all data centres.
ALL_DATA_CENTRES = ""
# Numbers of requests under way at once are unique within these.
REQUEST_NUMBERS = 1 << 32

log = Logger(__name__)


class Turn:
    """A request's turn at a target, to be given back.

    Parameters
    ----------
    number : int
    queue : str
    server : str
        Host of the VM that keeps the queue.

    Attributes
    ----------
    target : int
        Checksum of the target to which it is to go; 0 until it has its turn.
    """

    __slots__ = ("server", "number", "queue", "target")

    def __init__(self, number: int, queue: str, server: str):
        self.number = number
        self.queue = queue
        self.server = server
        self.target = 0

    def describe(self) -> str:
        """Return what finds it in the keeper's log."""
        return f"queue {self.queue} keeper {self.server} number {self.number}"


class ReplyTimeout:
    """How long replies take, and how long to wait for one.

    On a small link a datagram waits behind answers of 90 kB, for 70 ms each. Keepers
    that answer in time by that measure would count as lost all the time.
    """

    __slots__ = ("_mean_seconds", "_deviation")

    def __init__(self) -> None:
        self._mean_seconds = 0.0
        self._deviation = 0.0

    def record(self, seconds: float) -> None:
        """Take in the time from the first asking of a question to a reply.

        Where it was asked again, that is the most that the reply can have taken. Passed
        over, replies that come later than the timeout would never be learned from: each
        question would go on to be asked three times, and its keeper to count as lost.
        """
        self._deviation += DEVIATION_GAIN * (
            abs(seconds - self._mean_seconds) - self._deviation
        )
        self._mean_seconds += MEAN_GAIN * (seconds - self._mean_seconds)

    @property
    def timeout(self) -> float:
        """Seconds after which a reply is likely not to come any more."""
        wait = self._mean_seconds + DEVIATION_FACTOR * self._deviation
        return min(MAX_REPLY_TIMEOUT_SECONDS, max(MIN_REPLY_TIMEOUT_SECONDS, wait))


class _ServerLost(Exception):
    """The keeper does not answer, or keeps the queue no more."""


class Turns:
    """Gets turns for the requests of one VM.

    Parameters
    ----------
    membership : Membership
    host : str
        Of this VM.
    """

    def __init__(self, membership: Membership, host: str):
        self._membership = membership
        self._host = host
        self._numbers = count(1)
        # Requests that wait for a word, by their number.
        self._replies: dict[int, asyncio.Queue[Reply]] = {}
        self._servers: dict[str, list[str]] = {}
        # Hosts that may keep queues: of each data centre, and of all.
        self._eligible_hosts: dict[str, list[str]] = {}
        self._members_revision = -1
        self._revision = 0
        self._lost_servers: dict[str, float] = {}
        self._reply_timeout = ReplyTimeout()
        # Send a message to the VM of a host, which may be this one.
        self.ask: Callable[[str, Ask], None] = lambda host, ask: None
        self.give_back: Callable[[str, Return], None] = lambda host, release: None

    async def take(
        self, journey: Journey, queue: str, data_centre: str = ""
    ) -> Turn | None:
        """Wait for the turn of a request.

        Parameters
        ----------
        journey : Journey
        queue : str
            Name of a target that owns keys, or of a service without owned keys.
        data_centre : str
            Where the targets are; empty for all over.

        Returns
        -------
        Turn or None
            None when nobody keeps the queue, so that it goes without a turn.

        Raises
        ------
        TurnRefused
            It would be answered too late.
        """
        for server in self._servers_for(queue, data_centre):
            if now() < self._lost_servers.get(server, 0.0):
                continue
            try:
                return await self._acquire_from(journey, queue, server)
            except _ServerLost:
                self._lost_servers[server] = now() + SERVER_BACKOFF_SECONDS
                log.info(
                    "keeper of a queue lost",
                    extra={"keeper": server, "queue": queue},
                )
        return None

    def done(
        self, turn: Turn, failed: bool = False, load: LoadReport | None = None
    ) -> None:
        """Give a turn back.

        Parameters
        ----------
        turn : Turn
        failed : bool
            Whether the target failed the request, or gave no answer.
        load : LoadReport, optional
            What it has to do beside the request that it answered.
        """
        queue = checksum(turn.queue)
        release = Return(turn.number, queue, turn.target, failed, load)
        self.give_back(turn.server, release)

    def take_reply(self, data: bytes, host: str) -> None:
        """Take in a keeper's datagram."""
        try:
            reply = Reply.decode(data)
        except UnreadableRecord as exc:
            log.warning("reply passed over", extra={"cause": str(exc)})
            return
        # It was late, not lost.
        self._lost_servers.pop(host, None)
        self.replied(reply)

    def replied(self, reply: Reply) -> None:
        """Take in a keeper's reply."""
        replies = self._replies.get(reply.number)
        if replies is not None:
            replies.put_nowait(reply)

    async def _acquire_from(self, journey: Journey, queue: str, server: str) -> Turn:
        number = next(self._numbers) % REQUEST_NUMBERS
        turn = Turn(number, queue, server)
        replies = self._replies[number] = asyncio.Queue()
        try:
            turn.target = await self._await_grant(journey, turn, replies)
            return turn
        finally:
            del self._replies[number]
            if not turn.target:
                # Refused, given up, or its caller has left: the place is another's.
                self.done(turn)

    async def _await_grant(
        self, journey: Journey, turn: Turn, replies: asyncio.Queue[Reply]
    ) -> int:
        """Return the checksum of the target to which a request is told to go."""
        unanswered, is_measured = 0, False
        first_sent_at = now()
        while True:
            self.ask(turn.server, self._build_request(journey, turn))
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
                    raise TurnRefused(reply.retry_after, turn.describe())
                if reply.status == PermitStatus.QUEUE_CLOSED.value:
                    raise _ServerLost
            if journey.left(now()) <= 0:
                raise TurnRefused(0.0, turn.describe())
            if not is_answered:
                unanswered += 1
            if unanswered >= MAX_ATTEMPTS:
                if not is_measured:
                    self._reply_timeout.record(now() - first_sent_at)
                raise _ServerLost

    def _build_request(self, journey: Journey, turn: Turn) -> Ask:
        moment = now()
        route = journey.route
        return Ask(
            turn.number,
            checksum(turn.queue),
            checksum(route.name),
            journey.wanted - moment,
            route.objective,
            journey.left(moment),
            route.priority,
        )

    @property
    def revision(self) -> int:
        """Grows with each change of who may keep queues."""
        self._refresh_servers()
        return self._revision

    def serves(self, queue: str, data_centre: str = "") -> bool:
        """Tell whether a queue falls to this VM.

        Parameters
        ----------
        queue, data_centre : str
            As for :meth:`take`.
        """
        # Before any VM is known, each asks for itself.
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
        """Take over who may keep queues, when the known VMs have changed.

        Of hundreds of VMs most are too small for it. When some of these start or are
        lost, queues stay where they are, and nothing has to be worked out anew for each
        of hundreds of targets.
        """
        if self._members_revision == self._membership.revision:
            return
        self._members_revision = self._membership.revision
        by_centre: dict[str, list[Candidate]] = {ALL_DATA_CENTRES: []}
        for member in self._membership.members():
            candidate = Candidate(member.host, member.power)
            by_centre[ALL_DATA_CENTRES].append(candidate)
            by_centre.setdefault(member.data_centre, []).append(candidate)
        hosts = {centre: eligible_vms(found) for centre, found in by_centre.items()}
        if hosts != self._eligible_hosts:
            self._eligible_hosts = hosts
            self._servers.clear()
            self._revision += 1


async def _next_reply(replies: asyncio.Queue[Reply], timeout: float) -> Reply | None:
    try:
        async with asyncio.timeout(timeout):
            return await replies.get()
    except TimeoutError:
        return None
