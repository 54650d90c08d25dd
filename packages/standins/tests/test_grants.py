"""Tests of the grants that a target holds."""

from __future__ import annotations

from berylstage_standins.grants import GrantTable
from berylstage_targets.target import GrantRequest


class Clock:
    """A clock that tests set, in milliseconds."""

    def __init__(self):
        self.now = 1000

    def __call__(self):
        return self.now


def order(anchor, epoch=1, version=1, shards=None, lifetime_ms=500):
    """Return an order for shard s/1 under fence 7."""
    given = {"s/1": 7} if shards is None else shards
    return GrantRequest("vm-1", epoch, version, given, anchor, "run-1", lifetime_ms)


def make_table():
    """Return a table and its clock."""
    clock = Clock()
    return GrantTable(clock, lambda: "run-1"), clock


class TestExpiry:
    def test_a_grant_ends_by_the_targets_clock(self):
        # The leading VM is paused and renews nothing. Its grant must end by itself,
        # at a time that does not depend on when the last order arrived.
        table, clock = make_table()
        assert table.accept(order(anchor=900)) == ""
        clock.now = 1399
        assert table.covers("s/1", 7, 1)
        clock.now = 1400
        assert not table.covers("s/1", 7, 1)

    def test_a_delayed_order_extends_nothing(self):
        # A renewal is held up on its way until after its grant has ended, when a
        # second VM may have begun to serve the key.
        table, clock = make_table()
        table.accept(order(anchor=900))
        clock.now = 1450
        assert table.accept(order(anchor=940)) == "anchor"
        assert not table.covers("s/1", 7, 1)

    def test_renewals_out_of_order_do_not_shorten(self):
        table, clock = make_table()
        table.accept(order(anchor=1000))
        table.accept(order(anchor=900))
        clock.now = 1450
        assert table.covers("s/1", 7, 1)

    def test_a_new_version_may_shorten(self):
        # A VM whose lease ends sooner than it thought takes some of the time back.
        table, clock = make_table()
        table.accept(order(anchor=1000))
        table.accept(order(anchor=1000, version=2, lifetime_ms=100))
        clock.now = 1100
        assert not table.covers("s/1", 7, 1)

    def test_a_restarted_target_holds_nothing(self):
        # The target crashed and lost its memory, and with it the state of its keys.
        table, _ = make_table()
        table.accept(order(anchor=1000))
        table.clear()
        assert not table.covers("s/1", 7, 1)
        assert not table.covers("s/1", 7, 0)
