"""Tests of the operators' threshold overrides."""

from __future__ import annotations

import pytest
from berylstage_policy.errors import ThresholdError
from berylstage_policy.threshold_table import TABLE
from berylstage_policy.thresholds import Thresholds, check_overrides


class TestTable:
    @pytest.mark.parametrize("row", TABLE.values(), ids=lambda row: row.name)
    def test_default_is_in_range_and_explained(self, row):
        assert row.low <= row.default <= row.high
        assert row.unit
        assert row.rationale.endswith(".")


class TestOverrides:
    def test_override_is_in_force_and_others_stay(self):
        thresholds = Thresholds({"queue_limit": 64.0})
        assert thresholds["queue_limit"] == 64.0
        assert thresholds["balance_high"] == TABLE["balance_high"].default

    def test_all_errors_are_reported_together_with_remedies(self):
        # One name is misspelt, one value is out of range, and one threshold is not
        # overridable. Reporting them one by one would cost three exports of the sheet.
        with pytest.raises(ExceptionGroup) as caught:
            Thresholds({"queue_limt": 1.0, "balance_high": 99.0, "down_after": 9.0})
        messages = [str(exc) for exc in caught.value.exceptions]
        assert all(isinstance(e, ThresholdError) for e in caught.value.exceptions)
        assert "set it between 1.02 and 3" in messages[0]
        assert "remove it from the sheet" in messages[1]
        assert "use one of" in messages[2]

    def test_not_a_number_is_refused(self):
        assert len(check_overrides({"queue_limit": float("nan")})) == 1

    def test_settled_bound_beyond_its_trigger_is_refused(self):
        # If the stop bound lies beyond the start bound, balancing begins and never
        # ends.
        errors = check_overrides({"balance_settled_high": 1.5})
        assert "balance_high" in str(errors[0])
