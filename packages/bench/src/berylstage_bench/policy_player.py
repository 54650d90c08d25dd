"""Virtual time, requests and targets: what the decisions are played against."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

ANSWERED = "answered"
REFUSED = "refused"
LOST = "lost"
LATE = "late"

# A player that is handed more events than that has a loop in its scenario.
MOST_EVENTS = 20_000_000


class Player:
    """Clock and event list of one run; times are virtual seconds."""

    __slots__ = ("now", "_events", "_count")

    def __init__(self) -> None:
        self.now = 0.0
        self._events: list[tuple[float, int, Callable, tuple]] = []
        self._count = 0

    def at(self, time: float, action: Callable, *args) -> None:
        """Call an action at a time."""
        self._count += 1
        heappush(self._events, (max(time, self.now), self._count, action, args))

    def every(self, interval: float, action: Callable, until: float) -> None:
        """Call an action at an interval."""
        action()
        if self.now + interval <= until:
            self.at(self.now + interval, self.every, interval, action, until)

    def run(self, until: float) -> None:
        """Play all events up to a time."""
        events = self._events
        while events and events[0][0] <= until and self._count < MOST_EVENTS:
            self.now, _, action, args = heappop(events)
            action(*args)


class Request:
    """One request of a caller and what became of it."""

    __slots__ = (
        "id",
        "tenant",
        "request_class",
        "caller",
        "kind",
        "key",
        "vm",
        "arrived",
        "deadline",
        "demand",
        "ended",
        "status",
        "retry_after",
        "attempts",
        "on_end",
    )

    def __init__(
        self,
        id: str,
        request_class: str,
        caller: str,
        kind: str,
        key: str,
        vm: int,
        arrived: float,
        deadline: float,
        demand: float,
    ):
        self.id = id
        self.tenant = "saryarka"
        self.request_class = request_class
        self.caller = caller
        self.kind = kind
        self.key = key
        self.vm = vm
        self.arrived = arrived
        self.deadline = deadline
        # Slot-seconds that it takes on a healthy target.
        self.demand = demand
        self.ended = 0.0
        self.status = ""
        self.retry_after = 0.0
        self.attempts: list[str] = []
        self.on_end: Callable[[Request], None] | None = None

    def copy(self) -> Request:
        """Return the same request, not yet played."""
        return Request(
            self.id,
            self.request_class,
            self.caller,
            self.kind,
            self.key,
            self.vm,
            self.arrived,
            self.deadline,
            self.demand,
        )

    def end(self, now: float, status: str, retry_after: float = 0.0) -> None:
        """Note the end that the caller sees; only the first one counts."""
        if not self.status:
            self.status = status
            self.ended = now
            self.retry_after = retry_after
            if self.on_end is not None:
                self.on_end(self)

    @property
    def in_time(self) -> bool:
        """Whether its caller got the answer before the deadline."""
        return self.status == ANSWERED and self.ended <= self.deadline

    @property
    def latency(self) -> float:
        """Seconds to the answer; the whole deadline where none came in time."""
        if self.in_time:
            return self.ended - self.arrived
        return self.deadline - self.arrived


class Phase:
    """A stretch of time in which a target works at another speed.

    Parameters
    ----------
    start, end : float
    speed : float
        Share of the healthy speed; 0 for a stall.
    """

    __slots__ = ("start", "end", "speed")

    def __init__(self, start: float, end: float, speed: float):
        self.start = start
        self.end = end
        self.speed = speed


class ColdTruth:
    """What a target in cold start really bears.

    It bears one request until `completions` answers, two until twice as many, and so
    on, and works slower by `slowdown` until it is warm. Given more at once it falls
    over and starts again.
    """

    __slots__ = ("completions", "slowdown")

    def __init__(self, completions: int = 8, slowdown: float = 3.0):
        self.completions = completions
        self.slowdown = slowdown


class PlayedTarget:
    """A target with slots, behind its own first-in-first-out accept queue."""

    def __init__(self, player: Player, name: str, data_centre: str, slots: int):
        self.player = player
        self.name = name
        self.data_centre = data_centre
        self.slots = slots
        self.phases: list[Phase] = []
        self.cold: ColdTruth | None = None
        self.warmth = 0
        self.is_cold = False
        self.is_down = False
        self.incarnation = 1
        self.broken_bounds = 0
        self.busy_time = 0.0
        self.running: dict[str, tuple[Callable, float]] = {}
        self.accepted: list[tuple[Request, Callable]] = []
        self.epoch = 0

    def submit(self, req: Request, done: Callable[[str, float], None]) -> None:
        """Take a request; `done(status, seconds)` is called when it ends."""
        if self.is_down:
            done(LOST, 0.0)
            return
        if len(self.running) >= self.slots:
            self.accepted.append((req, done))
            return
        self._start(req, done)

    def bears(self) -> int:
        """Return how many requests at once the target bears now."""
        if not self.is_cold or self.cold is None:
            return self.slots
        return min(self.slots, 1 + self.warmth // self.cold.completions)

    def _start(self, req: Request, done: Callable[[str, float], None]) -> None:
        """Begin to work on a request."""
        if len(self.running) + 1 > self.bears():
            self.broken_bounds += 1
            self.restart()
            done(LOST, 0.0)
            return
        now = self.player.now
        # Attempts of one request may meet on one target, so the id alone won't do.
        ticket = f"{req.id}/{now}/{len(self.running)}"
        self.running[ticket] = (done, now)
        demand = req.demand
        if self.is_cold and self.cold is not None:
            demand *= self.cold.slowdown
        finish = self._finish_time(now, demand)
        self.player.at(finish, self._finished, ticket, self.epoch)

    def _finish_time(self, now: float, work: float) -> float:
        """Return when so much work is done, through all phases of other speeds."""
        for phase in self.phases:
            if phase.end <= now:
                continue
            if now + work <= phase.start:
                break
            before = max(0.0, phase.start - now)
            work -= before
            now += before
            possible = (phase.end - now) * phase.speed
            if work <= possible:
                return now + work / phase.speed
            work -= possible
            now = phase.end
        return now + work

    def _finished(self, ticket: str, epoch: int) -> None:
        """End a request, unless a restart has ended it before."""
        if epoch != self.epoch:
            return
        done, started = self.running.pop(ticket)
        seconds = self.player.now - started
        self.busy_time += seconds
        if self.is_cold and self.cold is not None:
            self.warmth += 1
            self.is_cold = self.bears() < self.slots
        done(ANSWERED, seconds)
        self._accept_next()

    def _accept_next(self) -> None:
        """Start what waits in the accept queue, without those whose callers left."""
        while self.accepted and len(self.running) < self.slots:
            req, done = self.accepted.pop(0)
            if req.deadline <= self.player.now:
                done(LATE, 0.0)
            else:
                self._start(req, done)

    def restart(self) -> None:
        """Lose all requests and begin anew, cold when the target knows cold starts."""
        lost = list(self.running.values()) + [(d, 0.0) for _, d in self.accepted]
        self.running.clear()
        self.accepted.clear()
        self.epoch += 1
        self.incarnation += 1
        self.warmth = 0
        self.is_cold = self.cold is not None
        for done, started in lost:
            self.player.at(self.player.now, done, LOST, self.player.now - started)

    def fail(self) -> None:
        """Go down: lose everything and refuse connections."""
        self.is_down = True
        self.restart()

    def recover(self) -> None:
        """Come back as a new run."""
        self.is_down = False
