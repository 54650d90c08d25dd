"""Tests of the example sheets."""

from __future__ import annotations

from pathlib import Path

import pytest
from berylstage_sheet.configuration import Ownership
from berylstage_sheet.reader import read_sheet

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
TARGET_COUNTS = {
    "saryarka": {"field-log": 12, "parts-desk": 8, "contract-book": 12},
    "gyeongbuk": {"slotdesk": 13, "seatledger": 8, "coursebook": 12},
    "demo": {"field-log": 4, "parts-desk": 4, "contract-book": 4},
}
FREE_SERVICES = {"contract-book", "coursebook"}


class TestExamples:
    @pytest.mark.parametrize("name", TARGET_COUNTS)
    def test_has_no_faults_and_expected_target_counts(self, name):
        cfg = read_sheet((EXAMPLES / f"{name}.csv").read_bytes()).cfg
        assert {s: len(cfg.targets_of(s)) for s in cfg.services} == TARGET_COUNTS[name]
        free = {s.name for s in cfg.services.values() if s.ownership is Ownership.FREE}
        assert free == FREE_SERVICES & set(cfg.services)

    def test_every_example_is_listed(self):
        assert {path.stem for path in EXAMPLES.glob("*.csv")} == set(TARGET_COUNTS)
