"""Reading the targets' ledgers and checking what must always hold."""

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

# Seconds after its closing in which a data centre may still get work, from the
# brief: "receives no new work a few seconds later".
GRACE = 3.0
# Findings of one kind that the report spells out.
MAX_SHOWN = 5


class Run:
    """One piece of work that took effect on a target.

    Parameters
    ----------
    target, data_centre : str
    doc : dict
        The line of the ledger.
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
    """What one target's ledger tells.

    Parameters
    ----------
    data_centre : str
    runs : list of Run
        Work that took effect, in its order.
    cold_bounds_broken : int
    starts : int
        Runs of the target's process.
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
    """A time in which operators kept a data centre closed.

    Parameters
    ----------
    data_centre : str
    begin, end : float
        Seconds since 1970, from the accepted sheet that closed it to the one that
        opened it; infinite when it stayed closed.
    """

    __slots__ = ("begin", "data_centre", "end")

    def __init__(self, data_centre: str, begin: float, end: float = float("inf")):
        self.data_centre = data_centre
        self.begin = begin
        self.end = end


class Findings:
    """Everything that broke an invariant, as sentences by invariant.

    Attributes
    ----------
    runs : int
        Pieces of work that took effect.
    broken : dict of str to list of str
        Sentences by invariant; the lists are empty when it held.
    """

    RUN_TWICE = "run twice"
    TWO_OWNERS = "two owners"
    FENCES_BACK = "older fence after newer"
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
                self.FENCES_BACK,
                self.CLOSED,
                self.COLD,
                self.NOT_RUN,
                self.NO_RUN,
                self.NOT_OWN,
            )
        }

    def hold(self) -> bool:
        """Tell whether every invariant held."""
        return not any(self.broken.values())

    def lines(self) -> list[str]:
        """Return the findings as lines for a person."""
        lines = [f"{'runs':<28} {self.runs:>8}"]
        for name, sentences in self.broken.items():
            lines.append(f"{name:<28} {len(sentences):>8}")
            lines.extend(f"    {sentence}" for sentence in sentences[:MAX_SHOWN])
        return lines


def read_ledger(path: Path) -> Ledger:
    """Read one target's ledger.

    A last line that was cut off by a kill is left out: its answer never went out.

    Parameters
    ----------
    path : Path

    Returns
    -------
    Ledger
    """
    runs = []
    broken = 0
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
            broken += 1
        elif doc["event"] == RAN and doc["outcome"] == Outcome.DONE.value:
            runs.append(Run(target, data_centre, doc))
    return Ledger(data_centre, runs, broken, starts)


def check(
    ledgers: Iterable[Ledger],
    closures: Iterable[Closure] = (),
    calls: Iterable[CallRecord] = (),
    grace: float = GRACE,
) -> Findings:
    """Check the ledgers, and what callers got, against what must always hold.

    Parameters
    ----------
    ledgers : iterable of Ledger
        Of all targets, on one machine, since times are compared.
    closures : iterable of Closure
    calls : iterable of CallRecord
        All attempts of all callers.
    grace : float
        Seconds after a closing in which work may still arrive.

    Returns
    -------
    Findings

    Raises
    ------
    ValueError
        A closure names a data centre that no ledger names, so that nothing could be
        found there.
    """
    ledgers = list(ledgers)
    closures = list(closures)
    _check_names(ledgers, closures)
    runs = [run for ledger in ledgers for run in ledger.runs]
    found = Findings(len(runs))
    _check_idempotency(runs, found)
    _check_owners(runs, found)
    _check_closures(runs, closures, grace, found)
    _check_calls(runs, list(calls), found)
    for ledger in ledgers:
        found.broken[found.COLD] += ["received too much"] * ledger.cold_bounds_broken
    return found


def _check_names(ledgers: list[Ledger], closures: list[Closure]) -> None:
    known = {ledger.data_centre for ledger in ledgers}
    for closure in closures:
        if closure.data_centre not in known:
            raise ValueError(
                f"no target's ledger names the data centre {closure.data_centre!r}; "
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
        # Work without a fence token is that of a service whose keys nobody owns.
        if run.fence:
            by_key[run.service, run.key].append(run)
    for (service, key), same in by_key.items():
        name = f"{service}/{key}"
        _check_overlaps(name, same, found)
        _check_fences(name, same, found)


def _check_overlaps(name: str, runs: list[Run], found: Findings) -> None:
    """Find runs on two targets at the same time."""
    latest: dict[str, Run] = {}
    for run in sorted(runs, key=lambda run: run.start):
        for other in latest.values():
            if other.target != run.target and other.end > run.start:
                found.broken[found.TWO_OWNERS].append(f"{name}: {other} and {run}")
        held = latest.get(run.target)
        if held is None or held.end < run.end:
            latest[run.target] = run


def _check_fences(name: str, runs: list[Run], found: Findings) -> None:
    """Find effects under an older fence token after those under a newer one."""
    ordered = sorted(runs, key=lambda run: run.end)
    for before, after in pairwise(ordered):
        if after.fence < before.fence:
            found.broken[found.FENCES_BACK].append(f"{name}: {before}, then {after}")


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


def _closure(text: str) -> Closure:
    """Read ``data-centre=begin`` or ``data-centre=begin:end``."""
    name, _, times = text.partition("=")
    begin, _, end = times.partition(":")
    return Closure(name, float(begin), float(end or "inf"))


def main() -> int:
    """Print the findings and return the exit status: 1 when an invariant broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("ledgers", nargs="+", type=Path)
    parser.add_argument("--calls", action="append", default=[], type=Path)
    parser.add_argument(
        "--closed",
        action="append",
        default=[],
        type=_closure,
        metavar="DATA_CENTRE=BEGIN[:END]",
        help="seconds since 1970 in which a data centre was closed",
    )
    parser.add_argument("--grace", type=float, default=GRACE, help="seconds")
    args = parser.parse_args()
    calls = [call for path in args.calls for call in read_calls(path)]
    ledgers = [read_ledger(path) for path in args.ledgers]
    found = check(ledgers, args.closed, calls, args.grace)
    print("\n".join(found.lines()))
    return 0 if found.hold() else 1


if __name__ == "__main__":
    sys.exit(main())
