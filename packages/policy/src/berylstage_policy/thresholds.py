"""The named thresholds of all decisions, in one table."""

from __future__ import annotations

from berylstage_policy.errors import ThresholdError


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


_ROWS = [
    Threshold(
        "balance_high",
        1.10,
        "times mean level",
        1.02,
        3.0,
        True,
        "A target above it gives shards away. Below the promised imbalance of 1.15, "
        "with room for the fluctuation of load between two plans.",
    ),
    Threshold(
        "balance_settled_high",
        1.04,
        "times mean level",
        1.0,
        2.0,
        True,
        "Where giving away stops. The gap to balance_high is the hysteresis: load "
        "has to drift by 6% before keys move again.",
    ),
    Threshold(
        "balance_low",
        0.75,
        "times mean level",
        0.0,
        0.98,
        True,
        "A target below it takes shards. One new target among many lifts none of the "
        "others over balance_high, and would otherwise stay empty.",
    ),
    Threshold(
        "balance_settled_low",
        0.92,
        "times mean level",
        0.0,
        1.0,
        True,
        "Where taking stops: near the mean, but without taking the last few shards.",
    ),
]

TABLE: dict[str, Threshold] = {row.name: row for row in _ROWS}


class Thresholds:
    """The values in force: the defaults and the operators' overrides.

    Parameters
    ----------
    overrides : dict of str to float, optional
        Values by name, as they stand in the sheet.

    Raises
    ------
    ExceptionGroup
        One :class:`ThresholdError` for each override that can't be used.
    """

    __slots__ = ("_values",)

    def __init__(self, overrides: dict[str, float] | None = None):
        errors = check(overrides or {})
        if errors:
            raise ExceptionGroup("thresholds can't be used", errors)
        self._values = {row.name: row.default for row in TABLE.values()}
        self._values.update(overrides or {})

    def __getitem__(self, name: str) -> float:
        return self._values[name]

    def replaced(self, **values: float) -> Thresholds:
        """Return a copy with other values, unchecked, for experiments and tests."""
        copy = Thresholds()
        copy._values = {**self._values, **values}
        return copy


def check(overrides: dict[str, float]) -> list[ThresholdError]:
    """Return what is wrong with the operators' overrides.

    Parameters
    ----------
    overrides : dict of str to float

    Returns
    -------
    list of ThresholdError
        One for each fault; empty when all can be used.
    """
    errors = []
    for name, value in sorted(overrides.items()):
        row = TABLE.get(name)
        if row is None:
            known = ", ".join(sorted(n for n, r in TABLE.items() if r.overridable))
            errors.append(
                ThresholdError(f"no threshold is named {name!r}; use one of {known}")
            )
        elif not row.overridable:
            errors.append(
                ThresholdError(f"{name} guards an invariant; remove it from the sheet")
            )
        elif not row.low <= value <= row.high:
            errors.append(
                ThresholdError(
                    f"{name} is {value:g} {row.unit}; "
                    f"set it between {row.low:g} and {row.high:g}"
                )
            )
    return errors


DEFAULTS = Thresholds()
