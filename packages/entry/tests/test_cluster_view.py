"""Tests of what a VM believes."""

from __future__ import annotations

from berylstage_entry.cluster_view import LAPSE_GRACE, ClusterView
from berylstage_entry.protocols import Record
from fakes import configuration, target


def directory(*names):
    found = ClusterView()
    found.apply(Record(configuration=configuration(3)), 0.0, False)
    for name in names:
        found.apply(Record(target=target(name)), 0.0, False)
    return found


class TestDirectory:
    def test_older_configuration_is_passed_over(self):
        # A configuration that was read before an outage comes back late. In force again
        # it would send requests to a service that the operators have left.
        found = directory()
        assert found.apply(Record(configuration=configuration(2)), 1.0, False) == ""
        assert found.configuration.version == 3

    def test_leaving_target_gets_nothing_more(self):
        found = directory("a", "b")
        found.apply(Record(target=target("a", leaving=True)), 1.0, False)
        assert found.usable("s") == ["b"]
        assert not found.may_use("a")

    def test_closed_data_centre_gets_nothing_until_it_is_taken_back(self):
        found = directory("a")
        found.apply(Record(closed="dc-1"), 1.0, False)
        assert found.usable("s") == []
        found.apply(Record(opened="dc-1"), 2.0, False)
        assert found.usable("s") == ["a"]

    def test_record_that_lapsed_in_an_outage_keeps_its_target_for_a_while(self):
        # The store was away and every record lapsed, though all targets live. Dropped
        # at once, no service would have a target left.
        found = directory("a", "b")
        found.apply(Record(gone="a"), 10.0, True)
        assert found.expire(10.0 + LAPSE_GRACE - 0.01) == []
        found.apply(Record(target=target("a")), 11.0, False)
        assert found.expire(20.0) == []

    def test_target_that_left_while_the_vm_was_cut_off_is_dropped_in_time(self):
        # A VM was cut off while a target left and its record was removed. Three seconds
        # after its return it counts as in touch, and a request that it still sends to
        # the target would be lost with it.
        found = directory("a", "b")
        found.restrict({"b"}, set(), 13.45, True)
        assert found.has_lapsed()
        assert found.expire(13.45 + 2.2) == ["a"]
        assert found.usable("s") == ["b"]

    def test_record_removed_while_the_store_is_well_counts_at_once(self):
        found = directory("a", "b")
        found.restrict({"b"}, set(), 13.45, False)
        assert found.usable("s") == ["b"]

    def test_older_life_of_a_target_is_passed_over(self):
        found = directory()
        found.apply(Record(target=target("a", 7)), 1.0, False)
        assert found.apply(Record(target=target("a", 6)), 2.0, False) == ""
        assert found.known["a"].target.life == 7


class TestReports:
    def told(self, known, reports):
        """Return which reports are news, each a moment and what changed."""
        found = []
        for moment, changes in reports:
            report = target("a", **changes)
            found.append(known.known["a"].differs(report, moment))
            known.apply(Record(target=report), moment, False)
        return found

    def cold(self, left):
        found = directory()
        record = Record(target=target("a", cold_left=left))
        found.apply(record, 10.0, False)
        return found

    def test_cold_target_that_goes_on_as_it_said_is_no_news(self):
        # A third of all targets are replaced. Each report of each new one was told to
        # all VMs; those with small links learned of nothing else in time, and sent
        # requests to targets that had left.
        reports = [(10.0 + n * 0.9, {"cold_left": 3.0 - n * 0.9}) for n in (1, 2, 3)]
        assert self.told(self.cold(3.0), reports) == [False] * 3
        assert self.told(self.cold(0.0), [(11.0, {}), (12.0, {})]) == [False] * 2

    def test_target_that_turns_cold_or_stays_so_is_news(self):
        # A VM that does not hear of it sends more than a cold target bears.
        assert self.told(self.cold(0.0), [(11.0, {"cold_left": 3.0})]) == [True]
        stays = [(10.0 + n * 0.9, {"cold_left": 3.0}) for n in (1, 2)]
        assert self.told(self.cold(3.0), stays) == [True, True]
        assert self.told(self.cold(3.0), [(11.0, {})]) == [True]

    def test_target_that_leaves_is_news(self):
        assert self.told(self.cold(0.0), [(11.0, {"leaving": True})]) == [True]
