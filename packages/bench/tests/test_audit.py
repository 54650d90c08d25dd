"""Tests of the audit: what it must find in ledgers."""

from __future__ import annotations

import json

import pytest
from berylstage_bench.attempts import Attempt, Request
from berylstage_bench.audit import audit
from berylstage_standins.call_record import CallOutcome, CallRecord

DIGEST = "d1"


def attempt(request_id, key, outcome):
    """Return one attempt at the order."""
    record = CallRecord(
        service="parts-desk",
        kind="dispatch",
        key="depot-1",
        digest=DIGEST,
        idempotency_key=key,
        vm="almaty-a-1",
        outcome=outcome,
        status=200,
        reason="",
        own=True,
        start=0.0,
        end=1.0,
    )
    return Attempt(request_id, record)


def ran(request_id, key, start):
    """Return the line of a ledger for the order."""
    return {
        "event": "ran",
        "outcome": "done",
        "service": "parts-desk",
        "kind": "dispatch",
        "key": "depot-1",
        "request_id": f"{request_id}#0",
        "idempotency_key": key,
        "digest": DIGEST,
        "fence": 3,
        "arrived_wall": start,
        "start": start,
        "end": start + 0.1,
    }


@pytest.fixture
def ledger(tmp_path):
    """Return a function that writes a ledger and returns its folder."""

    def write(*lines):
        started = {
            "event": "started",
            "target": "parts-desk-01",
            "data_centre": "almaty-a",
        }
        text = "".join(json.dumps(line) + "\n" for line in (started, *lines))
        (tmp_path / "parts-desk-01.ledger").write_text(text)
        return tmp_path

    return write


class TestAudit:
    def test_an_order_under_two_keys_ran_twice(self, ledger):
        # The first attempt was called not run, so that the caller issued the order as
        # new. Both ran: no key shows it, but the customer gets two motors.
        req = Request("dispatch", False, DIGEST)
        req.attempts = [
            attempt("r1", "k1", CallOutcome.NOT_RUN),
            attempt("r2", "k2", CallOutcome.ANSWERED),
        ]
        folder = ledger(ran("r1", "k1", 1.0), ran("r2", "k2", 2.0))
        found = audit(folder, [req], [])
        assert len(found.broken[found.RUN_TWICE]) == 1
        assert "attempt r1" in found.broken[found.NOT_RUN]

    def test_an_order_that_ran_once_is_no_finding(self, ledger):
        req = Request("dispatch", False, DIGEST)
        req.attempts = [
            attempt("r1", "k1", CallOutcome.NOT_RUN),
            attempt("r2", "k2", CallOutcome.ANSWERED),
        ]
        assert audit(ledger(ran("r2", "k2", 2.0)), [req], []).hold()
