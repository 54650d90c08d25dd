"""Tests of the share of requests that is turned away for a full target."""

from __future__ import annotations

from collections import deque
from random import Random

from berylstage_policy.early_refusal import EarlyRefusal

OBJECTIVE = 0.3
SERVICE_TIME = 0.09
SLOTS = 2
QUEUE = 8


class FullTarget:
    """A target with a bounded queue, before which ten VMs stand."""

    def __init__(self, rate, gated, seed=1):
        self.rng = Random(seed)
        self.gates = [EarlyRefusal(0.0) for _ in range(10)]
        self.rate = rate
        self.gated = gated
        self.in_time = self.late = self.refused = self.turned_away = 0

    def play(self, seconds):
        slots = [0.0] * SLOTS
        queue: deque = deque()
        ends: list = []
        now = self.rng.expovariate(self.rate)
        while now < seconds:
            for end, gate, began in sorted(e for e in ends if e[0] <= now):
                waiting = sum(1 for start in queue if start > end)
                if self.gated:
                    wait = waiting * SERVICE_TIME / SLOTS
                    self.gates[gate].told(wait, OBJECTIVE, end)
                if end - began <= OBJECTIVE:
                    self.in_time += 1
                else:
                    self.late += 1
            ends = [e for e in ends if e[0] > now]
            self._arrive(now, slots, queue, ends)
            now += self.rng.expovariate(self.rate)

    def _arrive(self, now, slots, queue, ends):
        gate = self.rng.randrange(10)
        if self.gated and not self.gates[gate].admits(now, self.rng):
            self.refused += 1
            return
        while queue and queue[0] <= now:
            queue.popleft()
        if len(queue) >= QUEUE:
            self.turned_away += 1
            self.gates[gate].full(now)
            return
        first = min(range(SLOTS), key=slots.__getitem__)
        start = max(now, slots[first])
        slots[first] = start + self.rng.uniform(0.5, 1.5) * SERVICE_TIME
        queue.append(start)
        ends.append((slots[first], gate, now))


class TestEarlyRefusal:
    def test_hot_key_is_answered_in_time(self):
        # A key asks for twice what its owner can do. Without refusals each answer waits
        # behind a full queue and comes late, so that nobody is served well.
        plain, gated = FullTarget(40, False), FullTarget(40, True)
        plain.play(30)
        gated.play(30)
        assert gated.in_time > 2 * plain.in_time
        assert gated.in_time > 10 * 30

    def test_target_with_room_gets_everything(self):
        target = FullTarget(8, True)
        target.play(30)
        assert target.refused <= 0.02 * 8 * 30

    def test_share_recovers_without_answers(self):
        gate = EarlyRefusal(0.0)
        for _ in range(20):
            gate.full(0.0)
        assert gate.share < 0.2
        assert gate.admits(20.0, Random(1))
        assert gate.share == 1.0
