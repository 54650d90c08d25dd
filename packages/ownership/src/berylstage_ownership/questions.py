"""What the data path asks the protocol core, once or more for each request."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.refusals import (
    Moving,
    NoLease,
    NotLeader,
    Refusal,
    TargetClosed,
    TargetDown,
    UnknownShard,
)
from berylstage_ownership.routing import Permit, Route
from berylstage_ownership.shards import own_key, shard_of

if TYPE_CHECKING:
    from berylstage_sheet.configuration import Configuration

    from berylstage_ownership.assignment import Assignment, CellVm
    from berylstage_ownership.core import Core
    from berylstage_ownership.grants import LedTarget


class Questions:
    """Answers in constant time, and changes nothing.

    Parameters
    ----------
    core : Core
    """

    def __init__(self, core: Core):
        self._core = core

    def shard_of(self, service: str, key: str) -> str | None:
        """Return the shard of a key; None where keys are not owned, or not yet."""
        assignment = self._core.assignment
        return shard_of(service, key, assignment) if assignment else None

    def route(self, service: str, shard: str) -> Route | None:
        """Return where requests of a shard go.

        Parameters
        ----------
        service, shard : str

        Returns
        -------
        Route or None
            None when the assignment in force has no such shard, or nobody leads its
            owner.
        """
        assignment = self._core.assignment
        owner = assignment.owners.get(shard) if assignment else None
        return self.leader_of(owner.target) if owner else None

    def leader_of(self, target: str) -> Route | None:
        """Return the VM that leads a target, or None when nobody does."""
        assignment = self._core.assignment
        lead = assignment.leaders.get(target) if assignment else None
        if assignment is None or lead is None:
            return None
        vm = assignment.vms.get(lead.vm)
        return Route(target, lead.vm, vm.peer_address if vm else "")

    def fence_of(self, shard: str) -> int:
        """Return the fence token of a shard; 0 when it has no owner."""
        assignment = self._core.assignment
        owner = assignment.owners.get(shard) if assignment else None
        return owner.fence if owner else 0

    def own_keys_led(self, service: str) -> set[str]:
        """Return the keys with shards of their own that this VM serves."""
        own = (own_key(service, shard) for shard in self._core.holdings.active)
        return {key for key in own if key is not None}

    def cell_vms(self) -> list[CellVm]:
        """Return the VMs of the cell, by name."""
        assignment = self._core.assignment
        vms = assignment.vms.values() if assignment else []
        return sorted(vms, key=lambda vm: vm.name)

    def admission(self, now: float, service: str, shard: str) -> Permit | Refusal:
        """Return leave to send one request of a shard now.

        It has to be asked again for each request, right before sending: a process
        that was paused in between may have lost its lease.

        Parameters
        ----------
        now : float
        service, shard : str

        Returns
        -------
        Permit or Refusal
            After a refusal the request must not be sent, and certainly did not run.
        """
        route = self.route(service, shard)
        if route is None:
            return UnknownShard(shard)
        held = self._hold(now, route, shard)
        if isinstance(held, Refusal):
            return held
        holdings = self._core.holdings
        if holdings.closed(now, route.target):
            return TargetClosed(route.target)
        if not self._is_known(route.target):
            return Moving(shard)
        fence = holdings.active.get(shard)
        if fence is None:
            return Moving(shard)
        if not self._checks_fences(route.target):
            longest = holdings.longest_work(shard, route.target)
            return Permit(route.target, fence, held.epoch, longest)
        if held.fence_in_force(now, shard) != fence:
            return Moving(shard)
        return Permit(route.target, fence, held.epoch)

    def free_admission(self, now: float, target: str) -> Permit | Refusal:
        """Return leave to send a request whose key is not owned to a led target.

        Parameters
        ----------
        now : float
        target : str

        Returns
        -------
        Permit or Refusal
            A permit with fence 0.
        """
        route = self.leader_of(target)
        if route is None:
            return NotLeader(target, "", "")
        held = self._hold(now, route, target)
        if isinstance(held, Refusal):
            return held
        cfg = self._core.docs.configuration
        wanted = cfg is not None and target in cfg.targets
        if cfg is None or not wanted or not cfg.takes_work(cfg.targets[target]):
            return TargetClosed(target)
        return Permit(target, 0, held.epoch)

    def _hold(self, now: float, route: Route, item: str) -> LedTarget | Refusal:
        """Return the led target if this VM may send anything to it now."""
        holdings = self._core.holdings
        led = holdings.leads.get(route.target)
        if led is None:
            return NotLeader(item, route.vm, route.peer_address)
        if not self._core.lease.valid(now):
            return NoLease()
        if route.target not in holdings.active_leads:
            return Moving(item)
        if led.down_reason(now):
            return TargetDown(route.target)
        return led if led.up(now) else Moving(item)

    def _is_known(self, target: str) -> bool:
        """Tell whether the configuration in force names a target."""
        cfg = self._core.docs.configuration
        return cfg is not None and target in cfg.targets

    def _checks_fences(self, target: str) -> bool:
        """Tell whether a target refuses work under an old fence token."""
        cfg = self._core.docs.configuration
        return cfg is not None and (
            target in cfg.targets and cfg.targets[target].checks_fences
        )

    def led_targets(self, now: float) -> list[str]:
        """Return the targets that this VM may send work to now."""
        if not self._core.lease.valid(now):
            return []
        holdings = self._core.holdings
        return [
            target
            for target in sorted(holdings.active_leads)
            if holdings.leads[target].up(now)
        ]

    def peer_addresses(self) -> list[str]:
        """Return the addresses of the other VMs of the cell."""
        return [contact.address for contact in self._core.cell()]

    @property
    def configuration(self) -> Configuration | None:
        """Configuration in force on this VM."""
        return self._core.docs.configuration

    @property
    def assignment(self) -> Assignment | None:
        """Assignment in force on this VM; not to be changed."""
        return self._core.docs.assignment

    @property
    def lease_until(self) -> float:
        """Monotonic time at which this VM's lease ends; 0 without any."""
        return self._core.lease.until

    def ready(self, now: float) -> bool:
        """Tell whether the balancer may send callers to this VM.

        It needs both documents and word of an elector: it can then forward even if it
        leads nothing itself, as after a start during an outage of the store.
        """
        core = self._core
        known = core.docs.configuration is not None and core.assignment is not None
        return known and not core.leaving and not core.out_of_touch(now)
