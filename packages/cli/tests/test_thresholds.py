"""Tests of the check of a sheet's thresholds."""

from __future__ import annotations

import pytest
from berylstage_cli.thresholds import check_thresholds
from berylstage_sheet.columns import THRESHOLDS
from berylstage_sheet.configuration import Configuration
from berylstage_sheet.errors import FaultySheet, Place
from berylstage_sheet.reader import Sheet


class FakeSheet(Sheet):
    """A sheet with thresholds and nothing else."""

    def __init__(self, thresholds):
        cfg = Configuration(0, {}, {}, {}, {}, [], thresholds)
        super().__init__(cfg, None, None)

    def place(self, section, name, column):
        assert section is THRESHOLDS
        return Place(0)


class TestCheckThresholds:
    def test_usable_overrides_pass(self):
        check_thresholds(FakeSheet({"balance_high": 1.2}))

    @pytest.mark.parametrize(
        "thresholds",
        [
            {"no_such": 1.0},
            {"balance_high": -1.0},
            {"balance_high": 1.06, "balance_settled_high": 1.09},
        ],
    )
    def test_others_are_refused(self, thresholds):
        # An operator mistypes a threshold. Accepted, the sheet would reach every VM,
        # and none of them could use it.
        with pytest.raises(FaultySheet):
            check_thresholds(FakeSheet(thresholds))
