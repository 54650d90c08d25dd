"""What this VM knows of the store's contents, and how an item changes it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from zlib import crc32

from logbook import Logger

from berylstage_entry.assignment import Assignment
from berylstage_entry.change_log import ChangeLog
from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store import Item
from berylstage_entry.store_delta import MAX_INLINE_VALUE_BYTES
from berylstage_entry.store_keys import ASSIGNMENT_PREFIX, INTERNAL_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import Record, RecordReader

# Invalid keys that are remembered for the log.
MAX_INVALID_KEYS = 1000

log = Logger(__name__)


class AppliedItems:
    """The items of the store as far as this VM knows them.

    Parameters
    ----------
    reader : RecordReader
    cluster_view : ClusterView
    in_outage : callable
        Tells whether the store is, or has just been, unavailable.
    note_large_revision : callable
        Called with the key and revision of each large value that is applied.
    """

    def __init__(
        self,
        reader: RecordReader,
        cluster_view: ClusterView,
        in_outage: Callable[[], bool],
        note_large_revision: Callable[[str, int], None],
    ):
        self._reader = reader
        self._cluster_view = cluster_view
        self._in_outage = in_outage
        self._note_large_revision = note_large_revision
        # Checksum of the invalid value of each key that was logged.
        self._invalid_checksums: dict[str, int] = {}
        self._change_log = ChangeLog()
        # All keys in the store, as far as this VM knows.
        self.known_keys: set[str] = set()
        # Assignment of each service, and the revision of its key.
        self.assignments: dict[str, Assignment] = {}
        self.assignment_revisions: dict[str, int] = {}
        # Items that the VMs keep for themselves, by key.
        self.internal_items: dict[str, Item] = {}
        # Key of the operators' configuration; empty until one has been read.
        self.configuration_key = ""
        self.listeners: list[Callable[[str], None]] = []

    def is_relevant(self, item: Item) -> bool:
        """Return whether a change matters to VMs that know every earlier one."""
        if item.value is None or item.key.startswith(INTERNAL_PREFIX):
            return True
        try:
            record = self._reader.read(item)
        except InvalidRecord:
            # The record cannot be used. Each VM that reads it logs that.
            return False
        if record is None or record.target is None:
            return record is not None
        known = self._cluster_view.known.get(record.target.name)
        return known is None or known.differs(record.target, now())

    def apply(self, item: Item) -> Record | None:
        """Apply an item, and return the record that it contains."""
        if item.value is None:
            self.known_keys.discard(item.key)
        else:
            self.known_keys.add(item.key)
        # Deltas list these by revision only; assignments whatever their size.
        if item.value is not None and (
            len(item.value) > MAX_INLINE_VALUE_BYTES
            or item.key.startswith(ASSIGNMENT_PREFIX)
        ):
            self._note_large_revision(item.key, item.revision)
        if item.key.startswith(INTERNAL_PREFIX):
            self.apply_internal_item(item)
            return None
        try:
            record = self._reader.read(item)
        except InvalidRecord as exc:
            self._log_invalid(item, exc)
            return None
        if record is None:
            return None
        if record.configuration is not None:
            self.configuration_key = item.key
        in_outage = self._in_outage()
        what = self._cluster_view.apply(record, now(), in_outage)
        if (
            record.removed_target
            and in_outage
            and record.removed_target in self._cluster_view.known
        ):
            log.info(
                "record removed during a store outage; target kept until it expires",
                extra={"key": item.key},
            )
        if what:
            self._log_change(what, item)
            self.notify_listeners(
                "configuration" if what == "configuration" else "targets"
            )
        return record

    def _log_invalid(self, item: Item, exc: InvalidRecord) -> None:
        """Log an invalid value once, as it is read again and again."""
        checksum = crc32(item.value or b"")
        if self._invalid_checksums.get(item.key) == checksum:
            return
        if len(self._invalid_checksums) >= MAX_INVALID_KEYS:
            self._invalid_checksums.clear()
        self._invalid_checksums[item.key] = checksum
        log.warning(
            "invalid record ignored", extra={"key": item.key, "cause": str(exc)}
        )

    def _log_change(self, what: str, item: Item) -> None:
        self._change_log.changed(what, item, self.configuration_version(), now())

    def configuration_version(self) -> int | None:
        """Return the version of the configuration in force."""
        cfg = self._cluster_view.configuration
        return cfg.version if cfg else None

    def apply_internal_item(self, item: Item) -> None:
        """Apply an item that the VMs keep for themselves, unless it is outdated."""
        if not self._is_newer(item.key, item.revision):
            return
        assignment = None
        if item.key.startswith(ASSIGNMENT_PREFIX) and item.value is not None:
            try:
                assignment = Assignment.decode(item.value)
            except InvalidRecord as exc:
                self._log_invalid(item, exc)
                return
        self.internal_items[item.key] = item
        if assignment is not None:
            service = item.key.removeprefix(ASSIGNMENT_PREFIX)
            self.assignments[service] = assignment
            self.assignment_revisions[service] = item.revision
        self.notify_listeners(item.key)

    def _is_newer(self, key: str, revision: int) -> bool:
        known = self.internal_items.get(key)
        return known is None or known.revision < revision

    def apply_assignment(
        self, service: str, assignment: Assignment, revision: int
    ) -> None:
        """Apply an assignment that this VM has written, or computed from a delta.

        Parameters
        ----------
        service : str
        assignment : Assignment
        revision : int
            Revision of the assignment's key in the store.
        """
        key = ASSIGNMENT_PREFIX + service
        if not self._is_newer(key, revision):
            return
        self.known_keys.add(key)
        # Deltas list it by revision only. It need not be read, whatever its size.
        self._note_large_revision(key, revision)
        # The encoded value is not kept, since the decoded assignment is.
        self.internal_items[key] = Item(key, b"", revision)
        self.assignments[service] = assignment
        self.assignment_revisions[service] = revision
        self.notify_listeners(key)

    def apply_pushed_item(self, item: Item) -> bool:
        """Apply a value that another VM pushes ahead of its delta.

        Parameters
        ----------
        item : Item
            Assignment or configuration. Both carry a version; of any other item a
            delayed older value would replace a newer one.

        Returns
        -------
        bool
            False if the item is neither, and was ignored.
        """
        if not item.key.startswith(ASSIGNMENT_PREFIX) and not self._is_configuration(
            item
        ):
            return False
        self.apply(item)
        return True

    def _is_configuration(self, item: Item) -> bool:
        if item.key.startswith(INTERNAL_PREFIX):
            return False
        try:
            record = self._reader.read(item)
        except InvalidRecord:
            # Each VM that reads the record in the store logs it.
            return False
        return record is not None and record.configuration is not None

    def notify_listeners(self, what: str) -> None:
        """Tell all listeners what has changed."""
        for listener in self.listeners:
            listener(what)

    def flush_log(self, force: bool = False) -> None:
        """Log the changes that have been batched for long enough, or all of them."""
        self._change_log.flush(self.configuration_version(), now(), force=force)

    def internal_keys_newer_than(self, revision: int) -> set[str]:
        """Return the keys of the internal items that are newer than a revision."""
        return {
            key for key, item in self.internal_items.items() if item.revision > revision
        }

    def drop_internal_items_except(self, keys: set[str], revision: int) -> None:
        """Forget the internal items that the store no longer has.

        Parameters
        ----------
        keys : set of str
            Keys that the store has.
        revision : int
            Revision at which it was read. Items that this VM has written since are not
            among the keys.
        """
        kept = keys | self.internal_keys_newer_than(revision)
        for key in [key for key in self.internal_items if key not in kept]:
            del self.internal_items[key]
            self.notify_listeners(key)

    def remove_expired_targets(self, no_more_renewals: bool) -> None:
        """Remove the targets whose expired records were not renewed."""
        for name in self._cluster_view.drop_expired(now(), no_more_renewals):
            log.info(
                "target removed: its expired record was not renewed",
                extra={"target": name},
            )
            self.notify_listeners("targets")
