"""The one queue before the slots of some targets, and who goes next.

The load it answers: more requests than slots, for seconds at a time, before targets of
uneven and changing speed. Many VMs that each go by late reports send too much to a
target that is full, and let others stand idle; in the target's own queue the first to
come is the first to be served, so most answers come late, which is worth next to
nothing. One queue knows which slots are free, and gives them to requests that can still
be answered in time: the more urgent ones first, then those that have the least time
left. A request that will come too late gives way to one that won't, and is told so
while it may still be of use elsewhere.

It holds no clock and sends nothing: each call is told the moment, and returns what is
to be said to whom.
"""

from __future__ import annotations

import heapq
from abc import ABC, abstractmethod
from enum import Enum
from operator import attrgetter
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

# Share of the objective within which a request must be expected to be done for it to be
# let in. The estimate errs to both sides, and a request that waits can still be told to
# go elsewhere, or give way to one that comes in time.
ADMITTED_WITHIN = 1.5
# Seconds without a word of who asked after which a place is given up: its VM was lost.
PLACE_MEMORY = 0.4
# Seconds after which a permit must be at its target, or be done.
UNDER_WAY = 0.03
# Seconds for which requests count that a target has from others than this queue.
FOREIGN_MEMORY = 0.3
# Share of a request's time that is expected to be left when it takes longer than it
# was expected to; and share of the time for which it has been taking longer.
OVERDUE = 0.2
OVERDUE_GROWTH = 1.0
# Seconds without a request after which a target gets the next one that it can serve in
# time. What is known of an idle target is old, and one that was slow for a moment, or
# has just come, would never be heard of again.
IDLE_AFTER = 1.0
# Targets of a queue that a log line tells of.
DESCRIBED = 4
# Seconds after which a refused request may come back, at least.
SHORTEST_RETURN = 0.05


class ServiceTimes(ABC):
    """How long targets work on requests."""

    @abstractmethod
    def seconds(self, target: str, kind: str) -> float:
        """Return the seconds that a target takes for a request of a kind now."""

    @abstractmethod
    def distance(self, target: str, origin: str, kind: str) -> float:
        """Return the seconds by which a target is put behind nearer ones."""


class RequestId(NamedTuple):
    """What tells a request from all others: the VM that asks, and its own number."""

    host: str
    number: int


class Place:
    """A request that is to be sent to one of the targets.

    Parameters
    ----------
    ident : RequestId
    kind : str
        Requests of one kind take alike.
    origin : str
        Where it comes from, for :meth:`ServiceTimes.distance`.
    priority : int
        0 is the most urgent.
    wanted : float
        Moment until which its answer is of full use.
    objective : float
        Seconds from its arrival to ``wanted``.
    deadline : float
        Moment after which its answer is of no use.
    now : float
    """

    __slots__ = (
        "deadline",
        "heard",
        "ident",
        "kind",
        "objective",
        "origin",
        "priority",
        "rank",
        "wanted",
    )

    def __init__(
        self,
        ident: RequestId,
        kind: str,
        origin: str,
        priority: int,
        wanted: float,
        objective: float,
        deadline: float,
        now: float,
    ):
        self.ident = ident
        self.kind = kind
        self.origin = origin
        self.priority = priority
        self.wanted = wanted
        self.objective = objective
        self.deadline = deadline
        self.heard = now
        self.rank = (priority, wanted)


class Say(Enum):
    """What is said to who asked for a place."""

    GO = 1
    WAIT = 2
    REFUSED = 3
    # This queue is kept no more.
    ELSEWHERE = 4


class Verdict:
    """What is said about one place.

    Parameters
    ----------
    ident : RequestId
    say : Say
    target : str
        To which it goes; empty unless it goes.
    seconds : float
        Until it may come back, if it is refused.
    """

    __slots__ = ("ident", "say", "seconds", "target")

    def __init__(
        self, ident: RequestId, say: Say, target: str = "", seconds: float = 0.0
    ):
        self.ident = ident
        self.say = say
        self.target = target
        self.seconds = seconds


class TargetReport:
    """What a target tells of itself with an answer.

    Parameters
    ----------
    target : str
    busy : int
        Requests that run or wait there, the answered one not counted.
    """

    __slots__ = ("busy", "target")

    def __init__(self, target: str, busy: int):
        self.target = target
        self.busy = busy


class _Permit:
    """A request that was told to go."""

    __slots__ = ("deadline", "done", "given", "target")

    def __init__(self, target: str, given: float, done: float, deadline: float):
        self.target = target
        self.given = given
        # When it is expected to be done.
        self.done = done
        self.deadline = deadline

    def expected_end(self, now: float) -> float:
        """Return when the request is expected to be done.

        One that takes long already will take longer still. A target that has fallen
        silent ends none of them, and whoever waited for its slots would wait for
        nothing until their time is over.
        """
        usual = OVERDUE * (self.done - self.given)
        return max(self.done, now + max(usual, OVERDUE_GROWTH * (now - self.done)))


