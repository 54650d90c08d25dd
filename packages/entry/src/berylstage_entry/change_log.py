"""Rate-limited log lines about changes of a VM's view of the cluster.

When hundreds of targets and VMs start or are lost at once, each VM learns of all of
them. Writing one line for each takes more time than the requests served meanwhile.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from logbook import Logger

if TYPE_CHECKING:
    from berylstage_entry.store import Item

# Kinds of changes that come by the hundred, and the time for which they are batched
# after a line about one of them. Other changes are logged one by one, at once.
BATCHED_KINDS = frozenset({"target", "gone"})
BATCH_SECONDS = 1.0
# Number of keys that a line contains at most.
MAX_KEYS_PER_LINE = 500

log = Logger(__name__)


class _PendingChanges:
    """Changes of one kind since the last log line about them."""

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
    """Logs a change at once, and those that follow it in one line per second."""

    __slots__ = ("_pending",)

    def __init__(self) -> None:
        self._pending: dict[str, _PendingChanges] = {}

    def changed(
        self, what: str, item: Item, configuration: int | None, now: float
    ) -> None:
        """Log a change, or keep it for the next line about its kind.

        Parameters
        ----------
        what : str
            Kind of the change.
        item : Item
            Record that caused the change.
        configuration : int or None
            Version of the current configuration.
        now : float
            Monotonic seconds.
        """
        kind = self._pending.setdefault(what, _PendingChanges())
        kind.add(item)
        if what not in BATCHED_KINDS or now - kind.written_at >= BATCH_SECONDS:
            self._write(what, kind, configuration, now)

    def flush(self, configuration: int | None, now: float, force: bool = False) -> None:
        """Log the changes that have been batched for long enough.

        Parameters
        ----------
        configuration, now
            As for :meth:`changed`.
        force : bool
            Whether to log all batched changes, however recent.
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
