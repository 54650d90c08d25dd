"""Tests of the request rates of keys."""

from __future__ import annotations

from random import Random

from berylstage_entry.placement.key_loads import KeyLoads


class TestKeyLoads:
    def measure_rate(self, seconds, start=100.0):
        loads = KeyLoads(start)
        for tick in range(round(seconds / 0.05)):
            loads.decay(start + tick * 0.05)
            loads.add(7, 1.5)
        loads.decay(start + seconds)
        return dict(loads.rates())[7]

    def test_rate_is_known_within_a_second_of_the_first_request(self):
        # A key gets thirty requests per second from the start. If its rate were
        # estimated at a quarter of that, its owner would seem idle while its queue
        # grows.
        for seconds in (0.7, 1.0, 3.0, 20.0):
            assert 25 < self.measure_rate(seconds) < 36

    def test_single_requests_are_no_rate(self):
        loads = KeyLoads(100.0)
        loads.decay(100.0)
        loads.add(7, 1)
        loads.decay(100.1)
        assert dict(loads.rates())[7] < 2

    def test_rate_of_what_begins_after_a_pause(self):
        loads = KeyLoads(100.0)
        loads.add(9, 1)
        for tick in range(1000):
            loads.decay(100.0 + tick * 0.05)
        start = 150.0
        for tick in range(20):
            loads.decay(start + tick * 0.05)
            loads.add(7, 1.5)
        loads.decay(start + 1.0)
        assert 25 < dict(loads.rates())[7] < 36


class TestSteps:
    """Rates that have just risen."""

    def play(self, seconds, draw, rate=700, start=100.0):
        """Return loads after requests for drawn keys, in reports of 40 VMs."""
        rng = Random(3)
        loads = KeyLoads(start)
        loads.set_step_detection(True)
        for tick in range(round(seconds / 0.1)):
            loads.decay(start + tick * 0.1)
            loads.raise_steps()
            for _ in range(round(rate * 0.1)):
                loads.add(draw(rng, tick * 0.1), 1)
        loads.decay(start + seconds)
        loads.raise_steps()
        return loads

    def hot_rate(self, loads):
        return sum(rate for key, rate in loads.rates() if 30000 <= key < 30200)

    def draw_step(self, rng, seconds):
        if seconds >= 5.0 and rng.random() < 0.44:
            return 30000 + rng.randrange(200)
        return rng.randrange(65536)

    def test_step_counts_within_three_tenths_of_a_second(self):
        # Guards against plans for a third of a step: with decayed counts alone, its
        # keys get a second plan after each first one.
        for seconds in (5.2, 5.3, 5.6, 6.5):
            loads = self.play(seconds, self.draw_step)
            assert 0.75 * 308 < self.hot_rate(loads) < 1.3 * 308, seconds

    def test_rates_of_a_step_are_even_over_its_keys(self):
        # Guards against moves that follow the chance by which some keys of a step got
        # the first requests.
        loads = self.play(5.3, self.draw_step)
        runs = [
            sum(r for k, r in loads.rates() if first <= k < first + 20)
            for first in range(30000, 30200, 20)
        ]
        assert max(runs) < 2.2 * min(runs)

    def test_noise_of_one_key_is_no_step(self):
        # Guards against moves for three requests of one key at once.
        loads = self.play(5.0, lambda rng, seconds: rng.randrange(65536))
        assert loads.raise_steps() == 0
        for _ in range(3):
            loads.add(41, 1)
        loads.decay(105.1)
        assert loads.raise_steps() == 0

    def test_counts_that_arrive_all_at_once_are_no_step(self):
        # Guards against a coordinator whose loop was late for a second, and that takes
        # a second's reports for those of a tenth.
        loads = self.play(5.0, lambda rng, seconds: rng.randrange(65536))
        rng = Random(4)
        loads.decay(106.0)
        for _ in range(700):
            loads.add(rng.randrange(65536), 1)
        loads.decay(106.1)
        before = sum(rate for _, rate in loads.rates())
        loads.raise_steps()
        assert sum(rate for _, rate in loads.rates()) < 1.1 * before

    def test_rates_stay_when_the_detection_is_switched(self):
        # Guards against moves because the number of owners has passed the limit.
        loads = self.play(5.0, lambda rng, seconds: rng.randrange(65536))
        before = sum(rate for _, rate in loads.rates())
        loads.set_step_detection(False)
        assert abs(sum(rate for _, rate in loads.rates()) - before) < 1e-6
