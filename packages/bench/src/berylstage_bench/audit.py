"""Checks the ledgers of the targets against what must always hold."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from typing import TYPE_CHECKING

from berylstage_sheet.configuration import Ownership
from berylstage_standins.ledger import COLD_BOUND_BROKEN, RAN

from berylstage_bench.attempts import Outcome

if TYPE_CHECKING:
    from collections.abc import Iterable
    from pathlib import Path

    from berylstage_sheet.configuration import Configuration

    from berylstage_bench.attempts import Attempt

DONE = "done"
# Seconds after the acceptance of a sheet in which a closed data centre may still get
# work (the brief: "a few seconds").
CLOSING_GRACE = 3.0


class Run:
    """Work that a target began.

    Parameters
    ----------
    target : str
    fields : dict
        The line of the ledger.
    """

    __slots__ = (
        "target",
        "outcome",
        "request_id",
        "service",
        "kind",
        "key",
        "fence",
        "digest",
        "start",
        "end",
        "start_wall",
    )

    def __init__(self, target: str, fields: dict):
        self.target = target
        self.outcome = fields["outcome"]
        self.request_id = fields["request_id"]
        self.service = fields["service"]
        self.kind = fields["kind"]
        self.key = fields["key"]
        self.fence = fields["fence"]
        self.digest = fields["digest"]
        self.start = fields["start"]
        self.end = fields["end"]
        self.start_wall = fields["start_wall"]


class Closure:
    """A time during which a data centre was closed.

    Parameters
    ----------
    data_centre : str
    accepted, reopened : float
        Unix seconds at which the sheets were accepted.
    """

    __slots__ = ("data_centre", "accepted", "reopened")

    def __init__(self, data_centre: str, accepted: float, reopened: float):
        self.data_centre = data_centre
        self.accepted = accepted
        self.reopened = reopened


class Ledgers:
    """What all targets of an installation wrote down.

    Parameters
    ----------
    cfg : Configuration
    folder : Path
        Holds one ``<target>.ledger`` for each target.
    """

    def __init__(self, cfg: Configuration, folder: Path):
        self._cfg = cfg
        self.runs: list[Run] = []
        self.cold_bounds_broken = 0
        for name in cfg.targets:
            self._read(name, folder / f"{name}.ledger")

    def _read(self, target: str, path: Path) -> None:
        for line in path.read_bytes().splitlines(keepends=True):
            if not line.endswith(b"\n"):
                # The target was killed while it wrote; the work has no effect.
                continue
            fields = json.loads(line)
            if fields["event"] == RAN:
                self.runs.append(Run(target, fields))
            elif fields["event"] == COLD_BOUND_BROKEN:
                self.cold_bounds_broken += 1

    @property
    def done(self) -> list[Run]:
        """Work that took effect."""
        return [run for run in self.runs if run.outcome == DONE]

    def run_twice(self) -> list[str]:
        """Return the digests of unrepeatable requests that took effect twice."""
        counts = Counter(
            run.digest
            for run in self.done
            if not self._cfg.services[run.service].kinds[run.kind].repeatable
        )
        return [digest for digest, count in counts.items() if count > 1]

    def two_owners(self) -> list[str]:
        """Return the keys with work that only two owners at a time explain.

        Two targets worked for the key at the same time, or one took effect under an
        older fence token than work that had ended before.
        """
        by_key: dict[tuple[str, str], list[Run]] = defaultdict(list)
        for run in self.done:
            if self._cfg.services[run.service].ownership is Ownership.OWNED:
                by_key[run.service, run.key].append(run)
        return [
            f"{service}/{key}"
            for (service, key), runs in by_key.items()
            if _overlapping(runs) or _fence_fell(runs)
        ]

    def in_closed(self, closures: Iterable[Closure]) -> list[Run]:
        """Return the work begun in a closed data centre after the grace."""
        return [
            run
            for closure in closures
            for run in self.runs
            if self._cfg.targets[run.target].data_centre == closure.data_centre
            and closure.accepted + CLOSING_GRACE < run.start_wall < closure.reopened
        ]

    def refused_but_run(self, attempts: Iterable[Attempt]) -> list[str]:
        """Return the ids of attempts that were called *not run* and took effect."""
        refused = {a.request_id for a in attempts if a.outcome is Outcome.NOT_RUN}
        return sorted(refused.intersection(self._effective_ids()))

    def answered_but_not_run(self, attempts: Iterable[Attempt]) -> list[str]:
        """Return the digests of answered requests of which no ledger knows."""
        answered = {a.digest for a in attempts if a.outcome is Outcome.ANSWERED}
        return sorted(answered.difference(run.digest for run in self.done))

    def _effective_ids(self) -> set[str]:
        """Return the callers' request ids of all work that took effect.

        The leading VM adds ``#`` and a number to the id of each sending.
        """
        return {run.request_id.partition("#")[0] for run in self.done}


def _overlapping(runs: list[Run]) -> bool:
    """Tell whether two targets worked at the same time."""
    busy_until: dict[str, float] = {}
    for run in sorted(runs, key=lambda run: run.start):
        for target, end in busy_until.items():
            if target != run.target and end > run.start:
                return True
        busy_until[run.target] = max(run.end, busy_until.get(run.target, 0.0))
    return False


def _fence_fell(runs: list[Run]) -> bool:
    """Tell whether work took effect under an older fence token than earlier work."""
    newest = 0
    for run in sorted(runs, key=lambda run: run.end):
        if run.fence < newest:
            return True
        newest = run.fence
    return False
