"""Tests of the difference between two configurations."""

from __future__ import annotations

import pytest
from berylstage_sheet.difference import Weight, compare
from berylstage_sheet.reader import read_sheet

PRICES_1 = "prices-1,prices,10.0.0.3:80,north,2,120,no,active\n"
PRICES_2 = "prices-2,prices,10.0.0.4:80,north,2,120,no,active\n"
CHANGES = [
    (("owned,16", "owned,32"), 2, "service orders: shards 16 -> 32"),
    (("south,closed", "south,open"), 2, "data centre south: state closed -> open"),
    (("no,leaving", "no,active"), 2, "target orders-2: state leaving -> active"),
    (("south,joining", "south,active"), 2, "VM south-1: state joining -> active"),
    (("no,5000", "no,6000"), 3, "kind orders place: deadline ms 5000 -> 6000"),
    (
        ("prices,hot,\n", "prices,hot,prices-1\n"),
        2,
        "key prices hot: target (empty) -> prices-1",
    ),
    (("prices,hot,\n", ""), 2, "key prices hot: removed"),
    (
        ("queue.limit,0.5\n", "queue.limit,0.7\n"),
        3,
        "threshold queue.limit: value 0.5 -> 0.7",
    ),
    (
        (PRICES_1, PRICES_1 + PRICES_2),
        2,
        "target prices-2: added (service prices, address 10.0.0.4:80, data centre "
        "north, slots 2, connections 120, checks fences no, state active)",
    ),
]


class TestCompare:
    @pytest.mark.parametrize(("change", "weight", "words"), CHANGES)
    def test_one_change(self, text, edited_sheet, change, weight, words):
        before = read_sheet(text.encode()).cfg
        (found,) = compare(before, read_sheet(edited_sheet(change)).cfg)
        assert str(found) == words
        assert found.weight is Weight(weight)

    def test_orders_changes_by_weight(self, text, edited_sheet):
        after = read_sheet(text.encode()).cfg
        before = read_sheet(
            edited_sheet(
                ("south,closed", "south,open"),
                ("no,leaving", "no,active"),
                (PRICES_1, PRICES_1 + PRICES_2),
                ("no,5000", "no,6000"),
                ("prices,hot,\n", "prices,other,\n"),
            )
        ).cfg
        assert [str(change) for change in compare(before, after)] == [
            "data centre south: state open -> closed",
            "target orders-2: state active -> leaving",
            "target prices-2: removed",
            "key prices hot: added",
            "key prices other: removed",
            "kind orders place: deadline ms 6000 -> 5000",
        ]

    def test_first_sheet_adds_everything(self, text):
        changes = compare(None, read_sheet(text.encode()).cfg)
        assert len(changes) == 14
        assert {type(change).__name__ for change in changes} == {"Added"}
