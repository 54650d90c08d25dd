"""What stops of VMs have cost callers, from the log lines of all VMs."""

from __future__ import annotations

from collections import Counter
from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from berylstage_cli.log_lines import LogLine

# Why a request was lost whose connection was cut, by the phase that the line tells.
CUT_REASONS = {"serving": "cut while serving", "flushing": "cut while flushing"}
# What VMs count while they stop, and what that is.
COUNTED = {
    "begun": "requests begun after SIGTERM",
    "closed_idle": "connections closed idle",
    "cut": "connections cut",
    "bytes_cut": "bytes cut",
    "closed_unread": "connections closed with unread bytes",
}


def number(line: LogLine, name: str) -> float:
    """Return a field of a line that should be a number, or 0.

    Parameters
    ----------
    line : LogLine
    name : str

    Returns
    -------
    float
    """
    value = line.fields.get(name)
    return value if isinstance(value, (int, float)) else 0


def cut_reason(line: LogLine) -> str | None:
    """Return why the request that a line names was lost, or None.

    An answer of which nothing is left has reached its caller: the connection was kept
    for what came behind it.

    Parameters
    ----------
    line : LogLine

    Returns
    -------
    str or None
        None also for lines about other things.
    """
    if line.message != "connection cut" or not line.fields.get("id"):
        return None
    phase = str(line.fields.get("phase", ""))
    if phase != "serving" and not number(line, "bytes_left"):
        return None
    return CUT_REASONS.get(phase)


class Stops:
    """All stops.

    Attributes
    ----------
    seen, ended : int
        VMs that began to stop, and those that told what it has cost.
    without_request : int
        Connections that were cut and no request that was read with them.
    counts : Counter
        Sums of what the VMs tell, by the names of `COUNTED`.
    """

    __slots__ = ("_seconds", "counts", "ended", "seen", "without_request")

    def __init__(self) -> None:
        self.seen = 0
        self.ended = 0
        self.without_request = 0
        self.counts: Counter[str] = Counter()
        self._seconds: dict[str, list[float]] = {}

    def add(self, line: LogLine) -> None:
        """Take in a line about a stop; others are passed over."""
        if line.message == "stopping":
            self.seen += 1
        elif line.message == "stopped":
            self.ended += 1
            self.counts.update({name: int(number(line, name)) for name in COUNTED})
        elif line.message == "stop phase ended":
            phase = str(line.fields.get("phase", ""))
            self._seconds.setdefault(phase, []).append(number(line, "seconds"))
        elif line.message == "connection cut":
            self.without_request += cut_reason(line) is None

    def times(self) -> dict[str, tuple[float, float]]:
        """Return the seconds of each phase at the median and at most."""
        return {
            phase: (round(median(seconds), 3), max(seconds))
            for phase, seconds in self._seconds.items()
        }
