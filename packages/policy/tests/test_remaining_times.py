"""Tests of what the remaining times of requests tell about their callers."""

from __future__ import annotations

import pytest
from berylstage_policy.remaining_times import (
    FIRST_ATTEMPT_SHARE,
    MIN_REQUESTS,
    WINDOW_SECONDS,
    RemainingTimes,
)


def learned(*seconds, now=0.0, route="r"):
    """Return times after some requests, repeated until they count."""
    times = RemainingTimes()
    for _ in range(MIN_REQUESTS):
        for each in seconds:
            times.record(route, each, now)
    return times


class TestLargestTimes:
    def test_few_requests_tell_nothing(self):
        # Guards against a behaviour that a single unusual request switches on.
        times = RemainingTimes()
        for _ in range(MIN_REQUESTS - 1):
            times.record("r", 9.0, 0.0)
        assert times.largest("r") == 0.0
        times.record("r", 1.0, 0.0)
        assert times.largest("r") == 9.0
        assert times.largest("other") == 0.0

    def test_largest_is_forgotten_after_two_windows(self):
        # One caller sent an unusually long deadline. All others would count as old for
        # as long as it is remembered.
        times = learned(4.0)
        times.record("r", 60.0, 0.0)
        step, now = WINDOW_SECONDS / 10, 0.0
        while now < 2 * WINDOW_SECONDS:
            now += step
            times.record("r", 4.0, now)
        assert times.largest("r") == 4.0

    def test_largest_is_kept_across_one_window(self):
        times = learned(5.0)
        times.record("r", 2.0, 1.1 * WINDOW_SECONDS)
        assert times.largest("r") == 5.0

    def test_pause_of_two_windows_starts_anew(self):
        times = learned(5.0)
        times.record("r", 2.0, 2.5 * WINDOW_SECONDS)
        assert times.largest("r") == 0.0


class TestServices:
    @pytest.mark.parametrize(
        ("largest", "expected"), [(5.0, True), (1.84, True), (1.82, False)]
    )
    def test_callers_may_return_if_their_time_exceeds_the_objective(
        self, largest, expected
    ):
        assert learned(largest).may_return({"r": 0.6}) is expected

    def test_all_known_routes_of_the_service_count(self):
        # Guards against a service whose short requests are told to return too late.
        times = learned(5.0)
        assert times.may_return({"r": 0.6, "unused": 9.0})
        for _ in range(MIN_REQUESTS):
            times.record("short", 1.0, 0.0)
        assert not times.may_return({"r": 0.6, "short": 0.6})
        assert not times.may_return({})


class TestAge:
    def test_attempt_with_little_time_left_began_earlier(self):
        times = learned(5.0)
        assert times.least_age("r", 0.6, 3.0) == pytest.approx(
            FIRST_ATTEMPT_SHARE * 5.0 - 3.0
        )

    @pytest.mark.parametrize("share", [1.0, 0.95, 0.85])
    def test_first_attempt_has_no_age(self, share):
        assert learned(5.0).least_age("r", 0.6, share * 5.0) == 0.0

    def test_routes_with_little_time_tell_nothing(self):
        # Guards against requests that count as late on a route whose callers all have
        # different, short times.
        assert learned(1.0).least_age("r", 0.6, 0.2) == 0.0
        assert RemainingTimes().least_age("r", 0.6, 0.2) == 0.0
