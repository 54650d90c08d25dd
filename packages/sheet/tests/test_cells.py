"""Tests of the cell types."""

from __future__ import annotations

import pytest
from berylstage_sheet.cells import (
    AddressCell,
    ChoiceCell,
    IntegerCell,
    InvalidCellError,
    KeyCell,
    NameCell,
    NumberCell,
    TextCell,
    ThresholdCell,
    YesNoCell,
)
from berylstage_sheet.configuration import MemberState

VALID_CELLS = [
    (NameCell(), "almaty-a", "almaty-a"),
    (NameCell(), "x" * 63, "x" * 63),
    (KeyCell(), "дом/7 =1+1", "дом/7 =1+1"),
    (YesNoCell(), "YES", True),
    (YesNoCell(), "no", False),
    (ChoiceCell(MemberState.ACTIVE), "Active", MemberState.ACTIVE),
    (IntegerCell(1, 10), "10", 10),
    (NumberCell(), "0,5", 0.5),
    (NumberCell(), "-2", -2.0),
    (ThresholdCell(), "queue.limit_ms", "queue.limit_ms"),
    (AddressCell(), "10.0.0.1:080", "10.0.0.1:80"),
    (AddressCell(), "[0::1]:80", "[::1]:80"),
]
INVALID_CELLS = [
    (NameCell(), "x" * 64, "63 at most"),
    (NameCell(), "a b", "letters, digits and dashes"),
    (NameCell(), "a/b", "letters, digits and dashes"),
    (NameCell(), "-a", "letters, digits and dashes"),
    (NameCell(), "алматы", "letters, digits and dashes"),
    (KeyCell(), "k" * 257, "256 at most"),
    (KeyCell(), "a\x00b", "remove it"),
    (TextCell(), "a\nb", "one line"),
    (ThresholdCell(), "1st", "thresholds' table"),
    (YesNoCell(), "true", "`yes` or `no`"),
    (ChoiceCell(MemberState.ACTIVE), "leaving", "use `active`"),
    (IntegerCell(1, 10), "0", "from 1 to 10"),
    (IntegerCell(1, 10), "11", "from 1 to 10"),
    (IntegerCell(1, 10), "9" * 100_000, "from 1 to 10"),
    (IntegerCell(1, 10), "2.0", "from 1 to 10"),
    (IntegerCell(1, 10), "²", "from 1 to 10"),
    (NumberCell(), "nan", "like 0.5"),
    (NumberCell(), "fast", "like 0.5"),
    (AddressCell(), "localhost:80", "IP number and port"),
    (AddressCell(), "10.0.0.1", "IP number and port"),
    (AddressCell(), "10.0.0.1:", "IP number and port"),
    (AddressCell(), "10.0.0.1:0", "use 1 to 65535"),
    (AddressCell(), "10.0.0.1:65536", "use 1 to 65535"),
]


class TestCells:
    @pytest.mark.parametrize(("cell", "text", "value"), VALID_CELLS)
    def test_reads_valid_text(self, cell, text, value):
        assert cell.read(text) == value

    @pytest.mark.parametrize(("cell", "text", "remedy"), INVALID_CELLS)
    def test_names_the_remedy(self, cell, text, remedy):
        # An operator who mistypes a cell sees only the fault's message, which must
        # therefore name the valid values.
        with pytest.raises(InvalidCellError) as caught:
            cell.read(text)
        assert remedy in caught.value.remedy

    @pytest.mark.parametrize("cell", {type(c): c for c, *_ in VALID_CELLS}.values())
    def test_describes_valid_values(self, cell):
        assert cell.describe()
