"""The story of one request, from the log lines of all VMs.

A VM writes a line about a request when it ends, with what decided that. Why the target
or the assignment was as it was stands in other lines, often of other VMs: those are
found by the names in the request's own line, and put in the order of their times. Where
a stop of the VM cut the request, the lines of that stop belong to the story.
"""

from __future__ import annotations

import re
from datetime import timedelta
from typing import TYPE_CHECKING

from berylstage_cli.log_lines import Reader
from berylstage_cli.stops import cut_reason, number

if TYPE_CHECKING:
    from collections.abc import Iterable

    from berylstage_cli.log_lines import LogLine

# Seconds around the request's end in which other lines may have to do with it: the
# longest that keys wait for a silent owner after an outage is 11 s.
AROUND = 11.0
# Messages that tell of one VM's path to the store and of the duty of granting.
OF_THE_VM = (
    "store lost",
    "store regained",
    "links to targets lost",
    "links to targets back",
    "stopping",
    "started",
    "duty given up",
)
OF_A_STOP = ("stopping", "stop phase ended", "stopped")
OF_THE_DUTY = ("duty taken", "former holds", "store lost by the holder of the duty")

# What a reason means and what to look at next.
REASONS = {
    "owner-busy": "the owner of its key had more waiting than it could do in time; "
    "see whether keys moved for balance",
    "no-owner": "its key was on the move, or the owner was gone; see the move",
    "cold": "the owner is cold and this VM's share of its pace was used up",
    "no-target": "all targets of the service are closed, leaving or were tried",
    "no-room": "no target could be done in the time that was left",
    "stopping": "the VM stops and had no time left for it; other VMs serve it",
    "no-time": "the caller had too little time left when it came",
    "budget": "repeats for the service are used up; see why first attempts failed",
    "attempts": "as many targets were tried as its route allows",
    "unreachable": "no connection to any target that was tried; check the network",
    "no-configuration": "the VM had not read a configuration since its start",
    "no-service": "its route names a service that the configuration does not have",
    "timeout": "it was sent, and no answer came in its route's time; it may have run: "
    "look for its id in the target's own logs",
    "answer-lost": "it was sent and the connection broke, or the answer was not its "
    "own; it may have run: look for its id in the target's own logs",
    "caller-left": "the caller closed the connection before the answer",
    "cut while serving": "its VM stopped before the answer was there; it may have run: "
    "look for its id in the target's own logs",
    "cut while flushing": "its VM stopped before its caller had taken the answer; it "
    "has run, unless it was refused",
}


class Story:
    """What is known of one request.

    Parameters
    ----------
    lines : list of LogLine
        In the order of their times; the request's own and those that explain them.
    conclusions : list of str
        One for each end of the request.
    unreadable : int
        Lines of the input that are no log lines.
    """

    __slots__ = ("conclusions", "lines", "unreadable")

    def __init__(self, lines: list[LogLine], conclusions: list[str], unreadable: int):
        self.lines = lines
        self.conclusions = conclusions
        self.unreadable = unreadable


def tell(request: str, texts: Iterable[str]) -> Story:
    """Return the story of a request.

    Parameters
    ----------
    request : str
        Its id.
    texts : iterable of str
        Log lines of any VMs, in any order.

    Returns
    -------
    Story
        Without lines when nobody wrote of the request.
    """
    reader = Reader()
    lines = sorted(reader.read(texts), key=lambda line: line.time)
    own = [line for line in lines if line.fields.get("id") == request]
    clues = [
        _StopClues(line, lines) if line.message == "connection cut" else _Clues(line)
        for line in own
    ]
    told = [
        line for line in lines if line in own or any(clue.fits(line) for clue in clues)
    ]
    return Story(told, _conclusions(own), reader.unreadable)


