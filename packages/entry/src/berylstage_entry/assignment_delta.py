"""What has changed in an assignment, in as few datagrams as it takes.

A round of moves changes a handful of ranges of a hundred, and a lost data centre a
third of them. Told whole, by a call to each of 62 VMs, an assignment fills the link of
the VM with the duty, whose grants then come late; targets count as silent for that, and
more keys move.
"""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING

from berylstage_entry.assignment import KeyRange
from berylstage_entry.errors import InvalidRecord

if TYPE_CHECKING:
    from berylstage_entry.assignment import Assignment

# First byte of a datagram.
FORMAT = 18
# Ranges in one datagram at most, so that it goes over the network in one packet: one
# takes some 30 bytes compressed, mostly for the names of two targets.
MOST_RANGES = 32
# Datagrams of one change at most. What takes more is read from the store by each VM.
MOST_PARTS = 16


class AssignmentDelta:
    """A step from one assignment of a service to the next.

    Parameters
    ----------
    service : str
    before, revision : int
        Revisions of the assignments.
    next_fence : int
        Of the new one.
    ranges : list of KeyRange
        That differ.
    checksum : int
        Digest of the new assignment.

    Attributes
    ----------
    parts_left : int
        Datagrams of the change that have yet to come.
    """

    __slots__ = (
        "before",
        "checksum",
        "next_fence",
        "parts_left",
        "ranges",
        "revision",
        "service",
    )

    def __init__(
        self,
        service: str,
        before: int,
        revision: int,
        next_fence: int,
        ranges: list[KeyRange],
        checksum: int,
    ):
        self.service = service
        self.before = before
        self.revision = revision
        self.next_fence = next_fence
        self.ranges = ranges
        self.checksum = checksum
        self.parts_left = 0

    @classmethod
    def between(
        cls, service: str, before: int, old: Assignment, revision: int, new: Assignment
    ) -> AssignmentDelta:
        """Return the step from an old assignment to a new one."""
        ranges = new.differing(old)
        return cls(service, before, revision, new.next_fence, ranges, new.digest())

    def apply(self, old: Assignment) -> Assignment | None:
        """Return the new assignment; None when it does not come out as it should."""
        new = old.replace(self.ranges, self.next_fence)
        return new if new.digest() == self.checksum else None

    def encode(self) -> list[bytes]:
        """Return the datagrams; none when the step takes too many."""
        ranges = self.ranges
        parts = [
            ranges[first : first + MOST_RANGES]
            for first in range(0, len(ranges), MOST_RANGES)
        ] or [[]]
        if len(parts) > MOST_PARTS:
            return []
        return [self._part(part, len(parts)) for part in parts]

    def _part(self, ranges: list[KeyRange], parts: int) -> bytes:
        rows = [
            [r.first, r.last, r.owner, r.life, r.fence, r.former, r.former_life]
            for r in ranges
        ]
        head = [self.service, self.before, self.revision]
        doc = [*head, self.next_fence, rows, self.checksum, parts]
        text = json.dumps(doc, separators=(",", ":")).encode()
        return bytes([FORMAT]) + zlib.compress(text)

    def join(self, other: AssignmentDelta) -> None:
        """Add the ranges of another part of the same change."""
        known = {r.first for r in self.ranges}
        new = [r for r in other.ranges if r.first not in known]
        if new:
            self.ranges += new
            self.parts_left -= 1

    @classmethod
    def decode(cls, data: bytes) -> AssignmentDelta:
        """Read a datagram, which may be one of several parts.

        Raises
        ------
        UnreadableRecord
            It is none.
        """
        try:
            service, before, revision, next_fence, rows, checksum, parts = json.loads(
                zlib.decompress(data[1:])
            )
            ranges = [KeyRange(*row) for row in rows]
            change = cls(
                str(service),
                int(before),
                int(revision),
                int(next_fence),
                ranges,
                checksum,
            )
            change.parts_left = int(parts) - 1
            return change
        except (zlib.error, ValueError, TypeError) as exc:
            raise InvalidRecord(f"no change of an assignment: {exc}") from exc
