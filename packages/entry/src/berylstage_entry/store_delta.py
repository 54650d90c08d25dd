"""Changes of the store that the coordinator reads and publishes to the other VMs.

If every VM read the store once a second, the load on the store would grow with the
number of VMs, though all of them read the same. Instead, one VM reads and publishes the
changes. The others read only to close a gap, or when no delta has arrived for a while.
"""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json
from berylstage_entry.store import Item

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Largest encoded delta that is sent without IP fragmentation.
MAX_DATAGRAM_BYTES = 1300
# Values above this size are listed by key and revision only. Values that fit into a few
# packets are pushed before the delta; each VM reads larger ones from the store.
MAX_INLINE_VALUE_BYTES = 500
# First byte of a datagram that contains a delta.
MESSAGE_TYPE = 16


class StoreDelta:
    """The relevant changes of the store between two revisions.

    Parameters
    ----------
    after : int
        Revision that the receiver must have reached to apply the delta.
    revision : int
        Revision that the receiver has reached after it.
    items : sequence of Item
        Changes in order of revision, without reports that change nothing.
    large_revisions : dict of str to int
        Revision of each key whose value is too large to be included.
    age : float
        Seconds from the start of the read to the publication.
    contact : float
        Seconds for which the store has answered the publisher without a failure.

    Attributes
    ----------
    large : list of Item
        Values behind `large_revisions`, as far as this VM has read them itself.
    """

    __slots__ = (
        "after",
        "age",
        "contact",
        "items",
        "large_items",
        "large_revisions",
        "revision",
    )

    def __init__(
        self,
        after: int,
        revision: int,
        items: Sequence[Item],
        large_revisions: dict[str, int] | None = None,
        age: float = 0.0,
        contact: float = 0.0,
    ):
        self.after = after
        self.revision = revision
        self.items = list(items)
        self.large_revisions = large_revisions or {}
        self.age = age
        self.contact = contact
        self.large_items: list[Item] = []

    def add(self, item: Item, is_sent_separately: bool = False) -> None:
        """Add a change.

        Parameters
        ----------
        item : Item
        is_sent_separately : bool
            Whether the VM that wrote the value sends it itself. Only the revision is
            listed then, so that a VM which missed the value knows what to read.
        """
        if is_sent_separately:
            self.large_revisions[item.key] = item.revision
        elif item.value is not None and len(item.value) > MAX_INLINE_VALUE_BYTES:
            self.large_revisions[item.key] = item.revision
            self.large_items.append(item)
        else:
            self.items.append(item)

    def with_earlier(self, earlier: Iterable[StoreDelta]) -> StoreDelta:
        """Return this delta merged with earlier ones, as far as a datagram holds them.

        A VM that misses a datagram would have to read all reports of all targets since,
        which takes a second on a slow link. Repeating recent changes makes the loss of
        a datagram harmless.

        Parameters
        ----------
        earlier : iterable of StoreDelta
            Deltas without gaps between them, newest first.

        Returns
        -------
        StoreDelta
        """
        merged = self._with_changes(self.after, self.items, self.large_revisions)
        for before in earlier:
            items = [*before.items, *merged.items]
            large_revisions = before.large_revisions | merged.large_revisions
            extended = self._with_changes(before.after, items, large_revisions)
            if extended.encode() is None:
                break
            merged = extended
        return merged

    def _with_changes(
        self, after: int, items: Sequence[Item], large_revisions: dict[str, int]
    ) -> StoreDelta:
        """Return this delta with other changes and another base revision."""
        delta = StoreDelta(
            after, self.revision, items, large_revisions, self.age, self.contact
        )
        delta.large_items = self.large_items
        return delta

    def split(self) -> list[StoreDelta]:
        """Return equivalent consecutive deltas that fit into one datagram each.

        Without the split, a delta too large for a datagram, such as after the start of
        hundreds of targets, would make each VM read the store itself.

        Returns
        -------
        list of StoreDelta
            Each one starts at the revision at which the previous one ends.
        """
        items = sorted(self.items, key=lambda item: item.revision)
        split_at = _split_index(items)
        if not split_at or self.encode() is not None:
            return [self]
        until = items[split_at].revision - 1
        # Each key is listed in the part that reaches its revision. A VM that gets only
        # the first part considers itself up to date at the end of that part, and would
        # never read a configuration that is listed later.
        large_revisions = {
            key: at for key, at in self.large_revisions.items() if at <= until
        }
        later = {key: at for key, at in self.large_revisions.items() if at > until}
        first = StoreDelta(
            self.after, until, items[:split_at], large_revisions, self.age, self.contact
        )
        second = self._with_changes(until, items[split_at:], later)
        return [*first.split(), *second.split()]

    def encode(self) -> bytes | None:
        """Return the datagram, or None if the delta is too large for one."""
        data = self.encode_any_size()
        return data if len(data) <= MAX_DATAGRAM_BYTES else None

    def encode_any_size(self) -> bytes:
        """Return the encoded delta, for connections rather than datagrams."""
        rows = [(i.key, _bytes_to_text(i.value), i.revision) for i in self.items]
        times = [round(self.age, 3), round(self.contact, 1)]
        doc = [self.after, self.revision, rows, self.large_revisions, *times]
        text = json.dumps(doc, separators=(",", ":")).encode()
        return bytes([MESSAGE_TYPE]) + zlib.compress(text)

    @classmethod
    def decode(cls, data: bytes) -> StoreDelta:
        """Decode a datagram.

        Raises
        ------
        InvalidRecord
            If the datagram is not a valid delta.
        """
        try:
            doc = parse_json(zlib.decompress(data[1:]))
            after, revision, rows, large_revisions, age, contact = doc
            items = [
                Item(key, _text_to_bytes(value), int(at)) for key, value, at in rows
            ]
            large_revisions = {str(key): int(at) for key, at in large_revisions.items()}
            times = float(age), float(contact)
            return cls(int(after), int(revision), items, large_revisions, *times)
        except (zlib.error, ValueError, TypeError, AttributeError) as exc:
            raise InvalidRecord(f"datagram is not a valid delta: {exc}") from exc


def _split_index(items: Sequence[Item]) -> int:
    """Return the index at which to split changes; 0 if all have one revision.

    Changes of one revision stay together: a VM that has applied one of them considers
    itself up to date at that revision, and would ignore the others.
    """
    half = len(items) // 2
    candidates = [
        n for n in range(1, len(items)) if items[n - 1].revision < items[n].revision
    ]
    return min(candidates, key=lambda n: abs(n - half), default=0)


def _bytes_to_text(value: bytes | None) -> str | None:
    return value.decode("latin-1") if value is not None else None


def _text_to_bytes(value: str | None) -> bytes | None:
    return value.encode("latin-1") if value is not None else None
