"""Tests that the soak's ledger detects violations."""

from __future__ import annotations

import time

import pytest
from soak.ledger import FAULT_EFFECT_SECONDS, SERVED_SECONDS
from soak_fakes import FakeTarget

# Size of the ledger of a soak in which keys move often, and processor seconds for its
# checks.
LARGE_LEDGER_TARGETS = 5
LARGE_LEDGER_RUNS = 1000
LARGE_LEDGER_GRANTS_PER_TARGET = 15
LARGE_LEDGER_CHECK_SECONDS = 5.0


def expires_in(seconds):
    return time.monotonic() + seconds


class TestLedger:
    def test_run_without_faults_has_no_violation(self, ledger):
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer(
            "order-1", "POST", 200, b"answer to order-1", "i-1.order-1"
        )
        ledger.record_answer("order-2", "POST", 503, b"", "")
        assert ledger.find_violations() == []

    def test_order_that_ran_twice(self, ledger):
        # Guards against a retry of an order that has already run.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_run(FakeTarget("i-2"), "order-1", None)
        assert ledger.find_violations() == ["order-1 ran at ['i-1', 'i-2']"]

    def test_upload_that_ran_twice(self, ledger):
        # Uploads are unsafe. Guards against a retry of one whose answer was lost.
        ledger.record_run(FakeTarget("i-1"), "upload-1", None)
        ledger.record_run(FakeTarget("i-2"), "upload-1", None)
        assert ledger.find_violations() == ["upload-1 ran at ['i-1', 'i-2']"]

    def test_process_without_enough_memory(self, ledger):
        # Guards against bodies beyond what permits and budgets allow.
        ledger.memory_excesses.append("i-5 ended")
        assert ledger.find_violations() == ["i-5 ended"]

    def test_lookup_may_run_twice(self, ledger):
        ledger.record_run(FakeTarget("i-1"), "lookup-1", "7")
        ledger.record_run(FakeTarget("i-2"), "lookup-1", "7")
        assert ledger.find_violations() == []

    def test_refusal_of_an_order_that_ran(self, ledger):
        # The caller would take the order as not run and place it again.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer("order-1", "POST", 503, b"", "")
        assert len(ledger.find_violations()) == 1

    @pytest.mark.parametrize(
        ("body", "mark"),
        [
            (b"answer to lookup-2", "i-1.lookup-2"),
            (b"answer to look", "i-1.lookup-1"),
            (b"answer to lookup-1", "i-9.lookup-1"),
        ],
    )
    def test_wrong_answer(self, ledger, body, mark):
        ledger.record_run(FakeTarget("i-1"), "lookup-1", "7")
        ledger.record_answer("lookup-1", "GET", 200, body, mark)
        assert len(ledger.find_violations()) == 1

    def test_keys_with_two_holders(self, ledger):
        # Guards against granting keys that another target still holds.
        ledger.record_grants(FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))]))
        ledger.record_grants(FakeTarget("i-2", [(50, 200, 6, expires_in(3.0))]))
        (fault,) = ledger.find_violations()
        assert fault.startswith("keys 50 to 99 held by i-1 and i-2")

    def test_keys_that_were_released_before(self, ledger):
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))])
        ledger.record_grants(first)
        first.holds = []
        ledger.record_grants(first)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        assert ledger.find_violations() == []

    def test_keys_granted_while_another_target_works_on_them(self, ledger):
        # Guards against taking a target that has closed its port for one that ended.
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))])
        ledger.record_grants(first)
        ledger.record_run(first, "lookup-1", "7")
        first.holds = []
        ledger.record_grants(first)
        time.sleep(0.01)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        time.sleep(0.05)
        ledger.record_run_end(first, "lookup-1")
        (fault,) = ledger.find_violations()
        assert fault.startswith("lookup-1 for key 7 ran at i-1 until")

    @pytest.mark.parametrize("holds", [0.0, 3.0])
    def test_keys_granted_after_work_or_hold_has_ended(self, ledger, holds):
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(holds))])
        ledger.record_grants(first)
        ledger.record_run(first, "lookup-1", "7")
        if holds:
            ledger.record_run_end(first, "lookup-1")
        first.holds = []
        ledger.record_grants(first)
        time.sleep(0.01)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        time.sleep(0.05)
        ledger.record_run_end(first, "lookup-1")
        assert ledger.find_violations() == []

    def test_expired_grant_is_no_new_one(self, ledger):
        # Guards against a target that counts as granted a key anew each time that its
        # other keys are renewed.
        former = FakeTarget("i-1", [(0, 99, 5, expires_in(0.01))])
        ledger.record_grants(former)
        time.sleep(0.02)
        owner = FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))])
        ledger.record_grants(owner)
        ledger.record_run(owner, "lookup-1", "7")
        former.holds.append((100, 199, 7, expires_in(3.0)))
        time.sleep(0.06)
        ledger.record_grants(former)
        time.sleep(0.06)
        ledger.record_run_end(owner, "lookup-1")
        assert ledger.find_violations() == []

    def test_ended_target_holds_nothing(self, ledger):
        first = FakeTarget("i-1", [(0, 99, 5, expires_in(3.0))])
        ledger.record_grants(first)
        ledger.record_target_end(first)
        ledger.record_grants(FakeTarget("i-2", [(0, 99, 6, expires_in(3.0))]))
        assert ledger.find_violations() == []

    def test_checks_of_a_large_ledger_end_in_time(self, ledger):
        # Guards against checks that outlast the soak and the time CI gives it.
        targets = [FakeTarget(f"i-{n}") for n in range(LARGE_LEDGER_TARGETS)]
        for n in range(LARGE_LEDGER_RUNS):
            target = targets[n % LARGE_LEDGER_TARGETS]
            keys = range(LARGE_LEDGER_GRANTS_PER_TARGET)
            target.holds = [(key, key, n, expires_in(3.0)) for key in keys]
            ledger.record_grants(target)
            ledger.record_run(target, f"lookup-{n}", str(n % len(keys)))
            ledger.record_run_end(target, f"lookup-{n}")
        began = time.process_time()
        ledger.find_violations()
        assert time.process_time() - began < LARGE_LEDGER_CHECK_SECONDS