class _Clues:
    """What a line about a request names that other lines may explain."""

    def __init__(self, line: LogLine):
        detail = str(line.fields.get("detail", ""))
        self._line = line
        self._targets = set(re.findall(r"(?:target|owner|former) ([^\s,]+)", detail))
        tried = re.search(r"tried (\S+)", detail)
        if tried:
            self._targets |= set(tried[1].split(","))
        if line.fields.get("target"):
            self._targets.add(line.fields["target"])
        key = re.search(r"key (\d+)", detail)
        revision = re.search(r"assignment (\d+)", detail)
        self._key = int(key[1]) if key else None
        self._revision = int(revision[1]) if revision else None

    def fits(self, line: LogLine) -> bool:
        """Tell whether a line may explain the request's end."""
        if abs((line.time - self._line.time).total_seconds()) > AROUND:
            return False
        fields = line.fields
        if line.message in OF_THE_VM:
            return line.vm == self._line.vm
        if line.message in OF_THE_DUTY:
            return self._key is not None
        if line.message == "assignment written":
            return fields.get("revision") == self._revision is not None
        if line.message == "keys moved":
            return self._key is not None and _covers(fields, self._key)
        if "id" in fields:
            return False
        if line.message == "belief changed" and line.vm != self._line.vm:
            # Each VM writes what it believes; the others' say nothing of this request.
            return False
        keys = [fields.get("key", ""), *fields.get("others", ())]
        named = {fields.get("target"), *(str(key).rpartition("/")[2] for key in keys)}
        return bool(named & self._targets)


class _StopClues:
    """The stop in which a VM cut a request."""

    def __init__(self, cut: LogLine, lines: list[LogLine]):
        begins = [
            line.time
            for line in lines
            if line.vm == cut.vm and line.message == "stopping"
        ]
        around = timedelta(seconds=AROUND)
        self._vm = cut.vm
        # Stops may take longer than anything else that a story looks back to.
        self._begin = max(
            (time for time in begins if time <= cut.time), default=cut.time - around
        )
        later = [time for time in begins if time > cut.time]
        self._end = min([cut.time + around, *later])

    def fits(self, line: LogLine) -> bool:
        """Tell whether a line is about this stop."""
        if line.vm != self._vm or line.message not in OF_A_STOP:
            return False
        return self._begin <= line.time < self._end


def _covers(fields: dict, key: int) -> bool:
    first, last = fields.get("first"), fields.get("last")
    return isinstance(first, int) and isinstance(last, int) and first <= key <= last


def _conclusions(own: list[LogLine]) -> list[str]:
    """Return how a request ended, from its own lines."""
    cut_by = {line.vm for line in own if cut_reason(line)}
    return [
        _conclude(line, own[:place])
        for place, line in enumerate(own)
        # The cut itself has the VM write that the caller has left.
        if line.vm not in cut_by or line.fields.get("reason") != "caller-left"
    ]


def _conclude(line: LogLine, before: list[LogLine]) -> str:
    if line.message == "connection cut":
        return _conclude_cut(line, before)
    if line.message == "request relayed":
        return _conclude_relayed(line)
    reason = line.fields.get("reason")
    status = line.fields.get("status")
    if reason is None:
        target = line.fields.get("target")
        return f"{status}: answered by {target}, attempt {line.fields.get('attempts')}"
    meaning = REASONS.get(str(reason), "the request cannot be served as it is")
    return f"{status} {reason}: {meaning}"


def _conclude_relayed(line: LogLine) -> str:
    """Return what a VM did with a request that another one could not send."""
    outcome = line.fields.get("outcome")
    cause = str(line.fields.get("cause") or "")
    return (
        f"{line.vm} sent it to {line.fields.get('target')} for "
        f"{line.fields.get('for')}: {outcome} {cause}".strip()
    )


def _conclude_cut(line: LogLine, before: list[LogLine]) -> str:
    reason = cut_reason(line)
    if reason is None:
        return f"its answer had left when {line.vm} cut its connection"
    had_ended = any(other.vm == line.vm for other in before)
    if line.fields.get("phase") == "serving" and had_ended:
        return (
            f"{line.vm} cut its connection while it read the request behind it; that "
            "one has not run"
        )
    left = int(number(line, "bytes_left"))
    return f"{reason} by {line.vm} with {left} bytes left: {REASONS[reason]}"
