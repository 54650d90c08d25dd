"""Tests of the choice of the target with the earliest expected completion."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.completion import OTHER_DATA_CENTRE, ServiceLoads


def service_loads(names, slots=2):
    found = ServiceLoads(Random(1))
    for name in names:
        found.load(name, slots)
    return found


class TestStrikes:
    def load(self):
        return ServiceLoads(Random(1)).load("a", 2)

    def test_target_with_occasional_lost_answers_is_not_ejected(self):
        # One answer in forty is lost at each target of a service. With an ejection for
        # each loss that any VM reported, all targets were ejected, and a sixth of the
        # requests were refused for lack of free slots.
        load = self.load()
        for n in range(400):
            if n % 40 == 0:
                load.record_shared_failure(n * 0.1)
            else:
                load.record_shared_success()
            assert load.ejected_until <= n * 0.1

    def test_target_that_fails_all_is_ejected_for_longer_each_time(self):
        load = self.load()
        durations = []
        now = 0.0
        for _ in range(8):
            load.record_shared_failure(now)
            durations.append(max(0.0, load.ejected_until - now))
            now = max(now + 0.1, load.ejected_until)
        assert durations[:2] == [0.0, 0.0]
        assert durations[2:5] == pytest.approx([0.5, 1.0, 2.0])
        assert max(durations) <= 4.0

    def test_recovered_target_is_not_ejected(self):
        load = self.load()
        for n in range(5):
            load.record_shared_failure(n * 0.1)
        load.record_shared_success()
        load.record_shared_failure(30.0)
        assert load.ejected_until <= 30.0


class TestWork:
    def loads(self, *reports):
        """Return the loads of one target with reports of its machine slowdown."""
        loads = ServiceLoads(Random(1))
        load = loads.load("a", 4)
        for moment, machine_slowdown in reports:
            load.record_report(1, 4, machine_slowdown, moment)
            loads.record_report(load)
        loads._typical_seconds["kind"] = 0.1
        return loads

    def test_slow_machine_has_long_service_times(self):
        assert self.loads((0.0, 1.6)).service_seconds(
            "a", "kind", 0.0
        ) == pytest.approx(0.16)

    def test_slow_period_does_not_count_for_the_whole_request(self):
        # A machine of 1.6 times the usual time is slowed by a factor of three for
        # 0.4 s. Considered slow for the whole request, it could complete none within
        # 0.3 s, and all were refused.
        loads = self.loads((0.0, 1.6), (0.48, 1.6), (0.5, 4.8))
        assert 0.2 < loads.service_seconds("a", "kind", 0.5) < 0.33

    def test_machine_that_stays_slow_counts_as_slow(self):
        reports = [(0.0, 1.0), *((1 + n * 0.1, 12.0) for n in range(10))]
        assert self.loads(*reports).service_seconds("a", "kind", 1.9) > 0.4

    def test_old_report_of_a_slow_period_has_no_weight(self):
        loads = self.loads((0.0, 1.0), (0.48, 1.0), (0.5, 3.0))
        assert loads.service_seconds("a", "kind", 5.0) < 0.11

    def test_length_of_slow_periods_is_learned(self):
        def slow_seconds(period):
            reports = [(-1.0, 1.0)]
            for moment in range(0, 80, 2):
                reports += [(moment, 3.0), (moment + period, 1.0)]
            return self.loads(*reports, (90.0, 3.0)).service_seconds("a", "kind", 90.0)

        assert slow_seconds(0.9) > slow_seconds(0.1)


class TestServiceLoads:
    def test_small_requests_do_not_make_a_target_fast(self):
        # A target has answered a few requests of a kind that takes a third of the usual
        # time. Considered three times as fast it would get three times the keys; one
        # target received five times the requests of the others.
        service = service_loads(["a", "b"])
        for i in range(60):
            service.record_service_time("b", "long", 0.12)
            service.record_service_time("b", "short", 0.04)
            service.record_service_time("a", "short", 0.04)
            if i % 10 == 0:
                service.record_service_time("a", "long", 0.12)
        assert (
            abs(service.service_time_ratio()["a"] - service.service_time_ratio()["b"])
            < 0.1
        )

    def test_slow_target_is_detected_by_its_answers(self):
        service = service_loads(["a", "b", "c"])
        for _ in range(40):
            service.record_service_time("a", "k", 0.1)
            service.record_service_time("b", "k", 0.1)
            service.record_service_time("c", "k", 0.2)
        found = service.service_time_ratio()
        assert found["c"] > 1.4 * found["a"]

    def test_own_requests_in_flight_count_before_any_report(self):
        service = service_loads(["a", "b"])
        service.load("a", 2).inflight = 3
        chosen = {service.choose(["a", "b"], "k", 1.0) for _ in range(20)}
        assert chosen == {"b"}

    def test_reported_queue_is_avoided_while_the_report_is_recent(self):
        service = service_loads(["a", "b"])
        service.load("a", 2).record_report(6, 2, 1.0, 10.0)
        assert {service.choose(["a", "b"], "k", 10.05) for _ in range(20)} == {"b"}
        assert len({service.choose(["a", "b"], "k", 13.0) for _ in range(40)}) == 2

    def test_local_target_is_chosen_unless_another_is_much_faster(self):
        # Two targets are idle, and the local one takes 40 ms longer. Each answer from
        # the remote one is paid for, which pays off once two requests queue locally.
        service = service_loads(["near", "far"])
        service.load("far", 2).locality_penalty = OTHER_DATA_CENTRE
        service.load("near", 2).record_report(0, 2, 1.4, 10.0)
        service.load("far", 2).record_report(0, 2, 1.0, 10.0)
        names = ["near", "far"]
        assert {service.choose(names, "k", 10.0) for _ in range(20)} == {"near"}
        service.load("near", 2).record_report(4, 2, 1.4, 10.0)
        assert {service.choose(names, "k", 10.0) for _ in range(20)} == {"far"}

    def test_failed_target_is_avoided_for_some_time(self):
        service = service_loads(["a", "b"])
        service.load("a", 2).record_failure(10.0)
        assert {service.choose(["a", "b"], "k", 10.3) for _ in range(20)} == {"b"}
        assert len({service.choose(["a", "b"], "k", 11.0) for _ in range(40)}) == 2

    def test_lasting_slowdown_of_a_machine_is_detected_by_its_reports(self):
        # One machine is three times as fast as the other, and both report it. When the
        # reports were ignored, both got as many keys, and the slow one had a queue
        # while the fast one was idle.
        service = service_loads(["fast", "slow"])
        for i in range(20):
            service.load("fast", 2).record_report(0, 2, 0.5, i / 10)
            service.load("slow", 2).record_report(0, 2, 1.5, i / 10)
        found = service.service_time_ratio()
        assert found["slow"] == 3 * found["fast"]

    def test_slow_machine_is_tried_again_once_its_report_is_old(self):
        # A slow machine gets no requests while others are faster, so no answer reports
        # that it is idle. If that lasted, its slots would stay unused while the other
        # targets' queues grow.
        service = service_loads(["fast", "slow"])
        for i in range(20):
            service.load("fast", 2).record_report(1, 2, 1.0, i / 10)
            service.load("slow", 2).record_report(0, 2, 1.5, i / 10)
        chosen = {service.choose(["fast", "slow"], "k", 9.0) for _ in range(40)}
        assert chosen == {"fast", "slow"}

    def test_short_slow_period_does_not_count_as_lasting_slowdown(
        self,
    ):
        # Neighbours slow a machine to a third for 0.4 s. Its keys would move away and
        # return a moment later, and each move interrupts them.
        service = service_loads(["a"])
        load = service.load("a", 2)
        for i in range(40):
            load.record_report(0, 2, 3.0 if 20 <= i < 24 else 1.0, i / 10)
            assert service.service_time_ratio()["a"] < 1.45
        assert service.service_time_ratio()["a"] == 1.0

    def test_lasting_slowdown_counts_within_seconds(self):
        service = service_loads(["a"])
        for i in range(60):
            service.load("a", 2).record_report(0, 2, 1.0 if i < 10 else 5.0, i / 10)
        assert service.service_time_ratio()["a"] > 4.0