class _Slots:
    """The slots of one target."""

    __slots__ = ("foreign", "foreign_at", "given_at", "permits", "slots")

    def __init__(self, slots: int):
        self.slots = slots
        self.permits: dict[RequestId, _Permit] = {}
        # Requests there that this queue did not send, as told last.
        self.foreign = 0
        self.foreign_at = float("-inf")
        # When it was last given a request.
        self.given_at = float("-inf")

    def free(self, now: float) -> int:
        """Return the slots that stand idle."""
        foreign = self.foreign if now - self.foreign_at < FOREIGN_MEMORY else 0
        return self.slots - len(self.permits) - foreign


class SlotQueue:
    """Requests that wait for slots of some targets.

    Parameters
    ----------
    times : ServiceTimes
    """

    __slots__ = ("_slots", "_times", "_waiting")

    def __init__(self, times: ServiceTimes):
        self._times = times
        self._slots: dict[str, _Slots] = {}
        # In the order in which they are to go.
        self._waiting: list[Place] = []

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting)

    def describe(self, now: float) -> str:
        """Return how full the targets are, for the log.

        Parameters
        ----------
        now : float
        """
        parts = []
        for name, each in self._slots.items():
            others = each.slots - each.free(now) - len(each.permits)
            parts.append(
                f"{name} slots {each.slots} permits {len(each.permits)} others {others}"
            )
        return "; ".join(parts[:DESCRIBED])

    def know(self, targets: Mapping[str, int]) -> None:
        """Take over which targets there are.

        Parameters
        ----------
        targets : mapping of str to int
            The slots of each.
        """
        for name in [name for name in self._slots if name not in targets]:
            del self._slots[name]
        for name, slots in targets.items():
            known = self._slots.get(name)
            if known is None:
                self._slots[name] = _Slots(slots)
            else:
                known.slots = slots

    def ask(self, place: Place, now: float) -> list[Verdict]:
        """Take in a request, or hear again of one that waits.

        Parameters
        ----------
        place : Place
        now : float

        Returns
        -------
        list of Verdict
            One about this request, and others that its coming has decided.
        """
        self._expire(now)
        for each in self._slots.values():
            permit = each.permits.get(place.ident)
            if permit is not None:
                # It was told so, but did not hear it.
                return [Verdict(place.ident, Say.GO, permit.target)]
        for known in self._waiting:
            if known.ident == place.ident:
                known.heard = now
                return self._asked_again(known, now)
        late = self._lateness(place, now)
        if late > 0 and not self._stands_idle(now):
            back = max(SHORTEST_RETURN, late)
            return [Verdict(place.ident, Say.REFUSED, seconds=back)]
        self._waiting.append(place)
        self._waiting.sort(key=attrgetter("rank"))
        verdicts = self.due(now)
        if not any(verdict.ident == place.ident for verdict in verdicts):
            verdicts.append(Verdict(place.ident, Say.WAIT))
        return verdicts

    def send_away(self) -> list[Verdict]:
        """Empty the queue, since it is kept no more.

        Returns
        -------
        list of Verdict
            One for each request that waited.
        """
        waiting, self._waiting = self._waiting, []
        return [Verdict(place.ident, Say.ELSEWHERE) for place in waiting]

    def _asked_again(self, place: Place, now: float) -> list[Verdict]:
        """Return what is said about a request that waits and is heard of again.

        Those before it may have taken longer than they were expected to. Kept until its
        deadline, its caller could neither be served nor come back.
        """
        verdicts = self.due(now)
        if place not in self._waiting:
            return verdicts
        if self._expected_end(place, now) > place.deadline:
            return [*verdicts, self._refused(place, now)]
        return [Verdict(place.ident, Say.WAIT), *verdicts]

    def returned(
        self, ident: RequestId, now: float, report: TargetReport | None = None
    ) -> list[Verdict]:
        """Take back the place or permit of a request that is done, or was given up.

        Parameters
        ----------
        ident : RequestId
        now : float
        report : TargetReport, optional
            What its target told along with the answer.

        Returns
        -------
        list of Verdict
        """
        for each in self._slots.values():
            each.permits.pop(ident, None)
        self._waiting = [place for place in self._waiting if place.ident != ident]
        if report is not None:
            self._reported(report, now)
        return self.due(now)

    def _reported(self, report: TargetReport, now: float) -> None:
        # A word that a request is done may get lost, and would take a slot out of use
        # until the request's deadline. What the target says of itself puts that right:
        # of the permits that must have reached it no more are under way than it has.
        known = self._slots.get(report.target)
        if known is None:
            return
        arrived = [
            ident
            for ident, permit in known.permits.items()
            if now - permit.given >= UNDER_WAY
        ]
        for ident in arrived[: max(0, len(arrived) - report.busy)]:
            del known.permits[ident]
        known.foreign = max(0, report.busy - len(known.permits))
        known.foreign_at = now

    def due(self, now: float) -> list[Verdict]:
        """Return what is decided by now.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Verdict
        """
        self._expire(now)
        verdicts: list[Verdict] = []
        while self._waiting:
            free = [name for name, each in self._slots.items() if each.free(now) > 0]
            if not free:
                break
            place, target, late = self._next(free, now)
            verdicts += [self._refused(each, now) for each in late]
            self._waiting.remove(place)
            self._give(place, target, now)
            verdicts.append(Verdict(place.ident, Say.GO, target))
        return verdicts

    def _next(self, free: Sequence[str], now: float) -> tuple[Place, str, list[Place]]:
        """Return who goes next, where to, and who is too late to go before it."""
        late: list[Place] = []
        for place in self._waiting:
            target = self._best(place, free, now)
            if now + self._times.seconds(target, place.kind) <= place.wanted:
                return place, target, late
            late.append(place)
        # All are late; slots are free, and a late answer is better than none, or than
        # one that comes when nobody waits for it any more.
        place = next(
            (each for each in late if self._is_of_use(each, free, now)), late[0]
        )
        return place, self._best(place, free, now), []

    def _is_of_use(self, place: Place, free: Sequence[str], now: float) -> bool:
        target = self._best(place, free, now)
        return now + self._times.seconds(target, place.kind) <= place.deadline

    def _best(self, place: Place, free: Sequence[str], now: float) -> str:
        if len(free) == 1:
            return free[0]
        times = self._times
        near = [
            name for name in free if not times.distance(name, place.origin, place.kind)
        ]
        idle = min(near, key=lambda name: self._slots[name].given_at, default="")
        if idle and now - self._slots[idle].given_at > IDLE_AFTER:
            if now + times.seconds(idle, place.kind) <= place.wanted:
                return idle
        return min(
            free,
            key=lambda name: (
                times.seconds(name, place.kind)
                + times.distance(name, place.origin, place.kind)
            ),
        )

    def _refused(self, place: Place, now: float) -> Verdict:
        self._waiting.remove(place)
        return Verdict(place.ident, Say.REFUSED, seconds=SHORTEST_RETURN)

    def _give(self, place: Place, target: str, now: float) -> None:
        done = now + self._times.seconds(target, place.kind)
        permit = _Permit(target, now, done, place.deadline)
        self._slots[target].permits[place.ident] = permit
        self._slots[target].given_at = now

    def _expire(self, now: float) -> None:
        self._waiting = [
            place
            for place in self._waiting
            if now - place.heard < PLACE_MEMORY and now < place.deadline
        ]
        for each in self._slots.values():
            over = [i for i, permit in each.permits.items() if now > permit.deadline]
            for ident in over:
                del each.permits[ident]

    def _lateness(self, place: Place, now: float) -> float:
        """Return the seconds by which a request would be too late; 0 for in time."""
        if not self._slots:
            return SHORTEST_RETURN
        slack = (ADMITTED_WITHIN - 1) * place.objective
        # A caller that was refused before may have less time left than that.
        limit = min(place.wanted + slack, place.deadline)
        return max(0.0, self._expected_end(place, now) - limit)

    def _stands_idle(self, now: float) -> bool:
        """Tell whether a slot is free that nobody waits for.

        How long a kind of request takes is learned from those that went. Refused before
        idle slots, because a few had taken long, none would ever go again to show that
        they no longer do.
        """
        if self._waiting:
            return False
        return any(each.free(now) > 0 for each in self._slots.values())

    def _expected_end(self, place: Place, now: float) -> float:
        """Return when a request is expected to be done, behind those before it."""
        slots = self._free_at(now, place.kind)
        if not slots:
            return float("inf")
        for other in self._waiting:
            if other is place or other.rank > place.rank:
                break
            self._run(slots, other)
        return self._run(slots, place)

    def _free_at(self, now: float, kind: str) -> list[tuple[float, str]]:
        """Return when each slot is expected to be free, as a heap."""
        slots = []
        for name, each in self._slots.items():
            free = each.free(now)
            ends = [permit.expected_end(now) for permit in each.permits.values()]
            ends += [now] * max(0, free)
            # Of what others have sent there nothing is known but that it is there.
            others = max(0, each.slots - len(ends))
            ends += [now + self._times.seconds(name, kind)] * others
            slots += [(end, name) for end in sorted(ends)[: each.slots]]
        heapq.heapify(slots)
        return slots

    def _run(self, slots: list[tuple[float, str]], place: Place) -> float:
        """Put a request into the first free slot, and return when it is done."""
        start, name = slots[0]
        done = start + self._times.seconds(name, place.kind)
        heapq.heapreplace(slots, (done, name))
        return done
