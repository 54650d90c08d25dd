"""Elects the coordinator, the one VM that grants keys to targets.

A VM acts as the coordinator only while its lease in the store is certain to be valid.
During an outage of the store, targets keep their keys by the grants that the
coordinator gave before: if it and most other VMs have lost the store, it extends all
grants to the longest duration that targets accept. A new coordinator must find out
whether that may have happened, because it must let such grants expire before it moves
keys away from an unresponsive target.

The store, the logs and the paths call the coordinator's role the duty.
"""

from __future__ import annotations

import asyncio
import json
from random import Random
from typing import TYPE_CHECKING

from berylstage_policy.standby import election_delay
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import (
    Conflict,
    InvalidRecord,
    LeaseExpired,
    StoreError,
    StoreUnavailable,
)
from berylstage_entry.grant_expiry import (
    GRANT_SECONDS,
    compute_expiry,
    extended_grant_seconds,
)
from berylstage_entry.json_documents import parse_json
from berylstage_entry.store import Condition, Item, Write
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_keys import COORDINATOR_KEY, INTERNAL_PREFIX
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from berylstage_entry.peers import PeerClient
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

# Key with the number of the current term and the last coordinator. It has no lease.
TERM_KEY = INTERNAL_PREFIX + "term"
# Path at which a former coordinator returns its state to its successor.
EXPORT_STATE_PATH = "/duty/hand-on"
# Path at which a VM tells for how long it has been in contact with the store.
STORE_CONTACT_PATH = "/store/contact"
# Path at which a VM tells how many targets others reach and it does not.
LINKS_PATH = "/links"
# Lease of the coordinator in the store. If its VM fails, another takes over within this
# time, which is shorter than the duration of a grant.
LEASE_SECONDS = 2.0
# Seconds between two checks whether there is a coordinator.
VACANCY_CHECK_SECONDS = 0.1
# Seconds between two renewals of the lease.
LEASE_RENEWAL_INTERVAL_SECONDS = 0.4
# Timeout of one renewal: ten times what the store takes when it is slow by a factor of
# ten. After a failed renewal there is time to query the other VMs and to extend grants.
LEASE_RENEWAL_TIMEOUT_SECONDS = 0.45
# Seconds of unbroken contact with the store that prove that the store was available
# while the last coordinator's lease expired: the lease (2 s), up to 1.2 s until a VM
# that does not watch the coordinator's key reads that it is gone, 0.1 s of jitter,
# 0.6 s in which a small VM defers to others, two calls to a store that is 60 times
# slower than usual (0.5 s), and the query itself (0.5 s). A VM that had lost the store
# when grants were extended must not qualify by then.
MIN_CONTACT_SECONDS = 5.5
# Upper bound of the random delay before a VM tries to become coordinator, so that they
# do not all try at once.
MAX_JITTER_SECONDS = 0.1
# Seconds that a coordinator stays before it yields to a better VM. By then the VMs that
# are starting are known, and the previous coordinator's grants have expired.
MIN_TERM_SECONDS = 5.0
# Seconds by which a VM that has lost links to targets lets others go first, and for
# which it stays the coordinator if it became that nevertheless.
LOST_LINKS_DELAY_SECONDS = 1.0
# VMs that a coordinator with lost links asks for theirs.
MAX_VMS_ASKED = 3
# Seconds between two queries to the previous coordinator, and their number.
QUERY_INTERVAL_SECONDS = 0.3
QUERY_ATTEMPTS = 3
# Seconds from a failed read of the changes before a term to the next one. Grants expire
# meanwhile.
CATCH_UP_RETRY_SECONDS = 0.1

log = Logger(__name__)


class _Term:
    """A coordinator's term, as stored.

    Parameters
    ----------
    number : int
        Increases with each term.
    vm : str
        The coordinator.
    control_address : str
        Address at which it listens for other VMs.
    settled : bool
        Whether all grants of earlier terms have expired.
    """

    __slots__ = ("control_address", "number", "settled", "vm")

    def __init__(self, number: int, vm: str, control_address: str, settled: bool):
        self.number = number
        self.vm = vm
        self.control_address = control_address
        self.settled = settled

    def encode(self) -> bytes:
        """Return the value to store."""
        doc = {
            "term": self.number,
            "vm": self.vm,
            "control": self.control_address,
            "settled": self.settled,
        }
        return json.dumps(doc).encode()

    @classmethod
    def decode(cls, value: bytes | None) -> _Term:
        """Parse the stored value; None if there has not been any term yet.

        Raises
        ------
        InvalidRecord
        """
        if value is None:
            return cls(0, "", "", True)
        doc = parse_json(value)
        try:
            return cls(doc["term"], doc["vm"], doc["control"], doc["settled"])
        except (KeyError, TypeError) as exc:
            raise InvalidRecord(f"not a coordinator's term: {exc}") from exc


