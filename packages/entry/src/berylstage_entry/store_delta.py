"""What the VM with the duty of granting tells the others of its reading of the store.

Each VM that reads for itself once a second costs the store a call a second, whatever
the number of VMs that read the same. One of them reads, and tells the rest which
changes it found. A VM that was told reads only to close a gap, or when nothing was told
for a while.
"""

from __future__ import annotations

import json
import zlib
from typing import TYPE_CHECKING

from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store import Item

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

# Bytes of news that fit into one datagram without being cut up on the way.
MOST_BYTES = 1300
# Bytes of a value above which it is named only. What fits into a few packets is told on
# its own before, the rest is read by each VM itself.
LARGEST_VALUE = 500
# First byte of a datagram with news.
FORMAT = 16


class StoreDelta:
    """The changes of the store between two revisions, as far as they matter.

    Parameters
    ----------
    after : int
        Revision up to which a VM must know everything already.
    revision : int
        Revision up to which it knows everything with this.
    items : sequence of Item
        Changes in their order; reports that tell nothing new are left out.
    named : dict of str to int
        Keys with large values, and the revision of each.
    age : float
        Seconds since the reading began, when it is told.
    contact : float
        Seconds for which the store has answered the VM that tells, without a break.

    Attributes
    ----------
    large : list of Item
        The values that are named, as far as this VM has read them itself.
    """

    __slots__ = ("after", "age", "contact", "items", "large", "named", "revision")

    def __init__(
        self,
        after: int,
        revision: int,
        items: Sequence[Item],
        named: dict[str, int] | None = None,
        age: float = 0.0,
        contact: float = 0.0,
    ):
        self.after = after
        self.revision = revision
        self.items = list(items)
        self.named = named or {}
        self.age = age
        self.contact = contact
        self.large: list[Item] = []

    def add(self, item: Item, is_told_apart: bool = False) -> None:
        """Add a change.

        Parameters
        ----------
        item : Item
        is_told_apart : bool
            Whether its value is told by whoever wrote it. It is named, so that a VM
            which missed that knows what to read.
        """
        if is_told_apart:
            self.named[item.key] = item.revision
        elif item.value is not None and len(item.value) > LARGEST_VALUE:
            self.named[item.key] = item.revision
            self.large.append(item)
        else:
            self.items.append(item)

    def since(self, told: Iterable[StoreDelta]) -> StoreDelta:
        """Return these news with those told before, as far as it fits a datagram.

        A datagram may be lost, and a VM that lacks one change has to read for itself:
        all reports of all targets since, which a small link takes a second for. Told
        again with what comes next, a lost change costs nothing.

        Parameters
        ----------
        told : iterable of News
            Without gaps, the newest first.

        Returns
        -------
        News
        """
        joined = self._with(self.after, self.items, self.named)
        for before in told:
            items = [*before.items, *joined.items]
            named = before.named | joined.named
            wider = self._with(before.after, items, named)
            if wider.encode() is None:
                break
            joined = wider
        return joined

    def _with(
        self, after: int, items: Sequence[Item], named: dict[str, int]
    ) -> StoreDelta:
        """Return the same news with other changes, from another revision on."""
        news = StoreDelta(after, self.revision, items, named, self.age, self.contact)
        news.large = self.large
        return news

    def parts(self) -> list[StoreDelta]:
        """Return news that fit into a datagram each and together tell the same.

        What was left out because it is too much, as when hundreds of targets start,
        each VM would read in the store for itself.

        Returns
        -------
        list of News
            Each begins where the one before it ends.
        """
        items = sorted(self.items, key=lambda item: item.revision)
        cut = _middle(items)
        if not cut or self.encode() is not None:
            return [self]
        until = items[cut].revision - 1
        # Each key is named in the part that reaches its revision. A VM that got the
        # first part only knows everything up to there: named later, a configuration
        # would never be read by it.
        named = {key: at for key, at in self.named.items() if at <= until}
        rest = {key: at for key, at in self.named.items() if at > until}
        first = StoreDelta(
            self.after, until, items[:cut], named, self.age, self.contact
        )
        second = self._with(until, items[cut:], rest)
        return [*first.parts(), *second.parts()]

    def encode(self) -> bytes | None:
        """Return the datagram; None when the news does not fit into one."""
        rows = [(i.key, _text(i.value), i.revision) for i in self.items]
        times = [round(self.age, 3), round(self.contact, 1)]
        doc = [self.after, self.revision, rows, self.named, *times]
        text = json.dumps(doc, separators=(",", ":")).encode()
        data = bytes([FORMAT]) + zlib.compress(text)
        return data if len(data) <= MOST_BYTES else None

    @classmethod
    def decode(cls, data: bytes) -> StoreDelta:
        """Read a datagram.

        Raises
        ------
        UnreadableRecord
            It is none.
        """
        try:
            doc = json.loads(zlib.decompress(data[1:]))
            after, revision, rows, named, age, contact = doc
            items = [Item(key, _bytes(value), int(at)) for key, value, at in rows]
            named = {str(key): int(at) for key, at in named.items()}
            times = float(age), float(contact)
            return cls(int(after), int(revision), items, named, *times)
        except (zlib.error, ValueError, TypeError, AttributeError) as exc:
            raise InvalidRecord(f"no news of the store: {exc}") from exc


def _middle(items: Sequence[Item]) -> int:
    """Return where to cut changes in two; 0 where all came with one revision.

    Changes of one revision stay together: a VM that has taken one of them in knows
    everything up to that revision, and would pass the others over.
    """
    middle = len(items) // 2
    cuts = [
        n for n in range(1, len(items)) if items[n - 1].revision < items[n].revision
    ]
    return min(cuts, key=lambda n: abs(n - middle), default=0)


def _text(value: bytes | None) -> str | None:
    return value.decode("latin-1") if value is not None else None


def _bytes(value: str | None) -> bytes | None:
    return value.encode("latin-1") if value is not None else None
