"""Tickets inside a queue, and the slots that they come to."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.slots import residual

if TYPE_CHECKING:
    from berylstage_policy.fairness import Flow
    from berylstage_policy.tickets import Ticket


class Entry:
    """One ticket that waits or is in a slot.

    Parameters
    ----------
    ticket : Ticket
    leaf : Flow
        Where it queues and is charged.
    cost : float
        Seconds that it is expected to take.
    is_short : bool
    latest_start : float
        When it can no longer make its deadline.
    """

    __slots__ = (
        "ticket",
        "leaf",
        "cost",
        "is_short",
        "latest_start",
        "started",
        "is_charged",
    )

    def __init__(
        self,
        ticket: Ticket,
        leaf: Flow[Entry],
        cost: float,
        is_short: bool,
        latest_start: float,
    ):
        self.ticket = ticket
        self.leaf = leaf
        self.cost = cost
        self.is_short = is_short
        self.latest_start = latest_start
        self.started = 0.0
        self.is_charged = False


class Slots:
    """The entries that a target works on."""

    __slots__ = ("long", "_entries")

    def __init__(self) -> None:
        self.long = 0
        self._entries: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._entries

    def begin(self, entry: Entry, now: float) -> None:
        """Put an entry in a slot."""
        entry.started = now
        self._entries[entry.ticket.id] = entry
        if not entry.is_short:
            self.long += 1

    def end(self, ticket_id: str) -> Entry | None:
        """Take an entry out; None when it is in no slot."""
        entry = self._entries.pop(ticket_id, None)
        if entry is not None and not entry.is_short:
            self.long -= 1
        return entry

    def residuals(self, now: float) -> list[float]:
        """Return how long each busy slot stays busy, shortest first."""
        entries = self._entries.values()
        return sorted(residual(entry.cost, now - entry.started) for entry in entries)
