"""Measures the choice of a free target: each rule without it, at half and at double."""

from __future__ import annotations

import argparse
from contextlib import contextmanager
from typing import TYPE_CHECKING

from berylstage_policy import completion, probing

from berylstage_bench.placement_model import Play
from berylstage_bench.placement_setup import Kind, Setup

if TYPE_CHECKING:
    from collections.abc import Iterator
    from types import ModuleType

# Today's kinds without owned keys: long and short ones at one service, and one kind of
# orders at a small one.
LONG_AND_SHORT = (
    Kind("long", 42.0, 0.3, 0.8, 0.8, 2.0, 1.0, 0.5),
    Kind("short", 39.4, 0.048, 0.5, 0.15, 0.4, 2.0, 1.0),
)
ORDERS = (Kind("order", 60.4, 0.16, 0.8, 0.5, 1.2, 2.0, 1.0),)
# Times today's rates: calm, and busy enough for queues before most targets.
LOADS = (0.7, 1.3, 1.8)
SEEDS = (1, 2, 3)


class Variation:
    """One thing changed.

    Parameters
    ----------
    name : str
    changes : list of tuple
        Module, constant and its other value.
    setup : dict
        Arguments of the setup that differ.
    """

    __slots__ = ("changes", "name", "setup")

    def __init__(
        self,
        name: str,
        changes: list[tuple[ModuleType, str, float]] | None = None,
        setup: dict | None = None,
    ):
        self.name = name
        self.changes = changes or []
        self.setup = setup or {}


VARIATIONS = (
    Variation("as it is"),
    Variation("no questions for load", setup={"probes": False}),
    Variation("questions at 0.06 s", [(probing, "STALE", 0.06)]),
    Variation("questions at 0.24 s", [(probing, "STALE", 0.24)]),
    Variation("loads told every 0.16 s", setup={"near": 0.16, "far": 0.16}),
    Variation("loads told every 0.04 s", setup={"near": 0.04, "far": 0.04}),
    Variation("no preference nearby", [(completion, "OTHER_DATA_CENTRE", 0.0)]),
    Variation("preference 0.04 s", [(completion, "OTHER_DATA_CENTRE", 0.04)]),
    Variation("preference 0.16 s", [(completion, "OTHER_DATA_CENTRE", 0.16)]),
    Variation("memory of reports 0.15 s", [(completion, "REPORT_MEMORY", 0.15)]),
    Variation("memory of reports 0.6 s", [(completion, "REPORT_MEMORY", 0.6)]),
    Variation("two targets compared", [(completion, "COMPARED", 2)]),
    Variation("no choice among equals", [(completion, "TIE", 0.0)]),
)


@contextmanager
def changed(variation: Variation) -> Iterator[None]:
    """Have the constants of a variation for a while."""
    before = [(m, name, getattr(m, name)) for m, name, _ in variation.changes]
    for module, name, value in variation.changes:
        setattr(module, name, value)
    try:
        yield
    finally:
        for module, name, value in before:
            setattr(module, name, value)


def measure(variation: Variation, load: float, seeds=SEEDS) -> tuple[float, float]:
    """Return the credit earned, and the share of requests that crossed.

    Parameters
    ----------
    variation : Variation
    load : float
        Times today's rates.
    seeds : sequence of int

    Returns
    -------
    tuple of float
    """
    credit = crossed = 0.0
    with changed(variation):
        for seed in seeds:
            for kinds, targets, speeds in (
                (LONG_AND_SHORT, 12, (0.6, 1.0, 1.4)),
                (ORDERS, 8, (0.5, 1.0, 1.0, 1.5)),
            ):
                setup = Setup(kinds, targets, 3, speeds, load, **variation.setup)
                result = Play(setup, seed).run()
                credit += result.credit
                crossed += result.crossed
    plays = 2 * len(seeds)
    return credit / plays, crossed / plays


def main() -> None:
    """Print a row for each variation."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=len(SEEDS), help="plays of each")
    seeds = range(1, parser.parse_args().seeds + 1)
    print("credit earned, and share of requests to another data centre")
    print("| variation | " + " | ".join(f"load {load}" for load in LOADS) + " |")
    print("|---|" + "---|" * len(LOADS))
    for variation in VARIATIONS:
        cells = [measure(variation, load, seeds) for load in LOADS]
        told = " | ".join(f"{credit:.3f}, {crossed:.2f}" for credit, crossed in cells)
        print(f"| {variation.name} | {told} |", flush=True)


if __name__ == "__main__":
    main()
