"""Tests of which target holds which keys."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from berylstage_entry import assignment as module
from berylstage_entry.assignment import LAST_KEY, Assignment, KeyRange, nobody
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.cluster_view import ClusterView
from berylstage_entry.peer_updates import PeerUpdates
from berylstage_entry.store import Item
from berylstage_entry.store_watcher import StoreWatcher
from fakes import JsonRecords
from hypothesis import given
from hypothesis import strategies as st

# Few owners, so that many neighbours are alike.
PARTS = st.lists(
    st.tuples(
        st.integers(0, LAST_KEY), st.integers(0, LAST_KEY), st.sampled_from("abc")
    ),
    max_size=12,
)


def laid(parts):
    """Return an assignment, and who owns a key by the list of what was laid over."""
    ranges = [
        KeyRange(min(one, other), max(one, other), owner, 1, 5)
        for one, other, owner in parts
    ]

    def owner_of(key):
        over = [r.owner for r in ranges if r.first <= key <= r.last]
        return over[-1] if over else ""

    return nobody().replace(ranges, 9), owner_of


def cut_up(count):
    """Return an assignment with many ranges."""
    cuts = [0, *sorted(Random(1).sample(range(1, LAST_KEY), count - 1)), LAST_KEY + 1]
    ranges = [
        KeyRange(first, following - 1, f"i-{n:010x}", 1, n)
        for n, (first, following) in enumerate(pairwise(cuts))
    ]
    return Assignment(ranges, 5000)


class TestReplace:
    @given(PARTS)
    def test_each_key_goes_to_the_owner_that_was_laid_over_it_last(self, parts):
        assignment, owner_of = laid(parts)
        for r in assignment.ranges:
            assert owner_of(r.first) == owner_of(r.last) == r.owner
        assert assignment.ranges[0].first == 0
        assert assignment.ranges[-1].last == LAST_KEY
        for one, other in pairwise(assignment.ranges):
            assert one.last + 1 == other.first
            assert not one.same_holding(other)
            assert assignment.find(other.first) is other

    def test_leaves_the_old_assignment_as_it_was(self):
        old = cut_up(40)
        before = old.encode()
        old.replace([KeyRange(10, 60000, "x", 1, 7000)], 7001)
        assert old.encode() == before


class TestDigest:
    @given(PARTS, PARTS)
    def test_tells_assignments_apart(self, one, other):
        first, second = laid(one)[0], laid(other)[0]
        same = first.encode() == second.encode()
        assert (first.digest() == second.digest()) == same

    def test_is_that_of_what_was_read_from_the_store(self):
        assignment = cut_up(300)
        assert Assignment.decode(assignment.encode()).digest() == assignment.digest()


class TestCost:
    @pytest.mark.parametrize("count", [40, 400, 4000])
    def test_change_costs_what_it_changes(self, count, monkeypatch):
        # Busy keys move ten times a second, and each of 195 VMs checks each change.
        # With all ranges encoded and compressed for it a small VM did little else:
        # answers came late all over while keys moved.
        feed = StoreWatcher(None, JsonRecords(), ClusterView())
        tellings = PeerUpdates(feed, None, "127.0.0.1:1")
        old = cut_up(count)
        feed.take_told(Item("berylstage/keys/s", old.encode(), 5))
        old.digest()
        feed.assignments["s"].digest()
        moved = [
            KeyRange(r.first, r.last, "new", 1, 6000 + n)
            for n, r in enumerate(old.ranges[: 12 * 3 : 3])
        ]
        change = AssignmentDelta.between("s", 5, old, 6, old.replace(moved, 7000))
        (told,) = change.encode()
        sums = []
        crc32 = module.zlib.crc32
        monkeypatch.setattr(
            module.zlib, "crc32", lambda data: sums.append(data) or crc32(data)
        )
        monkeypatch.setattr(module.zlib, "compress", None)
        tellings.take_change(told)
        assert feed.revisions["s"] == 6
        assert len(sums) <= 2 * len(moved)
