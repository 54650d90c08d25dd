"""Queue entries and the set of entries that occupy slots."""

from __future__ import annotations

from typing import TYPE_CHECKING

from berylstage_policy.slots import remaining_seconds

if TYPE_CHECKING:
    from berylstage_policy.fairness import Flow
    from berylstage_policy.tickets import Ticket


class Entry:
    """One request that waits or occupies a slot.

    Parameters
    ----------
    ticket : Ticket
    leaf : Flow
        Flow in which the request queues and which is charged for it.
    cost : float
        Expected service time in seconds.
    is_short : bool
    latest_start : float
        Time after which the request can no longer meet its deadline.
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


class RunningEntries:
    """Entries that occupy a slot of the target."""

    __slots__ = ("long_count", "_entries")

    def __init__(self) -> None:
        self.long_count = 0
        self._entries: dict[str, Entry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._entries

    def add(self, entry: Entry, now: float) -> None:
        """Record that the entry occupies a slot from now on."""
        entry.started = now
        self._entries[entry.ticket.id] = entry
        if not entry.is_short:
            self.long_count += 1

    def remove(self, ticket_id: str) -> Entry | None:
        """Remove and return an entry, or return None if it occupies no slot."""
        entry = self._entries.pop(ticket_id, None)
        if entry is not None and not entry.is_short:
            self.long_count -= 1
        return entry

    def remaining_seconds_sorted(self, now: float) -> list[float]:
        """Return the seconds that each busy slot stays busy, in ascending order."""
        entries = self._entries.values()
        return sorted(
            remaining_seconds(entry.cost, now - entry.started) for entry in entries
        )
