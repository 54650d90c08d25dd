"""Sends what this VM has read from the store to other VMs, and receives theirs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.store_connectivity import PEER_CONTACT_VALID_SECONDS
from berylstage_entry.store_delta import StoreDelta

if TYPE_CHECKING:
    from berylstage_entry.coordinator_election import CoordinatorElection
    from berylstage_entry.membership import Membership
    from berylstage_entry.peer_datagrams import PeerDatagrams
    from berylstage_entry.peer_updates import PeerUpdates
    from berylstage_entry.settings import EntrySettings
    from berylstage_entry.store_access.subscriptions import SubscriptionClient
    from berylstage_entry.store_watcher import StoreWatcher

log = Logger(__name__)


class DeltaExchange:
    """Exchanges store deltas with other VMs.

    Parameters
    ----------
    cfg : EntrySettings
    store_watcher : StoreWatcher
        Applies the deltas of others.
    membership : Membership
    election : CoordinatorElection
    peer_datagrams : PeerDatagrams
    peer_updates : PeerUpdates
        Sends items that do not fit in a datagram.
    subscription : SubscriptionClient
    """

    __slots__ = (
        "_announce_task",
        "_cfg",
        "_election",
        "_membership",
        "_peer_datagrams",
        "_peer_updates",
        "_received_at",
        "_sender_host",
        "_store_watcher",
        "_subscription",
    )

    def __init__(
        self,
        cfg: EntrySettings,
        store_watcher: StoreWatcher,
        membership: Membership,
        election: CoordinatorElection,
        peer_datagrams: PeerDatagrams,
        peer_updates: PeerUpdates,
        subscription: SubscriptionClient,
    ):
        self._cfg = cfg
        self._store_watcher = store_watcher
        self._membership = membership
        self._election = election
        self._peer_datagrams = peer_datagrams
        self._peer_updates = peer_updates
        self._subscription = subscription
        # Host that has sent the last delta, and when.
        self._sender_host = ""
        self._received_at = float("-inf")
        # Reference that keeps the task of publishing large items from being collected.
        self._announce_task: asyncio.Task | None = None

    def is_standby(self) -> bool:
        """Return whether this VM should take over if the coordinator is lost."""
        address, names = self._election.coordinator_address(), self._membership.names()
        if address and names and self._cfg.vm not in names:
            # While this VM has no record, another one is the standby.
            return False
        return self._membership.is_standby(address)

    def is_local_publisher(self) -> bool:
        """Return whether this VM publishes within its data centre.

        Until its own record is known, every VM would consider itself the one.
        """
        return self._cfg.vm in self._membership.names() and self.is_standby()

    def publisher_address(self) -> str:
        """Return the address of the VM whose deltas arrive, or of the coordinator.

        Empty if that is this VM, or if none is known.
        """
        if now() - self._received_at <= PEER_CONTACT_VALID_SECONDS:
            for member in self._membership.members():
                if member.host == self._sender_host:
                    return member.control_address
        address = self._election.coordinator_address()
        return "" if address == self._cfg.control_address else address

    def publish(self, delta: StoreDelta) -> None:
        """Send a delta to the other VMs."""
        if delta.large_items:
            self._announce_task = asyncio.create_task(self._publish_large_items(delta))
        else:
            self._send(delta)

    def receive(self, data: bytes, host: str) -> None:
        """Apply a delta that another VM has sent."""
        try:
            delta = StoreDelta.decode(data)
        except InvalidRecord as exc:
            log.warning("ignoring invalid store delta", extra={"cause": str(exc)})
            return
        self._sender_host, self._received_at = host, now()
        self._subscription.record_update()
        self._store_watcher.apply_delta(delta)

    async def _publish_large_items(self, delta: StoreDelta) -> None:
        """Publish large items before the delta that refers to them."""
        began = now()
        if self._election.is_coordinator():
            await self._peer_updates.push_large_items(delta.large_items)
        delta.age += now() - began
        self._send(delta)

    def _send(self, delta: StoreDelta) -> None:
        for part in delta.split():
            data = part.encode()
            # The other VMs read items from the store that do not fit in a datagram.
            if data is not None:
                self._peer_datagrams.send(
                    data, same_data_centre=not self._election.is_coordinator()
                )
