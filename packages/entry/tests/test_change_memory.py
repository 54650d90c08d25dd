"""Tests of the memory of the last changes."""

from __future__ import annotations

from berylstage_entry.store import Item
from berylstage_entry.store_access.change_memory import (
    MAX_KEYS,
    MEMORY_SECONDS,
    ChangeMemory,
)
from berylstage_entry.store_delta import StoreDelta


def no_value(key, revision):
    return None


def make_memory(*deltas, step=1.0):
    memory = ChangeMemory()
    memory.extend(StoreDelta(0, 10, []), 0.0)
    for n, delta in enumerate(deltas, 1):
        memory.extend(delta, n * step)
    return memory


class TestChangeMemory:
    def test_changes_are_merged_by_key(self):
        # Guards against answers that grow with the number of changes rather than keys.
        memory = make_memory(
            StoreDelta(10, 12, [Item("a", b"1", 11), Item("b", b"1", 12)]),
            StoreDelta(12, 13, [Item("a", b"2", 13)]),
        )
        delta = memory.since(10, no_value)
        assert (delta.after, delta.revision) == (10, 13)
        assert [(i.key, i.value) for i in delta.items] == [("b", b"1"), ("a", b"2")]

    def test_only_newer_changes_are_returned(self):
        memory = make_memory(StoreDelta(10, 12, [Item("a", b"1", 11)]))
        assert memory.since(11, no_value).items == []
        assert len(memory.since(10, no_value).items) == 1

    def test_revision_before_the_memory_has_no_answer(self):
        # Guards against a VM that considers itself up to date although the changes
        # between its revision and the first remembered one are missing.
        assert make_memory().since(9, no_value) is None
        assert ChangeMemory().since(0, no_value) is None

    def test_gap_starts_the_memory_anew(self):
        memory = make_memory(StoreDelta(20, 25, [Item("a", b"1", 22)]))
        assert memory.since(10, no_value) is None
        assert memory.since(24, no_value) is None
        assert memory.since(25, no_value).items == []

    def test_delta_that_overlaps_continues_the_memory(self):
        # Published deltas repeat the changes of the last two seconds.
        memory = make_memory(
            StoreDelta(10, 12, [Item("a", b"1", 12)]),
            StoreDelta(10, 14, [Item("a", b"1", 12), Item("b", b"1", 14)]),
        )
        assert [i.key for i in memory.since(12, no_value).items] == ["b"]

    def test_changes_are_forgotten_after_a_time(self):
        deltas = [
            StoreDelta(n, n + 1, [Item(f"k{n}", b"", n + 1)]) for n in range(10, 60)
        ]
        memory = make_memory(*deltas)
        assert memory.since(60 - int(MEMORY_SECONDS), no_value) is not None
        assert memory.since(60 - int(MEMORY_SECONDS) - 2, no_value) is None

    def test_load_of_many_keys_stays_bounded(self):
        # Guards against a publisher that runs out of memory when thousands of records
        # change within the remembered time.
        deltas = [
            StoreDelta(n, n + 1, [Item(f"k{n}", b"", n + 1)])
            for n in range(10, 10 + 5 * MAX_KEYS)
        ]
        memory = make_memory(*deltas, step=0.001)
        last = 10 + 5 * MAX_KEYS
        assert memory.since(last - MAX_KEYS - 1, no_value) is None
        assert len(memory.since(last - MAX_KEYS, no_value).items) == MAX_KEYS

    def test_large_value_is_included_if_it_is_known(self):
        memory = make_memory(StoreDelta(10, 12, [], {"x": 11, "y": 12}))
        delta = memory.since(
            10, lambda key, at: Item(key, b"v", 13) if key == "x" else None
        )
        assert [(i.key, i.revision) for i in delta.items] == [("x", 13)]
        assert delta.large_revisions == {"y": 12}
