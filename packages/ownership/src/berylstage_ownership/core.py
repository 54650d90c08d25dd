"""The parts of one protocol core, and what several of them need."""

from __future__ import annotations

from itertools import count
from typing import TYPE_CHECKING

from berylstage_messages.control_pb2 import Envelope, Holder

from berylstage_ownership.actions import (
    AssignmentAdopted,
    ConfigurationAdopted,
    DocumentUnreadable,
    SendPeer,
)
from berylstage_ownership.constants import GONE_AFTER, PEER_TIMEOUT
from berylstage_ownership.elector import Elector
from berylstage_ownership.fleet import Fleet
from berylstage_ownership.holdings import Holdings
from berylstage_ownership.lease import Lease
from berylstage_ownership.proposer import StoreSession
from berylstage_ownership.requests import PeerRequest, PeerRequests
from berylstage_ownership.spread import Documents

if TYPE_CHECKING:
    from collections.abc import Sequence

    from berylstage_ownership.actions import Action, Notice
    from berylstage_ownership.assignment import Assignment
    from berylstage_ownership.events import ListedVm
    from berylstage_ownership.settings import NodeSettings

OUT_OF_TOUCH = 3.0
"""Seconds without a reply of any elector after which a VM looks for help itself."""

MAX_CONTACTS = 20
"""VMs that a VM without electors turns to, so that a large list costs little."""


class Contact:
    """A VM that can be sent to."""

    __slots__ = ("name", "address")

    def __init__(self, name: str, address: str):
        self.name = name
        self.address = address


