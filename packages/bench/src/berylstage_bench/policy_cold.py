"""Cold starts: full load waits, and a target turns cold again without warning."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_bench.policy_loads import FIELD_LOG, SLOTDESK, Deployment, lookups
from berylstage_bench.policy_measures import between, in_time
from berylstage_bench.policy_player import ColdTruth
from berylstage_bench.policy_router import HEARTBEAT, REPORT_LAG, PolicyRouter
from berylstage_bench.policy_scenarios import Measure, Run, Scenario

if TYPE_CHECKING:
    from berylstage_bench.policy_player import Player

RESTARTED = 8.0
DEMAND = 0.030
LIES = (
    "a cold target that answers as fast as a warm one and says that it is warm can't "
    "be told from a warm one by anything before it falls over"
)
REPORT = (
    "a cold target that answers as fast as a warm one (30x1) is told only by its "
    "report, which comes 0.5 to 0.75 s late, about as long as this ramp (next line)"
)


def least_ramp(deployment: Deployment, truth: ColdTruth) -> float:
    """Return the least seconds until a cold target is warm: always at its bound."""
    return sum(
        truth.completions * truth.slowdown * DEMAND / level
        for level in range(1, deployment.slots)
    )


def cold_events(truth: ColdTruth, restarted: list[int]):
    """Return events: all targets cold at the start, some cold again later."""

    def plan(player: Player, run: Run) -> None:
        def watch() -> None:
            for index in restarted:
                target = run.targets[index]
                led = run.router.led[target.name]  # type: ignore[attr-defined]
                is_full = led.queue.ramp.limit(player.now) >= target.slots
                if is_full and not target.is_cold:
                    run.marks["warm"].setdefault(target.name, player.now - RESTARTED)

        run.marks["warm"] = {}
        for target in run.targets:
            target.cold = truth
            target.is_cold = True
        for index in restarted:
            player.at(RESTARTED, run.targets[index].restart)
        if isinstance(run.router, PolicyRouter):
            player.at(RESTARTED + 0.005, player.every, 0.01, watch, RESTARTED + 20)

    return plan


def ramp_ratio(run: Run, truth: ColdTruth, lag: float = 0.0) -> float:
    """Return the mean time to full pace over the least possible; 0 if not known.

    A router that must never break the bound can't know that the target is warm before
    the target's report has come, which lags.
    """
    times = list(run.marks["warm"].values())
    if not times:
        return 0.0
    least = least_ramp(run.scenario.deployment, truth) + lag
    return sum(times) / len(times) / least


def cold_scenario(
    deployment: Deployment, truth: ColdTruth, load: float, lies: bool = False
) -> Scenario:
    """Return one deployment whose targets all start cold, and four start again."""
    suffix = " lies" if lies else ""
    return Scenario(
        f"cold {truth.completions}x{truth.slowdown:g} {deployment.name}{suffix}",
        deployment,
        [lookups(load)],
        20.0,
        [
            Measure(
                "bound broken",
                lambda run: sum(target.broken_bounds for target in run.targets),
                lambda ours, best: ours == 0,
                "0",
                bound=LIES if lies else "",
            ),
            Measure(
                "full pace / least",
                lambda run: ramp_ratio(run, truth),
                lambda ours, best: 0 < ours <= 2.0,
                "2",
                why_not_compared="no ramp",
                bound=REPORT,
            ),
            Measure(
                "full pace / (least+lag)",
                lambda run: ramp_ratio(run, truth, HEARTBEAT + REPORT_LAG),
                lambda ours, best: 0 < ours <= 2.0,
                "2",
                why_not_compared="no ramp",
            ),
            Measure(
                "in time",
                lambda run: in_time(between(run.requests, 0.0, 1e9)),
                is_higher_better=True,
            ),
        ],
        cold_events(truth, [0, 3, 6, 9]),
        is_owned=True,
        options={"has_history": False, "lies_warm": lies},
    )


def cold_scenarios() -> list[Scenario]:
    """Return both deployments, and targets that warm up sooner and later."""
    return [
        cold_scenario(FIELD_LOG, ColdTruth(8, 3.0), 0.7),
        cold_scenario(SLOTDESK, ColdTruth(8, 3.0), 0.7),
        cold_scenario(FIELD_LOG, ColdTruth(4, 2.0), 0.7),
        cold_scenario(FIELD_LOG, ColdTruth(30, 3.0), 0.7),
        cold_scenario(FIELD_LOG, ColdTruth(30, 3.0), 0.7, lies=True),
        cold_scenario(FIELD_LOG, ColdTruth(30, 1.0), 0.7),
        cold_scenario(FIELD_LOG, ColdTruth(30, 1.0), 0.7, lies=True),
    ]
