"""Limits the requests that this VM sends to cold targets."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.cold_pace import ColdRateLimiter, is_cold_sender

from berylstage_entry.clock import now

if TYPE_CHECKING:
    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.services import Service
    from berylstage_entry.settings import Bounds


class ColdTargets:
    """Applies one VM's part of the request limits of cold targets.

    Parameters
    ----------
    cluster_view : ClusterView
    bounds : Bounds
    vm : str
        Name of this VM.

    Attributes
    ----------
    vms : int
        Number of known VMs, plus some that may be starting.
    vm_names : list of str
        Names of the known VMs; the list is replaced and never modified.
    """

    def __init__(self, cluster_view: ClusterView, bounds: Bounds, vm: str):
        self._cluster_view = cluster_view
        self._bounds = bounds
        self._vm = vm
        self._limiters: dict[tuple[str, int], ColdRateLimiter] = {}
        self.vm_count = 10
        self.vm_names: list[str] = []
        # Bound of each cold target, and whether this VM may send to it. Valid for
        # `_cold_senders_vms`.
        self._cold_senders: dict[str, tuple[float, bool]] = {}
        self._cold_senders_vms = self.vm_names

    def retain(self, names: set[str]) -> None:
        """Remove all targets except the given ones."""
        for name in [name for name in self._cold_senders if name not in names]:
            del self._cold_senders[name]
        for identity in [key for key in self._limiters if key[0] not in names]:
            del self._limiters[identity]

    def limiter(self, name: str, service: Service) -> ColdRateLimiter | None:
        """Return the rate limiter of a cold target; None if the target is warm.

        Parameters
        ----------
        name : str
        service : Service
        """
        known = self._cluster_view.known[name]
        if known.cold_until <= now():
            return None
        identity = known.target.identity
        limiter = self._limiters.get(identity)
        if limiter is None:
            bound = self._bounds.max_cold_requests(service.cold_requests_per_second)
            limiter = ColdRateLimiter(bound, self.vm_count, now())
            self._limiters[identity] = limiter
        limiter.set_vm_count(self.vm_count)
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
        """Tell whether this VM is one of the senders to a cold target.

        Each request for a service checks all its cold targets, and each check ranks all
        VMs. With hundreds of both this is too expensive, so the result is kept until
        the VMs or the target's bound change.
        """
        if self._cold_senders_vms is not self.vm_names:
            self._cold_senders_vms = self.vm_names
            self._cold_senders.clear()
        bound = self._bounds.max_cold_requests(service.cold_requests_per_second)
        known = self._cold_senders.get(name)
        if known is None or known[0] != bound:
            is_sender = is_cold_sender(name, self._vm, self.vm_names, bound)
            known = self._cold_senders[name] = (bound, is_sender)
        return known[1]

    def record_request(self, name: str, service: Service) -> None:
        """Record that a request is sent to a target.

        Parameters
        ----------
        name : str
        service : Service
        """
        limiter = self.limiter(name, service)
        if limiter is not None:
            limiter.record_request(now())
