"""Record of VMs that lose their links to targets, and checks of how callers fare."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

# Seconds from the beginning of a cut until callers at the cut VMs must be served.
CONTACT_SECONDS = 3.0
# Share of the others' rate of success that callers at the cut VMs must get, and the
# failures that are tolerated: a number, and a share of all requests.
MIN_RELATIVE_SUCCESS = 2 / 3
TOLERATED_FAILURES = 10
TOLERATED_FAILURE_SHARE = 1 / 50
STATUS_OK = 200


class Outcome:
    """A request's VM, when it was sent, and the status that its caller got."""

    __slots__ = ("sent_at", "status", "vm")

    def __init__(self, vm: str, sent_at: float, status: int):
        self.vm = vm
        self.sent_at = sent_at
        self.status = status


class Tally:
    """Numbers of requests and of those that were served."""

    __slots__ = ("served", "total")

    def __init__(self, outcomes: Iterable[Outcome]):
        statuses = [outcome.status for outcome in outcomes]
        self.total = len(statuses)
        self.served = statuses.count(STATUS_OK)

    @property
    def failed(self) -> int:
        """Number of requests that were not served."""
        return self.total - self.served

    def __str__(self) -> str:
        return f"{self.served} of {self.total}"


class Cut:
    """VMs that have lost their links to some or all targets for a period.

    Parameters
    ----------
    vms : frozenset of str
    what : str
        Description of the cut.
    start : float
        Monotonic seconds.
    """

    __slots__ = ("end", "start", "vms", "what")

    def __init__(self, vms: frozenset[str], what: str, start: float):
        self.vms = vms
        self.what = what
        self.start = start
        self.end = start

    def split(self, outcomes: Iterable[Outcome]) -> tuple[Tally, Tally]:
        """Return the tallies of the cut VMs and of the others, once it has settled."""
        settled = [
            o for o in outcomes if self.start + CONTACT_SECONDS <= o.sent_at < self.end
        ]
        return (
            Tally(o for o in settled if o.vm in self.vms),
            Tally(o for o in settled if o.vm not in self.vms),
        )


class CutLedger:
    """Record of cuts, checked after the run."""

    def __init__(self) -> None:
        self._cuts: list[Cut] = []

    def record_begin(self, vms: Iterable[str], what: str) -> Cut:
        """Record that VMs lose their links, and return the cut."""
        cut = Cut(frozenset(vms), what, time.monotonic())
        self._cuts.append(cut)
        return cut

    def record_end(self, cut: Cut) -> None:
        """Record that the links of a cut work again."""
        cut.end = time.monotonic()

    def describe(self, outcomes: list[Outcome]) -> list[str]:
        """Return a line for each cut with what callers were served."""
        return [_describe(cut, *cut.split(outcomes)) for cut in self._cuts]

    def find_violations(
        self, outcomes: list[Outcome], is_disturbed: Callable[[Cut], bool]
    ) -> list[str]:
        """Return a description of each cut in which callers were served badly.

        Parameters
        ----------
        outcomes : list of Outcome
        is_disturbed : callable
            Tells whether another fault befell VMs or store during a cut.
        """
        return [
            _describe(cut, inside, outside)
            for cut in self._cuts
            if not is_disturbed(cut)
            for inside, outside in [cut.split(outcomes)]
            if _is_unequal(inside, outside) or _harms_others(inside, outside)
        ]


def _is_unequal(inside: Tally, outside: Tally) -> bool:
    """Tell whether callers of the cut VMs fare much worse than those of the others."""
    if not inside.total or not outside.total:
        return False
    relative = (inside.served / inside.total) / max(
        1e-9, outside.served / outside.total
    )
    return relative < MIN_RELATIVE_SUCCESS and inside.failed > _tolerated(
        inside, outside
    )


def _harms_others(inside: Tally, outside: Tally) -> bool:
    """Tell whether the cut VMs take the targets from callers of the others."""
    return outside.failed > _tolerated(inside, outside)


def _tolerated(inside: Tally, outside: Tally) -> float:
    total = inside.total + outside.total
    return TOLERATED_FAILURES + TOLERATED_FAILURE_SHARE * total


def _describe(cut: Cut, inside: Tally, outside: Tally) -> str:
    return (
        f"{cut.what} from {cut.start:.2f} to {cut.end:.2f}: served {inside} at "
        f"{', '.join(sorted(cut.vms))}, {outside} at the others"
    )
