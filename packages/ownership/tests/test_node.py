"""Several cores together: start, loss, closing, outage."""

from __future__ import annotations

from ownership_setting import build_world

KEYS = [f"key-{number}" for number in range(12)]


class TestStart:
    def test_keys_are_served(self):
        world = build_world(settle=0)
        assert world.until_served("visits", KEYS) < 6
        assert world.faults == []
