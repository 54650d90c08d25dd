"""Log lines about what a VM has come to believe, bounded in number.

The load it answers: hundreds of targets and VMs that start, or are lost, at the same
moment. Each VM learns of all of them; a line for each took more time than the requests
that came meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

if TYPE_CHECKING:
    from berylstage_entry.store import Item

# Kinds of changes that come by the hundred, and the seconds for which they are gathered
# after a line about one of them. Others have a line each, at once.
BATCHED_KINDS = frozenset({"target", "gone"})
BATCH_SECONDS = 1.0
# Keys that a line names at most.
MAX_KEYS_PER_LINE = 500

log = Logger(__name__)


class _PendingChanges:
    """Changes of one kind since the last line about them."""

    __slots__ = ("count", "keys", "revision", "written_at")

    def __init__(self) -> None:
        self.written_at = float("-inf")
        self.keys: list[str] = []
        self.count = 0
        self.revision = 0

    def add(self, item: Item) -> None:
        self.count += 1
        self.revision = item.revision
        if len(self.keys) < MAX_KEYS_PER_LINE:
            self.keys.append(item.key)


class ChangeLog:
    """Writes a line for a change, and one a second for all that follow at once."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[str, _PendingChanges] = {}

    def changed(
        self, what: str, item: Item, configuration: int | None, now: float
    ) -> None:
        """Note a change.

        Parameters
        ----------
        what : str
            Its kind.
        item : Item
            The record that brought it.
        configuration : int or None
            Version that is in force.
        now : float
            Monotonic seconds.
        """
        kind = self._pending.setdefault(what, _PendingChanges())
        kind.add(item)
        if what not in BATCHED_KINDS or now - kind.written_at >= BATCH_SECONDS:
            self._write(what, kind, configuration, now)

    def flush(self, configuration: int | None, now: float, force: bool = False) -> None:
        """Write what has been gathered for long enough.

        Parameters
        ----------
        configuration, now
            As for :meth:`changed`.
        force : bool
            Whether to write all that has been gathered, however short ago.
        """
        for what, kind in self._pending.items():
            if kind.count and (force or now - kind.written_at >= BATCH_SECONDS):
                self._write(what, kind, configuration, now)

    def _write(
        self, what: str, kind: _PendingChanges, configuration: int | None, now: float
    ) -> None:
        first, *others = kind.keys
        log.info(
            "belief changed",
            extra={
                "what": what,
                "key": first,
                "others": others,
                "changes": kind.count,
                "revision": kind.revision,
                "configuration": configuration,
            },
        )
        kind.written_at = now
        kind.keys = []
        kind.count = 0
