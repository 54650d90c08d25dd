"""Tests of which requests a target may get after it has told something about itself."""

from __future__ import annotations

import time

import pytest
from soak.ledger import Ledger


class TestLimits:
    """Which requests a target that names a limit may get."""

    LIMIT = 1.0
    ALLOWED = 11

    @pytest.fixture(autouse=True)
    def _clock(self, monkeypatch):
        self.moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.moment)

    def find(self, ledger, arrivals, told_at=0.0, fault=None, ends_at=60.0):
        """Return the violations of arrivals, in seconds after the limit was named."""
        notices, self.moment = ledger.notices, 100.0
        notices.record_request("told", "vm-1")
        notices.record_request("order", "vm-1")
        notices.record_limit("i-1", self.LIMIT)
        events = [(told_at, notices.record_answer, ("told", "i-1"))]
        events += [(at, notices.record_arrival, ("i-1", "order")) for at in arrivals]
        events += [(ends_at, notices.record_limit, ("i-1", None))]
        for seconds, record, args in sorted(events, key=lambda event: event[0]):
            self.moment = 100.0 + seconds
            record(*args)
        if fault is not None:
            self.moment = 100.0 + fault[1]
            notices.record_vm_fault("vm-1", 100.0 + fault[0])
        return ledger.find_violations()

    def test_more_than_the_limit_allows(self, ledger):
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED + 1)]
        assert len(self.find(ledger, arrivals)) == 1

    def test_as_many_as_the_limit_allows(self, ledger):
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED)]
        assert self.find(ledger, arrivals + [n + 4.2 for n in arrivals]) == []

    def test_requests_before_the_limit_settles_count_in_later_windows(self, ledger):
        arrivals = [1.0 + n / 10 for n in range(self.ALLOWED)]
        assert self.find(ledger, arrivals) == []
        assert len(self.find(Ledger(), [*arrivals, 4.5])) == 1

    @pytest.mark.parametrize(
        "excuse",
        [
            {"told_at": 5.0},
            {"ends_at": 3.9},
            {"fault": (1.0, 2.0)},
            {"fault": (3.0, 9.0)},
        ],
    )
    def test_requests_of_a_vm_that_does_not_know_the_limit(self, ledger, excuse):
        # The VM has not seen the limit, or it is over, or the VM was suspended.
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED + 1)]
        assert self.find(ledger, arrivals, **excuse) == []

    def test_fault_before_the_limit_excuses_nothing(self, ledger):
        arrivals = [4.0 + n / 10 for n in range(self.ALLOWED + 1)]
        assert len(self.find(ledger, arrivals, fault=(-9.0, -1.0))) == 1


class TestRests:
    """Which requests a VM may send to a target that has asked it for rest."""

    @pytest.mark.parametrize(
        ("seconds", "vm", "faults"),
        [
            ((1.0, 1.5, 2.5), "vm-1", 1),
            ((1.0, 1.5), "vm-1", 0),
            ((0.1, 0.2, 0.4, 2.5), "vm-1", 0),
            ((2.9, 3.1, 3.2, 3.3), "vm-1", 0),
            ((1.0, 1.5, 2.5), "vm-2", 0),
        ],
    )
    def test_requests_during_a_rest(self, ledger, monkeypatch, seconds, vm, faults):
        moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: moment)
        ledger.notices.record_request("order-1", "vm-1")
        ledger.notices.record_request("order-2", vm)
        ledger.notices.record_rest("i-1", "order-1", 3.0)
        for seconds_later in seconds:
            moment = 100.0 + seconds_later
            ledger.notices.record_arrival("i-1", "order-2")
        assert len(ledger.find_violations()) == faults


class TestDepartures:
    """Which requests a VM may send to a target that it knows to leave."""

    @pytest.mark.parametrize(
        ("sent_at", "arrives_at", "vm", "ends_at", "faults"),
        [
            (2.1, 2.2, "vm-1", 9.0, 1),
            (1.9, 2.9, "vm-1", 9.0, 0),
            (2.1, 2.2, "vm-2", 9.0, 0),
            (2.1, 2.2, "vm-1", 2.0, 0),
        ],
    )
    def test_requests_to_a_leaving_target(
        self, ledger, monkeypatch, sent_at, arrives_at, vm, ends_at, faults
    ):
        moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: moment)
        notices = ledger.notices
        notices.record_request("order-1", "vm-1")
        notices.record_departure("order-1", "i-1")
        events = [
            (sent_at, notices.record_request, ("order-2", vm)),
            (arrives_at, notices.record_arrival, ("i-1", "order-2")),
            (ends_at, notices.record_target_end, ("i-1",)),
        ]
        for seconds, record, args in sorted(events, key=lambda event: event[0]):
            moment = 100.0 + seconds
            record(*args)
        assert len(ledger.find_violations()) == faults
