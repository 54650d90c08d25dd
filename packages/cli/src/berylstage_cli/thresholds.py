"""The check of a sheet's thresholds against the policy's table."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.thresholds import check
from berylstage_sheet.columns import THRESHOLDS
from berylstage_sheet.errors import CellFault, FaultySheet

if TYPE_CHECKING:
    from berylstage_sheet.reader import Sheet

REMEDY = "see the table in docs/operating/daemon.md"


def check_thresholds(sheet: Sheet) -> None:
    """Refuse a sheet with thresholds that the VMs could not use.

    Parameters
    ----------
    sheet : Sheet

    Raises
    ------
    FaultySheet
        Naming the cell of each.
    """
    faults = [
        CellFault(sheet.place(THRESHOLDS, name, "value"), str(exc), REMEDY)
        for name, value in sheet.cfg.thresholds.items()
        for exc in check({name: value})
    ]
    if not faults:
        # Each by itself can be used; two of them may still contradict each other.
        whole = check(sheet.cfg.thresholds)
        place = sheet.place(THRESHOLDS, "", "value")
        faults = [CellFault(place, str(exc), REMEDY) for exc in whole]
    if faults:
        raise FaultySheet(faults)
