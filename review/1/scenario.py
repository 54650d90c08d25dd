"""An unreadable entry of another writer, then a new configuration.

The entry lies under ``servers/`` and names no backend. A few seconds later, the
operator moves the orders to another service and adds a route. The rule is checked for
requests that are sent later than ``config_apply_ms`` after the acknowledgement.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path

from standins import (
    Clients,
    Deployment,
    NotRun,
    Record,
    has_trouble,
    play,
)

ZONES = ["almaty-a", "almaty-b"]
VMS = 3
HOST = "h.example"
# Any bytes that cannot be read; the store accepts up to `value_bytes`, 1,048,576.
UNREADABLE = b"[" * 2000
CONFIG_APPLY_SECONDS = 2.0
# No disruption for `contact_ms` before the configuration changes.
CONTACT_SECONDS = 3.0
ROUNDS = 20
ROUND_SECONDS = 0.25


def make_route(name: str, prefix: str, kind: str, service: str) -> dict:
    """Return a route."""
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 1000,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }


def make_configuration(version: str, routes: list[dict]) -> bytes:
    """Return a configuration with three services."""
    services = [
        {
            "name": name,
            "health_path": "/healthz",
            "max_conns": 120,
            "protocol": "h1",
            "tls": False,
            "warmup_s": 3.0,
            "warmup_per_s": 5.3,
        }
        for name in ("desk", "desk2")
    ]
    services.append({**services[0], "name": "log", "sharded": True})
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    doc = {
        "version": version,
        "services": services,
        "limits": limits,
        "virtual_hosts": [{"host": HOST, "path_routes": routes}],
    }
    return json.dumps(doc).encode()


async def play_forged_entry(record: Record) -> bool:
    """Play the case and return whether the rule held."""
    deployment = Deployment(record, ZONES, VMS)
    try:
        return await _play(record, deployment)
    finally:
        deployment.stop()


async def _play(record: Record, deployment: Deployment) -> bool:
    store, clients = deployment.store, Clients(record)
    lookups = make_route("lookups", "/lookups/", "safe", "log")
    orders = make_route("orders", "/orders/", "unsafe", "desk")
    store.put("op/config", make_configuration("r7", [lookups, orders]))
    for service in ("desk", "desk2"):
        for zone in ZONES:
            await deployment.add_backend(service, zone)
    for zone in ZONES:
        await deployment.add_backend("log", zone, sharded=True)
    await deployment.start()
    await _wait_until_served(deployment, clients)
    if has_trouble():
        store.put("servers/i-5d3f0a17", UNREADABLE)
        record.add(f"another writer: servers/i-5d3f0a17, {len(UNREADABLE)} bytes")
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    moved = make_route("orders", "/orders/", "unsafe", "desk2")
    added = make_route("added", "/added/", "safe", "desk2")
    store.put("op/config", make_configuration("r12", [lookups, moved, added]))
    acknowledged_at = time.monotonic()
    record.add("operator: r12 acknowledged")
    await asyncio.sleep(CONFIG_APPLY_SECONDS + 0.05)
    broken = await _check_configuration(record, deployment, clients)
    record.add(f"checked from {CONFIG_APPLY_SECONDS} s after the acknowledgement on")
    record.add(f"ended {time.monotonic() - acknowledged_at:.1f} s after it")
    await _record_restart(record, deployment, clients)
    return not broken


async def _wait_until_served(deployment: Deployment, clients: Clients) -> None:
    """Wait until every machine serves both routes."""
    end = time.monotonic() + 20.0
    for vm in deployment.vms:
        for method, path, key in (
            ("GET", "/lookups/a", 7),
            ("POST", "/orders/a", None),
        ):
            while True:
                request_id = await clients.send(vm, method, HOST, path, key)
                if clients.statuses[request_id] == 200:
                    break
                if time.monotonic() > end:
                    raise NotRun(f"{vm.name} does not serve {path}")
                await asyncio.sleep(0.2)


async def _check_configuration(
    record: Record, deployment: Deployment, clients: Clients
) -> int:
    """Return how many requests are handled as only the older version allows."""
    old, not_found, served = 0, 0, 0
    for number in range(ROUNDS):
        for vm in deployment.vms:
            is_ready = await vm.is_ready()
            order = await clients.send(vm, "POST", HOST, f"/orders/{number}")
            added = await clients.send(vm, "GET", HOST, f"/added/{number}")
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
    request_id = await clients.send(vm, "POST", HOST, "/orders/after-restart")
    status = clients.statuses[request_id]
    record.add(f"not judged: {vm.name} restarted, ready {is_ready}, order got {status}")


if __name__ == "__main__":
    sys.exit(play(play_forged_entry, Path(__file__).parent))
