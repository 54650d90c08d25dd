"""Follows the store and brings this VM's beliefs up to date."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.assignment import Assignment
from berylstage_entry.belief_log import BeliefLog
from berylstage_entry.clock import now
from berylstage_entry.contact import StoreContact
from berylstage_entry.coordinator_watch import CoordinatorWatch
from berylstage_entry.errors import InvalidRecord, RevisionCompacted, StoreError
from berylstage_entry.named_values import NamedValues
from berylstage_entry.store import Item
from berylstage_entry.store_delta import LARGEST_VALUE, StoreDelta
from berylstage_entry.store_keys import DUTY_KEY, KEYS_PREFIX, OWN_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.protocols import RecordReader
    from berylstage_entry.store import Store

# Seconds between two readings of all changes, or from what another VM told to a reading
# of one's own. Targets report about once a second each, so a watch without a pause
# would be a call for each report; a pause of 1.2 s leaves 0.8 s of the two seconds
# within which news must be in force.
PACE = 1.2
# The same for the VM that tells the others. Less than half of the pace, so that one
# lost telling is made up for by the next before the others read for themselves.
TELL_PACE = 0.45
# The same for the one VM of a data centre that tells the others there what it reads
# while nobody tells all. When the VM that tells is lost, hundreds would read for
# themselves at the same moment, and again until another one has its part. This is
# sooner than they do, and later than the next telling after one that was lost.
DEPUTY_PACE = 0.7
# The same while records have lapsed: whether they come back is known sooner.
LAPSED_PACE = 0.25
# The same while callers ask for keys whose owner this VM does not know. A VM that was
# not told of an assignment, as one that has just started, refused these requests for up
# to 0.9 s; four readings a second are a tenth of what the store lets 40 VMs do.
HURRIED_PACE = 0.25
# Seconds for which changes are told again with what is told next: four tellings.
TOLD_AGAIN = 2.0
# Age in seconds of what a VM knows from which it reads all records rather than their
# changes.
FAR_BEHIND = 2.0
# Seconds that the watch of all keys waits: with any target alive it returns at once.
ALL_WAIT = 1.0
# Seconds for a call that finds out whether the store can be reached.
CONTACT_TIMEOUT = 0.35
# Seconds before a failed call is made again, at least.
RETRY = 0.35
# Seconds between two failed calls at most while others tell of what this VM has missed:
# a third of the time in which it may handle requests by what it knew.
HURRIED_RETRY = 1.0
# Calls a second that all VMs together make to a store that does not answer. Each is
# paid for like others, and one that answers again has more to do than that.
RATE_AWAY = 30.0

log = Logger(__name__)


class StoreWatcher:
    """Reads and watches the store.

    Parameters
    ----------
    store : Store
    reader : RecordReader
    directory : Directory
    """

    def __init__(self, store: Store, reader: RecordReader, directory: ClusterView):
        self._store = store
        self._reader = reader
        self._directory = directory
        self._tasks: list[asyncio.Task] = []
        self._revision = 0
        self._contact = StoreContact(now())
        self._unreadable: dict[str, bytes] = {}
        self._changes = BeliefLog()
        self._hurried = asyncio.Event()
        # Whether the store no longer has the changes since what this VM knows.
        self._must_read_all = True
        # Seconds between a failed reading and the next one at least, if it is hurried.
        self._least_pause = RETRY
        # When this VM read the store last, and when what it knows was last up to date.
        self._read_at = float("-inf")
        self._fresh_at = float("-inf")
        self._named = NamedValues(self._read_named)
        # All keys that the store has, as far as this VM knows.
        self._keys: set[str] = set()
        # What this VM told last, the newest first, with the moments.
        self._told: deque[tuple[float, StoreDelta]] = deque()
        # Whether this VM tells the others what it reads, and how.
        self.is_teller: Callable[[], bool] = lambda: False
        self.tell: Callable[[StoreDelta], None] = lambda news: None
        # VMs that follow the store, as far as is known.
        self.vms = 1
        # Whether this VM is to hear of a vacant duty at once.
        self.is_standby: Callable[[], bool] = lambda: True
        # Whether this VM tells those of its data centre while nobody tells all.
        self.is_deputy: Callable[[], bool] = lambda: False
        # Whether a VM is known that had better have a vacant duty than this one.
        self.leaves_duty: Callable[[], bool] = lambda: False
        # Assignment of each service and the revision of its key.
        self.assignments: dict[str, Assignment] = {}
        self.revisions: dict[str, int] = {}
        # Other own keys, by key.
        self.own: dict[str, Item] = {}
        self.listeners: list[Callable[[str], None]] = []
        self.complete = False

    def start(self) -> None:
        """Begin to follow."""
        self._tasks = [
            asyncio.create_task(self._follow_all()),
            asyncio.create_task(CoordinatorWatch(self._store, self).run()),
        ]

    def stop(self) -> None:
        """Stop following."""
        self._changes.flush(self._version(), now(), every=True)
        for task in self._tasks:
            task.cancel()
        self._named.stop()

    def steady(self) -> float:
        """Return the seconds of unbroken contact with the store up to now."""
        return self._contact.steady(now())

    @property
    def revision(self) -> int:
        """Revision of the store up to which this VM knows everything."""
        return self._revision

    def retry_pause(self) -> float:
        """Return the seconds before a call is made again that the store has failed.

        The VM with the duty and those that stand by for it have to know at once when
        the store is back. The others are told by the first of them. A call that has
        failed alone is soon made again: it may be the link of this VM that was full.
        """
        if self.is_teller() or self.is_standby():
            return RETRY
        away = self._contact.away(now())
        return max(RETRY, min(away, self.vms / RATE_AWAY))

    async def contact(self) -> float:
        """Try to reach the store and return the seconds of contact; 0 for none."""
        if self._contact.is_lost() and now() - self._contact.failed_at < RETRY:
            # It has just been tried.
            return 0.0
        try:
            async with asyncio.timeout(CONTACT_TIMEOUT):
                await self._store.read(DUTY_KEY)
        except (StoreError, TimeoutError) as exc:
            self.note_failure(exc)
            return 0.0
        return max(0.001, self.steady())

    def in_outage(self) -> bool:
        """Tell whether the store is, or has just been, away from this VM."""
        return self._contact.in_outage(now())

    def is_in_touch(self) -> bool:
        """Tell whether the store answers this VM, and nothing that it knows may be old.

        A VM that knows of no change for a while would renew grants as they were, if it
        had the duty.
        """
        return not self._must_read_all and not self._contact.is_lost()

    def hurry(self) -> None:
        """Have the next reading done soon: something known has turned out to be old."""
        self._hurried.set()

    def take_news(self, news: StoreDelta) -> bool:
        """Take in what another VM has read; False when it has to be read here.

        Parameters
        ----------
        news : News

        Returns
        -------
        bool
        """
        if news.revision < self._revision:
            # Told late: it says nothing of how things are now.
            return False
        self._contact.told(now(), news.contact)
        if not self.complete:
            if self._contact.was_lost():
                self.hurry()
            return False
        if news.after > self._revision:
            self.hurry()
            # Read alone it is here sooner than with all records.
            self._named.named(
                {k: at for k, at in news.named.items() if not k.startswith(OWN_PREFIX)}
            )
            return False
        for item in news.items:
            if item.revision > self._revision:
                self._take(item)
        self._named.named(news.named)
        self._revision = news.revision
        self._must_read_all = False
        self._fresh_at = max(self._fresh_at, now() - news.age)
        # Told again with the first that this VM tells, should it be the next to tell:
        # other VMs may have missed the last that the former one told.
        self._told.clear()
        self._told.append((now(), news))
        return True

    async def _read_named(self, key: str) -> bool:
        """Read a value that was named; False when the store has failed."""
        try:
            changes = await self._store.read(key)
        except StoreError as exc:
            self.note_failure(exc)
            await asyncio.sleep(self.retry_pause())
            return False
        for item in changes.items:
            self._take(item)
        self.note_answer()
        return True

    def _pace(self) -> float:
        if self._directory.has_lapsed():
            return LAPSED_PACE
        if self.is_teller():
            return TELL_PACE
        return DEPUTY_PACE if self.is_deputy() else PACE

    async def _pause(self) -> None:
        """Wait until the next reading is due, or somebody needs it sooner."""
        while True:
            self._drop_lapsed()
            self._changes.flush(self._version(), now())
            wait = self._fresh_at + self._pace() - now()
            if wait <= 0:
                return
            try:
                async with asyncio.timeout(wait):
                    await self._hurried.wait()
            except TimeoutError:
                # News may have come meanwhile and put the reading off.
                continue
            await asyncio.sleep(max(0.0, self._read_at + HURRIED_PACE - now()))
            self._hurried.clear()
            return

    async def _follow_all(self) -> None:
        while True:
            try:
                if self._must_read_all or self._is_far_behind():
                    await self._read_all()
                else:
                    await self._watch_all()
                self._read_at = self._fresh_at = now()
                self._least_pause = RETRY
                self.note_answer()
                await self._pause()
            except RevisionCompacted:
                self._must_read_all = True
            except StoreError as exc:
                self.note_failure(exc)
                await self._rest()

    async def _rest(self) -> None:
        """Wait after a failed reading, until news show that something was missed.

        Who tells of it can be reached again, and so may the store. A VM that is cut off
        from the store alone hears such news all the time, and tries it with growing
        pauses.
        """
        most = self.retry_pause()
        least = min(most, self._least_pause)
        await asyncio.sleep(least)
        try:
            async with asyncio.timeout(most - least):
                await self._hurried.wait()
        except TimeoutError:
            return
        self._hurried.clear()
        self._least_pause = min(2 * self._least_pause, HURRIED_RETRY)

    def _is_far_behind(self) -> bool:
        """Tell whether all records are fewer than their changes since.

        Each target reports about once a second. The changes of some seconds are many
        times the records themselves; on a small link they take longer than the time
        for which anybody would wait, and at the next try there are more of them.
        """
        return not self.is_teller() and now() - self._fresh_at > FAR_BEHIND

    def _drop_lapsed(self) -> None:
        settled = self._contact.others_have_it(now())
        for name in self._directory.expire(now(), settled):
            log.info(
                "target dropped: its record did not come back", extra={"target": name}
            )
            self._tell("targets")

    async def _read_all(self) -> None:
        news, began = StoreDelta(self._revision, 0, []), now()
        changes = await self._store.read("")
        was_told = self._revision != news.after
        if was_told and self._revision >= changes.revision:
            # Older records must not undo what was told meanwhile.
            return
        names, closed, own = set(), set(), set()
        keys = {item.key for item in changes.items}
        for key in self._keys - keys:
            news.add(Item(key, None, changes.revision))
        self._keys = keys
        for item in changes.items:
            if item.revision > news.after and self._is_new(item):
                news.add(item, item.key.startswith(KEYS_PREFIX))
            record = self._take(item)
            if item.key.startswith(OWN_PREFIX):
                own.add(item.key)
            if record is not None and record.target is not None:
                names.add(record.target.name)
            if record is not None and record.closed:
                closed.add(record.closed)
        missing = self._directory.restrict(names, closed, now(), self.in_outage())
        for key in [key for key in self.own if key not in own]:
            del self.own[key]
            self._tell(key)
        news.revision = self._revision = changes.revision
        self.complete = True
        self._must_read_all = False
        if not was_told:
            self._tell_others(news, began)
        log.info(
            "store read",
            extra={
                "revision": changes.revision,
                "targets": len(names),
                "missing": missing,
            },
        )
        self._tell("read")

    async def _watch_all(self) -> None:
        news, began = StoreDelta(self._revision, 0, []), now()
        # A teller that stood still during a long wait could not tell how old the answer
        # is: a call that waits for nothing is as old as it took, on a clock that counts
        # suspended time.
        tells = self._tells()
        wait = 0.0 if tells else ALL_WAIT
        changes = await self._store.watch("", self._revision, wait)
        was_told = self._revision != news.after
        for item in changes.items:
            # News may have come during the watch; older changes must not undo it.
            if item.revision > self._revision and self._is_new(item):
                news.add(item, item.key.startswith(KEYS_PREFIX))
            if item.revision > self._revision:
                self._take(item)
        news.revision = self._revision = max(self._revision, changes.revision)
        if tells and not was_told:
            self._tell_others(news, began)

    def _tells(self) -> bool:
        """Tell whether this VM tells others what it reads."""
        return self.is_teller() or self.is_deputy()

    def _tell_others(self, news: StoreDelta, began: float) -> None:
        """Tell the other VMs what was read, with what was told a moment ago.

        Not for a reading during which this VM was told something itself: what it knew
        already when the reading came back is not in these news. Whoever took them would
        believe to know everything up to their revision, and never hear of it.
        """
        moment = now()
        while self._told and moment - self._told[-1][0] > TOLD_AGAIN:
            self._told.pop()
        if not self._tells() or not news.after:
            # What a first reading finds is not what has changed.
            self._told.clear()
            return
        if self._told and self._told[0][1].revision != news.after:
            self._told.clear()
        news.age = moment - began
        news.contact = self.steady()
        self.tell(news.since(told for _, told in self._told))
        self._told.appendleft((moment, news))

    def _is_new(self, item: Item) -> bool:
        """Tell whether a change matters to VMs that know everything before it."""
        if item.value is None or item.key.startswith(OWN_PREFIX):
            return True
        try:
            record = self._reader.read(item)
        except InvalidRecord:
            # It names nothing that could be used; each reader logs it when it takes it.
            return False
        if record is None or record.target is None:
            return record is not None
        known = self._directory.known.get(record.target.name)
        return known is None or known.differs(record.target, now())

    def _take(self, item: Item):
        if item.value is None:
            self._keys.discard(item.key)
        else:
            self._keys.add(item.key)
        if item.value is not None and len(item.value) > LARGEST_VALUE:
            self._named.took(item.key, item.revision)
        if item.key.startswith(OWN_PREFIX):
            self.take_own(item)
            return None
        try:
            record = self._reader.read(item)
        except InvalidRecord as exc:
            if self._unreadable.get(item.key) != item.value:
                self._unreadable[item.key] = item.value or b""
                log.warning(
                    "record passed over", extra={"key": item.key, "cause": str(exc)}
                )
            return None
        if record is None:
            return None
        in_outage = self.in_outage()
        what = self._directory.apply(record, now(), in_outage)
        if record.gone and in_outage and record.gone in self._directory.known:
            log.info("record gone, its target kept for now", extra={"key": item.key})
        if what:
            self._log_change(what, item)
            self._tell("configuration" if what == "configuration" else "targets")
        return record

    def _log_change(self, what: str, item: Item) -> None:
        self._changes.changed(what, item, self._version(), now())

    def _version(self) -> int | None:
        cfg = self._directory.configuration
        return cfg.version if cfg else None

    def take_own(self, item: Item) -> None:
        """Take in a key that the VMs keep for themselves, unless it is known newer."""
        if not self._is_newer(item.key, item.revision):
            return
        self.own[item.key] = item
        if item.key.startswith(KEYS_PREFIX) and item.value is not None:
            service = item.key.removeprefix(KEYS_PREFIX)
            self.assignments[service] = Assignment.decode(item.value)
            self.revisions[service] = item.revision
        self._tell(item.key)

    def _is_newer(self, key: str, revision: int) -> bool:
        known = self.own.get(key)
        return known is None or known.revision < revision

    def take_assignment(
        self, service: str, assignment: Assignment, revision: int
    ) -> None:
        """Take in an assignment that this VM has written, or worked out from a change.

        Parameters
        ----------
        service : str
        assignment : Assignment
        revision : int
            Of its key in the store.
        """
        key = KEYS_PREFIX + service
        if not self._is_newer(key, revision):
            return
        self._keys.add(key)
        # News names it by its revision. It need not be read, whatever its size.
        self._named.took(key, revision)
        # Its value is not kept: it is there in the form in which it is used.
        self.own[key] = Item(key, b"", revision)
        self.assignments[service] = assignment
        self.revisions[service] = revision
        self._tell(key)

    def take_written(self, item: Item) -> None:
        """Take in an own key that this VM has just written."""
        self._take(item)

    def take_told(self, item: Item) -> bool:
        """Take in a value that another VM tells ahead of its news.

        Parameters
        ----------
        item : Item
            An assignment or a configuration. Both say how new they are; of anything
            else an older state that was told late would replace a newer one.

        Returns
        -------
        bool
            False for anything else.
        """
        if not item.key.startswith(KEYS_PREFIX) and not self._configures(item):
            return False
        self._take(item)
        return True

    def _configures(self, item: Item) -> bool:
        if item.key.startswith(OWN_PREFIX):
            return False
        try:
            record = self._reader.read(item)
        except InvalidRecord:
            # Whoever reads it in the store logs it.
            return False
        return record is not None and record.configuration is not None

    def _tell(self, what: str) -> None:
        for listener in self.listeners:
            listener(what)

    def note_answer(self) -> None:
        """Note that the store has answered a call of this VM."""
        moment = now()
        if self._contact.was_lost():
            away = round(self._contact.away(moment), 2)
            log.info("store regained", extra={"away": away})
            self._postpone_expiry(moment)
        self._contact.answered(moment)

    def note_failure(self, exc: Exception) -> None:
        """Note that the store has not answered a call of this VM."""
        moment = now()
        if not self._contact.is_lost():
            log.warning("store lost", extra={"cause": str(exc)})
        self._contact.failed(moment)
        self._postpone_expiry(moment)

    def _postpone_expiry(self, moment: float) -> None:
        """Let lapsed records keep their whole time while the store is away."""
        if self._contact.in_outage(moment):
            self._directory.postpone_expiry(moment)
