"""Which requests were lost, when and why, from the log lines of all VMs.

A VM writes a line for each request that ends without a target's answer, up to a bound;
lines beyond it are counted in the next one. Summed up over all VMs they show in which
seconds requests were lost, for which reason, and what was full or away.
"""

from __future__ import annotations

import re
from collections import Counter
from typing import TYPE_CHECKING

from berylstage_cli.log_lines import Reader

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
        Of the log lines, or ``NOT_WRITTEN``.

    Attributes
    ----------
    requests : int
    causes, kinds, vms : Counter
        What was full or away, the first part of the requests' paths, and the VMs.
    """

    __slots__ = ("causes", "kinds", "reason", "requests", "second", "vms")

    def __init__(self, second: int, reason: str):
        self.second = second
        self.reason = reason
        self.requests = 0
        self.causes: Counter[str] = Counter()
        self.kinds: Counter[str] = Counter()
        self.vms: Counter[str] = Counter()

    def add(self, line: LogLine) -> None:
        """Count the request of a line."""
        self.requests += 1
        self.vms[line.vm] += 1
        self.kinds[_kind(str(line.fields.get("path", "")))] += 1
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
    """

    __slots__ = ("answered", "rows", "unreadable")

    def __init__(self, rows: list[Loss], answered: int, unreadable: int):
        self.rows = rows
        self.answered = answered
        self.unreadable = unreadable

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
    lines = list(reader.read(texts))
    begin = min((line.time for line in lines), default=None)
    found: dict[tuple[int, str], Loss] = {}
    answered = 0
    for line in lines:
        if line.message == "request answered":
            answered += 1 + line.left_out
        if line.message != "request ended" or begin is None:
            continue
        second = int((line.time - begin).total_seconds())
        reason = str(line.fields.get("reason", ""))
        found.setdefault((second, reason), Loss(second, reason)).add(line)
        if line.left_out:
            # Which reasons these had, nobody knows.
            unknown = (second, NOT_WRITTEN)
            found.setdefault(unknown, Loss(*unknown)).requests += line.left_out
    rows = sorted(found.values(), key=lambda row: (row.second, -row.requests))
    return Losses(rows, answered, reader.unreadable)


def _kind(path: str) -> str:
    """Return the first part of a path, by which routes differ."""
    parts = path.split("?")[0].split("/")
    return f"/{parts[1]}/" if len(parts) > 1 else path
