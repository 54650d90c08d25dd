"""Tests of what VMs tell each other of assignments."""

from __future__ import annotations

import json
import zlib

from berylstage_entry.assignment import Assignment, KeyRange, nobody
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.peer_updates import PeerUpdates
from berylstage_entry.store import Item
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, configuration


def told(key, revision, value):
    doc = {"key": key, "revision": revision, "value": value.decode("latin-1")}
    return zlib.compress(json.dumps(doc).encode())


class TestAnnouncements:
    def test_older_assignment_does_not_replace_a_newer_one(self):
        # Two tellings cross on the way. The older one, taken last, would send requests
        # to a target that has given the keys up.
        feed = StoreWatcher(None, JsonRecords(), ClusterView())
        tellings = PeerUpdates(feed, None, "127.0.0.1:1")
        newer = nobody().replace([], 77)
        assert tellings.take(told("berylstage/keys/s", 9, newer.encode()))
        assert tellings.take(told("berylstage/keys/s", 8, nobody().encode()))
        assert feed.assignments["s"].next_fence == 77

    def test_configuration_is_taken_and_never_goes_back(self):
        # A configuration is told ahead of the news that names it. A VM that has a newer
        # one must keep it, whatever comes late.
        directory = ClusterView()
        records = JsonRecords({n: configuration(n) for n in (1, 2)})
        tellings = PeerUpdates(
            StoreWatcher(None, records, directory), None, "127.0.0.1:1"
        )
        assert tellings.take(told("cfg", 9, b"2"))
        assert tellings.take(told("cfg", 8, b"1"))
        assert directory.configuration.version == 2

    def test_report_of_a_target_is_passed_over(self):
        # An older report that comes late would call a target willing that is leaving.
        directory = ClusterView()
        feed = StoreWatcher(None, JsonRecords(), directory)
        tellings = PeerUpdates(feed, None, "127.0.0.1:1")
        assert not tellings.take(told("t/a", 9, b"{}"))
        assert directory.known == {}

    def test_anything_but_assignments_and_configurations_is_passed_over(self):
        feed = StoreWatcher(None, JsonRecords(), ClusterView())
        tellings = PeerUpdates(feed, None, "127.0.0.1:1")
        assert not tellings.take(told("berylstage/duty", 9, b"{}"))
        assert not tellings.take(b"\x00not a telling")
        assert not tellings.take(zlib.compress(b"[]"))
        assert feed.own == {}


class TestChanges:
    def told_pair(self):
        sent = []
        teller = PeerUpdates(None, None, "127.0.0.1:1")
        teller.send = sent.append
        feed = StoreWatcher(None, JsonRecords(), ClusterView())
        taker = PeerUpdates(feed, None, "127.0.0.1:2")
        return teller, sent, feed, taker

    def item(self, assignment, revision):
        return Item("berylstage/keys/s", assignment.encode(), revision)

    def change(self, old, before, new, revision):
        return AssignmentDelta.between("s", before, old, revision, new)

    def steps(self):
        ranges = [KeyRange(n * 256, n * 256 + 255, f"t{n}", 1, n) for n in range(256)]
        one = Assignment(ranges, 300)
        two = one.replace([KeyRange(100, 700, "t9", 1, 309, "t1", 1)], 310)
        return one, two, two.replace([KeyRange(100, 700, "t9", 1, 309)], 311)

    def test_change_is_told_in_one_small_datagram(self):
        # A round of moves changes two ranges of 256. Told whole to 75 VMs, it kept the
        # VM with the duty from renewing grants for 25 ms each time.
        teller, sent, feed, taker = self.told_pair()
        one, two, three = self.steps()
        feed.take_told(self.item(one, 5))
        teller.tell(self.change(one, 5, two, 6))
        teller.tell(self.change(two, 6, three, 7))
        assert [len(data) < 200 for data in sent] == [True, True]
        for data in sent:
            taker.take_change(data)
        assert feed.assignments["s"].encode() == three.encode()
        assert feed.revisions["s"] == 7

    def test_change_that_does_not_follow_is_read_from_the_store(self):
        # A datagram is lost. What the next one tells is laid over an assignment that
        # lacks a move, and would name an owner that has given the keys up.
        teller, sent, feed, taker = self.told_pair()
        one, two, three = self.steps()
        feed.take_told(self.item(one, 5))
        teller.tell(self.change(one, 5, two, 6))
        teller.tell(self.change(two, 6, three, 7))
        taker.take_change(sent[1])
        assert feed.revisions["s"] == 5
        assert feed._hurried.is_set()

    def test_change_that_comes_late_is_passed_over(self):
        teller, sent, feed, taker = self.told_pair()
        one, two, three = self.steps()
        teller.tell(self.change(one, 5, two, 6))
        feed.take_told(self.item(three, 7))
        taker.take_change(sent[0])
        assert feed.revisions["s"] == 7
        assert not feed._hurried.is_set()

    def lost_data_centre(self):
        """Return an assignment, and one in which a third of the keys move."""
        one, _, _ = self.steps()
        lost = [r for n, r in enumerate(one.ranges) if n % 3 == 0]
        moved = [
            KeyRange(r.first, r.last, "i-0a1b2c3d4e", 2, 400 + r.fence, r.owner, 1)
            for r in lost
        ]
        return one, one.replace(moved, 700)

    def test_large_change_is_told_in_datagrams_of_one_packet(self):
        # A data centre is lost, and a third of 256 ranges move at once. Told by a call
        # to each of 62 VMs, that fills the link of the VM with the duty: its renewals
        # come late, and keys of sound targets move as well.
        teller, sent, feed, taker = self.told_pair()
        one, two = self.lost_data_centre()
        feed.take_told(self.item(one, 5))
        teller.tell(self.change(one, 5, two, 6))
        assert len(sent) > 1
        assert all(len(data) <= 1400 for data in sent)
        for data in reversed(sent):
            assert feed.revisions["s"] == 5
            taker.take_change(data)
        assert feed.assignments["s"].encode() == two.encode()

    def test_part_that_comes_twice_is_counted_once(self):
        # The network delivers one datagram twice and loses another. Half a change would
        # name owners that nobody has written down.
        teller, sent, feed, taker = self.told_pair()
        one, two = self.lost_data_centre()
        feed.take_told(self.item(one, 5))
        teller.tell(self.change(one, 5, two, 6))
        for data in [sent[0]] * len(sent):
            taker.take_change(data)
        assert feed.revisions["s"] == 5

    def test_first_assignment_is_told_as_well(self):
        teller, sent, feed, taker = self.told_pair()
        one, _, _ = self.steps()
        teller.tell(self.change(nobody(), 0, one, 5))
        for data in sent:
            taker.take_change(data)
        assert feed.assignments["s"].encode() == one.encode()

    def test_damaged_change_is_passed_over(self):
        _, _, feed, taker = self.told_pair()
        for data in (b"\x12", b"\x12abc", b"\x12" + zlib.compress(b"[1,2]")):
            taker.take_change(data)
        assert feed.assignments == {}
