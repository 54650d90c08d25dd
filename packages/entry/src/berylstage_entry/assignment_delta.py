"""Changes of an assignment, encoded in as few datagrams as possible.

A rebalancing changes a handful of a hundred ranges, and the loss of a data centre a
third of them. Sending the whole assignment by a call to each of 62 VMs saturates the
coordinator's link and delays its grants. Targets then seem unresponsive, and more keys
move.
"""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING

from berylstage_entry.assignment import KeyRange
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json

if TYPE_CHECKING:
    from berylstage_entry.assignment import Assignment

# First byte of a datagram that contains a change.
MESSAGE_TYPE = 18
# Keeps a datagram within one packet: a range takes some 30 bytes compressed, mostly for
# the names of two targets.
MAX_RANGES_PER_DATAGRAM = 32
# A change that needs more datagrams is read from the store by each VM.
MAX_DATAGRAMS = 16


class AssignmentDelta:
    """The difference between two assignments of a service.

    Parameters
    ----------
    service : str
    base_revision, revision : int
        Revisions of the old and the new assignment.
    next_fence : int
        Next fence of the new assignment.
    ranges : list of KeyRange
        Ranges of the new assignment that differ.
    checksum : int
        Digest of the new assignment.

    Attributes
    ----------
    parts_left : int
        Number of datagrams of the change that have not arrived yet.
    """

    __slots__ = (
        "base_revision",
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
        base_revision: int,
        revision: int,
        next_fence: int,
        ranges: list[KeyRange],
        checksum: int,
    ):
        self.service = service
        self.base_revision = base_revision
        self.revision = revision
        self.next_fence = next_fence
        self.ranges = ranges
        self.checksum = checksum
        self.parts_left = 0

    @classmethod
    def between(
        cls,
        service: str,
        base_revision: int,
        old: Assignment,
        revision: int,
        new: Assignment,
    ) -> AssignmentDelta:
        """Return the change from an old assignment to a new one."""
        ranges = new.ranges_changed_since(old)
        return cls(
            service, base_revision, revision, new.next_fence, ranges, new.digest()
        )

    def apply(self, old: Assignment) -> Assignment | None:
        """Return the new assignment, or None if its checksum does not match."""
        new = old.replace(self.ranges, self.next_fence)
        return new if new.digest() == self.checksum else None

    def encode(self) -> list[bytes]:
        """Return the datagrams; an empty list if the change needs too many."""
        ranges = self.ranges
        parts = [
            ranges[first : first + MAX_RANGES_PER_DATAGRAM]
            for first in range(0, len(ranges), MAX_RANGES_PER_DATAGRAM)
        ] or [[]]
        if len(parts) > MAX_DATAGRAMS:
            return []
        return [self._encode_part(part, len(parts)) for part in parts]

    def _encode_part(self, ranges: list[KeyRange], parts: int) -> bytes:
        rows = [
            [
                r.first,
                r.last,
                r.owner,
                r.incarnation,
                r.fence,
                r.previous_owner,
                r.previous_incarnation,
            ]
            for r in ranges
        ]
        head = [self.service, self.base_revision, self.revision]
        doc = [*head, self.next_fence, rows, self.checksum, parts]
        text = json.dumps(doc, separators=(",", ":")).encode()
        return bytes([MESSAGE_TYPE]) + zlib.compress(text)

    def join(self, other: AssignmentDelta) -> None:
        """Add the ranges of another part of the same change."""
        known = {r.first for r in self.ranges}
        new = [r for r in other.ranges if r.first not in known]
        if new:
            self.ranges += new
            self.parts_left -= 1

    @classmethod
    def decode(cls, data: bytes) -> AssignmentDelta:
        """Decode a datagram, which may be one of several parts of a change.

        Raises
        ------
        InvalidRecord
            If the datagram is not a valid change.
        """
        try:
            service, base_revision, revision, next_fence, rows, checksum, parts = (
                parse_json(zlib.decompress(data[1:]))
            )
            ranges = [KeyRange(*row) for row in rows]
            change = cls(
                str(service),
                int(base_revision),
                int(revision),
                int(next_fence),
                ranges,
                checksum,
            )
            change.parts_left = int(parts) - 1
            return change
        except (zlib.error, ValueError, TypeError) as exc:
            raise InvalidRecord(
                f"datagram is not a valid change of an assignment: {exc}"
            ) from exc
