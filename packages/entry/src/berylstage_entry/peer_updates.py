"""Tells the other VMs at once what this one has written into the store, or read there.

The store tells them too, but a watch that returns at each change costs a call of each
VM for each change; what is told here leaves the store to the paced reading. So do
values that are too large for a datagram: 76 VMs read three configurations by 228
calls.
"""

from __future__ import annotations

import asyncio
import json
import zlib
from typing import TYPE_CHECKING

from berylstage_transfers.call import Call
from berylstage_transfers.client import CallClient
from berylstage_transfers.errors import CallFailed
from logbook import Logger

from berylstage_entry.assignment import nobody
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store import Item

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from berylstage_entry.membership import Membership
    from berylstage_entry.store_watcher import StoreWatcher

# Path at which a VM is told.
TOLD_PATH = "/told"
# Seconds that one telling may take; the paced reading makes up for a lost one.
TIMEOUT = 0.3
# Bytes of a compressed value that is told at most. A configuration of 12 routes takes
# 500, one of 360 routes 6,800: to send that to 75 VMs keeps a link of 5 Mbit/s busy for
# 0.8 s, in which the VM's callers wait for their answers.
MOST_BYTES = 3000

log = Logger(__name__)


class _Peer:
    """One other VM: what it has yet to be told, the newest of each key only."""

    __slots__ = ("address", "client", "news", "task")

    def __init__(self, address: str):
        self.address = address
        self.client = CallClient(1)
        self.news: dict[str, bytes] = {}
        self.task: asyncio.Task | None = None

    def tell(self, key: str, body: bytes) -> None:
        """Tell the VM as soon as it has taken what it was told before."""
        self.news[key] = body
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.news:
            _, body = self.news.popitem()
            url = f"http://{self.address}{TOLD_PATH}"
            try:
                await self.client.call(Call("POST", url, {}, body, TIMEOUT))
            except CallFailed as exc:
                log.info("not told", extra={"to": self.address, "cause": str(exc)})

    def close(self) -> None:
        """Tell nothing more."""
        if self.task is not None:
            self.task.cancel()
        self.client.close()


class PeerUpdates:
    """Tells and takes in what VMs have written.

    Parameters
    ----------
    feed : Feed
    membership : Membership
    own_address : str
        Where this VM listens for others.
    """

    def __init__(self, feed: StoreWatcher, membership: Membership, own_address: str):
        self._feed = feed
        self._membership = membership
        self._own_address = own_address
        self._peers: dict[str, _Peer] = {}
        # Sends a datagram to all other VMs.
        self.send: Callable[[bytes], None] = lambda data: None
        # The change of each service of which parts have come.
        self._partial: dict[str, AssignmentDelta] = {}

    def tell(self, change: AssignmentDelta) -> None:
        """Tell all other VMs of a change of an assignment that is in the store now."""
        for data in change.encode():
            self.send(data)

    def take_change(self, data: bytes, host: str = "") -> None:
        """Take in what another VM tells of a change.

        What can't be read, or does not follow what this VM knows, is left to its next
        reading of the store.
        """
        try:
            change = AssignmentDelta.decode(data)
        except InvalidRecord as exc:
            log.warning("change passed over", extra={"cause": str(exc)})
            return
        known = self._feed.revisions.get(change.service, 0)
        if known >= change.revision:
            return
        change = self._joined(change)
        if change.parts_left:
            return
        old = self._feed.assignments.get(change.service) or nobody()
        new = change.apply(old) if known == change.before else None
        if new is None:
            self._feed.hurry()
            return
        self._feed.take_assignment(change.service, new, change.revision)

    def _joined(self, change: AssignmentDelta) -> AssignmentDelta:
        """Return a change with all parts of it that have come."""
        if not change.parts_left:
            return change
        partial = self._partial.get(change.service)
        if partial is None or partial.revision != change.revision:
            self._partial[change.service] = change
            return change
        partial.join(change)
        return partial

    async def tell_first(self, items: Sequence[Item]) -> None:
        """Tell large values, and return when the other VMs have them.

        Parameters
        ----------
        items : sequence of Item
            Those that are too large even for this are left to each VM's own reading.
        """
        bodies = {item.key: _encode(item) for item in items}
        small = {key: body for key, body in bodies.items() if len(body) <= MOST_BYTES}
        for key, body in small.items():
            self._tell(key, body)
        tasks = [peer.task for peer in self._peers.values() if peer.task is not None]
        if small and tasks:
            await asyncio.wait(tasks, timeout=TIMEOUT)

    def _tell(self, key: str, body: bytes) -> None:
        addresses = set(self._membership.addresses()) - {self._own_address}
        for address in [a for a in self._peers if a not in addresses]:
            self._peers.pop(address).close()
        for address in addresses:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = _Peer(address)
            peer.tell(key, body)

    def take(self, body: bytes) -> bool:
        """Take in what another VM tells; False when it can't be read."""
        try:
            doc = json.loads(zlib.decompress(body))
            value = doc["value"].encode("latin-1")
            item = Item(doc["key"], value, int(doc["revision"]))
        except (zlib.error, ValueError, KeyError, TypeError, AttributeError) as exc:
            log.warning("telling passed over", extra={"cause": str(exc)})
            return False
        return self._feed.take_told(item)

    def close(self) -> None:
        """Tell nothing more."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()


def _encode(item: Item) -> bytes:
    """Return the body that tells of an item."""
    assert item.value is not None
    doc = {
        "key": item.key,
        "revision": item.revision,
        "value": item.value.decode("latin-1"),
    }
    # An assignment of a hundred ranges is 5 KB, and a fifth of it compressed; most of
    # the other VMs are in other data centres.
    return zlib.compress(json.dumps(doc).encode())