class Core:
    """State of one protocol core.

    Parameters
    ----------
    settings : NodeSettings
    now : float
        Monotonic time of the start.
    """

    def __init__(self, settings: NodeSettings, now: float):
        self.settings = settings
        self.name = settings.name
        self._tags = count(1)
        self.docs = Documents()
        self.incarnation = settings.incarnation
        self._was_named = False
        self.elector = Elector(settings.name, now)
        self.lease = Lease()
        self.fleet = Fleet(settings.name, settings.cell, now)
        self.holdings = Holdings(settings.name, settings.incarnation)
        self.requests = PeerRequests()
        self.store = StoreSession(settings.cell, self.next_tag)
        self.in_touch_at = now
        self.leaving = False
        self.load = b""
        self._listed: dict[str, ListedVm] = {}
        self._missing_since: dict[str, float] = {}

    def next_tag(self) -> int:
        """Return a tag that no other action has."""
        return next(self._tags)

    @property
    def assignment(self) -> Assignment | None:
        """Assignment in force on this VM."""
        return self.docs.assignment

    def is_elector(self) -> bool:
        """Tell whether the assignment in force names this VM as an elector."""
        return self.assignment is not None and self.name in self.assignment.electorate

    def out_of_touch(self, now: float) -> bool:
        """Tell whether no elector has replied for long."""
        return now - self.in_touch_at >= OUT_OF_TOUCH

    def take_configuration(self, now: float, raw: bytes) -> list[Notice]:
        """Put a configuration in force if it is newer."""
        if not self.docs.take_configuration(raw):
            return self._unreadable()
        assert self.docs.configuration is not None
        self.holdings.configure(now, self.docs.configuration)
        return [ConfigurationAdopted(self.docs.configuration)]

    def take_assignment(self, now: float, raw: bytes) -> list[Notice]:
        """Put an assignment in force if it is newer."""
        if not self.docs.take_assignment(raw):
            return self._unreadable()
        assert self.docs.assignment is not None
        self._take_number(self.docs.assignment)
        self.holdings.adopt(now, self.docs.assignment)
        notices: list[Notice] = [AssignmentAdopted(self.docs.revision)]
        return notices + self.holdings.advance(now)

    def _unreadable(self) -> list[Notice]:
        """Return a notice if the document just offered could not be read."""
        reason = self.docs.take_unreadable()
        return [DocumentUnreadable(reason)] if reason else []

    def _take_number(self, assignment: Assignment) -> None:
        """Take a larger incarnation if an earlier run of this VM had a larger one.

        The wall clock that the number comes from may have been set back. Nobody would
        take this process in then, and its targets would stay without a leader. A
        process that was named once is the earlier run itself and keeps quiet.
        """
        known = assignment.vms.get(self.name)
        if known is None:
            return
        if known.incarnation == self.incarnation:
            self._was_named = True
        elif known.incarnation > self.incarnation and not self._was_named:
            self.incarnation = known.incarnation + 1
            self.holdings.renumber(self.incarnation)

    def envelope(self) -> Envelope:
        """Return an envelope that names this VM as its sender."""
        holder = Holder(vm=self.name, incarnation=self.incarnation)
        return Envelope(sender=holder)

    def send(self, now: float, contact: Contact, envelope: Envelope) -> Action:
        """Return the sending of a request, and remember it."""
        tag = self.next_tag()
        self.requests.add(tag, PeerRequest(contact.name, envelope, now))
        return SendPeer(contact.name, contact.address, envelope, tag, PEER_TIMEOUT)

    def contact(self, name: str) -> Contact | None:
        """Return a VM by name, if its address is known."""
        if self.assignment is not None and name in self.assignment.vms:
            return Contact(name, self.assignment.vms[name].peer_address)
        sighting = self.fleet.sightings.get(name)
        if sighting is not None:
            return Contact(name, sighting.beat.peer_address)
        if name in self._listed:
            return Contact(name, self._listed[name].peer_address)
        return None

    def electors(self) -> list[Contact]:
        """Return the other electors."""
        if self.assignment is None:
            return []
        names = [name for name in self.assignment.electorate if name != self.name]
        return self._contacts(names)

    def cell(self) -> list[Contact]:
        """Return the other VMs of the cell."""
        if self.assignment is None:
            return []
        return self._contacts([n for n in self.assignment.vms if n != self.name])

    def anybody(self) -> list[Contact]:
        """Return VMs that may know more than this one."""
        names = {*self._listed, *(c.name for c in self.cell())} - {self.name}
        contacts = self._contacts(sorted(names)[:MAX_CONTACTS])
        known = {contact.address for contact in contacts}
        own = self.settings.peer_address
        seeds = [s for s in self.settings.seeds if s not in known and s != own]
        return contacts + [Contact(seed, seed) for seed in seeds]

    def _contacts(self, names: list[str]) -> list[Contact]:
        """Return the VMs whose address is known."""
        found = [self.contact(name) for name in names]
        return [contact for contact in found if contact is not None]

    def listed(self, now: float, vms: Sequence[ListedVm]) -> None:
        """Take in the platform's list of VMs."""
        self._listed = {vm.name: vm for vm in vms}
        if self.name not in self._listed:
            # The list is older than this process and tells nothing of who is gone.
            self._missing_since = {}
            return
        electorate = self.assignment.electorate if self.assignment else []
        missing = [name for name in electorate if name not in self._listed]
        self._missing_since = {
            name: self._missing_since.get(name, now) for name in missing
        }

    def is_listed(self) -> bool:
        """Tell whether the platform's list is recent enough to name this VM."""
        return self.name in self._listed

    def rank(self, heard: set[str]) -> int:
        """Return this VM's place among those listed and heard, by name."""
        return sorted({*self._listed, *heard, self.name}).index(self.name)

    def platform_leaving(self) -> set[str]:
        """Return the VMs that the platform is taking away."""
        return {name for name, vm in self._listed.items() if vm.leaving}

    def taken_away(self, now: float, elector: str) -> bool:
        """Tell whether the platform has taken an elector away for certain."""
        since = self._missing_since.get(elector)
        if since is None or now - since < GONE_AFTER:
            return False
        return self.fleet.unseen_for(now, elector) >= GONE_AFTER
