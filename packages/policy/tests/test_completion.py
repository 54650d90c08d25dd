"""Tests of the choice of the target that is done first."""

from __future__ import annotations

from random import Random

import pytest
from berylstage_policy.completion import OTHER_DATA_CENTRE, ServiceLoads


def loads(names, slots=2):
    found = ServiceLoads(Random(1))
    for name in names:
        found.load(name, slots)
    return found


class TestStrikes:
    def load(self):
        return ServiceLoads(Random(1)).load("a", 2)

    def test_target_that_loses_an_answer_now_and_then_is_kept(self):
        # One answer in forty is lost at each target of a service. Left out for each
        # loss that any VM told of, all targets were left out, and a sixth of the
        # requests were refused for want of room.
        each = self.load()
        for n in range(400):
            if n % 40 == 0:
                each.struck(n * 0.1)
            else:
                each.praised()
            assert each.shunned_until <= n * 0.1

    def test_target_that_fails_all_is_left_out_for_longer_each_time(self):
        each = self.load()
        spans = []
        now = 0.0
        for _ in range(8):
            each.struck(now)
            spans.append(max(0.0, each.shunned_until - now))
            now = max(now + 0.1, each.shunned_until)
        assert spans[:2] == [0.0, 0.0]
        assert spans[2:5] == pytest.approx([0.5, 1.0, 2.0])
        assert max(spans) <= 4.0

    def test_target_that_is_well_again_is_not_left_out(self):
        each = self.load()
        for n in range(5):
            each.struck(n * 0.1)
        each.praised()
        each.struck(30.0)
        assert each.shunned_until <= 30.0


class TestWork:
    def loads(self, *told):
        """Return loads with one target that told its pace at some moments."""
        each = ServiceLoads(Random(1))
        load = each.load("a", 4)
        for moment, pace in told:
            load.told(1, 4, pace, moment)
            each.told(load)
        each._typical["kind"] = 0.1
        return each

    def test_slow_machine_takes_as_long_as_it_is_slow(self):
        assert self.loads((0.0, 1.6)).work("a", "kind", 0.0) == pytest.approx(0.16)

    def test_moment_of_a_neighbour_is_not_taken_for_all_of_the_work(self):
        # A machine of 1.6 times the usual time is slowed three times over for 0.4 s. No
        # request would be done there within 0.3 s by that, and all were refused.
        each = self.loads((0.0, 1.6), (0.48, 1.6), (0.5, 4.8))
        assert 0.2 < each.work("a", "kind", 0.5) < 0.33

    def test_machine_that_stays_slow_is_believed(self):
        told = [(0.0, 1.0), *((1 + n * 0.1, 12.0) for n in range(10))]
        assert self.loads(*told).work("a", "kind", 1.9) > 0.4

    def test_old_word_of_a_neighbour_counts_for_nothing(self):
        each = self.loads((0.0, 1.0), (0.48, 1.0), (0.5, 3.0))
        assert each.work("a", "kind", 5.0) < 0.11

    def test_length_of_such_moments_is_learned(self):
        def work(seconds):
            told = [(-1.0, 1.0)]
            for moment in range(0, 80, 2):
                told += [(moment, 3.0), (moment + seconds, 1.0)]
            return self.loads(*told, (90.0, 3.0)).work("a", "kind", 90.0)

        assert work(0.9) > work(0.1)


