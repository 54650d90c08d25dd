"""Tests of what a VM knows of the limits that targets name."""

from __future__ import annotations

import logbook
import pytest
from berylstage_entry.protocols import TargetAnswer
from berylstage_entry.target_limits import LIMIT_LINES_PER_SECOND, TargetLimits
from berylstage_entry.targets import TargetNotice
from fakes import target


def answer(notice, misdirected=False):
    return TargetAnswer(200, [], b"", False, misdirected, True, None, False, notice)


def logged(*notices, misdirected=False):
    """Return the log lines that answers of one target cause."""
    limits = TargetLimits()
    with logbook.TestHandler() as lines:
        for notice in notices:
            limits.record_answer(target("a"), answer(notice, misdirected))
    return [(r.message, r.extra["before"], r.extra["limit"]) for r in lines.records]


class TestLog:
    def test_each_change_of_a_limit_is_logged_once(self):
        notices = [TargetNotice(n) for n in (None, 3.0, 3.0, 2.0, None, None)]
        changes = [(None, 3.0), (3.0, 2.0), (2.0, None)]
        assert logged(*notices) == [
            ("limit of a target changed", *change) for change in changes
        ]

    def test_limit_named_by_another_target_is_ignored(self):
        # Guards against the limit of a target that has taken over the address.
        assert logged(TargetNotice(3.0), misdirected=True) == []

    def test_invalid_limit_changes_nothing(self):
        invalid = TargetNotice(is_limit_invalid=True)
        messages = [line[1:] for line in logged(TargetNotice(3.0), invalid)]
        assert messages == [(None, 3.0), (3.0, 3.0)]

    def test_number_of_lines_is_bounded(self):
        # Guards against a target that names another limit in each answer.
        lines = logged(*(TargetNotice(float(n)) for n in range(1, 500)))
        assert len(lines) <= 3 * LIMIT_LINES_PER_SECOND


class TestRetain:
    @pytest.mark.parametrize(("incarnation", "lines"), [(1, 1), (2, 2)])
    def test_limit_ends_with_its_target(self, incarnation, lines):
        limits = TargetLimits()
        with logbook.TestHandler() as log:
            limits.record_answer(target("a"), answer(TargetNotice(3.0)))
            limits.retain({("a", incarnation)})
            limits.record_answer(target("a"), answer(TargetNotice(3.0)))
        assert len(log.records) == lines
