"""Requests that may not be repeated, over moves, losses and a full table."""

from __future__ import annotations

import pytest
from berylstage_ownership.idempotency import (
    CALLER_LEAD_MS,
    CALLER_SKEW_MS,
    VM_SKEW_MS,
    IdempotencyTable,
    Verdict,
)
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule, run_state_machine_as_test

SHARD = "parts/3"
START = 1_000_000
SERVED = START + VM_SKEW_MS + CALLER_LEAD_MS + 1


@pytest.fixture
def table():
    found = IdempotencyTable(capacity=3, body_bytes=800)
    found.gain(SHARD, START)
    return found


def admit(table, key, issued=SERVED, wall=SERVED):
    return table.admit(SHARD, key, issued, wall).verdict


class TestRepeatedRequest:
    def test_gets_the_first_answer(self, table):
        assert admit(table, "a") is Verdict.RUN
        assert admit(table, "a") is Verdict.IN_PROGRESS
        table.answered(SHARD, "a", 201, b"sent", "text/plain")
        again = table.admit(SHARD, "a", SERVED, SERVED)
        assert again.verdict is Verdict.ANSWERED
        assert (again.record.status, again.record.body) == (201, b"sent")

    def test_stays_unknown(self, table):
        # The target was lost after the order went out. Sent again, the motor might be
        # shipped twice.
        admit(table, "a")
        table.unknown(SHARD, "a")
        assert admit(table, "a") is Verdict.UNKNOWN

    def test_runs_after_a_refusal(self, table):
        admit(table, "a")
        table.not_run(SHARD, "a")
        assert admit(table, "a") is Verdict.RUN


class TestFloor:
    def test_refuses_what_the_lost_vm_may_have_let_in(self, table):
        # The VM that knew of the request is lost, and the caller tries again through
        # another one, which must not take it for new.
        assert admit(table, "a", issued=SERVED - 1) is Verdict.NOT_FRESH

    def test_refuses_all_of_a_shard_never_gained(self):
        table = IdempotencyTable()
        assert admit(table, "a") is Verdict.NOT_FRESH

    def test_a_fast_clock_cannot_leap_over_a_later_floor(self, table):
        # A caller's clock is an hour ahead. Let in, its request would lie above the
        # floor of the next VM and could run there again.
        far = SERVED + CALLER_SKEW_MS + 1
        assert admit(table, "a", issued=far) is Verdict.FROM_THE_FUTURE

    def test_a_clock_somewhat_ahead_waits(self, table):
        # A caller's clock is half a second ahead. Its request waits for that long
        # instead of lying above the floor of whichever VM comes next.
        issued = SERVED + CALLER_LEAD_MS + 1
        assert admit(table, "a", issued=issued) is Verdict.EARLY
        assert admit(table, "a", issued=issued, wall=SERVED + 1) is Verdict.RUN

    def test_covers_the_difference_of_two_vms_clocks(self):
        # The lost VM's clock was ahead and its caller's still further; the next VM's
        # clock is behind. What the first let in last must not be new to the second.
        first, second = IdempotencyTable(), IdempotencyTable()
        first.gain(SHARD, START)
        wall = START + 10 * CALLER_SKEW_MS
        ahead, behind = wall + VM_SKEW_MS // 2, wall - VM_SKEW_MS // 2
        issued = ahead + CALLER_LEAD_MS
        assert admit(first, "a", issued, ahead) is Verdict.RUN
        second.gain(SHARD, behind)
        assert admit(second, "a", issued, behind + 60_000) is Verdict.NOT_FRESH

    def test_rises_when_a_record_is_given_up(self, table):
        # The table is full. The oldest record goes, and its request is refused from
        # then on instead of being run again.
        for age, key in enumerate("abc"):
            admit(table, key, issued=SERVED + age)
            table.answered(SHARD, key, 200, b"", "")
        assert admit(table, "d", issued=SERVED + 9) is Verdict.RUN
        assert admit(table, "a") is Verdict.NOT_FRESH
        assert len(table) == 3

    def test_work_in_progress_is_never_given_up(self, table):
        for key in "abc":
            admit(table, key)
        assert admit(table, "d") is Verdict.FULL
        assert admit(table, "a") is Verdict.IN_PROGRESS


