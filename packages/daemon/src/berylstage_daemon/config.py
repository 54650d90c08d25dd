"""Settings of the daemon: one table with default, type and check."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_settings.parsers import (
    parse_address,
    parse_choice,
    parse_name,
    parse_seconds,
    parse_size,
)
from berylstage_settings.setting import Setting, fill

if TYPE_CHECKING:
    from collections.abc import Mapping

SETTINGS = (
    Setting("vm", parse_name, "name of this VM in the sheet", required=True),
    Setting(
        "data-centre", parse_name, "data centre that this VM stands in", required=True
    ),
    Setting(
        "http",
        parse_address,
        "address for callers and the status page, ip:port",
        default="127.0.0.1:8080",
    ),
    Setting(
        "peer",
        parse_address,
        "address for other VMs, ip:port",
        default="127.0.0.1:8081",
    ),
    Setting(
        "platform",
        parse_address,
        "address of the platform's service, ip:port",
        required=True,
    ),
    Setting(
        "cell",
        parse_name,
        "cell whose assignment this VM takes part in",
        default="cell-1",
    ),
    Setting(
        "statsd",
        parse_address,
        "address of the statsd server, ip:port; without it no metrics are sent",
    ),
    Setting(
        "body-limit",
        parse_size,
        "largest body of a request, in bytes",
        default="1000000",
    ),
    Setting(
        "shutdown-limit",
        parse_seconds,
        "longest time of a graceful shutdown, in seconds",
        default="30",
    ),
    Setting(
        "store-timeout",
        parse_seconds,
        "longest wait for one call of the store, in seconds",
        default="1",
    ),
    Setting(
        "request-log",
        parse_choice("all", "failed", "none"),
        "choice of requests that are logged: all, failed or none",
        default="failed",
    ),
)


class Settings:
    """Checked settings of one daemon, one attribute for each of :data:`SETTINGS`."""

    __slots__ = tuple(setting.attribute for setting in SETTINGS)

    vm: str
    data_centre: str
    http: str
    peer: str
    platform: str
    cell: str
    statsd: str | None
    body_limit: int
    shutdown_limit: float
    store_timeout: float
    request_log: str


def read_settings(flags: Mapping[str, str | None], env: Mapping[str, str]) -> Settings:
    """Check all settings and report all faults at once.

    Parameters
    ----------
    flags : mapping of str to str or None
        Values of the flags, by name; None where a flag was not given.
    env : mapping of str to str
        Environment variables; a flag goes before its variable.

    Returns
    -------
    Settings

    Raises
    ------
    FaultySettings
        All faults at once.
    """
    return fill(Settings(), SETTINGS, flags, env)
