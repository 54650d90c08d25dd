"""Gets the large values that other VMs name and do not tell."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

# Seconds before a large value is read that another VM has named: it may be told.
FETCH_DELAY_SECONDS = 0.05


class LargeValueFetcher:
    """The keys with large values, and which of them this VM has yet to read.

    Each is read by itself. A reading may take as long as a call may on a connection
    that went silent; a configuration must not wait behind one.

    Parameters
    ----------
    read : callable
        Reads a key and takes its value in; returns False when the store has failed,
        after the pause before the next try.
    """

    __slots__ = ("_revisions", "_read", "_tasks", "_wanted")

    def __init__(self, read: Callable[[str], Awaitable[bool]]):
        self._read = read
        # Newest revision taken in of each key.
        self._revisions: dict[str, int] = {}
        self._wanted: dict[str, int] = {}
        self._tasks: dict[str, asyncio.Task] = {}

    def known_revision(self, key: str) -> int:
        """Return the newest revision of a key that was taken in; 0 for none."""
        return self._revisions.get(key, 0)

    def note_revision(self, key: str, revision: int) -> None:
        """Note that a value was taken in, however it came."""
        self._revisions[key] = max(self.known_revision(key), revision)

    def fetch_newer(self, revisions: dict[str, int]) -> None:
        """Get the values that are named and not known.

        Parameters
        ----------
        revisions : dict of str to int
            By key.
        """
        for key, revision in revisions.items():
            if self.known_revision(key) >= revision:
                continue
            self._wanted[key] = revision
            if key not in self._tasks or self._tasks[key].done():
                self._tasks[key] = asyncio.create_task(self._fetch(key))

    def stop(self) -> None:
        """Read nothing more."""
        for task in self._tasks.values():
            task.cancel()

    async def _fetch(self, key: str) -> None:
        while True:
            revision = self._wanted[key]
            # It may be on its way from another VM.
            await asyncio.sleep(FETCH_DELAY_SECONDS)
            is_known = self.known_revision(key) >= revision or await self._read(key)
            if is_known and self._wanted[key] == revision:
                return
