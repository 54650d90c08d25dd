"""Definition of a named threshold."""

from __future__ import annotations


class Threshold:
    """Named threshold with its default, unit, range and rationale.

    Parameters
    ----------
    name : str
    default : float
    unit : str
        Unit of the value, such as ``s`` or ``ratio``.
    low, high : float
        Inclusive range of valid values.
    overridable : bool
        Whether operators may override the threshold in the sheet. False if it protects
        an invariant.
    rationale : str
        Rationale for the default.
    """

    __slots__ = ("name", "default", "unit", "low", "high", "overridable", "rationale")

    def __init__(
        self,
        name: str,
        default: float,
        unit: str,
        low: float,
        high: float,
        overridable: bool,
        rationale: str,
    ):
        self.name = name
        self.default = default
        self.unit = unit
        self.low = low
        self.high = high
        self.overridable = overridable
        self.rationale = rationale
