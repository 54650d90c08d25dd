"""Tests of assignments of keys to targets."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from berylstage_entry import assignment as module
from berylstage_entry.assignment import LAST_KEY, Assignment, KeyRange, unassigned
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.peer_updates import PeerUpdates
from berylstage_entry.store import Item
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords
from hypothesis import given
from hypothesis import strategies as st

# Few owners, so that many neighbours are equal.
RANGES = st.lists(
    st.tuples(
        st.integers(0, LAST_KEY), st.integers(0, LAST_KEY), st.sampled_from("abc")
    ),
    max_size=12,
)


def replace_all(parts):
    """Return an assignment, and a function that finds a key's owner in the list."""
    ranges = [
        KeyRange(min(one, other), max(one, other), owner, 1, 5)
        for one, other, owner in parts
    ]

    def find_owner(key):
        over = [r.owner for r in ranges if r.first <= key <= r.last]
        return over[-1] if over else ""

    return unassigned().replace(ranges, 9), find_owner


def split_randomly(count):
    """Return an assignment with many ranges."""
    cuts = [0, *sorted(Random(1).sample(range(1, LAST_KEY), count - 1)), LAST_KEY + 1]
    ranges = [
        KeyRange(first, following - 1, f"i-{n:010x}", 1, n)
        for n, (first, following) in enumerate(pairwise(cuts))
    ]
    return Assignment(ranges, 5000)


class TestReplace:
    @given(RANGES)
    def test_last_replacement_of_a_key_wins(self, parts):
        assignment, find_owner = replace_all(parts)
        for r in assignment.ranges:
            assert find_owner(r.first) == find_owner(r.last) == r.owner
        assert assignment.ranges[0].first == 0
        assert assignment.ranges[-1].last == LAST_KEY
        for one, other in pairwise(assignment.ranges):
            assert one.last + 1 == other.first
            assert not one.equals_except_keys(other)
            assert assignment.find(other.first) is other

    def test_old_assignment_is_unchanged(self):
        old = split_randomly(40)
        before = old.encode()
        old.replace([KeyRange(10, 60000, "x", 1, 7000)], 7001)
        assert old.encode() == before


class TestDigest:
    @given(RANGES, RANGES)
    def test_digest_identifies_assignments(self, one, other):
        first, second = replace_all(one)[0], replace_all(other)[0]
        same = first.encode() == second.encode()
        assert (first.digest() == second.digest()) == same

    def test_digest_survives_encoding(self):
        assignment = split_randomly(300)
        assert Assignment.decode(assignment.encode()).digest() == assignment.digest()


class TestCost:
    @pytest.mark.parametrize("count", [40, 400, 4000])
    def test_cost_is_proportional_to_the_change(self, count, monkeypatch):
        # Hot keys move ten times a second, and each of 195 VMs verifies each change.
        # When that encoded and compressed all ranges, a small VM did little else, and
        # answers were late while keys moved.
        store_watcher = StoreWatcher(None, JsonRecords(), ClusterView())
        peer_updates = PeerUpdates(store_watcher, None, "127.0.0.1:1")
        old = split_randomly(count)
        store_watcher.apply_pushed_item(Item("berylstage/keys/s", old.encode(), 5))
        old.digest()
        store_watcher.assignments["s"].digest()
        moved = [
            KeyRange(r.first, r.last, "new", 1, 6000 + n)
            for n, r in enumerate(old.ranges[: 12 * 3 : 3])
        ]
        change = AssignmentDelta.between("s", 5, old, 6, old.replace(moved, 7000))
        (datagram,) = change.encode()
        checksummed = []
        crc32 = module.zlib.crc32
        monkeypatch.setattr(
            module.zlib, "crc32", lambda data: checksummed.append(data) or crc32(data)
        )
        monkeypatch.setattr(module.zlib, "compress", None)
        peer_updates.receive_change(datagram)
        assert store_watcher.assignment_revisions["s"] == 6
        assert len(checksummed) <= 2 * len(moved)
