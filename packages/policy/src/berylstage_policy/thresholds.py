"""The thresholds in force: the table's defaults and the operators' overrides."""

from __future__ import annotations

from berylstage_policy.errors import ThresholdError
from berylstage_policy.threshold_table import TABLE

# Pairs of which the first must stay below the second: a decision that stops beyond
# where it starts would go on for ever, to be seen as keys that never rest.
ORDERED = (
    ("balance_settled_high", "balance_high"),
    ("balance_low", "balance_settled_low"),
    ("hot_leave", "hot_enter"),
    ("retry_after_floor", "retry_after_ceiling"),
    ("stall_after", "down_after"),
)


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
    return errors or _check_order(overrides)


def _check_order(overrides: dict[str, float]) -> list[ThresholdError]:
    """Return which pairs of thresholds are the wrong way round."""
    errors = []
    for lower, upper in ORDERED:
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
