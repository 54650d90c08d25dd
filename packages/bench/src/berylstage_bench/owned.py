"""Measures how busy keys are dealt out: each rule without it, at half and at double."""

from __future__ import annotations

import argparse
from typing import TYPE_CHECKING

from berylstage_entry import router
from berylstage_entry.placement import key_loads, rebalancing, service_times

from berylstage_bench import owned_model
from berylstage_bench.owned_model import OwnedPlay
from berylstage_bench.owned_setup import Busy, OwnedSetup
from berylstage_bench.placement import Variation, changed

if TYPE_CHECKING:
    from collections.abc import Sequence

# A third of all requests for two hundred neighbouring keys, and then for sixty.
BUSY = (Busy(8.0, 5.0, 0.35, 200), Busy(14.0, 4.0, 0.35, 60))
# Speeds of machines, over the usual.
FOUR_SPEEDS = (0.5, 1.0, 1.0, 1.5)
SEEDS = (1, 2, 3)


def setups() -> dict[str, OwnedSetup]:
    """Return today's two services with owned keys, and both at four times the size."""
    return {
        "12 targets, 10 VMs": OwnedSetup(
            12, 2, 8, 112, 0.09, 0.3, 0.3, 0.8, 0.3, 0.55, 10, BUSY
        ),
        "13 targets, 11 VMs": OwnedSetup(
            13, 3, 12, 126, 0.12, 0.5, 0.4, 1.0, 0.5, 0.72, 11, BUSY, FOUR_SPEEDS
        ),
        "44 targets, 76 VMs": OwnedSetup(
            44, 2, 8, 312, 0.09, 0.3, 0.4, 1.0, 0.3, 0.47, 76, BUSY, told=0.4
        ),
        "46 targets, 65 VMs": OwnedSetup(
            *(46, 3, 12, 400, 0.12, 0.5, 0.45, 1.1, 0.5, 0.6, 65, BUSY, FOUR_SPEEDS),
            told=0.4,
        ),
    }


# 0.44 of all requests for two hundred neighbouring keys.
STEP = (Busy(10.0, 5.0, 0.44, 200),)
# Machines that take 0.5 to 1.5, and 0.6 to 1.6, of the usual time.
SPEEDS_T = tuple(0.5 + i / 19 for i in range(20))
SPEEDS_N = tuple(0.6 + i / 19 for i in range(20))


def step_setups(busy: Sequence[Busy] = STEP) -> dict[str, OwnedSetup]:
    """Return services with long work and a step of load, from small to large."""

    def with_size(targets: int, vms: int) -> OwnedSetup:
        # Requests for a target, times and worths are those of T.
        return OwnedSetup(
            *(targets, 6, 24, 9.05 * targets, 0.262, 0.4, 0.68, 5.1, 0.1, 0.5),
            *(vms, busy, SPEEDS_T),
            told=0.8,
            seconds=18.0,
            ranges_per_target=3,
        )

    return {
        "25 targets, 9 VMs": with_size(25, 9),
        "46 targets, 50 VMs": with_size(46, 50),
        "60 targets, 63 VMs": with_size(60, 63),
        "N: 65 targets, 81 VMs": OwnedSetup(
            *(65, 4, 16, 469, 0.19, 0.4, 0.88, 6.55, 0.5, 0.5),
            *(81, busy, SPEEDS_N),
            told=0.8,
            seconds=18.0,
            ranges_per_target=3,
        ),
        "T: 76 targets, 84 VMs": with_size(76, 84),
        "120 targets, 195 VMs": with_size(120, 195),
    }


