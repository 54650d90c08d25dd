"""Tells the other VMs at once what this one has written into the store.

The store tells them too, but a watch that returns at each change costs a call of each
VM for each change; what is told here leaves the store to the paced reading.
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

from berylstage_entry.feed import KEYS_PREFIX
from berylstage_entry.store import Item

if TYPE_CHECKING:
    from berylstage_entry.feed import Feed
    from berylstage_entry.membership import Membership

# Path at which a VM is told.
TOLD_PATH = "/told"
# Seconds that one telling may take; the paced reading makes up for a lost one.
TIMEOUT = 0.3

log = Logger(__name__)


class _Peer:
    """One other VM: what it has yet to be told, the newest of each key only."""

    __slots__ = ("address", "client", "news", "task")

    def __init__(self, address: str):
        self.address = address
        self.client = CallClient(1)
        self.news: dict[str, Item] = {}
        self.task: asyncio.Task | None = None

    def tell(self, item: Item) -> None:
        """Tell the VM as soon as it has taken what it was told before."""
        self.news[item.key] = item
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.news:
            _, item = self.news.popitem()
            assert item.value is not None
            doc = {
                "key": item.key,
                "revision": item.revision,
                "value": item.value.decode(),
            }
            url = f"http://{self.address}{TOLD_PATH}"
            # An assignment of a hundred ranges is 5 KB, and a fifth of it compressed;
            # most of the other VMs are in other data centres.
            body = zlib.compress(json.dumps(doc).encode())
            try:
                await self.client.call(Call("POST", url, {}, body, TIMEOUT))
            except CallFailed as exc:
                log.info("not told", extra={"to": self.address, "cause": str(exc)})

    def close(self) -> None:
        """Tell nothing more."""
        if self.task is not None:
            self.task.cancel()
        self.client.close()


class Announcements:
    """Tells and takes in what VMs have written.

    Parameters
    ----------
    feed : Feed
    membership : Membership
    own_address : str
        Where this VM listens for others.
    """

    def __init__(self, feed: Feed, membership: Membership, own_address: str):
        self._feed = feed
        self._membership = membership
        self._own_address = own_address
        self._peers: dict[str, _Peer] = {}

    def tell(self, item: Item) -> None:
        """Tell all other VMs of an item that is in the store now."""
        addresses = set(self._membership.addresses()) - {self._own_address}
        for address in [a for a in self._peers if a not in addresses]:
            self._peers.pop(address).close()
        for address in addresses:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = _Peer(address)
            peer.tell(item)

    def take(self, body: bytes) -> bool:
        """Take in what another VM tells; False when it can't be read."""
        try:
            doc = json.loads(zlib.decompress(body))
            item = Item(doc["key"], doc["value"].encode(), int(doc["revision"]))
        except (zlib.error, ValueError, KeyError, TypeError, AttributeError) as exc:
            log.warning("telling passed over", extra={"cause": str(exc)})
            return False
        # Only assignments are told; anything else under this path is a mistake.
        if not item.key.startswith(KEYS_PREFIX):
            return False
        self._feed.take_written(item)
        return True

    def close(self) -> None:
        """Tell nothing more."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()
