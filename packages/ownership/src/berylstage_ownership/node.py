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
from berylstage_ownership.questions import Questions
from berylstage_ownership.refusals import Refusal
from berylstage_ownership.replies import Replies
from berylstage_ownership.routing import Permit, Route
from berylstage_ownership.settings import NodeSettings
from berylstage_ownership.status import NodeStatus, TargetStatus

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_messages.control_pb2 import Envelope

    from berylstage_ownership.actions import Action
    from berylstage_ownership.events import ListedVm, StoreResult, TargetAnswer
    from berylstage_ownership.records import RecordSource

__all__ = ["Node", "NodeSettings", "Permit", "Refusal", "Route"]


class Node(Questions):
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
        super().__init__(Core(settings, now))
        self._conversation = Conversation(self._core)
        self._answers = Answers(self._core, self._conversation)
        self._replies = Replies(self._core, self._conversation)
        self._proposals = Proposals(self._core, self._conversation)
        self._granting = Granting(self._core)
        self._had_lease = False
        self._ticked_at = now

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

    def proposing(self, now: float) -> bool:
        """Tell whether this VM proposes changes of the assignment."""
        return self._proposals.role(now) is Role.PROPOSER

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
