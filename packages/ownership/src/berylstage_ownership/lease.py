"""The holder's side of a lease: which electors confirmed it, and until when."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import LEASE

if TYPE_CHECKING:
    from berylstage_ownership.assignment import Assignment


class Lease:
    """The lease of this VM.

    It ends by the holder's own clock, counted from when the requests left, which is
    before any elector confirmed them: an elector therefore still counts it when the
    holder has stopped.
    """

    def __init__(self) -> None:
        self.until = 0.0
        self._electorate_version = -1
        self._asked_at: dict[str, float] = {}

    def confirmed(self, elector: str, asked_at: float, assignment: Assignment) -> None:
        """Count one elector's confirmation.

        Parameters
        ----------
        elector : str
        asked_at : float
            When the request left, by this VM's clock.
        assignment : Assignment
            Assignment in force on this VM.
        """
        if assignment.electorate_version != self._electorate_version:
            # Confirmations under another electorate form no majority of this one.
            # The lease that they already made stays until its own end.
            self._electorate_version = assignment.electorate_version
            self._asked_at = {}
        if elector not in assignment.electorate:
            return
        latest = max(asked_at, self._asked_at.get(elector, asked_at))
        self._asked_at[elector] = latest
        if len(self._asked_at) < assignment.majority:
            return
        newest_first = sorted(self._asked_at.values(), reverse=True)
        since = newest_first[assignment.majority - 1]
        self.until = max(self.until, since + LEASE)

    def valid(self, now: float) -> bool:
        """Tell whether this VM may send work and renew grants."""
        return now < self.until
