"""Replies of other VMs and what they change here."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_messages.control_pb2 import (
    DOCUMENT_KIND_CONFIGURATION,
    ClaimReply,
    Envelope,
    FetchReply,
    ReleaseReply,
)

from berylstage_ownership.conversation import MICROSECONDS
from berylstage_ownership.core import Contact

if TYPE_CHECKING:
    from berylstage_ownership.actions import Action
    from berylstage_ownership.conversation import Conversation
    from berylstage_ownership.core import Core
    from berylstage_ownership.requests import PeerRequest


class Replies:
    """Takes in the replies of other VMs.

    Parameters
    ----------
    core : Core
    conversation : Conversation
    """

    def __init__(self, core: Core, conversation: Conversation):
        self._core = core
        self._conversation = conversation

    def take(self, now: float, req: PeerRequest, reply: Envelope) -> list[Action]:
        """Take in one reply.

        Parameters
        ----------
        now : float
        req : PeerRequest
            The request that it answers.
        reply : Envelope

        Returns
        -------
        list of Action
        """
        kind = reply.WhichOneof("body")
        if kind == "beat_reply":
            return self._on_beat_reply(now, req, reply)
        if kind == "claim_reply":
            self._on_claim_reply(now, req, reply.claim_reply)
        elif kind == "release_reply":
            return self._on_release_reply(now, req, reply.release_reply)
        elif kind == "fetch_reply":
            return self._on_fetch_reply(now, req, reply.fetch_reply)
        return []

    def _on_beat_reply(
        self, now: float, req: PeerRequest, envelope: Envelope
    ) -> list[Action]:
        """Count a confirmation, and fetch what is newer there."""
        core = self._core
        reply = envelope.beat_reply
        assignment = core.assignment
        elector = envelope.sender.vm
        if assignment is not None and elector in assignment.electorate:
            core.in_touch_at = now
        asked_under = req.envelope.beat.electorate_version
        if (
            reply.confirmed
            and assignment is not None
            and asked_under == assignment.electorate_version
        ):
            core.lease.confirmed(elector, req.sent_at, assignment)
        contact = core.contact(elector) or Contact(elector, req.peer)
        return self._conversation.catch_up_with(
            now, contact, reply.revision, reply.configuration_revision
        )

    def _on_claim_reply(self, now: float, req: PeerRequest, reply: ClaimReply) -> None:
        """Count a promise."""
        if not reply.promised:
            return
        remaining = [left.microseconds / MICROSECONDS for left in reply.remaining]
        takeover = self._core.holdings.takeover
        takeover.promised(reply.revision, req.peer, now, remaining)

    def _on_release_reply(
        self, now: float, req: PeerRequest, reply: ReleaseReply
    ) -> list[Action]:
        """Note what a prior has let go of."""
        core = self._core
        asked = req.envelope.release
        gone = {(held.name, held.until) for held in [*reply.shards, *reply.targets]}
        actions: list[Action] = []
        takeover = core.holdings.takeover
        for pending in core.holdings.pending(now):
            prior = pending.prior
            holder = (prior.vm, prior.incarnation)
            if holder != (req.peer, asked.incarnation):
                continue
            if (pending.held, prior.until) in gone:
                takeover.released(pending.item, prior)
            elif reply.revision >= prior.until:
                takeover.draining(now, prior)
        holder = (req.peer, asked.incarnation)
        for records in reply.handover:
            core.holdings.note_records(holder, records)
        actions += core.holdings.advance(now)
        contact = core.contact(req.peer)
        if contact is not None:
            actions += self._conversation.catch_up_with(now, contact, reply.revision, 0)
        return actions

    def _on_fetch_reply(
        self, now: float, req: PeerRequest, reply: FetchReply
    ) -> list[Action]:
        """Put a fetched document in force, and learn what an elector promised."""
        core = self._core
        if reply.kind == DOCUMENT_KIND_CONFIGURATION:
            return list(core.take_configuration(now, reply.document))
        actions: list[Action] = list(core.take_assignment(now, reply.document))
        if reply.electing and core.assignment is not None:
            core.elector.report_of_elector(req.peer, reply.floor, core.assignment)
        return actions
