"""Reads the targets' ledgers and checks invariants on them."""

from __future__ import annotations

import argparse
import json
import sys
from collections import Counter, defaultdict
from itertools import pairwise
from pathlib import Path
from typing import TYPE_CHECKING

from berylstage_standins.call_record import CERTAIN, CallOutcome, CallRecord, read_calls
from berylstage_standins.ledger_writer import COLD_BOUND_BROKEN, RAN, STARTED
from berylstage_standins.work import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable

# A closed data centre must receive no new work a few seconds after its closure.
GRACE_SECONDS = 3.0
# Violations printed for each invariant.
MAX_PRINTED_VIOLATIONS = 5


class Run:
    """Execution of a request that took effect on a target.

    Parameters
    ----------
    target, data_centre : str
    doc : dict
        Parsed line of the ledger.
    """

    __slots__ = (
        "arrived_wall",
        "data_centre",
        "digest",
        "end",
        "fence",
        "idempotency_key",
        "key",
        "request_id",
        "service",
        "start",
        "target",
    )

    def __init__(self, target: str, data_centre: str, doc: dict):
        self.target = target
        self.data_centre = data_centre
        self.service: str = doc["service"]
        self.key: str = doc["key"]
        self.request_id: str = doc["request_id"]
        self.idempotency_key: str = doc["idempotency_key"]
        self.digest: str = doc["digest"]
        self.fence: int = doc["fence"]
        self.arrived_wall: float = doc["arrived_wall"]
        self.start: float = doc["start"]
        self.end: float = doc["end"]

    def __str__(self) -> str:
        return f"{self.request_id} on {self.target} (fence {self.fence})"


class Ledger:
    """Contents of one target's ledger.

    Parameters
    ----------
    data_centre : str
    runs : list of Run
        Executions that took effect, in the order of the ledger.
    cold_bounds_broken : int
        Number of times that the target received more jobs than its cold bound.
    starts : int
        Number of starts of the target's process.
    """

    __slots__ = ("cold_bounds_broken", "data_centre", "runs", "starts")

    def __init__(
        self, data_centre: str, runs: list[Run], cold_bounds_broken: int, starts: int
    ):
        self.data_centre = data_centre
        self.runs = runs
        self.cold_bounds_broken = cold_bounds_broken
        self.starts = starts


class Closure:
    """Period during which operators kept a data centre closed.

    Parameters
    ----------
    data_centre : str
    begin, end : float
        Unix times in seconds at which the sheets that closed and reopened it were
        accepted; ``end`` is infinite if it stayed closed.
    """

    __slots__ = ("begin", "data_centre", "end")

    def __init__(self, data_centre: str, begin: float, end: float = float("inf")):
        self.data_centre = data_centre
        self.begin = begin
        self.end = end


class Findings:
    """Violations of the invariants.

    Attributes
    ----------
    runs : int
        Number of executions that took effect.
    broken : dict of str to list of str
        Descriptions of the violations by invariant; empty lists for those that hold.
    """

    RUN_TWICE = "run twice"
    TWO_OWNERS = "two owners"
    FENCE_REGRESSION = "older fence after newer"
    CLOSED = "work in a closed data centre"
    COLD = "cold bounds broken"
    NOT_RUN = "said not run, but ran"
    NO_RUN = "answered, but did not run"
    NOT_OWN = "another request's answer"

    __slots__ = ("broken", "runs")

    def __init__(self, runs: int):
        self.runs = runs
        self.broken: dict[str, list[str]] = {
            name: []
            for name in (
                self.RUN_TWICE,
                self.TWO_OWNERS,
                self.FENCE_REGRESSION,
                self.CLOSED,
                self.COLD,
                self.NOT_RUN,
                self.NO_RUN,
                self.NOT_OWN,
            )
        }

    def hold(self) -> bool:
        """Return whether all invariants hold."""
        return not any(self.broken.values())

    def lines(self) -> list[str]:
        """Return the findings as lines of human-readable text."""
        lines = [f"{'runs':<28} {self.runs:>8}"]
        for name, sentences in self.broken.items():
            lines.append(f"{name:<28} {len(sentences):>8}")
            lines.extend(
                f"    {sentence}" for sentence in sentences[:MAX_PRINTED_VIOLATIONS]
            )
        return lines


def read_ledger(path: Path) -> Ledger:
    """Read one target's ledger.

    An incomplete last line, left by a killed process, is skipped: the answer for it was
    never sent.

    Parameters
    ----------
    path : Path

    Returns
    -------
    Ledger
    """
    runs = []
    cold_bounds_broken = 0
    starts = 0
    target = ""
    data_centre = ""
    for line in path.read_bytes().splitlines(keepends=True):
        if not line.endswith(b"\n"):
            break
        doc = json.loads(line)
        if doc["event"] == STARTED:
            starts += 1
            target, data_centre = doc["target"], doc["data_centre"]
        elif doc["event"] == COLD_BOUND_BROKEN:
            cold_bounds_broken += 1
        elif doc["event"] == RAN and doc["outcome"] == Outcome.DONE.value:
            runs.append(Run(target, data_centre, doc))
    return Ledger(data_centre, runs, cold_bounds_broken, starts)


