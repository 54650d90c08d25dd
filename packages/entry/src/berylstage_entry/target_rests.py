"""Rests that targets ask of this VM, and what other VMs tell the coordinator of theirs.

Only the VM that a target has turned away must rest. The coordinator needs to know, so
that busy keys move away from a target that serves the callers of few VMs.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.target_rests import TargetRest, available_share
from logbook import Logger

from berylstage_entry.clock import now
from berylstage_entry.errors import InvalidRecord
from berylstage_entry.notice_messages import RestNotice
from berylstage_entry.permit_messages import checksum

if TYPE_CHECKING:
    from collections.abc import Callable

    from berylstage_entry.cluster_view import ClusterView
    from berylstage_entry.targets import Target

# Sender of this VM's own rests.
OWN_HOST = ""

log = Logger(__name__)


class TargetRests:
    """Rests of targets, by this VM and by others.

    Parameters
    ----------
    cluster_view : ClusterView
    """

    def __init__(self, cluster_view: ClusterView):
        self._cluster_view = cluster_view
        # By the name and incarnation of a target.
        self._rests: dict[tuple[str, int], TargetRest] = {}
        # End of the rest of each VM, for the coordinator.
        self._by_vm: dict[tuple[str, int], dict[str, float]] = {}
        # Number of known VMs, this one included.
        self.vm_count = 1
        # Sends a datagram to the coordinator, unless this VM is the coordinator.
        self.send_to_coordinator: Callable[[bytes], None] = lambda data: None

    def prune(self) -> None:
        """Drop the rests that are over."""
        moment = now()
        for identity, rest in list(self._rests.items()):
            if rest.until <= moment:
                del self._rests[identity]
        for identity, by_vm in list(self._by_vm.items()):
            if max(by_vm.values()) <= moment:
                del self._by_vm[identity]

    def record(self, target: Target, seconds: float) -> None:
        """Record that a target has asked this VM for rest.

        Parameters
        ----------
        target : Target
        seconds : float
        """
        moment = now()
        rest = self._rests.setdefault(target.identity, TargetRest(moment))
        rest.extend(seconds, moment)
        self._by_vm.setdefault(target.identity, {})[OWN_HOST] = rest.until
        if rest.is_news():
            left = rest.until - moment
            notice = RestNotice(checksum(target.name), target.incarnation, left)
            self.send_to_coordinator(notice.encode())

    def receive_notice(self, data: bytes, host: str) -> None:
        """Take the rest that a target has asked of another VM."""
        try:
            notice = RestNotice.decode(data)
        except InvalidRecord as exc:
            log.warning("invalid rest notice ignored", extra={"cause": str(exc)})
            return
        target = self._cluster_view.find_target(notice.target, notice.incarnation)
        if target is not None:
            until = now() + notice.seconds
            self._by_vm.setdefault(target.identity, {})[host] = until

    def seconds_left(self, name: str) -> float:
        """Return the seconds for which this VM must not send to a target."""
        known = self._cluster_view.known.get(name) if self._rests else None
        rest = self._rests.get(known.target.identity) if known is not None else None
        return 0.0 if rest is None else max(0.0, rest.until - now())

    def available_share(self, name: str) -> float:
        """Return the share of VMs that may send to a target, as this VM knows it."""
        known = self._cluster_view.known.get(name) if self._by_vm else None
        by_vm = self._by_vm.get(known.target.identity) if known is not None else None
        if by_vm is None:
            return 1.0
        return available_share(by_vm, self.vm_count, now())
