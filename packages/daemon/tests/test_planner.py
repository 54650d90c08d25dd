"""Tests of the placement of shards by reported loads."""

from __future__ import annotations

from berylstage_daemon.planner import LoadPlanner
from berylstage_messages.load_pb2 import HotKeys, LoadDigest, ShardLoad
from berylstage_policy.placement import PlacementTarget, ShardPlacement

PLACES = [
    PlacementTarget("t1", "almaty-a", 2.0, True),
    PlacementTarget("t2", "almaty-b", 2.0, True),
]


def digest(shards=None, hot_keys=()):
    rows = [ShardLoad(shard=s, load=load) for s, load in (shards or {}).items()]
    return LoadDigest(shards=rows, hot_keys=hot_keys).SerializeToString()


class TestPlan:
    def test_loaded_target_gives_shards_away(self):
        # Half of the shards take nearly all of the traffic, and all of these happen to
        # be on one target. Placed by number alone they would stay there.
        holdings = [ShardPlacement(f"s/{n}", "t1" if n < 4 else "t2") for n in range(8)]
        loads = {"vm-1": digest({f"s/{n}": 0.4 for n in range(4)})}
        moves = LoadPlanner().plan("s", holdings, PLACES, 8, loads)
        assert {move.destination for move in moves} == {"t2"}
        assert 1 <= len(moves) <= 2

    def test_without_reports_nothing_moves_needlessly(self):
        holdings = [ShardPlacement(f"s/{n}", "t1" if n < 4 else "t2") for n in range(8)]
        assert LoadPlanner().plan("s", holdings, PLACES, 8, {}) == []


class TestKeysApart:
    def test_hot_keys_are_set_apart_and_given_back(self):
        planner = LoadPlanner()
        hot = HotKeys(service="s", set_apart=["k1"], give_back=["k2"])
        loads = {"vm-1": digest(hot_keys=[hot])}
        assert planner.keys_apart("s", {"k2", "k3"}, loads) == {"k1", "k3"}

    def test_keys_of_another_service_are_left_alone(self):
        hot = HotKeys(service="other", set_apart=["k1"])
        loads = {"vm-1": digest(hot_keys=[hot])}
        assert LoadPlanner().keys_apart("s", set(), loads) == set()

    def test_silence_keeps_what_is_set_apart(self):
        # The proposer is lost and the next one has heard no report yet. Taken for "no
        # hot keys", the silence would give back all hot keys at once, and each move
        # makes its key unavailable.
        assert LoadPlanner().keys_apart("s", {"k1"}, {}) == {"k1"}
