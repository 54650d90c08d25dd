"""Tests of what callers must be served while links are cut."""

from __future__ import annotations

import time

import pytest
from soak.cuts import CONTACT_SECONDS
from soak_fakes import FakeTarget


class TestCutLedger:
    """What callers must be served while VMs are cut off from targets."""

    def find(self, ledger, monkeypatch, inside, outside, sent_at=CONTACT_SECONDS):
        """Return the violations of requests, each side as (served, failed)."""
        moment = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: moment)
        cut = ledger.cuts.record_begin(["vm-1"], "cut")
        moment += sent_at
        for vm, (served, failed) in (("vm-1", inside), ("vm-2", outside)):
            for n, status in enumerate(served * [200] + failed * [503]):
                ledger.record_request(f"lookup-{vm}-{n}", 0, vm)
                ledger.record_run(FakeTarget("i-1"), f"lookup-{vm}-{n}", "7")
                body = f"answer to lookup-{vm}-{n}".encode()
                sign = f"i-1.lookup-{vm}-{n}"
                ledger.record_answer(f"lookup-{vm}-{n}", "GET", status, body, sign)
        moment += 1.0
        ledger.cuts.record_end(cut)
        return ledger.find_violations()

    @pytest.mark.parametrize(
        ("inside", "outside", "faults"),
        [
            ((0, 14), (100, 0), 1),
            ((14, 14), (100, 0), 1),
            ((60, 14), (100, 0), 0),
            ((0, 12), (100, 0), 0),
            ((100, 0), (100, 20), 1),
            ((100, 0), (100, 12), 0),
        ],
    )
    def test_callers_of_cut_vms_and_of_the_others(
        self, ledger, monkeypatch, inside, outside, faults
    ):
        assert len(self.find(ledger, monkeypatch, inside, outside)) == faults

    def test_requests_before_the_cut_has_settled_do_not_count(
        self, ledger, monkeypatch
    ):
        found = self.find(ledger, monkeypatch, (0, 50), (0, 50), CONTACT_SECONDS - 0.1)
        assert found == []