def check(
    ledgers: Iterable[Ledger],
    closures: Iterable[Closure] = (),
    calls: Iterable[CallRecord] = (),
    grace: float = GRACE_SECONDS,
) -> Findings:
    """Check the ledgers and the callers' records against the invariants.

    Parameters
    ----------
    ledgers : iterable of Ledger
        Ledgers of all targets. The targets must share one machine, since their
        monotonic times are compared.
    closures : iterable of Closure
    calls : iterable of CallRecord
        All attempts of all callers.
    grace : float
        Seconds after a closure during which work may still arrive.

    Returns
    -------
    Findings

    Raises
    ------
    ValueError
        A closure names a data centre that is in no ledger, so that the check could
        not detect a violation there.
    """
    ledgers = list(ledgers)
    closures = list(closures)
    _check_data_centres(ledgers, closures)
    runs = [run for ledger in ledgers for run in ledger.runs]
    found = Findings(len(runs))
    _check_idempotency(runs, found)
    _check_owners(runs, found)
    _check_closures(runs, closures, grace, found)
    _check_calls(runs, list(calls), found)
    for ledger in ledgers:
        found.broken[found.COLD] += ["received too much"] * ledger.cold_bounds_broken
    return found


def _check_data_centres(ledgers: list[Ledger], closures: list[Closure]) -> None:
    known = {ledger.data_centre for ledger in ledgers}
    for closure in closures:
        if closure.data_centre not in known:
            raise ValueError(
                f"data centre {closure.data_centre!r} is in no target's ledger; "
                "start the targets with --data-centre"
            )


def _check_idempotency(runs: list[Run], found: Findings) -> None:
    by_key = defaultdict(list)
    for run in runs:
        if run.idempotency_key:
            by_key[run.service, run.idempotency_key].append(run)
    for (_, key), same in by_key.items():
        if len(same) > 1:
            where = ", ".join(map(str, same))
            found.broken[found.RUN_TWICE].append(f"{key}: {where}")


def _check_owners(runs: list[Run], found: Findings) -> None:
    by_key = defaultdict(list)
    for run in runs:
        # Work without a fence token belongs to a service without key ownership.
        if run.fence:
            by_key[run.service, run.key].append(run)
    for (service, key), same in by_key.items():
        name = f"{service}/{key}"
        _check_overlaps(name, same, found)
        _check_fences(name, same, found)


def _check_overlaps(name: str, runs: list[Run], found: Findings) -> None:
    """Find executions for one key that overlap in time on two targets."""
    latest: dict[str, Run] = {}
    for run in sorted(runs, key=lambda run: run.start):
        for other in latest.values():
            if other.target != run.target and other.end > run.start:
                found.broken[found.TWO_OWNERS].append(f"{name}: {other} and {run}")
        previous = latest.get(run.target)
        if previous is None or previous.end < run.end:
            latest[run.target] = run


def _check_fences(name: str, runs: list[Run], found: Findings) -> None:
    """Find executions with an older fence token that end after newer ones."""
    ordered = sorted(runs, key=lambda run: run.end)
    for before, after in pairwise(ordered):
        if after.fence < before.fence:
            found.broken[found.FENCE_REGRESSION].append(
                f"{name}: {before}, then {after}"
            )


def _check_closures(
    runs: list[Run], closures: Iterable[Closure], grace: float, found: Findings
) -> None:
    for closure in closures:
        for run in runs:
            if run.data_centre != closure.data_centre:
                continue
            if closure.begin + grace <= run.arrived_wall < closure.end:
                late = run.arrived_wall - closure.begin
                found.broken[found.CLOSED].append(f"{run}, {late:.1f} s after closing")


def _check_calls(runs: list[Run], calls: list[CallRecord], found: Findings) -> None:
    ran = Counter(run.digest for run in runs)
    uncertain = {call.digest for call in calls if call.outcome not in CERTAIN}
    for digest in {call.digest for call in calls}:
        if ran[digest] and digest not in uncertain:
            found.broken[found.NOT_RUN].append(f"request with digest {digest}")
    for call in calls:
        if call.outcome is not CallOutcome.ANSWERED:
            continue
        if not call.own:
            found.broken[found.NOT_OWN].append(f"{call.kind} {call.key} by {call.vm}")
        elif not ran[call.digest]:
            found.broken[found.NO_RUN].append(f"{call.kind} {call.key} by {call.vm}")


def _parse_closure(text: str) -> Closure:
    """Parse ``data-centre=begin`` or ``data-centre=begin:end``."""
    name, _, times = text.partition("=")
    begin, _, end = times.partition(":")
    return Closure(name, float(begin), float(end or "inf"))


def main() -> int:
    """Print the findings and return the exit status: 1 if an invariant is violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ledgers", nargs="+", type=Path)
    parser.add_argument("--calls", action="append", default=[], type=Path)
    parser.add_argument(
        "--closed",
        action="append",
        default=[],
        type=_parse_closure,
        metavar="DATA_CENTRE=BEGIN[:END]",
        help="seconds since 1970 in which a data centre was closed",
    )
    parser.add_argument("--grace", type=float, default=GRACE_SECONDS, help="seconds")
    args = parser.parse_args()
    calls = [call for path in args.calls for call in read_calls(path)]
    ledgers = [read_ledger(path) for path in args.ledgers]
    found = check(ledgers, args.closed, calls, args.grace)
    print("\n".join(found.lines()))
    return 0 if found.hold() else 1


if __name__ == "__main__":
    sys.exit(main())
