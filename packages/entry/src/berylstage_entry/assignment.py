"""The assignment of a service's keys to targets, as stored."""

from __future__ import annotations

import json
import zlib
from bisect import bisect_right
from typing import TYPE_CHECKING

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

LAST_KEY = 65535
KEY_COUNT = LAST_KEY + 1


class KeyRange:
    """Adjacent keys with one owner.

    Parameters
    ----------
    first, last : int
        Keys, both inclusive.
    owner : str
        Name of the target; empty if the keys have no owner.
    incarnation : int
        Incarnation of the owner.
    fence : int
    previous_owner : str
        Target that may still hold the keys and must release them first; empty for none.
    previous_incarnation : int
        Incarnation of that target.
    """

    __slots__ = (
        "_digest",
        "fence",
        "first",
        "previous_owner",
        "previous_incarnation",
        "last",
        "incarnation",
        "owner",
    )

    def __init__(
        self,
        first: int,
        last: int,
        owner: str,
        incarnation: int,
        fence: int,
        previous_owner: str = "",
        previous_incarnation: int = 0,
    ):
        self.first = first
        self.last = last
        self.owner = owner
        self.incarnation = incarnation
        self.fence = fence
        self.previous_owner = previous_owner
        self.previous_incarnation = previous_incarnation
        self._digest = 0

    @property
    def digest(self) -> int:
        """Checksum of all fields, which must not change after the first access."""
        if not self._digest:
            state = (
                self.owner,
                self.incarnation,
                self.fence,
                self.previous_owner,
                self.previous_incarnation,
            )
            text = f"{self.first} {self.last} {state}"
            self._digest = zlib.crc32(text.encode())
        return self._digest

    def subrange(self, first: int, last: int) -> KeyRange:
        """Return part of the range."""
        return KeyRange(
            first,
            last,
            self.owner,
            self.incarnation,
            self.fence,
            self.previous_owner,
            self.previous_incarnation,
        )

    def equals_except_keys(self, other: KeyRange) -> bool:
        """Tell whether two ranges are equal apart from their keys."""
        return (
            self.owner == other.owner
            and self.incarnation == other.incarnation
            and self.fence == other.fence
            and self.previous_owner == other.previous_owner
            and self.previous_incarnation == other.previous_incarnation
        )


class Assignment:
    """The owners of all keys of a service.

    Parameters
    ----------
    ranges : sequence of KeyRange
        In order, without gaps.
    next_fence : int
        Higher than any fence that was ever used.
    """

    __slots__ = ("_firsts", "next_fence", "ranges")

    # Number of different digests.
    DIGEST_MODULUS = 1 << 32

    def __init__(self, ranges: Sequence[KeyRange], next_fence: int):
        self.ranges = list(ranges)
        self.next_fence = next_fence
        self._firsts = [r.first for r in self.ranges]

    def find(self, key: int) -> KeyRange:
        """Return the range that contains a key."""
        return self.ranges[bisect_right(self._firsts, key) - 1]

    def replace(self, new: Iterable[KeyRange], next_fence: int) -> Assignment:
        """Return a copy of the assignment in which ranges replace the old ones."""
        result = Assignment(self.ranges, next_fence)
        for new_range in new:
            result._replace_range(new_range)
        return result

    def _replace_range(self, new_range: KeyRange) -> None:
        """Replace the keys of one range, and merge it with equal neighbours.

        Only the adjacent ranges are touched, since every VM does this for each change
        that it receives.
        """
        low = bisect_right(self._firsts, new_range.first) - 1
        high = bisect_right(self._firsts, new_range.last) - 1
        start, end = self.ranges[low], self.ranges[high]
        replacement = self.ranges[max(0, low - 1) : low]
        if start.first < new_range.first:
            replacement.append(start.subrange(start.first, new_range.first - 1))
        replacement.append(new_range)
        if end.last > new_range.last:
            replacement.append(end.subrange(new_range.last + 1, end.last))
        replacement += self.ranges[high + 1 : high + 2]
        merged = _merge_equal_neighbours(replacement)
        span = slice(max(0, low - 1), high + 2)
        self.ranges[span] = merged
        self._firsts[span] = [r.first for r in merged]

    def digest(self) -> int:
        """Return a checksum: assignments with equal checksums are equal.

        It is the sum of the ranges' checksums, most of which do not change between two
        assignments. Every VM verifies each change; computed from the stored bytes, the
        checksum took most of a small VM's time while keys moved.
        """
        total = self.next_fence + sum(r.digest for r in self.ranges)
        return total % self.DIGEST_MODULUS

    def ranges_changed_since(self, old: Assignment) -> list[KeyRange]:
        """Return the ranges, or parts of them, that differ from an older assignment."""
        return [r for r in self.ranges if not old.contains(r)]

    def contains(self, r: KeyRange) -> bool:
        """Tell whether all keys of a range are assigned exactly as it says."""
        mine = self.find(r.first)
        return mine.last >= r.last and mine.equals_except_keys(r)

    def encode(self) -> bytes:
        """Return the value to store.

        It is compressed: each VM that reads the store's changes receives all versions
        of the last seconds, and with a quarter of the bytes a slow link is busy for a
        quarter of the time.
        """
        rows = [
            [
                r.first,
                r.owner,
                r.incarnation,
                r.fence,
                r.previous_owner,
                r.previous_incarnation,
            ]
            for r in self.ranges
        ]
        doc = {"next_fence": self.next_fence, "ranges": rows}
        return zlib.compress(json.dumps(doc, separators=(",", ":")).encode())

    @classmethod
    def decode(cls, value: bytes) -> Assignment:
        """Parse a stored value.

        Raises
        ------
        InvalidRecord
            The value is not a valid assignment.
        """
        try:
            doc = parse_json(zlib.decompress(value))
            rows = doc["ranges"]
            lasts = [row[0] - 1 for row in rows[1:]] + [LAST_KEY]
            ranges = [
                KeyRange(row[0], last, *row[1:])
                for row, last in zip(rows, lasts, strict=True)
            ]
            return cls(ranges, doc["next_fence"])
        except (zlib.error, ValueError, KeyError, TypeError, IndexError) as exc:
            raise InvalidRecord(
                f"stored value is not a valid assignment: {exc}"
            ) from exc


def unassigned() -> Assignment:
    """Return the assignment of a service whose keys have never had an owner."""
    return Assignment([KeyRange(0, LAST_KEY, "", 0, 0)], 1)


def _merge_equal_neighbours(ranges: Sequence[KeyRange]) -> list[KeyRange]:
    """Return the ranges with equal neighbours merged."""
    merged: list[KeyRange] = []
    for r in ranges:
        if merged and merged[-1].equals_except_keys(r):
            merged[-1] = merged[-1].subrange(merged[-1].first, r.last)
        else:
            merged.append(r)
    return merged