VARIATIONS = (
    Variation("as it is"),
    Variation(
        "counts and looks every 0.35 s",
        [
            (owned_model, "REPORT_PERIOD", 0.35),
            (owned_model, "REBALANCE_INTERVAL_SECONDS", 0.35),
        ],
    ),
    Variation("half-life 0.35 s", [(key_loads, "HALF_LIFE_SECONDS", 0.35)]),
    Variation("half-life 1.5 s", [(key_loads, "HALF_LIFE_SECONDS", 1.5)]),
    Variation(
        "a round at any time", [(rebalancing, "MIN_ROUND_INTERVAL_SECONDS", 0.0)]
    ),
    Variation("calm rounds only", [(rebalancing, "URGENT_UTILIZATION", 1e9)]),
    Variation("urgent above 0.4", [(rebalancing, "URGENT_UTILIZATION", 0.4)]),
    Variation("urgent above 1.6", [(rebalancing, "URGENT_UTILIZATION", 1.6)]),
    Variation("least gain 0.06", [(rebalancing, "MIN_GAIN", 0.06)]),
    Variation("least gain 0.24", [(rebalancing, "MIN_GAIN", 0.24)]),
    Variation("no moves", [(rebalancing, "MIN_DONOR_UTILIZATION", 1e9)]),
    Variation("wait for an owner 0.7", [(router, "OWNER_WAIT", 0.7)]),
    Variation("wait for an owner 2.8", [(router, "OWNER_WAIT", 2.8)]),
    Variation("no speeds of targets", [(service_times, "SPEED_GAIN", 0.0)]),
)


def row(variation: Variation, seeds) -> str:
    """Return the table row of a variation.

    Parameters
    ----------
    variation : Variation
    seeds : sequence of int

    Returns
    -------
    str
    """
    cells = []
    with changed(variation):
        for setup in setups().values():
            results = [OwnedPlay(setup, seed).run() for seed in seeds]
            mean = [
                sum(getattr(r, name) for r in results) / len(results)
                for name in ("credit", "worst_credit", "moved", "writes")
            ]
            cells.append("{:.3f}, {:.2f}, {:.2f}, {:.0f}".format(*mean))
    return f"| {variation.name} | " + " | ".join(cells) + " |"


def step_row(name: str, seeds: Sequence[int]) -> str:
    """Return the row of a service that meets a step of load, and without it.

    Parameters
    ----------
    name : str
        Of a setup of :func:`step_setups`.
    seeds : sequence of int

    Returns
    -------
    str
    """
    results = [OwnedPlay(step_setups()[name], seed).run() for seed in seeds]
    quiet = [OwnedPlay(step_setups(())[name], seed).run() for seed in seeds]
    cells = [
        *(
            " ".join(f"{s:.1f}" for r in results for s in getattr(r, name))
            for name in ("relief_seconds", "moved_seconds", "highest_after_second")
        ),
        *(
            f"{sum(r.credit for r in each) / len(each):.3f}, "
            f"{sum(r.worst_credit for r in each) / len(each):.2f}, "
            f"{sum(r.moved for r in each) / len(each):.2f}, "
            f"{sum(r.moves for r in each) / len(each):.0f}, "
            f"{sum(r.writes for r in each) / len(each):.0f}"
            for each in (results, quiet)
        ),
    ]
    return f"| {name} | " + " | ".join(cells) + " |"


def main() -> None:
    """Print a row for each variation, or for each service that meets a step."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=len(SEEDS), help="plays of each")
    parser.add_argument("--steps", action="store_true", help="only the steps of load")
    parser.add_argument("--only", default="", help="services whose name contains this")
    args = parser.parse_args()
    seeds = range(1, args.seeds + 1)
    print("seconds until no owner is above its capacity, by play, and until all moves")
    print("for that have ended; utilization of the busiest owner a second after the")
    print(
        "step; with the step and without: credit, in the worst 4 s, keys moved (1: all"
    )
    print("once), moves, writes")
    print("| service | relief | moved | after 1 s | with the step | quiet |")
    print("|---|---|---|---|---|---|")
    for name in step_setups():
        if args.only in name:
            print(step_row(name, seeds), flush=True)
    if args.steps:
        return
    print("credit earned, in the worst 4 s, keys moved (1: all once), writes in 24 s")
    print("| variation | " + " | ".join(setups()) + " |")
    print("|---|" + "---|" * len(setups()))
    for variation in VARIATIONS:
        print(row(variation, seeds), flush=True)


if __name__ == "__main__":
    main()
