"""Threshold values in use: the defaults and the operators' overrides."""

from __future__ import annotations

from berylstage_policy.errors import ThresholdError
from berylstage_policy.threshold_table import TABLE

# Pairs whose first value must stay below the second. A process whose stop bound lies
# beyond its start bound would never end, and keys would move continuously.
ORDERED_PAIRS = (
    ("balance_settled_high", "balance_high"),
    ("balance_low", "balance_settled_low"),
    ("hot_leave", "hot_enter"),
    ("retry_after_floor", "retry_after_ceiling"),
    ("stall_after", "down_after"),
)


class Thresholds:
    """Threshold values in use: the defaults and the operators' overrides.

    Parameters
    ----------
    overrides : dict of str to float, optional
        Values by name, as given in the sheet.

    Raises
    ------
    ExceptionGroup
        One :class:`ThresholdError` for each invalid override.
    """

    __slots__ = ("_values",)

    def __init__(self, overrides: dict[str, float] | None = None):
        errors = check_overrides(overrides or {})
        if errors:
            raise ExceptionGroup("invalid threshold overrides", errors)
        self._values = {row.name: row.default for row in TABLE.values()}
        self._values.update(overrides or {})

    def __getitem__(self, name: str) -> float:
        return self._values[name]

    def with_values(self, **values: float) -> Thresholds:
        """Return a copy with other values, without validation, for tests and trials."""
        copy = Thresholds()
        copy._values = {**self._values, **values}
        return copy


def check_overrides(overrides: dict[str, float]) -> list[ThresholdError]:
    """Return the errors in the operators' overrides.

    Parameters
    ----------
    overrides : dict of str to float

    Returns
    -------
    list of ThresholdError
        One for each error; empty if all overrides are valid.
    """
    errors = []
    for name, value in sorted(overrides.items()):
        row = TABLE.get(name)
        if row is None:
            known = ", ".join(sorted(n for n, r in TABLE.items() if r.overridable))
            errors.append(
                ThresholdError(f"unknown threshold {name!r}; use one of {known}")
            )
        elif not row.overridable:
            errors.append(
                ThresholdError(
                    f"{name} protects an invariant and cannot be overridden; "
                    "remove it from the sheet"
                )
            )
        elif not row.low <= value <= row.high:
            errors.append(
                ThresholdError(
                    f"{name} is {value:g} {row.unit}; "
                    f"set it between {row.low:g} and {row.high:g}"
                )
            )
    return errors or _check_order(overrides)


def _check_order(overrides: dict[str, float]) -> list[ThresholdError]:
    """Return an error for each pair of thresholds in the wrong order."""
    errors = []
    for lower, upper in ORDERED_PAIRS:
        low = overrides.get(lower, TABLE[lower].default)
        high = overrides.get(upper, TABLE[upper].default)
        if low >= high:
            errors.append(
                ThresholdError(
                    f"{lower} is {low:g} and {upper} is {high:g}; "
                    f"set {lower} below {upper}"
                )
            )
    return errors


DEFAULTS = Thresholds()
