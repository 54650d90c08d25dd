"""Which target holds which keys of a service, as the store keeps it."""

from __future__ import annotations

import json
import zlib
from bisect import bisect_right
from typing import TYPE_CHECKING

from berylstage_entry.errors import InvalidRecord

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

LAST_KEY = 65535
KEYS = LAST_KEY + 1


class KeyRange:
    """Neighbouring keys with one owner.

    Parameters
    ----------
    first, last : int
        Both included.
    owner : str
        Name of the target; empty when nobody owns them.
    life : int
        Life of the target.
    fence : int
    former : str
        Target that may still hold them and must let go first; empty for none.
    former_life : int
    """

    __slots__ = (
        "_digest",
        "fence",
        "first",
        "former",
        "former_life",
        "last",
        "life",
        "owner",
    )

    def __init__(
        self,
        first: int,
        last: int,
        owner: str,
        life: int,
        fence: int,
        former: str = "",
        former_life: int = 0,
    ):
        self.first = first
        self.last = last
        self.owner = owner
        self.life = life
        self.fence = fence
        self.former = former
        self.former_life = former_life
        self._digest = 0

    @property
    def digest(self) -> int:
        """Checksum of all that it says; it must not change once this was asked for."""
        if not self._digest:
            holding = (self.owner, self.life, self.fence, self.former, self.former_life)
            text = f"{self.first} {self.last} {holding}"
            self._digest = zlib.crc32(text.encode())
        return self._digest

    def cut(self, first: int, last: int) -> KeyRange:
        """Return a part of the range."""
        return KeyRange(
            first,
            last,
            self.owner,
            self.life,
            self.fence,
            self.former,
            self.former_life,
        )

    def same_holding(self, other: KeyRange) -> bool:
        """Tell whether two ranges differ only in their keys."""
        return (
            self.owner == other.owner
            and self.life == other.life
            and self.fence == other.fence
            and self.former == other.former
            and self.former_life == other.former_life
        )


class Assignment:
    """The owners of all keys of one service.

    Parameters
    ----------
    ranges : sequence of KeyRange
        In order, without gaps.
    next_fence : int
        Above all fences that were ever given out.
    """

    __slots__ = ("_firsts", "next_fence", "ranges")

    # Bits of a digest.
    DIGEST = 1 << 32

    def __init__(self, ranges: Sequence[KeyRange], next_fence: int):
        self.ranges = list(ranges)
        self.next_fence = next_fence
        self._firsts = [r.first for r in self.ranges]

    def find(self, key: int) -> KeyRange:
        """Return the range of a key."""
        return self.ranges[bisect_right(self._firsts, key) - 1]

    def replace(self, new: Iterable[KeyRange], next_fence: int) -> Assignment:
        """Return an assignment in which some ranges are laid over the old ones."""
        laid = Assignment(self.ranges, next_fence)
        for part in new:
            laid._lay(part)
        return laid

    def _lay(self, part: KeyRange) -> None:
        """Lay one range over those there are, and join it with like neighbours.

        Only the ranges around it are touched: every VM does this for each change that
        it is told of.
        """
        low = bisect_right(self._firsts, part.first) - 1
        high = bisect_right(self._firsts, part.last) - 1
        start, end = self.ranges[low], self.ranges[high]
        pieces = self.ranges[max(0, low - 1) : low]
        if start.first < part.first:
            pieces.append(start.cut(start.first, part.first - 1))
        pieces.append(part)
        if end.last > part.last:
            pieces.append(end.cut(part.last + 1, end.last))
        pieces += self.ranges[high + 1 : high + 2]
        joined = _joined(pieces)
        span = slice(max(0, low - 1), high + 2)
        self.ranges[span] = joined
        self._firsts[span] = [r.first for r in joined]

    def digest(self) -> int:
        """Return a checksum: two assignments with the same one are the same.

        It is the sum of those of the ranges, which most assignments share with the one
        before them. Each change is checked by every VM; made from the bytes that the
        store keeps, that took most of a small VM's time while keys moved.
        """
        total = self.next_fence + sum(r.digest for r in self.ranges)
        return total % self.DIGEST

    def differing(self, old: Assignment) -> list[KeyRange]:
        """Return the ranges, or parts of them, that an older assignment lacks."""
        return [r for r in self.ranges if not old.has(r)]

    def has(self, r: KeyRange) -> bool:
        """Tell whether all keys of a range are held just as it says."""
        mine = self.find(r.first)
        return mine.last >= r.last and mine.same_holding(r)

    def encode(self) -> bytes:
        """Return the bytes that the store keeps.

        They are compressed: each VM that reads the store's changes gets all versions of
        the last seconds, and a quarter of the bytes fills a small link for a quarter of
        the time.
        """
        rows = [
            [r.first, r.owner, r.life, r.fence, r.former, r.former_life]
            for r in self.ranges
        ]
        doc = {"next_fence": self.next_fence, "ranges": rows}
        return zlib.compress(json.dumps(doc, separators=(",", ":")).encode())

    @classmethod
    def decode(cls, value: bytes) -> Assignment:
        """Read what the store keeps.

        Raises
        ------
        UnreadableRecord
            It is no assignment.
        """
        try:
            doc = json.loads(zlib.decompress(value))
            rows = doc["ranges"]
            lasts = [row[0] - 1 for row in rows[1:]] + [LAST_KEY]
            ranges = [
                KeyRange(row[0], last, *row[1:])
                for row, last in zip(rows, lasts, strict=True)
            ]
            return cls(ranges, doc["next_fence"])
        except (zlib.error, ValueError, KeyError, TypeError, IndexError) as exc:
            raise InvalidRecord(f"no assignment of keys: {exc}") from exc


def nobody() -> Assignment:
    """Return the assignment of a service whose keys have never had an owner."""
    return Assignment([KeyRange(0, LAST_KEY, "", 0, 0)], 1)


def _joined(ranges: Sequence[KeyRange]) -> list[KeyRange]:
    """Return ranges with like neighbours made one."""
    joined: list[KeyRange] = []
    for r in ranges:
        if joined and joined[-1].same_holding(r):
            joined[-1] = joined[-1].cut(joined[-1].first, r.last)
        else:
            joined.append(r)
    return joined
