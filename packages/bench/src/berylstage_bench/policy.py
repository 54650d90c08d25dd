"""Play every scenario with our decisions and the plain routers, and print a table."""

from __future__ import annotations

import sys
import time

from berylstage_policy.thresholds import DEFAULTS

from berylstage_bench.policy_catalogue import scenarios
from berylstage_bench.policy_scenarios import Scenario

HEADER = (
    f"{'scenario':34} {'measure':22} {'ours':>9} "
    f"{'random':>9} {'robin':>9} {'least':>9} {'hashing':>9}  {'goal':>10} "
    f"{'met':4} {'<=5% worse'}"
)


class Totals:
    """Counts of goals over the table."""

    __slots__ = ("goals", "met", "compared", "close")

    def __init__(self) -> None:
        self.goals = 0
        self.met = 0
        self.compared = 0
        self.close = 0


def print_scenario(scenario: Scenario, totals: Totals) -> None:
    """Play one scenario and print a line for each measure."""
    ours = scenario.play_ours(DEFAULTS)
    plain = {kind.name: scenario.play(kind) for kind in scenario.baselines()}
    for measure in scenario.measures:
        figure = measure.read(ours)
        others = {name: measure.read(run) for name, run in plain.items()}
        best = measure.best(list(others.values()))
        cells = [
            f"{others[name]:9.3f}" if name in others else " " * 9
            for name in ("random", "round-robin", "least-out", "hashing")
        ]
        close = measure.why_not_compared
        if not close:
            is_close = measure.is_close(figure, best)
            close = "yes" if is_close else "NO"
            totals.compared += 1
            totals.close += is_close
        met = ""
        if measure.goal is not None:
            is_met = measure.goal(figure, best)
            met = "yes" if is_met else "NO"
            totals.goals += 1
            totals.met += is_met
        print(
            f"{scenario.name:34} {measure.name:22} {figure:9.3f} {' '.join(cells)}"
            f"  {measure.goal_text:>10} {met:4} {close}",
            flush=True,
        )


def main() -> int:
    """Print the tables; the exit status doesn't tell whether goals are met."""
    begun = time.perf_counter()
    totals = Totals()
    chosen = sys.argv[1:]
    print(HEADER)
    for scenario in scenarios():
        if not chosen or any(word in scenario.name for word in chosen):
            print_scenario(scenario, totals)
    print(
        f"goals met: {totals.met} of {totals.goals}; "
        f"at most 5% worse than the best baseline: {totals.close} of "
        f"{totals.compared}; {time.perf_counter() - begun:.0f} s"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
