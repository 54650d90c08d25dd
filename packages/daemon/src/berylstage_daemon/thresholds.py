"""The thresholds that a configuration overrides."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.thresholds import Thresholds
from logbook import Logger

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration

log = Logger("thresholds")


def thresholds_of(cfg: Configuration) -> Thresholds:
    """Return the thresholds in force under a configuration.

    Parameters
    ----------
    cfg : Configuration

    Returns
    -------
    Thresholds
        The defaults when an override cannot be used. The command line refuses such a
        sheet, but one of another version may not; an error here would keep the whole
        revision from taking hold, closed data centres included.
    """
    try:
        return Thresholds(cfg.thresholds)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            log.error(f"{exc}; the defaults are used")
        return Thresholds()
