"""The thresholds in force: the table's defaults and the operators' overrides."""

from __future__ import annotations

from berylstage_policy.errors import ThresholdError
from berylstage_policy.threshold_table import TABLE


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
