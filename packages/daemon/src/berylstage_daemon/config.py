"""Settings of the daemon: one table with default, type and check."""

from __future__ import annotations

import ipaddress
from typing import TYPE_CHECKING, Any

from berylstage_daemon.errors import SettingError

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

ENVIRONMENT_PREFIX = "BERYLSTAGE_"
REQUIRED = object()


def parse_address(text: str) -> str:
    """Return ``ip:port`` after a check.

    Parameters
    ----------
    text : str

    Returns
    -------
    str

    Raises
    ------
    ValueError
        The text is no IP number with a port.
    """
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not 0 < int(port) < 65536:
        raise ValueError(f"port {port} is outside 1 to 65535")
    return text


def parse_name(text: str) -> str:
    """Return a name of letters, digits and dashes after a check."""
    if not text or not text.replace("-", "").isalnum():
        raise ValueError("a name has letters, digits and dashes only")
    return text


def parse_positive(text: str) -> float:
    """Return a positive number after a check."""
    value = float(text)
    if not 0 < value < 1e9:
        raise ValueError("the number must be positive")
    return value


def parse_request_log(text: str) -> str:
    """Return which requests are logged, after a check."""
    if text not in ("all", "failed", "none"):
        raise ValueError("unknown choice")
    return text


class Setting:
    """One setting of the daemon.

    Parameters
    ----------
    name : str
        Name of the flag; the environment variable is derived from it.
    parse : callable
        Makes the value from text; raises ValueError.
    default : str or None or REQUIRED
        Text that is parsed when the setting is not given.
    text : str
        What it is for, for ``--help`` and the operators' pages.
    remedy : str
        What to do when the value is wrong.
    """

    __slots__ = ("name", "parse", "default", "text", "remedy")

    def __init__(
        self,
        name: str,
        parse: Callable[[str], Any],
        default: Any,
        text: str,
        remedy: str,
    ):
        self.name = name
        self.parse = parse
        self.default = default
        self.text = text
        self.remedy = remedy

    @property
    def attribute(self) -> str:
        """Name of the attribute of :class:`Settings`."""
        return self.name.replace("-", "_")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.attribute.upper()


ADDRESS_REMEDY = "give an IP number and a port, such as 127.0.0.1:8080"
NAME_REMEDY = "give a name of letters, digits and dashes, as it stands in the sheet"
NUMBER_REMEDY = "give a positive number"

SETTINGS = [
    Setting("vm", parse_name, REQUIRED, "name of this VM in the sheet", NAME_REMEDY),
    Setting(
        "data-centre",
        parse_name,
        REQUIRED,
        "data centre this VM stands in",
        NAME_REMEDY,
    ),
    Setting(
        "http",
        parse_address,
        "127.0.0.1:8080",
        "address for callers and the status page",
        ADDRESS_REMEDY,
    ),
    Setting(
        "peer",
        parse_address,
        "127.0.0.1:8081",
        "address for other VMs",
        ADDRESS_REMEDY,
    ),
    Setting(
        "platform",
        parse_address,
        REQUIRED,
        "address of the platform's service",
        ADDRESS_REMEDY,
    ),
    Setting(
        "cell",
        parse_name,
        "cell-1",
        "cell whose assignment this VM takes part in",
        NAME_REMEDY,
    ),
    Setting(
        "statsd",
        parse_address,
        None,
        "address of the statsd server; no metrics are sent without it",
        ADDRESS_REMEDY,
    ),
    Setting(
        "body-limit",
        parse_positive,
        "1000000",
        "bytes of the largest body, of a request or an answer",
        NUMBER_REMEDY,
    ),
    Setting(
        "shutdown-limit",
        parse_positive,
        "30",
        "seconds that a graceful shutdown takes at most",
        NUMBER_REMEDY,
    ),
    Setting(
        "store-timeout",
        parse_positive,
        "1",
        "seconds to wait for one call of the store",
        NUMBER_REMEDY,
    ),
    Setting(
        "request-log",
        parse_request_log,
        "failed",
        "which requests are logged: all, failed or none",
        "give all, failed or none",
    ),
]


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
    body_limit: float
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
    ExceptionGroup
        Of :class:`SettingError`, one for each fault.
    """
    cfg = Settings()
    faults = []
    for setting in SETTINGS:
        text = flags.get(setting.name) or env.get(setting.variable)
        try:
            setattr(cfg, setting.attribute, _value(setting, text))
        except SettingError as exc:
            faults.append(exc)
    if faults:
        raise ExceptionGroup("the settings cannot be used", faults)
    return cfg


def _value(setting: Setting, text: str | None) -> Any:
    """Return the value of one setting from its text or its default."""
    if text is None:
        text = setting.default
    if text is REQUIRED:
        raise SettingError(
            setting.name,
            "is not set",
            f"give the flag or {setting.variable}: {setting.text}",
        )
    if text is None:
        return None
    try:
        return setting.parse(text)
    except ValueError as exc:
        fault = f"{text!r} cannot be used ({exc})"
        raise SettingError(setting.name, fault, setting.remedy) from exc
