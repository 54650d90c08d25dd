"""Tests of the search for the owner of a request's key."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from berylstage_entry.assignment import Assignment, KeyRange
from berylstage_entry.clock import now
from berylstage_entry.errors import NoOwner
from berylstage_entry.owners import (
    MAX_MOVE_SECONDS,
    REFRESH_AFTER_SECONDS,
    OwnerResolver,
)
from virtual_time import virtual_loop


class Watcher:
    """Knows one range, and records when a refresh is requested."""

    def __init__(self, key_range):
        self.assignments = {"s": Assignment([key_range], 9)}
        self.assignment_revisions = {"s": 1}
        self.refreshes = []

    def request_refresh(self, cause=""):
        self.refreshes.append(now())


def make_context(seconds):
    end = now() + seconds
    return SimpleNamespace(
        req=SimpleNamespace(key=5),
        service=SimpleNamespace(name="s"),
        route=SimpleNamespace(timeout=2 * seconds),
        seconds_left=lambda moment: end - moment,
        retry_delay=0.0,
        rejected_by=None,
    )


def first_refresh(key_range, seconds, requests=1):
    """Return the seconds until a refresh is requested; infinite for none."""
    with virtual_loop() as loop:
        watcher = Watcher(key_range)
        view = SimpleNamespace(is_usable=lambda name: True)
        owners = OwnerResolver(watcher, view)
        began = now()

        async def scenario():
            for _ in range(requests):
                with pytest.raises(NoOwner):
                    await owners.find(make_context(seconds))

        loop.run_until_complete(scenario())
    return min(watcher.refreshes, default=float("inf")) - began


class TestRefresh:
    def test_request_for_a_key_without_an_owner_causes_a_refresh(self):
        seconds = first_refresh(KeyRange(0, 65535, "", 0, 5), 4.0)
        assert REFRESH_AFTER_SECONDS <= seconds < REFRESH_AFTER_SECONDS + 0.1

    def test_request_for_a_moving_key_causes_none_at_first(self):
        # Guards against four reads a second of each VM for moves that it knows of: 81
        # VMs made 352 reads in two seconds with moves.
        moving = KeyRange(0, 65535, "b", 1, 5, "a", 1)
        assert first_refresh(moving, 1.5) == float("inf")

    def test_long_move_causes_a_refresh(self):
        # Guards against requests refused because the message that ended a move was
        # lost, also if each of them waits for a short time only.
        moving = KeyRange(0, 65535, "b", 1, 5, "a", 1)
        seconds = first_refresh(moving, 4.0)
        assert MAX_MOVE_SECONDS <= seconds < MAX_MOVE_SECONDS + 0.3
        seconds = first_refresh(moving, 1.0, requests=5)
        assert MAX_MOVE_SECONDS <= seconds < MAX_MOVE_SECONDS + 0.5
