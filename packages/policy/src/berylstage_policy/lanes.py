"""Short and long lanes, and the slots reserved for short requests.

Long batch requests, such as a nightly reconciliation, compete with interactive
requests. On a target with two slots, one long request takes half of the capacity and
two take all of it, and lookups then wait as long as the reconciliation runs. A queue
cannot preempt a running request, so some slots stay closed to long requests while short
ones arrive. While none arrive, long requests may use all slots.
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
    """Assigns requests to the short or long lane and sizes the short reserve."""

    __slots__ = (
        "_presence_seconds",
        "_load",
        "_max_utilisation",
        "_lane_weights",
        "_class_weights",
    )

    def __init__(self, thresholds: Thresholds):
        # Average number of slots that recently offered short requests keep busy.
        self._load = DecayedRate(thresholds["short_load_window"])
        self.set_thresholds(thresholds)

    def set_thresholds(self, thresholds: Thresholds) -> None:
        """Replace the thresholds; the observed load is kept.

        Parameters
        ----------
        thresholds : Thresholds
        """
        self._presence_seconds = thresholds["short_presence"]
        self._max_utilisation = thresholds["reserve_utilisation"]
        self._lane_weights = {SHORT: thresholds["short_weight"], LONG: 1.0}
        self._class_weights = {
            "interactive": thresholds["weight_interactive"],
            "standard": thresholds["weight_standard"],
            "batch": thresholds["weight_batch"],
        }

    def is_short(self, ticket: Ticket, costs: CostModel) -> bool:
        """Return whether a request is short, by its class or learned service time."""
        return ticket.request_class != "batch" and not costs.is_long(ticket.kind)

    def record_offered(self, cost: float, now: float) -> None:
        """Record a short request that was offered."""
        self._load.add(cost, now)

    def flow_path(
        self, ticket: Ticket, is_short: bool
    ) -> tuple[tuple[str, float], ...]:
        """Return the request's flow as (name, weight) for each level of the tree."""
        lane = SHORT if is_short else LONG
        return (
            (lane, self._lane_weights[lane]),
            (ticket.tenant, 1.0),
            (ticket.request_class, self._class_weights.get(ticket.request_class, 1.0)),
            (ticket.caller, 1.0),
        )

    def max_long_slots(self, limit: int, now: float) -> int:
        """Return how many of the usable slots long requests may occupy; at least 1."""
        if limit == 1 or now - self._load.updated_at > self._presence_seconds:
            return limit
        reserve = ceil(self._load.rate(now) / self._max_utilisation)
        return limit - min(max(reserve, 1), limit - 1)
