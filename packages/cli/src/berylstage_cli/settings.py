"""Settings of the command line: one table with default, type and check."""

from __future__ import annotations

from getpass import getuser
from typing import TYPE_CHECKING

from berylstage_settings.parsers import parse_address, parse_seconds
from berylstage_settings.setting import Setting, fill
from berylstage_sheet.cells import TextCell

if TYPE_CHECKING:
    from collections.abc import Mapping


def parse_author(text: str) -> str:
    """Return a line of text after a check."""
    return TextCell().read(text.strip())


def login_name() -> str:
    """Return the name of the user who runs the command; empty when there is none."""
    try:
        return getuser()
    except (KeyError, OSError):
        return ""


SETTINGS = (
    Setting(
        "platform",
        parse_address,
        "address of the platform's service, ip:port",
        required=True,
    ),
    Setting(
        "timeout",
        parse_seconds,
        "seconds that apply waits until every VM has the sheet in force",
        default="30",
    ),
    Setting(
        "store-timeout",
        parse_seconds,
        "seconds to wait for one call of the platform",
        default="3",
    ),
    Setting(
        "vm-timeout",
        parse_seconds,
        "seconds to wait for one answer of a VM",
        default="2",
    ),
    Setting(
        "author",
        parse_author,
        "who applies the sheet, when the sheet itself names nobody",
        default=login_name,
        default_text="login name",
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
    return fill(Settings(), SETTINGS, flags, env)
