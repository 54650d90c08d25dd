"""Tests of what a VM records of the targets' answers."""

from __future__ import annotations

import logbook
import pytest
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.protocols import Record, TargetAnswer
from berylstage_entry.target_notices import NOTICE_LINES_PER_SECOND, TargetNotices
from berylstage_entry.targets import TargetNotice
from fakes import target


def make_notices():
    view = ClusterView()
    view.apply(Record(target=target("a")), now(), False)
    return TargetNotices(view)


def record(notices, notice, misdirected=False):
    answer = TargetAnswer(503, [], b"", True, misdirected, True, None, False, notice)
    notices.record_answer(target("a"), answer, now())


class TestLog:
    @pytest.mark.parametrize(
        ("notice", "message"),
        [
            (TargetNotice(rest_seconds=3.0), "target asks for rest"),
            (TargetNotice(is_leaving=True), "target says that it is leaving"),
        ],
    )
    def test_notice_is_logged(self, notice, message):
        with logbook.TestHandler() as lines:
            record(make_notices(), notice)
        assert [line.message for line in lines.records] == [message]

    def test_number_of_lines_is_bounded(self):
        # Guards against targets that turn away all requests.
        notices = make_notices()
        with logbook.TestHandler() as lines:
            for _ in range(500):
                record(notices, TargetNotice(rest_seconds=3.0))
        assert len(lines.records) <= 3 * NOTICE_LINES_PER_SECOND


class TestOtherTargets:
    def test_answer_of_another_target_is_ignored(self):
        # Guards against what a target says that has taken over the address.
        notices = make_notices()
        with logbook.TestHandler() as lines:
            record(notices, TargetNotice(3.0, False, 3.0, True), misdirected=True)
        assert not lines.records
        assert notices.limits.rate("a") is None
