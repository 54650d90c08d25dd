"""Long work and short work, and the slots that are kept for the short.

The load it answers: the nightly reconciliation behind morning traffic. With two slots
one request of seconds is half the target and two are all of it; one sees lookups that
take as long as the reconciliation does. A queue can't take a slot back, so some are
kept free of long work for as long as short work is about, and all are given to it when
none is.
"""

from __future__ import annotations

from math import ceil
from typing import TYPE_CHECKING

from berylstage_policy.rates import DecayedRate

if TYPE_CHECKING:
    from berylstage_policy.costs import CostModel
    from berylstage_policy.thresholds import Thresholds
    from berylstage_policy.tickets import Ticket

SHORT = "short"
LONG = "long"


class Lanes:
    """Divides work into a short and a long lane and sizes the reserve."""

    __slots__ = (
        "_presence",
        "_load",
        "_utilisation",
        "_lane_weights",
        "_class_weights",
    )

    def __init__(self, thresholds: Thresholds):
        # Slots that short work keeps busy, by what was offered lately.
        self._load = DecayedRate(thresholds["short_load_window"])
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Take in other thresholds; what was learned stays.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._presence = thresholds["short_presence"]
        self._utilisation = thresholds["reserve_utilisation"]
        self._lane_weights = {SHORT: thresholds["short_weight"], LONG: 1.0}
        self._class_weights = {
            "interactive": thresholds["weight_interactive"],
            "standard": thresholds["weight_standard"],
            "batch": thresholds["weight_batch"],
        }

    def is_short(self, ticket: Ticket, costs: CostModel) -> bool:
        """Tell whether a ticket is short work: by its class, or as learned."""
        return ticket.request_class != "batch" and not costs.is_long(ticket.kind)

    def offered(self, cost: float, now: float) -> None:
        """Count a short request that was offered."""
        self._load.add(cost, now)

    def path(self, ticket: Ticket, is_short: bool) -> tuple[tuple[str, float], ...]:
        """Return the ticket's flow as (name, weight) for each level of the tree."""
        lane = SHORT if is_short else LONG
        return (
            (lane, self._lane_weights[lane]),
            (ticket.tenant, 1.0),
            (ticket.request_class, self._class_weights.get(ticket.request_class, 1.0)),
            (ticket.caller, 1.0),
        )

    def long_cap(self, limit: int, now: float) -> int:
        """Return how many of the usable slots long work may have, at least one."""
        if limit == 1 or now - self._load.updated > self._presence:
            return limit
        reserve = ceil(self._load.rate(now) / self._utilisation)
        return limit - min(max(reserve, 1), limit - 1)
