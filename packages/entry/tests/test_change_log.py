"""Tests of the log lines about changes of a VM's view."""

from __future__ import annotations

from berylstage_entry.change_log import BATCH_SECONDS, MAX_KEYS_PER_LINE, ChangeLog
from berylstage_entry.store import Item
from logbook import TestHandler as Recorder


def lines(scenario):
    """Return the fields of the lines that a scenario writes."""
    with Recorder() as handler:
        scenario(ChangeLog())
        return [record.extra for record in handler.records]


class TestChangeLog:
    def test_single_changes_are_logged_at_once(self):
        def scenario(changes):
            changes.changed("target", Item("t/a", b"", 5), 1, 10.0)
            changes.changed("gone", Item("t/b", None, 6), 1, 10.1)

        first, second = lines(scenario)
        assert (first["what"], first["key"], first["revision"]) == ("target", "t/a", 5)
        assert (second["what"], second["key"]) == ("gone", "t/b")

    def test_hundreds_of_changes_take_one_line_a_second(self):
        # 400 targets start within two seconds, and each of 195 VMs learns of them all.
        # Guards against a line for each, which takes a small VM as long as 20 requests.
        def scenario(changes):
            for n in range(400):
                moment = 10.0 + n / 200
                changes.changed("target", Item(f"t/{n}", b"", n), 1, moment)
            changes.flush(1, 12.1)

        written = lines(scenario)
        assert len(written) <= 2 / BATCH_SECONDS + 1
        assert sum(line["changes"] for line in written) == 400
        assert all(len(line["others"]) < MAX_KEYS_PER_LINE for line in written)

    def test_flush_writes_all_batched_changes(self):
        def scenario(changes):
            changes.changed("target", Item("t/a", b"", 5), 1, 10.0)
            changes.changed("target", Item("t/b", b"", 6), 1, 10.1)
            changes.flush(1, 10.2)
            changes.flush(1, 10.2, force=True)
            changes.flush(1, 10.3, force=True)

        assert [line["key"] for line in lines(scenario)] == ["t/a", "t/b"]

    def test_each_configuration_is_logged_at_once(self):
        # Engineers first look for the time at which a VM applied a version.
        def scenario(changes):
            for n in range(3):
                item = Item("cfg", b"", 5 + n)
                changes.changed("configuration", item, 7 + n, 10.0 + n / 10)

        assert [line["configuration"] for line in lines(scenario)] == [7, 8, 9]
