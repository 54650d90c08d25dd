"""The last revisions in short, kept in one bounded value of the store."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from berylstage_platform.errors import StoreUnavailable, VersionConflict

if TYPE_CHECKING:
    from berylstage_platform.store import Store

HISTORY_KEY = "berylstage/history"
# A summary takes 6 KB at most, with four bytes a character, so the value stays below
# 600 KB of the store's 1 MB.
MAX_REVISIONS = 100
MAX_CHANGES = 10
MAX_CHANGE_LENGTH = 120
MAX_AUTHOR_LENGTH = 120
RECORD_ATTEMPTS = 5


class RevisionSummary:
    """One accepted revision in short.

    Parameters
    ----------
    revision : int
    author : str
    write_id : str
        Id of the write that brought it.
    accepted_at_ms : int
        Unix time in milliseconds by the clock of the operator's machine; 0 when
        only a later writer recorded the revision.
    changes : list of str
        Its weightiest changes in words.
    change_count : int
        Number of all its changes.
    """

    __slots__ = (
        "revision",
        "author",
        "write_id",
        "accepted_at_ms",
        "changes",
        "change_count",
    )

    def __init__(
        self,
        revision: int,
        author: str,
        write_id: str,
        accepted_at_ms: int = 0,
        changes: list[str] | None = None,
        change_count: int = 0,
    ):
        self.revision = revision
        self.author = author[:MAX_AUTHOR_LENGTH]
        self.write_id = write_id
        self.accepted_at_ms = accepted_at_ms
        self.changes = [c[:MAX_CHANGE_LENGTH] for c in (changes or [])[:MAX_CHANGES]]
        self.change_count = change_count

    def document(self) -> dict:
        """Return the summary as JSON takes it."""
        return {name: getattr(self, name) for name in self.__slots__}


class History:
    """The summaries in the store, the newest first.

    Parameters
    ----------
    store : Store
    """

    def __init__(self, store: Store):
        self._store = store

    async def summaries(self) -> list[RevisionSummary]:
        """Return the summaries.

        Returns
        -------
        list of RevisionSummary

        Raises
        ------
        PlatformError
            The store did not answer.
        """
        return _decode((await self._store.read(HISTORY_KEY)).value)

    async def find(self, revision: int) -> RevisionSummary | None:
        """Return the summary of one revision; None when it is not kept."""
        for summary in await self.summaries():
            if summary.revision == revision:
                return summary
        return None

    async def record(self, summary: RevisionSummary) -> None:
        """Add a summary, unless one as full is there.

        Parameters
        ----------
        summary : RevisionSummary

        Raises
        ------
        PlatformError
            The store did not take it.
        """
        for attempt in range(1, RECORD_ATTEMPTS + 1):
            entry = await self._store.read(HISTORY_KEY)
            kept = {s.revision: s for s in _decode(entry.value)}
            known = kept.get(summary.revision)
            if known is not None and (
                known.accepted_at_ms or not summary.accepted_at_ms
            ):
                return
            kept[summary.revision] = summary
            try:
                await self._store.write(HISTORY_KEY, _encode(kept), entry.version)
            except (VersionConflict, StoreUnavailable):
                # Another writer was first, or the answer was lost. The next read
                # shows which, and the summary is written only if it is not there.
                if attempt == RECORD_ATTEMPTS:
                    raise
            else:
                return


def _decode(raw: bytes) -> list[RevisionSummary]:
    """Read the summaries from the store's value."""
    return [RevisionSummary(**doc) for doc in json.loads(raw or b"[]")]


def _encode(kept: dict[int, RevisionSummary]) -> bytes:
    """Return the store's value for the newest summaries."""
    newest = sorted(kept, reverse=True)[:MAX_REVISIONS]
    documents = [kept[revision].document() for revision in newest]
    return json.dumps(documents, ensure_ascii=False).encode()
