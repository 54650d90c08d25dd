"""Plays that are run side by side in two processes, and their figures."""

from __future__ import annotations

from concurrent.futures import ProcessPoolExecutor
from functools import cache

from berylstage_policy.thresholds import DEFAULTS

from berylstage_bench.policy_catalogue import scenarios
from berylstage_bench.policy_scenarios import Scenario

WORKERS = 2
OURS = "ours"


class Job:
    """One play of one scenario by one router.

    Parameters
    ----------
    scenario : str
    router : str
        ``ours`` or the name of a plain router.
    changed : dict of str to float
        Thresholds that differ from their defaults.
    options : dict
        Options of the router under test.
    seed : int
        Seed of the load.
    """

    __slots__ = ("scenario", "router", "changed", "options", "seed")

    def __init__(
        self,
        scenario: str,
        router: str = OURS,
        changed: dict[str, float] | None = None,
        options: dict | None = None,
        seed: int = 1,
    ):
        self.scenario = scenario
        self.router = router
        self.changed = changed or {}
        self.options = options or {}
        self.seed = seed

    @property
    def key(self) -> str:
        """What tells the job apart from others."""
        return (
            f"{self.scenario}|{self.router}|{self.changed}|{self.options}|{self.seed}"
        )


@cache
def catalogue() -> dict[str, Scenario]:
    """Return the scenarios by name; loads are made once in each process."""
    return {scenario.name: scenario for scenario in scenarios()}


def play(job: Job) -> dict[str, float]:
    """Play a job and return its figures by measure."""
    scenario = catalogue()[job.scenario]
    if job.router == OURS:
        run = scenario.play_ours(
            DEFAULTS.with_values(**job.changed), seed=job.seed, **job.options
        )
    else:
        kinds = {kind.name: kind for kind in scenario.baselines()}
        run = scenario.play(kinds[job.router], seed=job.seed)
    return {measure.name: measure.read(run) for measure in scenario.measures}


def play_all(jobs: list[Job]) -> dict[str, dict[str, float]]:
    """Play jobs once each and return their figures by the jobs' keys."""
    unique = {job.key: job for job in jobs}
    with ProcessPoolExecutor(WORKERS) as pool:
        figures = pool.map(play, unique.values(), chunksize=1)
        return dict(zip(unique, figures, strict=True))
