"""Taking over what other VMs held: who has let go, and whose lease has lapsed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import DRIFT

if TYPE_CHECKING:
    from berylstage_ownership.assignment import Assignment, Prior

LAPSES_KEPT = 16
"""Revisions per holder of which the end of its lease is remembered."""

DRAIN_TRUST = 0.5
"""Seconds for which the word of a prior counts that its work still goes on."""


class ClaimRound:
    """One round of promises for one revision.

    Parameters
    ----------
    assignment : Assignment
        Assignment in force here when the round began.
    holders : list of (str, int)
        VM and incarnation of each prior asked about.
    """

    def __init__(self, assignment: Assignment, holders: list[tuple[str, int]]):
        self.revision = assignment.revision
        self.electorate_version = assignment.electorate_version
        self.holders = holders
        self._electorate = list(assignment.electorate)
        self._majority = assignment.majority
        self._ends: dict[str, list[float]] = {}

    def missing(self) -> list[str]:
        """Return the electors that have not promised."""
        return [name for name in self._electorate if name not in self._ends]

    def promised(self, elector: str, now: float, remaining: list[float]) -> None:
        """Count an elector's promise.

        Parameters
        ----------
        elector : str
        now : float
            When the reply came.
        remaining : list of float
            Seconds, for each holder, that the elector's confirmations last.
        """
        if elector in self._electorate and len(remaining) == len(self.holders):
            # This VM's clock may run faster than the elector's.
            self._ends[elector] = [now + left * (1 + DRIFT) for left in remaining]

    @property
    def complete(self) -> bool:
        """Whether a majority has promised."""
        return len(self._ends) >= self._majority

    def lapsed_at(self, holder: tuple[str, int]) -> float | None:
        """Return when a holder's lease below the revision ends for certain.

        Parameters
        ----------
        holder : (str, int)

        Returns
        -------
        float or None
            None when the round says nothing on it yet.
        """
        if not self.complete or holder not in self.holders:
            return None
        index = self.holders.index(holder)
        ends = sorted(ends[index] for ends in self._ends.values())
        return ends[self._majority - 1]


class Takeover:
    """What is known of the priors of this VM's shards and targets."""

    def __init__(self) -> None:
        self.round: ClaimRound | None = None
        # When a holder's lease below a revision had ended: facts that stay true.
        self._lapsed: dict[tuple[str, int], dict[int, float]] = {}
        self._released: set[tuple[str, Prior]] = set()
        self._draining_at: dict[tuple[str, int], float] = {}

    def begin(self, assignment: Assignment, priors: set[Prior]) -> None:
        """Start a round of claims if the priors need one.

        Parameters
        ----------
        assignment : Assignment
            Assignment in force here.
        priors : set of Prior
            Priors that have not let go.
        """
        unknown = [prior for prior in priors if self.lapse(prior) is None]
        if not unknown:
            return
        if self._round_covers(assignment, unknown):
            return
        holders = sorted({(prior.vm, prior.incarnation) for prior in priors})
        self.round = ClaimRound(assignment, holders)

    def _round_covers(self, assignment: Assignment, priors: list[Prior]) -> bool:
        """Tell whether the running round answers for some priors."""
        current = self.round
        if current is None or current.complete:
            return False
        if current.electorate_version != assignment.electorate_version:
            return False
        return all(
            prior.until <= current.revision
            and (prior.vm, prior.incarnation) in current.holders
            for prior in priors
        )

    def promised(
        self, revision: int, elector: str, now: float, remaining: list[float]
    ) -> None:
        """Count a promise for a revision and note what it settles."""
        current = self.round
        if current is None or current.revision != revision:
            return
        current.promised(elector, now, remaining)
        if not current.complete:
            return
        for holder in current.holders:
            ends = current.lapsed_at(holder)
            if ends is not None:
                self._note_lapse(holder, revision, ends)

    def lapse(self, prior: Prior) -> float | None:
        """Return when a prior's lease below its revision ends, if that is known."""
        facts = self._lapsed.get((prior.vm, prior.incarnation), {})
        known = [ends for revision, ends in facts.items() if revision >= prior.until]
        return min(known, default=None)

    def _note_lapse(self, holder: tuple[str, int], revision: int, ends: float) -> None:
        """Keep when a holder's lease below a revision ends."""
        facts = self._lapsed.setdefault(holder, {})
        facts[revision] = ends
        while len(facts) > LAPSES_KEPT:
            del facts[min(facts)]

    def released(self, item: str, prior: Prior) -> None:
        """Note that a prior itself has let go of a shard or target."""
        self._released.add((item, prior))

    def draining(self, now: float, prior: Prior) -> None:
        """Note that a living prior knows of its loss and has not let go yet."""
        self._draining_at[prior.vm, prior.incarnation] = now

    def is_draining(self, now: float, prior: Prior) -> bool:
        """Tell whether a prior said a moment ago that its work goes on.

        Its lease below the revision may have lapsed by then; but its target still
        works on what was let in before, and a second target must not start.
        """
        said_at = self._draining_at.get((prior.vm, prior.incarnation))
        return said_at is not None and now - said_at < DRAIN_TRUST

    def has_released(self, item: str, prior: Prior) -> bool:
        """Tell whether a prior itself has let go of a shard or target."""
        return (item, prior) in self._released

    def forget(self, wanted: set[tuple[str, Prior]]) -> None:
        """Keep only answers that are still waited for or acted on."""
        self._released &= wanted
