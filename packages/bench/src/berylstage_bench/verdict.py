"""The table at the end of a trial: what callers got and what must always hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.configuration import Ownership

from berylstage_bench.attempts import Outcome
from berylstage_bench.measures import Latencies, ends, longest_gap

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_sheet.configuration import Configuration

    from berylstage_bench.attempts import Attempt, Request
    from berylstage_bench.audit import Closure, Ledgers

LABEL_WIDTH = 44


class Invariant:
    """One thing that must hold, with what broke it.

    Parameters
    ----------
    name : str
    broken : list of str
        Empty when it held.
    """

    __slots__ = ("name", "broken")

    def __init__(self, name: str, broken: list[str]):
        self.name = name
        self.broken = broken


class Verdict:
    """What came of a trial.

    Parameters
    ----------
    cfg : Configuration
    requests : list of Request
    ledgers : Ledgers
    closures : list of Closure
    """

    def __init__(
        self,
        cfg: Configuration,
        requests: list[Request],
        ledgers: Ledgers,
        closures: list[Closure],
    ):
        self.requests = requests
        self.attempts: list[Attempt] = [a for req in requests for a in req.attempts]
        owned = [
            attempt
            for attempt in self.attempts
            if cfg.services[attempt.service].ownership is Ownership.OWNED
        ]
        self.gap = longest_gap(owned)
        wrong = [a for a in self.attempts if a.outcome is Outcome.WRONG_ANSWER]
        closed = ledgers.in_closed(closures)
        self.invariants = [
            Invariant("run twice", ledgers.run_twice()),
            Invariant("two owners", ledgers.two_owners()),
            Invariant(
                "work in a closed data centre after 3 s",
                [f"{run.target}: {run.request_id}" for run in closed],
            ),
            Invariant("said not run, but ran", ledgers.refused_but_run(self.attempts)),
            Invariant("answer of another request", [a.request_id for a in wrong]),
            Invariant(
                "answered, but in no ledger",
                ledgers.answered_but_not_run(self.attempts),
            ),
        ]

    @property
    def holds(self) -> bool:
        """Whether everything that must hold did."""
        return bool(self.requests) and not any(i.broken for i in self.invariants)

    def lines(self) -> Iterator[str]:
        """Yield the lines of the table."""
        counts = ends(self.requests)
        yield ""
        yield _row("requests", str(len(self.requests)))
        for outcome in (Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN):
            yield _row(f"  {outcome.value.replace('-', ' ')}", str(counts[outcome]))
        yield _row("attempts, retries of callers included", str(len(self.attempts)))
        yield from self._latency_lines()
        yield _row(
            "longest time a key was unavailable",
            f"{self.gap.seconds:.2f} s ({self.gap.key})",
        )
        for invariant in self.invariants:
            mark = "" if not invariant.broken else f"  BROKEN: {invariant.broken[:3]}"
            yield _row(invariant.name, f"{len(invariant.broken)}{mark}")

    def _latency_lines(self) -> Iterator[str]:
        """Yield p50 and p99 of the answered requests, for each kind too."""
        answered = [r for r in self.requests if r.outcome is Outcome.ANSWERED]
        yield _latency_row("p50 and p99", answered)
        for kind in sorted({req.kind for req in answered}):
            yield _latency_row(f"  {kind}", [r for r in answered if r.kind == kind])


def _latency_row(label: str, requests: list[Request]) -> str:
    """Return a line with percentiles from the first sending to the answer."""
    latencies = Latencies(req.seconds for req in requests)
    return _row(label, f"{latencies.ms(50):.1f} ms, {latencies.ms(99):.1f} ms")


def _row(label: str, text: str) -> str:
    return f"{label:<{LABEL_WIDTH}}{text}"
