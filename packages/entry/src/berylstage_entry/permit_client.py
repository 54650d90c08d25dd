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
from berylstage_policy.queue_assignment import PASSED_OVER, able, first_for
from berylstage_policy.slot_queue import Say
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, PermitRefused
from berylstage_entry.permit_messages import (
    PermitRelease,
    PermitReply,
    PermitRequest,
    checksum,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.membership import Membership
    from berylstage_entry.request_context import RequestContext
    from berylstage_entry.targets import LoadReport

# Seconds for the first reply of a keeper, at least and at most, and how often it is
# asked before it counts as lost: a datagram may be, and a VM may be busy for some
# milliseconds.
REPLY_TIMEOUT = 0.03
LONGEST_TIMEOUT = 0.15
ASKED = 3
# Weights of a new reply in the mean time of replies and in its spread, and the spreads
# beyond the mean that are waited: as TCP does it.
MEAN_GAIN = 0.125
SPREAD_GAIN = 0.25
SPREADS = 4.0
# Seconds between two words to a keeper of a request that waits there.
RENEWAL = 0.1
# Stands for all data centres.
EVERYWHERE = ""
# Numbers of requests under way at once are unique within these.
NUMBERS = 1 << 32

log = Logger(__name__)


class Permit:
    """A request's turn at a target, to be given back.

    Parameters
    ----------
    number : int
    queue : str
    keeper : str
        Host of the VM that keeps the queue.

    Attributes
    ----------
    target : int
        Checksum of the target to which it is to go; 0 until it has its turn.
    """

    __slots__ = ("keeper", "number", "queue", "target")

    def __init__(self, number: int, queue: str, keeper: str):
        self.number = number
        self.queue = queue
        self.keeper = keeper
        self.target = 0

    def describe(self) -> str:
        """Return what finds it in the keeper's log."""
        return f"queue {self.queue} keeper {self.keeper} number {self.number}"


class ReplyTimes:
    """How long replies take, and how long to wait for one.

    On a small link a datagram waits behind answers of 90 kB, for 70 ms each. Keepers
    that answer in time by that measure would count as lost all the time.
    """

    __slots__ = ("_mean", "_spread")

    def __init__(self) -> None:
        self._mean = 0.0
        self._spread = 0.0

    def took(self, seconds: float) -> None:
        """Take in the time from the first asking of a question to a reply.

        Where it was asked again, that is the most that the reply can have taken. Passed
        over, replies that come later than the timeout would never be learned from: each
        question would go on to be asked three times, and its keeper to count as lost.
        """
        self._spread += SPREAD_GAIN * (abs(seconds - self._mean) - self._spread)
        self._mean += MEAN_GAIN * (seconds - self._mean)

    @property
    def timeout(self) -> float:
        """Seconds after which a reply is likely not to come any more."""
        wait = self._mean + SPREADS * self._spread
        return min(LONGEST_TIMEOUT, max(REPLY_TIMEOUT, wait))


class _Lost(Exception):
    """The keeper does not answer, or keeps the queue no more."""


class PermitClient:
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
        self._waiting: dict[int, asyncio.Queue[PermitReply]] = {}
        self._keepers: dict[str, list[str]] = {}
        # Hosts that may keep queues: of each data centre, and of all.
        self._able: dict[str, list[str]] = {}
        self._members_revision = -1
        self._revision = 0
        self._lost_until: dict[str, float] = {}
        self._times = ReplyTimes()
        # Send a message to the VM of a host, which may be this one.
        self.ask: Callable[[str, PermitRequest], None] = lambda host, ask: None
        self.give_back: Callable[[str, PermitRelease], None] = lambda host, back: None

    async def take(
        self, journey: RequestContext, queue: str, data_centre: str = ""
    ) -> Permit | None:
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
        for keeper in self._keepers_of(queue, data_centre):
            if now() < self._lost_until.get(keeper, 0.0):
                continue
            try:
                return await self._wait(journey, queue, keeper)
            except _Lost:
                self._lost_until[keeper] = now() + PASSED_OVER
                log.info(
                    "keeper of a queue lost",
                    extra={"keeper": keeper, "queue": queue},
                )
        return None

    def done(
        self, turn: Permit, failed: bool = False, load: LoadReport | None = None
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
        back = PermitRelease(turn.number, queue, turn.target, failed, load)
        self.give_back(turn.keeper, back)

    def take_reply(self, data: bytes, host: str) -> None:
        """Take in a keeper's datagram."""
        try:
            reply = PermitReply.decode(data)
        except InvalidRecord as exc:
            log.warning("reply passed over", extra={"cause": str(exc)})
            return
        # It was late, not lost.
        self._lost_until.pop(host, None)
        self.replied(reply)

    def replied(self, reply: PermitReply) -> None:
        """Take in a keeper's reply."""
        waiting = self._waiting.get(reply.number)
        if waiting is not None:
            waiting.put_nowait(reply)

    async def _wait(self, journey: RequestContext, queue: str, keeper: str) -> Permit:
        number = next(self._numbers) % NUMBERS
        turn = Permit(number, queue, keeper)
        replies = self._waiting[number] = asyncio.Queue()
        try:
            turn.target = await self._told_to_go(journey, turn, replies)
            return turn
        finally:
            del self._waiting[number]
            if not turn.target:
                # Refused, given up, or its caller has left: the place is another's.
                self.done(turn)

    async def _told_to_go(
        self, journey: RequestContext, turn: Permit, replies: asyncio.Queue[PermitReply]
    ) -> int:
        """Return the checksum of the target to which a request is told to go."""
        unanswered, measured = 0, False
        first_asked = now()
        while True:
            self.ask(turn.keeper, self._question(journey, turn))
            answered, timeout = False, self._times.timeout
            while True:
                reply = await _next(replies, timeout)
                if reply is None:
                    break
                if not measured:
                    measured = True
                    self._times.took(now() - first_asked)
                answered, unanswered, timeout = True, 0, RENEWAL
                if reply.say == Say.GO.value:
                    return reply.target
                if reply.say == Say.REFUSED.value:
                    raise PermitRefused(reply.seconds, turn.describe())
                if reply.say == Say.ELSEWHERE.value:
                    raise _Lost
            if journey.left(now()) <= 0:
                raise PermitRefused(0.0, turn.describe())
            if not answered:
                unanswered += 1
            if unanswered >= ASKED:
                if not measured:
                    self._times.took(now() - first_asked)
                raise _Lost

    def _question(self, journey: RequestContext, turn: Permit) -> PermitRequest:
        moment = now()
        route = journey.route
        return PermitRequest(
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
        self._look()
        return self._revision

    def keeps(self, queue: str, data_centre: str = "") -> bool:
        """Tell whether a queue falls to this VM.

        Parameters
        ----------
        queue, data_centre : str
            As for :meth:`take`.
        """
        # Before any VM is known, each asks for itself.
        return self._keepers_of(queue, data_centre)[:1] in ([], [self._host])

    def _keepers_of(self, queue: str, data_centre: str) -> list[str]:
        self._look()
        known = self._keepers.get(queue)
        if known is None:
            hosts = self._able.get(data_centre) or self._able[EVERYWHERE]
            known = self._keepers[queue] = first_for(queue, hosts)
        return known

    def _look(self) -> None:
        """Take over who may keep queues, when the known VMs have changed.

        Of hundreds of VMs most are too small for it. When some of these start or are
        lost, queues stay where they are, and nothing has to be worked out anew for each
        of hundreds of targets.
        """
        if self._members_revision == self._membership.revision:
            return
        self._members_revision = self._membership.revision
        by_centre: dict[str, list[Candidate]] = {EVERYWHERE: []}
        for member in self._membership.members():
            candidate = Candidate(member.host, member.power)
            by_centre[EVERYWHERE].append(candidate)
            by_centre.setdefault(member.data_centre, []).append(candidate)
        hosts = {centre: able(found) for centre, found in by_centre.items()}
        if hosts != self._able:
            self._able = hosts
            self._keepers.clear()
            self._revision += 1


async def _next(
    replies: asyncio.Queue[PermitReply], timeout: float
) -> PermitReply | None:
    try:
        async with asyncio.timeout(timeout):
            return await replies.get()
    except TimeoutError:
        return None
