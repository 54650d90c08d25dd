"""Measures that several scenarios share, with their goals and bounds."""

from __future__ import annotations

from berylstage_bench.policy_measures import (
    between,
    goodput,
    imbalance,
    in_time,
    latency_ms,
    select,
)
from berylstage_bench.policy_owned import OwnedRouter
from berylstage_bench.policy_player import REFUSED
from berylstage_bench.policy_scenarios import Measure, Run

WARM_UP = 3.0
CLOSED = 30.0
REOPENED = 55.0
LEASE = (
    "what a lost VM led is led again only after its lease has ended for certain "
    "(1.3 s); plain routers lead nothing and promise no single owner"
)
EARLY = (
    "the price of refusing early: in a stall of 0.9 s against deadlines of 1 s a few "
    "in a thousand are turned away that would just have been answered"
)
GAP = (
    "the budget brings keys back over 25 s, in which the others stay a third busier; "
    "without it a data centre that returns cold is hit by all its keys (ablation)"
)
# Seconds without a leader after a VM is lost, as docs/design/ownership.md bounds it.
VM_GAP = 1.3


def settled(run: Run):
    """Return the requests after the warm-up."""
    return between(run.requests, WARM_UP, 1e9)


def p(share: float, bound: str = "", **wanted) -> Measure:
    """Return a quantile of latency as a measure."""
    name = f"p{100 * share:g} ms"
    return Measure(
        name,
        lambda run: latency_ms(select(settled(run), **wanted), share),
        slack=1.0,
        bound=bound,
    )


def p99_goal(times: float) -> Measure:
    """Return the 99th percentile, to be so many times below the best baseline's."""
    return Measure(
        "p99 ms",
        lambda run: latency_ms(settled(run), 0.99),
        lambda ours, best: ours * times <= best,
        f"best / {times:g}",
    )


SHARE = Measure(
    "in time",
    lambda run: in_time(settled(run)),
    is_higher_better=True,
)
IMBALANCE = Measure(
    "imbalance",
    lambda run: imbalance(run.targets, run.marks.get("settled", {})),
    lambda ours, best: ours <= 1.15,
    "1.15",
)
GOODPUT = Measure(
    "goodput",
    lambda run: goodput(
        run.requests, run.scenario.capacity, WARM_UP, run.scenario.seconds
    ),
    lambda ours, best: ours >= 0.95,
    "0.95",
    is_higher_better=True,
)


MOVES = Measure(
    "moves",
    lambda run: len(getattr(run.router, "moves", [])),
    why_not_compared="no moves",
)
NO_MOVES = Measure(
    "verdicts of down",
    lambda run: getattr(run.router, "verdicts_down", 0),
    lambda ours, best: ours == 0,
    "0",
    why_not_compared="no verdicts",
)


def class_share(name: str) -> Measure:
    """Return the share in time of one class, which must not starve."""
    return Measure(
        f"in time {name}",
        lambda run: in_time(select(settled(run), request_class=name)),
        lambda ours, best: ours >= 0.05,
        "0.05",
        is_higher_better=True,
        why_not_compared="weights",
    )


def answered_p99(run: Run) -> float:
    """Return the 99th percentile of interactive work that was not turned away."""
    people = select(settled(run), request_class="interactive")
    return latency_ms([req for req in people if req.status != REFUSED], 0.99)


def most_moves(run: Run) -> float:
    """Return how often the key that moved most has moved since the closing."""
    counts: dict[str, int] = {}
    moves = [m for at, m in getattr(run.router, "moves", []) if at >= CLOSED]
    for move in moves:
        counts[move.shard] = counts.get(move.shard, 0) + 1
    if not isinstance(run.router, OwnedRouter):
        return 2.0
    return float(max(counts.values(), default=0))
