"""Tests of targets that say in their answers that they are leaving."""

from __future__ import annotations

import logbook
import pytest
from berylstage_entry import cluster_view as cluster_view_module
from berylstage_entry.clock import now
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.notice_messages import DepartureNotice
from berylstage_entry.permit_messages import checksum
from berylstage_entry.protocols import Record
from berylstage_entry.target_departures import TargetDepartures
from berylstage_entry.target_notices import TargetNotices
from berylstage_entry.targets import TargetNotice
from fakes import target
from notice_fleet import NoticeFleet
from virtual_time import virtual_loop

OWNER = "t-0"


@pytest.fixture
def view():
    view = ClusterView()
    for name in ("a", "b"):
        view.apply(Record(target=target(name)), now(), False)
    return view


class TestClusterView:
    """How long a target counts as leaving."""

    @pytest.fixture(autouse=True)
    def _leave(self, view):
        assert view.mark_leaving(target("a"))
        assert not view.mark_leaving(target("a"))

    def test_leaving_target_accepts_nothing(self, view):
        assert not view.is_usable("a")
        assert view.usable_targets("s") == ["b"]

    def test_record_that_still_says_ready_changes_nothing(self, view):
        # Guards against records that are older than the target's own word.
        view.apply(Record(target=target("a", slots=3)), now(), False)
        assert not view.is_usable("a")

    def test_record_that_lapses_and_returns_changes_nothing(self, view):
        # After an outage of the store records return of targets that leave.
        view.apply(Record(removed_target="a"), now(), False)
        view.apply(Record(target=target("a")), now(), False)
        assert not view.is_usable("a")

    def test_target_that_was_draining_and_is_ready_again(self, view):
        view.apply(Record(target=target("a", is_draining=True)), now(), False)
        assert not view.is_usable("a")
        view.apply(Record(target=target("a")), now(), False)
        assert view.is_usable("a")
        assert view.usable_targets("s") == ["a", "b"]

    def test_next_incarnation_accepts_requests(self, view):
        view.apply(Record(target=target("a", 2)), now(), False)
        assert view.is_usable("a")

    def test_number_of_remembered_targets_is_bounded(self, view, monkeypatch):
        monkeypatch.setattr(cluster_view_module, "MAX_LEAVING_TARGETS", 3)
        for number in range(9):
            view.mark_leaving(target(f"x-{number}"))
        assert len(view._leaving) == 3


class TestDepartures:
    @pytest.fixture
    def departures(self, view):
        return TargetDepartures(view)

    def test_other_vms_are_told_once(self, departures, view):
        sent = []
        departures.send = sent.append
        with logbook.TestHandler() as lines:
            for _ in range(5):
                departures.record(target("a"))
        assert len(lines.records) == len(sent) == 1
        other = ClusterView()
        other.apply(Record(target=target("a")), now(), False)
        TargetDepartures(other).receive_notice(sent[0], "10.0.0.2")
        assert not other.is_usable("a")

    def test_vm_that_was_told_tells_nobody(self, departures):
        # Guards against datagrams that grow with the square of the number of VMs.
        sent = []
        departures.send = sent.append
        notice = DepartureNotice(checksum("a"), 1)
        departures.receive_notice(notice.encode(), "10.0.0.2")
        departures.record(target("a"))
        assert sent == []

    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\x21x",
            b"\x21" + bytes(40),
            DepartureNotice(checksum("a"), 7).encode(),
        ],
        ids=["empty", "short", "long", "earlier incarnation"],
    )
    def test_other_notices_are_ignored(self, departures, view, data):
        departures.receive_notice(data, "10.0.0.2")
        assert view.is_usable("a")


class TestControlAnswers:
    """What the answers to grants, releases and probes say."""

    def test_leaving_target(self, view):
        # Guards against a coordinator that leaves keys with a target to which no other
        # VM sends any more.
        TargetNotices(view).record_control_answer(
            target("a"), TargetNotice(is_leaving=True)
        )
        assert not view.is_usable("a")

    def test_limit_counts_and_its_absence_does_not(self, view):
        notices = TargetNotices(view)
        for notice in (TargetNotice(3.0), TargetNotice()):
            notices.record_control_answer(target("a"), notice)
        assert notices.limits.rate("a") == 3.0


class TestLeavingTarget:
    """What a VM sends to a target that has told it so, in virtual time."""

    def play(self, owns_keys, vms=2):
        """Return the requests to a target that has told its VMs that it leaves."""
        with virtual_loop() as loop:
            fleet = NoticeFleet(loop, owns_keys, vms)
            fleet.run(1.0, 60.0)
            fleet.targets[OWNER].is_leaving = True
            fleet.run(1.0, 60.0)
            began = now()
            # The store is out of touch, and its records return after an outage.
            for vm in fleet.vms:
                vm.view.apply(Record(removed_target=OWNER), now(), False)
                vm.view.apply(Record(target=target(OWNER)), now(), False)
            fleet.run(6.0, 60.0)
            late = [a for a in fleet.arrivals if a.target == OWNER and a.at > began]
            return late, [status for _, status, _ in fleet.outcomes]

    def test_owner_gets_nothing_more(self):
        assert self.play(True)[0] == []

    def test_service_without_keys_is_served_by_the_others(self):
        late, statuses = self.play(False)
        assert late == []
        assert set(statuses) == {200}

    def test_finds_a_notice_that_is_not_kept(self, monkeypatch):
        monkeypatch.setattr(ClusterView, "mark_leaving", lambda view, target: False)
        assert self.play(False)[0]

    def test_finds_a_notice_that_ends_with_the_record(self, monkeypatch):
        apply_removal = ClusterView._apply_removal

        def forget(view, name, at, outage):
            view._leaving.pop(name, None)
            return apply_removal(view, name, at, outage)

        monkeypatch.setattr(ClusterView, "_apply_removal", forget)
        assert self.play(False)[0]
