"""What is measured on a played load."""

from __future__ import annotations

from statistics import mean
from typing import TYPE_CHECKING

from xxhash import xxh64_intdigest

from berylstage_bench.policy_player import REFUSED

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_bench.policy_player import PlayedTarget, Request
    from berylstage_bench.policy_scenarios import Run

# Groups of keys for which an outage is told apart.
KEY_GROUPS = 240


def quantile(values: Iterable[float], share: float) -> float:
    """Return a quantile by the nearest rank, 0 for no values."""
    ordered = sorted(values)
    if not ordered:
        return 0.0
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def latency_ms(requests: list[Request], share: float) -> float:
    """Return a quantile of the latency; what got no answer counts its deadline."""
    return 1000.0 * quantile((req.latency for req in requests), share)


def in_time(requests: list[Request]) -> float:
    """Return the share of requests answered before their deadlines."""
    return mean(req.in_time for req in requests) if requests else 0.0


def goodput(
    requests: list[Request], capacity: float, start: float, end: float
) -> float:
    """Return the slot time of answers in time, as a share of all slots' time.

    Counts what ended between two moments, so that neither the first ramp of all
    targets nor the queue that is left after the last arrival counts.
    """
    done = [req for req in requests if req.in_time and start <= req.ended <= end]
    return sum(req.demand for req in done) / (capacity * (end - start))


def refusal_ms(requests: list[Request], share: float) -> float:
    """Return a quantile of the time until a request was turned away."""
    times = [r.ended - r.arrived for r in requests if r.status == REFUSED]
    return 1000.0 * quantile(times, share)


def imbalance(targets: list[PlayedTarget], before: dict[str, float]) -> float:
    """Return the highest over the mean busy time since a reading."""
    busy = [target.busy_time - before.get(target.name, 0.0) for target in targets]
    return max(busy) / mean(busy) if sum(busy) else 0.0


def select(requests: list[Request], **wanted) -> list[Request]:
    """Return the requests whose attributes have the wanted values."""
    return [
        req
        for req in requests
        if all(getattr(req, name) == value for name, value in wanted.items())
    ]


def between(requests: list[Request], start: float, end: float) -> list[Request]:
    """Return the requests that arrived within a stretch of time."""
    return [req for req in requests if start <= req.arrived < end]


def group_outage(run: Run) -> float:
    """Return the seconds, over 240 groups of keys, in which none was answered.

    A group is unavailable from its first request that got no answer in time to the
    next that did.
    """
    failed_since: dict[int, float] = {}
    total = 0.0
    for req in run.requests:
        group = hash_group(req.key)
        if not req.in_time:
            failed_since.setdefault(group, req.arrived)
        elif group in failed_since:
            total += req.arrived - failed_since.pop(group)
    return total


def hash_group(key: str) -> int:
    """Return the group of a key."""
    return xxh64_intdigest(key.encode()) % KEY_GROUPS
