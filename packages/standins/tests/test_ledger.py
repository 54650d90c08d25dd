"""Tests of the invariant checks on the targets' ledgers."""

from __future__ import annotations

import pytest
from berylstage_standins.call_record import CallOutcome, CallRecord
from berylstage_standins.ledger import (
    Closure,
    Findings,
    Ledger,
    Run,
    check,
    read_ledger,
)
from berylstage_standins.ledger_writer import RAN, STARTED, LedgerWriter


def run_on(target, start, end, **fields):
    """Return an execution for key-1 with fence token 5."""
    doc = {
        "service": "parts-desk",
        "key": "key-1",
        "request_id": f"{target}-{start}",
        "idempotency_key": "",
        "digest": f"{target}-{start}",
        "fence": 5,
        "arrived_wall": start,
        "start": start,
        "end": end,
    }
    return Run(target, "shymkent-a", {**doc, **fields})


def call(outcome, digest="d", own=True):
    """Return the record of one attempt of a caller."""
    return CallRecord(
        service="parts-desk",
        kind="order",
        key="key-1",
        digest=digest,
        idempotency_key="",
        vm="vm-1",
        outcome=outcome,
        status=0,
        reason="",
        own=own,
        start=0.0,
        end=1.0,
    )


ORDER = {"idempotency_key": "order-1"}

# Executions and the invariants that they violate.
HISTORIES = {
    "one after the other on one target": (
        [run_on("a", 0, 1), run_on("a", 1, 2)],
        [],
    ),
    "at once on one target": ([run_on("a", 0, 2), run_on("a", 1, 3)], []),
    "moved properly": ([run_on("a", 0, 1), run_on("b", 1, 2, fence=6)], []),
    "at once on two targets": (
        [run_on("a", 0, 2), run_on("b", 1, 3, fence=6)],
        [Findings.TWO_OWNERS],
    ),
    "within a longer run on another target": (
        [run_on("a", 0, 9), run_on("a", 1, 2), run_on("b", 3, 4)],
        [Findings.TWO_OWNERS],
    ),
    "at once on two targets, other keys": (
        [run_on("a", 0, 2), run_on("b", 1, 3, key="key-2")],
        [],
    ),
    "at once on two targets, keys that nobody owns": (
        [run_on("a", 0, 2, fence=0), run_on("b", 1, 3, fence=0)],
        [],
    ),
    "the old owner after the new one": (
        [run_on("b", 0, 1, fence=6), run_on("a", 2, 3)],
        [Findings.FENCE_REGRESSION],
    ),
    "an order twice": (
        [run_on("a", 0, 1, **ORDER), run_on("a", 2, 3, **ORDER)],
        [Findings.RUN_TWICE],
    ),
    "two orders": (
        [run_on("a", 0, 1, **ORDER), run_on("a", 2, 3, idempotency_key="order-2")],
        [],
    ),
}

# Attempts of a caller, whether the work ran, and the violated invariants.
ATTEMPTS = {
    "answered": ([call(CallOutcome.ANSWERED)], True, []),
    "not run": ([call(CallOutcome.NOT_RUN)], False, []),
    "not run, but it ran": ([call(CallOutcome.NOT_RUN)], True, [Findings.NOT_RUN]),
    "not sent, but it ran": ([call(CallOutcome.NOT_SENT)], True, [Findings.NOT_RUN]),
    "not run, then answered": (
        [call(CallOutcome.NOT_RUN), call(CallOutcome.ANSWERED)],
        True,
        [],
    ),
    "unknown, and it ran": ([call(CallOutcome.UNKNOWN)], True, []),
    "unknown, and it did not": ([call(CallOutcome.UNKNOWN)], False, []),
    "lost, and it ran": ([call(CallOutcome.LOST)], True, []),
    "answered, but it did not run": (
        [call(CallOutcome.ANSWERED)],
        False,
        [Findings.NO_RUN],
    ),
    "another's answer": (
        [call(CallOutcome.ANSWERED, own=False)],
        True,
        [Findings.NOT_OWN],
    ),
}


def make_ledgers(runs):
    """Return the ledger of one target in shymkent-a, as a list."""
    return [Ledger("shymkent-a", runs, 0, 1)]


def violated_invariants(found):
    """Return the names of the violated invariants."""
    return [name for name, sentences in found.broken.items() if sentences]


class TestCheck:
    @pytest.mark.parametrize("name", HISTORIES)
    def test_histories(self, name):
        runs, expected = HISTORIES[name]
        found = check(make_ledgers(runs))
        assert violated_invariants(found) == expected
        assert found.hold() == (not expected)

    @pytest.mark.parametrize("name", ATTEMPTS)
    def test_attempts(self, name):
        calls, ran, expected = ATTEMPTS[name]
        runs = [run_on("a", 0, 1, digest="d")] if ran else []
        assert violated_invariants(check(make_ledgers(runs), calls=calls)) == expected

    @pytest.mark.parametrize(
        ("arrived", "expected"),
        [(9, 0), (12.9, 0), (13, 1), (19.9, 1), (20, 0)],
    )
    def test_work_in_a_closed_data_centre(self, arrived, expected):
        # Operators close shymkent-a at 10 and reopen it at 20. A VM that has not
        # received the change still sends work there.
        runs = [run_on("a", 0, 30, arrived_wall=arrived)]
        found = check(make_ledgers(runs), [Closure("shymkent-a", 10.0, 20.0)])
        assert len(found.broken[found.CLOSED]) == expected

    def test_a_data_centre_missing_from_all_ledgers_is_an_error(self):
        # The targets were started without a data centre, so that the check can detect
        # no violation. It must fail instead of reporting none.
        ledgers = [Ledger("", [], 0, 1)]
        with pytest.raises(ValueError, match="--data-centre"):
            check(ledgers, [Closure("shymkent-a", 10.0)])

    def test_cold_bounds(self):
        found = check([Ledger("a", [], 2, 1), Ledger("b", [], 0, 1)])
        assert len(found.broken[found.COLD]) == 2


class TestReadLedger:
    def test_fenced_work_and_an_incomplete_line_are_skipped(self, tmp_path):
        # The target is killed while it writes a line. Its answer was never sent, so
        # the reader skips the line instead of failing on it.
        path = tmp_path / "a.jsonl"
        fields = {n: getattr(run_on("a", 0, 1), n) for n in Run.__slots__}
        writer = LedgerWriter(path)
        writer.append({"event": STARTED, "target": "a", "data_centre": "taraz-a"})
        writer.append({"event": RAN, "outcome": "done", **fields})
        writer.append({"event": RAN, "outcome": "fenced", **fields})
        writer.close()
        path.write_bytes(path.read_bytes() + b'{"event": "ran", "outc')
        ledger = read_ledger(path)
        assert [run.data_centre for run in ledger.runs] == ["taraz-a"]
        assert ledger.starts == 1
