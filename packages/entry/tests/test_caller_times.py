"""Tests of what is learned of the times that callers have left."""

from __future__ import annotations

import pytest
from berylstage_entry.caller_times import CallerTimes
from berylstage_entry.protocols import CallerRequest
from berylstage_entry.routes import Route, WeightedService
from berylstage_entry.services import Configuration, Service
from berylstage_policy.remaining_times import FIRST_ATTEMPT_SHARE, MIN_REQUESTS
from fakes import LIMITS

SERVICE = Service("s", "/", 50, 3.0, 5.0, True)


def make_configuration(version=1, timeout=6.0, objective=0.3):
    split = [WeightedService("s", 1.0)]
    route = Route("r", "h", "/a/", split, True, 3, timeout, objective, 1)
    return Configuration(version, [route], [SERVICE], LIMITS)


def make_request(time_left):
    return CallerRequest("id", "GET", "h", "/a/", {}, time_left, 7)


def learn(times, cfg, time_left=6.0):
    """Learn from first attempts; return whether the last caller may return."""
    req, route = make_request(time_left), cfg.routes[0]
    for _ in range(MIN_REQUESTS):
        may_return = times.may_return(req, route, SERVICE, cfg, 1.0)
        times.least_age(req, route, 1.0)
    return may_return


class TestCallerTimes:
    @pytest.mark.parametrize(("timeout", "may_return"), [(6.0, True), (0.5, False)])
    def test_timeout_of_the_route_limits_the_time_to_return(self, timeout, may_return):
        # Guards against refusals whose callers return after the route gave them up.
        times, cfg = CallerTimes(), make_configuration(timeout=timeout)
        assert learn(times, cfg) is may_return

    def test_timeout_of_the_route_does_not_hide_the_age(self):
        # Guards against a caller with 4 s left that counts as new, because its route
        # keeps requests for only 2 s.
        times, cfg = CallerTimes(), make_configuration(timeout=2.0)
        learn(times, cfg)
        age = times.least_age(make_request(4.0), cfg.routes[0], 1.0)
        assert age == pytest.approx(FIRST_ATTEMPT_SHARE * 6.0 - 4.0)

    def test_objectives_of_a_new_configuration_are_used(self):
        # Guards against objectives of an earlier version that are kept.
        times = CallerTimes()
        assert learn(times, make_configuration(1, objective=0.3))
        assert not learn(times, make_configuration(2, objective=3.0))
