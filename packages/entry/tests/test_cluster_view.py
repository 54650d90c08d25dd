"""Tests of a VM's view of the cluster."""

from __future__ import annotations

from berylstage_entry.cluster_view import EXPIRY_GRACE_SECONDS, ClusterView
from berylstage_entry.protocols import Record
from fakes import configuration, target


def cluster_view(*names):
    view = ClusterView()
    view.apply(Record(configuration=configuration(3)), 0.0, False)
    for name in names:
        view.apply(Record(target=target(name)), 0.0, False)
    return view


class TestDirectory:
    def test_older_configuration_is_ignored(self):
        # A configuration that was read before an outage arrives late. If applied, it
        # would send requests to a service that the operators have retired.
        view = cluster_view()
        assert view.apply(Record(configuration=configuration(2)), 1.0, False) == ""
        assert view.configuration.version == 3

    def test_draining_target_is_not_usable(self):
        view = cluster_view("a", "b")
        view.apply(Record(target=target("a", is_draining=True)), 1.0, False)
        assert view.usable_targets("s") == ["b"]
        assert not view.is_usable("a")

    def test_closed_data_centre_is_not_usable_until_it_is_reopened(self):
        view = cluster_view("a")
        view.apply(Record(closed_data_centre="dc-1"), 1.0, False)
        assert view.usable_targets("s") == []
        view.apply(Record(reopened_data_centre="dc-1"), 2.0, False)
        assert view.usable_targets("s") == ["a"]

    def test_target_whose_record_expired_in_an_outage_is_kept_for_a_while(self):
        # The store was unavailable and all records expired, though all targets live.
        # Dropping them at once would leave every service without targets.
        view = cluster_view("a", "b")
        view.apply(Record(removed_target="a"), 10.0, True)
        assert view.drop_expired(10.0 + EXPIRY_GRACE_SECONDS - 0.01) == []
        view.apply(Record(target=target("a")), 11.0, False)
        assert view.drop_expired(20.0) == []

    def test_target_that_left_during_a_partition_is_dropped_in_time(self):
        # A VM was partitioned while a target left and its record was removed. Three
        # seconds after it reconnects it must not send requests to the target any more,
        # since they would be lost.
        view = cluster_view("a", "b")
        view.drop_missing({"b"}, set(), 13.45, True)
        assert view.has_expired_records()
        assert view.drop_expired(13.45 + 2.2) == ["a"]
        assert view.usable_targets("s") == ["b"]

    def test_target_whose_record_is_removed_without_an_outage_is_dropped_at_once(self):
        view = cluster_view("a", "b")
        view.drop_missing({"b"}, set(), 13.45, False)
        assert view.usable_targets("s") == ["b"]

    def test_older_incarnation_of_a_target_is_ignored(self):
        view = cluster_view()
        view.apply(Record(target=target("a", 7)), 1.0, False)
        assert view.apply(Record(target=target("a", 6)), 2.0, False) == ""
        assert view.known["a"].target.incarnation == 7


class TestTargetReports:
    def changes(self, view, reports):
        """Apply reports, each a time and its fields; return which were changes."""
        found = []
        for moment, changes in reports:
            report = target("a", **changes)
            found.append(view.known["a"].differs(report, moment))
            view.apply(Record(target=report), moment, False)
        return found

    def cold_view(self, seconds):
        view = cluster_view()
        record = Record(target=target("a", cold_seconds_left=seconds))
        view.apply(record, 10.0, False)
        return view

    def test_cold_target_that_warms_up_as_reported_is_no_change(self):
        # A third of all targets are replaced. Guards against publishing each report of
        # each new one: VMs with slow links then learn of nothing else in time, and send
        # requests to targets that have left.
        reports = [
            (10.0 + n * 0.9, {"cold_seconds_left": 3.0 - n * 0.9}) for n in (1, 2, 3)
        ]
        assert self.changes(self.cold_view(3.0), reports) == [False] * 3
        assert (
            self.changes(self.cold_view(0.0), [(11.0, {}), (12.0, {})]) == [False] * 2
        )

    def test_target_that_turns_cold_or_stays_cold_is_a_change(self):
        # Otherwise a VM sends a cold target more requests than it can handle.
        assert self.changes(
            self.cold_view(0.0), [(11.0, {"cold_seconds_left": 3.0})]
        ) == [True]
        stays_cold = [(10.0 + n * 0.9, {"cold_seconds_left": 3.0}) for n in (1, 2)]
        assert self.changes(self.cold_view(3.0), stays_cold) == [True, True]
        assert self.changes(self.cold_view(3.0), [(11.0, {})]) == [True]

    def test_target_that_starts_to_drain_is_a_change(self):
        assert self.changes(self.cold_view(0.0), [(11.0, {"is_draining": True})]) == [
            True
        ]
