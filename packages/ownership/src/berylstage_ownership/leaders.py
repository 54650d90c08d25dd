"""The VMs that lead targets in the next assignment."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.assignment import Leadership
from berylstage_ownership.owners import merged, target_priors

if TYPE_CHECKING:
    from berylstage_ownership.assignment import Assignment, CellVm
    from berylstage_ownership.outlook import Outlook


class LeaderChanges:
    """Works out the leaders of targets in the next assignment.

    Parameters
    ----------
    outlook : Outlook
    draft : Assignment
        The next assignment, changed in place.
    """

    def __init__(self, outlook: Outlook, draft: Assignment):
        self._outlook = outlook
        self._draft = draft
        self._choices = {vm.name: vm for vm in outlook.leader_choices(draft.vms)}
        self._counts = dict.fromkeys(sorted(self._choices), 0)

    def apply(self, budget: int) -> None:
        """Change the draft.

        Parameters
        ----------
        budget : int
            Moves that only improve the balance.
        """
        if not self._choices:
            return
        names = sorted({*self._outlook.configuration.targets, *self._draft.leaders})
        for target in names:
            lead = self._draft.leaders.get(target)
            if lead is not None and self._keeps(lead):
                self._counts[lead.vm] += 1
        for target in names:
            lead = self._draft.leaders.get(target)
            if lead is None or not self._keeps(lead):
                self._give(target, self._choose(target, lead))
        self._level(budget)

    def _keeps(self, lead: Leadership) -> bool:
        """Tell whether a leader may go on."""
        vm = self._choices.get(lead.vm)
        return vm is not None and vm.incarnation == lead.incarnation

    def _choose(self, target: str, lead: Leadership | None) -> CellVm:
        """Return the VM that leads a target from now on."""
        if lead is not None and lead.vm in self._choices:
            # A new run of the same VM takes its own targets again, so that a quick
            # restart moves nothing else.
            return self._choices[lead.vm]
        return min(self._choices.values(), key=lambda vm: self._rank(vm, target))

    def _rank(self, vm: CellVm, target: str) -> tuple[int, bool, str]:
        """Order choices: few led targets, then the target's own data centre."""
        known = self._outlook.configuration.targets.get(target)
        elsewhere = known is None or vm.data_centre != known.data_centre
        return self._counts[vm.name], elsewhere, vm.name

    def _give(self, target: str, vm: CellVm) -> None:
        """Write the leader of a target."""
        revision = self._draft.revision
        priors = merged(target_priors(self._outlook.assignment, target, revision))
        self._draft.leaders[target] = Leadership(
            vm.name, vm.incarnation, revision, priors
        )
        self._counts[vm.name] += 1

    def _level(self, budget: int) -> None:
        """Move leads from VMs that lead many targets to those that lead few."""
        for _ in range(budget):
            high = max(self._counts, key=lambda name: (self._counts[name], name))
            low = min(self._counts, key=lambda name: (self._counts[name], name))
            # A difference of one cannot be levelled; moving it would go on for ever.
            if self._counts[high] - self._counts[low] < 2:
                return
            target = self._movable(high)
            if target is None:
                return
            self._counts[high] -= 1
            self._give(target, self._choices[low])

    def _movable(self, vm: str) -> str | None:
        """Return a target that a VM leads undisturbed."""
        for target, lead in self._draft.leaders.items():
            if lead.vm == vm and not lead.priors:
                return target
        return None


def drop_leaders(outlook: Outlook, draft: Assignment) -> None:
    """Take out leaders of targets that the sheet dropped and that own nothing.

    Kept for ever, they would hold up the shutdown of the VM that leads them. What the
    target owned earlier has its priors named at the shards that moved.
    """
    owning = {owner.target for owner in draft.owners.values()}
    known = outlook.configuration.targets
    for target in list(draft.leaders):
        if target not in known and target not in owning:
            del draft.leaders[target]
