"""Tests of how long a kept connection may have rested."""

from __future__ import annotations

from math import inf

from berylstage_transfers.rest import HALF_LIFE, MARGIN, Rest


class TestRest:
    def test_connections_rest_as_long_as_nothing_is_reset(self):
        assert Rest().limit(0.0) == inf

    def test_first_reset_ends_the_use_of_what_has_rested_as_long(self):
        # Targets begin to forget connections that rested 0.3 s. Each order that is sent
        # on one is lost, with nobody knowing whether it was carried out.
        rest = Rest()
        rest.was_reset(0.9, 10.0)
        assert rest.limit(10.0) == 0.9 * MARGIN
        rest.was_reset(0.4, 10.1)
        assert rest.limit(10.1) == 0.4 * MARGIN

    def test_it_ends_some_seconds_after_the_last_reset(self):
        rest = Rest()
        rest.was_reset(0.4, 10.0)
        assert rest.limit(10.0 + 2 * HALF_LIFE) == inf

    def test_half_of_the_targets_is_enough(self):
        rest, now = Rest(), 10.0
        for _ in range(20):
            now += 0.1
            rest.was_reset(0.5, now)
            rest.was_answered(0.5, now)
        assert rest.limit(now) < 0.5

    def test_full_targets_that_reset_some_calls_are_told_apart(self):
        # A full target resets one connection in ten, whatever it has rested. Opening a
        # new one for each call would only add to its load.
        rest, now = Rest(), 10.0
        for _ in range(20):
            now += 0.1
            rest.was_reset(0.5, now)
            for _ in range(9):
                rest.was_answered(0.6, now)
        assert rest.limit(now) == inf

    def test_reset_of_a_connection_in_steady_use_tells_nothing(self):
        rest = Rest()
        rest.was_reset(0.05, 10.0)
        assert rest.limit(10.0) == inf
