"""Which requests were lost, when and why, from the log lines of all VMs.

A VM writes a line for each request that ends without a target's answer, up to a bound;
lines beyond it are counted in the next one. Summed up over all VMs they show in which
seconds requests were lost, for which reason, and what was full or away. Requests that a
VM cut when it stopped are lost as well, for the phase in which they were cut.
"""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from berylstage_cli.log_lines import Reader
from berylstage_cli.stops import Stops, cut_reason, number

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_cli.log_lines import LogLine

# What the detail of a line names as the cause: the queue that refused, the target that
# failed, or the key that had no owner.
_CAUSE = re.compile(r"\b(queue|target|key) ([^\s,:]+)")
# Stands for requests of which no line was written.
NOT_WRITTEN = "(not written)"


class Loss:
    """Requests that were lost in one second for one reason.

    Parameters
    ----------
    second : int
        Since the first line of the input.
    reason : str
        Of the log lines, ``NOT_WRITTEN``, or one of `CUT_REASONS`.

    Attributes
    ----------
    requests : int
    bytes_left : int
        Of answers that were cut.
    causes, kinds, vms : Counter
        What was full or away, the first part of the requests' paths, and the VMs.
    """

    __slots__ = (
        "bytes_left",
        "causes",
        "kinds",
        "reason",
        "requests",
        "second",
        "vms",
    )

    def __init__(self, second: int, reason: str):
        self.second = second
        self.reason = reason
        self.requests = 0
        self.bytes_left = 0
        self.causes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.vms: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        """Count the request of a line."""
        self.requests += 1
        self.vms[line.vm] += 1
        self.bytes_left += int(number(line, "bytes_left"))
        if "path" in line.fields:
            self.kinds[_kind(str(line.fields["path"]))] += 1
        named = _CAUSE.search(str(line.fields.get("detail", "")))
        if named is not None:
            self.causes[f"{named[1]} {named[2]}"] += 1


class Losses:
    """All losses.

    Parameters
    ----------
    rows : list of Loss
        By second, the greatest first in each.
    answered : int
        Requests of which a line says that they were answered, or that one was left out.
    unreadable : int
        Lines of the input that are no log lines.
    stops : Stops
    """

    __slots__ = ("answered", "rows", "stops", "unreadable")

    def __init__(self, rows: list[Loss], answered: int, unreadable: int, stops: Stops):
        self.rows = rows
        self.answered = answered
        self.unreadable = unreadable
        self.stops = stops

    def by_reason(self) -> Counter[str]:
        """Return the requests lost for each reason."""
        found: Counter[str] = Counter()
        for row in self.rows:
            found[row.reason] += row.requests
        return found


def sum_up(texts: Iterable[str]) -> Losses:
    """Return the losses that log lines tell of.

    Parameters
    ----------
    texts : iterable of str
        Log lines of any VMs, in any order.

    Returns
    -------
    Losses
    """
    reader = Reader()
    found = _Sums(list(reader.read(texts)))
    return Losses(found.rows(), found.answered, reader.unreadable, found.stops)


class _Sums:
    """Sums over the lines of all VMs."""

    def __init__(self, lines: list[LogLine]):
        self.answered = 0
        self.stops = Stops()
        self._losses: dict[tuple[int, str], Loss] = {}
        self._begin = min((line.time for line in lines), default=None)
        # Their own lines tell that they were answered, or that their callers left.
        self._cut = {_identity(line) for line in lines if cut_reason(line)}
        for line in lines:
            self._add(line)

    def rows(self) -> list[Loss]:
        """Return the losses by second, the greatest first in each."""
        return sorted(
            self._losses.values(), key=lambda row: (row.second, -row.requests)
        )

    def _add(self, line: LogLine) -> None:
        self.stops.add(line)
        reason = cut_reason(line)
        if reason is not None:
            self._loss(line, reason).add(line)
        elif line.message == "request answered":
            self.answered += (not self._is_cut(line)) + line.left_out
        elif line.message == "request ended":
            self._add_ended(line)

    def _add_ended(self, line: LogLine) -> None:
        if not self._is_cut(line):
            self._loss(line, str(line.fields.get("reason", ""))).add(line)
        if line.left_out:
            # Which reasons these had, nobody knows.
            self._loss(line, NOT_WRITTEN).requests += line.left_out

    def _is_cut(self, line: LogLine) -> bool:
        return _identity(line) in self._cut

    def _loss(self, line: LogLine, reason: str) -> Loss:
        """Return the row of a line's second and a reason."""
        assert self._begin is not None
        second = int((line.time - self._begin).total_seconds())
        return self._losses.setdefault((second, reason), Loss(second, reason))


def _identity(line: LogLine) -> tuple[str, str]:
    """Return what tells a request of one VM from others."""
    return line.vm, str(line.fields.get("id", ""))


def _kind(path: str) -> str:
    """Return the first part of a path, by which routes differ."""
    parts = path.split("?")[0].split("/")
    return f"/{parts[1]}/" if len(parts) > 1 else path
