"""Measures how busy keys are dealt out: each rule without it, at half and at double."""

from __future__ import annotations

import argparse

from berylstage_entry import router
from berylstage_entry.placement import key_loads, rebalancing, service_times

from berylstage_bench import owned_model
from berylstage_bench.owned_model import OwnedPlay
from berylstage_bench.owned_setup import Busy, OwnedSetup
from berylstage_bench.placement import Variation, changed

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


def main() -> None:
    """Print a row for each variation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=len(SEEDS), help="plays of each")
    seeds = range(1, parser.parse_args().seeds + 1)
    print("credit earned, in the worst 4 s, keys moved (1: all once), writes in 24 s")
    print("| variation | " + " | ".join(setups()) + " |")
    print("|---|" + "---|" * len(setups()))
    for variation in VARIATIONS:
        print(row(variation, seeds), flush=True)


if __name__ == "__main__":
    main()
