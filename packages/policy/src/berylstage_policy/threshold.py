"""One named threshold: default, unit, range and reason."""

from __future__ import annotations


class Threshold:
    """One named threshold.

    Parameters
    ----------
    name : str
    default : float
    unit : str
        Unit of the value, such as ``s`` or ``ratio``.
    low, high : float
        Range of values that make sense, both ends included.
    overridable : bool
        Whether operators may override it through the sheet. What guards an
        invariant may not be.
    why : str
        Why the default is what it is.
    """

    __slots__ = ("name", "default", "unit", "low", "high", "overridable", "why")

    def __init__(
        self,
        name: str,
        default: float,
        unit: str,
        low: float,
        high: float,
        overridable: bool,
        why: str,
    ):
        self.name = name
        self.default = default
        self.unit = unit
        self.low = low
        self.high = high
        self.overridable = overridable
        self.why = why
