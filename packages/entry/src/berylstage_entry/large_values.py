"""Fetches values that are too large for the deltas of other VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Delay before a large value is read, since another VM may be pushing it.
FETCH_DELAY_SECONDS = 0.05


class LargeValueFetcher:
    """Tracks the revisions of large values and reads those that are outdated.

    Each value is read in a task of its own. A read on a dead connection lasts until its
    timeout, and a configuration must not wait for it.

    Parameters
    ----------
    read : callable
        Reads a key and applies its value. Returns False when the call has failed and
        the delay before the next retry has passed.
    """

    __slots__ = ("_revisions", "_read", "_tasks", "_wanted_revisions")

    def __init__(self, read: Callable[[str], Awaitable[bool]]):
        self._read = read
        # Newest revision of each key that was applied.
        self._revisions: dict[str, int] = {}
        self._wanted_revisions: dict[str, int] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def known_revision(self, key: str) -> int:
        """Return the newest revision of a key that was applied; 0 for none."""
        return self._revisions.get(key, 0)

    def wanted_revision(self, key: str) -> int:
        """Return the newest revision of a key that is known to exist; 0 for none."""
        return self._wanted_revisions.get(key, 0)

    def is_missing(self, prefix: str) -> bool:
        """Tell whether a newer value of a key with a prefix exists than was applied."""
        return any(
            self.known_revision(key) < wanted
            for key, wanted in self._wanted_revisions.items()
            if key.startswith(prefix)
        )

    def note_revision(self, key: str, revision: int) -> None:
        """Record that a value was applied, whichever way it arrived."""
        self._revisions[key] = max(self.known_revision(key), revision)

    def fetch_newer(self, revisions: dict[str, int]) -> None:
        """Read the values that are newer than those applied.

        Parameters
        ----------
        revisions : dict of str to int
            Newest revision of each key.
        """
        for key, revision in revisions.items():
            if self.known_revision(key) >= revision:
                continue
            self._wanted_revisions[key] = revision
            if key not in self._tasks or self._tasks[key].done():
                self._tasks[key] = asyncio.create_task(self._fetch(key))

    def stop(self) -> None:
        """Cancel all reads."""
        for task in self._tasks.values():
            task.cancel()

    async def _fetch(self, key: str) -> None:
        while True:
            revision = self._wanted_revisions[key]
            # Another VM may be pushing the value.
            await asyncio.sleep(FETCH_DELAY_SECONDS)
            is_known = self.known_revision(key) >= revision or await self._read(key)
            if is_known and self._wanted_revisions[key] == revision:
                return
