"""Exceptions for invalid settings; each message says how to correct the setting."""

from __future__ import annotations


class SettingFault(Exception):
    """A setting is missing or invalid.

    Parameters
    ----------
    name : str
        Name of the flag, without the leading dashes.
    message : str
        What is wrong and what to do.
    """

    def __init__(self, name: str, message: str):
        super().__init__(message)
        self.name = name


class FaultySettings(ExceptionGroup[SettingFault]):
    """Group of the faults of all invalid settings."""

    @property
    def faults(self) -> list[SettingFault]:
        """Faults in the group; groups are never nested."""
        return [exc for exc in self.exceptions if isinstance(exc, SettingFault)]
