"""How much of its requests a VM sends to targets that are cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.cold_pace import ColdPace, may_warm_up

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.services import Service
    from berylstage_entry.settings import Bounds


class ColdTargets:
    """What one VM may send of that which cold targets bear from all VMs together.

    Parameters
    ----------
    directory : Directory
    bounds : Bounds
    vm : str
        Name of this VM.

    Attributes
    ----------
    vms : int
        VMs that are known, with some that may be starting.
    vm_names : list of str
        Those that are known; replaced, never changed.
    """

    def __init__(self, directory: ClusterView, bounds: Bounds, vm: str):
        self._directory = directory
        self._bounds = bounds
        self._vm = vm
        self._paces: dict[tuple[str, int], ColdPace] = {}
        self.vms = 10
        self.vm_names: list[str] = []
        # Whether this VM sends to a cold target, with the bound on it, as long as the
        # known VMs stay the same.
        self._warmers: dict[str, tuple[float, bool]] = {}
        self._warmers_of = self.vm_names

    def keep(self, names: set[str]) -> None:
        """Forget all targets but these."""
        for name in [name for name in self._warmers if name not in names]:
            del self._warmers[name]
        for identity in [each for each in self._paces if each[0] not in names]:
            del self._paces[identity]

    def pace(self, name: str, service: Service) -> ColdPace | None:
        """Return the pace towards a target that is cold; None for a warm one.

        Parameters
        ----------
        name : str
        service : Service
        """
        known = self._directory.known[name]
        if known.cold_until <= now():
            return None
        identity = known.target.identity
        pace = self._paces.get(identity)
        if pace is None:
            bound = self._bounds.cold_bound(service.cold_rate)
            pace = ColdPace(bound, self.vms, now())
            self._paces[identity] = pace
        return pace

    def may_send(self, name: str, service: Service) -> bool:
        """Tell whether this VM may send a request to a target now.

        Parameters
        ----------
        name : str
        service : Service
        """
        pace = self.pace(name, service)
        if pace is None:
            return True
        return self._warms_up(name, service) and pace.may_send(now())

    def _warms_up(self, name: str, service: Service) -> bool:
        """Tell whether this VM is one of those that send to a cold target.

        Each request for a service asks that of all its cold targets, and each answer
        takes a look at all VMs: with hundreds of both, only a change of the VMs or of
        the target's pace is worth another look.
        """
        if self._warmers_of is not self.vm_names:
            self._warmers_of = self.vm_names
            self._warmers.clear()
        bound = self._bounds.cold_bound(service.cold_rate)
        known = self._warmers.get(name)
        if known is None or known[0] != bound:
            mine = may_warm_up(name, self._vm, self.vm_names, bound)
            known = self._warmers[name] = (bound, mine)
        return known[1]

    def sent(self, name: str, service: Service) -> None:
        """Note a request to a target.

        Parameters
        ----------
        name : str
        service : Service
        """
        pace = self.pace(name, service)
        if pace is not None:
            pace.sent(now())
