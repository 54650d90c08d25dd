"""Tests of the values and changes of assignments that VMs send each other."""

from __future__ import annotations

import json
import zlib

from berylstage_entry.assignment import Assignment, KeyRange, unassigned
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.peer_updates import PeerUpdates
from berylstage_entry.store import Item
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords, configuration


def encode_push(key, revision, value):
    doc = {"key": key, "revision": revision, "value": value.decode("latin-1")}
    return zlib.compress(json.dumps(doc).encode())


class TestAnnouncements:
    def test_older_assignment_does_not_replace_a_newer_one(self):
        # Two pushes arrive out of order. Applying the older one last would send
        # requests to a target that has released the keys.
        store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
        updates = PeerUpdates(store_watcher, None, "127.0.0.1:1")
        newer = unassigned().replace([], 77)
        assert updates.receive_item(encode_push("berylstage/keys/s", 9, newer.encode()))
        assert updates.receive_item(
            encode_push("berylstage/keys/s", 8, unassigned().encode())
        )
        assert store_watcher.assignments["s"].next_fence == 77

    def test_older_configuration_does_not_replace_a_newer_one(self):
        # A configuration is pushed ahead of the delta that lists it. A VM that has a
        # newer one must keep it if the push is delayed.
        cluster_view = ClusterView()
        records = JsonRecords({n: configuration(n) for n in (1, 2)})
        updates = PeerUpdates(
            StoreWatcher(None, records, cluster_view), None, "127.0.0.1:1"
        )
        assert updates.receive_item(encode_push("cfg", 9, b"2"))
        assert updates.receive_item(encode_push("cfg", 8, b"1"))
        assert cluster_view.configuration.version == 2

    def test_pushed_target_record_is_ignored(self):
        # A delayed older report would make a draining target usable again.
        cluster_view = ClusterView()
        store_watcher = StoreWatcher(None, JsonRecords(), cluster_view)
        updates = PeerUpdates(store_watcher, None, "127.0.0.1:1")
        assert not updates.receive_item(encode_push("t/a", 9, b"{}"))
        assert cluster_view.known == {}

    def test_anything_but_assignments_and_configurations_is_ignored(self):
        store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
        updates = PeerUpdates(store_watcher, None, "127.0.0.1:1")
        assert not updates.receive_item(encode_push("berylstage/duty", 9, b"{}"))
        assert not updates.receive_item(b"\x00not a telling")
        assert not updates.receive_item(zlib.compress(b"[]"))
        assert store_watcher.internal_items == {}


class TestChanges:
    def make_pair(self):
        sent = []
        sender = PeerUpdates(None, None, "127.0.0.1:1")
        sender.send = sent.append
        store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
        receiver = PeerUpdates(store_watcher, None, "127.0.0.1:2")
        return sender, sent, store_watcher, receiver

    def item(self, assignment, revision):
        return Item("berylstage/keys/s", assignment.encode(), revision)

    def change(self, old, before, new, revision):
        return AssignmentDelta.between("s", before, old, revision, new)

    def make_assignments(self):
        ranges = [KeyRange(n * 256, n * 256 + 255, f"t{n}", 1, n) for n in range(256)]
        one = Assignment(ranges, 300)
        two = one.replace([KeyRange(100, 700, "t9", 1, 309, "t1", 1)], 310)
        return one, two, two.replace([KeyRange(100, 700, "t9", 1, 309)], 311)

    def test_small_change_fits_one_small_datagram(self):
        # A rebalancing changes two of 256 ranges. Sending the whole assignment to 75
        # VMs keeps the coordinator from renewing grants for 25 ms each time.
        sender, sent, store_watcher, receiver = self.make_pair()
        one, two, three = self.make_assignments()
        store_watcher.apply_pushed_item(self.item(one, 5))
        sender.broadcast_change(self.change(one, 5, two, 6))
        sender.broadcast_change(self.change(two, 6, three, 7))
        assert [len(data) < 200 for data in sent] == [True, True]
        for data in sent:
            receiver.receive_change(data)
        assert store_watcher.assignments["s"].encode() == three.encode()
        assert store_watcher.assignment_revisions["s"] == 7

    def test_change_with_another_base_revision_causes_a_read(self):
        # A datagram is lost. Applied to an assignment that lacks a move, the next
        # change would name an owner that has released the keys.
        sender, sent, store_watcher, receiver = self.make_pair()
        one, two, three = self.make_assignments()
        store_watcher.apply_pushed_item(self.item(one, 5))
        sender.broadcast_change(self.change(one, 5, two, 6))
        sender.broadcast_change(self.change(two, 6, three, 7))
        receiver.receive_change(sent[1])
        assert store_watcher.assignment_revisions["s"] == 5
        assert store_watcher._read_requested.is_set()

    def test_delayed_change_is_ignored(self):
        sender, sent, store_watcher, receiver = self.make_pair()
        one, two, three = self.make_assignments()
        sender.broadcast_change(self.change(one, 5, two, 6))
        store_watcher.apply_pushed_item(self.item(three, 7))
        receiver.receive_change(sent[0])
        assert store_watcher.assignment_revisions["s"] == 7
        assert not store_watcher._read_requested.is_set()

    def lost_data_centre(self):
        """Return an assignment, and the next one, in which a third of the keys move."""
        one, _, _ = self.make_assignments()
        lost = [r for n, r in enumerate(one.ranges) if n % 3 == 0]
        moved = [
            KeyRange(r.first, r.last, "i-0a1b2c3d4e", 2, 400 + r.fence, r.owner, 1)
            for r in lost
        ]
        return one, one.replace(moved, 700)

    def test_large_change_is_split_into_datagrams_of_one_packet(self):
        # A data centre is lost, and a third of 256 ranges move at once. Sending that by
        # a call to each of 62 VMs saturates the coordinator's link. Its renewals are
        # then overdue, and keys of healthy targets move as well.
        sender, sent, store_watcher, receiver = self.make_pair()
        one, two = self.lost_data_centre()
        store_watcher.apply_pushed_item(self.item(one, 5))
        sender.broadcast_change(self.change(one, 5, two, 6))
        assert len(sent) > 1
        assert all(len(data) <= 1400 for data in sent)
        for data in reversed(sent):
            assert store_watcher.assignment_revisions["s"] == 5
            receiver.receive_change(data)
        assert store_watcher.assignments["s"].encode() == two.encode()

    def test_duplicate_part_is_counted_once(self):
        # The network duplicates one datagram and loses another. Half a change would
        # name owners that no stored assignment has.
        sender, sent, store_watcher, receiver = self.make_pair()
        one, two = self.lost_data_centre()
        store_watcher.apply_pushed_item(self.item(one, 5))
        sender.broadcast_change(self.change(one, 5, two, 6))
        for data in [sent[0]] * len(sent):
            receiver.receive_change(data)
        assert store_watcher.assignment_revisions["s"] == 5

    def test_first_assignment_is_sent_as_a_change(self):
        sender, sent, store_watcher, receiver = self.make_pair()
        one, _, _ = self.make_assignments()
        sender.broadcast_change(self.change(unassigned(), 0, one, 5))
        for data in sent:
            receiver.receive_change(data)
        assert store_watcher.assignments["s"].encode() == one.encode()

    def test_damaged_change_is_ignored(self):
        _, _, store_watcher, receiver = self.make_pair()
        for data in (b"\x12", b"\x12abc", b"\x12" + zlib.compress(b"[1,2]")):
            receiver.receive_change(data)
        assert store_watcher.assignments == {}
