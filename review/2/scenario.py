"""An unreadable entry of another writer, then a new configuration.

The entry lies under ``servers/`` and names no backend. A few seconds later, the
operator moves the orders to another service and adds a route. The rule is checked for
requests that are sent later than ``config_apply_ms`` after the acknowledgement.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

from standins import (
    Clients,
    Deployment,
    Record,
    encode_configuration,
    has_trouble,
    make_route,
    make_service,
    play,
    wait_until_served,
)

ZONES = ["almaty-a", "almaty-b"]
VMS = 3
# Any bytes that cannot be read; the store accepts up to `value_bytes`, 1,048,576.
UNREADABLE = b"[" * 2000
CONFIG_APPLY_SECONDS = 2.0
# No disruption for `contact_ms` before the configuration changes.
CONTACT_SECONDS = 3.0
ROUNDS = 20
ROUND_SECONDS = 0.25


def make_configuration(version: str, routes: list[dict]) -> bytes:
    """Return a configuration with three services."""
    services = [make_service("desk"), make_service("desk2"), make_service("log", True)]
    return encode_configuration(version, services, routes)


async def play_forged_entry(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    deployment = Deployment(record, ZONES, VMS)
    try:
        return await _play(record, deployment)
    finally:
        deployment.stop()


async def _play(record: Record, deployment: Deployment) -> bool:
    store, clients = deployment.store, Clients(record)
    lookups = make_route("lookups", "safe", "log", 800, 300)
    orders = make_route("orders", "unsafe", "desk", 1000, 400)
    store.put("op/config", make_configuration("r7", [lookups, orders]))
    for service in ("desk", "desk2"):
        for zone in ZONES:
            await deployment.add_backend(service, zone)
    for zone in ZONES:
        await deployment.add_backend("log", zone, sharded=True)
    await deployment.start()
    await wait_until_served(deployment, clients, "GET", "/lookups/a", [7])
    await wait_until_served(deployment, clients, "POST", "/orders/a")
    if has_trouble():
        store.put("servers/i-5d3f0a17", UNREADABLE)
        record.add(f"another writer: servers/i-5d3f0a17, {len(UNREADABLE)} bytes")
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    moved = make_route("orders", "unsafe", "desk2", 1000, 400)
    added = make_route("added", "safe", "desk2", 800, 300)
    store.put("op/config", make_configuration("r12", [lookups, moved, added]))
    acknowledged_at = time.monotonic()
    record.add("operator: r12 acknowledged")
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.05)
    broken = await _check_configuration(record, deployment, clients)
    record.add(f"checked from {CONFIG_APPLY_SECONDS} s after the acknowledgement on")
    record.add(f"ended {time.monotonic() - acknowledged_at:.1f} s after it")
    await _record_restart(record, deployment, clients)
    return not broken


async def _check_configuration(
    record: Record, deployment: Deployment, clients: Clients
) -> int:
    """Return how many requests are handled as only the older version allows."""
    old, not_found, served = 0, 0, 0
    for number in range(ROUNDS):
        for vm in deployment.vms:
            is_ready = await vm.is_ready()
            order = await clients.send(vm, "POST", f"/orders/{number}")
            added = await clients.send(vm, "GET", f"/added/{number}")
            old_runs = [b for b in deployment.backends if b.service == "desk"]
            is_old = any(order in backend.runs for backend in old_runs)
            is_missing = clients.statuses[added] == 404
            old, not_found = old + is_old, not_found + is_missing
            served += clients.statuses[order] == 200 and not is_old
            if is_old or is_missing:
                record.add(
                    f"BROKEN {vm.name} (ready {is_ready}): {order} run by the old "
                    f"service {is_old}, {added} refused with 404 {is_missing}"
                )
        await asyncio.sleep(ROUND_SECONDS)
    record.add(f"orders run by the old service: {old}, by the new one: {served}")
    record.add(f"requests on the added route refused with 404: {not_found}")
    return old + not_found


async def _record_restart(
    record: Record, deployment: Deployment, clients: Clients
) -> None:
    """Restart one machine and record whether it serves; this is not judged."""
    vm = deployment.vms[0]
    vm.kill()
    vm.start()
    is_ready = await vm.wait_until_ready(15.0)
    request_id = await clients.send(vm, "POST", "/orders/after-restart")
    status = clients.statuses[request_id]
    record.add(f"not judged: {vm.name} restarted, ready {is_ready}, order got {status}")


if __name__ == "__main__":
    sys.exit(play(play_forged_entry, Path(__file__).parent))
