"""A new coordinator acts on an assignment that its predecessor has changed.

Two zones are cut from each other, while a third one reaches both. The coordinator is
stopped just after it has moved keys away from a backend that it does not reach.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import signal
import socket
import sys
import time
from base64 import b64decode, b64encode
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from harness import (
    BACKEND_PORT,
    CONTROL_PORT,
    STORE_PORT,
    Backend,
    CannotRun,
    Client,
    HttpServer,
    Installation,
    encode,
    make_configuration,
    make_route,
    new_attempt,
    run,
    watch_holders,
)

DATAGRAM_PORT = 7200
COORDINATOR_KEY = "berylstage/duty"
CUT_SECONDS = 5.5
LOOKUP_SECONDS = 0.1
# Seconds from the first grant of moved keys to the SIGTERM.
DELAY_SECONDS = float(os.environ.get("DELAY", "0"))


class StoreView(HttpServer):
    """The store as one VM sees it: other machines have the addresses of its links."""

    def __init__(self, ip, store):
        super().__init__(ip, STORE_PORT)
        self.store = store
        # Addresses of machines, and of the links of this VM that lead there.
        self.links: dict[str, str] = {}

    def _translate(self, item):
        if "value" not in item:
            return item
        value = b64decode(item["value"])
        for address, link in self.links.items():
            value = value.replace(f'"{address}:'.encode(), f'"{link}:'.encode())
        return {**item, "value": b64encode(value).decode()}

    async def answer(self, method, target, headers, body):
        """Answer a call as the store does."""
        status, reply = await self.store.call(method, target, body)
        for name in ("items", "events"):
            if name in reply:
                reply[name] = [self._translate(item) for item in reply[name]]
        kind = {"Content-Type": "application/json"}
        return encode(status, kind, json.dumps(reply).encode())


class Way:
    """Links between two machines, all of which can fall silent."""

    def __init__(self):
        self.is_cut = False
        # Server, address, target and port of each link.
        self._links = []
        self._blockers = []

    async def carry_connections(self, own, target, port):
        """Pass connections to an address of a link on to the machine."""

        async def serve(reader, writer):
            with contextlib.suppress(OSError, asyncio.CancelledError):
                to_reader, to_writer = await asyncio.open_connection(target, port)
                await asyncio.gather(
                    self._pump(reader, to_writer), self._pump(to_reader, writer)
                )

        server = await asyncio.start_server(serve, own, port, backlog=1000)
        self._links.append((server, own, target, port))

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.is_cut:
                    # Its sender gives the connection up; what was held up is lost.
                    await self._wait()
                    writer.transport.abort()
                    return
                writer.write(data)
                await writer.drain()
        await self._wait()
        writer.close()

    async def _wait(self):
        while self.is_cut:
            await asyncio.sleep(0.02)

    def cut(self):
        """Let nothing through, and answer no attempt to connect."""
        self.is_cut = True
        for server, own, _, port in self._links:
            server.close()
            blocker = socket.socket()
            blocker.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            blocker.bind((own, port))
            # Packets that open a connection are dropped once the queue is full.
            blocker.listen(0)
            self._blockers.append(blocker)
            for _ in range(3):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex((own, port))
                self._blockers.append(filler)

    async def heal(self):
        """Let everything through again."""
        for blocker in self._blockers:
            blocker.close()
        self._blockers.clear()
        links, self._links = self._links, []
        self.is_cut = False
        for _, own, target, port in links:
            await self.carry_connections(own, target, port)

    async def carry_datagrams(self, one, other, one_link, other_link):
        """Pass the datagrams of two VMs on; each knows the other by its link."""
        loop = asyncio.get_running_loop()
        to_other = _Datagrams(self, other)
        to_one = _Datagrams(self, one)
        for side, own in ((to_other, other_link), (to_one, one_link)):
            side.transport, _ = await loop.create_datagram_endpoint(
                lambda side=side: side, local_addr=(own, DATAGRAM_PORT)
            )
        # What arrives at the link to one VM leaves from the link to the other.
        to_other.sender, to_one.sender = to_one.transport, to_other.transport


class _Datagrams(asyncio.DatagramProtocol):
    """Receives the datagrams to one VM."""

    def __init__(self, way, target):
        self.way, self.target = way, target
        self.transport = self.sender = None

    def datagram_received(self, data, addr):
        """Pass a datagram on, unless the way is cut."""
        if not self.way.is_cut and self.sender is not None:
            self.sender.sendto(data, (self.target, DATAGRAM_PORT))


def find_coordinator(installation):
    """Return the VM that the store names as coordinator."""
    item = installation.store.items.get(COORDINATOR_KEY)
    if item is None:
        raise CannotRun("there is no coordinator")
    address = json.loads(b64decode(item["value"]))["control"].partition(":")[0]
    return next(vm for vm in installation.vms if vm.ip == address)


async def build(installation):
    """Add two VMs in zones that can be cut from each other; return all ways by VM."""
    network, store = installation.network, installation.store
    between = Way()
    views = [StoreView(f"{network}.{n + 2}", store) for n in range(2)]
    vms = [
        installation.add_vm(store=f"{view.ip}:{STORE_PORT}", zone=zone)
        for view, zone in zip(views, ("z1", "z2"), strict=True)
    ]
    links = [f"{network}.{n + 20}" for n in range(2)]
    # The first link leads to the first VM, and is used by the second one.
    views[0].links[vms[1].ip] = links[1]
    views[1].links[vms[0].ip] = links[0]
    for vm, link in zip(vms, links, strict=True):
        await between.carry_connections(link, vm.ip, CONTROL_PORT)
    await between.carry_datagrams(vms[0].ip, vms[1].ip, links[0], links[1])
    ways = {vm.name: {} for vm in vms}
    for number, backend in enumerate(installation.backends):
        if backend.zone == "z3":
            continue
        for n, vm in enumerate(vms):
            way = Way()
            link = f"{network}.{50 + 10 * n + number}"
            views[n].links[backend.ip] = link
            await way.carry_connections(link, backend.ip, BACKEND_PORT)
            ways[vm.name][backend.zone] = way
    for view in views:
        await view.open()
    return between, ways


async def send_lookups(vm, keys):
    """Send lookups of some keys through a VM, one after the other."""
    client = Client(vm.ip)
    for number in itertools.count():
        key = keys[number % len(keys)]
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            await client.request("GET", "/a/1", new_attempt(), key=key)
            await asyncio.sleep(LOOKUP_SECONDS)
            continue
        client.close()
        await asyncio.sleep(LOOKUP_SECONDS)


class WatchingBackend(Backend):
    """A backend that notes the requests which it begins while another holds the key."""

    peers: tuple = ()

    async def work(self, method, target, headers, body, common):
        """Run a request, unless its key is not held or there is no room."""
        key = int(headers["berylstage-shard-key"])
        if self.holds_key(key):
            for peer in self.peers:
                if peer is not self and peer.holds_key(key):
                    self.record(
                        f"{self.name} begins key {key}; {peer.name} holds it too"
                    )
                    self.double_runs.append((key, self.name, peer.name))
        return await super().work(method, target, headers, body, common)


def find_double_runs(installation):
    """Return pairs of backends that both began requests on keys that both held."""
    rows = installation.backends[0].double_runs
    pairs = {(one, other) for _, one, other in rows}
    return sorted((x, y) for x, y in pairs if x < y and (y, x) in pairs)


async def case(record, folder, trouble):
    """Cut two zones from each other, and stop the coordinator once keys have moved."""
    installation = Installation(folder, record)
    for zone in ("z1", "z2", "z3", "z3"):
        installation.add_backend("s", WatchingBackend, zone=zone).sharded = True
    double_runs = []
    for backend in installation.backends:
        backend.double_runs, backend.peers = double_runs, installation.backends
    between, ways = await build(installation)
    routes = [make_route("lookups", "/a/", "safe", "s")]
    breaks = []
    moved = asyncio.Event()
    try:
        # The second VM reads all addresses from the store, not from the first one.
        await installation.start(make_configuration({"s": True}, routes), 4.0)
        watcher = asyncio.create_task(watch_holders(installation, breaks))
        await asyncio.sleep(5.0)
        former = find_coordinator(installation)
        far = "z2" if former is installation.vms[0] else "z1"
        unreached = next(b for b in installation.backends if b.zone == far)
        # Spread over its keys, so that none is hot.
        keys = [
            key for a, b, _, _ in unreached.holds for key in range(a, b, (b - a) // 9)
        ]
        ranges = []
        callers = [
            asyncio.create_task(send_lookups(vm, keys)) for vm in installation.vms
        ]

        def note_grant(backend, first, last, fence, end):
            if backend is not unreached and any(
                a <= first and last <= b for a, b in ranges
            ):
                moved.set()

        await asyncio.sleep(3.0)
        began = time.monotonic()
        if trouble:
            record(f"zones z1 and z2 are cut; {former.name} is the coordinator")
            ranges += [(a, b) for a, b, _, _ in unreached.holds]
            between.cut()
            ways[former.name][far].cut()
            for backend in installation.backends:
                backend.on_grant = note_grant
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(moved.wait(), CUT_SECONDS)
            record(f"keys of {unreached.name} have moved: {moved.is_set()}")
            await asyncio.sleep(DELAY_SECONDS)
        record(f"{former.name} gets SIGTERM")
        stopped = time.monotonic()
        former.send(signal.SIGTERM)
        await asyncio.sleep(max(0.0, began + CUT_SECONDS - stopped))
        if trouble:
            await between.heal()
            await ways[former.name][far].heal()
            record(f"the cut ends after {time.monotonic() - began:.1f} s")
        await asyncio.sleep(5.0)
        for task in (watcher, *callers):
            task.cancel()
        breaks += [
            f"OWNER: {one} and {other} have both begun requests on keys while both "
            "held them"
            for one, other in find_double_runs(installation)
        ]
    finally:
        for vm in installation.vms:
            for line in vm.log_path.read_text().splitlines():
                if "duty" in line or "former holds" in line:
                    record(f"log of {vm.name}: {line[:300]}")
        await installation.stop()
    return breaks


if __name__ == "__main__":
    run(str(Path(__file__).resolve().parent), case)
