"""Tests of the grants of a target."""

from __future__ import annotations

from berylstage_standins.grants import GrantTable
from berylstage_targets.target import GrantRequest


class Clock:
    """Clock with a settable time in milliseconds."""

    def __init__(self):
        self.now = 1000

    def __call__(self):
        return self.now


def make_request(anchor, epoch=1, version=1, shards=None, lifetime_ms=500):
    """Return a grant request for shard s/1 with fence token 7."""
    given = {"s/1": 7} if shards is None else shards
    return GrantRequest("vm-1", epoch, version, given, anchor, "run-1", lifetime_ms)


def make_table():
    """Return a grant table and its clock."""
    clock = Clock()
    return GrantTable(clock, lambda: "run-1"), clock


class TestExpiry:
    def test_a_grant_expires_by_the_targets_clock(self):
        # The coordinator is paused and renews nothing. Its grant must expire without
        # it, at a time that does not depend on when the last request arrived.
        table, clock = make_table()
        assert table.accept(make_request(anchor=900)) == ""
        clock.now = 1399
        assert table.covers("s/1", 7, 1)
        clock.now = 1400
        assert not table.covers("s/1", 7, 1)

    def test_a_delayed_request_extends_no_grant(self):
        # A renewal is delayed until after its grant has expired, when a second VM may
        # have begun to serve the key.
        table, clock = make_table()
        table.accept(make_request(anchor=900))
        clock.now = 1450
        assert table.accept(make_request(anchor=940)) == "anchor"
        assert not table.covers("s/1", 7, 1)

    def test_reordered_renewals_do_not_shorten_a_grant(self):
        table, clock = make_table()
        table.accept(make_request(anchor=1000))
        table.accept(make_request(anchor=900))
        clock.now = 1450
        assert table.covers("s/1", 7, 1)

    def test_a_new_version_may_shorten_a_grant(self):
        # A VM whose lease expires earlier than it assumed shortens the grant.
        table, clock = make_table()
        table.accept(make_request(anchor=1000))
        table.accept(make_request(anchor=1000, version=2, lifetime_ms=100))
        clock.now = 1100
        assert not table.covers("s/1", 7, 1)

    def test_a_restarted_target_has_no_grant(self):
        # A crash of the target loses its memory, including the state of its keys.
        table, _ = make_table()
        table.accept(make_request(anchor=1000))
        table.clear()
        assert not table.covers("s/1", 7, 1)
        assert not table.covers("s/1", 7, 0)
