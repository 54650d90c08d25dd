"""Membership of the VMs: each keeps a record of its own under a lease."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_policy.candidates import Candidate
from berylstage_policy.standby import is_standby, should_yield
from logbook import Logger

from berylstage_entry.addresses import split_host_port
from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord, LeaseExpired, StoreError
from berylstage_entry.json_documents import parse_json
from berylstage_entry.store import Write
from berylstage_entry.store_access.call_counts import CallCause
from berylstage_entry.store_keys import INTERNAL_PREFIX
from berylstage_entry.supervision import supervise

if TYPE_CHECKING:
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

VMS_PREFIX = INTERNAL_PREFIX + "vm/"
# Term of a VM's lease. The number of VMs only divides limits among them, so it need not
# be exact.
LEASE_SECONDS = 20.0
# Three renewals fit into the term of the lease. They need not detect the loss of the
# store: `StoreWatcher.probe_store` checks it when asked, and so do the VM's own reads
# when no delta arrives.
RENEWAL_INTERVAL_SECONDS = 5.0
# Shortest delay before a failed call is retried.
RETRY_SECONDS = 1.0
# Bounds of the steps in which this delay passes. It changes when the store returns.
MAX_WAIT_SECONDS = 0.5
MIN_WAIT_SECONDS = 0.001
# Number of VMs assumed to be starting, in addition to the known ones.
ASSUMED_STARTING_VMS = 2

log = Logger(__name__)


class Member:
    """A VM as its own record describes it.

    Parameters
    ----------
    name : str
    control_address : str
        Address at which it listens for other VMs.
    data_centre : str
    relative_capacity : float
        Share of the resources needed by a coordinator that the VM has, up to 1.

    Attributes
    ----------
    host : str
        Host part of the address.
    """

    __slots__ = ("control_address", "data_centre", "host", "name", "relative_capacity")

    def __init__(
        self,
        name: str,
        control_address: str,
        data_centre: str,
        relative_capacity: float,
    ):
        self.name = name
        self.control_address = control_address
        self.host, _ = split_host_port(control_address)
        self.data_centre = data_centre
        self.relative_capacity = relative_capacity


class Membership:
    """Registers this VM and tracks the others.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    store_watcher : StoreWatcher
    """

    def __init__(self, cfg: EntrySettings, store: Store, store_watcher: StoreWatcher):
        self._cfg = cfg
        self._store = store
        self._store_watcher = store_watcher
        self._lease = 0
        # The lease obtained last. The store may have attached this VM's record to it
        # even if the answer to the write was lost.
        self._latest_lease = 0
        self._task: asyncio.Task | None = None
        # Whether the store has accepted the record or its last renewal.
        self.is_registered = False
        # Members and the revisions of their records, by key.
        self._entries: dict[str, tuple[int, Member]] = {}
        self._members: list[Member] = []
        # Incremented at each change of the known VMs.
        self.revision = 0
        store_watcher.listeners.append(self._on_store_change)

    def start(self) -> None:
        """Start to register this VM and keep its lease alive."""
        self._task = supervise("membership", self._run)

    async def stop(self) -> None:
        """Deregister this VM."""
        if self._task is not None:
            self._task.cancel()
        if self._latest_lease:
            try:
                await self._calls().revoke_lease(self._latest_lease)
            except StoreError as exc:
                log.info("VM not deregistered", extra={"cause": str(exc)})

    def members(self) -> list[Member]:
        """Return the known VMs, this one included."""
        return self._members

    def addresses(self) -> list[str]:
        """Return the addresses of the known VMs, this one included."""
        return [member.control_address for member in self._members]

    def names(self) -> list[str]:
        """Return the names of the known VMs, this one included."""
        return [member.name for member in self._members]

    def is_standby(self, holder: str) -> bool:
        """Return whether this VM is the standby coordinator of its data centre.

        Parameters
        ----------
        holder : str
            Address of the coordinator. It is not its own standby; otherwise there would
            be none where all VMs are in one data centre.
        """
        home = self._cfg.data_centre
        neighbours = [
            Candidate(member.name, member.relative_capacity)
            for member in self._members
            if member.data_centre == home and member.control_address != holder
        ]
        return is_standby(self._cfg.vm, neighbours)

    def preferred_coordinator(self) -> str:
        """Return the address of a VM better suited as coordinator; empty for none."""
        best = max(
            self._members, key=lambda member: member.relative_capacity, default=None
        )
        if best is None or not should_yield(
            self._cfg.relative_capacity, best.relative_capacity
        ):
            return ""
        return best.control_address

    def _on_store_change(self, what: str) -> None:
        if what == "read":
            keys = {
                key
                for key in self._store_watcher.internal_items
                if key.startswith(VMS_PREFIX)
            }
            changed = [
                key for key in keys | set(self._entries) if self._update_member(key)
            ]
        elif what.startswith(VMS_PREFIX):
            changed = [what] if self._update_member(what) else []
        else:
            return
        if changed:
            self.revision += 1
            self._members = [member for _, member in self._entries.values()]

    def _update_member(self, key: str) -> bool:
        """Update the member with a key, and return whether anything changed.

        When hundreds of VMs start or are lost at once, each of them reads hundreds of
        records. Only the changed one is decoded; otherwise the work would grow with the
        square of the number of VMs and delay callers.
        """
        item = self._store_watcher.internal_items.get(key)
        if item is None or item.value is None:
            return self._entries.pop(key, None) is not None
        known = self._entries.get(key)
        if known is not None and known[0] == item.revision:
            return False
        try:
            member = _parse_member(key.removeprefix(VMS_PREFIX), item.value)
        except InvalidRecord as exc:
            log.warning("invalid record ignored", extra={"key": key, "cause": str(exc)})
            return self._entries.pop(key, None) is not None
        self._entries[key] = (item.revision, member)
        return True

    async def _run(self) -> None:
        while True:
            try:
                if self._lease:
                    await self._calls().renew_lease(self._lease)
                else:
                    await self._register()
                self.is_registered = True
                self._store_watcher.record_success()
                await asyncio.sleep(RENEWAL_INTERVAL_SECONDS)
            except LeaseExpired:
                self._lease = 0
            except StoreError as exc:
                self._store_watcher.record_failure(exc)
                log.info("lease of the VM not renewed", extra={"cause": str(exc)})
                await self._wait_after_failure()

    async def _wait_after_failure(self) -> None:
        """Wait until the next call, whose time depends on what the publisher tells."""
        self.is_registered = False
        failed_at = now()
        while (wait := failed_at + self._retry_delay() - now()) > 0:
            await asyncio.sleep(min(wait, MAX_WAIT_SECONDS) + MIN_WAIT_SECONDS)

    def _retry_delay(self) -> float:
        delay = self._store_watcher.retry_delay()
        if self._store_watcher.is_kept_up_to_date():
            return max(RETRY_SECONDS, delay)
        return max(RETRY_SECONDS, 2 * delay)

    def _calls(self) -> Store:
        return self._store.for_cause(CallCause.MEMBERSHIP)

    async def _register(self) -> None:
        lease = await self._calls().create_lease(LEASE_SECONDS)
        self._latest_lease = lease
        doc = {
            "control": self._cfg.control_address,
            "data_centre": self._cfg.data_centre,
            "power": self._cfg.relative_capacity,
        }
        value = json.dumps(doc).encode()
        write = Write(VMS_PREFIX + self._cfg.vm, value, lease)
        await self._calls().write([], [write])
        self._lease = lease


def _parse_member(name: str, value: bytes) -> Member:
    doc = parse_json(value)
    try:
        return Member(name, doc["control"], doc["data_centre"], doc["power"])
    except (KeyError, TypeError) as exc:
        raise InvalidRecord(f"not the record of a VM: {exc}") from exc
