"""Which VMs there are: each keeps a key of its own under a lease."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from berylstage_policy.candidates import Candidate
from berylstage_policy.standby import should_give_up, stands_by
from logbook import Logger

from berylstage_entry.errors import LeaseExpired, StoreError
from berylstage_entry.server import split_address
from berylstage_entry.store import Write
from berylstage_entry.store_keys import OWN_PREFIX

if TYPE_CHECKING:
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store import Store
    from berylstage_entry.store_watcher import StoreWatcher

VMS_PREFIX = OWN_PREFIX + "vm/"
# Seconds of a VM's lease. The count of VMs divides bounds, and nothing depends on its
# being exact.
LEASE = 20.0
# Seconds between two renewals: three fit into the lease before it ends. Whether this VM
# reaches the store is found out by a call when somebody asks for it
# (`StoreWatcher.contact`), and by its own reading when nothing is told.
KEEP = 5.0
# Seconds before a failed call is made again.
RETRY = 1.0
# VMs that are assumed beyond those that are known, for those that are just starting.
UNKNOWN = 2

log = Logger(__name__)


class Member:
    """A VM as its own key tells of it.

    Parameters
    ----------
    name : str
    control : str
        Where it listens for other VMs.
    data_centre : str
    power : float
        How much of what duties need it has, up to 1.

    Attributes
    ----------
    host : str
        Its address, without a port.
    """

    __slots__ = ("control", "data_centre", "host", "name", "power")

    def __init__(self, name: str, control: str, data_centre: str, power: float):
        self.name = name
        self.control = control
        self.host, _ = split_address(control)
        self.data_centre = data_centre
        self.power = power


class Membership:
    """Makes this VM known and counts the others.

    Parameters
    ----------
    cfg : EntrySettings
    store : Store
    feed : Feed
    """

    def __init__(self, cfg: EntrySettings, store: Store, feed: StoreWatcher):
        self._cfg = cfg
        self._store = store
        self._feed = feed
        self._lease = 0
        # The one that was taken last: the store may have bound this VM's key to it
        # without this VM's knowing.
        self._taken_lease = 0
        self._task: asyncio.Task | None = None
        # By their keys, with the revision that each was read at.
        self._known: dict[str, tuple[int, Member]] = {}
        self._members: list[Member] = []
        # Grows with each change of the known VMs.
        self.revision = 0
        feed.listeners.append(self._heard)

    def start(self) -> None:
        """Begin to keep this VM's key."""
        self._task = asyncio.create_task(self._run())

    async def stop(self) -> None:
        """Remove this VM's key."""
        if self._task is not None:
            self._task.cancel()
        if self._taken_lease:
            try:
                await self._store.end_lease(self._taken_lease)
            except StoreError as exc:
                log.info("own key not removed", extra={"cause": str(exc)})

    def members(self) -> list[Member]:
        """Return the known VMs, this one included."""
        return self._members

    def addresses(self) -> list[str]:
        """Return where the known VMs listen for others, this one included."""
        return [member.control for member in self._members]

    def names(self) -> list[str]:
        """Return the names of the known VMs, this one included."""
        return [member.name for member in self._members]

    def stands_by(self, holder: str) -> bool:
        """Tell whether this VM stands by for the duty in its data centre.

        Parameters
        ----------
        holder : str
            Where the VM with the duty listens. It does not stand by for itself: where
            all VMs are in one data centre, nobody would.
        """
        home = self._cfg.data_centre
        neighbours = [
            Candidate(member.name, member.power)
            for member in self._members
            if member.data_centre == home and member.control != holder
        ]
        return stands_by(self._cfg.vm, neighbours)

    def better(self) -> str:
        """Return where a VM listens that had better hold duties; empty for none."""
        best = max(self._members, key=lambda member: member.power, default=None)
        if best is None or not should_give_up(self._cfg.power, best.power):
            return ""
        return best.control

    def _heard(self, what: str) -> None:
        if what == "read":
            keys = {key for key in self._feed.own if key.startswith(VMS_PREFIX)}
            changed = [key for key in keys | set(self._known) if self._take(key)]
        elif what.startswith(VMS_PREFIX):
            changed = [what] if self._take(what) else []
        else:
            return
        if changed:
            self.revision += 1
            self._members = [member for _, member in self._known.values()]

    def _take(self, key: str) -> bool:
        """Take over what one VM's key says; tell whether that is news.

        Where hundreds of VMs start or are lost at the same time, each reads hundreds of
        such keys. Only the one that has changed is looked at, or the work grows with
        the square of their number and callers wait for it.
        """
        item = self._feed.own.get(key)
        if item is None or item.value is None:
            return self._known.pop(key, None) is not None
        known = self._known.get(key)
        if known is not None and known[0] == item.revision:
            return False
        doc = json.loads(item.value)
        name = key.removeprefix(VMS_PREFIX)
        member = Member(name, doc["control"], doc["data_centre"], doc["power"])
        self._known[key] = (item.revision, member)
        return True

    async def _run(self) -> None:
        while True:
            try:
                if self._lease:
                    await self._store.keep_lease(self._lease)
                else:
                    await self._enter()
                self._feed.note_answer()
                await asyncio.sleep(KEEP)
            except LeaseExpired:
                self._lease = 0
            except StoreError as exc:
                self._feed.note_failure(exc)
                log.info("own key not kept", extra={"cause": str(exc)})
                await asyncio.sleep(max(RETRY, 2 * self._feed.retry_pause()))

    async def _enter(self) -> None:
        lease = await self._store.take_lease(LEASE)
        self._taken_lease = lease
        doc = {
            "control": self._cfg.control,
            "data_centre": self._cfg.data_centre,
            "power": self._cfg.power,
        }
        value = json.dumps(doc).encode()
        write = Write(VMS_PREFIX + self._cfg.vm, value, lease)
        await self._store.write([], [write])
        self._lease = lease
