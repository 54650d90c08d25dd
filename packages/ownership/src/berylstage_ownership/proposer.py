"""Calls to the store: reading the documents and proposing the next assignment."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from berylstage_ownership.actions import ReadStore, WriteStore
from berylstage_ownership.assignment import Assignment
from berylstage_ownership.constants import (
    CONFIGURATION_POLL,
    DEPUTY_POLL,
    STORE_RETRY,
    STORE_TIMEOUT,
)
from berylstage_ownership.events import (
    StoreConflict,
    StoreRead,
    StoreWritten,
)
from berylstage_ownership.spread import UNREADABLE

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_ownership.actions import Action
    from berylstage_ownership.events import StoreResult

CONFIGURATION_KEY = "berylstage/configuration"
ASSIGNMENT_PREFIX = "berylstage/assignment/"


class Role(Enum):
    """What a VM does with the store."""

    PROPOSER = "proposer"
    DEPUTY = "deputy"
    SEEKER = "seeker"
    NONE = "none"


POLLS = {
    Role.PROPOSER: CONFIGURATION_POLL,
    Role.DEPUTY: DEPUTY_POLL,
    Role.SEEKER: CONFIGURATION_POLL,
}
"""Seconds between two reads of a document by role."""


class Call:
    """One call to the store under way.

    Parameters
    ----------
    key : str
    sent_at : float
    written : Assignment or None
        What a write writes.
    """

    __slots__ = ("key", "sent_at", "written")

    def __init__(self, key: str, sent_at: float, written: Assignment | None = None):
        self.key = key
        self.sent_at = sent_at
        self.written = written


class StoreSession:
    """Calls of this VM to the store, at most one of each sort at a time.

    A write whose answer was lost may have taken effect, or may yet. Until the
    assignment was read again nothing else is written: a second write over the first
    would undo an assignment that somebody acts on already, which one would notice as
    two targets that own one shard. The compare-and-swap on the version that was read
    back settles a first write that is still under way.

    Parameters
    ----------
    cell : str
    next_tag : callable
        Returns a new tag.
    """

    def __init__(self, cell: str, next_tag: Callable[[], int]):
        self.assignment_key = ASSIGNMENT_PREFIX + cell
        self._next_tag = next_tag
        self._calls: dict[int, Call] = {}
        self._read_at = {CONFIGURATION_KEY: -1e9, self.assignment_key: -1e9}
        self._retry_at = 0.0
        self.version: int | None = None
        self.revision = -1
        self.absent = False
        self.unsettled: str | None = None
        self.lost = False
        self.calls_made = 0

    def polls(self, now: float, role: Role, has_fallen_behind: bool) -> list[Action]:
        """Return the reads that are due.

        Parameters
        ----------
        now : float
        role : Role
        has_fallen_behind : bool
            Whether the version to write on is not known.

        Returns
        -------
        list of Action
        """
        self._drop_late(now)
        if role is Role.NONE or now < self._retry_at:
            return []
        every = POLLS[role]
        actions: list[Action] = []
        if now - self._read_at[CONFIGURATION_KEY] >= every:
            actions += self._read(now, CONFIGURATION_KEY)
        key = self.assignment_key
        if role is Role.PROPOSER:
            due = has_fallen_behind or self.unsettled is not None
            due = due or now - self._read_at[key] >= DEPUTY_POLL
        else:
            due = now - self._read_at[key] >= every
        if due:
            actions += self._read(now, key)
        return actions

    def _read(self, now: float, key: str) -> list[Action]:
        """Return a read of a key unless a call on it is under way."""
        if any(call.key == key for call in self._calls.values()):
            return []
        tag = self._next_tag()
        self._calls[tag] = Call(key, now)
        self._read_at[key] = now
        self.calls_made += 1
        return [ReadStore(key, tag, STORE_TIMEOUT)]

    def can_write(self, now: float, revision: int) -> bool:
        """Tell whether a write on top of a revision may leave now."""
        busy = any(call.key == self.assignment_key for call in self._calls.values())
        settled = self.unsettled is None and self.version is not None
        on_top = self.revision == revision
        return settled and on_top and not busy and now >= self._retry_at

    def write(self, now: float, assignment: Assignment) -> list[Action]:
        """Return the write of an assignment; :meth:`can_write` must hold.

        Parameters
        ----------
        now : float
        assignment : Assignment

        Returns
        -------
        list of Action
        """
        assert self.version is not None
        tag = self._next_tag()
        self._calls[tag] = Call(self.assignment_key, now, assignment)
        self.calls_made += 1
        raw = assignment.to_json()
        key = self.assignment_key
        return [WriteStore(key, raw, self.version, tag, STORE_TIMEOUT)]

    def reply(self, now: float, tag: int, result: StoreResult) -> Assignment | None:
        """Take in the result of a call.

        Parameters
        ----------
        now : float
        tag : int
        result : StoreResult

        Returns
        -------
        Assignment or None
            The assignment that certainly took effect by this write.
        """
        call = self._calls.pop(tag, None)
        if isinstance(result, StoreRead):
            self._note_read(result, call)
            return None
        if call is None:
            return None
        if isinstance(result, StoreWritten):
            return self._note_written(result, call)
        if isinstance(result, StoreConflict):
            self.version = None
            self.lost = False
            return None
        self._note_failure(now, call)
        return None

    def _note_read(self, result: StoreRead, call: Call | None) -> None:
        """Keep the version that a read found, and settle a lost write."""
        if call is None:
            # Too late to say what the store holds now.
            return
        self.lost = False
        if result.key != self.assignment_key:
            return
        self.version = result.version
        self.unsettled = None
        self.absent = result.version == 0
        self.revision = self._revision_of(result.value)

    def _revision_of(self, raw: bytes) -> int:
        """Return the revision of the assignment read; -1 when it cannot be read."""
        if not raw:
            return 0
        try:
            return Assignment.from_json(raw).revision
        except UNREADABLE:
            # Writing over it could undo what another release decided.
            return -1

    def _note_written(self, result: StoreWritten, call: Call) -> Assignment | None:
        """Keep the version that a write made."""
        self.lost = False
        if call.written is None:
            return None
        self.version = result.version
        self.revision = call.written.revision
        self.absent = False
        return call.written

    def _note_failure(self, now: float, call: Call) -> None:
        """Wait before the next call; a write that failed is to be settled."""
        self.lost = True
        self._retry_at = now + STORE_RETRY
        if call.written is not None:
            self.unsettled = call.written.write_id
            self.version = None

    def _drop_late(self, now: float) -> None:
        """Count calls without any reply as lost."""
        for tag, call in list(self._calls.items()):
            if now - call.sent_at > STORE_TIMEOUT * 1.5:
                del self._calls[tag]
                self._note_failure(now, call)
