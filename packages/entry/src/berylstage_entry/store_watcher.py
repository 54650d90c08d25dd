"""Watches the store and keeps this VM's view of the cluster up to date."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.coordinator_watch import CoordinatorWatch
from berylstage_entry.errors import RevisionCompacted, StoreError
from berylstage_entry.large_values import LargeValueFetcher
from berylstage_entry.store import Item
from berylstage_entry.store_access.applied_items import AppliedItems
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_access.check_pauses import check_pause
from berylstage_entry.store_access.publication import Publication
from berylstage_entry.store_access.read_timing import (
    ASK_LEAD_SECONDS,
    ASK_RETRY_SECONDS,
    CHECK_DELAY_SECONDS,
    FULL_READ_AGE_SECONDS,
    MAX_REQUESTED_RETRY_SECONDS,
    MIN_WAIT_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    READ_INTERVAL_SECONDS,
    REQUESTED_READ_INTERVAL_SECONDS,
    RETRY_SECONDS,
    WATCH_WAIT_SECONDS,
    read_interval,
    read_retry_delay,
)
from berylstage_entry.store_connectivity import StoreConnectivity
from berylstage_entry.store_delta import MAX_INLINE_VALUE_BYTES, StoreDelta
from berylstage_entry.store_keys import (
    ASSIGNMENT_PREFIX,
    COORDINATOR_KEY,
    INTERNAL_PREFIX,
)
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_entry.assignment import Assignment
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import RecordReader
    from berylstage_entry.store import Store

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
        self._cluster_view = cluster_view
        self._tasks: list[asyncio.Task] = []
        self._revision = 0
        self._connectivity = StoreConnectivity(now())
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
        self._applied = AppliedItems(
            reader, cluster_view, self.in_outage, self._large_values.note_revision
        )
        self._publication = Publication(self._applied)
        # Time at which this VM's view was certainly that of the store.
        self.view_time = float("-inf")
        # Asks the publisher for the changes since a revision; None without an answer.
        self.ask_publisher: Callable[[int], Awaitable[StoreDelta | None]] | None = None
        self._asked_at = self._ask_failed_at = float("-inf")
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
        self.assignments = self._applied.assignments
        self.assignment_revisions = self._applied.assignment_revisions
        # Items that the VMs keep for themselves, by key.
        self.internal_items = self._applied.internal_items
        self.listeners = self._applied.listeners
        self.has_synced = False

    def start(self) -> None:
        """Start watching the store."""
        self._tasks = [
            supervise("store reads", self._run),
            supervise(
                "watch of the coordinator", CoordinatorWatch(self._store, self).run
            ),
        ]

    def stop(self) -> None:
        """Stop watching the store."""
        self._applied.flush_log(force=True)
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
        has_duty = self.is_publisher() or self.is_standby()
        seconds = self._connectivity.outage_seconds(now())
        return read_retry_delay(has_duty, seconds, self.vm_count)

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

    def knows_changes_until(self, revision: int) -> bool:
        """Return whether this VM knows every change up to a revision.

        Deltas list assignments by revision only, so their values may still be missing
        although the revision is reached.
        """
        return (
            not self._needs_full_read
            and self._revision >= revision
            and not self._large_values.is_missing(ASSIGNMENT_PREFIX)
        )

    async def read_until(self, revision: int) -> None:
        """Make one call for what this VM lacks of the changes up to a revision.

        Raises
        ------
        StoreError
        """
        try:
            if self._needs_full_read or self._should_read_all():
                await self._read_all()
            elif self._revision < revision:
                await self._watch_all(CallCause.TAKEOVER, 0.0)
            elif self._large_values.is_missing(ASSIGNMENT_PREFIX):
                changes = await self._calls(CallCause.TAKEOVER).read(ASSIGNMENT_PREFIX)
                for item in changes.items:
                    self._applied.apply(item)
        except RevisionCompacted:
            self._needs_full_read = True
            raise
        except StoreError as exc:
            self.record_failure(exc)
            raise
        self.record_success()

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
        self._publication.record_received(delta, now())
        return True

    def _advance(self, delta: StoreDelta) -> None:
        """Apply a delta that starts at or before this VM's revision."""
        for item in delta.items:
            if item.revision > self._revision:
                self._applied.apply(item)
        self._publication.memory.extend(delta, now())
        self._large_values.fetch_newer(delta.large_revisions)
        self._revision = delta.revision
        self._needs_full_read = False
        self.view_time = max(self.view_time, now() - delta.age)
        self._up_to_date_at = max(self._up_to_date_at, now() - delta.age)

    def changes_since(self, revision: int) -> StoreDelta | None:
        """Return the merged changes since a revision; None if it is too old.

        If this VM has nothing newer, its next read is made early: the asking VM would
        otherwise have learned more from the store.
        """
        delta = self._publication.since(revision)
        if delta is None:
            return None
        delta.age = max(0.0, now() - self.view_time)
        delta.contact = self.contact_seconds()
        if not delta.items and delta.age > REQUESTED_READ_INTERVAL_SECONDS:
            self.request_refresh(CallCause.PUBLISHER_ASKED)
        return delta

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
            self._applied.apply(item)
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
        if not self._applied.configuration_key:
            return False
        calls = self._calls(CallCause.CONFIRMATION)
        changes = await calls.read(self._applied.configuration_key)
        for item in changes.items:
            if item.key == self._applied.configuration_key:
                self._applied.apply(item)
        self.record_success()
        return True

    def _calls(self, cause: CallCause) -> Store:
        return self._store.for_cause(cause)

    def _full_read_cause(self) -> CallCause:
        if not self.has_synced:
            return CallCause.FIRST_READ
        return CallCause.COMPACTED if self._needs_full_read else CallCause.OLD_VIEW

    def _read_interval(self) -> float:
        return read_interval(
            self._cluster_view.has_expired_records(),
            self.is_publisher(),
            self.is_local_publisher(),
        )

    async def _wait_for_next_read(self) -> None:
        """Wait until the next read is due or requested."""
        while True:
            self._applied.remove_expired_targets(
                self._connectivity.has_peer_contact(now())
            )
            self._applied.flush_log()
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
                    # A publisher suspended during a long wait could not tell how old
                    # the answer is. The answer to a call that does not wait is no older
                    # than the call took, by a clock that counts suspended time.
                    wait = 0.0 if self.is_publishing() else WATCH_WAIT_SECONDS
                    await self._watch_all(self._read_cause, wait)
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

    async def _read_all(self) -> None:
        delta, started_at = StoreDelta(self._revision, 0, []), now()
        changes = await self._calls(self._full_read_cause()).read("")
        was_updated = self._revision != delta.after
        if was_updated and self._revision >= changes.revision:
            # Older records must not overwrite a delta that arrived during the read.
            return
        names, closed, own = set(), set(), set()
        keys = {item.key for item in changes.items}
        keys |= self._applied.internal_keys_newer_than(changes.revision)
        for key in self._applied.known_keys - keys:
            delta.add(Item(key, None, changes.revision))
        self._applied.known_keys = keys
        for item in changes.items:
            if item.revision > delta.after and self._applied.is_relevant(item):
                delta.add(item, item.key.startswith(ASSIGNMENT_PREFIX))
            record = self._applied.apply(item)
            if item.key.startswith(INTERNAL_PREFIX):
                own.add(item.key)
            if record is not None and record.target is not None:
                names.add(record.target.name)
            if record is not None and record.closed_data_centre:
                closed.add(record.closed_data_centre)
        missing = self._cluster_view.drop_missing(
            names, closed, now(), self.in_outage()
        )
        self._applied.drop_internal_items_except(own, changes.revision)
        delta.revision = self._revision = changes.revision
        self._publication.memory.extend(delta, now())
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
        self._applied.notify_listeners("read")

    async def _watch_all(self, cause: CallCause, wait: float) -> None:
        delta, started_at = StoreDelta(self._revision, 0, []), now()
        is_publishing = self.is_publishing()
        changes = await self._calls(cause).watch("", self._revision, wait)
        was_updated = self._revision != delta.after
        for item in changes.items:
            # Older changes must not overwrite a delta that arrived during the watch.
            if item.revision > self._revision and self._applied.is_relevant(item):
                delta.add(item, item.key.startswith(ASSIGNMENT_PREFIX))
            if item.revision > self._revision:
                self._applied.apply(item)
        delta.revision = self._revision = max(self._revision, changes.revision)
        self._publication.memory.extend(delta, now())
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
        delta.age = moment - started_at
        delta.contact = self.contact_seconds()
        merged = self._publication.prepare(delta, moment, self.is_publishing())
        if merged is not None:
            self.publish(merged)

    def apply_internal_item(self, item: Item) -> None:
        """Apply an item that the VMs keep for themselves, unless it is outdated."""
        self._applied.apply_internal_item(item)

    def apply_assignment(
        self, service: str, assignment: Assignment, revision: int
    ) -> None:
        """Apply an assignment that this VM has written, or computed from a delta."""
        self._applied.apply_assignment(service, assignment, revision)

    def apply_written_item(self, item: Item) -> None:
        """Apply an item that this VM has just written."""
        self._applied.apply(item)

    def apply_pushed_item(self, item: Item) -> bool:
        """Apply an assignment or a configuration that another VM pushes.

        Returns
        -------
        bool
            False if the item is neither, and was ignored.
        """
        return self._applied.apply_pushed_item(item)

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
