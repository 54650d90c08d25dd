"""Tests of the check of a sheet's thresholds."""

from __future__ import annotations

import json

import pytest
from berylstage_cli.exit_codes import ExitCode

# Overrides, and the rows of the section in which a fault is reported.
USABLE = [
    {"balance_high": 1.2},
    # The first one alone would be above the default of the second.
    {"balance_settled_high": 1.2, "balance_high": 1.3},
]
REFUSED = [
    ({"no_such": 1.0}, [0]),
    ({"balance_high": -1.0}, [0]),
    ({"balance_high": 1.06, "balance_settled_high": 1.09}, [1]),
    ({"balance_high": 1.2, "no_such": 1.0, "neither": 2.0}, [1, 2]),
    ({"balance_high": 1.2, "balance_higher": 1.2}, [1]),
]


@pytest.fixture
def check(run, text):
    """Return a function that checks a sheet with overrides."""

    def check_sheet(overrides, spoil=("", "")):
        rows = "".join(f"{name},{value}\n" for name, value in overrides.items())
        sheet = f"{text.replace(*spoil)}\nthresholds\nname,value\n{rows}"
        first = sheet[: sheet.index("name,value")].count("\n") + 2
        tester = run("check SHEET --json", sheet)
        doc = json.loads(tester.io.fetch_output())
        return tester.status_code, [fault["row"] - first for fault in doc["faults"]]

    return check_sheet


class TestThresholds:
    @pytest.mark.parametrize("overrides", USABLE)
    def test_usable_overrides_pass(self, check, overrides):
        assert check(overrides) == (ExitCode.OK, [])

    @pytest.mark.parametrize(("overrides", "rows"), REFUSED)
    def test_others_are_refused(self, check, overrides, rows):
        # An operator mistypes a threshold. Accepted, the sheet would reach every VM,
        # and none of them could use it.
        assert check(overrides) == (ExitCode.FAULTY_SHEET, rows)

    def test_told_together_with_other_faults(self, check):
        # The sheet has a fault elsewhere as well: one run of the check tells both.
        code, rows = check({"no_such": 1.0}, ("owned,16", "owned,x"))
        assert code == ExitCode.FAULTY_SHEET
        assert len(rows) == 2
