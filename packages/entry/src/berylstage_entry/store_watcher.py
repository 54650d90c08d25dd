"""Watches the store and keeps this VM's view of the cluster up to date."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment import Assignment
from berylstage_entry.change_log import ChangeLog
from berylstage_entry.clock import now
from berylstage_entry.coordinator_watch import CoordinatorWatch
from berylstage_entry.errors import InvalidRecord, RevisionCompacted, StoreError
from berylstage_entry.large_values import LargeValueFetcher
from berylstage_entry.store import Item
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_access.change_memory import ChangeMemory
from berylstage_entry.store_access.check_pauses import check_pause
from berylstage_entry.store_connectivity import StoreConnectivity
from berylstage_entry.store_delta import MAX_INLINE_VALUE_BYTES, StoreDelta
from berylstage_entry.store_keys import (
    ASSIGNMENT_PREFIX,
    COORDINATOR_KEY,
    INTERNAL_PREFIX,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import RecordReader
    from berylstage_entry.store import Store

# Interval between two reads of all changes, or between an update from another VM and a
# read of one's own. Each target reports about once a second, so a watch without a pause
# would cost one call per report. 1.2 s leaves 0.8 s of the two seconds within which a
# change must be in force.
READ_INTERVAL_SECONDS = 1.2
# Read interval of the publisher. It is less than half of the normal interval, so that
# the update after a lost one arrives before the other VMs read the store themselves.
PUBLISHER_READ_INTERVAL_SECONDS = 0.45
# Read interval of the local publisher, which serves its data centre while there is no
# publisher. Without it, the loss of the publisher makes hundreds of VMs read the store
# at the same moment, again and again until there is a new one. The interval is shorter
# than theirs, and longer than the gap that one lost update of the publisher leaves.
LOCAL_PUBLISHER_READ_INTERVAL_SECONDS = 0.7
# Read interval while records have expired, so that their return is noticed sooner.
EXPIRED_READ_INTERVAL_SECONDS = 0.25
# Read interval while callers ask for keys whose owner this VM does not know. At the
# normal interval, a VM that missed an assignment, such as one that has just started,
# refuses these requests for up to 0.9 s. Four reads a second are a tenth of what the
# store allows 40 VMs.
REQUESTED_READ_INTERVAL_SECONDS = 0.25
# Shortest wait for the next read. A timer rounds a shorter one down to none.
MIN_WAIT_SECONDS = 0.001
# Seconds before a due read at which the publisher is asked for the changes. It is the
# limit for its answer, so a question without an answer does not delay the read.
ASK_LEAD_SECONDS = 0.2
# Time after a question without an answer in which the publisher is not asked again. The
# delay of the read that follows is thus at most the limit for the answer.
ASK_RETRY_SECONDS = 1.0
# Time by which the check of a failing store comes after the next call for the lease of
# this VM, which is a check itself.
CHECK_DELAY_SECONDS = 1.0
# Time for which changes are published again with each new update: four updates.
REPUBLISH_SECONDS = 2.0
# Age of this VM's view above which it reads all records rather than their changes.
FULL_READ_AGE_SECONDS = 2.0
# Longest wait of the watch on all keys. With any target alive it returns at once.
WATCH_WAIT_SECONDS = 1.0
# Timeout of a call that checks whether the store can be reached.
PROBE_TIMEOUT_SECONDS = 0.35
# Shortest delay before a failed call is retried.
RETRY_SECONDS = 0.35
# Longest retry delay while other VMs publish changes that this VM has missed: a third
# of the time for which it may serve requests from an outdated view.
MAX_REQUESTED_RETRY_SECONDS = 1.0
# Calls per second that all VMs together make to a store that does not answer. These
# calls are billed like others, and a store that recovers has other work to do.
OUTAGE_CALLS_PER_SECOND = 30.0

log = Logger(__name__)


class StoreWatcher:
    """Lists and watches the store, and applies and publishes its changes.

    Parameters
    ----------
    store : Store
    reader : RecordReader
    cluster_view : ClusterView
    """

    def __init__(self, store: Store, reader: RecordReader, cluster_view: ClusterView):
        self._store = store
        self._reader = reader
        self._cluster_view = cluster_view
        self._tasks: list[asyncio.Task] = []
        self._revision = 0
        self._connectivity = StoreConnectivity(now())
        self._unreadable: dict[str, bytes] = {}
        self._change_log = ChangeLog()
        self._read_requested = asyncio.Event()
        # Why the early read was requested, and why the next read of changes is made.
        self._requested_cause = CallCause.OTHER
        self._read_cause = CallCause.PUBLISHER
        # Whether the store has compacted the changes after this VM's revision.
        self._needs_full_read = True
        # Revision up to which published changes are known to be missing.
        self._missed_revision = 0
        # Seconds from a failed read to the next one if a refresh is requested.
        self._min_retry_delay = RETRY_SECONDS
        # When this VM last read the store, and when its view was last up to date.
        self._last_read_at = float("-inf")
        self._up_to_date_at = float("-inf")
        self._large_values = LargeValueFetcher(self._read_large_value)
        # All keys in the store, as far as this VM knows.
        self._known_keys: set[str] = set()
        # Time at which this VM's view was certainly that of the store.
        self.view_time = float("-inf")
        # Changes of the last seconds, for VMs that ask for them.
        self._memory = ChangeMemory()
        # Asks the publisher for the changes since a revision; None without an answer.
        self.ask_publisher: Callable[[int], Awaitable[StoreDelta | None]] | None = None
        self._asked_at = self._ask_failed_at = float("-inf")
        self._encoded_assignments: dict[str, Item] = {}
        # Recently published updates and their times, newest first.
        self._published: deque[tuple[float, StoreDelta]] = deque()
        # Whether this VM publishes what it reads to all others, and how.
        self.is_publisher: Callable[[], bool] = lambda: False
        self.publish: Callable[[StoreDelta], None] = lambda delta: None
        # Number of VMs that watch the store, as far as is known.
        self.vm_count = 1
        # Whether this VM must learn at once that there is no coordinator.
        self.is_standby: Callable[[], bool] = lambda: True
        # Whether this VM publishes within its data centre while nobody serves all.
        self.is_local_publisher: Callable[[], bool] = lambda: False
        # Whether this VM lets others become coordinator first.
        self.defers_coordination: Callable[[], bool] = lambda: False
        # Whether another VM is a better coordinator, should there be none.
        self.yields_coordination: Callable[[], bool] = lambda: False
        # Assignment of each service, and the revision of its key.
        self.assignments: dict[str, Assignment] = {}
        self.assignment_revisions: dict[str, int] = {}
        # Items that the VMs keep for themselves, by key.
        self.internal_items: dict[str, Item] = {}
        self.listeners: list[Callable[[str], None]] = []
        self.has_synced = False
        # Key of the operators' configuration; empty until one has been read.
        self._configuration_key = ""

    def start(self) -> None:
        """Start watching the store."""
        self._tasks = [
            asyncio.create_task(self._run()),
            asyncio.create_task(CoordinatorWatch(self._store, self).run()),
        ]

    def stop(self) -> None:
        """Stop watching the store."""
        self._change_log.flush(self._configuration_version(), now(), force=True)
        for task in self._tasks:
            task.cancel()
        self._large_values.stop()

    def contact_seconds(self) -> float:
        """Return the seconds of unbroken contact with the store up to now."""
        return self._connectivity.unbroken_seconds(now())

    @property
    def revision(self) -> int:
        """Store revision up to which this VM knows every change."""
        return self._revision

    def retry_delay(self) -> float:
        """Return the seconds to wait before a failed call to the store is retried.

        A VM that the store turns away while published changes keep its view up to date
        has nothing to learn from a retry.
        """
        if self._is_served_by_publisher():
            return check_pause(self._connectivity.failures)
        return self._read_retry_delay()

    def _is_served_by_publisher(self) -> bool:
        return (
            self.is_kept_up_to_date()
            and not self._has_duty()
            and not self._connectivity.has_store_returned(now())
        )

    def _has_duty(self) -> bool:
        return self.is_publishing() or self.is_standby()

    def _read_retry_delay(self) -> float:
        """Return the seconds to wait before a failed read is retried.

        The coordinator and its standbys must know at once when the store recovers. The
        other VMs learn it from the first of them. A single failed call is retried soon,
        since the cause may be a saturated link of this VM.
        """
        if self.is_publisher() or self.is_standby():
            return RETRY_SECONDS
        seconds = self._connectivity.outage_seconds(now())
        return max(RETRY_SECONDS, min(seconds, self.vm_count / OUTAGE_CALLS_PER_SECOND))

    async def probe_store(self) -> float:
        """Call the store and return the seconds of unbroken contact; 0 on failure."""
        if (
            self._connectivity.is_disconnected()
            and now() - self._connectivity.last_failure_at < RETRY_SECONDS
        ):
            # A call has just failed.
            return 0.0
        try:
            async with asyncio.timeout(PROBE_TIMEOUT_SECONDS):
                await self._calls(CallCause.PROBE).read(COORDINATOR_KEY)
        except (StoreError, TimeoutError) as exc:
            self.record_failure(exc)
            return 0.0
        return max(0.001, self.contact_seconds())

    def in_outage(self) -> bool:
        """Return whether the store is, or has just been, unavailable."""
        return self._connectivity.in_outage(now())

    def is_up_to_date(self) -> bool:
        """Return whether the store answers this VM and its view has no known gap.

        A coordinator with an outdated view would renew grants that have moved since.
        """
        return not self._needs_full_read and not self._connectivity.is_disconnected()

    def request_refresh(self, cause: CallCause = CallCause.OTHER) -> None:
        """Request an early read, because this VM's view has proved outdated."""
        if not self._read_requested.is_set():
            self._requested_cause = cause
        self._read_requested.set()

    def apply_delta(self, delta: StoreDelta) -> bool:
        """Apply a delta that another VM has published.

        Parameters
        ----------
        delta : StoreDelta

        Returns
        -------
        bool
            False when this VM has to read the changes itself.
        """
        if delta.revision < self._revision:
            # A delayed delta says nothing about the present state.
            return False
        self._connectivity.mark_peer_contact(now(), delta.contact)
        if not self.has_synced:
            if self._connectivity.is_failing():
                self.request_refresh(CallCause.RETRY)
            return False
        if delta.after > self._revision:
            self._missed_revision = max(self._missed_revision, delta.after)
            self.request_refresh(CallCause.MISSED_CHANGES)
            # A value that is read by itself arrives sooner than one among all records.
            self._large_values.fetch_newer(
                {
                    k: at
                    for k, at in delta.large_revisions.items()
                    if not k.startswith(INTERNAL_PREFIX)
                }
            )
            return False
        self._advance(delta)
        # If this VM becomes the next publisher, it publishes this delta again with its
        # first one: other VMs may have missed the last delta of its predecessor.
        self._published.clear()
        self._published.append((now(), delta))
        return True

    def _advance(self, delta: StoreDelta) -> None:
        """Apply a delta that starts at or before this VM's revision."""
        for item in delta.items:
            if item.revision > self._revision:
                self._apply_item(item)
        self._memory.extend(delta, now())
        self._large_values.fetch_newer(delta.large_revisions)
        self._revision = delta.revision
        self._needs_full_read = False
        self.view_time = max(self.view_time, now() - delta.age)
        self._up_to_date_at = max(self._up_to_date_at, now() - delta.age)

    def changes_since(self, revision: int) -> StoreDelta | None:
        """Return the merged changes since a revision; None if it is too old.

        Assignments that this VM has written are included although it has not read them
        from the store yet. If it has nothing newer, its next read is made early: the
        asking VM would otherwise have learned more from the store.
        """
        delta = self._memory.since(revision, self._encoded_assignment)
        if delta is None:
            return None
        listed = {item.key for item in delta.items}
        for service, at in self.assignment_revisions.items():
            key = ASSIGNMENT_PREFIX + service
            item = self._encoded_assignment(key, at) if at > delta.revision else None
            if item is not None and key not in listed:
                delta.items.append(item)
        delta.age = max(0.0, now() - self.view_time)
        delta.contact = self.contact_seconds()
        if not delta.items and delta.age > REQUESTED_READ_INTERVAL_SECONDS:
            self.request_refresh(CallCause.PUBLISHER_ASKED)
        return delta

    def _encoded_assignment(self, key: str, revision: int) -> Item | None:
        """Return an assignment of at least a revision; None if it is not known."""
        service = key.removeprefix(ASSIGNMENT_PREFIX)
        known = self.assignment_revisions.get(service, 0)
        if not key.startswith(ASSIGNMENT_PREFIX) or not known or known < revision:
            return None
        item = self._encoded_assignments.get(key)
        if item is None or item.revision != known:
            item = Item(key, self.assignments[service].encode(), known)
            self._encoded_assignments[key] = item
        return item

    def is_kept_up_to_date(self) -> bool:
        """Return whether published changes make reads of this VM's own needless."""
        return (
            self.has_synced
            and not self._needs_full_read
            and self._revision >= self._missed_revision
            and now() - self._up_to_date_at <= READ_INTERVAL_SECONDS
        )

    def _may_ask(self) -> bool:
        return (
            self.ask_publisher is not None
            and self.has_synced
            and not self.is_publishing()
            and now() - self._ask_failed_at >= ASK_RETRY_SECONDS
        )

    async def _ask(self, revision: int) -> StoreDelta | None:
        """Ask the publisher for the changes since a revision, and apply the answer."""
        if self.ask_publisher is None or not self._may_ask():
            return None
        self._asked_at = now()
        delta = await self.ask_publisher(revision)
        if delta is None:
            self._ask_failed_at = now()
            return None
        for item in delta.items:
            # They carry versions, so that they apply whatever this VM's revision is.
            is_assignment = item.key.startswith(ASSIGNMENT_PREFIX)
            if item.value is not None and (
                is_assignment or len(item.value) > MAX_INLINE_VALUE_BYTES
            ):
                self.apply_pushed_item(item)
        if delta.after <= self._revision <= delta.revision:
            self._advance(delta)
        return delta

    async def _catch_up(self) -> bool:
        """Ask the publisher for missed changes.

        Returns
        -------
        bool
            False if this VM has to read the store: the answer is missing, was made from
            an old view, or is older than what this VM knows.
        """
        delta = await self._ask(self._revision)
        if (
            delta is None
            or delta.revision < self._revision
            or not self.is_kept_up_to_date()
        ):
            self._ask_failed_at = now()
            return False
        return True

    async def _read_large_value(self, key: str) -> bool:
        """Get and apply a large value; return False when the call failed."""
        wanted = self._large_values.wanted_revision(key)
        await self._ask(wanted - 1)
        if self._large_values.known_revision(key) >= wanted:
            return True
        try:
            changes = await self._calls(CallCause.LARGE_VALUE).read(key)
        except StoreError as exc:
            self.record_failure(exc)
            await asyncio.sleep(self._read_retry_delay())
            return False
        for item in changes.items:
            self._apply_item(item)
        self.record_success()
        return True

    async def read_configuration(self) -> bool:
        """Read and apply the operators' configuration alone.

        Returns
        -------
        bool
            Whether the configuration in force is at least as new as the store's.

        Raises
        ------
        StoreError
        """
        if not self._configuration_key:
            return False
        calls = self._calls(CallCause.CONFIRMATION)
        changes = await calls.read(self._configuration_key)
        for item in changes.items:
            if item.key == self._configuration_key:
                self._apply_item(item)
        self.record_success()
        return True

    def _calls(self, cause: CallCause) -> Store:
        return self._store.for_cause(cause)

    def _full_read_cause(self) -> CallCause:
        if not self.has_synced:
            return CallCause.FIRST_READ
        return CallCause.COMPACTED if self._needs_full_read else CallCause.OLD_VIEW

    def _read_interval(self) -> float:
        if self._cluster_view.has_expired_records():
            return EXPIRED_READ_INTERVAL_SECONDS
        if self.is_publisher():
            return PUBLISHER_READ_INTERVAL_SECONDS
        return (
            LOCAL_PUBLISHER_READ_INTERVAL_SECONDS
            if self.is_local_publisher()
            else READ_INTERVAL_SECONDS
        )

    async def _wait_for_next_read(self) -> None:
        """Wait until the next read is due or requested."""
        while True:
            self._remove_expired_targets()
            self._change_log.flush(self._configuration_version(), now())
            wait = self._up_to_date_at + self._read_interval() - now()
            lead = self._ask_lead()
            check_wait = self._seconds_until_check()
            if check_wait <= 0:
                self._read_cause = CallCause.RETRY
                return
            if wait <= lead:
                # With a lead, a question that has to wait would delay the read.
                if (not lead or self._ask_pause() <= 0) and (
                    await self._catch_up_paced()
                ):
                    continue
                # The question may have taken until the read is due.
                wait, lead = self._up_to_date_at + self._read_interval() - now(), 0.0
            if wait <= 0:
                self._read_cause = (
                    CallCause.PUBLISHER if self.is_publishing() else CallCause.NO_UPDATE
                )
                return
            try:
                wait = max(MIN_WAIT_SECONDS, min(wait - lead, check_wait))
                async with asyncio.timeout(wait):
                    await self._read_requested.wait()
            except TimeoutError:
                # A delta may have arrived meanwhile and deferred the read.
                continue
            if self._may_ask():
                self._read_requested.clear()
                if await self._catch_up_paced():
                    continue
            await asyncio.sleep(
                max(0.0, self._last_read_at + REQUESTED_READ_INTERVAL_SECONDS - now())
            )
            self._read_requested.clear()
            self._read_cause = self._requested_cause
            return

    def _seconds_until_check(self) -> float:
        """Return the seconds until a call finds out whether the store is back.

        The calls for this VM's lease mostly find out first.
        """
        if not self._connectivity.is_failing():
            return float("inf")
        pause = self.retry_delay() + CHECK_DELAY_SECONDS
        return self._connectivity.last_failure_at + pause - now()

    def _ask_lead(self) -> float:
        """Return by how many seconds a question precedes a read that is due.

        With a shorter read interval, a question ahead of the read would also be ahead
        of the next published changes, which mostly make both needless.
        """
        is_long = self._read_interval() >= READ_INTERVAL_SECONDS
        return ASK_LEAD_SECONDS if is_long and self._may_ask() else 0.0

    async def _catch_up_paced(self) -> bool:
        """Ask the publisher for missed changes, four times a second at most."""
        if not self._may_ask():
            return False
        await asyncio.sleep(max(0.0, self._ask_pause()))
        return await self._catch_up()

    def _ask_pause(self) -> float:
        """Return the seconds until the publisher may be asked again."""
        return self._asked_at + REQUESTED_READ_INTERVAL_SECONDS - now()

    async def _run(self) -> None:
        while True:
            try:
                began_at = now()
                if self._needs_full_read or self._should_read_all():
                    await self._read_all()
                else:
                    await self._watch_all()
                self._last_read_at = self._up_to_date_at = now()
                self._missed_revision = 0
                self.view_time = max(self.view_time, began_at)
                self._min_retry_delay = RETRY_SECONDS
                self.record_success()
                await self._wait_for_next_read()
            except RevisionCompacted:
                self._needs_full_read = True
            except StoreError as exc:
                self.record_failure(exc)
                await self._wait_after_failure()
                # While the publisher tells this VM all changes, the calls for its lease
                # find out whether the store answers it again.
                if not self._has_duty() and (
                    self.is_kept_up_to_date() or await self._catch_up()
                ):
                    await self._wait_for_next_read()

    async def _wait_after_failure(self) -> None:
        """Wait after a failed read; return early when a delta shows a gap.

        The VM that published the delta can be reached again, so the store may be too. A
        VM that is cut off from the store alone sees such deltas all the time, so its
        retry delay grows.
        """
        self._read_cause = CallCause.RETRY
        max_delay = self._read_retry_delay()
        min_delay = min(max_delay, self._min_retry_delay)
        await asyncio.sleep(min_delay)
        try:
            async with asyncio.timeout(max_delay - min_delay):
                await self._read_requested.wait()
        except TimeoutError:
            return
        self._read_requested.clear()
        self._min_retry_delay = min(
            2 * self._min_retry_delay, MAX_REQUESTED_RETRY_SECONDS
        )

    def _should_read_all(self) -> bool:
        """Return whether all records are less to read than their changes.

        Each target reports about once a second, so the changes of a few seconds are
        many times the records themselves. On a slow link they take longer than the
        timeout of the call, and each retry has more of them to read.
        """
        return (
            not self.is_publisher()
            and now() - self._up_to_date_at > FULL_READ_AGE_SECONDS
        )

    def _remove_expired_targets(self) -> None:
        no_more_renewals = self._connectivity.has_peer_contact(now())
        for name in self._cluster_view.drop_expired(now(), no_more_renewals):
            log.info(
                "target removed: its expired record was not renewed",
                extra={"target": name},
            )
            self._notify_listeners("targets")

    async def _read_all(self) -> None:
        delta, started_at = StoreDelta(self._revision, 0, []), now()
        changes = await self._calls(self._full_read_cause()).read("")
        was_updated = self._revision != delta.after
        if was_updated and self._revision >= changes.revision:
            # Older records must not overwrite a delta that arrived during the read.
            return
        names, closed, own = set(), set(), set()
        keys = {item.key for item in changes.items}
        for key in self._known_keys - keys:
            delta.add(Item(key, None, changes.revision))
        self._known_keys = keys
        for item in changes.items:
            if item.revision > delta.after and self._is_relevant(item):
                delta.add(item, item.key.startswith(ASSIGNMENT_PREFIX))
            record = self._apply_item(item)
            if item.key.startswith(INTERNAL_PREFIX):
                own.add(item.key)
            if record is not None and record.target is not None:
                names.add(record.target.name)
            if record is not None and record.closed_data_centre:
                closed.add(record.closed_data_centre)
        missing = self._cluster_view.drop_missing(
            names, closed, now(), self.in_outage()
        )
        for key in [key for key in self.internal_items if key not in own]:
            del self.internal_items[key]
            self._notify_listeners(key)
        delta.revision = self._revision = changes.revision
        self._memory.extend(delta, now())
        self.has_synced = True
        self._needs_full_read = False
        if not was_updated:
            self._publish(delta, started_at)
        log.info(
            "store read",
            extra={
                "revision": changes.revision,
                "targets": len(names),
                "missing": missing,
            },
        )
        self._notify_listeners("read")

    async def _watch_all(self) -> None:
        delta, started_at = StoreDelta(self._revision, 0, []), now()
        # A publisher suspended during a long wait could not tell how old the answer is.
        # The answer to a call that does not wait is no older than the call took, by a
        # clock that counts suspended time.
        is_publishing = self.is_publishing()
        wait = 0.0 if is_publishing else WATCH_WAIT_SECONDS
        changes = await self._calls(self._read_cause).watch("", self._revision, wait)
        was_updated = self._revision != delta.after
        for item in changes.items:
            # Older changes must not overwrite a delta that arrived during the watch.
            if item.revision > self._revision and self._is_relevant(item):
                delta.add(item, item.key.startswith(ASSIGNMENT_PREFIX))
            if item.revision > self._revision:
                self._apply_item(item)
        delta.revision = self._revision = max(self._revision, changes.revision)
        self._memory.extend(delta, now())
        if is_publishing and not was_updated:
            self._publish(delta, started_at)

    def is_publishing(self) -> bool:
        """Return whether this VM publishes what it reads."""
        return self.is_publisher() or self.is_local_publisher()

    def _publish(self, delta: StoreDelta, started_at: float) -> None:
        """Publish what was read, together with what was published just before.

        A read during which this VM applied a delta of another VM must not be published.
        It lacks the changes of that delta, and a VM that applied it would consider
        itself up to date without ever receiving them.
        """
        moment = now()
        while self._published and moment - self._published[-1][0] > REPUBLISH_SECONDS:
            self._published.pop()
        if not self.is_publishing() or not delta.after:
            # A first read returns the whole state rather than changes.
            self._published.clear()
            return
        if self._published and self._published[0][1].revision != delta.after:
            self._published.clear()
        delta.age = moment - started_at
        delta.contact = self.contact_seconds()
        self.publish(delta.with_earlier(earlier for _, earlier in self._published))
        self._published.appendleft((moment, delta))

    def _is_relevant(self, item: Item) -> bool:
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

    def _apply_item(self, item: Item):
        if item.value is None:
            self._known_keys.discard(item.key)
        else:
            self._known_keys.add(item.key)
        # Deltas list these by revision only; assignments whatever their size.
        if item.value is not None and (
            len(item.value) > MAX_INLINE_VALUE_BYTES
            or item.key.startswith(ASSIGNMENT_PREFIX)
        ):
            self._large_values.note_revision(item.key, item.revision)
        if item.key.startswith(INTERNAL_PREFIX):
            self.apply_internal_item(item)
            return None
        try:
            record = self._reader.read(item)
        except InvalidRecord as exc:
            if self._unreadable.get(item.key) != item.value:
                self._unreadable[item.key] = item.value or b""
                log.warning(
                    "invalid record ignored",
                    extra={"key": item.key, "cause": str(exc)},
                )
            return None
        if record is None:
            return None
        if record.configuration is not None:
            self._configuration_key = item.key
        in_outage = self.in_outage()
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
            self._notify_listeners(
                "configuration" if what == "configuration" else "targets"
            )
        return record

    def _log_change(self, what: str, item: Item) -> None:
        self._change_log.changed(what, item, self._configuration_version(), now())

    def _configuration_version(self) -> int | None:
        cfg = self._cluster_view.configuration
        return cfg.version if cfg else None

    def apply_internal_item(self, item: Item) -> None:
        """Apply an item that the VMs keep for themselves, unless it is outdated."""
        if not self._is_newer(item.key, item.revision):
            return
        self.internal_items[item.key] = item
        if item.key.startswith(ASSIGNMENT_PREFIX) and item.value is not None:
            service = item.key.removeprefix(ASSIGNMENT_PREFIX)
            self.assignments[service] = Assignment.decode(item.value)
            self.assignment_revisions[service] = item.revision
        self._notify_listeners(item.key)

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
        self._known_keys.add(key)
        # Deltas list it by revision only. It need not be read, whatever its size.
        self._large_values.note_revision(key, revision)
        # The encoded value is not kept, since the decoded assignment is.
        self.internal_items[key] = Item(key, b"", revision)
        self.assignments[service] = assignment
        self.assignment_revisions[service] = revision
        self._notify_listeners(key)

    def apply_written_item(self, item: Item) -> None:
        """Apply an item that this VM has just written."""
        self._apply_item(item)

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
        self._apply_item(item)
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

    def _notify_listeners(self, what: str) -> None:
        for listener in self.listeners:
            listener(what)

    def record_success(self) -> None:
        """Record that the store has answered a call of this VM."""
        moment = now()
        if self._connectivity.is_failing():
            seconds = round(self._connectivity.outage_seconds(moment), 2)
            log.info("store regained", extra={"away": seconds})
            self._restart_expiry_grace(moment)
        self._connectivity.mark_success(moment)

    def record_failure(self, exc: Exception) -> None:
        """Record that the store has not answered a call of this VM."""
        moment = now()
        if not self._connectivity.is_disconnected():
            log.warning("store lost", extra={"cause": str(exc)})
        self._connectivity.mark_failure(moment)
        self._restart_expiry_grace(moment)

    def _restart_expiry_grace(self, moment: float) -> None:
        """Restart the grace period of expired records during an outage."""
        if self._connectivity.in_outage(moment):
            self._cluster_view.restart_expiry_grace(moment)
