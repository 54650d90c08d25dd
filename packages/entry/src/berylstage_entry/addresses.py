"""Network addresses as text."""

from __future__ import annotations


def split_host_port(address: str) -> tuple[str, int]:
    """Return the host and the port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
