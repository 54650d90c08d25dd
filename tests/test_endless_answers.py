"""Tests of a VM process of 300 MB beside targets that send bytes without end."""

from __future__ import annotations

import asyncio

import pytest
from endless_load import ENDLESS_ANSWERS, OK, EndlessEnvironment

PLAY_SECONDS = 1.5
REQUESTS_PER_SECOND = 100
# Highest memory of the process, in MB: the share of 300 MB that it may use.
MAX_MEMORY_MB = 216
SLOW_KINDS = ("head", "interim answers", "body in chunks")


async def play(folder, kind, is_slow, path="/a/"):
    """Return the figures of one play, and how many requests were spoiled."""
    async with EndlessEnvironment(folder, kind, is_slow=is_slow) as environment:
        found = await environment.play(path, PLAY_SECONDS, REQUESTS_PER_SECOND)
        assert environment.vm.process.poll() is None
        return found, environment.spoiled


class TestEndlessAnswers:
    @pytest.mark.parametrize(
        ("kind", "is_slow"),
        [(kind, False) for kind in ENDLESS_ANSWERS] + [(k, True) for k in SLOW_KINDS],
    )
    def test_other_requests_are_served(self, tmp_path, kind, is_slow):
        # Guards against a VM that is killed for its memory, or answers nobody, because
        # two of its eight targets send without end.
        found, spoiled = asyncio.run(play(tmp_path, kind, is_slow))
        assert spoiled
        assert found.peak_mb < MAX_MEMORY_MB
        assert found.statuses.count(0) == 0, found
        assert found.statuses.count(OK) >= len(found.statuses) - spoiled, found
