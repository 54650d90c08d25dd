"""Tests of the thresholds that a configuration overrides."""

from __future__ import annotations

from berylstage_daemon.thresholds import thresholds_of
from berylstage_policy.thresholds import Thresholds
from berylstage_sheet.configuration import Configuration


class TestThresholdsOf:
    def test_overrides_are_in_force(self):
        cfg = Configuration(1, {}, {}, {}, {}, [], {"balance_high": 1.3})
        assert thresholds_of(cfg)["balance_high"] == 1.3

    def test_unusable_override_leaves_the_defaults(self):
        # A sheet that another version's command line accepted has a threshold that
        # this VM does not know. Raised here, the error would keep the whole revision
        # from taking hold, and a closed data centre would go on getting work.
        cfg = Configuration(1, {}, {}, {}, {}, [], {"no_such": 1.0})
        found = thresholds_of(cfg)
        assert found["balance_high"] == Thresholds()["balance_high"]
