"""Processor time of a decision and memory of its state, over growing sizes."""

from __future__ import annotations

import tracemalloc
from random import Random
from time import process_time
from typing import TYPE_CHECKING

from berylstage_policy.hot_keys import KeySketch
from berylstage_policy.placement import PlacementTarget, ShardPlacement, plan
from berylstage_policy.target_choice import TargetChoice
from berylstage_policy.target_queue import TargetQueue
from berylstage_policy.thresholds import DEFAULTS
from berylstage_policy.tickets import AttemptOutcome, Ticket

if TYPE_CHECKING:
    from collections.abc import Callable

REPEATS = 5


class Slope:
    """Figures of one subject at each size."""

    __slots__ = ("subject", "unit", "figures")

    def __init__(self, subject: str, unit: str, figures: dict[int, float]):
        self.subject = subject
        self.unit = unit
        self.figures = figures


def least_seconds(action: Callable[[], object]) -> float:
    """Return the least processor time of some runs: others share this machine."""
    times = []
    for _ in range(REPEATS):
        begun = process_time()
        action()
        times.append(process_time() - begun)
    return min(times)


def make_ticket(number: int, callers: int, now: float, deadline: float) -> Ticket:
    """Return one of a stream of tickets."""
    caller = f"caller-{number % callers}"
    return Ticket(
        f"t-{number}",
        "saryarka",
        "interactive",
        caller,
        "field-log",
        "lookup",
        f"key-{number}",
        now,
        now + deadline,
    )


def fill_queue(waiting: int) -> TargetQueue:
    """Return a queue of two slots in which so many tickets wait."""
    thresholds = DEFAULTS.with_values(queue_limit=float(waiting + 1), wait_share=1e9)
    queue = TargetQueue(2, thresholds, Random(1), 0.0)
    queue.set_reported_cold(False, 0.0)
    while not queue.ramp.warm:
        queue.ramp.record_completion(0.0, 1.0)
    for number in range(waiting + 2):
        queue.offer(make_ticket(number, max(1, waiting), 0.0, 1e6), 0.0)
    return queue


def queue_seconds(waiting: int, count: int = 2000) -> float:
    """Return the time of an offer and a finish with so many waiting."""
    tickets = [make_ticket(10**6 + n, max(1, waiting), 0.0, 1e6) for n in range(count)]
    slots: list[str] = []

    def play() -> None:
        queue = fill_queue(waiting)
        slots[:] = ["t-0", "t-1"]
        begun = process_time()
        for ticket in tickets:
            queue.offer(ticket, 0.0)
            done = slots.pop(0)
            started = queue.finish(done, 0.0, 0.02, AttemptOutcome.ANSWERED, "a")
            slots.extend(found.id for found in started)
            queue.next_expiry()
        spent.append(process_time() - begun)

    spent: list[float] = []
    for _ in range(REPEATS):
        play()
    return min(spent) / count


def choice_seconds(targets: int, count: int = 2000) -> float:
    """Return the time of a choice with its notes."""
    choice = TargetChoice(DEFAULTS, Random(1))
    names = [f"contract-book-{i}" for i in range(targets)]
    for name in names:
        choice.set_target(name, 2)

    def play() -> None:
        for number in range(count):
            name = choice.choose(names, number * 0.001)
            choice.record_sent(name, "r", number * 0.001, "lookup")
            choice.record_end(name, "r", number * 0.001 + 0.02, True)

    return least_seconds(play) / count


def plan_seconds(targets: int) -> float:
    """Return the time of a plan that finds nothing to move, 20 shards a target."""
    places = [PlacementTarget(f"t-{i}", "almaty-a", 2.0) for i in range(targets)]
    holdings = [
        ShardPlacement(f"s-{i}", f"t-{i % targets}", 1.0) for i in range(20 * targets)
    ]
    return least_seconds(lambda: plan(holdings, places, 8))


def sketch_seconds(counters: int, count: int = 20000) -> float:
    """Return the time to count one request among millions of keys."""
    rng = Random(1)
    keys = [f"key-{int(rng.paretovariate(0.5)) % 10**7}" for _ in range(count)]
    sketch = KeySketch(counters, 10.0)

    def play() -> None:
        for key in keys:
            sketch.add(key, 0.02, 1.0)

    return least_seconds(play) / count


def memory_of(make: Callable[[int], object], size: int) -> float:
    """Return the bytes that an object of some size keeps."""
    make(1)
    tracemalloc.start()
    kept = make(size)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(used)


def make_sketch(counters: int) -> KeySketch:
    """Return a sketch with all its counters in use."""
    sketch = KeySketch(counters, 10.0)
    for number in range(2 * counters):
        sketch.add(f"key-{number}", 0.02, 1.0)
    return sketch


def make_choice(targets: int) -> TargetChoice:
    """Return a choice among so many targets."""
    choice = TargetChoice(DEFAULTS, Random(1))
    for number in range(targets):
        name = f"contract-book-{number}"
        choice.set_target(name, 2)
        choice.record_sent(name, "r", 0.0, "lookup")
    return choice


def slopes() -> list[Slope]:
    """Return all slopes."""
    micro, sizes = 1e6, (12, 120, 1200)
    waiting = (4, 64, 1024)
    counters = (512, 2048, 8192)
    return [
        Slope(
            "offer + finish, by tickets waiting",
            "us",
            {n: micro * queue_seconds(n) for n in waiting},
        ),
        Slope(
            "choice, by targets",
            "us",
            {n: micro * choice_seconds(n) for n in sizes},
        ),
        Slope(
            "plan of one service, by targets",
            "us",
            {n: micro * plan_seconds(n) for n in sizes},
        ),
        Slope(
            "count a key, by counters",
            "us",
            {n: micro * sketch_seconds(n) for n in counters},
        ),
        Slope(
            "memory of a queue, by tickets waiting",
            "B",
            {n: memory_of(fill_queue, n) for n in waiting},
        ),
        Slope(
            "memory per key tracked, by counters",
            "B",
            {n: memory_of(make_sketch, n) / n for n in counters},
        ),
        Slope(
            "memory per target in a choice, by targets",
            "B",
            {n: memory_of(make_choice, n) / n for n in sizes},
        ),
    ]
