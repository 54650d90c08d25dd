"""Sends the other VMs what this one has written to the store, or has read from it.

The other VMs could watch the store instead, but a watch that returns at each change
costs one call per VM and change. With the changes sent from here, VMs need to read the
store only at their read interval. Values that are too large for a datagram are sent as
well: without that, 76 VMs needed 228 calls to read three configurations.
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

from berylstage_entry.assignment import unassigned
from berylstage_entry.assignment_delta import AssignmentDelta
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.json_documents import parse_json
from berylstage_entry.store import Item
from berylstage_entry.store_access.call_counts import CallCause

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from berylstage_entry.membership import Membership
    from berylstage_entry.store_watcher import StoreWatcher

# Path at which a VM receives pushed values.
PUSH_PATH = "/told"
# Timeout of one push. A VM that misses a push reads the value at its next read.
PUSH_TIMEOUT_SECONDS = 0.3
# Largest compressed value that is pushed. A configuration of 12 routes takes 500 bytes,
# one of 360 routes takes 6,800. Sending the latter to 75 VMs occupies a link of
# 5 Mbit/s for 0.8 s, during which the VM's callers wait for their answers.
MAX_PUSHED_VALUE_BYTES = 3000

log = Logger(__name__)


class _Peer:
    """Another VM, with the newest value of each key that is yet to be pushed to it."""

    __slots__ = ("address", "client", "pending", "task")

    def __init__(self, address: str):
        self.address = address
        self.client = CallClient(1)
        self.pending: dict[str, bytes] = {}
        self.task: asyncio.Task | None = None

    def push(self, key: str, body: bytes) -> None:
        """Push a value to the VM once the previous pushes are done."""
        self.pending[key] = body
        if self.task is None or self.task.done():
            self.task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while self.pending:
            _, body = self.pending.popitem()
            url = f"http://{self.address}{PUSH_PATH}"
            try:
                await self.client.call(
                    Call("POST", url, {}, body, PUSH_TIMEOUT_SECONDS)
                )
            except CallFailed as exc:
                log.info(
                    "value not pushed to VM",
                    extra={"to": self.address, "cause": str(exc)},
                )

    def close(self) -> None:
        """Cancel all pushes and close the connection."""
        if self.task is not None:
            self.task.cancel()
        self.client.close()


class PeerUpdates:
    """Sends and receives what VMs have written to the store.

    Parameters
    ----------
    store_watcher : StoreWatcher
    membership : Membership
    own_address : str
        Address at which this VM listens for the others.
    """

    def __init__(
        self, store_watcher: StoreWatcher, membership: Membership, own_address: str
    ):
        self._store_watcher = store_watcher
        self._membership = membership
        self._own_address = own_address
        self._peers: dict[str, _Peer] = {}
        # Sends a datagram to all other VMs.
        self.send: Callable[[bytes], None] = lambda data: None
        # Returns the addresses of VMs that are sent to although they have no record.
        self.subscriber_addresses: Callable[[], set[str]] = set
        # Change of each service of which some parts are still missing.
        self._partial: dict[str, AssignmentDelta] = {}

    def broadcast_change(self, change: AssignmentDelta) -> None:
        """Send all other VMs a change of an assignment that the store has accepted."""
        for data in change.encode():
            self.send(data)

    def receive_change(self, data: bytes, host: str = "") -> None:
        """Apply a change of an assignment that another VM has sent.

        If it cannot be decoded or its base revision is not this VM's, the VM gets the
        assignment with its next read of the store.
        """
        try:
            change = AssignmentDelta.decode(data)
        except InvalidRecord as exc:
            log.warning(
                "invalid change of an assignment ignored", extra={"cause": str(exc)}
            )
            return
        known = self._store_watcher.assignment_revisions.get(change.service, 0)
        if known >= change.revision:
            return
        change = self._merge_parts(change)
        if change.parts_left:
            return
        old = self._store_watcher.assignments.get(change.service) or unassigned()
        new = change.apply(old) if known == change.base_revision else None
        if new is None:
            self._store_watcher.request_refresh(CallCause.MISSED_ASSIGNMENT)
            return
        self._store_watcher.apply_assignment(change.service, new, change.revision)

    def _merge_parts(self, change: AssignmentDelta) -> AssignmentDelta:
        """Return a change merged with its other parts that have arrived."""
        if not change.parts_left:
            return change
        partial = self._partial.get(change.service)
        if partial is None or partial.revision != change.revision:
            self._partial[change.service] = change
            return change
        partial.join(change)
        return partial

    async def push_large_items(self, items: Sequence[Item]) -> None:
        """Push large values, and return when the other VMs have them.

        Parameters
        ----------
        items : sequence of Item
            Values to push. Those above the size limit are left for each VM to read.
        """
        bodies = {item.key: _encode_item(item) for item in items}
        small = {
            key: body
            for key, body in bodies.items()
            if len(body) <= MAX_PUSHED_VALUE_BYTES
        }
        for key, body in small.items():
            self._push(key, body)
        tasks = [peer.task for peer in self._peers.values() if peer.task is not None]
        if small and tasks:
            await asyncio.wait(tasks, timeout=PUSH_TIMEOUT_SECONDS)

    def _push(self, key: str, body: bytes) -> None:
        addresses = set(self._membership.addresses()) | self.subscriber_addresses()
        addresses.discard(self._own_address)
        for address in [a for a in self._peers if a not in addresses]:
            self._peers.pop(address).close()
        for address in addresses:
            peer = self._peers.get(address)
            if peer is None:
                peer = self._peers[address] = _Peer(address)
            peer.push(key, body)

    def receive_item(self, body: bytes) -> bool:
        """Apply a value that another VM has pushed; return False if it is invalid."""
        try:
            item = _decode_item(body)
        except InvalidRecord as exc:
            log.warning("invalid pushed value ignored", extra={"cause": str(exc)})
            return False
        return self._store_watcher.apply_pushed_item(item)

    def close(self) -> None:
        """Cancel all pushes and close all connections."""
        for peer in self._peers.values():
            peer.close()
        self._peers.clear()


def _encode_item(item: Item) -> bytes:
    """Return the body that pushes an item."""
    assert item.value is not None
    doc = {
        "key": item.key,
        "revision": item.revision,
        "value": item.value.decode("latin-1"),
    }
    # An assignment of a hundred ranges takes 5 KB, and a fifth of that compressed. Most
    # of the other VMs are in other data centres.
    return zlib.compress(json.dumps(doc).encode())


def _decode_item(body: bytes) -> Item:
    """Decode a pushed value.

    Raises
    ------
    InvalidRecord
    """
    try:
        doc = parse_json(zlib.decompress(body))
        value = doc["value"].encode("latin-1")
        return Item(doc["key"], value, int(doc["revision"]))
    except (zlib.error, ValueError, KeyError, TypeError, AttributeError) as exc:
        raise InvalidRecord(f"not a pushed value: {exc}") from exc
