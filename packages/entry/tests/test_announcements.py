"""Tests of what VMs tell each other of assignments."""

from __future__ import annotations

import json
import zlib

from berylstage_entry.announcements import Announcements
from berylstage_entry.assignment import nobody
from berylstage_entry.directory import Directory
from berylstage_entry.feed import Feed
from fakes import JsonRecords, configuration


def told(key, revision, value):
    doc = {"key": key, "revision": revision, "value": value.decode()}
    return zlib.compress(json.dumps(doc).encode())


class TestAnnouncements:
    def test_older_assignment_does_not_replace_a_newer_one(self):
        # Two tellings cross on the way. The older one, taken last, would send requests
        # to a target that has given the keys up.
        feed = Feed(None, JsonRecords(), Directory())
        tellings = Announcements(feed, None, "127.0.0.1:1")
        newer = nobody().replace([], 77)
        assert tellings.take(told("berylstage/keys/s", 9, newer.encode()))
        assert tellings.take(told("berylstage/keys/s", 8, nobody().encode()))
        assert feed.assignments["s"].next_fence == 77

    def test_configuration_is_taken_and_never_goes_back(self):
        # A configuration is told ahead of the news that names it. A VM that has a newer
        # one must keep it, whatever comes late.
        directory = Directory()
        records = JsonRecords({n: configuration(n) for n in (1, 2)})
        tellings = Announcements(Feed(None, records, directory), None, "127.0.0.1:1")
        assert tellings.take(told("cfg", 9, b"2"))
        assert tellings.take(told("cfg", 8, b"1"))
        assert directory.configuration.version == 2

    def test_report_of_a_target_is_passed_over(self):
        # An older report that comes late would call a target willing that is leaving.
        directory = Directory()
        feed = Feed(None, JsonRecords(), directory)
        tellings = Announcements(feed, None, "127.0.0.1:1")
        assert not tellings.take(told("t/a", 9, b"{}"))
        assert directory.known == {}

    def test_anything_but_assignments_and_configurations_is_passed_over(self):
        feed = Feed(None, JsonRecords(), Directory())
        tellings = Announcements(feed, None, "127.0.0.1:1")
        assert not tellings.take(told("berylstage/duty", 9, b"{}"))
        assert not tellings.take(b"\x00not a telling")
        assert not tellings.take(zlib.compress(b"[]"))
        assert feed.own == {}
