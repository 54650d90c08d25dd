"""Play every scenario with our decisions and the plain routers, and print tables."""

from __future__ import annotations

import sys
import time
from argparse import ArgumentParser

from berylstage_policy.thresholds import DEFAULTS

from berylstage_bench.policy_ablations import ABLATIONS, SENSITIVITIES
from berylstage_bench.policy_jobs import OURS, Job, catalogue, play_all
from berylstage_bench.policy_scenarios import Measure, Scenario
from berylstage_bench.policy_slopes import slopes

PLAIN = ("random", "round-robin", "least-out", "hashing")
HEADER = (
    f"{'scenario':34} {'measure':24} {'ours':>9} "
    + " ".join(f"{name:>11}" for name in PLAIN)
    + f"  {'goal':>9} {'met':4} <=5% worse"
)

Figures = dict[str, dict[str, float]]


class Totals:
    """Counts over the table, and what forbids what isn't met."""

    __slots__ = ("goals", "met", "compared", "close", "bounds")

    def __init__(self) -> None:
        self.goals = 0
        self.met = 0
        self.compared = 0
        self.close = 0
        self.bounds: list[str] = []


def jobs_of(scenario: Scenario, seed: int) -> list[Job]:
    """Return our play of a scenario and those of the plain routers."""
    names = [OURS, *(kind.name for kind in scenario.baselines())]
    return [Job(scenario.name, name, seed=seed) for name in names]


def print_line(
    scenario: Scenario,
    measure: Measure,
    figures: Figures,
    totals: Totals,
    seed: int,
) -> None:
    """Print one measure of a scenario and judge it."""
    found = {
        job.router: figures[job.key][measure.name] for job in jobs_of(scenario, seed)
    }
    ours = found.pop(OURS)
    best = measure.best(list(found.values()))
    cells = [f"{found[n]:11.3f}" if n in found else " " * 11 for n in PLAIN]
    close = measure.why_not_compared
    if not close:
        is_close = measure.is_close(ours, best)
        close = "yes" if is_close else "NO"
        totals.compared += 1
        totals.close += is_close
    met = ""
    if measure.goal is not None:
        is_met = measure.goal(ours, best)
        met = "yes" if is_met else "NO"
        totals.goals += 1
        totals.met += is_met
    if "NO" in (met, close):
        reason = measure.bound or "no bound known that forbids it"
        totals.bounds.append(f"{scenario.name}, {measure.name}: {reason}")
    print(
        f"{scenario.name:34} {measure.name:24} {ours:9.3f} {' '.join(cells)}"
        f"  {measure.goal_text:>9} {met:4} {close}"
    )


def print_ablations(figures: Figures) -> None:
    """Print what each rule is worth."""
    print(f"\n{'rule':28} {'scenario':34} {'measure':22} {'with':>10} {'without':>10}")
    for ablation in ABLATIONS:
        scenario = ablation.job.scenario
        ours = figures[Job(scenario).key][ablation.measure]
        without = figures[ablation.job.key][ablation.measure]
        print(
            f"{ablation.rule:28} {scenario:34} {ablation.measure:22} "
            f"{ours:10.3f} {without:10.3f}"
        )


def print_sensitivities(figures: Figures) -> None:
    """Print what half and double of each threshold do."""
    print(
        f"\n{'threshold':22} {'scenario':34} {'measure':22} "
        f"{'lower':>18} {'default':>18} {'higher':>18}"
    )
    for line in SENSITIVITIES:
        values = (line.low, DEFAULTS[line.threshold], line.high)
        jobs = (line.job(line.low), Job(line.scenario), line.job(line.high))
        cells = [
            f"{value:8g}:{figures[job.key][line.measure]:9.3f}"
            for value, job in zip(values, jobs, strict=True)
        ]
        print(
            f"{line.threshold:22} {line.scenario:34} {line.measure:22} "
            + " ".join(cells)
        )


def print_slopes() -> None:
    """Print how time and memory grow."""
    print(f"\n{'cost':44} figure at each size")
    for slope in slopes():
        cells = [
            f"{n}: {figure:.1f} {slope.unit}" for n, figure in slope.figures.items()
        ]
        print(f"{slope.subject:44} {'   '.join(cells)}")


def main() -> int:
    """Print all tables, or the scenarios whose names have one of the words given.

    With ``--seed N`` only the scenarios are played, on other loads of the same kinds.
    """
    begun = time.perf_counter()
    parser = ArgumentParser(description=__doc__)
    parser.add_argument("words", nargs="*", help="parts of the scenarios' names")
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    words, seed = args.words, args.seed
    is_whole = not words and seed == 1
    chosen = [
        scenario
        for name, scenario in catalogue().items()
        if not words or any(word in name for word in words)
    ]
    jobs = [job for scenario in chosen for job in jobs_of(scenario, seed)]
    if is_whole:
        jobs += [ablation.job for ablation in ABLATIONS]
        jobs += [s.job(value) for s in SENSITIVITIES for value in (s.low, s.high)]
    figures = play_all(jobs)
    totals = Totals()
    print(HEADER)
    for scenario in chosen:
        for measure in scenario.measures:
            print_line(scenario, measure, figures, totals, seed)
    print(
        f"goals met: {totals.met} of {totals.goals}; "
        f"at most 5% worse than the best plain router: {totals.close} of "
        f"{totals.compared}"
    )
    for line in totals.bounds:
        print(f"not met: {line}")
    if is_whole:
        print_ablations(figures)
        print_sensitivities(figures)
        print_slopes()
    print(f"\n{len(figures)} plays, {time.perf_counter() - begun:.0f} s")
    return 0


if __name__ == "__main__":
    sys.exit(main())