class TestServiceLoads:
    def test_small_requests_do_not_make_a_target_fast(self):
        # A target has answered a few requests of a kind that takes a third of the usual
        # time. Taken for three times as fast it would get three times the keys, and one
        # target had five times the requests of the others.
        service = loads(["a", "b"])
        for i in range(60):
            service.answered("b", "long", 0.12)
            service.answered("b", "short", 0.04)
            service.answered("a", "short", 0.04)
            if i % 10 == 0:
                service.answered("a", "long", 0.12)
        assert abs(service.slowness()["a"] - service.slowness()["b"]) < 0.1

    def test_slow_target_is_told_by_its_answers(self):
        service = loads(["a", "b", "c"])
        for _ in range(40):
            service.answered("a", "k", 0.1)
            service.answered("b", "k", 0.1)
            service.answered("c", "k", 0.2)
        found = service.slowness()
        assert found["c"] > 1.4 * found["a"]

    def test_own_requests_count_before_any_report(self):
        service = loads(["a", "b"])
        service.load("a", 2).inflight = 3
        chosen = {service.choose(["a", "b"], "k", 1.0) for _ in range(20)}
        assert chosen == {"b"}

    def test_reported_queue_is_avoided_while_the_report_is_young(self):
        service = loads(["a", "b"])
        service.load("a", 2).told(6, 2, 1.0, 10.0)
        assert {service.choose(["a", "b"], "k", 10.05) for _ in range(20)} == {"b"}
        assert len({service.choose(["a", "b"], "k", 13.0) for _ in range(40)}) == 2

    def test_target_nearby_is_taken_unless_another_is_much_sooner_done(self):
        # Two targets are idle, and the one nearby takes 40 ms longer. Each answer from
        # the other one would be paid for; once two requests wait nearby it is worth it.
        service = loads(["near", "far"])
        service.load("far", 2).distance = OTHER_DATA_CENTRE
        service.load("near", 2).told(0, 2, 1.4, 10.0)
        service.load("far", 2).told(0, 2, 1.0, 10.0)
        names = ["near", "far"]
        assert {service.choose(names, "k", 10.0) for _ in range(20)} == {"near"}
        service.load("near", 2).told(4, 2, 1.4, 10.0)
        assert {service.choose(names, "k", 10.0) for _ in range(20)} == {"far"}

    def test_failed_target_is_left_alone_for_a_while(self):
        service = loads(["a", "b"])
        service.load("a", 2).failed(10.0)
        assert {service.choose(["a", "b"], "k", 10.3) for _ in range(20)} == {"b"}
        assert len({service.choose(["a", "b"], "k", 11.0) for _ in range(40)}) == 2

    def test_machine_that_is_slow_for_good_is_told_by_its_pace(self):
        # One machine is three times as fast as the other, and both say so. Taken for
        # equals, they were given as many keys each, and the slow one had a queue while
        # the fast one was idle.
        service = loads(["fast", "slow"])
        for i in range(20):
            service.load("fast", 2).told(0, 2, 0.5, i / 10)
            service.load("slow", 2).told(0, 2, 1.5, i / 10)
        found = service.slowness()
        assert found["slow"] == 3 * found["fast"]

    def test_slow_machine_is_tried_again_once_its_report_is_old(self):
        # A slow machine is left out while others are faster, so nobody hears that it
        # stands idle. Left out for good, it would leave its slots unused while queues
        # grow before the others.
        service = loads(["fast", "slow"])
        for i in range(20):
            service.load("fast", 2).told(1, 2, 1.0, i / 10)
            service.load("slow", 2).told(0, 2, 1.5, i / 10)
        chosen = {service.choose(["fast", "slow"], "k", 9.0) for _ in range(40)}
        assert chosen == {"fast", "slow"}

    def test_neighbours_that_slow_a_machine_for_a_moment_do_not_count_as_its_speed(
        self,
    ):
        # Neighbours slow a machine to a third for 0.4 s. Its keys would be moved away
        # and come back a moment later, and each move interrupts them.
        service = loads(["a"])
        load = service.load("a", 2)
        for i in range(40):
            load.told(0, 2, 3.0 if 20 <= i < 24 else 1.0, i / 10)
            assert service.slowness()["a"] < 1.45
        assert service.slowness()["a"] == 1.0

    def test_machine_that_stays_slow_counts_as_slow_within_seconds(self):
        service = loads(["a"])
        for i in range(60):
            service.load("a", 2).told(0, 2, 1.0 if i < 10 else 5.0, i / 10)
        assert service.slowness()["a"] > 4.0
