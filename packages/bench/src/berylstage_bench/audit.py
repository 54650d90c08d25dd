"""Checks of the targets' ledgers against what callers were told."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from berylstage_standins.call_record import CallOutcome
from berylstage_standins.ledger import check, read_ledger

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from berylstage_standins.ledger import Closure, Findings, Ledger

    from berylstage_bench.attempts import Request


def audit(
    folder: Path, requests: list[Request], closures: Iterable[Closure]
) -> Findings:
    """Check all ledgers of a trial.

    To what the ledgers show by themselves it adds what only the callers know: which
    orders were the same though a refusal let the caller send them as new ones, and
    which single attempts were refused.

    Parameters
    ----------
    folder : Path
        Holds the ledgers.
    requests : list of Request
    closures : iterable of Closure

    Returns
    -------
    Findings
    """
    ledgers = [read_ledger(path) for path in sorted(folder.glob("*.ledger"))]
    calls = [attempt.record for req in requests for attempt in req.attempts]
    found = check(ledgers, closures, calls)
    found.broken[found.RUN_TWICE] += _run_twice(ledgers, requests)
    found.broken[found.NOT_RUN] += _refused_but_run(ledgers, requests)
    return found


def _run_twice(ledgers: list[Ledger], requests: list[Request]) -> list[str]:
    """Return the unrepeatable requests that took effect under two keys."""
    once = {req.digest for req in requests if not req.repeatable}
    ran = {
        (run.digest, run.idempotency_key)
        for ledger in ledgers
        for run in ledger.runs
        if run.digest in once
    }
    counts = Counter(digest for digest, _ in ran)
    return [f"request with digest {d}" for d, count in counts.items() if count > 1]


def _refused_but_run(ledgers: list[Ledger], requests: list[Request]) -> list[str]:
    """Return the attempts that were called *not run* and took effect.

    The leading VM adds ``#`` and a number to the caller's request id.
    """
    ran = {
        run.request_id.partition("#")[0] for ledger in ledgers for run in ledger.runs
    }
    return [
        f"attempt {attempt.request_id}"
        for req in requests
        for attempt in req.attempts
        if attempt.outcome is CallOutcome.NOT_RUN and attempt.request_id in ran
    ]
