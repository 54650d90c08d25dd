"""Everything of the product that reads answers over HTTP, one call each."""

from __future__ import annotations

import time

from berylstage_adapter.kv_store import KvStore
from berylstage_adapter.target_protocol import PlatformTargetProtocol
from berylstage_cli.http import HttpVmClient
from berylstage_cli.vms import VmFault
from berylstage_entry.errors import StoreUnavailable
from berylstage_entry.peers import PeerClient
from berylstage_entry.protocols import GrantRequest
from berylstage_entry.relay_client import RelayTransport
from berylstage_entry.targets import Target
from berylstage_platform.errors import StoreUnavailable as PlatformUnavailable
from berylstage_platform.http import HttpStore, HttpVmList
from berylstage_platform.store import VmRecord
from berylstage_targets.errors import OutcomeUnknown, TargetError
from berylstage_targets.http import HttpTargetClient
from berylstage_targets.target import GrantRequest as LeaderGrant
from berylstage_targets.target import WorkRequest
from berylstage_transfers.errors import AnswerLost

TIMEOUT_SECONDS = 2.0


class NoAnswer(Exception):
    """A call to another VM has returned nothing."""


async def _call_store(address, call):
    store = KvStore(address)
    try:
        return await call(store)
    finally:
        store.close()


async def read_items(address):
    """Read items of the platform's store."""
    return await _call_store(address, lambda store: store.read("servers/"))


async def watch_items(address):
    """Watch items of the platform's store."""
    return await _call_store(address, lambda store: store.watch("servers/", 1, 0.1))


async def write_items(address):
    """Write to the platform's store."""
    return await _call_store(address, lambda store: store.write([], []))


async def create_lease(address):
    """Create a lease in the platform's store."""
    return await _call_store(address, lambda store: store.create_lease(1.0))


async def renew_lease(address):
    """Renew a lease in the platform's store."""
    return await _call_store(address, lambda store: store.renew_lease(7))


async def revoke_lease(address):
    """End a lease in the platform's store."""
    return await _call_store(address, lambda store: store.revoke_lease(7))


async def _call_target(address, call):
    protocol = PlatformTargetProtocol()
    target = Target("s-1", 1, "s", address, "a", 1, False, 0.0)
    try:
        return await call(protocol, target)
    finally:
        protocol._clients.close()


async def grant(address):
    """Grant keys to a target."""
    order = GrantRequest(0, 9, 1, 3.0)
    return await _call_target(
        address, lambda protocol, target: protocol.grant(target, order, TIMEOUT_SECONDS)
    )


async def release(address):
    """Release keys of a target."""
    return await _call_target(
        address,
        lambda protocol, target: protocol.release(target, 0, 9, 1, TIMEOUT_SECONDS),
    )


async def probe(address):
    """Check the health of a target."""
    return await _call_target(
        address,
        lambda protocol, target: protocol.probe(target, "/healthz", TIMEOUT_SECONDS),
    )


async def relay(address):
    """Have another VM send a request."""
    transport = RelayTransport()
    try:
        return await transport.post(address, b"x", TIMEOUT_SECONDS)
    finally:
        transport.close()


async def call_peer(address):
    """Call another VM."""
    peers = PeerClient(None, "")
    try:
        answer = await peers.call(address, "/links", timeout=TIMEOUT_SECONDS)
    finally:
        peers.close()
    if answer is None:
        raise NoAnswer
    return answer


async def read_status(address):
    """Read a VM's status, as the command line does."""
    client = HttpVmClient(TIMEOUT_SECONDS)
    try:
        return await client.status(VmRecord("vm-1", "a", address, "", False))
    finally:
        await client.close()


async def read_entry(address):
    """Read an entry of the daemon's store."""
    store = HttpStore(address, TIMEOUT_SECONDS)
    try:
        return await store.read("k")
    finally:
        await store.close()


async def list_vms(address):
    """Read the daemon's list of VMs."""
    vm_list = HttpVmList(address, TIMEOUT_SECONDS)
    try:
        return await vm_list.vms()
    finally:
        await vm_list.close()


async def _call_led_target(address, call):
    client = HttpTargetClient(address, 10, "vm-1")
    try:
        return await call(client)
    finally:
        await client.close()


async def send_work(address):
    """Send a request to a target of the daemon."""
    ends_at = time.time() + 9
    names = ("1", "s", "lookup", "k", "s/1")
    req = WorkRequest(*names, 1, 1, "GET", b"", "", ends_at, 2.0)
    return await _call_led_target(address, lambda client: client.send(req))


async def grant_shards(address):
    """Grant shards to a target of the daemon."""
    order = LeaderGrant("vm-1", 1, 1, {}, 1, "i", 1000)
    return await _call_led_target(
        address, lambda client: client.grant(order, TIMEOUT_SECONDS)
    )


async def read_report(address):
    """Read the report of a target of the daemon."""
    return await _call_led_target(
        address, lambda client: client.report(TIMEOUT_SECONDS)
    )


# Calls by name, with the error that each raises without a whole answer.
STORE_CALLS = {
    "read": (read_items, StoreUnavailable),
    "watch": (watch_items, StoreUnavailable),
    "write": (write_items, StoreUnavailable),
    "create lease": (create_lease, StoreUnavailable),
    "renew lease": (renew_lease, StoreUnavailable),
    "revoke lease": (revoke_lease, StoreUnavailable),
}
TARGET_CALLS = {
    "grant": (grant, AnswerLost),
    "release": (release, AnswerLost),
    "probe": (probe, AnswerLost),
}
VM_CALLS = {
    "relay": (relay, AnswerLost),
    "call of a VM": (call_peer, NoAnswer),
    "status for the command line": (read_status, VmFault),
}
DAEMON_CALLS = {
    "entry of the daemon's store": (read_entry, PlatformUnavailable),
    "daemon's list of VMs": (list_vms, PlatformUnavailable),
    "work for the daemon's target": (send_work, OutcomeUnknown),
    "grant of the daemon": (grant_shards, TargetError),
    "report to the daemon": (read_report, TargetError),
}
ALL_CALLS = STORE_CALLS | TARGET_CALLS | VM_CALLS | DAEMON_CALLS
