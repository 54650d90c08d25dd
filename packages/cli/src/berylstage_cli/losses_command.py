"""The command that sums up lost requests from log lines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_cli.command import JSON_OPTION
from berylstage_cli.log_command import LOGS_ARGUMENT, LogCommand
from berylstage_cli.losses import NOT_WRITTEN, sum_up
from berylstage_cli.reports import Report
from berylstage_cli.stops import COUNTED
from berylstage_cli.story import REASONS

if TYPE_CHECKING:
    from collections import Counter
    from collections.abc import Iterator

    from berylstage_cli.losses import Loss, Losses
    from berylstage_cli.stops import Stops

# Causes and kinds that are named in a row at most.
NAMED = 3


class LossReport(Report):
    """Lost requests by second and reason."""

    def __init__(self, losses: Losses):
        self._losses = losses

    def lines(self) -> Iterator[str]:
        """Yield a row for each second and reason, the sums, and what stops cost."""
        if not self._losses.rows:
            yield "no request was lost"
        else:
            yield "second  requests  reason: causes; kinds; VMs"
            yield from map(_row, self._losses.rows)
            yield ""
            yield from self._sums()
        yield f"{self._losses.answered} requests were answered"
        if self._losses.unreadable:
            yield f"{self._losses.unreadable} lines of the input are no log lines"
        yield from _stop_lines(self._losses.stops)

    def _sums(self) -> Iterator[str]:
        for reason, requests in self._losses.by_reason().most_common():
            meaning = REASONS.get(reason, "the request cannot be served as it is")
            if reason == NOT_WRITTEN:
                meaning = "VMs wrote no line of these, to bound their log"
            yield f"{requests} {reason}: {meaning}"

    def document(self) -> dict:
        """Return what ``--json`` prints."""
        return {
            "rows": [
                {
                    "second": row.second,
                    "reason": row.reason,
                    "requests": row.requests,
                    "bytes_left": row.bytes_left,
                    "causes": dict(row.causes),
                    "kinds": dict(row.kinds),
                    "vms": dict(row.vms),
                }
                for row in self._losses.rows
            ],
            "reasons": dict(self._losses.by_reason()),
            "answered": self._losses.answered,
            "unreadable": self._losses.unreadable,
            "stops": _stop_document(self._losses.stops),
        }


class LossesCommand(LogCommand):
    """Sums up which requests were lost, when and why."""

    name = "losses"
    description = "Sum up from log lines which requests were lost, when and why"
    arguments = [LOGS_ARGUMENT]
    options = [JSON_OPTION]

    def report(self) -> Report:
        """Read the lines and sum them up."""
        return LossReport(self.read(sum_up))


def _row(row: Loss) -> str:
    cut = f"{row.bytes_left} bytes left" if row.bytes_left else ""
    parts = [cut, *map(_most, (row.causes, row.kinds, row.vms))]
    told = "; ".join(part for part in parts if part)
    end = f": {told}" if told else ""
    return f"{row.second:>6}  {row.requests:>8}  {row.reason}{end}"


def _most(counts: Counter[str]) -> str:
    named = [f"{name} {count}" for name, count in counts.most_common(NAMED)]
    left = len(counts) - len(named)
    return ", ".join([*named, f"{left} more"] if left > 0 else named)


def _stop_lines(stops: Stops) -> Iterator[str]:
    if stops.seen or stops.ended:
        yield ""
        yield f"{stops.seen} VMs began to stop, {stops.ended} told what it has cost:"
        for name, meaning in COUNTED.items():
            yield f"  {meaning}: {stops.counts[name]}"
        for phase, (middle, most) in stops.times().items():
            yield f"  {phase}: {middle:g} s at the median, {most:g} s at most"
    if stops.without_request:
        cut = stops.without_request
        yield f"{cut} connections were cut without a request that was read"


def _stop_document(stops: Stops) -> dict:
    times = stops.times().items()
    return {
        "seen": stops.seen,
        "ended": stops.ended,
        **{name: stops.counts[name] for name in COUNTED},
        "without_request": stops.without_request,
        "phases": {
            phase: {"median": middle, "most": most} for phase, (middle, most) in times
        },
    }
