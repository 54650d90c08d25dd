"""Settings and configuration of the VMs of a soak."""

from __future__ import annotations

import os

SETTINGS = """node_name={name}
zone=a
listen_addrs.front={ip}:8381
listen_addrs.ready={ip}:8388
listen_addrs.control={ip}:8382
internal_ports=7200,7215
bounds=grace_s=6,retry_budget_ratio=0.2,retry_allowance=60,warmup_overshoot=1.5,\
warmup_slack=5,hold_max_ms=10000
platform.address={store}
limits.cpu_share=0.86
limits.cpu_cores=1
limits.link_mbps={mbps:.1f}
platform.ttl_min_ms=1000
"""


# Added to the settings where uploads are played: the memory above which the platform
# kills a VM.
VM_MEMORY_MB = 160
MEMORY_SETTING = f"limits.memory_mb={VM_MEMORY_MB}\n"
UPLOAD_TIMEOUT_MS = 3000
UPLOAD_LATENCY_MS = 1760


def make_configuration(has_uploads: bool = False) -> dict:
    """Return a configuration with a sharded service and one without keys.

    Lookups go to the sharded service, orders and lookups without a key to the other
    one. Uploads go to a third
    service, which exists only with ``has_uploads``.
    """
    limits = {
        "max_header_bytes": 16384,
        "max_body_bytes": 1048576,
        "header_timeout_ms": 3000,
        "idle_timeout_ms": 15000,
    }
    routes = [
        _route("lookups", "/a/", "safe", "s"),
        _route("o", "/orders/", "unsafe", "u"),
        _route("reads", "/reads/", "safe", "u"),
    ]
    if has_uploads:
        upload = _route("uploads", "/uploads/", "upload", "w")
        upload |= {
            "timeout_ms": UPLOAD_TIMEOUT_MS,
            "target_latency_ms": UPLOAD_LATENCY_MS,
        }
        routes.append(upload)
    return {
        "version": "r7",
        "services": [
            {"name": n, "health_path": "/healthz", "max_conns": 50, "sharded": n == "s"}
            for n in (("s", "u", "w") if has_uploads else ("s", "u"))
        ],
        "limits": limits,
        "virtual_hosts": [{"host": "h.example", "path_routes": routes}],
    }


def _route(name: str, prefix: str, kind: str, service: str) -> dict:
    return {
        "name": name,
        "prefix": prefix,
        "kind": kind,
        "timeout_ms": 1200,
        "target_latency_ms": 400,
        "priority": 1,
        "service": service,
        "max_attempts": 3,
    }


def get_loopback_prefix() -> str:
    """Return the first three octets of loopback addresses for this process only.

    With its own addresses a soak can use fixed ports. A random free port may be chosen
    twice, or be taken by a connection while the process that uses it is down.
    """
    number = os.getpid()
    return f"127.{1 + number // 250 % 250}.{number % 250}"