class CoordinatorElection:
    """Acquires, renews and gives up the coordinator's lease.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    store_watcher : StoreWatcher
    peers : PeerClient
    rng : Random
    """

    def __init__(
        self,
        cfg: EntrySettings,
        store: Store,
        store_watcher: StoreWatcher,
        peers: PeerClient,
        rng: Random,
    ):
        self._cfg = cfg
        self._store = store.for_cause(CallCause.ELECTION)
        self._store_watcher = store_watcher
        self._peers = peers
        self._rng = rng
        self._lease = 0
        # The lease acquired last, until it is revoked. The store may have bound the
        # coordinator's key to it although this VM does not know that the write
        # succeeded.
        self._acquired_lease = 0
        self._lease_renewed_at = float("-inf")
        self._key_revision = 0
        self._task: asyncio.Task | None = None
        # Reads what this VM lacks of the changes before its term.
        self._catch_up_task: asyncio.Task | None = None
        self._takeover_task: asyncio.Task | None = None
        self._extension_task: asyncio.Task | None = None
        self._stopping = False
        # Set when the coordinator's key has changed, and while this VM has the lease
        # and knows all changes before its term.
        self._key_changed = asyncio.Event()
        self._has_begun = asyncio.Event()
        store_watcher.listeners.append(self._on_store_change)
        self.term = 0
        # Whether this very process was also the coordinator of the previous term.
        self.succeeds_itself = False
        # Called with the state of the previous coordinator. Returns the seconds until
        # all its grants have expired, or None if the state cannot be parsed.
        self.import_state: Callable[[bytes], float | None] = lambda body: None
        # Time by which all grants of other VMs have expired, as far as known.
        self.other_grants_expire_at = float("inf")
        # Start of the term.
        self._term_start = float("-inf")
        # Returns the address of a VM that should be coordinator instead, or "".
        self.preferred_coordinator: Callable[[], str] = lambda: ""
        # Number of targets that other VMs reach and this one does not.
        self.count_lost_links: Callable[[], int] = lambda: 0
        # Tells whether targets accept new connections of this VM.
        self.has_links: Callable[[], Awaitable[bool]] | None = None
        # Whether grants last long enough to outlast an outage of the store.
        self.extends_grants = False

    def start(self) -> None:
        """Start to take part in the election."""
        self._task = supervise("election", self._run)

    def is_coordinator(self) -> bool:
        """Tell whether this VM is the coordinator and may still grant keys.

        Callers must check this right before each grant, because the process may have
        been suspended since the clock was read last.

        The coordinator's key is watched by itself, so a VM can become coordinator ahead
        of the changes that its predecessor wrote before. By its old view it would renew
        grants of keys that have moved, and they would have two owners. Its term begins
        once it knows all that the store had when its key was written.
        """
        return self._has_begun.is_set() and self._has_valid_lease()

    def _has_valid_lease(self) -> bool:
        return bool(self._lease) and now() < self._lease_renewed_at + LEASE_SECONDS

    async def wait_for_term(self) -> None:
        """Wait until a term of this VM has begun, even if it may not grant any more."""
        await self._has_begun.wait()

    def grant_seconds(self) -> float:
        """Return the duration in seconds of a grant made now."""
        return (
            extended_grant_seconds(self._cfg.bounds.max_grant_seconds)
            if self.extends_grants
            else GRANT_SECONDS
        )

    def may_export_state(self, body: bytes) -> bool:
        """Tell whether this process was the coordinator of a term and no longer is.

        A process that was restarted at the address of the former coordinator knows
        nothing of the grants made before. If it answered, its successor would conclude
        that all have expired, and the keys of an unresponsive target would get a second
        owner.

        Parameters
        ----------
        body : bytes
            Number of the term.
        """
        return body == str(self.term).encode() and not self._has_valid_lease()

    def write_condition(self) -> Condition:
        """Return the condition under which this VM may write assignments."""
        return Condition(COORDINATOR_KEY, self._key_revision)

    def coordinator_address(self) -> str:
        """Return the coordinator's address for other VMs, or "" if it is unknown."""
        item = self._store_watcher.internal_items.get(COORDINATOR_KEY)
        if item is None or item.value is None:
            return ""
        try:
            return str(parse_json(item.value)["control"])
        except (InvalidRecord, KeyError, TypeError) as exc:
            log.debug("coordinator's key is unreadable", extra={"cause": str(exc)})
            return ""

    async def resign(self) -> None:
        """Step down so that another VM can become coordinator at once."""
        self._stopping = True
        if self._task is not None:
            self._task.cancel()
        await self._give_up_lease("stopping")

    async def _give_up_lease(self, cause: str) -> None:
        was_coordinator, revision = bool(self._lease), self._key_revision
        self._step_down(cause)
        if not self._acquired_lease:
            return
        try:
            if was_coordinator:
                conditions = [Condition(COORDINATOR_KEY, revision)]
                await self._store.write(conditions, [], [COORDINATOR_KEY])
            await self._store.revoke_lease(self._acquired_lease)
        except LeaseExpired:
            log.debug("the coordinator's lease has already expired")
        except StoreError as exc:
            log.warning(
                "coordinator's lease not revoked; waiting for it to expire",
                extra={"cause": str(exc)},
            )
            return
        self._acquired_lease = 0

    async def _run(self) -> None:
        while not self._stopping:
            try:
                if self._lease:
                    await asyncio.sleep(LEASE_RENEWAL_INTERVAL_SECONDS)
                    await self._renew_lease()
                    await self._resign_if_links_are_lost()
                elif self._lacks_coordinator():
                    wait = self._rng.uniform(0, MAX_JITTER_SECONDS) + election_delay(
                        self._cfg.relative_capacity
                    )
                    await asyncio.sleep(wait)
                    if not await self._reaches_targets():
                        await asyncio.sleep(LOST_LINKS_DELAY_SECONDS)
                    await self._campaign()
                else:
                    await self._wait_for_key_change()
            except StoreError as exc:
                log.info(
                    "election: no answer from the store", extra={"cause": str(exc)}
                )
                await asyncio.sleep(0.2)

    async def _wait_for_key_change(self) -> None:
        """Wait until it is worthwhile to check again whether there is a coordinator.

        Hundreds of VMs take part in the election. As long as the key names a
        coordinator, only a change of the key wakes them.
        """
        if self.coordinator_address():
            self._key_changed.clear()
            await self._key_changed.wait()
        else:
            # There is no coordinator, and this VM cannot reach the store.
            await asyncio.sleep(VACANCY_CHECK_SECONDS)

    def _on_store_change(self, changed: str) -> None:
        if changed in (COORDINATOR_KEY, "read"):
            self._key_changed.set()

    def _lacks_coordinator(self) -> bool:
        item = self._store_watcher.internal_items.get(COORDINATOR_KEY)
        no_coordinator = item is None or item.value is None
        # Only wait until the store answers again: extended grants may expire 1.3 s
        # after the store is back, and 3 s more left all keys without an owner.
        return no_coordinator and self._store_watcher.is_up_to_date()

    async def _renew_lease(self) -> None:
        item = self._store_watcher.internal_items.get(COORDINATOR_KEY)
        if item is not None and item.revision > self._key_revision:
            self._step_down("another VM has it")
            return
        sent = now()
        try:
            async with asyncio.timeout(LEASE_RENEWAL_TIMEOUT_SECONDS):
                await self._store.renew_lease(self._lease)
            self._lease_renewed_at = sent
            self.extends_grants = False
            await self._yield_to_preferred()
        except LeaseExpired:
            self._step_down("lease ended")
        except (StoreError, TimeoutError) as exc:
            if self._extension_task is None or self._extension_task.done():
                self._extension_task = asyncio.create_task(self._extend_grants())
            raise StoreUnavailable(f"coordinator's lease not renewed: {exc}") from exc

    async def _yield_to_preferred(self) -> None:
        """Step down if a VM with much more capacity is alive.

        A small VM may have become coordinator while larger ones were absent or
        starting. Under load it grants keys late, targets then count as unresponsive,
        and moving their keys adds to the load.
        """
        address = self.preferred_coordinator()
        if not address or now() - self._term_start < MIN_TERM_SECONDS:
            return
        # A VM's record remains for the duration of its lease after the VM has failed.
        answer = await self._peers.call(address, STORE_CONTACT_PATH)
        if answer is None or float(answer) <= 0:
            return
        if await self._ask_lost_links(address) > self.count_lost_links():
            return
        await self._give_up_lease("a VM with more room for it is there")
        await asyncio.sleep(LEASE_SECONDS)

    async def _reaches_targets(self) -> bool:
        """Tell whether this VM could renew grants if it became the coordinator."""
        if self.count_lost_links():
            return False
        return self.has_links is None or await self.has_links()

    async def _resign_if_links_are_lost(self) -> None:
        """Step down if another VM has lost fewer links to targets than this one.

        This VM cannot renew the grants of those targets, and their keys would lose
        their owners, although other VMs reach them.
        """
        lost = self.count_lost_links()
        if not self._lease or not lost:
            return
        if now() - self._term_start < LOST_LINKS_DELAY_SECONDS:
            return
        addresses = self._peers.other_addresses()
        self._rng.shuffle(addresses)
        for address in addresses[:MAX_VMS_ASKED]:
            if await self._ask_lost_links(address) < lost:
                await self._give_up_lease("links to targets lost")
                return

    async def _ask_lost_links(self, address: str) -> float:
        """Return how many links a VM has lost; infinite if it does not answer."""
        answer = await self._peers.call(address, LINKS_PATH)
        return float(answer) if answer else float("inf")

    async def _extend_grants(self) -> None:
        """Extend grants if other VMs have lost the store as well."""
        if self.extends_grants or not self.is_coordinator():
            return
        answers = await self._peers.call_all(STORE_CONTACT_PATH)
        reported = [answer for answer in answers if answer is not None]
        lost = [answer for answer in reported if float(answer) <= 0]
        # At least half of all VMs must have lost the store, and none may reach it. No
        # VM that becomes coordinator then finds that half of them had unbroken contact.
        if (
            2 * len(lost) >= len(answers)
            and len(lost) == len(reported)
            and self.is_coordinator()
        ):
            self.extends_grants = True
        log.info(
            "store lost by the holder of the duty",
            extra={
                "prolongs": self.extends_grants,
                "asked": len(answers),
                "told": len(reported),
                "lost": len(lost),
            },
        )

    async def _campaign(self) -> None:
        if not self._lacks_coordinator():
            return
        sent = now()
        lease = await self._store.create_lease(
            max(LEASE_SECONDS, self._cfg.min_store_lease_seconds)
        )
        self._acquired_lease = lease
        old = self._store_watcher.internal_items.get(TERM_KEY)
        previous = _Term.decode(old.value if old else None)
        current = _Term(
            previous.number + 1, self._cfg.vm, self._cfg.control_address, False
        )
        conditions = [
            Condition(COORDINATOR_KEY, 0),
            Condition(TERM_KEY, old.revision if old else 0),
        ]
        value = current.encode()
        writes = [Write(COORDINATOR_KEY, value, lease), Write(TERM_KEY, value)]
        try:
            revision = await self._store.write(conditions, writes)
        except (Conflict, LeaseExpired):
            await asyncio.sleep(0.1)
            return
        self.succeeds_itself = self.term == previous.number and self.term > 0
        self._lease, self._lease_renewed_at, self._key_revision = lease, sent, revision
        self._term_start = sent
        self.term = current.number
        self.extends_grants = False
        self._store_watcher.apply_written_item(Item(COORDINATOR_KEY, value, revision))
        self._store_watcher.apply_written_item(Item(TERM_KEY, value, revision))
        self.other_grants_expire_at = now()
        if previous.control_address and not (self.succeeds_itself and previous.settled):
            self.other_grants_expire_at = compute_expiry(
                now(), self._extended_grant_seconds()
            )
        log.info(
            "duty taken",
            extra={
                "term": self.term,
                "former": previous.control_address,
                "settled": previous.settled,
                "revision": revision,
            },
        )
        self._catch_up_task = asyncio.create_task(self._catch_up(revision))
        self._takeover_task = asyncio.create_task(
            self._await_earlier_grants(previous, current)
        )

    async def _catch_up(self, revision: int) -> None:
        """Read the changes up to the revision of this VM's key, and begin its term."""
        start_time = now()
        while not self._store_watcher.knows_changes_until(revision):
            try:
                await self._store_watcher.read_until(revision)
            except StoreError as exc:
                log.info("changes before the term not read", extra={"cause": str(exc)})
                await asyncio.sleep(CATCH_UP_RETRY_SECONDS)
        if self._key_revision == revision and self._lease:
            self._has_begun.set()
            log.info(
                "term begun",
                extra={"term": self.term, "seconds": round(now() - start_time, 3)},
            )

    def _extended_grant_seconds(self) -> float:
        return extended_grant_seconds(self._cfg.bounds.max_grant_seconds)

    async def _await_earlier_grants(self, previous: _Term, current: _Term) -> None:
        """Determine when the grants of earlier terms expire, then store that fact."""
        start_time = now()
        if previous.control_address and not self.succeeds_itself:
            had_contact, seconds_left = await asyncio.gather(
                self._had_contact(previous.control_address),
                self._query_predecessor(previous),
            )
            expiries = [self.other_grants_expire_at]
            if previous.settled and had_contact:
                expiries.append(compute_expiry(start_time, GRANT_SECONDS))
            if previous.settled and seconds_left is not None:
                expiries.append(now() + seconds_left)
            self.other_grants_expire_at = min(expiries)
            log.info(
                "former holds",
                extra={
                    "steady": had_contact,
                    "handed_on": seconds_left is not None,
                    "lapse_in": round(self.other_grants_expire_at - now(), 2),
                },
            )
        await asyncio.sleep(max(0.0, self.other_grants_expire_at - now()))
        await self._store_settled(current)

    async def _had_contact(self, former: str) -> bool:
        """Tell whether over half of the VMs had unbroken contact with the store."""
        if self._store_watcher.contact_seconds() < MIN_CONTACT_SECONDS:
            return False
        # The former coordinator extended grants only if half of the other VMs had lost
        # the store. More than half of them with unbroken contact, this one included,
        # rule that out.
        addresses = [a for a in self._peers.other_addresses() if a != former]
        answers = await asyncio.gather(
            *(self._peers.call(a, STORE_CONTACT_PATH) for a in addresses)
        )
        in_contact = [
            a for a in answers if a is not None and float(a) >= MIN_CONTACT_SECONDS
        ]
        return 2 * (len(in_contact) + 1) > len(answers) + 1

    async def _query_predecessor(self, previous: _Term) -> float | None:
        """Return the seconds until the former coordinator's grants expire."""
        for _ in range(QUERY_ATTEMPTS):
            term = str(previous.number).encode()
            answer = await self._peers.call(
                previous.control_address, EXPORT_STATE_PATH, term
            )
            if answer:
                return self.import_state(answer)
            await asyncio.sleep(QUERY_INTERVAL_SECONDS)
        return None

    async def _store_settled(self, current: _Term) -> None:
        """Store that all grants of earlier terms have expired."""
        current.settled = True
        while self._lease and self.term == current.number:
            try:
                item = self._store_watcher.internal_items[TERM_KEY]
                conditions = [
                    self.write_condition(),
                    Condition(TERM_KEY, item.revision),
                ]
                await self._store.write(conditions, [Write(TERM_KEY, current.encode())])
                return
            except Conflict:
                # The answer to an earlier attempt was lost, or another VM is
                # coordinator now.
                return
            except StoreError as exc:
                log.info("term not stored", extra={"cause": str(exc)})
                await asyncio.sleep(QUERY_INTERVAL_SECONDS)

    def _step_down(self, reason: str) -> None:
        if self._lease:
            log.info("duty given up", extra={"why": reason, "term": self.term})
        self._lease = 0
        self._has_begun.clear()
        if self._catch_up_task is not None:
            self._catch_up_task.cancel()
        self.extends_grants = False
        self.other_grants_expire_at = float("inf")
