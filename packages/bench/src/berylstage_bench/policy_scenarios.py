"""The scenarios: a deployment, a load, what happens meanwhile, what is measured."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from berylstage_bench.policy_baselines import FREE_BASELINES, OWNED_BASELINES, Router
from berylstage_bench.policy_free import FreeRouter
from berylstage_bench.policy_loads import Deployment, Stream, make_load
from berylstage_bench.policy_owned import OwnedRouter
from berylstage_bench.policy_player import (
    ColdTruth,
    Phase,
    PlayedTarget,
    Player,
    Request,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_policy.thresholds import Thresholds

# Virtual seconds that are played on after the last arrival.
TAIL = 8.0

# How often a caller asks, and seconds until one returns that was told nothing.
MOST_ATTEMPTS = 6
RETURN_AFTER = 1.0


class Run:
    """One router after one scenario."""

    __slots__ = (
        "scenario",
        "router",
        "requests",
        "targets",
        "marks",
        "reached",
        "returned",
    )

    def __init__(
        self,
        scenario: Scenario,
        router: Router,
        requests: list[Request],
        targets: list[PlayedTarget],
    ):
        self.scenario = scenario
        self.router = router
        self.requests = requests
        self.targets = targets
        # Readings that the scenario's events take, by name.
        self.marks: dict[str, dict[str, float]] = {}
        # Where callers come back: seconds to the answer, and the returns.
        self.reached: list[float] = []
        self.returned = 0

    def mark_busy(self, name: str) -> None:
        """Read how long each target has been busy."""
        self.marks[name] = {target.name: target.busy_time for target in self.targets}


class Returning:
    """A caller that comes back some times until it has its answer."""

    __slots__ = ("player", "run", "first", "attempts")

    def __init__(self, player: Player, run: Run, first: Request):
        self.player = player
        self.run = run
        self.first = first
        self.attempts = 1

    def ended(self, req: Request) -> None:
        """Come back when there was no answer in time."""
        if req.in_time:
            self.run.reached.append(req.ended - self.first.arrived)
        elif self.attempts < MOST_ATTEMPTS:
            self.attempts += 1
            delay = req.retry_after or RETURN_AFTER
            self.player.at(self.player.now + delay, self._return)

    def _return(self) -> None:
        """Send the same request again."""
        first, now = self.first, self.player.now
        again = first.copy()
        again.id = f"{first.id}/{self.attempts}"
        again.arrived = now
        again.deadline = now + first.deadline - first.arrived
        again.on_end = self.ended
        self.run.returned += 1
        self.run.router.arrive(again)


class Measure:
    """One figure of a run, and the goal for it.

    Parameters
    ----------
    name : str
    read : callable
        Takes a `Run` and returns the figure.
    goal : callable, optional
        Takes our figure and the best baseline's; tells whether the goal is met.
    goal_text : str
    is_higher_better : bool
    slack : float
        Difference that counts as equal whatever the ratio, in the figure's unit.
    why_not_compared : str
        Why the figure isn't held against the baselines', which is printed instead.
    """

    def __init__(
        self,
        name: str,
        read: Callable[[Run], float],
        goal: Callable[[float, float], bool] | None = None,
        goal_text: str = "",
        is_higher_better: bool = False,
        slack: float = 0.0,
        why_not_compared: str = "",
        bound: str = "",
    ):
        self.name = name
        self.read = read
        self.goal = goal
        self.goal_text = goal_text
        self.is_higher_better = is_higher_better
        self.slack = slack
        self.why_not_compared = why_not_compared
        self.bound = bound

    def best(self, figures: list[float]) -> float:
        """Return the best of some figures."""
        return max(figures) if self.is_higher_better else min(figures)

    def is_close(self, ours: float, best: float) -> bool:
        """Tell whether ours is at most 5% worse than the best baseline."""
        if self.is_higher_better:
            return ours >= best * 0.95 - self.slack
        return ours <= best * 1.05 + self.slack


class Scenario:
    """One played load.

    Parameters
    ----------
    name : str
    deployment : Deployment
    streams : list of Stream
    seconds : float
    measures : list of Measure
    events : callable, optional
        Takes the player and the run before it starts, and plans what happens.
    is_owned : bool
    vm_shares : list of float, optional
        Shares of the requests that the balancer gives to each VM.
    options : dict, optional
        Options of the router under test.
    returns : bool
        Whether callers that got no answer in time come back when they are told to,
        or after a second where they are told nothing.
    """

    def __init__(
        self,
        name: str,
        deployment: Deployment,
        streams: list[Stream],
        seconds: float,
        measures: list[Measure],
        events: Callable[[Player, Run], None] | None = None,
        is_owned: bool = False,
        vm_shares: list[float] | None = None,
        options: dict | None = None,
        returns: bool = False,
    ):
        self.name = name
        self.deployment = deployment
        self.streams = streams
        self.seconds = seconds
        self.measures = measures
        self.events = events
        self.is_owned = is_owned
        self.vm_shares = vm_shares
        self.options = options or {}
        self.returns = returns
        self._load: list[Request] = []
        self.seed = 1

    @property
    def capacity(self) -> int:
        """Slots of all targets."""
        return self.deployment.targets * self.deployment.slots

    def load(self, seed: int) -> list[Request]:
        """Return a fresh copy of the load, the same for each router."""
        if not self._load or self.seed != seed:
            self.seed = seed
            self._load = make_load(
                self.deployment, self.streams, self.seconds, seed, self.vm_shares
            )
        return [req.copy() for req in self._load]

    def baselines(self) -> list[type[Router]]:
        """Return the plain routers that fit the service."""
        return list(OWNED_BASELINES if self.is_owned else FREE_BASELINES)

    def play_ours(self, thresholds: Thresholds, **options) -> Run:
        """Play the router under test."""
        kind = OwnedRouter if self.is_owned else FreeRouter
        merged = {**self.options, **options}
        return self.play(kind, thresholds=thresholds, **merged)

    def play(self, kind: type[Router], seed: int = 1, **options) -> Run:
        """Play one router from the start, on the load of a seed."""
        player = Player()
        deployment = self.deployment
        targets = [
            PlayedTarget(
                player,
                f"{deployment.name}-{index:02}",
                deployment.data_centre(index),
                deployment.slots,
            )
            for index in range(deployment.targets)
        ]
        run = Run(
            self,
            kind(player, deployment, targets, self.streams, **options),
            [],
            targets,
        )
        if self.events is not None:
            self.events(player, run)
        run.requests = self.load(seed)
        for req in run.requests:
            if self.returns:
                req.on_end = Returning(player, run, req).ended
            player.at(req.arrived, run.router.arrive, req)
        player.run(self.seconds + TAIL)
        return run


def slow_down(index: int, start: float, end: float, speed: float):
    """Return events that slow one target."""

    def plan(player: Player, run: Run) -> None:
        run.targets[index].phases.append(Phase(start, end, speed))

    return plan


def stall_now_and_then(seconds: float):
    """Return events that stall targets for moments: 5% of the time, one at a time."""

    def plan(player: Player, run: Run) -> None:
        rng = Random(11)
        now = 2.0
        while now < seconds:
            target = rng.choice(run.targets)
            length = rng.uniform(0.3, 0.9)
            target.phases.append(Phase(now, now + length, 0.0))
            now += length + rng.uniform(0.2, 0.6)

    return plan


def lie_about_load(index: int):
    """Return events for a slow target that is said to be idle, and old digests."""

    def plan(player: Player, run: Run) -> None:
        slow_down(index, 2.0, 1e9, 0.2)(player, run)
        if isinstance(run.router, FreeRouter):
            run.router.lies.add(run.targets[index].name)
            run.router.digest_lag = 2.0

    return plan


def close_and_reopen(
    data_centre: str, closed: float, reopened: float, cold: ColdTruth | None
):
    """Return events that close a data centre in the sheet and open it again."""

    def restart(target: PlayedTarget) -> None:
        target.cold = cold
        target.restart()

    def plan(player: Player, run: Run) -> None:
        names = [target.name for target in run.targets]
        rest = [t.name for t in run.targets if t.data_centre != data_centre]
        player.at(closed, run.router.set_willing, rest)
        if cold is not None:
            for target in run.targets:
                if target.data_centre == data_centre:
                    player.at(reopened - 1.0, restart, target)
        player.at(reopened, run.router.set_willing, names)
        player.at(reopened + 25.0, run.mark_busy, "settled")

    return plan


def lose_target(index: int, lost: float, back: float, check: float = 1.0):
    """Return events that lose a target; plain routers hear of it by a health check."""

    def plan(player: Player, run: Run) -> None:
        target = run.targets[index]
        player.at(lost, target.fail)
        player.at(back, target.recover)
        if not isinstance(run.router, FreeRouter | OwnedRouter):
            names = [t.name for t in run.targets]
            rest = [name for name in names if name != target.name]
            player.at(lost + check, run.router.set_willing, rest)
            player.at(back + check, run.router.set_willing, names)

    return plan


def lose_vm(vm: int, lost: float, seconds: float):
    """Return events that lose a VM with what it leads; plain routers lead nothing."""

    def plan(player: Player, run: Run) -> None:
        if isinstance(run.router, FreeRouter | OwnedRouter):
            player.at(lost, run.router.lose_vm, vm, seconds)

    return plan


def read_busy_at(times: dict[str, float]):
    """Return events that read the busy times."""

    def plan(player: Player, run: Run) -> None:
        for name, time in times.items():
            player.at(time, run.mark_busy, name)

    return plan
