"""Tests of the request rates of keys."""

from __future__ import annotations

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
