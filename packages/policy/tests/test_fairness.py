"""Tests of hierarchical fair queueing."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from berylstage_policy.fairness import MAX_IDLE_FLOWS, FairQueue


def path(caller, lane="short", request_class="interactive", weight=1.0):
    return (
        (lane, 1.0),
        ("saryarka", 1.0),
        (request_class, weight),
        (caller, 1.0),
    )


def push(queue, name, caller, cost=0.02, **options):
    leaf = queue.leaf(path(caller, **options))
    queue.push(leaf, (name, leaf, cost), cost)


def serve(queue, count, top=None):
    """Serve items, charge each by its cost, and return their names."""
    names = []
    for _ in range(count):
        name, leaf, cost = queue.pop(top)
        queue.charge(leaf, cost)
        names.append(name)
    return names


class TestTurns:
    def test_callers_take_turns_whatever_their_backlogs(self):
        queue = FairQueue(2.5)
        for _ in range(100):
            push(queue, "a", "a")
        for _ in range(10):
            push(queue, "b", "b")
        served = Counter(serve(queue, 20))
        assert abs(served["a"] - served["b"]) <= 1

    def test_requests_are_charged_their_cost(self):
        queue = FairQueue(2.5)
        for _ in range(200):
            push(queue, "dear", "a", cost=0.1)
            push(queue, "cheap", "b", cost=0.01)
        served = Counter(serve(queue, 110))
        assert 8 <= served["cheap"] / served["dear"] <= 12

    def test_weights_divide_the_time_between_classes(self):
        queue = FairQueue(2.5)
        for _ in range(300):
            push(queue, "people", "a", request_class="interactive", weight=8.0)
            push(queue, "batch", "b", request_class="batch", weight=1.0)
        served = Counter(serve(queue, 180))
        assert 7 <= served["people"] / served["batch"] <= 9

    def test_served_caller_is_not_overtaken_by_new_ones_forever(self):
        # A caller has been served a few times in a busy period. Each new flow starts at
        # the virtual time; if that did not advance, the caller's next request would
        # wait for as long as new flows arrive.
        queue = FairQueue(2.5)
        for _ in range(3):
            push(queue, "early", "a")
        push(queue, "filler", "b")
        serve(queue, 3)
        push(queue, "late", "a")
        waited = 0
        while "late" not in serve(queue, 1):
            waited += 1
            push(queue, "new", f"n-{waited}")
            push(queue, "new", f"m-{waited}")
            assert waited < 50

    def test_debts_end_with_the_busy_period(self):
        # One caller used the slots while nobody else needed them. If it had to pay for
        # that later, its requests would be late among those of others.
        queue = FairQueue(2.5)
        for _ in range(50):
            push(queue, "a", "a")
        serve(queue, 50)
        push(queue, "a", "a")
        push(queue, "b", "b")
        assert serve(queue, 2) == ["a", "b"]


class TestMemory:
    def test_idle_callers_are_dropped(self):
        queue = FairQueue(2.5)
        for i in range(20 * MAX_IDLE_FLOWS):
            push(queue, "x", f"caller-{i}")
            serve(queue, 1)
        leaves = queue.leaf(path("x")[:3]).children
        assert len(leaves) <= MAX_IDLE_FLOWS

    def test_serving_one_lane_for_hours_leaves_no_stale_entries(self):
        # A reconciliation occupies the long lane's slots for hours while short requests
        # are served past it. If every heap entry were kept, the VM would run out of
        # memory.
        queue = FairQueue(2.5)
        push(queue, "long", "finance", lane="long")
        for i in range(5000):
            push(queue, "short", f"caller-{i % 10}")
            serve(queue, 1, top="short")
        assert len(queue.root.child_heap) < 100


class TestAhead:
    def test_light_caller_waits_for_its_share_only(self):
        queue = FairQueue(2.5)
        for _ in range(100):
            push(queue, "flood", "script")
        light = queue.work_ahead(queue.leaf(path("light")), 0.02)
        heavy = queue.work_ahead(queue.leaf(path("script")), 0.02)
        assert light < 0.05
        assert heavy >= 2.0


class TestWholeness:
    @pytest.mark.parametrize("rounds", range(20, 120))
    def test_lane_that_becomes_active_is_served(self, rounds):
        # Short requests were served past a long one, and stale heap entries are
        # compacted at the moment at which a short request arrives. If its entry were
        # dropped too, the request would wait forever and the next pop would fail.
        queue = FairQueue(2.5)
        push(queue, "long", "finance", lane="long")
        for _ in range(rounds):
            push(queue, "short", "caller")
            serve(queue, 1, top="short")
        push(queue, "short", "caller")
        assert sorted(serve(queue, 2)) == ["long", "short"]

    def test_every_item_comes_out_once(self):
        rng = Random(4)
        queue = FairQueue(2.5)
        waiting = set()
        for number in range(5000):
            if rng.random() < 0.5 or not waiting:
                lane = rng.choice(["short", "long"])
                push(queue, number, f"caller-{rng.randrange(4)}", lane=lane)
                waiting.add(number)
            else:
                size = {lane: flow.size for lane, flow in queue.root.children.items()}
                top = rng.choice([None, *(lane for lane in size if size[lane])])
                waiting.remove(serve(queue, 1, top)[0])
            assert len(queue) == len(waiting)