class TestLosses:
    """Which losses a planned stop may cause, and which it may not."""

    @pytest.fixture(autouse=True)
    def _record_request(self, ledger):
        ledger.record_request("order-1", 0)

    @pytest.mark.parametrize("status", [0, 502, 504])
    def test_request_that_ran_without_an_answer(self, ledger, status):
        # The process exits while a target runs an order; the caller can't know whether
        # the order ran.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer("order-1", "POST", status, b"", "")
        assert len(ledger.find_violations()) == 1

    def test_truncated_answer(self, ledger):
        # The process exits with the rest of a download in its buffers.
        ledger.record_answer("order-1", "POST", 0, b"HTTP/1.1 200 OK", "")
        assert len(ledger.find_violations()) == 1

    def test_request_that_ran_and_was_never_answered(self, ledger):
        # The request has no outcome at the end of the run.
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        assert len(ledger.find_violations()) == 1

    def test_request_that_no_target_saw_may_be_retried(self, ledger):
        # The request was in flight when the VM closed its connection.
        ledger.record_answer("order-1", "POST", 0, b"", "")
        assert ledger.find_violations() == []

    def test_complete_answer(self, ledger):
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer(
            "order-1", "POST", 200, b"answer to order-1", "i-1.order-1"
        )
        assert ledger.find_violations() == []

    def test_answer_that_is_shorter_than_requested(self, ledger):
        # Guards against taking a part of a download for all of it.
        ledger.record_request("lookup-1", 90)
        ledger.record_run(FakeTarget("i-1"), "lookup-1", "7")
        body = b"answer to lookup-1".ljust(89, b".")
        ledger.record_answer("lookup-1", "GET", 200, body, "i-1.lookup-1")
        assert len(ledger.find_violations()) == 1

    @pytest.mark.parametrize(
        ("start", "end", "faults"),
        [
            (-1.0, 1.0, 0),
            (-10.0, -FAULT_EFFECT_SECONDS + 0.5, 0),
            (-10.0, -FAULT_EFFECT_SECONDS - 0.5, 1),
            (5.0, 6.0, 1),
        ],
    )
    def test_unplanned_faults_excuse_requests_near_them(
        self, ledger, start, end, faults
    ):
        # A fault that ended long before the request, or began after it, can't have
        # caused the loss.
        began = time.monotonic()
        ledger.record_run(FakeTarget("i-1"), "order-1", None)
        ledger.record_answer("order-1", "POST", 0, b"", "")
        ledger.record_unplanned_fault(began + start, began + end)
        assert len(ledger.find_violations()) == faults

    @pytest.mark.parametrize(("status", "faults"), [(0, 0), (1, 1), (-9, 1), (None, 1)])
    def test_stop_that_does_not_end_cleanly(self, ledger, status, faults):
        # The platform kills a VM that still runs when its stop time is over.
        ledger.record_stop("vm-1", time.monotonic() - 6.0, status)
        assert len(ledger.find_violations()) == faults


class TestRequestsDroppedAtStops:
    """Requests that end without an answer, sent and dropped after a SIGTERM."""

    def find_violations(self, ledger, sent_after, status=0, vm="vm-1"):
        """Return the violations with a stop that began some seconds before."""
        ledger.record_request("order-1", 0, "vm-1")
        ledger.record_sent("order-1")
        ledger.record_answer("order-1", "POST", status, b"", "")
        ledger.record_stop(vm, time.monotonic() - sent_after, 0)
        return ledger.find_violations()

    @pytest.mark.parametrize(
        ("sent_after", "faults"),
        [(0.1, 1), (SERVED_SECONDS - 0.1, 1), (SERVED_SECONDS + 0.1, 0)],
    )
    def test_request_in_the_accept_queue(self, ledger, sent_after, faults):
        # Guards against a VM that resets connections which it has not accepted.
        assert len(self.find_violations(ledger, sent_after)) == faults

    def test_honest_refusal(self, ledger):
        assert self.find_violations(ledger, 1.0, status=503) == []

    def test_stop_of_another_vm(self, ledger):
        assert self.find_violations(ledger, 1.0, vm="vm-2") == []

    def test_request_that_was_not_sent_whole(self, ledger):
        # The VM can't have read it.
        ledger.record_request("order-1", 0, "vm-1")
        ledger.record_answer("order-1", "POST", 0, b"", "")
        ledger.record_stop("vm-1", time.monotonic() - 1.0, 0)
        assert ledger.find_violations() == []

    def test_request_behind_the_last_answer(self, ledger):
        # A VM that answered with the close of the connection takes none behind it.
        ledger.record_request("order-1", 0, "vm-1")
        ledger.record_sent("order-1")
        ledger.record_not_expected("order-1")
        ledger.record_answer("order-1", "POST", 0, b"", "")
        ledger.record_stop("vm-1", time.monotonic() - 1.0, 0)
        assert ledger.find_violations() == []
