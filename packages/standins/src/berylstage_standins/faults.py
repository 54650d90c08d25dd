"""Fault switches of the stand-ins, set through ``POST /faults``."""

from __future__ import annotations


class Faults:
    """Base of the sets of switches: a class with slots and a default for each.

    A subclass names its switches and their defaults in ``DEFAULTS``.
    """

    __slots__ = ()

    DEFAULTS: dict[str, bool | int | float | str] = {}

    def __init__(self) -> None:
        for name, default in self.DEFAULTS.items():
            setattr(self, name, default)

    def set(self, doc: dict[str, bool | int | float | str]) -> None:
        """Set the switches that a document names and leave the others.

        Parameters
        ----------
        doc : dict
            Value by switch.

        Raises
        ------
        ValueError
            A switch is unknown or its value has the wrong type; nothing was set.
        """
        for name, value in doc.items():
            if name not in self.DEFAULTS:
                known = ", ".join(sorted(self.DEFAULTS))
                raise ValueError(f"no switch {name!r}; take one of: {known}")
            if not _fits(value, self.DEFAULTS[name]):
                kind = type(self.DEFAULTS[name]).__name__
                raise ValueError(f"switch {name!r} takes a value of type {kind}")
        for name, value in doc.items():
            setattr(self, name, value)

    def as_dict(self) -> dict[str, bool | int | float | str]:
        """Return the value of each switch."""
        return {name: getattr(self, name) for name in self.DEFAULTS}


def _fits(value: object, default: object) -> bool:
    """Tell whether a value has the type of the default; whole numbers are floats."""
    if isinstance(default, float):
        return isinstance(value, int | float) and not isinstance(value, bool)
    return type(value) is type(default)
