"""The protocol core of one VM: events in, actions out, questions of the data path."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_ownership.actions import LeaseGained, LeaseLost
from berylstage_ownership.answers import Answers
from berylstage_ownership.constants import PAUSE
from berylstage_ownership.conversation import Conversation
from berylstage_ownership.core import Core
from berylstage_ownership.granting import Granting
from berylstage_ownership.proposals import Proposals
from berylstage_ownership.proposer import Role
from berylstage_ownership.refusals import (
    Moving,
    NoLease,
    NotLeader,
    Refusal,
    TargetClosed,
    TargetDown,
    UnknownShard,
)
from berylstage_ownership.replies import Replies
from berylstage_ownership.routing import Permit, Route
from berylstage_ownership.settings import NodeSettings
from berylstage_ownership.shards import own_key, shard_of
from berylstage_ownership.status import NodeStatus, TargetStatus

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_messages.control_pb2 import Envelope
    from berylstage_sheet.configuration import Configuration

    from berylstage_ownership.actions import Action
    from berylstage_ownership.assignment import Assignment, CellVm
    from berylstage_ownership.events import ListedVm, StoreResult, TargetAnswer
    from berylstage_ownership.grants import LedTarget
    from berylstage_ownership.records import RecordSource

__all__ = ["Node", "NodeSettings", "Permit", "Refusal", "Route"]


class Node:
    """The protocol core of one VM.

    Each method is a function of the state, the event and ``now``, the monotonic time
    in seconds by a clock that also counts suspended time. It reads no clock, draws no
    random number but from the generator in the settings, and does no input or output:
    it returns the actions for the daemon to do, in order.

    Parameters
    ----------
    settings : NodeSettings
    now : float
        Monotonic time of the start.
    """

    def __init__(self, settings: NodeSettings, now: float):
        self._core = Core(settings, now)
        self._conversation = Conversation(self._core)
        self._answers = Answers(self._core, self._conversation)
        self._replies = Replies(self._core, self._conversation)
        self._proposals = Proposals(self._core, self._conversation)
        self._granting = Granting(self._core)
        self._had_lease = False
        self._ticked_at = now

    # Events

    def tick(self, now: float) -> list[Action]:
        """Do what is due; to be called about every 50 ms.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        core = self._core
        if now - self._ticked_at > PAUSE:
            self._wake(now)
        self._ticked_at = now
        core.elector.forget_lapsed(now)
        actions: list[Action] = list(core.holdings.advance(now))
        actions += self._conversation.due(now)
        actions += self._proposals.due(now)
        actions += self._granting.due(now)
        return actions + self._lease_notices(now)

    def _wake(self, now: float) -> None:
        """Start all waits for signs of life anew after a pause of this process."""
        self._core.fleet.listen_anew(now)
        for led in self._core.holdings.leads.values():
            led.watch_from(now)

    def _lease_notices(self, now: float) -> list[Action]:
        """Return a notice when the lease came or went."""
        lease = self._core.lease
        has = lease.valid(now)
        if has == self._had_lease:
            return []
        self._had_lease = has
        return [LeaseGained(lease.until) if has else LeaseLost()]

    def peer_request(
        self, now: float, sender: str, envelope: Envelope
    ) -> tuple[Envelope, list[Action]]:
        """Answer a request of another VM.

        Parameters
        ----------
        now : float
        sender : str
            Name of the VM as the envelope gives it.
        envelope : Envelope

        Returns
        -------
        (Envelope, list of Action)
            The reply to send back at once, and what is to be done besides.
        """
        return self._answers.answer(now, envelope)

    def peer_reply(
        self, now: float, peer: str, tag: int, reply: Envelope | None
    ) -> list[Action]:
        """Take in the reply to a :class:`SendPeer`.

        Parameters
        ----------
        now : float
        peer : str
        tag : int
        reply : Envelope or None
            None when it was lost.

        Returns
        -------
        list of Action
        """
        req = self._core.requests.take(tag)
        if req is None or reply is None:
            return []
        actions = self._replies.take(now, req, reply)
        return actions + self._lease_notices(now)

    def store_reply(self, now: float, tag: int, result: StoreResult) -> list[Action]:
        """Take in the result of a :class:`ReadStore` or :class:`WriteStore`.

        Parameters
        ----------
        now : float
        tag : int
        result : StoreResult

        Returns
        -------
        list of Action
        """
        return self._proposals.reply(now, tag, result)

    def vm_list(self, now: float, vms: Sequence[ListedVm]) -> list[Action]:
        """Take in the platform's list of VMs, which lags.

        Parameters
        ----------
        now : float
        vms : sequence of ListedVm

        Returns
        -------
        list of Action
        """
        self._core.listed(now, vms)
        return []

    def grant_reply(
        self, now: float, target: str, tag: int, answer: TargetAnswer | None
    ) -> list[Action]:
        """Take in a target's answer to a :class:`SendGrant`.

        Parameters
        ----------
        now : float
        target : str
        tag : int
        answer : TargetAnswer or None
            None when no answer came.

        Returns
        -------
        list of Action
        """
        return self._granting.answer(now, target, tag, answer)

    def target_unwilling(self, now: float, target: str, reason: str) -> list[Action]:
        """Note that a target refused work with a reason of its own, such as draining.

        Parameters
        ----------
        now : float
        target : str
        reason : str

        Returns
        -------
        list of Action
        """
        led = self._core.holdings.leads.get(target)
        if led is not None:
            led.refusal = reason
        return []

    def work_started(
        self, now: float, target: str, shard: str, deadline: float
    ) -> None:
        """Count a request that leaves for a target.

        Parameters
        ----------
        now : float
        target : str
        shard : str
            Empty where keys are not owned.
        deadline : float
            Monotonic time after which the target itself drops it.
        """
        self._core.holdings.flights.started(target, shard, deadline)

    def work_ended(self, now: float, target: str, shard: str) -> list[Action]:
        """Count a request that ended, with an answer or certainly without effect.

        Parameters
        ----------
        now : float
        target, shard : str

        Returns
        -------
        list of Action
        """
        holdings = self._core.holdings
        holdings.flights.ended(target, shard)
        return list(holdings.advance(now)) if holdings.is_draining() else []

    def set_load(self, load: bytes) -> None:
        """Set the load digest that goes with the next heartbeat."""
        self._core.load = load

    def set_records(self, source: RecordSource) -> None:
        """Set where the records of requests come from when a shard is handed over."""
        self._answers.records = source

    def leave(self) -> None:
        """Ask with the next heartbeat for others to lead this VM's targets."""
        self._core.leaving = True
        self._conversation.beat_soon()

    def leads_anything(self) -> bool:
        """Tell whether this VM leads a target, or has not let go of one."""
        holdings = self._core.holdings
        return bool(holdings.leads) or holdings.is_draining()

    # The data path's questions

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
        fence = holdings.active.get(shard)
        if fence is None:
            return Moving(shard)
        if self._checks_fences(route.target):
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

    def proposing(self, now: float) -> bool:
        """Tell whether this VM proposes changes of the assignment."""
        return self._proposals.role(now) is Role.PROPOSER

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

    def status(self, now: float) -> NodeStatus:
        """Return a snapshot for the status page."""
        core, holdings = self._core, self._core.holdings
        assignment = core.assignment
        return NodeStatus(
            name=core.name,
            revision=core.docs.revision,
            configuration_revision=core.docs.configuration_revision,
            lease_left=max(0.0, core.lease.until - now),
            role=self._proposals.role(now).value,
            electorate=list(assignment.electorate) if assignment else [],
            electorate_version=assignment.electorate_version if assignment else 0,
            muted=core.elector.is_mute(now),
            store_lost=core.store.lost,
            targets=[
                TargetStatus(
                    name,
                    led.epoch,
                    led.up(now),
                    led.cold,
                    led.down_reason(now),
                    len(holdings.wanted_grants(name)),
                )
                for name, led in sorted(holdings.leads.items())
            ],
            active_shards=len(holdings.active),
            waiting_shards=holdings.waiting_shards(),
            store_calls=core.store.calls_made,
        )
