"""VMs that ask the publisher for changes they have missed, in virtual time."""

from __future__ import annotations

import asyncio

from berylstage_entry.store_access.missed_changes import (
    CHANGES_PATH,
    ChangeClient,
    ChangeServer,
)
from berylstage_entry.store_delta import StoreDelta
from fleet import Fleet


class FakePeers:
    """Control connections to the VMs of a fleet."""

    def __init__(self, fleet, caller):
        self._fleet = fleet
        self._caller = caller

    async def call(self, address, path, body=b"", timeout=0.5):
        assert path == CHANGES_PATH
        answering = self._fleet.publisher
        self._fleet.questions.append(self._caller)
        if self._caller in self._fleet.partitioned or self._fleet.is_publisher_silent:
            await asyncio.sleep(timeout)
            return None
        await asyncio.sleep(0.005)
        response = ChangeServer(self._fleet.watchers[answering]).handle(body)
        return response.body if response.status == 200 else None


class AskingFleet(Fleet):
    """Fleet whose VMs ask its first VM; datagrams are lost as `is_lost` tells."""

    def __init__(self, loop, vms):
        super().__init__(loop, vms)
        self.publisher = 0
        self.questions = []
        self.is_publisher_silent = False
        self.is_lost = lambda vm: False
        for n, store_watcher in enumerate(self.watchers):
            client = ChangeClient(FakePeers(self, n), lambda: "vm-0:1")
            store_watcher.ask_publisher = client.ask

    def tell(self, delta):
        for n, store_watcher in enumerate(self.watchers):
            if not n or n in self.partitioned or self.is_lost(n):
                continue
            for part in delta.split():
                data = part.encode()
                if data is not None:
                    store_watcher.apply_delta(StoreDelta.decode(data))
