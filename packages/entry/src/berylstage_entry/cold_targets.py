"""How much of its requests a VM sends to targets that are cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.cold_pace import ColdRateLimiter, is_cold_sender

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.directory import Directory
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

    def __init__(self, directory: Directory, bounds: Bounds, vm: str):
        self._directory = directory
        self._bounds = bounds
        self._vm = vm
        self._limiters: dict[tuple[str, int], ColdRateLimiter] = {}
        self.vms = 10
        self.vm_names: list[str] = []
        # Whether this VM sends to a cold target, with the bound on it, as long as the
        # known VMs stay the same.
        self._cold_senders: dict[str, tuple[float, bool]] = {}
        self._cold_senders_vms = self.vm_names

    def retain(self, names: set[str]) -> None:
        """Forget all targets but these."""
        for name in [name for name in self._cold_senders if name not in names]:
            del self._cold_senders[name]
        for identity in [each for each in self._limiters if each[0] not in names]:
            del self._limiters[identity]

    def limiter(self, name: str, service: Service) -> ColdRateLimiter | None:
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
        limiter = self._limiters.get(identity)
        if limiter is None:
            bound = self._bounds.cold_bound(service.cold_rate)
            limiter = ColdRateLimiter(bound, self.vms, now())
            self._limiters[identity] = limiter
        return limiter

    def may_send(self, name: str, service: Service) -> bool:
        """Tell whether this VM may send a request to a target now.

        Parameters
        ----------
        name : str
        service : Service
        """
        limiter = self.limiter(name, service)
        if limiter is None:
            return True
        return self._is_sender(name, service) and limiter.may_send(now())

    def _is_sender(self, name: str, service: Service) -> bool:
        """Tell whether this VM is one of those that send to a cold target.

        Each request for a service asks that of all its cold targets, and each answer
        takes a look at all VMs: with hundreds of both, only a change of the VMs or of
        the target's pace is worth another look.
        """
        if self._cold_senders_vms is not self.vm_names:
            self._cold_senders_vms = self.vm_names
            self._cold_senders.clear()
        bound = self._bounds.cold_bound(service.cold_rate)
        known = self._cold_senders.get(name)
        if known is None or known[0] != bound:
            is_sender = is_cold_sender(name, self._vm, self.vm_names, bound)
            known = self._cold_senders[name] = (bound, is_sender)
        return known[1]

    def record_request(self, name: str, service: Service) -> None:
        """Note a request to a target.

        Parameters
        ----------
        name : str
        service : Service
        """
        limiter = self.limiter(name, service)
        if limiter is not None:
            limiter.record_request(now())
