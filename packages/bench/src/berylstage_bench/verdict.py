"""The table at the end of a trial: what callers got and what must always hold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_sheet.configuration import Ownership
from berylstage_standins.call_record import CallOutcome

from berylstage_bench.measures import Latencies, ends, longest_gap

if TYPE_CHECKING:
    from collections.abc import Iterator

    from berylstage_sheet.configuration import Configuration
    from berylstage_standins.ledger import Findings

    from berylstage_bench.attempts import Request

LABEL_WIDTH = 44
SHOWN_BREAKS = 3
SHOWN_ENDS = (CallOutcome.ANSWERED, CallOutcome.NOT_RUN, CallOutcome.UNKNOWN)


class Verdict:
    """What came of a trial.

    Parameters
    ----------
    cfg : Configuration
    requests : list of Request
    findings : Findings
    """

    def __init__(self, cfg: Configuration, requests: list[Request], findings: Findings):
        self.requests = requests
        self.findings = findings
        self.records = [a.record for req in requests for a in req.attempts]
        self.ends = ends(requests)
        self.gap = longest_gap(
            record
            for record in self.records
            if cfg.services[record.service].ownership is Ownership.OWNED
        )

    @property
    def holds(self) -> bool:
        """Whether everything that must hold did."""
        return bool(self.requests) and self.findings.hold()

    def lines(self) -> Iterator[str]:
        """Yield the lines of the table."""
        yield ""
        yield _row("requests", str(len(self.requests)))
        for outcome in SHOWN_ENDS:
            yield _row(f"  {outcome.value.replace('-', ' ')}", str(self.ends[outcome]))
        yield _row("attempts, retries of callers included", str(len(self.records)))
        yield from self._latency_lines()
        yield _row(
            "longest time a key was unavailable",
            f"{self.gap.seconds:.2f} s ({self.gap.key})",
        )
        for name, broken in self.findings.broken.items():
            yield _row(name, f"{len(broken)}{'  BROKEN' if broken else ''}")
            yield from (f"    {sentence}" for sentence in broken[:SHOWN_BREAKS])

    def _latency_lines(self) -> Iterator[str]:
        """Yield p50 and p99 of the answered requests, for each kind too."""
        answered = [r for r in self.requests if r.outcome is CallOutcome.ANSWERED]
        yield _latency_row("p50 and p99", answered)
        for kind in sorted({req.kind for req in answered}):
            yield _latency_row(f"  {kind}", [r for r in answered if r.kind == kind])


def _latency_row(label: str, requests: list[Request]) -> str:
    """Return a line with percentiles from the first sending to the answer."""
    latencies = Latencies(req.seconds for req in requests)
    return _row(label, f"{latencies.ms(50):.1f} ms, {latencies.ms(99):.1f} ms")


def _row(label: str, text: str) -> str:
    return f"{label:<{LABEL_WIDTH}}{text}"
