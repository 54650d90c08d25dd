"""Settings of the command line: one table with default, type and check."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from getpass import getuser
from typing import Any

from berylstage_sheet.cells import AddressCell, TextCell

from berylstage_cli.errors import FaultySettings, SettingFault

ENVIRONMENT_PREFIX = "BERYLSTAGE_"
MAX_SECONDS = 3600.0


def parse_address(text: str) -> str:
    """Return ``ip:port`` after a check."""
    return AddressCell().read(text)


def parse_seconds(text: str) -> float:
    """Return a number of seconds after a check."""
    value = float(text)
    if not 0 <= value <= MAX_SECONDS:
        raise ValueError(f"use 0 to {MAX_SECONDS:.0f} seconds")
    return value


def parse_author(text: str) -> str:
    """Return a line of text after a check."""
    return TextCell().read(text.strip())


def login_name() -> str:
    """Return the name of the user who runs the command; empty when there is none."""
    try:
        return getuser()
    except (KeyError, OSError):
        return ""


class Setting:
    """One setting of the command line.

    Parameters
    ----------
    name : str
        Name of the flag; the environment variable is derived from it.
    parse : callable
        Makes the value from text; raises ValueError.
    default : callable or None
        Returns the text to use when the setting is not given; None when it must be.
    default_text : str
        The default in words.
    meaning : str
        What it is for, for ``--help`` and the operators' pages.
    """

    __slots__ = ("name", "parse", "default", "default_text", "meaning")

    def __init__(
        self,
        name: str,
        parse: Callable[[str], Any],
        default: Callable[[], str] | None,
        default_text: str,
        meaning: str,
    ):
        self.name = name
        self.parse = parse
        self.default = default
        self.default_text = default_text
        self.meaning = meaning

    @property
    def attribute(self) -> str:
        """Name of the attribute of :class:`Settings`."""
        return self.name.replace("-", "_")

    @property
    def variable(self) -> str:
        """Name of the environment variable."""
        return ENVIRONMENT_PREFIX + self.attribute.upper()


SETTINGS = (
    Setting(
        "platform",
        parse_address,
        None,
        "must be given",
        "address of the platform's service, ip:port",
    ),
    Setting(
        "timeout",
        parse_seconds,
        lambda: "30",
        "30",
        "seconds that apply waits until every VM has the sheet in force",
    ),
    Setting(
        "store-timeout",
        parse_seconds,
        lambda: "3",
        "3",
        "seconds to wait for one call of the platform",
    ),
    Setting(
        "vm-timeout",
        parse_seconds,
        lambda: "2",
        "2",
        "seconds to wait for one answer of a VM",
    ),
    Setting(
        "author",
        parse_author,
        login_name,
        "login name",
        "who applies the sheet, when the sheet itself names nobody",
    ),
)


class Settings:
    """Checked settings, one attribute for each of :data:`SETTINGS`."""

    __slots__ = tuple(setting.attribute for setting in SETTINGS)

    platform: str
    timeout: float
    store_timeout: float
    vm_timeout: float
    author: str


def read_settings(flags: Mapping[str, str | None], env: Mapping[str, str]) -> Settings:
    """Check all settings.

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
    cfg = Settings()
    faults = []
    for setting in SETTINGS:
        try:
            text = flags.get(setting.name) or env.get(setting.variable)
            setattr(cfg, setting.attribute, _value(setting, text))
        except SettingFault as exc:
            faults.append(exc)
    if faults:
        raise FaultySettings("the settings cannot be used", faults)
    return cfg


def _value(setting: Setting, text: str | None) -> Any:
    """Return the value of one setting."""
    if not text:
        if setting.default is None:
            raise SettingFault(
                f"--{setting.name} is not set; give it or {setting.variable}: "
                f"{setting.meaning}"
            )
        text = setting.default()
    try:
        return setting.parse(text)
    except ValueError as exc:
        raise SettingFault(
            f"--{setting.name} {text!r} cannot be used: {exc}; it is the "
            f"{setting.meaning}"
        ) from exc
