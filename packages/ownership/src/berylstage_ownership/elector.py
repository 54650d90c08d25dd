"""The elector's side of a lease: confirmations, promises and silence after a start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.constants import OUTSTANDING

if TYPE_CHECKING:
    from berylstage_ownership.assignment import Assignment


class Elector:
    """Memory of one elector; it elects nobody and decides nothing.

    It only says "I know of no later taker". Two claims never compete for it, as the
    compare-and-swap in the store has decided already who takes what.

    Parameters
    ----------
    name : str
        Name of this VM.
    now : float
        Monotonic time of the process's start.
    """

    def __init__(self, name: str, now: float):
        self._name = name
        # A restarted elector has forgotten whom it confirmed and what it promised.
        # Confirming at once would let an old holder renew past a taker's wait: two
        # targets would then answer for one key. What it forgot has lapsed after
        # OUTSTANDING; what it promised it learns again before it speaks.
        self._mute_until = now + OUTSTANDING
        self._caught_up = False
        self._reports: dict[str, int] = {}
        self.floor = 0
        # When each revision of each run of a VM was last confirmed. A VM that moved on
        # to a later revision may still have grants in force that it gave under an
        # earlier one; without the earlier times a taker would not wait for those.
        self._confirmations: dict[tuple[str, int], dict[int, float]] = {}

    def is_mute(self, now: float) -> bool:
        """Tell whether this elector neither confirms nor promises."""
        return now < self._mute_until or not self._caught_up

    @property
    def caught_up(self) -> bool:
        """Whether this elector knows every promise that still counts."""
        return self._caught_up

    def caught_up_from_store(self) -> None:
        """Note that the assignment was read from the store after the start."""
        # The store's revision is at least that of any taker, and the core refuses
        # everybody below its own adopted revision at that moment.
        self._caught_up = True

    def raise_floor(self, revision: int) -> None:
        """Confirm nobody below a revision any more."""
        self.floor = max(self.floor, revision)

    def report_of_elector(
        self, elector: str, floor: int, assignment: Assignment
    ) -> None:
        """Take in what another elector, which is not mute, has promised.

        Parameters
        ----------
        elector : str
        floor : int
            The other's floor.
        assignment : Assignment
            Newest assignment that this VM knows.
        """
        if self._caught_up or elector == self._name:
            return
        self._reports[elector] = floor
        heard = [name for name in assignment.electorate if name in self._reports]
        if len(heard) < assignment.majority:
            return
        # Any majority shares an elector with the one that promised; the highest
        # floor of this majority therefore covers every promise.
        self.raise_floor(max(self._reports.values()))
        self._caught_up = True

    def confirm(
        self,
        now: float,
        vm: str,
        incarnation: int,
        revision: int,
        electorate_version: int,
        assignment: Assignment | None,
    ) -> str:
        """Confirm the lease of a VM, or say why not.

        Parameters
        ----------
        now : float
        vm : str
        incarnation : int
            Run of the VM's process.
        revision : int
            Assignment revision that the VM acts on.
        electorate_version : int
            Electorate under which it asks.
        assignment : Assignment or None
            Newest assignment that this elector knows.

        Returns
        -------
        str
            Empty when confirmed; else the reason.
        """
        refusal = self._refusal(
            now, vm, incarnation, revision, electorate_version, assignment
        )
        if not refusal:
            self._confirmations.setdefault((vm, incarnation), {})[revision] = now
        return refusal

    def _refusal(
        self,
        now: float,
        vm: str,
        incarnation: int,
        revision: int,
        electorate_version: int,
        assignment: Assignment | None,
    ) -> str:
        """Return why a lease is not confirmed, or an empty string."""
        if assignment is None or self.is_mute(now):
            return "mute"
        if electorate_version != assignment.electorate_version:
            return "electorate"
        if self._name not in assignment.electorate:
            return "not an elector"
        if revision < self.floor:
            return "revision"
        known = assignment.vms.get(vm)
        if known is not None and known.incarnation != incarnation:
            return "incarnation"
        return ""

    def promise(
        self,
        now: float,
        revision: int,
        holders: list[tuple[str, int]],
        assignment: Assignment | None,
    ) -> list[float] | None:
        """Promise to confirm nobody below a revision any more.

        Parameters
        ----------
        now : float
        revision : int
        holders : list of (str, int)
            VM and incarnation of each prior that the taker asks about.
        assignment : Assignment or None
            Newest assignment that this elector knows.

        Returns
        -------
        list of float or None
            Seconds until this elector's confirmations of each holder below the
            revision end; None when it promises nothing.
        """
        if assignment is None or self.is_mute(now):
            return None
        self.raise_floor(revision)
        return [self._remaining(now, holder, revision) for holder in holders]

    def _remaining(self, now: float, holder: tuple[str, int], revision: int) -> float:
        """Return how long a confirmation below a revision is outstanding."""
        given = self._confirmations.get(holder, {})
        times = [at for confirmed, at in given.items() if confirmed < revision]
        return max(0.0, max(times, default=now - OUTSTANDING) + OUTSTANDING - now)

    def forget_lapsed(self, now: float) -> None:
        """Drop confirmations that are outstanding no more."""
        for holder, given in list(self._confirmations.items()):
            lapsed = [r for r, at in given.items() if at + OUTSTANDING <= now]
            for revision in lapsed:
                del given[revision]
            if not given:
                del self._confirmations[holder]