class TestBodies:
    def test_push_out_older_answers(self, table):
        for age, key in enumerate("abc"):
            admit(table, key, issued=SERVED + age)
        for key in "abc":
            table.answered(SHARD, key, 200, b"x" * 100, "")
        table = IdempotencyTable(capacity=100, body_bytes=800)
        table.gain(SHARD, START)
        for age in range(9):
            admit(table, str(age), issued=SERVED + age)
            table.answered(SHARD, str(age), 200, b"x" * 100, "")
        assert admit(table, "0") is Verdict.NOT_FRESH
        assert admit(table, "8") is Verdict.ANSWERED

    def test_too_large_to_keep_is_unknown_and_never_new(self, table):
        admit(table, "a")
        table.answered(SHARD, "a", 200, b"x" * 500, "")
        assert admit(table, "a") is Verdict.UNKNOWN


class TestHandover:
    def test_keeps_records_and_floor(self, table):
        # A shard moves on purpose. The caller repeats a request through the new VM and
        # gets its first answer, and new requests are not refused meanwhile.
        admit(table, "a")
        table.answered(SHARD, "a", 200, b"ok", "")
        table.lose(SHARD)
        other = IdempotencyTable()
        other.take_over(SHARD, [table.export(SHARD)])
        assert admit(other, "a") is Verdict.ANSWERED
        assert admit(other, "b") is Verdict.RUN
        assert admit(table, "c") is Verdict.NOT_FRESH

    def test_too_large_is_not_handed_over(self):
        table = IdempotencyTable()
        table.gain(SHARD, START)
        for number in range(100):
            admit(table, str(number))
            table.answered(SHARD, str(number), 200, b"x" * 1000, "")
        assert table.export(SHARD) is None


class AtMostOnce(RuleBasedStateMachine):
    """Callers repeat requests while a shard goes from VM to VM."""

    def __init__(self):
        super().__init__()
        self.wall = START
        self.skews = [0, -VM_SKEW_MS // 2, VM_SKEW_MS // 2]
        self.tables = [IdempotencyTable(capacity=2) for _ in self.skews]
        self.holder = 0
        self.tables[0].gain(SHARD, self.clock())
        self.wall += 2 * CALLER_SKEW_MS
        self.issued = {}
        self.ran = {}

    def clock(self):
        return self.wall + self.skews[self.holder]

    @rule(after=st.sampled_from([0, 1, 100, 300, 1000, 2000]))
    def time_passes(self, after):
        self.wall += after

    @rule(
        key=st.integers(0, 5),
        lead=st.sampled_from([-300, 0, 100, 400, 900, 1000, 1100]),
    )
    def request(self, key, lead):
        issued = self.issued.setdefault(key, self.wall + lead)
        table = self.tables[self.holder]
        decision = table.admit(SHARD, str(key), issued, self.clock())
        if decision.verdict is Verdict.RUN:
            self.ran[key] = self.ran.get(key, 0) + 1
            assert self.ran[key] == 1

    @rule(end=st.sampled_from(["answered", "unknown"]))
    def all_end(self, end):
        table = self.tables[self.holder]
        for key in self.issued:
            if end == "answered":
                table.answered(SHARD, str(key), 200, b"", "")
            else:
                table.unknown(SHARD, str(key))

    @rule(other=st.integers(0, 2), planned=st.booleans())
    def shard_moves(self, other, planned):
        if other == self.holder:
            return
        before = self.tables[self.holder]
        before.lose(SHARD)
        handed = before.export(SHARD)
        self.holder = other
        if planned and handed is not None:
            self.tables[other].take_over(SHARD, [handed])
        else:
            self.tables[other].gain(SHARD, self.clock())

    @rule()
    def vm_restarts(self):
        self.tables[self.holder] = IdempotencyTable(capacity=2)
        self.tables[self.holder].gain(SHARD, self.clock())


class TestAtMostOnce:
    def test_over_moves_losses_and_a_full_table(self):
        # A caller repeats a fee payment through whichever VM answers, while the VM
        # that knew of it is lost, replaced, or short of memory. It is charged once.
        run_state_machine_as_test(
            AtMostOnce,
            settings=settings(
                max_examples=400,
                stateful_step_count=30,
                derandomize=True,
                deadline=None,
                database=None,
            ),
        )
