"""Tests that the soak finds what must never be."""

from __future__ import annotations

import sys
import time
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from soak.ledger import Ledger


class Target:
    """A target as the ledger sees it."""

    def __init__(self, name, holds=()):
        self.name = name
        self.life = 1
        self.holds = list(holds)


@pytest.fixture
def ledger():
    return Ledger()


def until(seconds):
    return time.monotonic() + seconds


class TestLedger:
    def test_calm_play_has_no_fault(self, ledger):
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", 200, b"answer to order-1", "i-1.order-1")
        ledger.answered("order-2", "POST", 503, b"", "")
        assert ledger.faults() == []

    def test_order_that_ran_twice(self, ledger):
        # A repeat went out after the first answer was lost, and a second motor ships.
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.ran(Target("i-2"), "order-1", None)
        assert ledger.faults() == ["order-1 ran at ['i-1', 'i-2']"]

    def test_lookup_may_run_twice(self, ledger):
        ledger.ran(Target("i-1"), "lookup-1", "7")
        ledger.ran(Target("i-2"), "lookup-1", "7")
        assert ledger.faults() == []

    def test_refusal_of_an_order_that_ran(self, ledger):
        # The caller is told that its order has not run, and places it again.
        ledger.ran(Target("i-1"), "order-1", None)
        ledger.answered("order-1", "POST", 503, b"", "")
        assert len(ledger.faults()) == 1

    @pytest.mark.parametrize(
        ("body", "mark"),
        [
            (b"answer to lookup-2", "i-1.lookup-2"),
            (b"answer to look", "i-1.lookup-1"),
            (b"answer to lookup-1", "i-9.lookup-1"),
        ],
    )
    def test_answer_that_is_not_the_request_s_own(self, ledger, body, mark):
        ledger.ran(Target("i-1"), "lookup-1", "7")
        ledger.answered("lookup-1", "GET", 200, body, mark)
        assert len(ledger.faults()) == 1

    def test_keys_with_two_holders(self, ledger):
        # A target keeps its keys while another one is granted some of them.
        ledger.held(Target("i-1", [(0, 99, 5, until(3.0))]))
        ledger.held(Target("i-2", [(50, 200, 6, until(3.0))]))
        (fault,) = ledger.faults()
        assert fault.startswith("keys 50 to 99 held by i-1 and i-2")

    def test_keys_that_were_released_before(self, ledger):
        first = Target("i-1", [(0, 99, 5, until(3.0))])
        ledger.held(first)
        first.holds = []
        ledger.held(first)
        ledger.held(Target("i-2", [(0, 99, 6, until(3.0))]))
        assert ledger.faults() == []

    def test_target_that_ended_holds_nothing(self, ledger):
        first = Target("i-1", [(0, 99, 5, until(3.0))])
        ledger.held(first)
        ledger.ended(first)
        ledger.held(Target("i-2", [(0, 99, 6, until(3.0))]))
        assert ledger.faults() == []
