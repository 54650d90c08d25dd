"""Answers to the requests of other VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_messages.control_pb2 import (
    DOCUMENT_KIND_CONFIGURATION,
    BeatReply,
    Claim,
    ClaimReply,
    Envelope,
    Fetch,
    FetchReply,
    ReleaseReply,
    Remaining,
)

from berylstage_ownership.conversation import MICROSECONDS
from berylstage_ownership.core import Contact

if TYPE_CHECKING:
    from berylstage_ownership.actions import Action
    from berylstage_ownership.conversation import Conversation
    from berylstage_ownership.core import Core
    from berylstage_ownership.records import RecordSource

HANDOVER_LIMIT = 1_000_000
"""Bytes of records in one reply; the shards left out begin with a floor."""


class Answers:
    """Answers the requests of other VMs.

    Parameters
    ----------
    core : Core
    conversation : Conversation
    """

    def __init__(self, core: Core, conversation: Conversation):
        self._core = core
        self._conversation = conversation
        self.records: RecordSource | None = None

    def answer(self, now: float, req: Envelope) -> tuple[Envelope, list[Action]]:
        """Answer one request.

        Parameters
        ----------
        now : float
        req : Envelope

        Returns
        -------
        (Envelope, list of Action)
            The reply, and what is to be done besides.
        """
        reply = self._core.envelope()
        kind = req.WhichOneof("body")
        actions: list[Action] = []
        if kind == "beat":
            actions = self._on_beat(now, req, reply)
        elif kind == "claim":
            self._on_claim(now, req.claim, reply)
        elif kind == "release":
            actions = self._on_release(now, req, reply)
        elif kind == "fetch":
            self._on_fetch(now, req.fetch, reply)
        return reply, actions

    def _on_beat(self, now: float, req: Envelope, reply: Envelope) -> list[Action]:
        """Answer a heartbeat."""
        core = self._core
        beat, sender = req.beat, req.sender
        core.fleet.heard(now, sender.vm, sender.incarnation, beat)
        refusal = self._conversation.confirm(now, sender.vm, sender.incarnation, beat)
        assignment = core.assignment
        reply.beat_reply.CopyFrom(
            BeatReply(
                confirmed=not refusal,
                refusal=refusal,
                revision=core.docs.revision,
                configuration_revision=core.docs.configuration_revision,
                electorate_version=assignment.electorate_version if assignment else 0,
            )
        )
        contact = Contact(sender.vm, beat.peer_address)
        return self._conversation.catch_up_with(
            now, contact, beat.revision, beat.configuration_revision
        )

    def _on_claim(self, now: float, claim: Claim, reply: Envelope) -> None:
        """Answer a claim."""
        remaining = self._conversation.promise(now, claim)
        answer = ClaimReply(
            promised=remaining is not None,
            refusal="" if remaining is not None else "mute",
            revision=claim.revision,
        )
        for prior, left in zip(claim.priors, remaining or [], strict=False):
            # Rounded up: a wait that ends a microsecond early would be no wait.
            micros = int(left * MICROSECONDS) + (1 if left > 0 else 0)
            answer.remaining.append(Remaining(holder=prior, microseconds=micros))
        reply.claim_reply.CopyFrom(answer)

    def _on_release(self, now: float, req: Envelope, reply: Envelope) -> list[Action]:
        """Answer whether this VM has let go."""
        core = self._core
        release = req.release
        answer = ReleaseReply(revision=core.docs.revision)
        if release.incarnation == core.incarnation:
            holdings = core.holdings
            for shard in release.shards:
                if holdings.released(now, shard.name, shard.until):
                    answer.shards.append(shard)
            for target in release.targets:
                if holdings.released(now, target.name, target.until):
                    answer.targets.append(target)
            self._hand_over(answer)
        reply.release_reply.CopyFrom(answer)
        contact = core.contact(req.sender.vm)
        if contact is None:
            return []
        return self._conversation.catch_up_with(now, contact, release.revision, 0)

    def _hand_over(self, answer: ReleaseReply) -> None:
        """Add the records of released shards, within the bound of the source."""
        if self.records is None:
            return
        assert self._core.assignment is not None
        holdings = self._core.holdings
        shards = {shard.name for shard in answer.shards}
        for target in answer.targets:
            shards |= holdings.parted_with(target.name)
        size = 0
        for shard in sorted(shards):
            records = self.records.export(shard)
            if records is None:
                continue
            size += records.ByteSize()
            if size > HANDOVER_LIMIT:
                return
            answer.handover.append(records)

    def _on_fetch(self, now: float, fetch: Fetch, reply: Envelope) -> None:
        """Answer a fetch."""
        core = self._core
        docs = core.docs
        answer = FetchReply(kind=fetch.kind)
        if fetch.kind == DOCUMENT_KIND_CONFIGURATION:
            answer.revision = docs.configuration_revision
            if docs.configuration_revision > fetch.have_revision:
                answer.document = docs.configuration_raw
        else:
            answer.revision = docs.revision
            if docs.revision > fetch.have_revision:
                answer.document = docs.assignment_raw
        answer.electing = core.is_elector() and not core.elector.is_mute(now)
        answer.floor = core.elector.floor
        reply.fetch_reply.CopyFrom(answer)
