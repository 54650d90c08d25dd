"""Tests of what is known of requests that ended without an answer."""

from __future__ import annotations

import pytest
from berylstage_entry import sent_requests
from berylstage_entry.sent_requests import (
    DEADLINE_MARGIN_SECONDS,
    SAME_EVENT_SECONDS,
    SentRequests,
)
from fakes import target

A, B = target("a"), target("b")


@pytest.fixture
def clock(monkeypatch):
    """Return a clock that the test sets."""

    class Clock:
        time = 100.0

    monkeypatch.setattr(sent_requests, "now", lambda: Clock.time)
    return Clock


@pytest.fixture
def requests(clock):
    return SentRequests()


class TestMayRun:
    def test_target_without_requests(self, requests):
        assert not requests.may_run(A.identity)

    def test_request_that_its_caller_has_left(self, requests, clock):
        # Guards against granting keys on while their owner runs a request whose
        # connection this VM has closed.
        requests.record_unanswered(A, clock.time + 1.0, is_closed=False)
        assert requests.may_run(A.identity)
        assert not requests.may_run(B.identity)
        assert not requests.may_run(("a", 2))
        clock.time += 1.0
        assert requests.may_run(A.identity)
        clock.time += DEADLINE_MARGIN_SECONDS
        assert not requests.may_run(A.identity)

    def test_process_that_has_closed_its_connections(self, requests, clock):
        # Guards against keys of a crashed owner that wait for its requests' deadlines.
        requests.record_unanswered(A, clock.time + 1.0, is_closed=True)
        assert not requests.may_run(A.identity)

    @pytest.mark.parametrize(
        ("seconds", "may_run"),
        [(SAME_EVENT_SECONDS - 0.05, True), (SAME_EVENT_SECONDS + 0.05, False)],
    )
    def test_connections_to_several_targets_that_are_reset(
        self, requests, clock, seconds, may_run
    ):
        # Guards against taking a reset of this VM's connections for the end of a
        # target that is leaving and goes on working.
        requests.record_unanswered(A, clock.time + 1.0, is_closed=True)
        clock.time += seconds
        requests.record_unanswered(B, clock.time + 1.0, is_closed=True)
        assert requests.may_run(A.identity) is may_run


class TestWithheldTargets:
    def test_nothing_is_sent_for_a_time(self, requests, clock):
        requests.withhold(A.identity, 3.0)
        requests.withhold(A.identity, 1.0)
        clock.time += 2.9
        assert not requests.may_send(A)
        assert requests.may_send(B)
        clock.time += 0.1
        assert requests.may_send(A)

    def test_targets_of_the_past_are_forgotten(self, requests, clock):
        for number in range(5):
            requests.withhold(("a", number), 1.0)
            clock.time += 2.0
        assert len(requests._withheld_until) == 1

    def test_another_incarnation_is_sent_requests(self, requests):
        requests.withhold(A.identity, 3.0)
        assert requests.may_send(target("a", incarnation=2))
