"""Requests to other VMs: heartbeats, claims, releases and fetches."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_messages.control_pb2 import (
    DOCUMENT_KIND_ASSIGNMENT,
    DOCUMENT_KIND_CONFIGURATION,
    Beat,
    Claim,
    Fetch,
    Held,
    Holder,
    Release,
)

from berylstage_ownership.constants import HEARTBEAT, RETRY
from berylstage_ownership.core import Contact

if TYPE_CHECKING:
    from berylstage_ownership.actions import Action
    from berylstage_ownership.core import Core
    from berylstage_ownership.holdings import Pending

MICROSECONDS = 1_000_000

CATCH_UP_EVERY = 0.2
"""Seconds between two questions of a restarted elector to the others."""


class Conversation:
    """Sends this VM's requests.

    Parameters
    ----------
    core : Core
    """

    def __init__(self, core: Core):
        self._core = core
        self._beat_at = 0.0
        self._retry_at = 0.0
        self._catch_up_at = 0.0
        self._down_told: list[str] = []
        self._silent_told: list[str] = []
        self._revision_told = 0
        self._claimed_revision = 0

    def due(self, now: float) -> list[Action]:
        """Return the requests that are due.

        Parameters
        ----------
        now : float

        Returns
        -------
        list of Action
        """
        self._core.requests.drop_late(now)
        actions: list[Action] = []
        if now >= self._beat_at or self._has_news(now):
            actions += self._beats(now)
        if now >= self._retry_at or self._core.docs.revision > self._claimed_revision:
            self._retry_at = now + RETRY
            self._claimed_revision = self._core.docs.revision
            actions += self._takeover(now)
        if now >= self._catch_up_at and not self._core.elector.caught_up:
            self._catch_up_at = now + CATCH_UP_EVERY
            actions += self._catch_up(now)
        return actions

    def _has_news(self, now: float) -> bool:
        """Tell whether the electors should hear from this VM before its time."""
        core = self._core
        if core.docs.revision > self._revision_told:
            return True
        down = self._down_targets(now)
        return down != self._down_told or self._silent_vms(now) != self._silent_told

    def _silent_vms(self, now: float) -> list[str]:
        """Return the VMs that this VM, as an elector, does not hear."""
        core = self._core
        if core.assignment is None or not core.is_elector():
            return []
        return core.fleet.silent(now, core.assignment)

    def _down_targets(self, now: float) -> list[str]:
        """Return the led targets that are down."""
        holdings = self._core.holdings
        return sorted(
            target for target, led in holdings.leads.items() if led.down_reason(now)
        )

    def _beats(self, now: float) -> list[Action]:
        """Return a heartbeat to each elector, and give this VM its own."""
        core = self._core
        self._beat_at = now + HEARTBEAT
        self._down_told = self._down_targets(now)
        self._silent_told = self._silent_vms(now)
        self._revision_told = core.docs.revision
        envelope = core.envelope()
        envelope.beat.CopyFrom(self.beat(now))
        core.load = b""
        self._beat_to_self(now, envelope.beat)
        contacts = core.electors()
        if core.assignment is None or core.out_of_touch(now):
            contacts = core.anybody()
        return [core.send(now, contact, envelope) for contact in contacts]

    def beat_soon(self) -> None:
        """Let the next tick send heartbeats."""
        self._beat_at = 0.0

    def announce(self, now: float) -> list[Action]:
        """Return a heartbeat to the whole cell, which tells of new documents."""
        core = self._core
        envelope = core.envelope()
        envelope.beat.CopyFrom(self.beat(now))
        return [core.send(now, contact, envelope) for contact in core.cell()]

    def beat(self, now: float) -> Beat:
        """Return this VM's heartbeat."""
        core = self._core
        settings, docs = core.settings, core.docs
        assignment = docs.assignment
        return Beat(
            revision=docs.revision,
            electorate_version=assignment.electorate_version if assignment else 0,
            configuration_revision=docs.configuration_revision,
            data_centre=settings.data_centre,
            http_address=settings.http_address,
            peer_address=settings.peer_address,
            cell=settings.cell,
            leaving=core.leaving,
            settled_revision=core.holdings.settled_revision(),
            down_targets=self._down_targets(now),
            silent_vms=self._silent_vms(now),
            load=core.load,
            store_lost=core.store.lost,
            elector_ready=not core.elector.is_mute(now),
        )

    def _beat_to_self(self, now: float, beat: Beat) -> None:
        """Hear this VM's own heartbeat, and confirm it as an elector."""
        core = self._core
        core.fleet.heard(now, core.name, core.incarnation, beat)
        if self.confirm(now, core.name, core.incarnation, beat):
            return
        assert core.assignment is not None
        core.lease.confirmed(core.name, now, core.assignment)
        if core.assignment.electorate == [core.name]:
            core.in_touch_at = now

    def confirm(self, now: float, vm: str, incarnation: int, beat: Beat) -> str:
        """Confirm a lease, or return why not."""
        core = self._core
        return core.elector.confirm(
            now,
            vm,
            incarnation,
            beat.revision,
            beat.electorate_version,
            core.assignment,
        )

    def _takeover(self, now: float) -> list[Action]:
        """Return releases and claims for what this VM waits for."""
        core = self._core
        pending = core.holdings.pending(now)
        if not pending or core.assignment is None:
            return []
        actions = self._releases(now, pending)
        priors = {p.prior for p in pending if not self._is_own(p)}
        core.holdings.takeover.begin(core.assignment, priors)
        return actions + self._claims(now)

    def _is_own(self, pending: Pending) -> bool:
        """Tell whether the prior is this very run of this VM."""
        prior = pending.prior
        own = (self._core.name, self._core.incarnation)
        return (prior.vm, prior.incarnation) == own

    def _answers(self, pending: Pending) -> bool:
        """Tell whether the prior's own process may still answer."""
        assert self._core.assignment is not None
        vm = self._core.assignment.vms.get(pending.prior.vm)
        return vm is not None and vm.incarnation == pending.prior.incarnation

    def _releases(self, now: float, pending: list[Pending]) -> list[Action]:
        """Return a question to each prior whose process may answer."""
        core = self._core
        by_vm: dict[str, list[Pending]] = {}
        for item in pending:
            if not self._is_own(item) and self._answers(item):
                by_vm.setdefault(item.prior.vm, []).append(item)
        actions = []
        for vm, items in by_vm.items():
            contact = core.contact(vm)
            if contact is None or core.requests.waiting(vm, "release"):
                continue
            envelope = core.envelope()
            envelope.release.CopyFrom(self._release(items))
            actions.append(core.send(now, contact, envelope))
        return actions

    def _release(self, items: list[Pending]) -> Release:
        """Return the question whether one prior has let go of some items."""
        return Release(
            revision=self._core.docs.revision,
            incarnation=items[0].prior.incarnation,
            shards=_held([p for p in items if p.prior.shard]),
            targets=_held([p for p in items if not p.prior.shard]),
        )

    def _claims(self, now: float) -> list[Action]:
        """Return claims to the electors that have not promised."""
        core = self._core
        current = core.holdings.takeover.round
        if current is None or current.complete:
            return []
        priors = [Holder(vm=vm, incarnation=run) for vm, run in current.holders]
        claim = Claim(revision=current.revision, priors=priors)
        actions = []
        for elector in current.missing():
            if elector == core.name:
                remaining = self.promise(now, claim)
                if remaining is not None:
                    core.holdings.takeover.promised(
                        claim.revision, elector, now, remaining
                    )
                continue
            contact = core.contact(elector)
            if contact is None or core.requests.waiting(elector, "claim"):
                continue
            envelope = core.envelope()
            envelope.claim.CopyFrom(claim)
            actions.append(core.send(now, contact, envelope))
        return actions

    def promise(self, now: float, claim: Claim) -> list[float] | None:
        """Promise what a claim asks for."""
        holders = [(prior.vm, prior.incarnation) for prior in claim.priors]
        core = self._core
        return core.elector.promise(now, claim.revision, holders, core.assignment)

    def _catch_up(self, now: float) -> list[Action]:
        """Return questions to the electors on what they have promised."""
        core = self._core
        actions = []
        for contact in core.electors():
            if not core.requests.waiting(contact.name, "fetch"):
                actions.append(self._fetch(now, contact, DOCUMENT_KIND_ASSIGNMENT))
        return actions

    def _fetch(self, now: float, contact: Contact, kind: int) -> Action:
        """Return a fetch of a document."""
        docs = self._core.docs
        have = docs.revision
        if kind == DOCUMENT_KIND_CONFIGURATION:
            have = docs.configuration_revision
        envelope = self._core.envelope()
        envelope.fetch.CopyFrom(Fetch(kind=kind, have_revision=have))  # type: ignore[arg-type]
        return self._core.send(now, contact, envelope)

    def catch_up_with(
        self, now: float, contact: Contact, revision: int, configuration_revision: int
    ) -> list[Action]:
        """Return fetches of what another VM has newer.

        Parameters
        ----------
        now : float
        contact : Contact
        revision, configuration_revision : int
            What the other VM has in force.

        Returns
        -------
        list of Action
        """
        core = self._core
        if core.requests.waiting(contact.name, "fetch"):
            return []
        actions = []
        if configuration_revision > core.docs.configuration_revision:
            actions.append(self._fetch(now, contact, DOCUMENT_KIND_CONFIGURATION))
        if revision > core.docs.revision:
            actions.append(self._fetch(now, contact, DOCUMENT_KIND_ASSIGNMENT))
        return actions


def _held(items: list[Pending]) -> list[Held]:
    """Return what a prior is asked about."""
    names = sorted({(item.held, item.prior.until) for item in items})
    return [Held(name=name, until=until) for name, until in names]
