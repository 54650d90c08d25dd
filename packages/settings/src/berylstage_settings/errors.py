"""Errors of settings; each message names the remedy."""

from __future__ import annotations


class SettingFault(Exception):
    """A setting is missing or cannot be used.

    Parameters
    ----------
    name : str
        Name of the flag, without dashes.
    message : str
        What is wrong and what to do.
    """

    def __init__(self, name: str, message: str):
        super().__init__(message)
        self.name = name


class FaultySettings(ExceptionGroup[SettingFault]):
    """All settings that cannot be used."""

    @property
    def faults(self) -> list[SettingFault]:
        """The faults themselves; no group holds another one."""
        return [exc for exc in self.exceptions if isinstance(exc, SettingFault)]
