"""Tests of changes that cannot be made in place."""

from __future__ import annotations

import pytest
from berylstage_sheet.errors import FaultySheet, TransitionFault
from berylstage_sheet.reader import read_sheet
from berylstage_sheet.transition import check_transition

REFUSED = [
    (("prices,acme,free,4", "prices,acme,owned,4"), 8, "keys"),
    (("10.0.0.1:80", "10.0.0.9:80"), 27, "address"),
    (("orders-2,orders,", "orders-2,prices,"), 28, "service"),
]
ALLOWED = [
    ("south,closed", "south,open"),
    ("acme,owned,16", "acme,owned,32"),
    ("prices,acme,free,4", "prices,acme,free,8"),
    ("orders-1,orders,10.0.0.1:80,north,2", "orders-1,orders,10.0.0.1:80,north,3"),
    ("orders-2,orders,10.0.0.2:80", "orders-3,orders,10.0.0.2:80"),
]


class TestCheckTransition:
    @pytest.mark.parametrize(("change", "row", "column"), REFUSED)
    def test_refused(self, text, edited_sheet, change, row, column):
        # While a revision is being distributed, some VMs use the old revision and some
        # the new one. If the same shard denotes different keys, or the same name
        # different servers, a key has two owners for these seconds and an order may
        # run twice.
        before = read_sheet(text.encode()).cfg
        with pytest.raises(FaultySheet) as caught:
            check_transition(before, read_sheet(edited_sheet(change)))
        (fault,) = caught.value.faults
        assert isinstance(fault, TransitionFault)
        assert (fault.row, fault.column) == (row, column)

    @pytest.mark.parametrize("change", ALLOWED)
    def test_allowed(self, text, edited_sheet, change):
        check_transition(
            read_sheet(text.encode()).cfg, read_sheet(edited_sheet(change))
        )

    def test_first_sheet(self, text):
        check_transition(None, read_sheet(text.encode()))
